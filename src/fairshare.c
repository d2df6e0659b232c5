#include "fairshare.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include "ts.h"

/* Weight of the latest request in the mean cost.  */
#define MEAN_SHARE 0.05
#define USED_MIN 1e-4 /* less counts as nothing, in seconds of the rate */

/* The sums decay; USED is in seconds of the rate, the others in requests.  */
struct customer
{
  double used;
  double sent;
  double offered;     /* sent or refused */
  struct timespec at; /* of the sums */
  unsigned waiting;
  struct timespec short_until;
  bool over;
};

/* Of all customers that have sent something lately or wait.  */
struct totals
{
  double used;
  double sent;
  double offered;
  unsigned count;
};

struct fairshare
{
  GHashTable *customers; /* name to struct customer */
  double mean_cost;      /* of requests of customers with a rate; 0: none */
  struct timespec refreshed_at;
};

struct fairshare *
fairshare_new (void)
{
  struct fairshare *share = g_new0 (struct fairshare, 1);

  share->customers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return share;
}

void
fairshare_free (struct fairshare *share)
{
  if (share == NULL)
    return;
  g_hash_table_unref (share->customers);
  g_free (share);
}

static void
decay (struct customer *customer, struct timespec now)
{
  double passed_s = ts_to_s (ts_sub (now, customer->at));
  double factor = passed_s > 0 ? exp (-passed_s / FAIRSHARE_TAU_S) : 1;

  customer->used *= factor;
  customer->sent *= factor;
  customer->offered *= factor;
  customer->at = now;
}

static const char *
name_of (const char *customer)
{
  return customer != NULL ? customer : "";
}

static struct customer *
find (const struct fairshare *share, const char *name, struct timespec now)
{
  struct customer *customer
      = g_hash_table_lookup (share->customers, name_of (name));

  if (customer != NULL)
    decay (customer, now);
  return customer;
}

static struct customer *
get (struct fairshare *share, const char *name, struct timespec now)
{
  struct customer *customer = find (share, name, now);

  if (customer != NULL)
    return customer;
  customer = g_new0 (struct customer, 1);
  customer->at = now;
  g_hash_table_insert (share->customers, g_strdup (name_of (name)), customer);
  return customer;
}

/* While no customer has a rate, all requests cost the same.  */
static double
cost_of (const struct fairshare *share,
         const struct fairshare_request *request)
{
  if (request->cost_s > 0)
    return request->cost_s;
  return share->mean_cost > 0 ? share->mean_cost : 1;
}

static void
update_mean (struct fairshare *share, double cost_s)
{
  if (cost_s <= 0)
    return;
  if (share->mean_cost > 0)
    share->mean_cost += MEAN_SHARE * (cost_s - share->mean_cost);
  else
    share->mean_cost = cost_s;
}

void
fairshare_sent (struct fairshare *share,
                const struct fairshare_request *request, struct timespec now)
{
  struct customer *customer = get (share, request->customer, now);

  update_mean (share, request->cost_s);
  customer->used += cost_of (share, request);
  customer->sent++;
  customer->offered++;
}

void
fairshare_refused (struct fairshare *share,
                   const struct fairshare_request *request,
                   struct timespec now)
{
  struct customer *customer = get (share, request->customer, now);

  customer->offered++;
  customer->short_until = ts_add_ms (now, FAIRSHARE_SHORT_MS);
}

void
fairshare_waits (struct fairshare *share,
                 const struct fairshare_request *request, int change,
                 struct timespec now)
{
  struct customer *customer = get (share, request->customer, now);

  if (change > 0)
    customer->waiting++;
  else if (customer->waiting > 0)
    customer->waiting--;
}

static bool
is_short (const struct customer *customer, struct timespec now)
{
  return customer->waiting > 0 || ts_before (now, customer->short_until);
}

static bool
is_active (const struct customer *customer, struct timespec now)
{
  return customer->used > USED_MIN || is_short (customer, now);
}

static struct totals
sum_up (const struct fairshare *share, struct timespec now)
{
  struct totals totals = { 0 };
  GHashTableIter iter;
  struct customer *customer;

  g_hash_table_iter_init (&iter, share->customers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&customer))
    {
      decay (customer, now);
      if (!is_active (customer, now))
        continue;
      totals.used += customer->used;
      totals.sent += customer->sent;
      totals.offered += customer->offered;
      totals.count++;
    }
  return totals;
}

/* What a customer may have had before it has had too much.  */
static double
allowance (const struct totals *totals)
{
  return FAIRSHARE_OVER * totals->used / MAX (totals->count, 1);
}

static bool
has_too_much (const struct customer *customer, const struct totals *totals)
{
  double own_cost
      = customer->sent > 0 ? customer->used / customer->sent : customer->used;

  return customer->used
         > allowance (totals) + FAIRSHARE_OVER_REQUESTS * own_cost;
}

static bool
is_served_enough (const struct customer *customer, const struct totals *totals)
{
  double others_sent = totals->sent - customer->sent;
  double others_offered = totals->offered - customer->offered;

  return customer->sent * others_offered
         >= FAIRSHARE_SERVED_MIN * customer->offered * others_sent;
}

/* Only customers that have not had too much make another one give way.  */
static bool
others_lack (const struct fairshare *share, const struct totals *totals,
             struct timespec now)
{
  GHashTableIter iter;
  const struct customer *customer;

  g_hash_table_iter_init (&iter, share->customers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&customer))
    if (is_short (customer, now) && customer->used <= allowance (totals))
      return true;
  return false;
}

static void
refresh (struct fairshare *share, struct timespec now)
{
  struct totals totals;
  GHashTableIter iter;
  struct customer *customer;
  bool lack;

  if (!ts_is_zero (share->refreshed_at)
      && ts_before (now,
                    ts_add_ms (share->refreshed_at, FAIRSHARE_REFRESH_MS)))
    return;
  share->refreshed_at = now;
  totals = sum_up (share, now);
  lack = others_lack (share, &totals, now);
  g_hash_table_iter_init (&iter, share->customers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&customer))
    customer->over = lack && has_too_much (customer, &totals)
                     && is_served_enough (customer, &totals);
}

bool
fairshare_is_over (struct fairshare *share, const char *customer,
                   struct timespec now)
{
  const struct customer *found;

  refresh (share, now);
  found = g_hash_table_lookup (share->customers, name_of (customer));
  return found != NULL && found->over;
}

static int
compare_customers (const struct fairshare_item *a,
                   const struct fairshare_item *b)
{
  return strcmp (name_of (a->request.customer), name_of (b->request.customer));
}

static int
compare_urgency (const struct fairshare_item *a,
                 const struct fairshare_item *b)
{
  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  return ts_cmp (a->deadline, b->deadline);
}

static int
by_customer (const void *x, const void *y)
{
  int order = compare_customers (x, y);

  return order != 0 ? order : compare_urgency (x, y);
}

static int
by_tag (const void *x, const void *y)
{
  const struct fairshare_item *a = x;
  const struct fairshare_item *b = y;

  if (a->priority != b->priority)
    return a->priority < b->priority ? -1 : 1;
  if (a->tag < b->tag || a->tag > b->tag)
    return a->tag < b->tag ? -1 : 1;
  return ts_cmp (a->deadline, b->deadline);
}

static bool
have_one_customer (const struct fairshare_item *items, size_t count)
{
  for (size_t i = 1; i < count; i++)
    if (compare_customers (&items[0], &items[i]) != 0)
      return false;
  return true;
}

bool
fairshare_order (struct fairshare *share, struct fairshare_item *items,
                 size_t count, struct timespec now)
{
  if (have_one_customer (items, count))
    return false;
  qsort (items, count, sizeof *items, by_customer);
  for (size_t i = 0; i < count; i++)
    {
      const struct customer *customer;

      if (i > 0 && compare_customers (&items[i - 1], &items[i]) == 0)
        {
          items[i].tag
              = items[i - 1].tag + cost_of (share, &items[i - 1].request);
          continue;
        }
      customer = find (share, items[i].request.customer, now);
      items[i].tag = customer != NULL ? customer->used : 0;
    }
  qsort (items, count, sizeof *items, by_tag);
  return true;
}

void
fairshare_clean (struct fairshare *share, struct timespec now)
{
  GHashTableIter iter;
  struct customer *customer;

  g_hash_table_iter_init (&iter, share->customers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&customer))
    {
      decay (customer, now);
      if (!is_active (customer, now))
        g_hash_table_iter_remove (&iter);
    }
}

#include <string.h>
#include "counter.h"
#include "fairshare.h"
#include "forward_state.h"

/* Part of the usual longest delay at an engine for which requests of a
   customer are sent that is over, so that they are refused first.  */
#define OVER_DELAY_SHARE 0.5

/* Without customers nothing is counted.  */
static bool
has_shares (const struct forward *forward)
{
  return forward->site != NULL && forward->site->keys_required;
}

static struct fairshare_request
request_of (const struct forward *forward)
{
  const struct site_customer *customer = forward->customer;
  struct fairshare_request request = { 0 };

  if (customer == NULL)
    return request;
  request.customer = customer->name;
  if (customer->per_s > 0)
    request.cost_s = (double)forward_amount (forward) / customer->per_s;
  return request;
}

void
forward_fair_sent (const struct forward *forward)
{
  struct fairshare_request request = request_of (forward);

  if (has_shares (forward))
    fairshare_sent (forward->gateway->fairshare, &request,
                    forward_now (forward));
}

/* Capacity was short only if there were servers for the request.  */
void
forward_fair_refused (const struct forward *forward)
{
  struct fairshare_request request = request_of (forward);

  if (!has_shares (forward) || forward->explanation.usable == 0)
    return;
  if (forward_is_over (forward))
    counter_add (COUNTER_OVER_REFUSED, 1);
  fairshare_refused (forward->gateway->fairshare, &request,
                     forward_now (forward));
}

void
forward_fair_wait (struct forward *forward)
{
  struct fairshare_request request = request_of (forward);

  if (!has_shares (forward) || forward->explanation.usable == 0)
    return;
  forward->waits_for_capacity = true;
  fairshare_waits (forward->gateway->fairshare, &request, 1,
                   forward_now (forward));
}

void
forward_fair_end_wait (struct forward *forward)
{
  struct fairshare_request request = request_of (forward);

  if (!forward->waits_for_capacity)
    return;
  forward->waits_for_capacity = false;
  fairshare_waits (forward->gateway->fairshare, &request, -1,
                   forward_now (forward));
}

bool
forward_is_over (const struct forward *forward)
{
  return has_shares (forward)
         && fairshare_is_over (
             forward->gateway->fairshare,
             forward->customer != NULL ? forward->customer->name : NULL,
             forward_now (forward));
}

double
forward_delay_share (const struct forward *forward)
{
  return forward_is_over (forward) ? OVER_DELAY_SHARE : 1;
}

static bool
needs_same (const struct forward *a, const struct forward *b)
{
  return g_strcmp0 (a->target, b->target) == 0
         && g_strcmp0 (a->software, b->software) == 0
         && strcmp (a->service->name, b->service->name) == 0;
}

/* Requests of one route have the same priority unless customers have their
   own.  */
unsigned
forward_waiting_priority (const struct forward *forward)
{
  const struct forward *at;

  if (!has_shares (forward))
    return forward_priority (forward);
  TAILQ_FOREACH (at, &forward->gateway->waiting, link)
    {
      if (needs_same (at, forward))
        return forward_priority (at); /* the list begins with the highest */
    }
  return forward_priority (forward);
}

static GArray *
collect_waiting (const struct gateway *gateway)
{
  GArray *items = g_array_new (FALSE, FALSE, sizeof (struct fairshare_item));
  struct forward *forward;

  TAILQ_FOREACH (forward, &gateway->waiting, link)
    {
      struct fairshare_item item = { .request = request_of (forward),
                                     .priority = forward_priority (forward),
                                     .deadline = forward->deadline,
                                     .user = forward };

      g_array_append_val (items, item);
    }
  return items;
}

void
forward_order_waiting (struct gateway *gateway)
{
  const struct site *site = listing_site (gateway->listing);
  GArray *items;

  if (site == NULL || !site->keys_required || TAILQ_EMPTY (&gateway->waiting))
    return;
  items = collect_waiting (gateway);
  if (fairshare_order (gateway->fairshare,
                       (struct fairshare_item *)items->data, items->len,
                       clk_now (gateway->core->clk)))
    for (guint i = 0; i < items->len; i++)
      {
        struct forward *forward
            = g_array_index (items, struct fairshare_item, i).user;

        TAILQ_REMOVE (&gateway->waiting, forward, link);
        TAILQ_INSERT_TAIL (&gateway->waiting, forward, link);
      }
  g_array_unref (items);
}

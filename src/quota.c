#include <math.h>
#include <string.h>
#include "quota_state.h"
#include "ts.h"

#define TICK_MS 500    /* of a home; far less than QUOTA_PAUSE_MS */
#define SHARES_MS 1000 /* between looks at how old the links are */
/* Usual sizes of requests.  */
#define UNIT_TOKENS 10240
#define UNIT_REQUESTS 1
#define LARGEST_TOKENS 20480
/* Only one part of the fleet can have more than this share of all nodes, and
   only that one issues bursts.  */
#define MAJORITY 0.5
#define PAUSE_SHARE 0.5    /* of the time in which a bucket becomes full */
#define MOVED_RETRY_MS 200 /* time for a node to learn of another home */

static void
ask_clear (gpointer data)
{
  struct ask *ask = data;

  g_free (ask->home);
}

static void
limit_free (gpointer data)
{
  struct limit *limit = data;

  for (size_t i = 0; i < limit->home_count; i++)
    g_free (limit->homes[i].name);
  quota_credit_clear (&limit->credit);
  g_array_unref (limit->asks);
  g_array_unref (limit->waits);
  g_hash_table_unref (limit->returns);
  g_free (limit->customer);
  g_free (limit);
}

struct quota *
quota_new (const struct quota_options *options)
{
  const struct quota_bounds *bounds = &options->bounds;
  struct quota *quota = g_new0 (struct quota, 1);

  quota->homes = homes_new (options->node);
  quota->prefetches
      = bounds->over * (double)bounds->window_ms >= QUOTA_CREDIT_MS;
  quota->slack = bounds->slack;
  quota->owes = bounds->slack >= QUOTA_HOMES * LARGEST_TOKENS;
  quota->limits
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, limit_free);
  quota->serial = options->serial;
  return quota;
}

void
quota_free (struct quota *quota)
{
  if (quota == NULL)
    return;
  g_hash_table_unref (quota->limits);
  homes_free (quota->homes);
  g_free (quota);
}

static void
release_action (struct action *action)
{
  struct quota_action *quota_action = (struct quota_action *)action;

  g_free (quota_action->node);
  g_free (quota_action->customer);
}

struct quota_action *
quota_push (struct action_list *actions, enum quota_action_type type,
            const char *node, const char *customer)
{
  struct quota_action *action
      = action_push (actions, sizeof *action, (int)type);

  action->action.release = release_action;
  action->node = g_strdup (node);
  action->customer = g_strdup (customer);
  return action;
}

static void
push_ready (struct action_list *actions)
{
  action_push (actions, sizeof (struct quota_action), (int)QUOTA_READY);
}

static bool
has_settled (const struct limit *limit)
{
  for (guint i = 0; i < limit->waits->len; i++)
    if (g_array_index (limit->waits, struct wait, i).verdict.state
        != QUOTA_ASKED)
      return true;
  return false;
}

void
quota_push_ready (const struct limit *limit, struct action_list *actions)
{
  if (has_settled (limit))
    push_ready (actions);
}

/* Parts.  */

static double
unit_of (const struct limit *limit)
{
  return limit->terms.by_tokens ? UNIT_TOKENS : UNIT_REQUESTS;
}

static void
set_shares (struct quota *quota, struct timespec now)
{
  quota->shares_at = now;
  quota->share = homes_settled_share (quota->homes, QUOTA_JOIN_MS, now);
  quota->own_share = homes_own_share (quota->homes);
  quota->rank = homes_rank (quota->homes);
}

static void
set_parts (const struct quota *quota, struct limit *limit, struct timespec now)
{
  double home_share = quota->share / (double)limit->home_count;
  struct quota_part part = { .per_s = limit->terms.per_s * home_share,
                             .burst = limit->terms.burst * home_share,
                             .unit = unit_of (limit),
                             .owes = quota->owes && limit->terms.by_tokens,
                             .slots = quota->share <= MAJORITY,
                             .phase = quota->rank };

  if (limit->is_home)
    quota_bucket_set (&limit->bucket, &part, now);
  part.per_s = limit->terms.per_s * quota->own_share;
  part.burst = 0;
  part.slots = true;
  quota_bucket_set (&limit->own, &part, now);
}

void
quota_begin_trouble (struct limit *limit, struct timespec since,
                     struct timespec now)
{
  if (!ts_is_zero (limit->trouble_since))
    return;
  limit->trouble_since = since;
  quota_bucket_start (&limit->own, ts_add_ms (since, QUOTA_LEAVE_MS), now);
}

static bool
any_home_linked (const struct quota *quota, const struct limit *limit)
{
  for (size_t i = 0; i < limit->home_count; i++)
    if (homes_is_linked (quota->homes, limit->homes[i].name))
      return true;
  return limit->is_home;
}

/* What is known of a home is kept while it stays one.  */
static struct home
take_home (struct limit *limit, const char *name)
{
  struct home home = { 0 };

  for (size_t i = 0; i < limit->home_count; i++)
    if (g_strcmp0 (limit->homes[i].name, name) == 0)
      {
        home = limit->homes[i];
        limit->homes[i].name = NULL;
        return home;
      }
  home.name = g_strdup (name);
  return home;
}

/* A bucket that is begun anew is empty: another home has issued the same part
   until now, or this one has in a former life.  */
static void
set_homes (const struct quota *quota, struct limit *limit, struct timespec now)
{
  const char *names[QUOTA_HOMES];
  size_t count
      = homes_first (quota->homes, limit->customer, names, QUOTA_HOMES);
  struct home homes[QUOTA_HOMES] = { 0 };
  bool is_home = false;

  for (size_t i = 0; i < count; i++)
    {
      homes[i] = take_home (limit, names[i]);
      is_home |= quota->known && homes_is_self (quota->homes, names[i]);
    }
  for (size_t i = 0; i < limit->home_count; i++)
    g_free (limit->homes[i].name);
  memcpy (limit->homes, homes, sizeof homes);
  limit->home_count = count;
  if (is_home && !limit->is_home)
    quota_bucket_start (
        &limit->bucket,
        ts_add_ms (ts_max (homes_changed_at (quota->homes), quota->known_at),
                   QUOTA_HOLD_MS),
        now);
  limit->is_home = is_home;
}

static void
update_limit (const struct quota *quota, struct limit *limit, bool homes,
              struct timespec now)
{
  if (homes)
    set_homes (quota, limit, now);
  set_parts (quota, limit, now);
  if (!any_home_linked (quota, limit))
    quota_begin_trouble (limit, now, now);
}

void
quota_set_nodes (struct quota *quota, const struct homes_node *nodes,
                 size_t count, bool known, struct timespec now)
{
  struct timespec changed_at = homes_changed_at (quota->homes);
  bool changed = known != quota->known;
  GHashTableIter iter;
  struct limit *limit;

  homes_set (quota->homes, nodes, count, now);
  changed |= ts_cmp (changed_at, homes_changed_at (quota->homes)) != 0;
  if (known && !quota->known)
    quota->known_at = now;
  quota->known = known;
  set_shares (quota, now);
  g_hash_table_iter_init (&iter, quota->limits);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&limit))
    update_limit (quota, limit, changed, now);
}

/* Limits.  */

static struct limit *
new_limit (struct quota *quota, const char *customer)
{
  struct limit *limit = g_new0 (struct limit, 1);

  limit->customer = g_strdup (customer);
  limit->asks = g_array_new (FALSE, TRUE, sizeof (struct ask));
  g_array_set_clear_func (limit->asks, ask_clear);
  limit->waits = g_array_new (FALSE, TRUE, sizeof (struct wait));
  limit->returns
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  quota_credit_init (&limit->credit);
  /* All nodes begin with different homes.  */
  limit->rotation = (unsigned)(homes_phase (quota->homes, customer) * 1000);
  g_hash_table_insert (quota->limits, limit->customer, limit);
  return limit;
}

static const struct quota_limit *
find_terms (const struct quota_limit *limits, size_t count,
            const char *customer)
{
  for (size_t i = 0; i < count; i++)
    if (limits[i].per_s > 0 && strcmp (limits[i].customer, customer) == 0)
      return &limits[i];
  return NULL;
}

void
quota_set_limits (struct quota *quota, const struct quota_limit *limits,
                  size_t count, struct timespec now,
                  struct action_list *actions)
{
  GHashTableIter iter;
  struct limit *limit;

  g_hash_table_iter_init (&iter, quota->limits);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&limit))
    if (find_terms (limits, count, limit->customer) == NULL)
      g_hash_table_iter_remove (&iter);
  for (size_t i = 0; i < count; i++)
    {
      if (limits[i].per_s <= 0)
        continue;
      limit = quota_find (quota, limits[i].customer);
      if (limit == NULL)
        limit = new_limit (quota, limits[i].customer);
      limit->terms = limits[i];
      limit->terms.customer = NULL;
      update_limit (quota, limit, true, now);
    }
  push_ready (actions);
}

/* Messages from peers.  */

void
quota_returned (struct quota *quota, const char *peer, const char *customer,
                uint64_t number, double amount, int64_t age_ms,
                struct timespec now)
{
  struct limit *limit = quota_find (quota, customer);
  const uint64_t *last;

  if (limit == NULL || !limit->is_home)
    return;
  /* A message that came twice would be credited twice.  */
  last = g_hash_table_lookup (limit->returns, peer);
  if (last != NULL && number <= *last)
    return;
  g_hash_table_replace (limit->returns, g_strdup (peer),
                        g_memdup2 (&number, sizeof number));
  quota_bucket_give_back (&limit->bucket, amount, ts_add_ms (now, -age_ms),
                          now);
}

/* How long a node that was refused asks for nothing.  The bucket does not
   overflow in so long if no other node asks.  */
static int64_t
pause_ms (const struct quota_part *part)
{
  return part->per_s > 0
             ? (int64_t)(TS_MS_PER_S * part->burst * PAUSE_SHARE / part->per_s)
             : 0;
}

void
quota_asked (struct quota *quota, const char *peer, const char *customer,
             uint64_t number, double need, double want, struct timespec now,
             struct action_list *actions)
{
  struct limit *limit = quota_find (quota, customer);
  struct quota_action *action
      = quota_push (actions, QUOTA_SEND_GRANT, peer, customer);
  int64_t ready_ms = MOVED_RETRY_MS;

  action->number = number;
  if (limit != NULL && limit->is_home)
    {
      ready_ms = 0;
      if (need <= 0
          || quota_bucket_issue (&limit->bucket, need, now, &ready_ms))
        action->need
            = need + quota_bucket_issue_extra (&limit->bucket, want, now);
      else
        {
          action->wait_ms
              = quota_bucket_promise (&limit->bucket, need, ready_ms, now);
          ready_ms = MAX (
              ready_ms, MIN (action->wait_ms, pause_ms (&limit->bucket.part)));
        }
    }
  else
    action->wait_ms = MOVED_RETRY_MS;
  action->ready_ms = ready_ms;
}

static guint
find_ask (const struct limit *limit, uint64_t number)
{
  guint i = 0;

  while (i < limit->asks->len
         && g_array_index (limit->asks, struct ask, i).number != number)
    i++;
  return i;
}

static struct home *
find_home (struct limit *limit, const char *name)
{
  for (size_t i = 0; i < limit->home_count; i++)
    if (strcmp (limit->homes[i].name, name) == 0)
      return &limit->homes[i];
  return NULL;
}

/* The home has refused a request, which goes to the next one.  */
static void
refused (struct quota *quota, struct limit *limit, uint64_t id,
         int64_t wait_ms, struct timespec now, struct action_list *actions)
{
  struct wait *wait = quota_find_wait (limit, id);

  if (wait == NULL || wait->verdict.state != QUOTA_ASKED)
    return;
  quota_note_refusal (wait, wait_ms, now);
  quota_try_homes (quota, limit, wait, now, actions);
}

void
quota_granted (struct quota *quota, const char *peer, const char *customer,
               uint64_t number, double amount, int64_t wait_ms,
               int64_t ready_ms, struct timespec now,
               struct action_list *actions)
{
  struct limit *limit = quota_find (quota, customer);
  guint i = limit != NULL ? find_ask (limit, number) : 0;
  struct home *home;
  struct ask ask;

  if (limit == NULL || i == limit->asks->len)
    return;
  ask = g_array_index (limit->asks, struct ask, i);
  limit->trouble_since = (struct timespec){ 0 };
  home = find_home (limit, peer);
  if (home != NULL)
    {
      home->silent_until = (struct timespec){ 0 };
      if (ready_ms > 0)
        home->full_until = ts_add_ms (now, ready_ms);
    }
  g_array_remove_index (limit->asks, i);
  quota_credit_add (&limit->credit, amount, ask.at);
  quota_settle_by_credit (limit, ask.wait, now);
  if (amount <= 0)
    refused (quota, limit, ask.timed_out ? 0 : ask.wait, wait_ms, now,
             actions);
  quota_push_ready (limit, actions);
}

/* Time.  */

static void
time_out (struct quota *quota, struct limit *limit, guint i,
          struct timespec now, struct action_list *actions)
{
  struct ask *ask = &g_array_index (limit->asks, struct ask, i);
  struct home *home = find_home (limit, ask->home);
  struct wait *wait = quota_find_wait (limit, ask->wait);

  ask->timed_out = true;
  if (home != NULL)
    home->silent_until = ts_add_ms (now, QUOTA_SILENT_MS);
  quota_begin_trouble (limit, ask->at, now);
  if (wait != NULL && wait->verdict.state == QUOTA_ASKED)
    quota_try_homes (quota, limit, wait, now, actions);
}

static void
expire_asks (struct quota *quota, struct limit *limit, struct timespec now,
             struct action_list *actions)
{
  for (guint i = limit->asks->len; i > 0; i--)
    {
      const struct ask *ask = &g_array_index (limit->asks, struct ask, i - 1);

      if (!ask->timed_out
          && !ts_before (now, ts_add_ms (ask->at, QUOTA_REPLY_MS)))
        time_out (quota, limit, i - 1, now, actions);
    }
  for (guint i = limit->asks->len; i > 0; i--)
    if (!ts_before (
            now, ts_add_ms (g_array_index (limit->asks, struct ask, i - 1).at,
                            QUOTA_CREDIT_MS)))
      g_array_remove_index (limit->asks, i - 1);
}

static void
retry_waits (struct quota *quota, struct limit *limit, struct timespec now,
             struct action_list *actions)
{
  for (guint i = 0; i < limit->waits->len; i++)
    {
      struct wait *wait = &g_array_index (limit->waits, struct wait, i);

      if (wait->verdict.state == QUOTA_ASKED && !ts_is_zero (wait->retry_at)
          && !ts_before (now, wait->retry_at))
        quota_try_homes (quota, limit, wait, now, actions);
    }
}

void
quota_tick (struct quota *quota, struct timespec now,
            struct action_list *actions)
{
  GHashTableIter iter;
  struct limit *limit;

  quota->ticked_at = now;
  if (!ts_before (now, ts_add_ms (quota->shares_at, SHARES_MS)))
    set_shares (quota, now);
  g_hash_table_iter_init (&iter, quota->limits);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&limit))
    {
      struct quota_taken due;

      set_parts (quota, limit, now);
      while (quota_credit_take_due (&limit->credit, now, &due))
        quota_give_back (quota, limit, &due, now, actions);
      expire_asks (quota, limit, now, actions);
      retry_waits (quota, limit, now, actions);
      quota_push_ready (limit, actions);
    }
}

static struct timespec
earlier (struct timespec a, struct timespec b)
{
  if (ts_is_zero (a) || ts_is_zero (b))
    return ts_max (a, b);
  return ts_min (a, b);
}

static struct timespec
limit_next (const struct limit *limit)
{
  struct timespec next = quota_credit_due_at (&limit->credit);

  for (guint i = 0; i < limit->asks->len; i++)
    {
      const struct ask *ask = &g_array_index (limit->asks, struct ask, i);

      next = earlier (next,
                      ts_add_ms (ask->at, ask->timed_out ? QUOTA_CREDIT_MS
                                                         : QUOTA_REPLY_MS));
    }
  for (guint i = 0; i < limit->waits->len; i++)
    next = earlier (next,
                    g_array_index (limit->waits, struct wait, i).retry_at);
  return next;
}

struct timespec
quota_next (const struct quota *quota)
{
  struct timespec next = { 0 };
  GHashTableIter iter;
  const struct limit *limit;

  g_hash_table_iter_init (&iter, quota->limits);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&limit))
    next = earlier (next, limit_next (limit));
  if (g_hash_table_size (quota->limits) > 0)
    next = earlier (next, ts_add_ms (quota->ticked_at, TICK_MS));
  return next;
}

bool
quota_status (struct quota *quota, const char *customer, struct timespec now,
              struct quota_status *status)
{
  struct limit *limit = quota_find (quota, customer);

  if (limit == NULL)
    return false;
  *status = (struct quota_status){
    .per_s = limit->terms.per_s,
    .use_per_s = quota_credit_use_per_s (&limit->credit, now),
    .balance = quota_credit_balance (&limit->credit, now),
    .exceeded = limit->exceeded,
    .is_home = limit->is_home,
    .level = limit->is_home ? limit->bucket.level : 0,
    .home_count = limit->home_count,
  };
  for (guint i = 0; i < limit->waits->len; i++)
    status->waiting
        += g_array_index (limit->waits, struct wait, i).verdict.state
           == QUOTA_ASKED;
  for (size_t i = 0; i < limit->home_count; i++)
    {
      const struct home *home = &limit->homes[i];

      status->homes[i] = home->name;
      status->homes_reached += homes_is_linked (quota->homes, home->name)
                               && !ts_before (now, home->silent_until);
    }
  return true;
}

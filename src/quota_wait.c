#include <string.h>
#include "quota_state.h"
#include "ts.h"

#define REQUEST_SLACK_SHARE 0.5 /* that one request may use */
#define RETRY_MS 50             /* while no home is reached */
/* Between asks for credit that no request waits for.  */
#define PREFETCH_MS 100
#define PREFETCH_S 0.65       /* of the expected use is asked for */
#define PREFETCH_REQUESTS 1.5 /* of them at least */
/* Share of that which may be missing before more is asked for.  */
#define PREFETCH_MISSING 0.75

/* Requests that wait.  */

struct wait *
quota_find_wait (const struct limit *limit, uint64_t id)
{
  for (guint i = 0; id != 0 && i < limit->waits->len; i++)
    {
      struct wait *wait = &g_array_index (limit->waits, struct wait, i);

      if (wait->id == id)
        return wait;
    }
  return NULL;
}

static void
remove_wait (struct limit *limit, uint64_t id)
{
  struct wait *wait = quota_find_wait (limit, id);

  if (wait != NULL)
    g_array_remove_index (
        limit->waits,
        (guint)(wait - &g_array_index (limit->waits, struct wait, 0)));
}

static void
settle_taken (struct limit *limit, struct wait *wait,
              const struct quota_taken *taken, struct timespec now)
{
  wait->verdict.state = QUOTA_TAKEN;
  wait->verdict.taken = *taken;
  quota_credit_note_use (&limit->credit, wait->need, now);
}

/* Each refused request is told another time, as they would all come back at
   once.  */
static void
settle_exceeded (struct limit *limit, struct wait *wait, int64_t wait_ms,
                 struct timespec now)
{
  struct timespec at = ts_add_ms (now, MAX (wait_ms, 1));

  if (ts_before (at, limit->promised)
      && ts_before (limit->promised, ts_add_ms (now, QUOTA_PROMISE_MAX_MS)))
    at = limit->promised;
  limit->promised
      = ts_add (at, ts_from_s (MIN (wait->need / limit->terms.per_s,
                                    QUOTA_PROMISE_MAX_MS / 1000.0)));
  limit->exceeded++;
  wait->verdict.state = QUOTA_EXCEEDED;
  wait->verdict.wait_ms = ts_to_ms (ts_sub (at, now));
}

static void
settle_one_by_credit (struct limit *limit, struct wait *wait,
                      struct timespec now)
{
  struct quota_taken taken;

  if (wait->verdict.state == QUOTA_ASKED
      && quota_credit_take (&limit->credit, wait->need, now, &taken))
    settle_taken (limit, wait, &taken, now);
}

/* The request whose ask was answered comes first: no other answer may come for
   it.  */
void
quota_settle_by_credit (struct limit *limit, uint64_t first,
                        struct timespec now)
{
  struct wait *wait = quota_find_wait (limit, first);

  if (wait != NULL)
    settle_one_by_credit (limit, wait, now);
  for (guint i = 0; i < limit->waits->len; i++)
    settle_one_by_credit (limit, &g_array_index (limit->waits, struct wait, i),
                          now);
}

/* Asking.  */

static bool
was_tried (const struct wait *wait, const struct home *home)
{
  for (size_t i = 0; i < wait->tried_count; i++)
    if (wait->tried[i] == g_str_hash (home->name))
      return true;
  return false;
}

/* Homes that are silent come last, this node first.  */
static struct home *
choose_home (const struct quota *quota, struct limit *limit,
             const struct wait *wait, struct timespec now)
{
  struct home *best = NULL;

  for (size_t i = 0; i < limit->home_count; i++)
    {
      struct home *home
          = &limit->homes[(i + limit->rotation) % limit->home_count];
      bool is_self = homes_is_self (quota->homes, home->name);

      if ((is_self && !limit->is_home)
          || !homes_is_linked (quota->homes, home->name)
          || ts_before (now, home->full_until) || was_tried (wait, home))
        continue;
      if (is_self)
        return home;
      if (best == NULL
          || (ts_before (now, best->silent_until)
              && !ts_before (now, home->silent_until)))
        best = home;
    }
  limit->rotation++;
  return best;
}

/* How much is to be asked for beyond AMOUNT, that of the latest request; 0:
   nothing.  A node that asks for less than one request at a time would save no
   message.  */
static double
take_prefetch (const struct quota *quota, struct limit *limit, double amount,
               struct timespec now)
{
  double expected = quota_credit_use_per_s (&limit->credit, now) * PREFETCH_S;
  double missing = expected - quota_credit_balance (&limit->credit, now);

  if (!quota->prefetches || ts_before (now, limit->prefetch_at)
      || expected < PREFETCH_REQUESTS * amount
      || missing < expected * PREFETCH_MISSING)
    return 0;
  limit->prefetch_at = ts_add_ms (now, PREFETCH_MS);
  return missing;
}

static void
send_ask (struct quota *quota, struct limit *limit, const struct home *home,
          const struct wait *wait, double want, struct timespec now,
          struct action_list *actions)
{
  struct ask ask = { .number = ++quota->serial,
                     .wait = wait != NULL ? wait->id : 0,
                     .home = g_strdup (home->name),
                     .at = now,
                     .need = wait != NULL ? wait->need : 0 };
  struct quota_action *action
      = quota_push (actions, QUOTA_SEND_ASK, home->name, limit->customer);

  action->number = ask.number;
  action->need = ask.need;
  action->want = want;
  g_array_append_val (limit->asks, ask);
}

void
quota_note_refusal (struct wait *wait, int64_t wait_ms, struct timespec now)
{
  struct timespec at = ts_add_ms (now, wait_ms);

  wait->refused = true;
  if (ts_is_zero (wait->ready_at) || ts_before (at, wait->ready_at))
    wait->ready_at = at;
}

/* This node is the home.  */
static bool
issue_here (struct limit *limit, struct home *home, struct wait *wait,
            struct timespec now)
{
  struct quota_taken taken = { wait->need, now };
  int64_t ready_ms;

  if (quota_bucket_issue (&limit->bucket, wait->need, now, &ready_ms))
    {
      settle_taken (limit, wait, &taken, now);
      return true;
    }
  home->full_until = ts_add_ms (now, ready_ms);
  quota_note_refusal (
      wait, quota_bucket_promise (&limit->bucket, wait->need, ready_ms, now),
      now);
  return false;
}

/* The time until a home has something again; 0: none has refused.  */
static int64_t
refused_for_ms (const struct quota *quota, const struct limit *limit,
                struct timespec now)
{
  int64_t least = 0;

  for (size_t i = 0; i < limit->home_count; i++)
    {
      const struct home *home = &limit->homes[i];
      int64_t ms = ts_to_ms (ts_sub (home->full_until, now)) + 1;

      if (homes_is_linked (quota->homes, home->name)
          && ts_before (now, home->full_until) && (least == 0 || ms < least))
        least = ms;
    }
  return least;
}

/* A node that has just started may know too few others, and its share of all
   would be too large.  */
static bool
knows_nodes (const struct quota *quota, struct timespec now)
{
  return quota->known
         && !ts_before (now, ts_add_ms (quota->known_at, QUOTA_HOLD_MS));
}

/* All homes that can be asked have refused.  The request asks again when the
   first of them may issue it, if that is soon; homes tell each asker another
   time.  */
static void
settle_refused (struct limit *limit, struct wait *wait, int64_t ms,
                struct timespec now)
{
  struct timespec last = ts_add_ms (wait->began_at, QUOTA_QUEUE_MS);
  struct timespec at = wait->ready_at;

  if (ts_is_zero (at))
    at = ts_add_ms (now, MAX (ms, 1));
  if (!ts_before (last, at) && ts_before (now, at))
    {
      wait->retry_at = at;
      wait->ready_at = (struct timespec){ 0 };
      wait->refused = false;
      wait->tried_count = 0;
    }
  else
    settle_exceeded (limit, wait, MAX (ms, ts_to_ms (ts_sub (at, now))), now);
}

/* No home can be asked.  */
static void
settle_alone (const struct quota *quota, struct limit *limit,
              struct wait *wait, struct timespec now)
{
  struct quota_taken taken = { wait->need, { 0 } };
  int64_t ms = refused_for_ms (quota, limit, now);

  if (ms > 0 || wait->refused)
    {
      settle_refused (limit, wait, ms, now);
      return;
    }
  quota_begin_trouble (limit, now, now);
  ms = QUOTA_PATIENCE_MS;
  if (ts_before (now, ts_add_ms (limit->trouble_since, QUOTA_PATIENCE_MS)))
    {
      wait->retry_at = ts_add_ms (now, RETRY_MS);
      wait->tried_count = 0;
    }
  else if (knows_nodes (quota, now)
           && quota_bucket_issue (&limit->own, wait->need, now, &ms))
    settle_taken (limit, wait, &taken, now);
  else
    settle_exceeded (limit, wait, ms, now);
}

void
quota_try_homes (struct quota *quota, struct limit *limit, struct wait *wait,
                 struct timespec now, struct action_list *actions)
{
  struct home *home;

  wait->retry_at = (struct timespec){ 0 };
  while ((home = choose_home (quota, limit, wait, now)) != NULL)
    {
      if (wait->tried_count < QUOTA_HOMES)
        wait->tried[wait->tried_count++] = g_str_hash (home->name);
      if (!homes_is_self (quota->homes, home->name))
        {
          send_ask (quota, limit, home, wait,
                    take_prefetch (quota, limit, wait->need, now), now,
                    actions);
          return;
        }
      limit->trouble_since = (struct timespec){ 0 };
      if (issue_here (limit, home, wait, now))
        return;
    }
  settle_alone (quota, limit, wait, now);
}

/* Asks before the credit has run out.  As a home, this node needs no
   message.  */
static void
prefetch (struct quota *quota, struct limit *limit, double amount,
          struct timespec now, struct action_list *actions)
{
  struct wait none = { 0 };
  double want = limit->is_home ? 0 : take_prefetch (quota, limit, amount, now);
  const struct home *home = NULL;

  if (want > 0)
    home = choose_home (quota, limit, &none, now);
  if (home != NULL)
    send_ask (quota, limit, home, NULL, want, now, actions);
}

/* Requests.  */

static struct quota_verdict
take_verdict (struct limit *limit, const struct wait *wait)
{
  struct quota_verdict verdict = wait->verdict;

  verdict.wait = wait->id;
  if (verdict.state != QUOTA_ASKED)
    remove_wait (limit, wait->id);
  return verdict;
}

/* A request for more would leave its home a debt that the bounds do not
   allow.  */
static double
most_at_once (const struct quota *quota, const struct limit *limit)
{
  double slack = limit->terms.by_tokens ? quota->slack : 0;

  return MAX (limit->terms.burst + slack * REQUEST_SLACK_SHARE, 1);
}

struct quota_verdict
quota_take (struct quota *quota, const char *customer, double amount,
            struct timespec now, struct action_list *actions)
{
  struct limit *limit = quota_find (quota, customer);
  struct wait wait
      = { .need = amount, .began_at = now, .verdict.state = QUOTA_ASKED };
  struct wait *added;

  if (limit == NULL)
    return (struct quota_verdict){ .state = QUOTA_TAKEN };
  if (amount > most_at_once (quota, limit))
    return (struct quota_verdict){ .state = QUOTA_EXCEEDED };
  wait.id = ++quota->serial;
  g_array_append_val (limit->waits, wait);
  quota_settle_by_credit (limit, 0, now);
  added = quota_find_wait (limit, wait.id);
  if (added->verdict.state == QUOTA_TAKEN)
    prefetch (quota, limit, amount, now, actions);
  else
    quota_try_homes (quota, limit, added, now, actions);
  return take_verdict (limit, added);
}

struct quota_verdict
quota_check (struct quota *quota, const char *customer, uint64_t wait)
{
  struct limit *limit = quota_find (quota, customer);
  const struct wait *found
      = limit != NULL ? quota_find_wait (limit, wait) : NULL;

  /* The limit was lifted.  */
  if (found == NULL)
    return (struct quota_verdict){ .state = QUOTA_TAKEN };
  return take_verdict (limit, found);
}

void
quota_leave (struct quota *quota, const char *customer, uint64_t wait,
             struct timespec now, struct action_list *actions)
{
  struct limit *limit = quota_find (quota, customer);
  const struct wait *found
      = limit != NULL ? quota_find_wait (limit, wait) : NULL;
  struct quota_taken taken;

  if (found == NULL)
    return;
  taken = found->verdict.taken;
  remove_wait (limit, wait);
  quota_return (quota, customer, &taken, now, actions);
}

/* Returns.  */

static const char *
home_for_return (const struct quota *quota, struct limit *limit)
{
  for (size_t i = 0; i < limit->home_count; i++)
    {
      const struct home *home
          = &limit->homes[(limit->rotation + i) % limit->home_count];

      if (limit->is_home ? homes_is_self (quota->homes, home->name)
                         : homes_is_linked (quota->homes, home->name)
                               && !homes_is_self (quota->homes, home->name))
        return home->name;
    }
  return NULL;
}

/* A home that did not issue the amount can take it as well: the limits of all
   add up.  */
void
quota_give_back (struct quota *quota, struct limit *limit,
                 const struct quota_taken *taken, struct timespec now,
                 struct action_list *actions)
{
  const char *home = home_for_return (quota, limit);
  struct quota_action *action;

  limit->rotation++;
  if (home == NULL)
    return;
  if (homes_is_self (quota->homes, home))
    {
      quota_bucket_give_back (&limit->bucket, taken->amount, taken->at, now);
      return;
    }
  action = quota_push (actions, QUOTA_SEND_RETURN, home, limit->customer);
  action->number = ++quota->serial;
  action->need = taken->amount;
  action->age_ms = ts_to_ms (ts_sub (now, taken->at)) + 1;
}

void
quota_return (struct quota *quota, const char *customer,
              const struct quota_taken *taken, struct timespec now,
              struct action_list *actions)
{
  struct limit *limit = quota_find (quota, customer);

  if (limit == NULL || ts_is_zero (taken->at) || taken->amount <= 0)
    return;
  if (ts_before (now, ts_add_ms (taken->at, QUOTA_CREDIT_RETURN_MS))
      && !limit->is_home)
    {
      quota_credit_add (&limit->credit, taken->amount, taken->at);
      quota_settle_by_credit (limit, 0, now);
      quota_push_ready (limit, actions);
    }
  else
    quota_give_back (quota, limit, taken, now, actions);
}

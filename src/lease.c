#include "lease.h"

#include <inttypes.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>
#include "backoff.h"
#include "leaserow.h"
#include "ts.h"

#define CLOCK_RATE_FACTOR 1.02 /* clock rates may differ by 2 % */
#define RENEWALS_PER_LEASE 3
#define CANDIDATE_POLL_MS 1000     /* of rank 0; multiplied by rank + 1 */
#define RANK_DELAY_MS 1500         /* delay of acquisition per rank */
#define NON_CANDIDATE_TICK_MS 5000 /* tick while not a candidate */
#define RESPONSE_TICK_MS 1000      /* tick while waiting for the table */
#define HANDOVER_DELAY_MS 30000    /* then a holder with rank > 0 releases */
/* Bits of a token below the era.  A restore takes back fewer versions than
   this can count.  */
#define FENCE_ERA_SHIFT 24

enum attempt_kind
{
  ACQUIRE,
  RENEW,
  RELEASE
};

struct attempt
{
  enum attempt_kind kind;
  bool open;            /* not known to have succeeded or failed */
  bool waiting;         /* for the response of the table */
  bool outcome_unknown; /* the response did not tell whether it took effect */
  uint64_t number;
  struct timespec sent_at; /* first transmission */
  uint64_t fence;
  char *token;
  char *value;
  struct platform_check check;
  struct platform_write write;
};

struct lease
{
  char *cell;
  char *key;
  char *node;
  uint64_t incarnation;
  bool checks_fence;
  struct timespec duration;
  struct timespec margin;
  GRand *rand;
  enum lease_state state;
  unsigned rank;
  struct timespec rank_since; /* when the rank changed or the lease was won */
  struct leaserow seen;       /* the row as last read */
  struct attempt attempt;
  uint64_t attempt_count; /* attempts sent */
  uint64_t token_count;
  bool reading;
  bool table_unavailable; /* has failed since the last acquisition or
                             renewal */
  bool release_wanted;
  unsigned failures; /* consecutive */
  struct timespec next;
  uint64_t fence;       /* of the held lease; 0: none */
  uint64_t version;     /* of the row of the held lease; 0: none */
  uint64_t fence_floor; /* highest fencing token known to be used */
  struct timespec valid_until;
  unsigned orders;          /* sent with FENCE and not answered */
  struct timespec quiet_at; /* none of them can arrive after that */
  uint64_t era;             /* of the table; 0: not known */
  /* Until then this node may acquire the lease again that it held when the era
     began.  */
  struct timespec reclaim_until;
};

struct lease *
lease_new (const struct lease_options *options)
{
  struct lease *lease = g_new0 (struct lease, 1);

  lease->cell = g_strdup (options->cell);
  lease->key = g_strdup_printf ("cell/%s", options->cell);
  lease->node = g_strdup (options->node);
  lease->incarnation = options->incarnation;
  lease->checks_fence = options->checks_fence;
  lease->duration = ts_or_ms (options->duration, LEASE_DURATION_MS);
  lease->margin = ts_or_ms (options->margin, LEASE_MARGIN_MS);
  lease->rand = options->rand;
  lease->rank = UINT_MAX;
  return lease;
}

static void
attempt_close (struct attempt *attempt)
{
  g_free (attempt->token);
  g_free (attempt->value);
  memset (attempt, 0, sizeof *attempt);
}

void
lease_free (struct lease *lease)
{
  if (lease == NULL)
    return;
  attempt_close (&lease->attempt);
  g_free (lease->seen.holder);
  g_free (lease->cell);
  g_free (lease->key);
  g_free (lease->node);
  g_free (lease);
}

/* Records that the table failed; returns when to try again.  */
static struct timespec
record_table_failure (struct lease *lease, struct timespec now)
{
  lease->table_unavailable = true;
  return backoff_retry_at (lease->failures++, lease->rand, now);
}

static struct lease_action *
push (struct lease *lease, enum lease_action_type type,
      struct action_list *out)
{
  struct lease_action *action = action_push (out, sizeof *action, type);

  action->cell = lease->cell;
  action->key = lease->key;
  action->fence = lease->fence;
  action->version = lease->version;
  return action;
}

static void
read_row (struct lease *lease, struct timespec now, struct action_list *out)
{
  lease->next = ts_add_ms (now, RESPONSE_TICK_MS);
  if (lease->reading)
    return;
  lease->reading = true;
  push (lease, LEASE_READ, out);
}

static void
send_attempt (struct lease *lease, struct timespec now,
              struct action_list *out)
{
  struct attempt *attempt = &lease->attempt;
  struct lease_action *action = push (lease, LEASE_TXN, out);

  attempt->number = ++lease->attempt_count;
  attempt->waiting = true;
  action->attempt = attempt->number;
  action->txn.token = attempt->token;
  action->txn.checks = &attempt->check;
  action->txn.check_count = 1;
  action->txn.writes = &attempt->write;
  action->txn.write_count = 1;
  lease->next = ts_add_ms (now, RESPONSE_TICK_MS);
}

static void
begin_attempt (struct lease *lease, enum attempt_kind kind, uint64_t version,
               uint64_t fence, struct timespec now, struct action_list *out)
{
  struct attempt *attempt = &lease->attempt;

  attempt_close (attempt);
  attempt->kind = kind;
  attempt->open = true;
  attempt->sent_at = now;
  attempt->fence = fence;
  attempt->token
      = g_strdup_printf ("%s/%s/%" PRIu64 "/%" PRIu64, lease->key, lease->node,
                         lease->incarnation, ++lease->token_count);
  attempt->value = leaserow_text (lease->node, lease->incarnation, fence,
                                  lease->era, kind == RELEASE);
  attempt->check.key = lease->key;
  attempt->check.version = version;
  attempt->write.key = lease->key;
  attempt->write.value = attempt->value;
  send_attempt (lease, now, out);
}

static bool
held_by_self (const struct lease *lease)
{
  return g_strcmp0 (lease->seen.holder, lease->node) == 0
         && lease->seen.incarnation == lease->incarnation;
}

/* The holder was an earlier process of this node, which has exited.  */
static bool
held_by_former_incarnation (const struct lease *lease)
{
  return g_strcmp0 (lease->seen.holder, lease->node) == 0
         && lease->seen.incarnation < lease->incarnation;
}

/* Whether the row, or its absence, tells who holds the lease now.  */
static bool
row_is_current (const struct lease *lease)
{
  return lease->era <= 1 || lease->seen.era == lease->era;
}

/* Whether the lease is known to be free, or held by this node.  */
static bool
is_free (const struct lease *lease)
{
  const struct leaserow *seen = &lease->seen;

  return row_is_current (lease)
         && (seen->version == 0 || seen->released
             || (lease->checks_fence
                 && (seen->holder_dead
                     || held_by_former_incarnation (lease))));
}

static bool
may_reclaim (const struct lease *lease, struct timespec now)
{
  return ts_before (now, lease->reclaim_until);
}

/* Earliest time at which this candidate may acquire the lease.  */
static struct timespec
acquire_at (const struct lease *lease, struct timespec now)
{
  const struct leaserow *seen = &lease->seen;
  struct timespec delay = ts_from_ms ((int64_t)lease->rank * RANK_DELAY_MS);
  struct timespec free_at = seen->at;

  if (row_is_current (lease) && held_by_self (lease) && !seen->released)
    return seen->at;
  if (!row_is_current (lease) && may_reclaim (lease, now))
    return seen->at;
  if (!is_free (lease))
    free_at = ts_add (
        seen->at, ts_from_s (ts_to_s (lease->duration) * CLOCK_RATE_FACTOR));
  return ts_add (free_at, delay);
}

static bool
is_candidate (const struct lease *lease, struct timespec now)
{
  return (lease->rank < LEASE_CANDIDATES || may_reclaim (lease, now))
         && !lease->release_wanted;
}

/* Of two acquisitions in one era the later one is based on a higher version of
   the row.  */
static uint64_t
next_fence (const struct lease *lease)
{
  uint64_t next = MAX (lease->seen.fence, lease->fence_floor) + 1;

  if (lease->era == 0)
    return next;
  return MAX (next, (lease->era << FENCE_ERA_SHIFT) + lease->seen.version);
}

static void
acquire (struct lease *lease, struct timespec now, struct action_list *out)
{
  lease->state = LEASE_ACQUIRING;
  begin_attempt (lease, ACQUIRE, lease->seen.version, next_fence (lease), now,
                 out);
}

static void
watch (struct lease *lease, struct timespec now, struct action_list *out)
{
  if (!is_candidate (lease, now))
    lease->next = ts_add_ms (now, NON_CANDIDATE_TICK_MS);
  else if (lease->reading)
    lease->next = ts_add_ms (now, RESPONSE_TICK_MS);
  else if (lease->seen.known && !ts_before (now, acquire_at (lease, now)))
    acquire (lease, now, out);
  else
    read_row (lease, now, out);
}

static void
schedule_watch (struct lease *lease, struct timespec now)
{
  double ms
      = CANDIDATE_POLL_MS * (double)(1 + MIN (lease->rank, LEASE_CANDIDATES));

  lease->next = backoff_jitter (ms, lease->rand, now);
  if (is_candidate (lease, now) && !lease->seen.known)
    lease->next = now;
  else if (is_candidate (lease, now))
    lease->next = ts_min (lease->next, acquire_at (lease, now));
}

/* Where engines do not check the fencing token, an order that arrives after
   one of the next holder would be carried out.  */
static bool
has_orders_in_flight (const struct lease *lease, struct timespec now)
{
  return !lease->checks_fence && lease->orders > 0
         && ts_before (now, lease->quiet_at);
}

static void
begin_release (struct lease *lease, struct timespec now,
               struct action_list *out)
{
  lease->state = LEASE_RELEASING;
  if (has_orders_in_flight (lease, now))
    {
      lease->next = lease->quiet_at;
      return;
    }
  begin_attempt (lease, RELEASE, lease->version, lease->fence, now, out);
}

static void
return_to_watching (struct lease *lease, enum lease_action_type reason,
                    struct timespec now, struct action_list *out)
{
  bool was_holder
      = lease->state == LEASE_HELD || lease->state == LEASE_RELEASING;

  attempt_close (&lease->attempt);
  lease->state = LEASE_WATCHING;
  lease->release_wanted = false;
  if (was_holder)
    push (lease, reason, out);
  lease->fence = 0;
  lease->version = 0;
  schedule_watch (lease, now);
}

static void
acquired_or_renewed (struct lease *lease, uint64_t version,
                     struct timespec now, struct action_list *out)
{
  struct attempt *attempt = &lease->attempt;
  bool won = attempt->kind == ACQUIRE;

  lease->version = version;
  lease->fence = attempt->fence;
  lease->fence_floor = MAX (lease->fence_floor, lease->fence);
  lease->valid_until = ts_add (attempt->sent_at, lease->duration);
  lease->reclaim_until = (struct timespec){ 0 };
  attempt_close (attempt);
  lease->table_unavailable = false;
  lease->seen.known = false;
  if (lease->release_wanted)
    {
      begin_release (lease, now, out);
      return;
    }
  lease->state = LEASE_HELD;
  if (won)
    {
      lease->rank_since = now;
      lease->orders = 0;
    }
  push (lease, won ? LEASE_WON : LEASE_RENEWED, out);
  lease->next = backoff_jitter ((double)ts_to_ms (lease->duration)
                                    / RENEWALS_PER_LEASE,
                                lease->rand, now);
}

/* The lease was acquired, but the response came so late that another candidate
   may hold it by now: reads the row again.  */
static void
recheck_late_win (struct lease *lease, struct timespec now)
{
  attempt_close (&lease->attempt);
  lease->state = LEASE_WATCHING;
  lease->release_wanted = false;
  lease->seen.known = false;
  lease->next = now;
}

static bool
attempt_expired (const struct lease *lease, struct timespec now)
{
  return !ts_before (now, ts_add (lease->attempt.sent_at, lease->duration));
}

/* The attempt took effect; VERSION is the new version of the row.  */
static void
attempt_succeeded (struct lease *lease, uint64_t version, struct timespec now,
                   struct action_list *out)
{
  lease->failures = 0;
  if (lease->attempt.kind == RELEASE)
    return_to_watching (lease, LEASE_RELEASED, now, out);
  else if (lease->attempt.kind == ACQUIRE && attempt_expired (lease, now))
    recheck_late_win (lease, now);
  else
    acquired_or_renewed (lease, version, now, out);
}

/* The attempt definitely took no effect: another transaction changed the
   row.  */
static void
attempt_superseded (struct lease *lease, const struct platform_row *row,
                    struct timespec now, struct action_list *out)
{
  leaserow_observe (&lease->seen, row, now);
  lease->failures = 0;
  return_to_watching (lease, LEASE_LOST, now, out);
}

/* Determines from the row whether an attempt of unknown outcome took
   effect.  */
static void
resolve_attempt (struct lease *lease, const struct platform_row *row,
                 struct timespec now, struct action_list *out)
{
  struct attempt *attempt = &lease->attempt;
  uint64_t version = row != NULL ? row->version : 0;

  if (row != NULL && g_strcmp0 (row->token, attempt->token) == 0)
    attempt_succeeded (lease, version, now, out);
  else if (version == attempt->check.version)
    send_attempt (lease, now, out);
  else
    attempt_superseded (lease, row, now, out);
}

static void
renew_or_hand_over (struct lease *lease, struct timespec now,
                    struct action_list *out)
{
  bool better_candidate_exists = lease->rank != 0 && lease->rank != UINT_MAX;

  if (better_candidate_exists
      && !ts_before (now, ts_add_ms (lease->rank_since, HANDOVER_DELAY_MS)))
    lease_release (lease, now, out);
  else
    begin_attempt (lease, RENEW, lease->version, lease->fence, now, out);
}

static void
continue_attempt (struct lease *lease, struct timespec now,
                  struct action_list *out)
{
  if (lease->attempt.waiting)
    lease->next = ts_add_ms (now, RESPONSE_TICK_MS);
  else if (lease->attempt.outcome_unknown)
    read_row (lease, now, out);
  else
    send_attempt (lease, now, out);
}

void
lease_tick (struct lease *lease, struct timespec now, struct action_list *out)
{
  if (ts_before (now, lease->next))
    return;
  if (lease->attempt.open)
    continue_attempt (lease, now, out);
  else if (lease->state == LEASE_HELD)
    renew_or_hand_over (lease, now, out);
  else if (lease->state == LEASE_RELEASING)
    begin_release (lease, now, out);
  else
    watch (lease, now, out);
}

struct timespec
lease_next (const struct lease *lease)
{
  return lease->next;
}

void
lease_set_rank (struct lease *lease, unsigned rank, struct timespec now)
{
  if (rank == lease->rank)
    return;
  lease->rank = rank;
  lease->rank_since = now;
  if (lease->state == LEASE_WATCHING)
    schedule_watch (lease, now);
}

void
lease_row (struct lease *lease, enum platform_status status,
           const struct platform_row *row, struct timespec now,
           struct action_list *out)
{
  lease->reading = false;
  if (status != PLATFORM_OK && status != PLATFORM_NOT_FOUND)
    {
      if (!lease->attempt.waiting)
        lease->next = record_table_failure (lease, now);
      return;
    }
  if (lease->attempt.open)
    {
      if (lease->attempt.outcome_unknown && !lease->attempt.waiting)
        resolve_attempt (lease, row, now, out);
      return;
    }
  if (lease->state != LEASE_WATCHING)
    return;
  lease->failures = 0;
  leaserow_observe (&lease->seen, row, now);
  schedule_watch (lease, now);
}

/* The transaction was definitely not executed: a renewal or release is
   retried later, an acquisition is abandoned.  */
static void
attempt_not_executed (struct lease *lease)
{
  enum attempt_kind kind = lease->attempt.kind;

  if (lease->attempt.outcome_unknown)
    return;
  if (kind == RELEASE)
    return;
  attempt_close (&lease->attempt);
  if (kind == RENEW)
    return;
  lease->state = LEASE_WATCHING;
  lease->release_wanted = false;
}

void
lease_txn_done (struct lease *lease, uint64_t attempt,
                enum platform_status status, const struct platform_row *row,
                struct timespec now, struct action_list *out)
{
  if (!lease->attempt.open || lease->attempt.number != attempt)
    return;
  lease->attempt.waiting = false;
  switch (status)
    {
    case PLATFORM_OK:
      attempt_succeeded (
          lease, row != NULL ? row->version : lease->attempt.check.version + 1,
          now, out);
      return;
    case PLATFORM_CONFLICT:
      lease->attempt.outcome_unknown = true;
      if (row != NULL && row->version != lease->attempt.check.version)
        resolve_attempt (lease, row, now, out);
      else
        lease->next = backoff_retry_at (lease->failures++, lease->rand, now);
      return;
    case PLATFORM_UNKNOWN:
      lease->attempt.outcome_unknown = true;
      lease->next = record_table_failure (lease, now);
      return;
    default:
      lease->next = record_table_failure (lease, now);
      attempt_not_executed (lease);
    }
}

void
lease_release (struct lease *lease, struct timespec now,
               struct action_list *out)
{
  if (lease->state == LEASE_WATCHING)
    return;
  lease->release_wanted = true;
  if (lease->state != LEASE_HELD)
    return;
  lease->state = LEASE_RELEASING;
  if (!lease->attempt.open)
    begin_release (lease, now, out);
}

void
lease_order_sent (struct lease *lease, struct timespec now)
{
  lease->orders++;
  lease->quiet_at = ts_add (now, lease->margin);
}

void
lease_order_answered (struct lease *lease, uint64_t fence, struct timespec now)
{
  if (fence != lease->fence || lease->orders == 0)
    return;
  lease->orders--;
  if (lease->orders == 0 && lease->state == LEASE_RELEASING
      && !lease->attempt.open)
    lease->next = now;
}

void
lease_hint (struct lease *lease, struct timespec now, struct action_list *out)
{
  if (lease->state == LEASE_WATCHING && is_candidate (lease, now))
    read_row (lease, now, out);
}

void
lease_holder_dead (struct lease *lease, const char *node, struct timespec now)
{
  if (lease->state != LEASE_WATCHING
      || g_strcmp0 (lease->seen.holder, node) != 0)
    return;
  lease->seen.holder_dead = true;
  if (is_candidate (lease, now))
    lease->next = ts_min (lease->next, ts_max (now, acquire_at (lease, now)));
}

void
lease_fenced (struct lease *lease, uint64_t fence, struct timespec now,
              struct action_list *out)
{
  lease->fence_floor = MAX (lease->fence_floor, fence);
  if (lease->fence == 0 || fence <= lease->fence)
    return;
  lease->seen.known = false;
  return_to_watching (lease, LEASE_LOST, now, out);
  lease->next = now;
}

void
lease_set_era (struct lease *lease, uint64_t era, struct timespec now,
               struct action_list *out)
{
  bool held = lease->state == LEASE_HELD;

  if (era <= lease->era)
    return;
  lease->era = era;
  lease->seen.known = false;
  lease->reclaim_until = held ? lease->valid_until : (struct timespec){ 0 };
  return_to_watching (lease, LEASE_LOST, now, out);
  lease->next = now;
}

bool
lease_may_send (const struct lease *lease, struct timespec now)
{
  if (lease->state != LEASE_HELD)
    return false;
  if (lease->checks_fence && lease->table_unavailable)
    return true;
  return ts_before (now, ts_sub (lease->valid_until, lease->margin));
}

enum lease_state
lease_state (const struct lease *lease)
{
  return lease->state;
}

uint64_t
lease_fence (const struct lease *lease)
{
  return lease->fence;
}

uint64_t
lease_version (const struct lease *lease)
{
  return lease->version;
}

const char *
lease_holder (const struct lease *lease)
{
  if (lease->state == LEASE_HELD)
    return lease->node;
  if (!lease->seen.known || lease->seen.released)
    return NULL;
  return lease->seen.holder;
}

const char *
lease_cell (const struct lease *lease)
{
  return lease->cell;
}

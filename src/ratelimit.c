#include "ratelimit.h"

#include <math.h>
#include <glib.h>
#include "bucket.h"
#include "ts.h"

struct ask
{
  uint64_t id;
  struct timespec at;
  int64_t wait_max_ms;
  bool any; /* no request waits for it */
};

struct limit
{
  char *server;
  double per_s; /* 0: none */
  struct timespec heard_at;
  bool is_home; /* this node is the home of SERVER */
  struct timespec home_since;
  struct bucket home;           /* if this node is the home */
  struct bucket own;            /* if the home cannot be asked */
  GArray *tickets;              /* struct timespec: from when on, ascending */
  GArray *asks;                 /* struct ask: no reply yet */
  GHashTable *rejected;         /* ask -> struct timespec: when to come back */
  unsigned wanted;              /* requests that wait */
  struct timespec silent_until; /* the home has not replied */
  struct timespec refill_at;    /* no new ask for lapsed ones before */
};

struct ratelimit
{
  struct homes *homes;
  uint64_t last_ask;
  GHashTable *limits; /* server -> struct limit */
  struct timespec ticked_at;
};

static void
limit_free (gpointer pointer)
{
  struct limit *limit = pointer;

  g_array_unref (limit->tickets);
  g_array_unref (limit->asks);
  g_hash_table_unref (limit->rejected);
  g_free (limit->server);
  g_free (limit);
}

struct ratelimit *
ratelimit_new (const char *node)
{
  struct ratelimit *ratelimit = g_new0 (struct ratelimit, 1);

  ratelimit->homes = homes_new (node);
  ratelimit->limits
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, limit_free);
  return ratelimit;
}

void
ratelimit_free (struct ratelimit *ratelimit)
{
  if (ratelimit == NULL)
    return;
  g_hash_table_unref (ratelimit->limits);
  homes_free (ratelimit->homes);
  g_free (ratelimit);
}

static struct ratelimit_action *
push (struct action_list *actions, enum ratelimit_action_type type,
      const char *node, const struct limit *limit, struct timespec now)
{
  struct ratelimit_action *action
      = action_push (actions, sizeof *action, (int)type);

  g_strlcpy (action->node, node, sizeof action->node);
  g_strlcpy (action->server, limit->server, sizeof action->server);
  action->per_s = limit->per_s;
  action->age_ms = ts_to_ms (ts_sub (now, limit->heard_at));
  return action;
}

static void
push_ready (struct action_list *actions)
{
  action_push (actions, sizeof (struct ratelimit_action),
               (int)RATELIMIT_READY);
}

static bool
is_home (const struct ratelimit *ratelimit, const char *server)
{
  return homes_is_self (ratelimit->homes,
                        homes_find (ratelimit->homes, server));
}

static void
update_home (const struct ratelimit *ratelimit, struct limit *limit)
{
  bool home = is_home (ratelimit, limit->server);

  if (home && !limit->is_home)
    limit->home_since = homes_changed_at (ratelimit->homes);
  /* They are this node's own, or of a former home that has issued others
   * since.
   */
  if (!home && limit->is_home)
    g_array_set_size (limit->tickets, 0);
  limit->is_home = home;
}

void
ratelimit_set_nodes (struct ratelimit *ratelimit,
                     const struct homes_node *nodes, size_t count,
                     struct timespec now)
{
  struct timespec changed_at = homes_changed_at (ratelimit->homes);
  GHashTableIter iter;
  struct limit *limit;

  homes_set (ratelimit->homes, nodes, count, now);
  if (ts_cmp (changed_at, homes_changed_at (ratelimit->homes)) == 0)
    return;
  g_hash_table_iter_init (&iter, ratelimit->limits);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&limit))
    update_home (ratelimit, limit);
}

/* Statements.  */

static struct limit *
find_limit (const struct ratelimit *ratelimit, const char *server)
{
  return g_hash_table_lookup (ratelimit->limits, server);
}

static struct limit *
find_named (const struct ratelimit *ratelimit, const char *server)
{
  struct limit *limit = find_limit (ratelimit, server);

  return limit != NULL && limit->per_s > 0 ? limit : NULL;
}

double
ratelimit_per_s (const struct ratelimit *ratelimit, const char *server)
{
  const struct limit *limit = find_limit (ratelimit, server);

  return limit != NULL ? limit->per_s : 0;
}

static struct limit *
add_limit (struct ratelimit *ratelimit, const char *server)
{
  struct limit *limit = g_new0 (struct limit, 1);

  limit->server = g_strdup (server);
  limit->tickets = g_array_new (FALSE, FALSE, sizeof (struct timespec));
  limit->asks = g_array_new (FALSE, FALSE, sizeof (struct ask));
  limit->rejected
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  g_hash_table_insert (ratelimit->limits, limit->server, limit);
  update_home (ratelimit, limit);
  return limit;
}

/* As it can be told to other nodes.  */
static double
effective_rate (double per_s)
{
  if (per_s <= 0)
    return 0;
  return round (MAX (per_s, RATELIMIT_MIN_PER_S) * RATELIMIT_UNITS)
         / RATELIMIT_UNITS;
}

/* Returns whether the limit changes.  */
static bool
set_rate (struct limit *limit, double per_s, struct timespec at)
{
  bool changed = limit->per_s != per_s;

  limit->per_s = per_s;
  limit->heard_at = at;
  if (per_s == 0)
    {
      g_array_set_size (limit->tickets, 0);
      g_array_set_size (limit->asks, 0);
      g_hash_table_remove_all (limit->rejected);
    }
  return changed;
}

bool
ratelimit_heard (struct ratelimit *ratelimit, const char *server, double per_s,
                 struct timespec sent_at, struct timespec now,
                 struct action_list *actions)
{
  struct limit *limit = find_limit (ratelimit, server);

  per_s = effective_rate (per_s);
  if (limit == NULL && per_s == 0)
    return false;
  if (limit == NULL)
    limit = add_limit (ratelimit, server);
  /* The response may have been on its way when the limit was named.  */
  if (per_s == 0 && ts_before (sent_at, limit->heard_at))
    return false;
  if (!set_rate (limit, per_s, now))
    return false;
  push (actions, RATELIMIT_SEND_NAMED, "", limit, now);
  push_ready (actions);
  return true;
}

bool
ratelimit_told (struct ratelimit *ratelimit, const char *peer,
                const char *server, double per_s, int64_t age_ms,
                struct timespec now, struct action_list *actions)
{
  struct timespec at = ts_add_ms (now, -MAX (age_ms, 0));
  struct limit *limit = find_limit (ratelimit, server);

  per_s = effective_rate (per_s);
  if (limit == NULL)
    limit = add_limit (ratelimit, server);
  if (ts_before (at, limit->heard_at))
    {
      if (per_s != limit->per_s)
        push (actions, RATELIMIT_SEND_NAMED, peer, limit, now);
      return false;
    }
  if (!set_rate (limit, per_s, at))
    return false;
  push_ready (actions);
  return true;
}

void
ratelimit_send_all (struct ratelimit *ratelimit, const char *node,
                    struct timespec now, struct action_list *actions)
{
  GHashTableIter iter;
  const struct limit *limit;

  g_hash_table_iter_init (&iter, ratelimit->limits);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&limit))
    push (actions, RATELIMIT_SEND_NAMED, node, limit, now);
}

/* Tickets of this node.  */

static struct timespec
ticket_at (const struct limit *limit, guint i)
{
  return g_array_index (limit->tickets, struct timespec, i);
}

static void
add_ticket (struct limit *limit, struct timespec at)
{
  guint i = limit->tickets->len;

  while (i > 0 && ts_before (at, ticket_at (limit, i - 1)))
    i--;
  g_array_insert_val (limit->tickets, i, at);
}

static void
settle (struct limit *limit, const struct ask *ask, bool rejected,
        int64_t wait_ms, struct timespec now)
{
  struct timespec at = ts_add_ms (now, wait_ms);

  if (!rejected)
    add_ticket (limit, at);
  else if (!ask->any)
    g_hash_table_replace (limit->rejected,
                          g_memdup2 (&ask->id, sizeof ask->id),
                          g_memdup2 (&at, sizeof at));
}

/* Issues a ticket as the home.  */
static bool
issue (const struct ratelimit *ratelimit, struct limit *limit,
       int64_t wait_max_ms, struct timespec now, int64_t *wait_ms)
{
  double per_s = limit->per_s * homes_linked_share (ratelimit->homes);

  bucket_hold (&limit->home,
               ts_add_ms (limit->home_since, RATELIMIT_WAIT_MAX_MS));
  return bucket_issue (&limit->home, per_s,
                       MIN (wait_max_ms, RATELIMIT_WAIT_MAX_MS), now, wait_ms);
}

static void
issue_to_self (const struct ratelimit *ratelimit, struct limit *limit,
               const struct ask *ask, struct timespec now)
{
  int64_t wait_ms;
  bool issued = issue (ratelimit, limit, ask->wait_max_ms, now, &wait_ms);

  settle (limit, ask, !issued, wait_ms, now);
}

/* Issues a ticket of this node's part.  Hundreds of nodes may lose the home at
   once: their parts are single times at equal intervals.  */
static void
issue_own_part (const struct ratelimit *ratelimit, struct limit *limit,
                const struct ask *ask, struct timespec now)
{
  double per_s = limit->per_s * homes_own_share (ratelimit->homes);
  double phase = homes_phase (ratelimit->homes, limit->server);
  int64_t wait_ms;
  bool issued = bucket_issue_slot (&limit->own, per_s, phase, ask->wait_max_ms,
                                   now, &wait_ms);

  settle (limit, ask, !issued, wait_ms, now);
}

static void
send_ask (struct ratelimit *ratelimit, struct limit *limit,
          const struct ask *ask, struct timespec now,
          struct action_list *actions)
{
  const char *home = homes_find (ratelimit->homes, limit->server);
  struct ratelimit_action *action;

  if (limit->is_home)
    issue_to_self (ratelimit, limit, ask, now);
  else if (!homes_is_linked (ratelimit->homes, home)
           || ts_before (now, limit->silent_until))
    issue_own_part (ratelimit, limit, ask, now);
  else
    {
      g_array_append_val (limit->asks, *ask);
      action = push (actions, RATELIMIT_SEND_ASK, home, limit, now);
      action->ask = ask->id;
      action->wait_ms = ask->wait_max_ms;
    }
}

/* Asks for a ticket for now that belongs to no request.  */
static void
ask_for_any (struct ratelimit *ratelimit, struct limit *limit,
             struct timespec now, struct action_list *actions)
{
  struct ask ask = { .id = ++ratelimit->last_ask, .at = now, .any = true };

  send_ask (ratelimit, limit, &ask, now, actions);
}

/* Requests.  */

static void
drop_lapsed (struct limit *limit, struct timespec now)
{
  guint n = 0;

  while (n < limit->tickets->len
         && ts_before (ts_add_ms (ticket_at (limit, n), RATELIMIT_TICKET_MS),
                       now))
    n++;
  if (n > 0)
    g_array_remove_range (limit->tickets, 0, n);
}

static bool
has_open_ticket (const struct limit *limit, struct timespec now)
{
  return limit->tickets->len > 0 && !ts_before (now, ticket_at (limit, 0));
}

struct ratelimit_verdict
ratelimit_check (struct ratelimit *ratelimit, const char *server, uint64_t ask,
                 struct timespec now)
{
  struct limit *limit = find_named (ratelimit, server);
  struct ratelimit_verdict verdict = { .state = RATELIMIT_WAITING };
  const struct timespec *back_at;

  if (limit == NULL)
    return (struct ratelimit_verdict){ .state = RATELIMIT_NONE };
  drop_lapsed (limit, now);
  back_at = g_hash_table_lookup (limit->rejected, &ask);
  if (has_open_ticket (limit, now))
    verdict.state = RATELIMIT_OPEN;
  else if (back_at != NULL)
    {
      verdict.state = RATELIMIT_REJECTED;
      verdict.wait_ms = MAX (ts_to_ms (ts_sub (*back_at, now)), 1);
    }
  else if (limit->tickets->len > 0)
    verdict.wait_ms = MAX (ts_to_ms (ts_sub (ticket_at (limit, 0), now)), 1);
  return verdict;
}

bool
ratelimit_take (struct ratelimit *ratelimit, const char *server,
                struct timespec now)
{
  struct limit *limit = find_named (ratelimit, server);

  if (limit == NULL)
    return true;
  drop_lapsed (limit, now);
  if (!has_open_ticket (limit, now))
    return false;
  g_array_remove_index (limit->tickets, 0);
  return true;
}

uint64_t
ratelimit_want (struct ratelimit *ratelimit, const char *server,
                int64_t wait_max_ms, struct timespec now,
                struct action_list *actions)
{
  struct limit *limit = find_named (ratelimit, server);
  struct ask ask = { .id = ++ratelimit->last_ask,
                     .at = now,
                     .wait_max_ms = MIN (wait_max_ms, RATELIMIT_WAIT_MAX_MS) };

  if (limit != NULL)
    {
      limit->wanted++;
      send_ask (ratelimit, limit, &ask, now, actions);
    }
  return ask.id;
}

/* The index of ASK in the asks of LIMIT, or their number.  */
static guint
find_ask (const struct limit *limit, uint64_t ask)
{
  guint i = 0;

  while (i < limit->asks->len
         && g_array_index (limit->asks, struct ask, i).id != ask)
    i++;
  return i;
}

void
ratelimit_unwant (struct ratelimit *ratelimit, const char *server,
                  uint64_t ask)
{
  struct limit *limit = find_limit (ratelimit, server);
  guint i;

  if (limit == NULL)
    return;
  if (limit->wanted > 0)
    limit->wanted--;
  g_hash_table_remove (limit->rejected, &ask);
  i = find_ask (limit, ask);
  if (i < limit->asks->len)
    g_array_index (limit->asks, struct ask, i).any = true;
}

void
ratelimit_prefetch (struct ratelimit *ratelimit, const char *server,
                    struct timespec now, struct action_list *actions)
{
  struct limit *limit = find_named (ratelimit, server);

  if (limit != NULL && limit->tickets->len == 0 && limit->asks->len == 0)
    ask_for_any (ratelimit, limit, now, actions);
}

/* Messages from peers.  */

void
ratelimit_asked (struct ratelimit *ratelimit, const char *peer,
                 const char *server, uint64_t ask, int64_t wait_max_ms,
                 struct timespec now, struct action_list *actions)
{
  struct limit *limit = find_limit (ratelimit, server);
  struct ratelimit_action *action;

  /* Another node may take this one for the home a moment earlier or longer: it
     uses its own part as long as it gets no reply.  */
  if (limit == NULL || !limit->is_home)
    return;
  action = push (actions, RATELIMIT_SEND_REPLY, peer, limit, now);
  action->ask = ask;
  if (limit->per_s > 0)
    action->rejected
        = !issue (ratelimit, limit, wait_max_ms, now, &action->wait_ms);
}

void
ratelimit_replied (struct ratelimit *ratelimit, const char *server,
                   uint64_t ask, bool rejected, int64_t wait_ms,
                   struct timespec now, struct action_list *actions)
{
  struct limit *limit = find_named (ratelimit, server);
  struct ask found = { .any = true };
  guint i;

  if (limit == NULL)
    return;
  limit->silent_until = (struct timespec){ 0 };
  i = find_ask (limit, ask);
  if (i < limit->asks->len)
    {
      found = g_array_index (limit->asks, struct ask, i);
      g_array_remove_index (limit->asks, i);
    }
  settle (limit, &found, rejected, wait_ms, now);
  push_ready (actions);
}

/* Time.  */

/* The home has not replied to the first asks.  */
static bool
expire_asks (struct ratelimit *ratelimit, struct limit *limit,
             struct timespec now)
{
  bool any = false;

  while (limit->asks->len > 0)
    {
      struct ask ask = g_array_index (limit->asks, struct ask, 0);

      if (ts_before (now, ts_add_ms (ask.at, RATELIMIT_REPLY_MS)))
        break;
      g_array_remove_index (limit->asks, 0);
      limit->silent_until = ts_add_ms (now, RATELIMIT_SILENT_MS);
      issue_own_part (ratelimit, limit, &ask, now);
      any = true;
    }
  return any;
}

/* Number of waiting requests that nothing was asked for, since tickets
   lapsed.  */
static unsigned
count_missing (const struct limit *limit)
{
  unsigned pending = limit->tickets->len + limit->asks->len
                     + g_hash_table_size (limit->rejected);

  return limit->wanted > pending ? limit->wanted - pending : 0;
}

static void
ask_for_missing (struct ratelimit *ratelimit, struct limit *limit,
                 struct timespec now, struct action_list *actions)
{
  unsigned missing = count_missing (limit);

  if (missing == 0 || ts_before (now, limit->refill_at))
    return;
  limit->refill_at = ts_add_ms (now, RATELIMIT_RETRY_MS);
  for (unsigned i = 0; i < missing; i++)
    ask_for_any (ratelimit, limit, now, actions);
}

static struct timespec
lapses_at (const struct limit *limit)
{
  return ts_add_ms (limit->heard_at, RATELIMIT_MEMORY_MS);
}

static gboolean
is_forgotten (gpointer key, gpointer value, gpointer user)
{
  const struct limit *limit = value;
  const struct timespec *now = user;

  (void)key;
  return limit->wanted == 0 && !ts_before (*now, lapses_at (limit));
}

void
ratelimit_tick (struct ratelimit *ratelimit, struct timespec now,
                struct action_list *actions)
{
  GHashTableIter iter;
  struct limit *limit;
  bool ready = false;

  ratelimit->ticked_at = now;
  g_hash_table_foreach_remove (ratelimit->limits, is_forgotten, &now);
  g_hash_table_iter_init (&iter, ratelimit->limits);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&limit))
    {
      if (limit->per_s == 0)
        continue;
      drop_lapsed (limit, now);
      ready |= expire_asks (ratelimit, limit, now);
      ask_for_missing (ratelimit, limit, now, actions);
      ready |= limit->wanted > 0 && has_open_ticket (limit, now);
    }
  if (ready)
    push_ready (actions);
}

static struct timespec
earlier (struct timespec a, struct timespec b)
{
  if (ts_is_zero (a) || ts_is_zero (b))
    return ts_max (a, b);
  return ts_min (a, b);
}

/* When the next ticket opens after the last tick, or an open one lapses.  */
static struct timespec
ticket_next (const struct limit *limit, struct timespec ticked_at)
{
  struct timespec lapses
      = ts_add_ms (ticket_at (limit, 0), RATELIMIT_TICKET_MS);

  for (guint i = 0; i < limit->tickets->len; i++)
    if (ts_before (ticked_at, ticket_at (limit, i)))
      return ts_min (ticket_at (limit, i), lapses);
  return lapses;
}

static struct timespec
limit_next (const struct limit *limit, struct timespec ticked_at)
{
  struct timespec next = { 0 };

  if (limit->asks->len > 0)
    next = ts_add_ms (g_array_index (limit->asks, struct ask, 0).at,
                      RATELIMIT_REPLY_MS);
  if (limit->wanted > 0 && limit->tickets->len > 0)
    next = earlier (next, ticket_next (limit, ticked_at));
  if (count_missing (limit) > 0)
    next = earlier (next, ts_max (limit->refill_at, ticked_at));
  return next;
}

struct timespec
ratelimit_next (const struct ratelimit *ratelimit)
{
  struct timespec next = { 0 };
  GHashTableIter iter;
  const struct limit *limit;

  g_hash_table_iter_init (&iter, ratelimit->limits);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&limit))
    {
      if (limit->wanted == 0)
        next = earlier (next, lapses_at (limit));
      if (limit->per_s > 0)
        next = earlier (next, limit_next (limit, ratelimit->ticked_at));
    }
  return next;
}

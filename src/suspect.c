#include "suspect.h"

#include <glib.h>
#include <string.h>
#include <sys/queue.h>
#include <xxhash.h>
#include "ts.h"

#define LOOK_MS 1000 /* between looks for strikes that fade */

/* A request of this node that asked its home node.  */
struct asker
{
  TAILQ_ENTRY (asker) link;
  struct suspect_grant ask;
  unsigned thread;
  uint64_t request;
  struct timespec deadline;
  struct timespec ask_at;
  bool granted;
};

/* An ask as its home node has it.  */
struct asked
{
  TAILQ_ENTRY (asked) link;
  char peer[SUSPECT_NODE_MAX];
  struct suspect_grant ask;
  struct timespec until;
};

TAILQ_HEAD (asker_list, asker);
TAILQ_HEAD (asked_list, asked);

/* Asks for one target; the first of them is granted.  */
struct lane
{
  uint64_t target;
  struct asked_list list;
  unsigned count;
};

struct suspect
{
  char *node;
  GPtrArray *nodes; /* ids */
  struct suspect_strike_set *known;
  GHashTable *lanes; /* target -> struct lane */
  struct asker_list askers;
  uint64_t next_number;
  struct timespec look_at;
};

static void
lane_free (gpointer pointer)
{
  struct lane *lane = pointer;
  struct asked *asked;

  while ((asked = TAILQ_FIRST (&lane->list)) != NULL)
    {
      TAILQ_REMOVE (&lane->list, asked, link);
      g_free (asked);
    }
  g_free (lane);
}

struct suspect *
suspect_new (const struct suspect_options *options,
             struct suspect_table *board)
{
  struct suspect *suspect = g_new0 (struct suspect, 1);

  suspect->node = g_strdup (options->node);
  suspect->nodes = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (suspect->nodes, g_strdup (options->node));
  suspect->known = suspect_strike_set_new (board);
  suspect->lanes
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, lane_free);
  TAILQ_INIT (&suspect->askers);
  return suspect;
}

void
suspect_free (struct suspect *suspect)
{
  struct asker *asker;

  if (suspect == NULL)
    return;
  while ((asker = TAILQ_FIRST (&suspect->askers)) != NULL)
    {
      TAILQ_REMOVE (&suspect->askers, asker, link);
      g_free (asker);
    }
  g_free (suspect->node);
  g_ptr_array_unref (suspect->nodes);
  suspect_strike_set_free (suspect->known);
  g_hash_table_destroy (suspect->lanes);
  g_free (suspect);
}

static struct suspect_action *
push (struct action_list *actions, enum suspect_action_type type,
      const char *node)
{
  struct suspect_action *action
      = action_push (actions, sizeof *action, (int)type);

  g_strlcpy (action->node, node, sizeof action->node);
  return action;
}

static void
push_verdict (const struct asker *asker, bool granted,
              struct action_list *actions)
{
  struct suspect_action *action = push (actions, SUSPECT_VERDICT, "");

  action->ask = asker->ask;
  action->thread = asker->thread;
  action->request = asker->request;
  action->granted = granted;
}

/* Rendezvous hashing over the live nodes.  */
static const char *
home_of (const struct suspect *suspect, uint64_t target)
{
  const char *best = suspect->node;
  uint64_t best_weight = 0;

  for (guint i = 0; i < suspect->nodes->len; i++)
    {
      const char *node = g_ptr_array_index (suspect->nodes, i);
      uint64_t weight = XXH3_64bits_withSeed (node, strlen (node), target);

      if (weight <= best_weight)
        continue;
      best = node;
      best_weight = weight;
    }
  return best;
}

static bool
is_self (const struct suspect *suspect, const char *node)
{
  return strcmp (node, suspect->node) == 0;
}

static struct lane *
lane_get (struct suspect *suspect, uint64_t target)
{
  struct lane *lane = g_hash_table_lookup (suspect->lanes, &target);

  if (lane != NULL)
    return lane;
  lane = g_new0 (struct lane, 1);
  lane->target = target;
  TAILQ_INIT (&lane->list);
  g_hash_table_insert (suspect->lanes, &lane->target, lane);
  return lane;
}

static void
answer (struct suspect *suspect, const char *peer,
        const struct suspect_grant *ask, bool granted, struct timespec now,
        struct action_list *actions)
{
  struct suspect_action *action;

  if (is_self (suspect, peer))
    {
      suspect_grant_answered (suspect, ask, granted, now, actions);
      return;
    }
  action = push (actions, SUSPECT_ANSWER_GRANT, peer);
  action->ask = *ask;
  action->granted = granted;
}

static struct asked *
asked_find (const struct lane *lane, const char *peer, uint64_t number)
{
  struct asked *asked;

  TAILQ_FOREACH (asked, &lane->list, link)
    {
      if (asked->ask.number == number && strcmp (asked->peer, peer) == 0)
        return asked;
    }
  return NULL;
}

static void
asked_drop (struct lane *lane, struct asked *asked)
{
  TAILQ_REMOVE (&lane->list, asked, link);
  lane->count--;
  g_free (asked);
}

/* The first of LANE is granted; those with too many strikes are refused.  */
static void
grant_first (struct suspect *suspect, struct lane *lane, struct timespec now,
             struct action_list *actions)
{
  struct asked *first;

  while (
      (first = TAILQ_FIRST (&lane->list)) != NULL
      && suspect_strike_set_count (suspect->known, first->ask.fingerprint, now)
             >= SUSPECT_REFUSE_STRIKES)
    {
      struct asked gone = *first;

      asked_drop (lane, first);
      answer (suspect, gone.peer, &gone.ask, false, now, actions);
    }
  if (first == NULL)
    return;
  first->until = ts_add_ms (now, SUSPECT_GRANT_TTL_MS);
  answer (suspect, first->peer, &first->ask, true, now, actions);
}

void
suspect_grant_requested (struct suspect *suspect, const char *peer,
                         const struct suspect_grant *ask, struct timespec now,
                         struct action_list *actions)
{
  struct lane *lane = lane_get (suspect, ask->target);
  struct asked *asked = asked_find (lane, peer, ask->number);

  if (asked != NULL)
    {
      if (asked == TAILQ_FIRST (&lane->list))
        answer (suspect, peer, ask, true, now, actions);
      return;
    }
  if (lane->count >= SUSPECT_GRANT_QUEUE_MAX)
    {
      answer (suspect, peer, ask, false, now, actions);
      return;
    }
  asked = g_new0 (struct asked, 1);
  g_strlcpy (asked->peer, peer, sizeof asked->peer);
  asked->ask = *ask;
  asked->until = ts_add_ms (now, SUSPECT_GRANT_TTL_MS);
  TAILQ_INSERT_TAIL (&lane->list, asked, link);
  lane->count++;
  if (asked == TAILQ_FIRST (&lane->list))
    grant_first (suspect, lane, now, actions);
}

static void
release (struct suspect *suspect, struct lane *lane, struct asked *asked,
         struct timespec now, struct action_list *actions)
{
  bool first = asked == TAILQ_FIRST (&lane->list);

  asked_drop (lane, asked);
  if (first)
    grant_first (suspect, lane, now, actions);
}

void
suspect_grant_released (struct suspect *suspect, const char *peer,
                        const struct suspect_grant *ask, struct timespec now,
                        struct action_list *actions)
{
  struct lane *lane = g_hash_table_lookup (suspect->lanes, &ask->target);
  struct asked *asked
      = lane != NULL ? asked_find (lane, peer, ask->number) : NULL;

  if (asked != NULL)
    release (suspect, lane, asked, now, actions);
}

static void
send_ask (struct suspect *suspect, struct asker *asker, struct timespec now,
          struct action_list *actions)
{
  const char *home = home_of (suspect, asker->ask.target);
  struct suspect_grant ask = asker->ask;

  asker->ask_at = ts_add_ms (now, SUSPECT_GRANT_RETRY_MS);
  if (is_self (suspect, home))
    suspect_grant_requested (suspect, home, &ask, now, actions);
  else
    push (actions, SUSPECT_REQUEST_GRANT, home)->ask = ask;
}

static void
give_back (struct suspect *suspect, const struct suspect_grant *ask,
           struct timespec now, struct action_list *actions)
{
  const char *home = home_of (suspect, ask->target);

  if (is_self (suspect, home))
    suspect_grant_released (suspect, home, ask, now, actions);
  else
    push (actions, SUSPECT_RELEASE_GRANT, home)->ask = *ask;
}

static void
asker_drop (struct suspect *suspect, struct asker *asker, struct timespec now,
            struct action_list *actions)
{
  struct suspect_grant ask = asker->ask;

  TAILQ_REMOVE (&suspect->askers, asker, link);
  g_free (asker);
  give_back (suspect, &ask, now, actions);
}

void
suspect_request_grant (struct suspect *suspect, uint64_t fingerprint,
                       const char *target, unsigned thread, uint64_t request,
                       struct timespec deadline, struct timespec now,
                       struct action_list *actions)
{
  struct asker *asker = g_new0 (struct asker, 1);
  unsigned n = suspect_strike_set_count (suspect->known, fingerprint, now);

  asker->ask = (struct suspect_grant){ fingerprint, suspect_hash (target),
                                       ++suspect->next_number };
  asker->thread = thread;
  asker->request = request;
  asker->deadline = deadline;
  if (n >= SUSPECT_REFUSE_STRIKES)
    {
      push_verdict (asker, false, actions);
      g_free (asker);
      return;
    }
  TAILQ_INSERT_TAIL (&suspect->askers, asker, link);
  send_ask (suspect, asker, now, actions);
}

static struct asker *
asker_find (const struct suspect *suspect, uint64_t number)
{
  struct asker *asker;

  TAILQ_FOREACH (asker, &suspect->askers, link)
    {
      if (asker->ask.number == number)
        return asker;
    }
  return NULL;
}

void
suspect_grant_answered (struct suspect *suspect,
                        const struct suspect_grant *ask, bool granted,
                        struct timespec now, struct action_list *actions)
{
  struct asker *asker = asker_find (suspect, ask->number);

  if (asker == NULL)
    {
      if (granted)
        give_back (suspect, ask, now, actions);
      return;
    }
  if (asker->granted)
    return;
  granted = granted
            && suspect_strike_set_count (suspect->known, ask->fingerprint, now)
                   < SUSPECT_REFUSE_STRIKES;
  push_verdict (asker, granted, actions);
  asker->granted = granted;
  if (!granted)
    asker_drop (suspect, asker, now, actions);
}

void
suspect_crash (struct suspect *suspect, uint64_t fingerprint,
               const char *engine, struct timespec now,
               struct action_list *actions)
{
  struct suspect_strike strike
      = { .fingerprint = fingerprint, .engine = suspect_hash (engine) };

  suspect_strike_set_add (suspect->known, &strike, now);
  push (actions, SUSPECT_SEND_STRIKE, "")->strike = strike;
}

void
suspect_end (struct suspect *suspect, unsigned thread, uint64_t request,
             bool whole, struct timespec now, struct action_list *actions)
{
  struct suspect_strike strike = { .cleared = true };
  struct asker *asker;

  TAILQ_FOREACH (asker, &suspect->askers, link)
    {
      if (asker->granted && asker->thread == thread
          && asker->request == request)
        break;
    }
  if (asker == NULL)
    return;
  strike.fingerprint = asker->ask.fingerprint;
  if (whole)
    {
      suspect_strike_set_add (suspect->known, &strike, now);
      push (actions, SUSPECT_SEND_STRIKE, "")->strike = strike;
    }
  asker_drop (suspect, asker, now, actions);
}

void
suspect_strike_received (struct suspect *suspect,
                         const struct suspect_strike *strike,
                         struct timespec now)
{
  suspect_strike_set_add (suspect->known, strike, now);
}

static bool
is_live (const struct suspect *suspect, const char *node)
{
  for (guint i = 0; i < suspect->nodes->len; i++)
    if (strcmp (g_ptr_array_index (suspect->nodes, i), node) == 0)
      return true;
  return false;
}

/* Asks of dead nodes, and those that ran out.  */
static void
clean_lane (struct suspect *suspect, struct lane *lane, struct timespec now,
            struct action_list *actions)
{
  struct asked *asked;
  struct asked *next;

  for (asked = TAILQ_LAST (&lane->list, asked_list); asked != NULL;
       asked = next)
    {
      next = TAILQ_PREV (asked, asked_list, link);
      if (!is_live (suspect, asked->peer) || !ts_before (now, asked->until))
        release (suspect, lane, asked, now, actions);
    }
}

static void
clean_lanes (struct suspect *suspect, struct timespec now,
             struct action_list *actions)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, suspect->lanes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      clean_lane (suspect, value, now, actions);
      if (((struct lane *)value)->count == 0)
        g_hash_table_iter_remove (&iter);
    }
}

void
suspect_nodes (struct suspect *suspect, const char *const *nodes, size_t count,
               struct timespec now, struct action_list *actions)
{
  struct asker *asker;

  g_ptr_array_set_size (suspect->nodes, 0);
  for (size_t i = 0; i < count; i++)
    g_ptr_array_add (suspect->nodes, g_strdup (nodes[i]));
  if (!is_live (suspect, suspect->node))
    g_ptr_array_add (suspect->nodes, g_strdup (suspect->node));
  clean_lanes (suspect, now, actions);
  TAILQ_FOREACH (asker, &suspect->askers, link)
    {
      asker->ask_at = now;
    }
}

struct telling
{
  const char *node;
  struct action_list *actions;
};

static void
tell_one (void *user, const struct suspect_strike *strike)
{
  const struct telling *telling = user;

  push (telling->actions, SUSPECT_SEND_STRIKE, telling->node)->strike
      = *strike;
}

void
suspect_send_strikes (struct suspect *suspect, const char *node,
                      struct timespec now, struct action_list *actions)
{
  struct telling telling = { node, actions };

  suspect_strike_set_each (suspect->known, now, tell_one, &telling);
}

static void
tick_asker (struct suspect *suspect, struct asker *asker, struct timespec now,
            struct action_list *actions)
{
  if (asker->granted)
    return;
  if (!ts_before (now, asker->deadline))
    {
      push_verdict (asker, false, actions);
      asker_drop (suspect, asker, now, actions);
    }
  else if (!ts_before (now, asker->ask_at))
    send_ask (suspect, asker, now, actions);
}

void
suspect_tick (struct suspect *suspect, struct timespec now,
              struct action_list *actions)
{
  struct asker *asker;
  struct asker *next;

  for (asker = TAILQ_FIRST (&suspect->askers); asker != NULL; asker = next)
    {
      next = TAILQ_NEXT (asker, link);
      tick_asker (suspect, asker, now, actions);
    }
  if (ts_before (now, suspect->look_at))
    return;
  suspect->look_at = ts_add_ms (now, LOOK_MS);
  suspect_strike_set_expire (suspect->known, now);
  clean_lanes (suspect, now, actions);
}

struct timespec
suspect_next (const struct suspect *suspect)
{
  struct timespec next = suspect->look_at;
  const struct asker *asker;

  TAILQ_FOREACH (asker, &suspect->askers, link)
    {
      if (!asker->granted)
        next = ts_min (next, ts_min (asker->ask_at, asker->deadline));
    }
  return next;
}

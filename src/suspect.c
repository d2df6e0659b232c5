#include "suspect.h"

#include <glib.h>
#include <string.h>
#include <sys/queue.h>
#include <xxhash.h>
#include "ts.h"

#define CLEANUP_INTERVAL_MS 1000 /* of expired strikes and grants */

/* A request of this node that needs a grant of its home node.  */
struct grant_request
{
  TAILQ_ENTRY (grant_request) link;
  struct suspect_grant grant;
  unsigned thread;
  uint64_t request;
  struct timespec deadline;
  struct timespec retry_at;
  bool granted;
};

/* A grant request at its home node.  */
struct queued_request
{
  TAILQ_ENTRY (queued_request) link;
  char peer[SUSPECT_NODE_MAX];
  struct suspect_grant grant;
  struct timespec expires_at;
};

TAILQ_HEAD (request_list, grant_request);
TAILQ_HEAD (queued_list, queued_request);

/* Grant requests for one target, the first of which holds the grant.  */
struct grant_queue
{
  uint64_t target;
  struct queued_list list;
  unsigned count;
};

struct suspect
{
  char *node;
  GPtrArray *nodes; /* ids */
  struct suspect_strike_set *strikes;
  GHashTable *queues; /* target -> struct grant_queue */
  struct request_list requests;
  uint64_t last_number;
  struct timespec next_cleanup_at;
};

static void
queue_free (gpointer pointer)
{
  struct grant_queue *queue = pointer;
  struct queued_request *queued;

  while ((queued = TAILQ_FIRST (&queue->list)) != NULL)
    {
      TAILQ_REMOVE (&queue->list, queued, link);
      g_free (queued);
    }
  g_free (queue);
}

struct suspect *
suspect_new (const struct suspect_options *options,
             struct suspect_table *table)
{
  struct suspect *suspect = g_new0 (struct suspect, 1);

  suspect->node = g_strdup (options->node);
  suspect->nodes = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (suspect->nodes, g_strdup (options->node));
  suspect->strikes = suspect_strike_set_new (table);
  suspect->queues
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, queue_free);
  TAILQ_INIT (&suspect->requests);
  return suspect;
}

void
suspect_free (struct suspect *suspect)
{
  struct grant_request *pending;

  if (suspect == NULL)
    return;
  while ((pending = TAILQ_FIRST (&suspect->requests)) != NULL)
    {
      TAILQ_REMOVE (&suspect->requests, pending, link);
      g_free (pending);
    }
  g_free (suspect->node);
  g_ptr_array_unref (suspect->nodes);
  suspect_strike_set_free (suspect->strikes);
  g_hash_table_destroy (suspect->queues);
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
push_verdict (const struct grant_request *pending, bool granted,
              struct action_list *actions)
{
  struct suspect_action *action = push (actions, SUSPECT_VERDICT, "");

  action->grant = pending->grant;
  action->thread = pending->thread;
  action->request = pending->request;
  action->granted = granted;
}

/* The home node of TARGET, by rendezvous hashing over the live nodes.  */
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

static struct grant_queue *
queue_get (struct suspect *suspect, uint64_t target)
{
  struct grant_queue *queue = g_hash_table_lookup (suspect->queues, &target);

  if (queue != NULL)
    return queue;
  queue = g_new0 (struct grant_queue, 1);
  queue->target = target;
  TAILQ_INIT (&queue->list);
  g_hash_table_insert (suspect->queues, &queue->target, queue);
  return queue;
}

static void
answer (struct suspect *suspect, const char *peer,
        const struct suspect_grant *grant, bool granted, struct timespec now,
        struct action_list *actions)
{
  struct suspect_action *action;

  if (is_self (suspect, peer))
    {
      suspect_grant_answered (suspect, grant, granted, now, actions);
      return;
    }
  action = push (actions, SUSPECT_ANSWER_GRANT, peer);
  action->grant = *grant;
  action->granted = granted;
}

static struct queued_request *
queued_find (const struct grant_queue *queue, const char *peer,
             uint64_t number)
{
  struct queued_request *queued;

  TAILQ_FOREACH (queued, &queue->list, link)
    {
      if (queued->grant.number == number && strcmp (queued->peer, peer) == 0)
        return queued;
    }
  return NULL;
}

static void
queued_drop (struct grant_queue *queue, struct queued_request *queued)
{
  TAILQ_REMOVE (&queue->list, queued, link);
  queue->count--;
  g_free (queued);
}

/* Refuses requests with too many strikes at the head of QUEUE, and grants the
   first other one.  */
static void
grant_first (struct suspect *suspect, struct grant_queue *queue,
             struct timespec now, struct action_list *actions)
{
  struct queued_request *first;

  while ((first = TAILQ_FIRST (&queue->list)) != NULL
         && suspect_strike_set_count (suspect->strikes,
                                      first->grant.fingerprint, now)
                >= SUSPECT_REFUSE_STRIKES)
    {
      struct queued_request refused = *first;

      queued_drop (queue, first);
      answer (suspect, refused.peer, &refused.grant, false, now, actions);
    }
  if (first == NULL)
    return;
  first->expires_at = ts_add_ms (now, SUSPECT_GRANT_TTL_MS);
  answer (suspect, first->peer, &first->grant, true, now, actions);
}

void
suspect_grant_requested (struct suspect *suspect, const char *peer,
                         const struct suspect_grant *grant,
                         struct timespec now, struct action_list *actions)
{
  struct grant_queue *queue = queue_get (suspect, grant->target);
  struct queued_request *queued = queued_find (queue, peer, grant->number);

  if (queued != NULL)
    {
      if (queued == TAILQ_FIRST (&queue->list))
        answer (suspect, peer, grant, true, now, actions);
      return;
    }
  if (queue->count >= SUSPECT_GRANT_QUEUE_MAX)
    {
      answer (suspect, peer, grant, false, now, actions);
      return;
    }
  queued = g_new0 (struct queued_request, 1);
  g_strlcpy (queued->peer, peer, sizeof queued->peer);
  queued->grant = *grant;
  queued->expires_at = ts_add_ms (now, SUSPECT_GRANT_TTL_MS);
  TAILQ_INSERT_TAIL (&queue->list, queued, link);
  queue->count++;
  if (queued == TAILQ_FIRST (&queue->list))
    grant_first (suspect, queue, now, actions);
}

static void
release (struct suspect *suspect, struct grant_queue *queue,
         struct queued_request *queued, struct timespec now,
         struct action_list *actions)
{
  bool first = queued == TAILQ_FIRST (&queue->list);

  queued_drop (queue, queued);
  if (first)
    grant_first (suspect, queue, now, actions);
}

void
suspect_grant_released (struct suspect *suspect, const char *peer,
                        const struct suspect_grant *grant, struct timespec now,
                        struct action_list *actions)
{
  struct grant_queue *queue
      = g_hash_table_lookup (suspect->queues, &grant->target);
  struct queued_request *queued
      = queue != NULL ? queued_find (queue, peer, grant->number) : NULL;

  if (queued != NULL)
    release (suspect, queue, queued, now, actions);
}

static void
send_request (struct suspect *suspect, struct grant_request *pending,
              struct timespec now, struct action_list *actions)
{
  const char *home = home_of (suspect, pending->grant.target);
  struct suspect_grant grant = pending->grant;

  pending->retry_at = ts_add_ms (now, SUSPECT_GRANT_RETRY_MS);
  if (is_self (suspect, home))
    suspect_grant_requested (suspect, home, &grant, now, actions);
  else
    push (actions, SUSPECT_REQUEST_GRANT, home)->grant = grant;
}

static void
release_grant (struct suspect *suspect, const struct suspect_grant *grant,
               struct timespec now, struct action_list *actions)
{
  const char *home = home_of (suspect, grant->target);

  if (is_self (suspect, home))
    suspect_grant_released (suspect, home, grant, now, actions);
  else
    push (actions, SUSPECT_RELEASE_GRANT, home)->grant = *grant;
}

static void
pending_drop (struct suspect *suspect, struct grant_request *pending,
              struct timespec now, struct action_list *actions)
{
  struct suspect_grant grant = pending->grant;

  TAILQ_REMOVE (&suspect->requests, pending, link);
  g_free (pending);
  release_grant (suspect, &grant, now, actions);
}

void
suspect_request_grant (struct suspect *suspect, uint64_t fingerprint,
                       const char *target, unsigned thread, uint64_t request,
                       struct timespec deadline, struct timespec now,
                       struct action_list *actions)
{
  struct grant_request *pending = g_new0 (struct grant_request, 1);
  unsigned n = suspect_strike_set_count (suspect->strikes, fingerprint, now);

  pending->grant = (struct suspect_grant){ fingerprint, suspect_hash (target),
                                           ++suspect->last_number };
  pending->thread = thread;
  pending->request = request;
  pending->deadline = deadline;
  if (n >= SUSPECT_REFUSE_STRIKES)
    {
      push_verdict (pending, false, actions);
      g_free (pending);
      return;
    }
  TAILQ_INSERT_TAIL (&suspect->requests, pending, link);
  send_request (suspect, pending, now, actions);
}

static struct grant_request *
pending_find (const struct suspect *suspect, uint64_t number)
{
  struct grant_request *pending;

  TAILQ_FOREACH (pending, &suspect->requests, link)
    {
      if (pending->grant.number == number)
        return pending;
    }
  return NULL;
}

void
suspect_grant_answered (struct suspect *suspect,
                        const struct suspect_grant *grant, bool granted,
                        struct timespec now, struct action_list *actions)
{
  struct grant_request *pending = pending_find (suspect, grant->number);

  if (pending == NULL)
    {
      if (granted)
        release_grant (suspect, grant, now, actions);
      return;
    }
  if (pending->granted)
    return;
  granted
      = granted
        && suspect_strike_set_count (suspect->strikes, grant->fingerprint, now)
               < SUSPECT_REFUSE_STRIKES;
  push_verdict (pending, granted, actions);
  pending->granted = granted;
  if (!granted)
    pending_drop (suspect, pending, now, actions);
}

void
suspect_crash (struct suspect *suspect, uint64_t fingerprint,
               const char *engine, struct timespec now,
               struct action_list *actions)
{
  struct suspect_strike strike
      = { .fingerprint = fingerprint, .engine = suspect_hash (engine) };

  suspect_strike_set_add (suspect->strikes, &strike, now);
  push (actions, SUSPECT_SEND_STRIKE, "")->strike = strike;
}

void
suspect_end (struct suspect *suspect, unsigned thread, uint64_t request,
             bool complete, struct timespec now, struct action_list *actions)
{
  struct suspect_strike strike = { .cleared = true };
  struct grant_request *pending;

  TAILQ_FOREACH (pending, &suspect->requests, link)
    {
      if (pending->granted && pending->thread == thread
          && pending->request == request)
        break;
    }
  if (pending == NULL)
    return;
  strike.fingerprint = pending->grant.fingerprint;
  if (complete)
    {
      suspect_strike_set_add (suspect->strikes, &strike, now);
      push (actions, SUSPECT_SEND_STRIKE, "")->strike = strike;
    }
  pending_drop (suspect, pending, now, actions);
}

void
suspect_strike_received (struct suspect *suspect,
                         const struct suspect_strike *strike,
                         struct timespec now)
{
  suspect_strike_set_add (suspect->strikes, strike, now);
}

static bool
is_live (const struct suspect *suspect, const char *node)
{
  for (guint i = 0; i < suspect->nodes->len; i++)
    if (strcmp (g_ptr_array_index (suspect->nodes, i), node) == 0)
      return true;
  return false;
}

/* Removes expired requests and those of dead nodes.  */
static void
clean_queue (struct suspect *suspect, struct grant_queue *queue,
             struct timespec now, struct action_list *actions)
{
  struct queued_request *queued;
  struct queued_request *next;

  for (queued = TAILQ_LAST (&queue->list, queued_list); queued != NULL;
       queued = next)
    {
      next = TAILQ_PREV (queued, queued_list, link);
      if (!is_live (suspect, queued->peer)
          || !ts_before (now, queued->expires_at))
        release (suspect, queue, queued, now, actions);
    }
}

static void
clean_queues (struct suspect *suspect, struct timespec now,
              struct action_list *actions)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, suspect->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      clean_queue (suspect, value, now, actions);
      if (((struct grant_queue *)value)->count == 0)
        g_hash_table_iter_remove (&iter);
    }
}

void
suspect_nodes (struct suspect *suspect, const char *const *nodes, size_t count,
               struct timespec now, struct action_list *actions)
{
  struct grant_request *pending;

  g_ptr_array_set_size (suspect->nodes, 0);
  for (size_t i = 0; i < count; i++)
    g_ptr_array_add (suspect->nodes, g_strdup (nodes[i]));
  if (!is_live (suspect, suspect->node))
    g_ptr_array_add (suspect->nodes, g_strdup (suspect->node));
  clean_queues (suspect, now, actions);
  TAILQ_FOREACH (pending, &suspect->requests, link)
    {
      pending->retry_at = now;
    }
}

struct recipient
{
  const char *node;
  struct action_list *actions;
};

static void
send_strike (void *user, const struct suspect_strike *strike)
{
  const struct recipient *recipient = user;

  push (recipient->actions, SUSPECT_SEND_STRIKE, recipient->node)->strike
      = *strike;
}

void
suspect_send_strikes (struct suspect *suspect, const char *node,
                      struct timespec now, struct action_list *actions)
{
  struct recipient recipient = { node, actions };

  suspect_strike_set_each (suspect->strikes, now, send_strike, &recipient);
}

static void
tick_pending (struct suspect *suspect, struct grant_request *pending,
              struct timespec now, struct action_list *actions)
{
  if (pending->granted)
    return;
  if (!ts_before (now, pending->deadline))
    {
      push_verdict (pending, false, actions);
      pending_drop (suspect, pending, now, actions);
    }
  else if (!ts_before (now, pending->retry_at))
    send_request (suspect, pending, now, actions);
}

void
suspect_tick (struct suspect *suspect, struct timespec now,
              struct action_list *actions)
{
  struct grant_request *pending;
  struct grant_request *next;

  for (pending = TAILQ_FIRST (&suspect->requests); pending != NULL;
       pending = next)
    {
      next = TAILQ_NEXT (pending, link);
      tick_pending (suspect, pending, now, actions);
    }
  if (ts_before (now, suspect->next_cleanup_at))
    return;
  suspect->next_cleanup_at = ts_add_ms (now, CLEANUP_INTERVAL_MS);
  suspect_strike_set_expire (suspect->strikes, now);
  clean_queues (suspect, now, actions);
}

struct timespec
suspect_next (const struct suspect *suspect)
{
  struct timespec next = suspect->next_cleanup_at;
  const struct grant_request *pending;

  TAILQ_FOREACH (pending, &suspect->requests, link)
    {
      if (!pending->granted)
        next = ts_min (next, ts_min (pending->retry_at, pending->deadline));
    }
  return next;
}

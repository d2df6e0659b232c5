#include <string.h>
#include "planners_state.h"

#define FLUSH_DELAY_MS 5     /* batches the changes of a burst */
#define ARRIVALS_DELAY_MS 50 /* maximum delay of arrival counts */
/* Added per node of the fleet to the delay of reports that start no load, so
   that the decider receives a bounded number of messages a second.  */
#define UPDATE_DELAY_US_PER_NODE 1000
#define ARRIVALS_DELAY_US_PER_NODE 3000
#define REPEAT_US_PER_NODE 5000
#define DEMAND_THREAD 0 /* the only source of demand at this node */

/* Demand of this node: waiting requests and arrivals by target.  */

struct flush
{
  struct planners *planners;
  GArray *wants; /* struct peer_want, strings borrowed */
  bool all;      /* also targets whose demand has not changed */
};

/* The planner for KEY, "SERVICE TARGET"; NULL if there is none.  */
static struct planner *
find_planner (const struct planners *planners, const char *key,
              const char **target)
{
  const char *space = strchr (key, ' ');
  struct planner *planner;
  char *service;

  if (space == NULL)
    return NULL;
  service = g_strndup (key, (gsize)(space - key));
  planner = g_hash_table_lookup (planners->by_service, service);
  g_free (service);
  *target = space + 1;
  return planner;
}

/* TARGET may be followed by "\nSOFTWARE".  */
static void
set_waiting (struct planners *planners, struct planner *planner,
             const char *node, const char *target,
             const struct peer_want *want)
{
  const char *newline = strchr (target, '\n');
  char *name;

  if (newline == NULL)
    {
      planner_set_waiting (planner, node, target, (unsigned)want->count,
                           (unsigned)want->priority, planners_now (planners));
      return;
    }
  name = g_strndup (target, (gsize)(newline - target));
  planner_set_resuming (planner, node, name, newline + 1,
                        (unsigned)want->count, (unsigned)want->priority,
                        planners_now (planners));
  g_free (name);
}

/* Tells PLANNER what the arrivals of WANT are like.  Nodes of an earlier
   release do not say.  */
static void
note_requests (struct planner *planner, const char *target,
               const struct peer_want *want)
{
  double calls = (double)want->calls;
  struct planner_delay_kind kind
      = { .count = calls,
          .tokens = planner_delay_tokens ((double)want->prompt_tokens / calls,
                                          (double)want->shared_tokens / calls),
          .answer_tokens = (double)want->answer_tokens / calls,
          .objective_s = (double)want->objective_ms / (double)TS_MS_PER_S,
          .gap_s = (double)want->gap_ms / (double)TS_MS_PER_S,
          .priority = (unsigned)want->calls_priority };

  if (want->objective_ms > 0)
    planner_note_requests (planner, target, &kind);
}

static void
apply_demand (struct planners *planners, const char *node,
              const struct peer_want *want)
{
  const char *target = NULL;
  struct planner *planner = find_planner (planners, want->target, &target);

  if (planner == NULL)
    return;
  if (want->calls > 0)
    {
      planner_request_arrived (planner, target, (double)want->calls,
                               planners_now (planners));
      note_requests (planner, target, want);
    }
  set_waiting (planners, planner, node, target, want);
}

static void
flush_want (struct flush *flush, const struct peer_want *want)
{
  if (planners_may_decide (flush->planners))
    apply_demand (flush->planners, flush->planners->core->node, want);
  else
    g_array_append_vals (flush->wants, want, 1);
}

static void
flush_target (void *user, struct demand *demand)
{
  struct flush *flush = user;
  struct peer_want want = { .target = demand->target,
                            .count = demand->waiting,
                            .priority = demand->priority };
  unsigned kinds = demand->kind_count;

  if (!demand->changed && !(flush->all && demand->waiting > 0))
    return;
  demand->changed = false;
  demand->calls = 0;
  demand->kind_count = 0;
  if (kinds == 0)
    flush_want (flush, &want);
  /* One for each kind: all repeat the number of waiting requests.  */
  for (unsigned i = 0; i < kinds; i++)
    {
      const struct demand_kind *kind = &demand->kinds[i];

      want.calls = kind->calls;
      want.prompt_tokens = kind->prompt_tokens;
      want.shared_tokens = kind->shared_tokens;
      want.answer_tokens = kind->answer_tokens;
      want.objective_ms = (uint64_t)kind->objective_ms;
      want.gap_ms = (uint64_t)kind->gap_ms;
      want.calls_priority = kind->priority;
      flush_want (flush, &want);
    }
}

const char *
planners_current_decider (const struct planners *planners)
{
  struct timespec at = replica_receiver_updated_at (planners->in);
  struct timespec fresh_until = ts_add_ms (at, SERVERS_REPLICAS_TTL_MS);

  if (!ts_is_zero (at) && ts_before (planners_now (planners), fresh_until))
    return replica_receiver_source (planners->in);
  return lease_holder (planners->lease);
}

static void
flush_demand (struct planners *planners, bool all)
{
  const char *to = planners_current_decider (planners);
  struct flush flush = { .planners = planners, .all = all };
  struct peer_msg msg = { .type = PEER_WANTS, .cell = (char *)PLANNERS_CELL };

  if (!planners_may_decide (planners)
      && (to == NULL || strcmp (to, planners->core->node) == 0))
    return;
  flush.wants = g_array_new (FALSE, TRUE, sizeof (struct peer_want));
  demand_each (planners->demand, flush_target, &flush);
  msg.wants = (struct peer_want *)flush.wants->data;
  msg.want_count = flush.wants->len;
  if (msg.want_count > 0)
    links_send (planners->links, to, &msg);
  g_array_unref (flush.wants);
  demand_prune (planners->demand);
  if (planners->deciding)
    planners_tick_soon (planners);
}

/* BASE_MS, and PER_NODE_US for each node of the fleet.  */
static int64_t
scaled_delay_ms (const struct planners *planners, int64_t base_ms,
                 int64_t per_node_us)
{
  size_t nodes;

  links_members (planners->links, &nodes);
  return base_ms + (int64_t)nodes * per_node_us / TS_US_PER_MS;
}

void
planners_flush_demand (struct loop_timer *timer)
{
  struct planners *planners
      = (struct planners *)((char *)timer - offsetof (struct planners, flush));
  struct timespec now = planners_now (planners);
  bool all = !ts_before (now, planners->repeat_at);

  if (all)
    planners->repeat_at
        = ts_add_ms (now, scaled_delay_ms (planners, PLANNERS_REPEAT_MS,
                                           REPEAT_US_PER_NODE));
  flush_demand (planners, all);
  loop_timer_set (planners->core->loop, timer, planners->repeat_at);
  planners_set_timer (planners);
}

static void
flush_within (struct planners *planners, int64_t ms)
{
  struct timespec at = ts_add_ms (planners_now (planners), ms);

  if (ts_before (at, planners->flush.at))
    loop_timer_set (planners->core->loop, &planners->flush, at);
}

void
planners_request_arrived (struct planners *planners, const char *service,
                          const char *target, const struct demand_kind *kind)
{
  char *key = g_strdup_printf ("%s %s", service, target);

  demand_request_arrived_as (planners->demand, key, kind);
  flush_within (planners, scaled_delay_ms (planners, ARRIVALS_DELAY_MS,
                                           ARRIVALS_DELAY_US_PER_NODE));
  g_free (key);
}

void
planners_set_waiting (struct planners *planners, const char *service,
                      const char *target, const char *software,
                      unsigned waiting, struct timespec deadline,
                      unsigned priority)
{
  char *key = software == NULL
                  ? g_strdup_printf ("%s %s", service, target)
                  : g_strdup_printf ("%s %s\n%s", service, target, software);
  unsigned before = demand_waiting (planners->demand, key);

  demand_set (planners->demand, DEMAND_THREAD, key, waiting, deadline,
              priority);
  g_free (key);
  flush_within (planners, before == 0 && waiting > 0
                              ? FLUSH_DELAY_MS
                              : scaled_delay_ms (planners, FLUSH_DELAY_MS,
                                                 UPDATE_DELAY_US_PER_NODE));
}

void
planners_resend_demand (struct planners *planners)
{
  int64_t spread_ms
      = scaled_delay_ms (planners, FLUSH_DELAY_MS, UPDATE_DELAY_US_PER_NODE);

  planners->repeat_at = planners_now (planners);
  flush_within (planners,
                g_rand_int_range (planners->core->rand, 0, (gint32)spread_ms));
}

void
planners_receive_demand (struct planners *planners, const char *from,
                         const struct peer_msg *msg)
{
  if (!planners->deciding)
    return;
  for (size_t i = 0; i < msg->want_count; i++)
    if (msg->wants[i].target != NULL)
      apply_demand (planners, from, &msg->wants[i]);
  planners_tick_soon (planners);
}

#include "ratelimits.h"

#include <math.h>
#include <glib.h>
#include "core.h"
#include "links.h"
#include "log.h"
#include "loop.h"
#include "ts.h"

#define NODES_REFRESH_MS 100 /* links that break are not reported */

struct ratelimits
{
  struct service service; /* must be first: it is cast to this struct */
  struct core *core;
  struct links *links;
  struct ratelimit *ratelimit;
  struct loop_timer timer;
  struct timespec nodes_at; /* when the nodes were set */
};

static struct timespec
now_of (const struct ratelimits *ratelimits)
{
  return loop_now (ratelimits->core->loop);
}

static void
log_limit (const char *id, double per_s, const char *source)
{
  struct log_line line;

  log_begin (&line, EVENT_SERVER_LIMIT);
  log_str (&line, "engine", id);
  log_double (&line, "per_s", per_s);
  log_str (&line, "source", source);
  log_end (&line);
}

static void
set_nodes (struct ratelimits *ratelimits)
{
  struct homes_node *nodes;
  size_t count;
  const struct member_info *const *members
      = links_members (ratelimits->links, &count);

  nodes = g_new0 (struct homes_node, count);
  for (size_t i = 0; i < count; i++)
    {
      enum member_state state = members[i]->state;

      nodes[i].name = members[i]->id;
      nodes[i].serves = state == MEMBER_LIVE || state == MEMBER_SUSPECT;
      nodes[i].linked = strcmp (members[i]->id, ratelimits->core->node) == 0
                        || links_connected (ratelimits->links, members[i]->id);
    }
  ratelimits->nodes_at = now_of (ratelimits);
  ratelimit_set_nodes (ratelimits->ratelimit, nodes, count,
                       ratelimits->nodes_at);
  g_free (nodes);
}

static void
refresh_nodes (struct ratelimits *ratelimits)
{
  if (ts_before (ts_add_ms (ratelimits->nodes_at, NODES_REFRESH_MS),
                 now_of (ratelimits)))
    set_nodes (ratelimits);
}

/* Actions.  */

static void
send_limit (struct ratelimits *ratelimits,
            const struct ratelimit_action *action, enum peer_msg_type type)
{
  struct peer_limit limit
      = { .server = (char *)action->server,
          .per_1000s = (uint64_t)lround (action->per_s * RATELIMIT_UNITS),
          .age_ms = (uint64_t)MAX (action->age_ms, 0),
          .ask = action->ask,
          .wait_ms = (uint64_t)MAX (action->wait_ms, 0),
          .rejected = action->rejected };
  struct peer_msg msg = { .type = type, .limits = &limit, .limit_count = 1 };

  if (*action->node != '\0')
    links_send (ratelimits->links, action->node, &msg);
  else
    links_fan_out (ratelimits->links, &msg);
}

static void
run_action (struct ratelimits *ratelimits,
            const struct ratelimit_action *action)
{
  switch ((enum ratelimit_action_type)action->action.type)
    {
    case RATELIMIT_SEND_NAMED:
      send_limit (ratelimits, action, PEER_LIMIT);
      break;
    case RATELIMIT_SEND_ASK:
      send_limit (ratelimits, action, PEER_LIMIT_ASK);
      break;
    case RATELIMIT_SEND_REPLY:
      send_limit (ratelimits, action, PEER_LIMIT_REPLY);
      break;
    case RATELIMIT_READY:
      kernel_post (ratelimits->core->kernel, KERNEL_LIMIT_CHANGED, NULL);
      break;
    }
}

static void
run (struct ratelimits *ratelimits, struct action_list *list)
{
  struct action *action;
  struct timespec next;

  while ((action = action_pop (list)) != NULL)
    {
      run_action (ratelimits, (struct ratelimit_action *)action);
      action_free (action);
    }
  next = ratelimit_next (ratelimits->ratelimit);
  if (!ts_is_zero (next))
    loop_timer_set (ratelimits->core->loop, &ratelimits->timer, next);
}

static void
on_timer (struct loop_timer *timer)
{
  struct ratelimits *ratelimits
      = (struct ratelimits *)((char *)timer
                              - offsetof (struct ratelimits, timer));
  struct action_list list;

  action_list_init (&list);
  ratelimit_tick (ratelimits->ratelimit, now_of (ratelimits), &list);
  run (ratelimits, &list);
}

/* Requests.  */

void
ratelimits_heard (struct ratelimits *ratelimits, const char *id,
                  const struct backend_notice *notice)
{
  struct action_list list;

  if (notice->limit_per_s < 0)
    return;
  action_list_init (&list);
  if (ratelimit_heard (ratelimits->ratelimit, id, notice->limit_per_s,
                       notice->sent_at, now_of (ratelimits), &list))
    log_limit (id, notice->limit_per_s, "self");
  run (ratelimits, &list);
}

double
ratelimits_per_s (const struct ratelimits *ratelimits, const char *id)
{
  return ratelimit_per_s (ratelimits->ratelimit, id);
}

struct ratelimit_verdict
ratelimits_check (struct ratelimits *ratelimits, const char *id, uint64_t ask)
{
  return ratelimit_check (ratelimits->ratelimit, id, ask, now_of (ratelimits));
}

bool
ratelimits_take (struct ratelimits *ratelimits, const char *id)
{
  return ratelimit_take (ratelimits->ratelimit, id, now_of (ratelimits));
}

uint64_t
ratelimits_want (struct ratelimits *ratelimits, const char *id,
                 int64_t wait_max_ms)
{
  struct action_list list;
  uint64_t ask;

  refresh_nodes (ratelimits);
  action_list_init (&list);
  ask = ratelimit_want (ratelimits->ratelimit, id, wait_max_ms,
                        now_of (ratelimits), &list);
  run (ratelimits, &list);
  return ask;
}

void
ratelimits_unwant (struct ratelimits *ratelimits, const char *id, uint64_t ask)
{
  ratelimit_unwant (ratelimits->ratelimit, id, ask);
}

void
ratelimits_prefetch (struct ratelimits *ratelimits, const char *id)
{
  struct action_list list;

  refresh_nodes (ratelimits);
  action_list_init (&list);
  ratelimit_prefetch (ratelimits->ratelimit, id, now_of (ratelimits), &list);
  run (ratelimits, &list);
}

/* Messages of other nodes.  */

static void
receive_limit (struct ratelimits *ratelimits, const char *from,
               const struct peer_limit *limit, enum peer_msg_type type,
               struct action_list *list)
{
  struct timespec now = now_of (ratelimits);
  double per_s = (double)limit->per_1000s / RATELIMIT_UNITS;

  if (type == PEER_LIMIT_REPLY)
    {
      ratelimit_replied (ratelimits->ratelimit, limit->server, limit->ask,
                         limit->rejected, (int64_t)limit->wait_ms, now, list);
      return;
    }
  if (ratelimit_told (ratelimits->ratelimit, from, limit->server, per_s,
                      (int64_t)limit->age_ms, now, list))
    log_limit (limit->server, per_s, from);
  if (type == PEER_LIMIT_ASK)
    ratelimit_asked (ratelimits->ratelimit, from, limit->server, limit->ask,
                     (int64_t)limit->wait_ms, now, list);
}

static void
handle_peer_message (struct ratelimits *ratelimits,
                     const struct links_msg *received)
{
  const struct peer_msg *msg = received->msg;
  struct action_list list;

  if (msg->type < PEER_LIMIT || msg->type > PEER_LIMIT_REPLY)
    return;
  if (msg->relay)
    links_relay (ratelimits->links, received->from, msg);
  refresh_nodes (ratelimits);
  action_list_init (&list);
  for (size_t i = 0; i < msg->limit_count; i++)
    if (msg->limits[i].server != NULL)
      receive_limit (ratelimits, received->from, &msg->limits[i], msg->type,
                     &list);
  run (ratelimits, &list);
}

static void
send_all (struct ratelimits *ratelimits, const char *node)
{
  struct action_list list;

  action_list_init (&list);
  ratelimit_send_all (ratelimits->ratelimit, node, now_of (ratelimits), &list);
  run (ratelimits, &list);
}

/* The service.  */

static void
ratelimits_event (struct service *service, const struct kernel_event *event)
{
  struct ratelimits *ratelimits = (struct ratelimits *)service;

  if (event->type == KERNEL_PEER_MESSAGE)
    handle_peer_message (ratelimits, event->data);
  else if (event->type == KERNEL_PEER_CONNECTED)
    send_all (ratelimits, event->data);
  if (event->type == KERNEL_PEER_CONNECTED
      || event->type == KERNEL_MEMBERS_CHANGED)
    set_nodes (ratelimits);
}

static int
ratelimits_start (struct service *service, struct kernel *kernel)
{
  struct ratelimits *ratelimits = (struct ratelimits *)service;

  ratelimits->core = core_find (kernel);
  ratelimits->links = links_find (kernel);
  ratelimits->ratelimit = ratelimit_new (ratelimits->core->node);
  ratelimits->timer.fire = on_timer;
  set_nodes (ratelimits);
  return 0;
}

static void
ratelimits_stop (struct service *service)
{
  struct ratelimits *ratelimits = (struct ratelimits *)service;

  loop_timer_clear (ratelimits->core->loop, &ratelimits->timer);
}

static const struct service_ops ops
    = { ratelimits_start, ratelimits_stop, ratelimits_event };

struct service *
ratelimits_new (void)
{
  struct ratelimits *ratelimits = g_new0 (struct ratelimits, 1);

  ratelimits->service.ops = &ops;
  ratelimits->service.name = RATELIMITS_NAME;
  return &ratelimits->service;
}

void
ratelimits_free (struct service *service)
{
  struct ratelimits *ratelimits = (struct ratelimits *)service;

  if (ratelimits == NULL)
    return;
  ratelimit_free (ratelimits->ratelimit);
  g_free (ratelimits);
}

struct ratelimits *
ratelimits_find (struct kernel *kernel)
{
  return (struct ratelimits *)kernel_find (kernel, RATELIMITS_NAME);
}

#include "suspects.h"

#include <errno.h>
#include <string.h>
#include <glib.h>
#include "core.h"
#include "inbox.h"
#include "links.h"
#include "msg.h"
#include "ts.h"

#define REQUEST_NAME "suspect"     /* grant requests to a home node */
#define RELEASE_NAME "suspect-end" /* end of a granted run */

struct suspects
{
  struct service service;
  struct core *core;
  struct links *links;
  struct inbox *inbox;
  struct suspect_table *table;
  struct suspect *suspect;
  struct loop_timer timer;
};

static struct timespec
now_of (const struct suspects *suspects)
{
  return loop_now (suspects->core->loop);
}

static void
send_strike (struct suspects *suspects, const struct suspect_action *action)
{
  struct peer_strike strike
      = { .fingerprint = action->strike.fingerprint,
          .engine = action->strike.engine,
          .age_ms = (uint64_t)MAX (action->strike.age_ms, 0),
          .cleared = action->strike.cleared };
  struct peer_msg msg
      = { .type = PEER_STRIKES, .strikes = &strike, .strike_count = 1 };

  if (action->node[0] != '\0')
    links_send (suspects->links, action->node, &msg);
  else
    links_broadcast (suspects->links, &msg);
}

/* Sends a request for a grant, the release of one or the answer to a request,
   as TYPE and NAME say.  */
static void
send_grant_message (struct suspects *suspects,
                    const struct suspect_action *action,
                    enum peer_msg_type type, char *name)
{
  struct peer_strike subject = { .fingerprint = action->grant.fingerprint,
                                 .engine = action->grant.target };
  struct peer_msg msg = { .type = type,
                          .id = action->grant.number,
                          .name = name,
                          .status = action->granted,
                          .strikes = &subject,
                          .strike_count = 1 };

  links_send (suspects->links, action->node, &msg);
}

static void
send_verdict (struct suspects *suspects, const struct suspect_action *action)
{
  struct msg *msg = msg_new (MSG_SUSPECT_VERDICT);

  msg->thread = action->thread;
  msg->request = action->request;
  msg->verdict = action->granted ? MSG_VERDICT_RUN : MSG_VERDICT_NOT_RUN;
  inbox_send (suspects->inbox, msg);
}

static void
run_action (struct suspects *suspects, const struct suspect_action *action)
{
  switch ((enum suspect_action_type)action->action.type)
    {
    case SUSPECT_SEND_STRIKE:
      send_strike (suspects, action);
      break;
    case SUSPECT_REQUEST_GRANT:
      send_grant_message (suspects, action, PEER_REQUEST, REQUEST_NAME);
      break;
    case SUSPECT_RELEASE_GRANT:
      send_grant_message (suspects, action, PEER_REQUEST, RELEASE_NAME);
      break;
    case SUSPECT_ANSWER_GRANT:
      send_grant_message (suspects, action, PEER_RESPONSE, REQUEST_NAME);
      break;
    case SUSPECT_VERDICT:
      send_verdict (suspects, action);
      break;
    }
}

static void
run_actions (struct suspects *suspects, struct action_list *list)
{
  struct action *action;

  while ((action = action_pop (list)) != NULL)
    {
      run_action (suspects, (struct suspect_action *)action);
      action_free (action);
    }
  loop_timer_set (suspects->core->loop, &suspects->timer,
                  suspect_next (suspects->suspect));
}

/* Whether ERROR of a request that was sent means a crash of the server.  A
   time-out does not; a refused connection after the request was received
   does.  */
static bool
is_crash (int error)
{
  return error == -ECONNRESET || error == -EPIPE || error == -ECONNREFUSED;
}

static void
receive_message (struct suspects *suspects, const struct msg *msg)
{
  struct timespec now = now_of (suspects);
  struct action_list list;

  action_list_init (&list);
  if (msg->type == MSG_ATTEMPT_FAILED && msg->ran && is_crash (msg->error))
    suspect_crash (suspects->suspect, msg->fingerprint, msg->engine, now,
                   &list);
  else if (msg->type == MSG_SUSPECT_BEGIN)
    suspect_request_grant (suspects->suspect, msg->fingerprint, msg->target,
                           msg->thread, msg->request, msg->deadline, now,
                           &list);
  else if (msg->type == MSG_SUSPECT_END)
    suspect_end (suspects->suspect, msg->thread, msg->request, msg->ran, now,
                 &list);
  else
    return;
  run_actions (suspects, &list);
}

static void
receive_strikes (struct suspects *suspects, const struct peer_msg *msg)
{
  for (size_t i = 0; i < msg->strike_count; i++)
    {
      struct suspect_strike strike
          = { .fingerprint = msg->strikes[i].fingerprint,
              .engine = msg->strikes[i].engine,
              .age_ms = (int64_t)msg->strikes[i].age_ms,
              .cleared = msg->strikes[i].cleared };

      suspect_strike_received (suspects->suspect, &strike, now_of (suspects));
    }
}

static void
receive_grant_message (struct suspects *suspects, const struct links_msg *peer)
{
  const struct peer_msg *msg = peer->msg;
  struct suspect_grant grant = { .number = msg->id };
  struct action_list list;

  if (msg->name == NULL || msg->strike_count != 1)
    return;
  grant.fingerprint = msg->strikes[0].fingerprint;
  grant.target = msg->strikes[0].engine;
  action_list_init (&list);
  if (msg->type == PEER_RESPONSE)
    suspect_grant_answered (suspects->suspect, &grant, msg->status != 0,
                            now_of (suspects), &list);
  else if (strcmp (msg->name, RELEASE_NAME) == 0)
    suspect_grant_released (suspects->suspect, peer->from, &grant,
                            now_of (suspects), &list);
  else if (strcmp (msg->name, REQUEST_NAME) == 0)
    suspect_grant_requested (suspects->suspect, peer->from, &grant,
                             now_of (suspects), &list);
  run_actions (suspects, &list);
}

static void
update_nodes (struct suspects *suspects)
{
  size_t count;
  struct route_node *nodes = links_routable_nodes (suspects->links, &count);
  const char **names = g_new0 (const char *, count + 1);
  struct action_list list;

  action_list_init (&list);
  for (size_t i = 0; i < count; i++)
    names[i] = nodes[i].id;
  suspect_nodes (suspects->suspect, names, count, now_of (suspects), &list);
  run_actions (suspects, &list);
  g_free (names);
  route_nodes_free (nodes, count);
}

static void
send_strikes (struct suspects *suspects, const char *node)
{
  struct action_list list;

  action_list_init (&list);
  suspect_send_strikes (suspects->suspect, node, now_of (suspects), &list);
  run_actions (suspects, &list);
}

static void
suspects_event (struct service *service, const struct kernel_event *event)
{
  struct suspects *suspects = (struct suspects *)service;
  const struct links_msg *peer = event->data;

  if (event->type == KERNEL_MEMBERS_CHANGED)
    update_nodes (suspects);
  else if (event->type == KERNEL_TRAFFIC_MESSAGE)
    receive_message (suspects, event->data);
  else if (event->type == KERNEL_PEER_CONNECTED)
    send_strikes (suspects, event->data);
  if (event->type != KERNEL_PEER_MESSAGE)
    return;
  if (peer->msg->type == PEER_STRIKES)
    receive_strikes (suspects, peer->msg);
  else if (peer->msg->type == PEER_REQUEST || peer->msg->type == PEER_RESPONSE)
    receive_grant_message (suspects, peer);
}

static void
timer_fire (struct loop_timer *timer)
{
  struct suspects *suspects
      = (struct suspects *)((char *)timer - offsetof (struct suspects, timer));
  struct action_list list;

  action_list_init (&list);
  suspect_tick (suspects->suspect, now_of (suspects), &list);
  run_actions (suspects, &list);
}

static int
suspects_start (struct service *service, struct kernel *kernel)
{
  struct suspects *suspects = (struct suspects *)service;
  struct suspect_options options = { 0 };

  suspects->core = core_find (kernel);
  suspects->links = links_find (kernel);
  suspects->inbox = inbox_find (kernel);
  options.node = suspects->core->node;
  suspects->suspect = suspect_new (&options, suspects->table);
  suspects->timer.fire = timer_fire;
  loop_timer_set (suspects->core->loop, &suspects->timer, now_of (suspects));
  return 0;
}

static void
suspects_stop (struct service *service)
{
  struct suspects *suspects = (struct suspects *)service;

  loop_timer_clear (suspects->core->loop, &suspects->timer);
}

static const struct service_ops suspects_ops
    = { suspects_start, suspects_stop, suspects_event };

struct service *
suspects_new (struct suspect_table *table)
{
  struct suspects *suspects = g_new0 (struct suspects, 1);

  suspects->service.ops = &suspects_ops;
  suspects->service.name = SUSPECTS_NAME;
  suspects->table = table;
  return &suspects->service;
}

void
suspects_free (struct service *service)
{
  struct suspects *suspects = (struct suspects *)service;

  if (suspects == NULL)
    return;
  if (suspects->suspect != NULL)
    suspect_free (suspects->suspect);
  g_free (suspects);
}

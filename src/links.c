#include "links.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include <jansson.h>
#include "core.h"
#include "counter.h"
#include "fanout.h"
#include "fleet.h"
#include "httpc.h"
#include "log.h"
#include "membermsg.h"
#include "peer.h"
#include "ts.h"

/* Connections of nodes that have not authenticated: part of the descriptors.
 */
#define UNAUTHENTICATED_SHARE 10
#define UNAUTHENTICATED_MAX 256
#define DISCOVER_INTERVAL_MS 1000 /* between requests, while not linked */
#define DISCOVER_TIMEOUT_MS 900
#define DISCOVER_BODY_MAX_BYTES 4096u

struct links
{
  struct service service;
  struct core *core;
  struct fleet *fleet;
  struct httpc *httpc;
  struct peer *peer;
  struct member *member;
  struct loop_timer timer;
  struct loop_timer discover_timer;
  uint64_t doc_version;
  uint64_t lossy_count; /* of messages sent by links_fan_out_lossy */
};

static struct links *
links_from_timer (struct loop_timer *timer)
{
  return (struct links *)((char *)timer - offsetof (struct links, timer));
}

static struct links *
links_from_discover_timer (struct loop_timer *timer)
{
  return (struct links *)((char *)timer
                          - offsetof (struct links, discover_timer));
}

static void
log_invalid_address (const char *address)
{
  struct log_line line;

  log_begin (&line, EVENT_PEER_REFUSED);
  log_str (&line, "address", address);
  log_str (&line, "why", "not an IP:port address");
  log_end (&line);
}

static void
send_member_message (struct links *links, const struct member_action *action)
{
  struct peer_msg msg;

  membermsg_from_action (action, &msg);
  links_send (links, action->to, &msg);
  membermsg_clear (&msg);
}

static void
log_member (const struct member_info *info)
{
  static const char *const names[] = { "live", "suspect", "leaving", "dead" };
  struct log_line line;

  log_begin (&line, EVENT_MEMBER_CHANGED);
  log_str (&line, "member", info->id);
  log_str (&line, "state", names[info->state]);
  log_str (&line, "address", info->address);
  log_int (&line, "incarnation", (int64_t)info->incarnation);
  log_end (&line);
}

static void
member_changed (struct links *links, const struct member_info *info)
{
  bool self = strcmp (info->id, links->core->node) == 0;

  log_member (info);
  if (!self && info->address != NULL && *info->address != '\0')
    {
      if (info->state == MEMBER_DEAD)
        peer_disconnect (links->peer, info->address);
      else
        peer_connect_node (links->peer, info->address,
                           links_has_relays (links) ? info->id : NULL);
    }
  kernel_post (links->core->kernel, KERNEL_MEMBERS_CHANGED, NULL);
}

static void
run_actions (struct links *links, struct action_list *list)
{
  struct action *next;

  while ((next = action_pop (list)) != NULL)
    {
      const struct member_action *action = (struct member_action *)next;

      switch ((enum member_action_type)next->type)
        {
        case MEMBER_PROBE:
        case MEMBER_PROBE_REQUEST:
        case MEMBER_ACK:
          send_member_message (links, action);
          break;
        case MEMBER_CHANGED:
          member_changed (links, &action->info);
          break;
        }
      action_free (next);
    }
}

static void
set_timer (struct links *links)
{
  loop_timer_set (links->core->loop, &links->timer,
                  member_next_tick (links->member));
}

static void
timer_fire (struct loop_timer *timer)
{
  struct links *links = links_from_timer (timer);
  struct action_list list;

  action_list_init (&list);
  member_set_local_info (links->member, links->doc_version,
                         (uint64_t)counter_get (COUNTER_STREAMS));
  member_tick (links->member, loop_now (links->core->loop), &list);
  run_actions (links, &list);
  set_timer (links);
}

static void
receive_member_message (struct links *links, const char *from,
                        const struct peer_msg *msg)
{
  struct action_list list;

  action_list_init (&list);
  membermsg_deliver (links->member, from, msg, loop_now (links->core->loop),
                     &list);
  run_actions (links, &list);
  set_timer (links);
}

static void
on_message (void *user, const char *from, const struct peer_msg *msg)
{
  struct links *links = user;
  struct links_msg posted = { .from = from, .msg = msg };

  switch (msg->type)
    {
    case PEER_PROBE:
    case PEER_PROBE_REQUEST:
    case PEER_PROBE_ACK:
      receive_member_message (links, from, msg);
      break;
    default:
      kernel_post (links->core->kernel, KERNEL_PEER_MESSAGE, &posted);
      break;
    }
}

static void
on_up (void *user, const char *node)
{
  struct links *links = user;
  struct peer_msg msg
      = { .type = PEER_CONFIG_VERSION, .version = links->doc_version };

  links_send (links, node, &msg);
  kernel_post (links->core->kernel, KERNEL_PEER_CONNECTED, node);
}

static void
on_down (void *user, const char *node)
{
  struct links *links = user;
  struct action_list list;

  action_list_init (&list);
  member_link_down (links->member, node, loop_now (links->core->loop), &list);
  run_actions (links, &list);
}

int
links_send (struct links *links, const char *node, const struct peer_msg *msg)
{
  return peer_send (links->peer, node, msg);
}

bool
links_connected (const struct links *links, const char *node)
{
  return peer_connected (links->peer, node);
}

uint64_t
links_protocol (const struct links *links, const char *node)
{
  return peer_protocol (links->peer, node);
}

static bool
is_linked (void *user, const char *node)
{
  return links_connected (user, node);
}

static struct fanout_query
fanout_query (struct links *links)
{
  struct fanout_query query = { .self = links->core->node,
                                .zone = links->core->settings->zone,
                                .linked = is_linked,
                                .user = links };

  query.members = member_list (links->member, &query.count);
  return query;
}

/* Sends MSG to TARGETS, to relays with the flag set.  */
static void
send_to_targets (struct links *links, const GArray *targets,
                 const struct peer_msg *msg)
{
  GPtrArray *nodes[2] = { g_ptr_array_new (), g_ptr_array_new () };
  struct peer_msg copy = *msg; /* borrows */

  for (guint i = 0; i < targets->len; i++)
    {
      const struct fanout_target *target
          = &g_array_index (targets, struct fanout_target, i);

      g_ptr_array_add (nodes[target->relay], (gpointer)target->node);
    }
  for (int relay = 0; relay < 2; relay++)
    {
      copy.relay = relay != 0;
      peer_send_each (links->peer, (const char *const *)nodes[relay]->pdata,
                      nodes[relay]->len, &copy);
      g_ptr_array_unref (nodes[relay]);
    }
}

static void
fan_out (struct links *links, const struct fanout_query *query,
         const struct peer_msg *msg)
{
  GArray *targets = g_array_new (FALSE, FALSE, sizeof (struct fanout_target));

  fanout_origin (query, targets);
  send_to_targets (links, targets, msg);
  g_array_unref (targets);
}

void
links_fan_out (struct links *links, const struct peer_msg *msg)
{
  struct fanout_query query = fanout_query (links);

  fan_out (links, &query, msg);
}

void
links_fan_out_lossy (struct links *links, const struct peer_msg *msg)
{
  struct fanout_query query = fanout_query (links);

  query.relays = 1;
  query.seed = ++links->lossy_count;
  fan_out (links, &query, msg);
}

void
links_relay (struct links *links, const char *from, const struct peer_msg *msg)
{
  struct fanout_query query = fanout_query (links);
  GArray *targets = g_array_new (FALSE, FALSE, sizeof (struct fanout_target));
  struct peer_msg copy = *msg; /* borrows */

  if (copy.node == NULL)
    copy.node = (char *)from;
  fanout_relay (&query, from, targets);
  send_to_targets (links, targets, &copy);
  g_array_unref (targets);
}

bool
links_has_relays (struct links *links)
{
  size_t count;

  member_list (links->member, &count);
  return count > FANOUT_DIRECT_MAX;
}

void
links_add_member (struct links *links, const char *node)
{
  struct action_list list;

  action_list_init (&list);
  member_link_up (links->member, node, &list);
  run_actions (links, &list);
}

unsigned
links_broadcast (struct links *links, const struct peer_msg *msg)
{
  return peer_broadcast (links->peer, msg);
}

void
links_set_doc_version (struct links *links, uint64_t version)
{
  links->doc_version = version;
}

const struct member_info *const *
links_members (struct links *links, size_t *count)
{
  return member_list (links->member, count);
}

bool
links_all_alive (struct links *links)
{
  return member_all_alive (links->member);
}

const char *
links_address (struct links *links)
{
  return peer_address (links->peer);
}

struct route_node *
links_routable_nodes (struct links *links, size_t *count)
{
  GArray *nodes = g_array_new (FALSE, TRUE, sizeof (struct route_node));
  size_t n;
  const struct member_info *const *members = member_list (links->member, &n);

  for (size_t i = 0; i < n; i++)
    {
      const struct member_info *info = members[i];
      struct route_node node;

      /* A node without a configuration rejects all requests.  */
      if (!member_is_routable (info)
          || (info->doc_version == 0 && links->doc_version > 0))
        continue;
      node = (struct route_node){ .id = g_strdup (info->id),
                                  .address
                                  = g_strdup (info->advertised_address),
                                  .zone = g_strdup (info->zone),
                                  .region = g_strdup (info->region) };
      g_array_append_val (nodes, node);
    }
  *count = nodes->len;
  return (struct route_node *)g_array_free (nodes, FALSE);
}

/* Connects to the peer address that a listed node has returned.  */
static void
peer_address_received (void *user, const struct httpc_result *result)
{
  struct links *links = user;
  json_t *json;
  const char *address;

  if (result->error != 0 || result->status != 200)
    return;
  json = json_loadb (result->body, result->length, 0, NULL);
  address = json_string_value (json_object_get (json, "peer"));
  if (address != NULL)
    peer_connect (links->peer, address);
  json_decref (json);
}

static void
request_peer_address (struct links *links, const struct fleet_engine *engine)
{
  char *url = g_strdup_printf ("http://%s/admin/peer", engine->address);
  char *bearer = g_strconcat ("Authorization: Bearer ",
                              links->core->settings->operator_token, NULL);
  const char *headers[] = { bearer, NULL };
  struct httpc_request request = { .url = url,
                                   .headers = headers,
                                   .timeout_ms = DISCOVER_TIMEOUT_MS,
                                   .body_max = DISCOVER_BODY_MAX_BYTES,
                                   .done = peer_address_received,
                                   .user = links };

  httpc_start (links->httpc, &request);
  g_free (url);
  g_free (bearer);
}

static void
discover_timer_fire (struct loop_timer *timer)
{
  struct links *links = links_from_discover_timer (timer);
  struct loop *loop = links->core->loop;
  const struct fleet_engine *engine;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, fleet_engines (links->fleet));
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    if (strcmp (engine->pool, FLEET_ENTRY_POOL) == 0
        && strcmp (engine->id, links->core->node) != 0
        && !peer_connected (links->peer, engine->id))
      request_peer_address (links, engine);
  loop_timer_set (loop, timer,
                  ts_add_ms (loop_now (loop), DISCOVER_INTERVAL_MS));
}

static void
leave_membership (struct links *links)
{
  struct action_list list;

  action_list_init (&list);
  member_leave (links->member, loop_now (links->core->loop), &list);
  run_actions (links, &list);
}

static void
update_instances (struct links *links,
                  const struct platform_instances *instances)
{
  struct action_list list;

  action_list_init (&list);
  member_update_instances (links->member, instances,
                           loop_now (links->core->loop), &list);
  run_actions (links, &list);
}

static void
links_event (struct service *service, const struct kernel_event *event)
{
  struct links *links = (struct links *)service;

  if (event->type == KERNEL_DRAIN_STARTED)
    leave_membership (links);
  else if (event->type == KERNEL_INSTANCES)
    update_instances (links, event->data);
}

static int
start_peer (struct links *links)
{
  const struct settings *settings = links->core->settings;
  struct peer_options options
      = { .loop = links->core->loop,
          .clk = links->core->clk,
          .host = settings->peer_address,
          .port = settings->peer_port,
          .token = settings->peer_token,
          .node = links->core->node,
          .incarnation = links->core->incarnation,
          .region = settings->region,
          .zone = settings->zone,
          .unauthenticated_max = MIN (
              settings->fd_limit / UNAUTHENTICATED_SHARE, UNAUTHENTICATED_MAX),
          .message = on_message,
          .up = on_up,
          .down = on_down,
          .user = links,
          .rand = links->core->rand };

  links->peer = peer_new (&options);
  return links->peer != NULL ? 0 : -errno;
}

static void
start_member (struct links *links)
{
  const struct core *core = links->core;
  struct member_options options
      = { .self = { .id = core->node,
                    .address = (char *)peer_address (links->peer),
                    .advertised_address = core->address,
                    .zone = core->settings->zone,
                    .region = core->settings->region,
                    .incarnation = core->incarnation,
                    .state = MEMBER_LIVE },
          .rand = core->rand };

  links->member = member_new (&options);
}

void
links_connect (struct links *links, const char *address, const char *node)
{
  if (peer_connect_node (links->peer, address, node) < 0)
    log_invalid_address (address);
}

static void
connect_seeds (struct links *links)
{
  char **seeds = g_strsplit (links->core->settings->seeds, ",", -1);

  for (char **seed = seeds; *seed != NULL; seed++)
    if (**seed != '\0')
      links_connect (links, *seed, NULL);
  g_strfreev (seeds);
}

static int
links_start (struct service *service, struct kernel *kernel)
{
  struct links *links = (struct links *)service;
  struct httpc_options http = { 0 };
  int err;

  links->core = core_find (kernel);
  links->fleet = fleet_find (kernel);
  http.loop = links->core->loop;
  links->httpc = httpc_new (&http);
  err = start_peer (links);
  if (err < 0)
    return err;
  start_member (links);
  connect_seeds (links);
  links->timer.fire = timer_fire;
  links->discover_timer.fire = discover_timer_fire;
  set_timer (links);
  if (links->fleet != NULL)
    loop_timer_set (links->core->loop, &links->discover_timer,
                    loop_now (links->core->loop));
  return 0;
}

static void
links_stop (struct service *service)
{
  struct links *links = (struct links *)service;

  loop_timer_clear (links->core->loop, &links->timer);
  loop_timer_clear (links->core->loop, &links->discover_timer);
  httpc_free (links->httpc);
  peer_free (links->peer);
  links->httpc = NULL;
  links->peer = NULL;
}

static const struct service_ops links_ops
    = { links_start, links_stop, links_event };

struct service *
links_new (void)
{
  struct links *links = g_new0 (struct links, 1);

  links->service.ops = &links_ops;
  links->service.name = LINKS_NAME;
  return &links->service;
}

void
links_free (struct service *service)
{
  struct links *links = (struct links *)service;

  if (links == NULL)
    return;
  member_free (links->member);
  g_free (links);
}

struct links *
links_find (struct kernel *kernel)
{
  return (struct links *)kernel_find (kernel, LINKS_NAME);
}

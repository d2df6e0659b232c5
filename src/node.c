#include "node.h"

#include <errno.h>
#include <glib.h>
#include "admin.h"
#include "backend_http.h"
#include "cells.h"
#include "config.h"
#include "core.h"
#include "fleet.h"
#include "httpc.h"
#include "inbox.h"
#include "links.h"
#include "log.h"
#include "platform_http.h"
#include "records.h"
#include "routes.h"
#include "replica_sync_service.h"
#include "suspects.h"
#include "traffic.h"
#include "ts.h"

#define FROM_TRAFFIC_SLOTS 16384u
#define FDS_RESERVED 300 /* descriptors not used for callers' connections */
#define DRAIN_CHECK_MS 50
/* Time until gossip has reached all nodes and none returns this one in
   lookups.  */
#define DRAIN_GOSSIP_MS 2000

struct node
{
  struct core core; /* must be first: drain_callback casts it */
  struct traffic *traffic;
  struct httpc *httpc;
  struct service *fleet;
  struct service *config;
  struct service *links;
  struct service *cells;
  struct service *records;
  struct service *replica_sync_service;
  struct service *suspects;
  struct service *routes;
  struct suspect_table *suspect_table;
  struct service *admin;
  struct service *inbox;
  struct loop_timer drain_timer;
  struct timespec drain_until;
  bool closed; /* since the last look at the open requests, or before */
};

/* Of callers, per thread.  */
static unsigned
max_connections (const struct settings *settings)
{
  unsigned reserved = MIN (FDS_RESERVED, settings->fd_limit / 2);

  return (settings->fd_limit - reserved) / MAX (settings->threads, 1);
}

static int
create_traffic (struct node *node)
{
  const struct settings *settings = node->core.settings;
  struct traffic_options options = {
    .clk = node->core.clk,
    .address = settings->listen_address,
    .port = settings->listen_port,
    .threads = settings->threads,
    .route = node->core.route,
    .to_control = node->core.from_traffic,
    .suspects = node->suspect_table,
    .node = node->core.node,
    .zone = settings->zone,
    .region = settings->region,
    .operator_token = settings->operator_token,
    .entry_ttl_s = settings->entry_ttl_s,
    .default_deadline_ms = settings->deadline_ms,
    .idle_timeout_ms = settings->idle_timeout_ms,
    .memory_mb = settings->memory_mb,
    .fd_limit = settings->fd_limit,
    .max_connections = max_connections (settings),
  };

  return traffic_new (&options, &node->traffic);
}

static void
set_address (struct node *node)
{
  const struct settings *settings = node->core.settings;

  if (settings->advertise != NULL)
    node->core.address = g_strdup (settings->advertise);
  else
    node->core.address = g_strdup_printf ("%s:%u", settings->listen_address,
                                          traffic_port (node->traffic));
}

static void
setup_log (struct node *node)
{
  struct log_options options = { .fd = 2,
                                 .level = node->core.settings->log_level,
                                 .format = node->core.settings->log_format,
                                 .node = node->core.node,
                                 .clk = node->core.clk };

  log_init (&options);
}

static void
log_started (struct node *node)
{
  struct log_line line;

  log_begin (&line, EVENT_STARTED);
  log_str (&line, "listen", node->core.address);
  log_str (&line, "zone", node->core.settings->zone);
  log_str (&line, "region", node->core.settings->region);
  log_end (&line);
}

static int
create_core (struct node *node, const struct settings *settings)
{
  struct ring_options ring
      = { .slots = FROM_TRAFFIC_SLOTS, .release = msg_free };
  struct core *core = &node->core;

  core->settings = settings;
  core->clk = clk_monotonic ();
  core->incarnation = (uint64_t)ts_to_ns (clk_wall (core->clk));
  core->node = settings->node != NULL
                   ? g_strdup (settings->node)
                   : g_strdup_printf ("node-%llx",
                                      (unsigned long long)core->incarnation);
  core->rand = g_rand_new_with_seed ((guint32)core->incarnation);
  core->loop = loop_new (core->clk);
  core->route = route_new ();
  core->from_traffic = ring_new (&ring);
  core->kernel = kernel_new ();
  if (core->loop == NULL || core->from_traffic == NULL)
    return -ENOMEM;
  return 0;
}

static int
create_clients (struct node *node)
{
  struct httpc_options http = { .loop = node->core.loop };
  struct platform_http_options platform
      = { .address = node->core.settings->platform };
  struct backend_http_options backend = { 0 };

  node->httpc = httpc_new (&http);
  if (node->httpc == NULL)
    return -ENOMEM;
  platform.httpc = node->httpc;
  backend.httpc = node->httpc;
  node->core.platform = platform_http_new (&platform);
  node->core.backend = backend_http_new (&backend);
  return 0;
}

static void
register_services (struct node *node)
{
  struct kernel *kernel = node->core.kernel;

  core_register (&node->core);
  kernel_register (kernel, node->fleet = fleet_new ());
  kernel_register (kernel, node->links = links_new ());
  kernel_register (kernel, node->config = config_new ());
  kernel_register (kernel, node->cells = cells_new ());
  kernel_register (kernel, node->records = records_new ());
  kernel_register (kernel,
                   node->replica_sync_service = replica_sync_service_new ());
  kernel_register (kernel,
                   node->suspects = suspects_new (node->suspect_table));
  kernel_register (kernel, node->routes = routes_new ());
  kernel_register (kernel, node->admin = admin_new ());
  kernel_register (kernel, node->inbox = inbox_new (node->traffic));
}

static int
start_components (struct node *node, const struct settings *settings)
{
  int err = create_core (node, settings);

  node->suspect_table = suspect_table_new ();
  if (err == 0)
    err = create_traffic (node);
  if (err < 0)
    return err;
  set_address (node);
  setup_log (node);
  err = create_clients (node);
  if (err < 0)
    return err;
  register_services (node);
  err = kernel_start (node->core.kernel);
  if (err == 0)
    log_started (node);
  return err;
}

static void
drain_callback (struct core *core)
{
  node_drain ((struct node *)core);
}

int
node_new (const struct settings *settings, struct node **out)
{
  struct node *node = g_new0 (struct node, 1);
  int err;

  node->core.drain = drain_callback;
  err = start_components (node, settings);

  if (err < 0)
    {
      node_free (node);
      return err;
    }
  *out = node;
  return 0;
}

struct loop *
node_loop (struct node *node)
{
  return node->core.loop;
}

void
node_run (struct node *node)
{
  loop_run (node->core.loop);
}

void
node_stop (struct node *node)
{
  loop_stop (node->core.loop);
}

static void
drain_check (struct loop_timer *timer)
{
  struct node *node
      = (struct node *)((char *)timer - offsetof (struct node, drain_timer));
  struct timespec now = loop_now (node->core.loop);

  bool closed = node->closed;

  if (!ts_before (now, node->drain_until) && !closed)
    {
      node->closed = true;
      traffic_close (node->traffic);
    }
  if (closed && traffic_open_requests (node->traffic) == 0
      && records_pending (node->records) == 0)
    node_stop (node);
  else
    loop_timer_set (node->core.loop, timer, ts_add_ms (now, DRAIN_CHECK_MS));
}

void
node_drain (struct node *node)
{
  struct timespec now = loop_now (node->core.loop);
  struct log_line line;

  if (node->core.draining)
    return;
  node->core.draining = true;
  log_begin (&line, EVENT_STOPPING);
  log_int (&line, "open", traffic_open_requests (node->traffic));
  log_end (&line);
  kernel_post (node->core.kernel, KERNEL_DRAIN_STARTED, NULL);
  node->drain_until
      = ts_add_ms (now, (int64_t)node->core.settings->entry_ttl_s * TS_MS_PER_S
                            + DRAIN_GOSSIP_MS);
  node->drain_timer.fire = drain_check;
  loop_timer_set (node->core.loop, &node->drain_timer, now);
}

static void
free_services (struct node *node)
{
  inbox_free (node->inbox);
  admin_free (node->admin);
  routes_free (node->routes);
  suspects_free (node->suspects);
  replica_sync_service_free (node->replica_sync_service);
  records_free (node->records);
  cells_free (node->cells);
  links_free (node->links);
  config_free (node->config);
  fleet_free (node->fleet);
}

static void
free_clients (struct node *node)
{
  httpc_free (node->httpc);
  if (node->core.platform != NULL)
    platform_http_free (node->core.platform);
  if (node->core.backend != NULL)
    backend_http_free (node->core.backend);
}

static void
free_core (struct core *core)
{
  route_free (core->route);
  ring_free (core->from_traffic);
  loop_free (core->loop);
  if (core->rand != NULL)
    g_rand_free (core->rand);
  g_free (core->node);
  g_free (core->address);
}

void
node_free (struct node *node)
{
  struct log_line line;
  unsigned open
      = node->traffic != NULL ? traffic_open_requests (node->traffic) : 0;

  if (node->core.kernel != NULL)
    kernel_stop (node->core.kernel);
  free_clients (node);
  free_services (node);
  kernel_free (node->core.kernel);
  traffic_free (node->traffic);
  suspect_table_free (node->suspect_table);
  log_begin (&line, EVENT_STOPPED);
  log_int (&line, "open", open);
  log_end (&line);
  free_core (&node->core);
  g_free (node);
}

#include "routes.h"

#include <string.h>
#include <glib.h>
#include "cells.h"
#include "config.h"
#include "core.h"
#include "doc.h"
#include "fleet.h"
#include "links.h"
#include "log.h"
#include "msg.h"
#include "replica_sync_service.h"
#include "table.h"
#include "ts.h"

#define CHANGE_DELAY_MS 5
#define LOAD_DELAY_MS 250
/* Minimum interval between two tables, as a multiple of the time that the last
   one took to build, which limits building to about 1 % of the thread's
   time.  */
#define MIN_INTERVAL_FACTOR 100
#define MEAN_WEIGHT 0.1 /* of a new sample in the moving average */

struct routes
{
  struct service service;
  struct core *core;
  struct fleet *fleet;
  struct cells *cells;
  struct links *links;
  struct replica_sync_service *replica_sync_service;
  struct config *config;
  struct loop_timer timer;
  GHashTable *service_times; /* target name to double: mean, in seconds */
  uint64_t version;
  bool scheduled;             /* the timer is set */
  struct timespec build_time; /* of the last table */
  struct timespec published_at;
};

static struct routes *
routes_from_timer (struct loop_timer *timer)
{
  return (struct routes *)((char *)timer - offsetof (struct routes, timer));
}

static double
mean_service_s (void *user, const char *name)
{
  struct routes *routes = user;
  const double *mean = g_hash_table_lookup (routes->service_times, name);

  return mean != NULL ? *mean : 0;
}

static bool
is_loading (void *user, const char *model, struct timespec *ready_at)
{
  struct routes *routes = user;

  return cells_loading (routes->cells, model, ready_at)
         || replica_sync_service_loading (routes->replica_sync_service, model,
                                          ready_at);
}

static void
build (struct routes *routes, struct route_table *table)
{
  struct doc *doc = config_doc (routes->config);
  struct table_input input = { .doc = doc,
                               .engines = fleet_engines (routes->fleet),
                               .loading = is_loading,
                               .service_s = mean_service_s,
                               .user = routes };

  if (doc == NULL)
    return;
  table->doc = doc_ref (doc);
  table->doc_version = doc->version;
  table->ready = true;
  table_build (&input, table);
}

static void
publish (struct routes *routes)
{
  struct route_table *table = route_table_new ();
  struct timespec started_at = clk_now (routes->core->clk);

  table->version = ++routes->version;
  build (routes, table);
  table->nodes = links_routable_nodes (routes->links, &table->node_count);
  route_publish (routes->core->route, table);
  kernel_post (routes->core->kernel, KERNEL_ROUTES_PUBLISHED, NULL);
  routes->build_time = ts_sub (clk_now (routes->core->clk), started_at);
  routes->published_at = started_at;
}

static void
timer_fire (struct loop_timer *timer)
{
  struct routes *routes = routes_from_timer (timer);

  routes->scheduled = false;
  publish (routes);
}

/* Sets the timer to publish within MS milliseconds, or after the minimum
   interval if that is later.  Does not postpone a timer that is set.  */
static void
publish_within (struct routes *routes, int64_t ms)
{
  struct loop *loop = routes->core->loop;
  struct timespec at = ts_add_ms (loop_now (loop), ms);
  struct timespec min_interval
      = ts_from_ns (ts_to_ns (routes->build_time) * MIN_INTERVAL_FACTOR);

  at = ts_max (at, ts_add (routes->published_at, min_interval));
  if (routes->scheduled && !ts_before (at, routes->timer.at))
    return;
  routes->scheduled = true;
  loop_timer_set (loop, &routes->timer, at);
}

static void
update_service_time (struct routes *routes, const struct msg *msg)
{
  double *mean = g_hash_table_lookup (routes->service_times, msg->target);
  double duration_s = ts_to_s (msg->duration);

  if (mean != NULL)
    {
      *mean += MEAN_WEIGHT * (duration_s - *mean);
      return;
    }
  mean = g_new (double, 1);
  *mean = duration_s;
  g_hash_table_insert (routes->service_times, g_strdup (msg->target), mean);
}

static void
routes_event (struct service *service, const struct kernel_event *event)
{
  struct routes *routes = (struct routes *)service;
  const struct msg *msg = event->data;

  switch (event->type)
    {
    case KERNEL_DOC_APPLIED:
    case KERNEL_FLEET_CHANGED:
    case KERNEL_MEMBERS_CHANGED:
    case KERNEL_CELLS_CHANGED:
    case KERNEL_DRAIN_STARTED:
      publish_within (routes, CHANGE_DELAY_MS);
      break;
    case KERNEL_LOAD_CHANGED:
      publish_within (routes, LOAD_DELAY_MS);
      break;
    case KERNEL_TRAFFIC_MESSAGE:
      if (msg->type == MSG_ATTEMPT_SUCCEEDED && msg->target != NULL)
        update_service_time (routes, msg);
      break;
    default:
      break;
    }
}

static int
routes_start (struct service *service, struct kernel *kernel)
{
  struct routes *routes = (struct routes *)service;

  routes->core = core_find (kernel);
  routes->fleet = fleet_find (kernel);
  routes->cells = cells_find (kernel);
  routes->links = links_find (kernel);
  routes->config = config_find (kernel);
  routes->replica_sync_service = replica_sync_service_find (kernel);
  routes->timer.fire = timer_fire;
  publish_within (routes, CHANGE_DELAY_MS);
  return 0;
}

static void
routes_stop (struct service *service)
{
  struct routes *routes = (struct routes *)service;

  loop_timer_clear (routes->core->loop, &routes->timer);
}

static const struct service_ops routes_ops
    = { routes_start, routes_stop, routes_event };

struct service *
routes_new (void)
{
  struct routes *routes = g_new0 (struct routes, 1);

  routes->service.ops = &routes_ops;
  routes->service.name = ROUTES_NAME;
  routes->service_times
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return &routes->service;
}

void
routes_free (struct service *service)
{
  struct routes *routes = (struct routes *)service;

  if (routes == NULL)
    return;
  g_hash_table_unref (routes->service_times);
  g_free (routes);
}

/* fleet - the instances listed by the platform, with their last reports.

   A service of the control thread, "fleet".  Polls the platform for the
   instance list and the backend servers for reports, and posts
   KERNEL_ENGINE_CHANGED, KERNEL_ENGINE_REMOVED, KERNEL_ENGINE_DOWN,
   KERNEL_ENGINE_REPORT and KERNEL_FLEET_CHANGED.

   An engine whose address refuses connections has no process and therefore
   holds nothing, even if it is listed.  One that merely does not answer may
   still hold and serve its models.

   While the platform is unreachable the last list is kept.  An engine that is
   leaving stays listed until the platform removes it.  */

#ifndef PARSLEYRILL_FLEET_H
#define PARSLEYRILL_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>
#include <glib.h>
#include "backend.h"
#include "frame.h"
#include "kernel.h"
#include "route.h"

#define FLEET_NAME "fleet"
#define FLEET_ENTRY_POOL "entry" /* pool of the nodes of this system */

struct fleet;

/* A model or adapter on an engine, as reported.  */
struct fleet_copy
{
  char *version;
  enum backend_copy_state state;
  unsigned active; /* requests running */
};

struct fleet_engine
{
  char *id;
  char *address; /* IP:port */
  char *zone;
  char *region;
  char *pool;
  bool listed;         /* in the platform's last list */
  bool list_leaving;   /* leaving, according to the list */
  bool report_leaving; /* leaving, according to the engine */
  struct route_engine *route;
  bool reported;
  bool report_pending; /* requested and not answered */
  struct timespec report_requested_at;
  struct timespec reported_at;
  struct timespec relayed_at;      /* when a peer last relayed its state */
  bool busy;                       /* requests, loads or unloads in progress */
  struct timespec fast_poll_until; /* see fleet_request_report */
  unsigned misses;                 /* consecutive failed report requests */
  unsigned refusals;               /* consecutive refused connections */
  bool down;                       /* no process, so it holds no models */
  unsigned inflight_at_report;
  uint64_t epoch;
  uint64_t seq;
  unsigned slots;
  unsigned running;
  unsigned queued;
  unsigned accelerators;
  uint64_t memory_mb;
  uint64_t memory_used_mb;
  GHashTable *models;   /* name to struct fleet_copy */
  GHashTable *adapters; /* name to struct fleet_copy */
};

/* Data of KERNEL_ENGINE_REPORT.  */
struct fleet_report
{
  const struct backend_report *report;
  struct timespec requested_at;
};

/* The service, to be registered; freed with fleet_free after kernel_stop.  */
struct service *fleet_new (void);
void fleet_free (struct service *service);

struct fleet *fleet_find (struct kernel *kernel);

/* All engines and nodes: id to struct fleet_engine.  Borrowed.  */
GHashTable *fleet_engines (struct fleet *fleet);
struct fleet_engine *fleet_engine (struct fleet *fleet, const char *id);

/* Whether it must not get new requests or loads.  */
bool fleet_leaving (const struct fleet_engine *engine);

/* Whether it has reported, is not down and has not missed several reports in a
   row.  */
bool fleet_reachable (const struct fleet_engine *engine);

/* Applies the replicas on all engines of POOL as relayed by the leaseholder of
   their cell.  While relayed state keeps arriving, this node does not poll
   those engines itself.  */
void fleet_apply_relayed (struct fleet *fleet, const char *pool,
                          const struct peer_replica *const *replicas,
                          size_t count);

/* Requests a report now and polls faster for a while, since reports lag
   behind orders.  */
void fleet_request_report (struct fleet *fleet, const char *id);

#endif

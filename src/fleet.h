/* fleet - the instances of the platform's list and what they last reported.

   A service of the control thread, "fleet".  It asks the platform for the
   list and the backend servers for reports, and posts KERNEL_ENGINE_CHANGED,
   KERNEL_ENGINE_REMOVED, KERNEL_ENGINE_DOWN, KERNEL_ENGINE_REPORT and
   KERNEL_FLEET_CHANGED.

   An engine whose address refuses connections has no process and so holds
   nothing, whatever the list says; one that only keeps silent may still hold
   and serve what it had.

   While the platform cannot be reached the last list stays.  An engine that
   is leaving stays listed until the platform drops it.  */

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
  unsigned active;
};

struct fleet_engine
{
  char *id;
  char *address; /* IP:port */
  char *zone;
  char *region;
  char *pool;
  bool listed;         /* in the platform's last list */
  bool list_leaving;   /* as the list has it */
  bool report_leaving; /* as the engine has it */
  struct route_engine *route;
  bool reported;
  bool asking; /* a report is awaited */
  struct timespec asked_at;
  struct timespec reported_at;
  struct timespec passed_at;   /* when a peer last passed on its state */
  bool busy;                   /* something runs or loads there */
  struct timespec hurry_until; /* something was done there lately */
  unsigned misses;             /* reports missed in a row */
  unsigned refusals;           /* connections refused in a row */
  bool down;                   /* no process is there: its memory is lost */
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

/* What KERNEL_ENGINE_REPORT carries.  */
struct fleet_report
{
  const struct backend_report *report;
  struct timespec asked; /* when it was asked for */
};

/* The service, to be registered; freed with fleet_free after kernel_stop.  */
struct service *fleet_new (void);
void fleet_free (struct service *service);

struct fleet *fleet_find (struct kernel *kernel);

/* All engines and nodes: id to struct fleet_engine.  Borrowed.  */
GHashTable *fleet_engines (struct fleet *fleet);
struct fleet_engine *fleet_engine (struct fleet *fleet, const char *id);

/* May get no new work.  */
bool fleet_leaving (const struct fleet_engine *engine);

/* Has reported, and not missed several reports in a row.  */
bool fleet_reachable (const struct fleet_engine *engine);

/* What the decider of POOL's engines passed on: all replicas on them.  While
   that goes on, the engines are not asked from here.  */
void fleet_take_passed (struct fleet *fleet, const char *pool,
                        const struct peer_replica *const *replicas,
                        size_t count);

/* Asks this engine now, and more often for a while: its reports lag.  */
void fleet_ask (struct fleet *fleet, const char *id);

#endif

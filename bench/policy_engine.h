/* policy_engine - simulated engine and the weight store that it loads from.

   Private to the policy bench.  Sizes are in MB, times in seconds.  */

#ifndef PARSLEYRILL_BENCH_POLICY_ENGINE_H
#define PARSLEYRILL_BENCH_POLICY_ENGINE_H

#include <stdbool.h>
#include <glib.h>
#include "place.h"

#define ENGINE_MB 49152u /* total memory of its accelerators */
#define ENGINE_ACCELERATORS 4u
#define ENGINE_SLOTS 8u
#define ENGINE_DISK_MB 49152u
#define KV_RESERVE_MB 4096u /* KV cache of each replica */
#define ADAPTER_MB 256u

#define FETCH_MB_S 3584.0 /* per fetch, up to the full-speed limit */
#define LOAD_MB_S 7168.0  /* from disk, shared by the loads of an engine */
#define LOAD_FIXED_S 1.2  /* before copying starts */
#define ADAPTER_FETCH_S 0.01

struct bench_store
{
  double loads_per_s;
  unsigned full_speed_fetches; /* more of them share the bandwidth */
  double speed_factor;         /* 1: full speed */
  double next_start_s;
  unsigned in_flight;
};

enum bench_stage
{
  BENCH_QUEUED, /* until the store admits the fetch */
  BENCH_FETCHING,
  BENCH_STARTING,
  BENCH_COPYING,
  BENCH_LOADED
};

struct bench_copy
{
  char *key; /* name@version */
  char *name;
  int model; /* index, -1 for an adapter */
  enum bench_stage stage;
  double remaining; /* of the stage; MB or seconds */
  unsigned mb;
  unsigned active;
  bool reported_loaded; /* the last report said loaded */
  char *order_id;
  double last_used_s;
};

struct bench_engine
{
  char *id;
  char *zone;
  unsigned pool;
  bool up;
  uint64_t epoch;
  uint64_t seq;
  double next_report_s; /* due time */
  GPtrArray *copies;    /* struct bench_copy */
  GPtrArray *disk;      /* char *, name@version; least recently used first */
  GPtrArray *settled;   /* char *, ids of the last orders completed */
};

void bench_engine_init (struct bench_engine *engine, unsigned pool,
                        unsigned number, const char *zone);
void bench_engine_clear (struct bench_engine *engine);

struct bench_copy *bench_engine_find (const struct bench_engine *engine,
                                      const char *name);
/* KEY is name@version.  */
bool bench_engine_on_disk (const struct bench_engine *engine, const char *key);
void bench_engine_add_checkpoint (struct bench_engine *engine,
                                  const char *key);

/* Executes ORDER for model index MODEL, or -1 for an adapter.  Returns false
   if the engine is down or the copy to unload is missing or in use.  */
bool bench_engine_execute (struct bench_engine *engine,
                           const struct backend_order *order, int model);

/* Advances all loads by DT seconds.  Returns true while any is in progress. */
bool bench_engine_advance (struct bench_engine *engine,
                           struct bench_store *store, double now_s, double dt);

/* Marks ENGINE as down; its copies and checkpoints are lost.  */
void bench_engine_crash (struct bench_engine *engine,
                         struct bench_store *store);

unsigned bench_engine_running (const struct bench_engine *engine);
void bench_engine_report (struct bench_engine *engine, struct place *place,
                          struct timespec now, struct action_list *out);

#endif

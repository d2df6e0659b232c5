/* policy_engine - an arithmetic engine and the weight store it loads from.

   Private to the policy bench.  Bytes are MB, times seconds.  */

#ifndef PARSLEYRILL_BENCH_POLICY_ENGINE_H
#define PARSLEYRILL_BENCH_POLICY_ENGINE_H

#include <stdbool.h>
#include <glib.h>
#include "place.h"

#define ENGINE_MB 49152u /* of its accelerators together */
#define ENGINE_ACCELERATORS 4u
#define ENGINE_SLOTS 8u
#define ENGINE_DISK_MB 49152u
#define RESERVE_MB 4096u /* beside each replica */
#define ADAPTER_MB 256u

#define FETCH_MB_S 3584.0 /* one of few */
#define LOAD_MB_S 7168.0  /* disk to accelerator, shared by an engine's */
#define LOAD_START_S 1.2
#define ADAPTER_FETCH_S 0.01

struct bench_store
{
  double loads_per_s;
  unsigned at_once;
  double speed; /* 1: full */
  double next_start_s;
  unsigned in_flight;
};

enum bench_stage
{
  BENCH_QUEUED, /* for the store */
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
  double left; /* MB or seconds of the stage */
  unsigned mb;
  unsigned active;
  bool known; /* reported as loaded */
  char *order_id;
  double used_s;
};

struct bench_engine
{
  char *id;
  char *zone;
  unsigned pool;
  bool up;
  uint64_t epoch;
  uint64_t seq;
  double report_s;   /* when the next is due */
  GPtrArray *copies; /* struct bench_copy */
  GPtrArray *disk;   /* names@version, last used at the end */
  GPtrArray *settled;
};

void bench_engine_init (struct bench_engine *engine, unsigned pool,
                        unsigned number, const char *zone);
void bench_engine_clear (struct bench_engine *engine);

struct bench_copy *bench_engine_find (const struct bench_engine *engine,
                                      const char *name);
bool bench_engine_on_disk (const struct bench_engine *engine, const char *key);
void bench_engine_store (struct bench_engine *engine, const char *key);

/* True when it is carried out.  */
bool bench_engine_order (struct bench_engine *engine,
                         const struct backend_order *order, int model);

/* DT seconds pass.  True while something is under way.  */
bool bench_engine_pass (struct bench_engine *engine, struct bench_store *store,
                        double now_s, double dt);

/* Everything on it is lost.  */
void bench_engine_lose (struct bench_engine *engine,
                        struct bench_store *store);

unsigned bench_engine_running (const struct bench_engine *engine);
void bench_engine_report (struct bench_engine *engine, struct place *place,
                          struct timespec now, struct action_list *out);

#endif

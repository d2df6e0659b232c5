/* role - the three roles of a stand-in process.

   The strings of the options must outlive the role.  The role_*_new functions
   return a role to be passed to standin_start, and to g_free after
   standin_stop.

   Faults of the platform, in addition to those of standin.h:
     "instances_lag_ms": N      the instance list is as it was N ms ago
     "weights_slow": N          fetches started from now on take N times as
                                long
   and of an engine:
     "leaving": true            reports it is shutting down and rejects new
                                requests and loads
     "crash_marker": TEXT       the process exits with 70 on a request whose
                                body contains TEXT
     "cut_after": N             streams are aborted after N tokens, except
                                resumed ones
     "freeze": true             no more tokens are produced; connections stay
                                open
     "token_ms": N, "load_ms": N   override the options
     "refuse_loads": true       load orders are refused
     "cache_event_gap": N       every Nth cache event is missing from reports
   and of a service:
     "leaving": true, "crash_marker": TEXT, "delay_ms": N  */

#ifndef STANDIN_ROLE_H
#define STANDIN_ROLE_H

#include <stdbool.h>
#include <stdint.h>
#include "standin.h"

struct role_platform_options
{
  double writes_per_s; /* to tables and objects; 0: no limit */
  double reads_per_s;  /* 0: no limit */
  double loads_per_s;  /* started by the weight store; 0: no limit */
  double load_knee;    /* maximum number of loads at full speed */
  double load_ms;      /* duration of a load at full speed */
  double adapter_knee;
  double adapter_ms;
  int64_t instances_lag_ms;
};

struct role_engine_options
{
  const char *platform; /* IP:port; NULL: loading a remote checkpoint takes as
                           long as loading one from disk */
  const char *id;
  const char *zone;
  const char *pool;
  const char *on_disk; /* "model@version,..." or "*" for all */
  int64_t memory_mb;
  int64_t accelerators;
  int64_t slots;
  int64_t queue;     /* maximum number of requests waiting for a slot */
  double token_ms;   /* between tokens of one answer */
  double prefill_ms; /* before the first token, when the prompt's prefix is
                        not cached */
  double load_ms;    /* from disk */
  double memory_ms;  /* from the host's memory */
  int64_t report_lag_ms;
  bool ignore_fence;
  int64_t batch; /* tokens per write */
};

struct role_service_options
{
  const char *id;
  double delay_ms;
};

struct standin *
role_platform_new (const struct role_platform_options *options);
struct standin *role_engine_new (const struct role_engine_options *options);
struct standin *role_service_new (const struct role_service_options *options);

extern const struct standin_ops role_platform_ops;
extern const struct standin_ops role_engine_ops;
extern const struct standin_ops role_service_ops;

#endif

/* load - closed-loop load generator for completion requests.

   Each thread keeps its share of STREAMS requests in flight: when an answer
   ends, the next request starts.  */

#ifndef BENCH_LOAD_H
#define BENCH_LOAD_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

struct load_options
{
  const char *address; /* IP:port */
  const char *model;
  unsigned threads;
  unsigned streams;  /* concurrent requests */
  unsigned requests; /* total of load_run, if STOP is NULL */
  unsigned tokens;   /* per answer */
  bool stream;
  unsigned ramp_up_ms; /* the first requests are spread over this time */
  unsigned *stop;      /* atomic; nonzero ends the run; NULL: use REQUESTS */
};

struct load_result
{
  GArray *ttfb_ms;    /* double, sorted: time to the first body byte */
  uint64_t succeeded; /* complete answers with status 200 */
  uint64_t failed;
  uint64_t events; /* server-sent events, the closing one included */
  uint64_t bytes;
  double seconds;
};

void load_run (const struct load_options *options, struct load_result *result);
void load_result_clear (struct load_result *result);

/* The Q-quantile of TTFB_MS; NAN if there are no samples.  */
double load_quantile (const struct load_result *result, double q);

/* Sends COUNT requests each to A and B, alternating, one at a time.  */
void load_run_alternating (const struct load_options *a,
                           const struct load_options *b, unsigned count,
                           struct load_result *result_a,
                           struct load_result *result_b);

/* Opens OPTIONS->streams streams, calls OPENED once each has received its
   first body bytes, then closes them.  The engine is expected to send its
   second token much later, so that the streams are idle.  */
void load_hold_streams (const struct load_options *options,
                        void (*opened) (void *user), void *user);

#endif

/* worker - one traffic thread.

   Made and freed by traffic.c; between worker_run and worker_stop all calls
   but worker_post, worker_stop and worker_open_requests come from the
   worker's own thread.  */

#ifndef PARSLEYRILL_WORKER_H
#define PARSLEYRILL_WORKER_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include "httpc.h"
#include "httpd.h"
#include "loop.h"
#include "msg.h"
#include "ring.h"
#include "traffic.h"

struct worker
{
  const struct traffic_options *options;
  const unsigned *draining; /* atomic, 1 after a planned stop began */
  unsigned index;
  struct loop *loop;
  struct httpd *httpd;
  struct httpc *httpc;
  struct ring *inbox;
  GQueue *unsent; /* struct msg that the full ring did not take */
  struct loop_watch inbox_watch;
  struct loop_prepare prepare;
  struct loop_timer tick;
  struct route_reader *reader;
  struct admit *admit;
  struct demand_report *want;
  struct pick *pick;
  struct eject *eject;
  struct retry *retry;
  GRand *rand;
  struct reach *reach;
  GHashTable *calls; /* id to struct call that awaits its verdict */
  GHashTable *admin; /* id to struct httpd_request that control answers */
  char *id_prefix;   /* of attempt ids: unlike any other worker's, ever */
  uint64_t next_id;
  unsigned open; /* atomic: calls not over */
};

/* 0 and *OUT, or negative errno.  */
int worker_new (const struct traffic_options *options, unsigned index,
                const unsigned *draining, struct worker **out);
void worker_free (struct worker *worker);

/* Runs until worker_stop.  */
void worker_run (struct worker *worker);
void worker_stop (struct worker *worker);

/* MESSAGE passes to the worker, also on failure.  -EAGAIN when full.  */
int worker_post (struct worker *worker, struct msg *message);

unsigned worker_open_requests (const struct worker *worker);

/* To the control thread.  MESSAGE passes only on 0.  */
int worker_tell (struct worker *worker, struct msg *message);

/* The same, but MESSAGE passes, and is sent again as long as it takes.  */
void worker_tell_surely (struct worker *worker, struct msg *message);

/* Gives the requests that wait another chance at the next turn.  */
void worker_pump_soon (struct worker *worker);

#endif

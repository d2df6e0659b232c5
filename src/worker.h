/* worker - one traffic thread.

   Created and freed by traffic.c.  Between worker_run and worker_stop, all
   functions except worker_post, worker_stop and worker_open_requests must
   be called from the worker's own thread.  */

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

enum worker_draining
{
  WORKER_SERVING,
  WORKER_DRAINING, /* a planned stop has begun */
  WORKER_CLOSED    /* and requests are rejected */
};

struct worker
{
  const struct traffic_options *options;
  const unsigned *draining; /* atomic, enum worker_draining */
  unsigned index;
  struct loop *loop;
  struct membudget *budget; /* of clients and calls to servers */
  struct httpd *httpd;
  struct httpc *httpc;
  struct ring *inbox;
  GQueue *outbox; /* struct msg to the control thread that its ring had no
                     room for */
  struct loop_watch inbox_watch;
  struct loop_prepare prepare;
  struct loop_timer tick; /* next dispatch round */
  struct route_reader *reader;
  struct admit *admit;
  struct demand_report *demand_report;
  struct pick *pick;
  struct eject *eject;
  struct retry *retry;
  GRand *rand;
  struct reach *reach;
  GHashTable *calls; /* id -> struct call that awaits its verdict */
  GHashTable *admin; /* id -> struct httpd_request, until answered */
  char *id_prefix;   /* of attempt ids; unique across restarts */
  uint64_t next_id;
  unsigned open; /* atomic; calls in progress */
};

/* Returns 0 and sets *OUT, or a negative errno.  */
int worker_new (const struct traffic_options *options, unsigned index,
                const unsigned *draining, struct worker **out);
void worker_free (struct worker *worker);

/* Runs the event loop until worker_stop.  */
void worker_run (struct worker *worker);
void worker_stop (struct worker *worker);

/* Takes ownership of MESSAGE, also on failure.  -EAGAIN when the inbox is
   full.  */
int worker_post (struct worker *worker, struct msg *message);

unsigned worker_open_requests (const struct worker *worker);

/* Sends MESSAGE to the control thread.  Takes ownership of it only on
   success.  */
int worker_notify (struct worker *worker, struct msg *message);

/* Like worker_notify, but always takes ownership and retries until MESSAGE
   is sent.  */
void worker_notify_reliably (struct worker *worker, struct msg *message);

/* Schedules a dispatch round for waiting requests in the next iteration of
   the event loop.  */
void worker_dispatch_soon (struct worker *worker);

#endif

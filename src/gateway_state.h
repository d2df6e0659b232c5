/* gateway_state - state shared by the modules gateway, forward and
   forward_*.  Private to them.  */

#ifndef PARSLEYRILL_GATEWAY_STATE_H
#define PARSLEYRILL_GATEWAY_STATE_H

#include <sys/queue.h>
#include <glib.h>
#include "caller.h"
#include "core.h"
#include "eject.h"
#include "gateway.h"
#include "httpc.h"
#include "kernel.h"
#include "links.h"
#include "listing.h"
#include "loop.h"
#include "origins.h"
#include "pick.h"
#include "quarantines.h"
#include "reach.h"
#include "retry.h"
#include "servers.h"
#include "planners.h"
#include "ratelimits.h"

struct forward;

TAILQ_HEAD (forward_list, forward);

struct gateway
{
  struct service service; /* must be first */
  struct core *core;
  struct gateway_options options;
  struct listing *listing;
  struct ratelimits *ratelimits;
  struct planners *planners;
  struct links *links;
  struct origins *origins;
  struct quarantines *quarantines;
  struct httpc *httpc;
  struct httpd *front;
  struct httpd *directory;
  struct httpd *ready;
  struct httpd *metrics;
  struct pick *pick;
  struct eject *eject;
  struct reach *reach;
  struct retry *retry;
  struct forward_list waiting; /* most urgent first */
  GHashTable
      *waiting_for; /* "SERVICE TARGET\nSOFTWARE" -> number of requests */
  struct loop_timer dispatch_timer;
  struct loop_timer cleanup_timer;
  struct loop_timer retry_timer;
  bool retry_begins_empty;
  unsigned open;                    /* requests in progress */
  struct timespec drain_started_at; /* start of the planned stop */
};

/* During a planned stop: whether a new request can still be accepted, and
   whether a waiting one can still be dispatched and answered in time.
   Both are true when there is no planned stop.  */
bool gateway_accepts (const struct gateway *gateway);
bool gateway_may_dispatch (const struct gateway *gateway);

/* Schedules a dispatch round for waiting requests: in the next iteration
   of the event loop, or after the usual interval.  */
void gateway_dispatch_soon (struct gateway *gateway);
void gateway_dispatch_later (struct gateway *gateway);

#endif

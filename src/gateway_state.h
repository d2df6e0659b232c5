/* gateway_state - what gateway and the modules of a request share.  */

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
#include "pick.h"
#include "reach.h"
#include "retry.h"
#include "servers.h"
#include "planners.h"

struct forward;

TAILQ_HEAD (forward_list, forward);

struct gateway
{
  struct service service; /* first */
  struct core *core;
  struct gateway_options options;
  struct listing *listing;
  struct planners *planners;
  struct links *links;
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
  GHashTable *waiting_for;     /* "SERVICE TARGET" to count */
  struct loop_timer pump;
  struct loop_timer clean;
  unsigned open;              /* requests not over */
  struct timespec drain_from; /* begin of the planned stop */
};

/* In a planned stop: whether a request that comes now can still be taken, and
   whether one that waits can still be sent and answered before the end.  Both
   true while there is no planned stop.  */
bool gateway_takes (const struct gateway *gateway);
bool gateway_sends (const struct gateway *gateway);

/* Lets waiting requests try again at the next turn of the loop, or after the
   usual pause.  */
void gateway_pump_soon (struct gateway *gateway);
void gateway_pump_later (struct gateway *gateway);

#endif

/* gate - a node that routes traffic with its core and all services on one
   thread.  The caller supplies the platform, the engines, the event loop and
   the clock.

   All functions must be called from one thread.  */

#ifndef PARSLEYRILL_GATE_H
#define PARSLEYRILL_GATE_H

#include "backend.h"
#include "catalog.h"
#include "clk.h"
#include "gateway.h"
#include "loop.h"
#include "platform.h"
#include "settings.h"
#include "planners.h"
#include "quota.h"

struct gate;

/* The members are borrowed until gate_free; the struct is copied.  */
struct gate_options
{
  const struct clk *clk;
  struct loop *loop;
  const struct settings *settings;
  struct platform *platform;
  struct backend *backend;
  const struct catalog *catalog;
  struct gateway_options gateway;
  struct planners_options planners;
  struct quota_bounds quota;
  /* Of a graceful shutdown: open requests are then ended; their responses may
     take 0.2 s more.  */
  int64_t drain_ms;
  /* Cancels the calls in flight to the platform and to engines, including
     calls started meanwhile, and runs their callbacks.  Called once, before
     the services stop.  */
  void (*close) (void *user);
  void *user;
};

/* Binds the ports and starts all services.  0 and *OUT, or a negative
   errno.  */
int gate_new (const struct gate_options *options, struct gate **out);

/* Runs until a graceful shutdown has finished or gate_stop is called.  */
void gate_run (struct gate *gate);

/* Starts a graceful shutdown: lookups no longer return this node; requests are
   served until callers have had time to repeat their lookup and the last
   request has finished, or DRAIN_MS have passed.  A second call does
   nothing.  */
void gate_drain (struct gate *gate);
void gate_stop (struct gate *gate);

/* The port that callers connect to, in host byte order.  */
uint16_t gate_port (const struct gate *gate);

/* The service NAME, see kernel.h; NULL if there is none.  */
struct service *gate_service (const struct gate *gate, const char *name);

/* Adds addresses of peers to connect to: IP:port separated by commas.  */
void gate_add_seeds (struct gate *gate, const char *seeds);

void gate_free (struct gate *gate);

#endif

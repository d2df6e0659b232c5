/* gate - a node that routes traffic on a platform met through vtables: core
   and services on one thread.

   All calls come from one thread.  */

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

struct gate;

/* Borrowed until gate_free, but for the struct itself.  */
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
  int64_t drain_ms; /* a planned stop takes no longer, whatever is open */
  /* Ends the calls under way at the platform and at engines, each with its
     callback; called once, before the services stop.  What a callback begins
     is ended too.  */
  void (*close) (void *user);
  void *user;
};

/* Binds the ports and starts all services.  0 and *OUT, or negative errno. */
int gate_new (const struct gate_options *options, struct gate **out);

/* Runs until the planned stop is over or gate_stop is called.  */
void gate_run (struct gate *gate);

/* Begins the planned stop: this node is named to callers no more; requests
   are served until callers have had time to look again and the last one has
   ended, or DRAIN_MS have passed.  A second call does nothing.  */
void gate_drain (struct gate *gate);
void gate_stop (struct gate *gate);

/* The port that callers' requests come to, host order.  */
uint16_t gate_port (const struct gate *gate);

/* More addresses of peers to try, IP:port separated by commas.  */
void gate_add_seeds (struct gate *gate, const char *seeds);

void gate_free (struct gate *gate);

#endif

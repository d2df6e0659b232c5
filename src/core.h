/* core - state shared by all services of the control thread.

   Registered as service "core", first.  All members are set before
   kernel_start and stay until kernel_stop.  */

#ifndef PARSLEYRILL_CORE_H
#define PARSLEYRILL_CORE_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include "backend.h"
#include "clk.h"
#include "kernel.h"
#include "loop.h"
#include "platform.h"
#include "ring.h"
#include "route.h"
#include "settings.h"

#define CORE_NAME "core"

struct core
{
  struct service service;
  const struct settings *settings;
  const struct clk *clk;
  struct loop *loop;
  struct kernel *kernel;
  struct platform *platform;
  struct backend *backend;
  struct route *route;
  struct ring *from_traffic;
  GRand *rand;
  char *node;           /* instance id of this node */
  char *address;        /* IP:port for callers */
  uint64_t incarnation; /* increases with each start: wall clock in ns */
  bool draining;
  void (*drain) (struct core *core); /* starts a graceful shutdown */
  uint64_t last_serial;              /* last one used by core_unique_id */
};

/* Registers CORE with its kernel, before any other service.  */
void core_register (struct core *core);

/* The core registered with KERNEL; never NULL after registration.  */
struct core *core_find (struct kernel *kernel);

/* Returns an id for a write attempt, unique among all calls in all processes;
   free with g_free.  */
char *core_unique_id (struct core *core);

#endif

/* core - what all services of the control thread share.

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
  char *address;        /* IP:port told to callers */
  uint64_t incarnation; /* grows with each start: wall clock at start, ns */
  bool draining;
  void (*drain) (struct core *core); /* begins the planned stop */
  uint64_t serial;                   /* of tokens given out */
};

/* Registers CORE with its kernel, before any other service.  */
void core_register (struct core *core);

/* The core registered with KERNEL; never NULL after registration.  */
struct core *core_find (struct kernel *kernel);

/* An id that no other call of any process gives: for attempts at writes.
   The caller frees it with g_free.  */
char *core_unique_id (struct core *core);

#endif

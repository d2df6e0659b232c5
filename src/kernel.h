/* kernel - registry of the services of a thread, and event dispatch.

   Services are registered before kernel_start, started in the order of
   registration and stopped in reverse order.  All calls must come from one
   thread, except kernel_find, which any thread may call after kernel_start.

   Ownership: the kernel borrows the services, which must outlive it.  */

#ifndef PARSLEYRILL_KERNEL_H
#define PARSLEYRILL_KERNEL_H

#include <ck_queue.h>

struct kernel;
struct service;

/* The events, each with its DATA, which is valid only during the call.  */
enum kernel_event_type
{
  KERNEL_DOC_APPLIED,    /* a configuration version was applied: struct doc */
  KERNEL_FLEET_CHANGED,  /* the instances or their reports changed: NULL */
  KERNEL_ENGINE_CHANGED, /* engine listed or changed: struct fleet_engine */
  KERNEL_ENGINE_REMOVED, /* engine no longer listed: struct fleet_engine */
  KERNEL_ENGINE_DOWN,    /* engine process is down: struct fleet_engine */
  KERNEL_ENGINE_REPORT, /* an engine reported its state: struct fleet_report */
  KERNEL_INSTANCES,     /* instance list received: struct platform_instances */
  KERNEL_LOAD_CHANGED,  /* only the load of engines changed: NULL */
  KERNEL_ROUTES_PUBLISHED, /* a new routing table was published: NULL */
  KERNEL_PEER_CONNECTED,   /* a link to a peer is up: its id */
  KERNEL_MEMBERS_CHANGED,  /* the members of this system changed: NULL */
  KERNEL_CELLS_CHANGED,    /* placement or lease of a cell changed: NULL */
  KERNEL_TRAFFIC_MESSAGE,  /* from a traffic thread: struct msg */
  KERNEL_PEER_MESSAGE,     /* from a peer: struct links_msg */
  KERNEL_SITE_CHANGED,     /* traffic configuration changed: struct site */
  KERNEL_SERVERS_CHANGED,  /* the set of usable servers changed: NULL */
  KERNEL_SERVER_LISTED,    /* server listed or changed: struct server_entry */
  KERNEL_SERVER_REMOVED,   /* a server was removed: its id */
  KERNEL_SERVER_HEARD,     /* by another node: its id */
  KERNEL_SERVICE_CUT_OFF,  /* this node no longer reaches the servers of a
                              service, or again: struct cutoff_change */
  KERNEL_LIMIT_CHANGED,  /* requests that wait for a server's limit may go on:
                            NULL */
  KERNEL_QUOTA_CHANGED,  /* requests that wait for a customer's quota may go
                            on: NULL */
  KERNEL_STORE_RESTORED, /* the table was restored, see platform.h: NULL */
  KERNEL_DRAIN_STARTED   /* a graceful shutdown started: NULL */
};

struct kernel_event
{
  enum kernel_event_type type;
  const void *data;
};

struct service_ops
{
  int (*start) (struct service *service, struct kernel *kernel);
  void (*stop) (struct service *service);
  void (*event) (struct service *service,
                 const struct kernel_event *event); /* may be NULL */
};

struct service
{
  const struct service_ops *ops;
  const char *name;
  CK_STAILQ_ENTRY (service) link;
};

struct kernel *kernel_new (void);

/* -EEXIST if the name is in use.  */
int kernel_register (struct kernel *kernel, struct service *service);

/* NULL if there is no service NAME.  */
struct service *kernel_find (struct kernel *kernel, const char *name);

/* Starts all services.  If one fails, stops those already started and returns
   its negative errno.  */
int kernel_start (struct kernel *kernel);
void kernel_stop (struct kernel *kernel);

/* Delivers an event to every started service, in the order of start.  */
void kernel_post (struct kernel *kernel, enum kernel_event_type type,
                  const void *data);
void kernel_free (struct kernel *kernel);

#endif

/* kernel - services that find each other by name.

   Services are registered before kernel_start, started in the order of
   registration and stopped in reverse.  All calls come from one thread, but
   kernel_find, which may be called from any thread after kernel_start.

   Ownership: the kernel borrows services; they outlive it.  */

#ifndef PARSLEYRILL_KERNEL_H
#define PARSLEYRILL_KERNEL_H

#include <ck_queue.h>

struct kernel;
struct service;

/* What services tell each other; DATA is borrowed for the length of the
   call.  */
enum kernel_event_type
{
  KERNEL_DOC_APPLIED,    /* a configuration version is in force: struct doc */
  KERNEL_FLEET_CHANGED,  /* the instances or what they report changed: NULL */
  KERNEL_ENGINE_CHANGED, /* an engine was listed or changed: struct
                            fleet_engine */
  KERNEL_ENGINE_REMOVED, /* an engine left the list: struct fleet_engine */
  KERNEL_ENGINE_DOWN,   /* no process is at its address: struct fleet_engine */
  KERNEL_ENGINE_REPORT, /* an engine reported: struct fleet_report */
  KERNEL_INSTANCES, /* the platform's list came: struct platform_instances */
  KERNEL_LOAD_CHANGED,     /* only how busy engines are changed: NULL */
  KERNEL_ROUTES_PUBLISHED, /* a new route table is published: NULL */
  KERNEL_PEER_CONNECTED,   /* a link to a peer is up: its id */
  KERNEL_MEMBERS_CHANGED,  /* live nodes of this system changed: NULL */
  KERNEL_CELLS_CHANGED,    /* placement or lease of a cell changed: NULL */
  KERNEL_TRAFFIC_MESSAGE,  /* from a traffic thread: struct msg */
  KERNEL_PEER_MESSAGE,     /* from a peer: struct links_msg */
  KERNEL_SITE_CHANGED,     /* routed traffic is configured anew: struct site */
  KERNEL_SERVERS_CHANGED,  /* other servers can be used than before: NULL */
  KERNEL_SERVER_LISTED,    /* a server was listed: struct server_entry */
  KERNEL_SERVER_REMOVED,   /* a server is listed no more: its id */
  KERNEL_DRAIN_STARTED     /* planned stop began: NULL */
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

/* -EEXIST when the name is taken.  */
int kernel_register (struct kernel *kernel, struct service *service);

/* NULL when there is no service NAME.  */
struct service *kernel_find (struct kernel *kernel, const char *name);

/* Starts all services.  When one fails, those already started are stopped and
   the negative error number is returned.  */
int kernel_start (struct kernel *kernel);
void kernel_stop (struct kernel *kernel);

/* Hands an event to every started service, in order of start.  */
void kernel_post (struct kernel *kernel, enum kernel_event_type type,
                  const void *data);
void kernel_free (struct kernel *kernel);

#endif

/* route - routing tables, shared with the traffic threads.

   The control thread builds a struct route_table and publishes it.  From then
   on it is immutable, except for the counters in struct route_engine, which
   all threads update atomically.  Successive tables share their engines.

   Readers call route_read between route_reader_begin and route_reader_end; the
   table is valid until route_reader_end.  route_engine_ref keeps an engine
   valid for longer.  */

#ifndef PARSLEYRILL_ROUTE_H
#define PARSLEYRILL_ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

/* A backend server: an engine or an instance of a plain service.  */
struct route_engine
{
  char *id;
  char *address; /* IP:port */
  char *zone;
  char *pool;
  char *software;    /* version of its software; NULL: unknown */
  int64_t born;      /* start, Unix milliseconds; 0: unknown */
  unsigned refs;     /* atomic */
  unsigned inflight; /* atomic: requests of this node in flight there */
  unsigned gone;     /* atomic: 1 once it is no longer in the instance list */
};

struct route_replica
{
  struct route_engine *engine;
  /* Of the model there, owned by the table; NULL: unknown.  */
  char *version;
  unsigned slots;   /* concurrent requests */
  unsigned running; /* as last reported, for all nodes */
  unsigned queued;
  unsigned inflight_at_report; /* engine->inflight at the time of the report */
  struct timespec reported_at;
  /* Of the server's machine, see pace_lasting, pace_of_events, pace_moment.
     PACE 0: it tells none.  */
  double pace;
  double pace_events;
  double pace_moment;
  double pace_told; /* the drift, not corrected by what was observed */
  bool leaving;        /* gets no new requests */
  bool adapter_loaded; /* for targets that are adapters */
};

enum route_state
{
  ROUTE_COLD,    /* no replica, and none is loading */
  ROUTE_LOADING, /* ready_at is the estimate */
  ROUTE_READY
};

/* What callers can request as "model": a model or an adapter.  */
struct route_target
{
  char *name;
  char *model;   /* base model; the same as name for a model */
  char *adapter; /* NULL for a model */
  char *version;
  char *team;
  unsigned priority;
  unsigned max_waiting;
  bool non_idempotent;
  enum route_state state;
  struct timespec ready_at; /* monotonic, of this process */
  double service_s;         /* mean service time of a request; 0: unknown */
  struct route_replica *replicas;
  size_t replica_count;
};

struct route_service
{
  char *name;
  char *team;
  unsigned priority;
  const struct doc_service *doc; /* its rules; valid as long as the table */
  struct route_replica *replicas;
  size_t replica_count;
};

/* A node of this system that callers may be directed to.  */
struct route_node
{
  char *id;
  char *address; /* IP:port for callers */
  char *zone;
  char *region;
};

struct route_table
{
  uint64_t version;
  uint64_t doc_version;
  struct doc *doc;              /* owns a reference */
  struct route_target *targets; /* sorted by name */
  size_t target_count;
  struct route_service *services; /* sorted by name */
  size_t service_count;
  struct route_node *nodes; /* routable nodes, sorted by id */
  size_t node_count;
  bool ready; /* there is a configuration, so requests can be routed */
};

struct route;
struct route_reader;

struct route *route_new (void);
void route_free (struct route *route);

/* Control thread.  Takes ownership of TABLE and of the references that its
   replicas hold on engines.  */
void route_publish (struct route *route, struct route_table *table);

/* Control thread.  Frees tables that no reader can see any more.  */
void route_reclaim (struct route *route);

/* One per traffic thread, created and used by that thread.  */
struct route_reader *route_reader_new (struct route *route);
void route_reader_free (struct route_reader *reader);
void route_reader_begin (struct route_reader *reader);
const struct route_table *route_read (struct route_reader *reader);
void route_reader_end (struct route_reader *reader);

struct route_table *route_table_new (void);
void route_table_free (struct route_table *table);
const struct route_target *route_target (const struct route_table *table,
                                         const char *name);
const struct route_service *route_service (const struct route_table *table,
                                           const char *name);

void route_nodes_free (struct route_node *nodes, size_t count);

/* A new engine with one reference; copies the strings.  */
struct route_engine *route_engine_new (const char *id, const char *address,
                                       const char *zone, const char *pool);
struct route_engine *route_engine_ref (struct route_engine *engine);
void route_engine_unref (struct route_engine *engine);

#endif

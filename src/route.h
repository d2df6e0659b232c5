/* route - what a traffic thread needs to know to send a request somewhere.

   The control thread builds a struct route_table, publishes it, and never
   changes it again, but for the counters of struct route_engine, which all
   threads change atomically.  Engines are shared between successive tables.

   Readers call route_read between route_reader_begin and route_reader_end;
   what they got is valid until route_reader_end.  An engine that is used
   longer is held with route_engine_ref.  */

#ifndef PARSLEYRILL_ROUTE_H
#define PARSLEYRILL_ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

/* One backend server: an engine or an instance of a plain service.  */
struct route_engine
{
  char *id;
  char *address; /* IP:port */
  char *zone;
  char *pool;
  unsigned refs;     /* atomic */
  unsigned inflight; /* atomic: requests of this node under way there */
  unsigned gone;     /* atomic: 1 when it left the list for good */
};

struct route_replica
{
  struct route_engine *engine;
  unsigned slots;   /* requests run at once */
  unsigned running; /* as last reported, all nodes' */
  unsigned queued;
  unsigned inflight_at_report; /* engine->inflight when the report was made */
  struct timespec reported_at;
  bool leaving;        /* gets no new work */
  bool adapter_loaded; /* for targets that are adapters */
};

enum route_state
{
  ROUTE_COLD,    /* no replica, none on its way */
  ROUTE_LOADING, /* ready_at is the estimate */
  ROUTE_READY
};

/* What a caller can name as "model": a model or an adapter.  */
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
  double service_s;         /* mean seconds of a request, 0: not known */
  struct route_replica *replicas;
  size_t replica_count;
};

struct route_service
{
  char *name;
  char *team;
  unsigned priority;
  const struct doc_service *doc; /* rules; lives as long as the table */
  struct route_replica *replicas;
  size_t replica_count;
};

/* A node of this system that callers may be sent to.  */
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
  struct doc *doc;              /* held */
  struct route_target *targets; /* sorted by name */
  size_t target_count;
  struct route_service *services; /* sorted by name */
  size_t service_count;
  struct route_node *nodes; /* live, not leaving, sorted by id */
  size_t node_count;
  bool ready; /* configuration known: requests can be judged */
};

struct route;
struct route_reader;

struct route *route_new (void);
void route_free (struct route *route);

/* Control thread.  TABLE passes to the module, and so do the references on
   engines that its replicas hold.  */
void route_publish (struct route *route, struct route_table *table);

/* Control thread: frees tables that no reader can see any more.  */
void route_reclaim (struct route *route);

/* One per traffic thread, made and used by it.  */
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

/* A new engine with one reference; strings are copied.  */
struct route_engine *route_engine_new (const char *id, const char *address,
                                       const char *zone, const char *pool);
struct route_engine *route_engine_ref (struct route_engine *engine);
void route_engine_unref (struct route_engine *engine);

#endif

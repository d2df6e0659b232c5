/* site - the routing configuration: routes, the services behind them, the
   models of their engines, and the size limit of request bodies.

   A struct site is filled by the platform adapter, completed with site_index
   and immutable afterwards.  It is reference counted; one thread.

   Units are in the names: _mb is 2^20 bytes, _ms milliseconds, _s seconds.
   Ownership: all strings and arrays belong to the struct (g_malloc).  */

#ifndef PARSLEYRILL_SITE_H
#define PARSLEYRILL_SITE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

enum site_kind
{
  SITE_IDEMPOTENT,     /* may run more than once */
  SITE_NON_IDEMPOTENT, /* runs at most once */
  SITE_STREAM          /* server-sent events; idempotent only when resumable */
};

struct site_model
{
  char *name;
  uint64_t memory_mb;
  uint64_t adapter_mb; /* of each adapter */
  unsigned adapters;   /* named a1, a2, ... */
  double load_s;       /* from the weight store */
  double disk_s;       /* from the engine's disk */
  double memory_s;     /* from the engine's host memory */
};

struct site_service
{
  char *name;
  bool engines;           /* of model engines, not a plain service */
  unsigned slots;         /* requests that an engine runs at once */
  unsigned adapter_slots; /* adapters that an engine holds at once */
  uint64_t memory_mb;     /* of an engine, for weights and adapters */
  double loads_per_s;     /* limit of the weight store, over all engines */
  struct site_model *models;
  size_t model_count;
};

/* Sends requests under its keys, within its quota.  */
struct site_customer
{
  char *name;
  char **keys;       /* NULL-terminated, never NULL */
  bool has_priority; /* PRIORITY replaces that of the route */
  unsigned priority; /* 0 is the highest */
  /* Quota over all nodes, in tokens or requests; PER_S 0: no limit.  */
  bool by_tokens;
  uint64_t plain_tokens; /* of a request that names no tokens */
  double per_s;
  double burst;
};

struct site_split
{
  char *service;
  unsigned weight;
};

struct site_route
{
  char *name;
  char *host;
  char *prefix; /* begins and ends with a slash */
  enum site_kind kind;
  bool resumable;    /* a stream may be resumed at another engine */
  bool sticky;       /* requests of a session share a prompt prefix */
  bool is_public;    /* requests need no key */
  unsigned priority; /* 0 is the highest */
  unsigned max_attempts;
  int64_t timeout_ms;
  /* Target latency of the response, or of the first event of a stream.  */
  int64_t objective_ms;
  int64_t gap_ms; /* target time between two events of a stream */
  /* Callers leave when nothing has come for so long; 0: not known.  */
  int64_t patience_ms;
  struct site_split *splits;
  size_t split_count;
};

struct site
{
  uint64_t version; /* increases with each change, not always by 1 */
  unsigned refs;
  GArray *routes;     /* struct site_route */
  GArray *services;   /* struct site_service */
  GArray *customers;  /* struct site_customer */
  bool keys_required; /* of all routes that are not public */
  size_t body_bytes;  /* maximum size of a request's body; 0: no limit here */
  /* A head takes at most so long; idle connections are kept at least so long,
     milliseconds; 0: not set.  */
  int64_t head_timeout_ms;
  int64_t idle_timeout_ms;
  GHashTable *hosts; /* name to GPtrArray of routes, longest prefix first */
};

/* An empty one with one reference.  */
struct site *site_new (void);
struct site *site_ref (struct site *site);
void site_unref (struct site *site); /* NULL allowed */

/* Builds the lookup table for site_route; call once, after filling.  */
void site_index (struct site *site);

/* The route for PATH (no query) at HOST, whose port is ignored; NULL when
   there is none.  */
const struct site_route *site_route (const struct site *site, const char *host,
                                     const char *path);
const struct site_service *site_service (const struct site *site,
                                         const char *name);
const struct site_model *site_model (const struct site_service *service,
                                     const char *name);

/* Selects the service for a request with hash HASH, in proportion to the
   weights of the route's splits; NULL when all weights are 0.  */
const char *site_split (const struct site_route *route, uint64_t hash);

/* Whether a request of ROUTE may run more than once.  */
static inline bool
site_idempotent (const struct site_route *route)
{
  return route->kind == SITE_IDEMPOTENT
         || (route->kind == SITE_STREAM && route->resumable);
}

#endif

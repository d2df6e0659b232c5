/* eject - outlier ejection of failing backend servers.

   After EJECT_FAILURES consecutive failures an engine is ejected for a time
   that doubles with each consecutive ejection.  When that has expired, one
   request at a time probes the engine: success ends the ejection, failure
   ejects it again.  At most EJECT_MAX_PERCENT of the replicas of one target
   are ejected, and never the only one.  When more would be, those whose
   ejection expires first remain in use.

   One struct eject per traffic thread.  */

#ifndef PARSLEYRILL_EJECT_H
#define PARSLEYRILL_EJECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "route.h"

#define EJECT_FAILURES 3       /* consecutive failures before an ejection */
#define EJECT_BASE_MS 1000     /* first ejection */
#define EJECT_MAX_MS 60000     /* longest ejection */
#define EJECT_EXPIRE_MS 300000 /* idle time before an engine's state goes */
#define EJECT_MAX_PERCENT 50   /* of a target's replicas, rounded down */

struct eject;

struct eject *eject_new (void);
void eject_free (struct eject *eject);

/* A dispatch to ENGINE begins.  Dispatches in flight are counted so that only
   one request at a time probes the engine.  */
void eject_begin (struct eject *eject, const char *engine,
                  struct timespec now);

/* The dispatch ended.  OK is false for a connection reset, a timeout, a
   truncated response, or a status of 500 and above, except a refusal before
   execution.  True when this ejected the engine.  */
bool eject_end (struct eject *eject, const char *engine, bool ok,
                struct timespec now);

/* A dispatch that goes on shows a failure: the engine sends nothing.  True
   when this ejected the engine.  */
bool eject_suspect (struct eject *eject, const char *engine,
                    struct timespec now);

/* The dispatch was canceled by this node: neither success nor failure.  */
void eject_abandon (struct eject *eject, const char *engine);

/* Sets EJECTED[i] for each replica to whether it is ejected now; returns the
   number of ejected replicas.  */
unsigned eject_mark (struct eject *eject, const struct route_replica *replicas,
                     size_t count, struct timespec now, bool *ejected);

/* Removes the state of engines that were not used for EJECT_EXPIRE_MS.  */
void eject_clean (struct eject *eject, struct timespec now);

#endif

/* eject - outlier ejection of backend servers that fail.

   After EJECT_FAILURES failures in a row an engine is left out for a time
   that doubles with each ejection.  After it, one request at a time probes
   the engine: success takes it back in, failure ejects it again.  Of the
   replicas of one target never more than a bounded share is left out, and
   never the last one: the engines that failed longest ago come back first.

   One struct eject per traffic thread.  */

#ifndef PARSLEYRILL_EJECT_H
#define PARSLEYRILL_EJECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "route.h"

#define EJECT_FAILURES 3       /* in a row */
#define EJECT_BASE_MS 1000     /* first ejection */
#define EJECT_MAX_MS 60000     /* longest ejection */
#define EJECT_FORGET_MS 300000 /* quiet time after which all is forgotten */
#define EJECT_MAX_PERCENT 50   /* of a target's replicas, rounded down */

struct eject;

struct eject *eject_new (void);
void eject_free (struct eject *eject);

/* A dispatch to ENGINE begins; needed so that only one request probes.  */
void eject_begin (struct eject *eject, const char *engine,
                  struct timespec now);

/* It ended.  OK is false for a reset, a timeout, a cut answer or a status of
   500 and above that is no refusal.  True when this ejected the engine.  */
bool eject_end (struct eject *eject, const char *engine, bool ok,
                struct timespec now);

/* It ended by this node's own doing: neither success nor failure.  */
void eject_abandon (struct eject *eject, const char *engine);

/* Sets OUT[i] for each replica that is left out now; returns how many.  */
unsigned eject_mark (struct eject *eject, const struct route_replica *replicas,
                     size_t count, struct timespec now, bool *out);

/* Drops what was not touched for EJECT_FORGET_MS.  */
void eject_clean (struct eject *eject, struct timespec now);

#endif

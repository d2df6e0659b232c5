/* suspect_pair - the replicas designated for a request by its fingerprint.
   Pure functions, any thread.  */

#ifndef PARSLEYRILL_SUSPECT_PAIR_H
#define PARSLEYRILL_SUSPECT_PAIR_H

#include <stddef.h>
#include <stdint.h>
#include "route.h"

#define SUSPECT_PAIR_MAX 2 /* replicas that one fingerprint may use */

/* Hash of a request's target and body.  Never 0.  */
uint64_t suspect_fingerprint (const char *target, const void *body,
                              size_t length);
uint64_t suspect_hash (const char *name);

/* Stores in OUT the indices into REPLICAS of the replicas that FINGERPRINT may
   use, at most two, and returns their number.  The choice is the same at every
   node with the same replicas.  Leaving replicas are excluded.  LOST (0: none)
   is the backend server that crashed while running it.  It is ranked as if it
   were still there, so that no third replica takes its place, and is used
   itself only when there is no other.  */
unsigned suspect_pair (uint64_t fingerprint, uint64_t lost,
                       const struct route_replica *replicas, size_t count,
                       size_t out[SUSPECT_PAIR_MAX]);

#endif

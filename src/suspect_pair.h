/* suspect_pair - which replicas a request may use, before anything is known
   of it.  Pure functions, any thread.  */

#ifndef PARSLEYRILL_SUSPECT_PAIR_H
#define PARSLEYRILL_SUSPECT_PAIR_H

#include <stddef.h>
#include <stdint.h>
#include "route.h"

#define SUSPECT_PAIR_MAX 2 /* replicas open to one fingerprint */

/* Identity of a request: its target and body.  Never 0.  */
uint64_t suspect_fingerprint (const char *target, const void *body,
                              size_t length);
uint64_t suspect_hash (const char *name);

/* The replicas that FINGERPRINT may use: indices into REPLICAS, at most two,
   the same at every node that has the same replicas.  Leaving ones are left
   out.  LOST (0: none) is a backend server lost to it: it counts as if it
   were still there, and is itself used only when there is no other.  Returns
   how many.  */
unsigned suspect_pair (uint64_t fingerprint, uint64_t lost,
                       const struct route_replica *replicas, size_t count,
                       size_t out[SUSPECT_PAIR_MAX]);

#endif

/* drain - what a node that stops as planned still does for its callers.

   For a first share of the drain time new requests are accepted, for a second
   one waiting requests are sent to servers.  Both hold only for requests that
   are likely to end before the drain time does.  At its end all others are
   cut: later than DRAIN_UNSURE_MS only those are accepted whose deadline comes
   before.

   Pure; one thread.  */

#ifndef PARSLEYRILL_DRAIN_H
#define PARSLEYRILL_DRAIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

/* Requests that callers have sent within 3 s of the signal may be cut.  */
#define DRAIN_UNSURE_MS 2800
#define DURATION_SAMPLES 16
#define DURATION_RANK 12 /* of the samples, in ascending order */

struct drain
{
  struct timespec started_at; /* zero: no planned stop */
  int64_t ms;                 /* the drain time */
};

struct drain_request
{
  struct timespec deadline;
  struct timespec usual; /* time that requests of its kind take; zero: unknown
                          */
};

/* Whether any request is still accepted.  */
bool drain_is_open (const struct drain *drain, struct timespec now);
bool drain_accepts (const struct drain *drain,
                    const struct drain_request *request, struct timespec now);
bool drain_may_send (const struct drain *drain,
                     const struct drain_request *request, struct timespec now);

/* The time that requests of one route take, from their sending to the end of
   the response, as observed.  */
struct duration
{
  struct timespec samples[DURATION_SAMPLES]; /* a ring */
  size_t count;                              /* added so far */
};

void duration_add (struct duration *duration, struct timespec took);
/* Most of the last requests took at most this; zero: unknown.  */
struct timespec duration_usual (const struct duration *duration);

#endif

/* reach - reachability of each backend server, as one traffic thread sees it.

   A server that refuses connections is avoided for a time that doubles with
   each failure (exponential backoff); then one request tries again.  After a
   reused connection stalled, only new connections are used for REACH_STALL_MS.
   The mean time to the first byte gives the timeout for the first byte on
   reused connections.

   Does no I/O.  One thread.  */

#ifndef PARSLEYRILL_REACH_H
#define PARSLEYRILL_REACH_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#define REACH_BACKOFF_MIN_MS 100    /* first backoff */
#define REACH_BACKOFF_MAX_MS 1000   /* longest backoff */
#define REACH_STALL_MS 10000        /* after a stall: new connections only */
#define REACH_FIRST_BYTE_MIN_MS 500 /* minimum timeout for the first byte */
#define REACH_FIRST_BYTE_MAX_MS 3000
#define REACH_FIRST_BYTE_FACTOR 8     /* of the mean time to the first byte */
#define REACH_FIRST_BYTE_MIN_FACTOR 2 /* of the mean, may exceed MAX_MS */
#define REACH_PAUSE_MS 500     /* longer silence of an engine is a pause */
#define REACH_EXPIRE_MS 600000 /* idle time before an engine's state goes */

struct reach;

struct reach *reach_new (void);
void reach_free (struct reach *reach);

/* ENGINE responded, FIRST_BYTE after the request was sent.  */
void reach_answered (struct reach *reach, const char *engine,
                     struct timespec first_byte, struct timespec now);

/* No connection to ENGINE could be established, or another instance answered
   at its address.  */
void reach_connect_failed (struct reach *reach, const char *engine,
                           struct timespec now);

/* A reused connection to ENGINE timed out before the first byte.  */
void reach_stalled (struct reach *reach, const char *engine,
                    struct timespec now);

/* ENGINE sent bytes.  */
void reach_heard (struct reach *reach, const char *engine,
                  struct timespec now);

/* Whether ENGINE has sent bytes, on any connection, from SINCE to NOW without
   a pause longer than REACH_PAUSE_MS.  */
bool reach_heard_since (const struct reach *reach, const char *engine,
                        struct timespec since, struct timespec now);

/* Whether to avoid ENGINE.  The first call after the backoff has expired
   returns false and starts another backoff, so that only one request tries the
   engine.  */
bool reach_backing_off (struct reach *reach, const char *engine,
                        struct timespec now);

/* Whether reused connections to ENGINE must be avoided.  */
bool reach_needs_new_connection (const struct reach *reach, const char *engine,
                                 struct timespec now);

/* Timeout for the first byte on a reused connection.  */
int64_t reach_first_byte_timeout_ms (const struct reach *reach,
                                     const char *engine);

/* Removes the state of engines that were not used for REACH_EXPIRE_MS.  */
void reach_clean (struct reach *reach, struct timespec now);

#endif

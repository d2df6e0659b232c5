/* reach - what one traffic thread knows of its connections to each backend
   server.

   A server that refuses connections is left alone for a time that doubles;
   then one request tries again.  After a connection went silent, only new
   ones are used for a while.  The usual time to the first byte tells how long
   to trust a connection that was used before.

   Does no I/O.  One thread.  */

#ifndef PARSLEYRILL_REACH_H
#define PARSLEYRILL_REACH_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#define REACH_BACKOFF_MIN_MS 100    /* after the first refused connection */
#define REACH_BACKOFF_MAX_MS 1000   /* longest */
#define REACH_STALL_MS 10000        /* after a silent connection */
#define REACH_FIRST_BYTE_MIN_MS 500 /* least, for the first byte */
#define REACH_FIRST_BYTE_MAX_MS 3000
#define REACH_FIRST_BYTE_FACTOR 8 /* of the mean time to the first byte */
#define REACH_FIRST_BYTE_MIN_FACTOR                                           \
  2                            /* of the mean, whatever the limit above */
#define REACH_EXPIRE_MS 600000 /* quiet time after which all is forgotten */

struct reach;

struct reach *reach_new (void);
void reach_free (struct reach *reach);

/* ENGINE answered, FIRST_BYTE after it was asked.  */
void reach_answered (struct reach *reach, const char *engine,
                     struct timespec first_byte, struct timespec now);

/* No connection to ENGINE could be made.  */
void reach_connect_failed (struct reach *reach, const char *engine,
                           struct timespec now);

/* A connection to ENGINE that was used before brought no byte.  */
void reach_stalled (struct reach *reach, const char *engine,
                    struct timespec now);

/* Whether to leave ENGINE alone.  The first call after the time is over
   returns false and begins another, so that one request tries.  */
bool reach_backing_off (struct reach *reach, const char *engine,
                        struct timespec now);

/* Whether only new connections may be used.  */
bool reach_needs_new_connection (const struct reach *reach, const char *engine,
                                 struct timespec now);

/* Milliseconds to wait for the first byte on a connection used before.  */
int64_t reach_first_byte_timeout_ms (const struct reach *reach,
                                     const char *engine);

/* Drops what was not touched for REACH_EXPIRE_MS.  */
void reach_clean (struct reach *reach, struct timespec now);

#endif

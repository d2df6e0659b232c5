/* returns - when rejected requests should come back.

   Requests that are rejected together and told the same time would come back
   together, and most of them would be rejected again.  So each is told a time
   at which capacity becomes free that no other was told of.

   No I/O; one thread.  Strings are copied.  */

#ifndef PARSLEYRILL_RETURNS_H
#define PARSLEYRILL_RETURNS_H

#include <time.h>

/* Longest time told, in seconds.  */
#define RETURNS_MAX_S 30.0

struct returns;

struct returns *returns_new (void);
void returns_free (struct returns *returns);

/* Seconds until a request for TARGET should come back, at least LEAST_S.  Each
   takes WORK_S of its servers, all together.  */
double returns_next_s (struct returns *returns, const char *target,
                       double least_s, double work_s, struct timespec now);

#endif

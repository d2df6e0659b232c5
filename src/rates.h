/* rates - request rate by name, as exponentially decaying means.

   Pure; one thread.  */

#ifndef PARSLEYRILL_RATES_H
#define PARSLEYRILL_RATES_H

#include <time.h>
#include <glib.h>

#define RATES_TIME_CONSTANT_S 8.0 /* of the exponential decay */

struct rates;

struct rates *rates_new (void);
/* With another TIME_CONSTANT_S than RATES_TIME_CONSTANT_S.  */
struct rates *rates_new_slow (double time_constant_s);
void rates_free (struct rates *rates); /* NULL allowed */

/* COUNT requests for NAME arrived.  */
void rates_add (struct rates *rates, const char *name, double count,
                struct timespec now);

/* Requests a second.  */
double rates_per_s (const struct rates *rates, const char *name,
                    struct timespec now);

/* Seconds since the last rates_add for NAME; INFINITY when there was none.  */
double rates_idle_s (const struct rates *rates, const char *name,
                     struct timespec now);

/* Calls FN for each name with a non-negligible rate.  COUNT is the number of
   requests that would result in that rate if they arrived together now.  */
void rates_each (const struct rates *rates, struct timespec now,
                 void (*fn) (void *user, const char *name, double count),
                 void *user);

#endif

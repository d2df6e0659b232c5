/* rates - how often each of many names is called: means that fade.

   Pure; one thread.  */

#ifndef PARSLEYRILL_RATES_H
#define PARSLEYRILL_RATES_H

#include <time.h>
#include <glib.h>

#define RATES_TIME_CONSTANT_S 8.0 /* time constant of the means */

struct rates;

struct rates *rates_new (void);
void rates_free (struct rates *rates); /* NULL allowed */

/* COUNT calls of NAME came.  */
void rates_add (struct rates *rates, const char *name, double count,
                struct timespec now);

/* Calls a second.  */
double rates_per_s (const struct rates *rates, const char *name,
                    struct timespec now);

/* Seconds since the last call; INFINITY when there was none.  */
double rates_idle_s (const struct rates *rates, const char *name,
                     struct timespec now);

/* Calls FN for each name that was called lately.  COUNT is the number of
   calls that would give its rate at once.  */
void rates_each (const struct rates *rates, struct timespec now,
                 void (*fn) (void *user, const char *name, double count),
                 void *user);

#endif

/* pace - how long work takes on a server's machine, relative to usual.

   Servers that share their machines with others tell a figure that changes
   many times a second.  The drift is its mean over PACE_DRIFT_S, weighted by
   time, which choices that last use.

   A zeroed struct pace is new.  No I/O; one thread.  */

#ifndef PARSLEYRILL_PACE_H
#define PARSLEYRILL_PACE_H

#include <time.h>

#define PACE_DRIFT_S 5.0 /* time constant of the drift */
/* Figures beyond these are taken for these.  */
#define PACE_MIN 0.05
#define PACE_MAX 20.0

struct pace
{
  double drift;       /* 1: usual; more: slower; 0: not told */
  double latest;      /* as last told */
  struct timespec at; /* of LATEST */
};

/* The server told that work takes VALUE times as long as usual.  A VALUE that
   is not a positive number is ignored.  */
void pace_report (struct pace *pace, double value, struct timespec now);

#endif

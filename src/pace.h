/* pace - how long work takes on a server's machine, relative to usual.

   Servers that share their machines with others tell a figure that changes
   many times a second.  The drift is its mean over PACE_DRIFT_S, weighted by
   time, which choices that last use.  The momentary figure differs from it for
   less than a second.

   What a server tells may be wrong.  So the time that requests took there is
   compared with the time estimated from what it told, and the ratio corrects
   later estimates.  It is forgotten over PACE_OBSERVED_S, so that a server
   that was avoided for it is tried again.

   A server that never told a figure has no pace, whatever was observed, and
   estimates for it are those of any server.

   A zeroed struct pace is new.  No I/O; one thread.  */

#ifndef PARSLEYRILL_PACE_H
#define PARSLEYRILL_PACE_H

#include <time.h>

#define PACE_DRIFT_S 5.0     /* time constant of the drift */
#define PACE_MOMENT_S 0.25   /* of the decay of the momentary figure */
#define PACE_OBSERVED_S 30.0 /* of the decay of what was observed */
/* Figures beyond these are taken for these.  */
#define PACE_MIN 0.05
#define PACE_MAX 20.0
/* The same of the ratio of observed to estimated times.  */
#define PACE_OBSERVED_MIN 0.5
#define PACE_OBSERVED_MAX 8.0

struct pace_ratio
{
  double value; /* of observed to estimated times; 0: none */
  struct timespec at;
};

struct pace
{
  double drift;             /* 1: usual; more: slower; 0: not told */
  struct timespec drift_at; /* of its last change */
  double latest;            /* as last told to this node */
  struct timespec at;       /* of LATEST */
  struct pace_ratio first;  /* of times until the first event */
  struct pace_ratio events; /* of times between events */
};

/* The server told that work takes VALUE times as long as usual.  A VALUE that
   is not a positive number is ignored.  */
void pace_report (struct pace *pace, double value, struct timespec now);

/* A node that hears from all nodes knows this DRIFT; 0: it does not.  It
   replaces that known here.  */
void pace_adopt (struct pace *pace, double drift, struct timespec now);

/* The ratio of the time ACTUAL_S to the time ESTIMATED_S, at the pace told.  0
   if there is none.  NOISE_S is added to both: short times tell little.  */
double pace_compare (double estimated_s, double actual_s, double noise_s);

/* Some request took VALUE times as long as estimated; 0: not known.  */
void pace_observe (struct pace_ratio *ratio, double value,
                   struct timespec now);

/* As pace_adopt.  */
void pace_adopt_ratio (struct pace_ratio *ratio, double value,
                       struct timespec now);

/* The ratio that corrects estimates now; 1 without observations.  */
double pace_correction (const struct pace_ratio *ratio, struct timespec now);

/* The pace that is expected to last, corrected for the time until the first
   event, or between events; 0: not told.  */
double pace_lasting (const struct pace *pace, struct timespec now);
double pace_of_events (const struct pace *pace, struct timespec now);

/* What the momentary figure adds to pace_lasting now; may be negative.  */
double pace_moment (const struct pace *pace, struct timespec now);

/* The mean pace over the next S seconds, from pace_lasting and
   pace_moment.  */
double pace_over (double lasting, double moment, double s);

#endif

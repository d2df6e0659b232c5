/* modelspeed - how long the work for a model takes, relative to the mean over
   the models of its service, as observed.

   Large models take several times as long as small ones for as many tokens.
   Each sample is the ratio of the time until a request's first event to the
   time expected of a model of mean speed.  The logarithms are averaged, so
   that few requests that were held up count little.

   Pure; one thread.  */

#ifndef PARSLEYRILL_MODELSPEED_H
#define PARSLEYRILL_MODELSPEED_H

/* Samples of a model from which its factor counts.  */
#define MODELSPEED_MIN_COUNT 20
/* Factors beyond these are taken for these.  */
#define MODELSPEED_MIN 0.4
#define MODELSPEED_MAX 2.5

struct modelspeed;

struct modelspeed *modelspeed_new (void);
void modelspeed_free (struct modelspeed *speed); /* NULL allowed */

/* A request for MODEL took RATIO times as long as expected.  Ignored unless
   RATIO is a positive number.  */
void modelspeed_add (struct modelspeed *speed, const char *model,
                     double ratio);

/* How many times as long as the mean work for MODEL takes; 1: not known.  */
double modelspeed_factor (const struct modelspeed *speed, const char *model);

#endif

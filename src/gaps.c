#include "gaps.h"

#include <math.h>
#include <string.h>

#define HOUR_S 3600.0
#define DAY_S 86400.0
#define GAP_HALF_LIFE_S (7.0 * DAY_S)  /* of the gap histogram */
#define HOUR_HALF_LIFE_S (5.0 * DAY_S) /* of the requests by hour */
#define PRIOR_WEIGHT 4.0      /* pseudo-count of the pool's histogram */
#define HOUR_PSEUDO_COUNT 0.5 /* pseudo-count of each hour */
#define MASS_PSEUDO_COUNT 0.5 /* avoids the logarithm of 0 */
#define DECAY_INTERVAL_S HOUR_S
#define IDLE_WITHOUT_CALL_S 1.0 /* idle time before the first request */
/* Shorter gaps belong to one session and are not counted by hour.  */
#define HOUR_MIN_GAP_S 60.0

void
gaps_init (struct gaps *gaps)
{
  memset (gaps, 0, sizeof *gaps);
}

static int
bin_of (double gap_s)
{
  double steps = 2.0 * log2 (gap_s / GAPS_FIRST_S);

  if (!(steps > 0.0))
    return 0;
  return steps >= GAPS_BINS - 1 ? GAPS_BINS - 1 : (int)ceil (steps);
}

static double
bin_end_s (int bin)
{
  return GAPS_FIRST_S * exp2 (bin / 2.0);
}

static double
bin_start_s (int bin)
{
  return bin == 0 ? 0.0 : bin_end_s (bin - 1);
}

static int
hour_of (double wall_s)
{
  return (int)fmod (floor (wall_s / HOUR_S), GAPS_HOURS);
}

static void
decay (struct gaps *gaps, double wall_s)
{
  double age_s = wall_s - gaps->decayed_s;
  float keep = (float)exp2 (-age_s / GAP_HALF_LIFE_S);
  float keep_hour = (float)exp2 (-age_s / HOUR_HALF_LIFE_S);

  if (age_s < DECAY_INTERVAL_S)
    return;
  for (int i = 0; i < GAPS_BINS; i++)
    gaps->bin[i] *= keep;
  for (int i = 0; i < GAPS_HOURS; i++)
    gaps->hour[i] *= keep_hour;
  gaps->total *= keep;
  gaps->hour_total *= keep_hour;
  gaps->decayed_s = wall_s;
}

static void
add_gap (struct gaps *gaps, double gap_s, double wall_s)
{
  decay (gaps, wall_s);
  gaps->bin[bin_of (gap_s)] += 1.0F;
  gaps->total += 1.0F;
  if (gap_s < HOUR_MIN_GAP_S)
    return;
  gaps->hour[hour_of (wall_s)] += 1.0F;
  gaps->hour_total += 1.0F;
}

void
gaps_call (struct gaps *gaps, struct gaps *prior, double wall_s)
{
  double gap_s = wall_s - gaps->last_call_s;

  if (gaps->last_call_s > 0.0)
    {
      add_gap (gaps, gap_s, wall_s);
      if (prior != NULL)
        add_gap (prior, gap_s, wall_s);
    }
  else
    gaps->decayed_s = wall_s;
  gaps->last_call_s = wall_s;
}

double
gaps_idle_s (const struct gaps *gaps, double wall_s)
{
  return gaps->last_call_s > 0.0 ? wall_s - gaps->last_call_s
                                 : IDLE_WITHOUT_CALL_S;
}

/* Decayed number of gaps longer than FROM_S, interpolated within a bin.  */
static double
mass_after (const struct gaps *gaps, double from_s)
{
  int first = bin_of (from_s);
  double start_s = bin_start_s (first);
  double width_s = bin_end_s (first) - start_s;
  double fraction = 1.0 - (from_s - start_s) / width_s;
  double mass = 0.0;

  if (fraction < 0.0)
    fraction = 0.0;
  for (int i = first + 1; i < GAPS_BINS; i++)
    mass += gaps->bin[i];
  return mass + gaps->bin[first] * fraction;
}

/* Like mass_after, with the prior added as PRIOR_WEIGHT gaps.  */
static double
blended_after (const struct gaps *gaps, const struct gaps *prior,
               double from_s)
{
  double mass = mass_after (gaps, from_s);

  if (prior != NULL && prior->total > 0.0F)
    mass += PRIOR_WEIGHT * mass_after (prior, from_s) / prior->total;
  return mass;
}

/* Expected requests in HOUR relative to the mean hour.  */
static double
hour_factor (const struct gaps *gaps, const struct gaps *prior, int hour)
{
  double this_hour = gaps->hour[hour] + HOUR_PSEUDO_COUNT;
  double all_hours = gaps->hour_total + HOUR_PSEUDO_COUNT * GAPS_HOURS;

  if (prior != NULL && prior->hour_total > 0.0F)
    {
      double prior_weight = PRIOR_WEIGHT * GAPS_HOURS;

      this_hour += prior_weight * prior->hour[hour] / prior->hour_total;
      all_hours += prior_weight;
    }
  return this_hour * GAPS_HOURS / all_hours;
}

/* Mean of hour_factor over the next HORIZON_S seconds, at most a day.  */
static double
horizon_factor (const struct gaps *gaps, const struct gaps *prior,
                double wall_s, double horizon_s)
{
  double sum = 0.0;
  double at_s = wall_s;
  double end_s = wall_s + fmin (horizon_s, DAY_S);

  while (at_s < end_s)
    {
      double next_s = fmin (end_s, (floor (at_s / HOUR_S) + 1.0) * HOUR_S);

      sum += (next_s - at_s) * hour_factor (gaps, prior, hour_of (at_s));
      at_s = next_s;
    }
  return sum / (end_s - wall_s);
}

double
gaps_call_probability (const struct gaps *gaps, const struct gaps *prior,
                       double wall_s, double horizon_s)
{
  double idle_s = gaps_idle_s (gaps, wall_s);
  double mass_now = blended_after (gaps, prior, idle_s) + MASS_PSEUDO_COUNT;
  double mass_later
      = blended_after (gaps, prior, idle_s + horizon_s) + MASS_PSEUDO_COUNT;
  double hazard = -log (mass_later / mass_now);

  if (!(horizon_s > 0.0))
    return 0.0;
  hazard *= horizon_factor (gaps, prior, wall_s, horizon_s);
  return 1.0 - exp (-hazard);
}

#include "pace.h"

#include <math.h>
#include <stdbool.h>
#include <sys/param.h>
#include "ts.h"

/* The weight of one report, however long ago the last one was, so that a
   momentary figure does not replace the drift.  */
#define REPORT_WEIGHT_MAX 0.3
/* Reports at the same moment still count.  */
#define REPORT_WEIGHT_MIN 0.01
/* The share of the momentary figure that is counted: most of them are over
   before a request is read.  */
#define MOMENT_SHARE 0.5
#define OBSERVED_WEIGHT 0.2 /* of one request */

static bool
is_positive (double value)
{
  return isfinite (value) && value > 0;
}

static double
clamp_pace (double value)
{
  return MIN (MAX (value, PACE_MIN), PACE_MAX);
}

static double
clamp_observed (double ratio)
{
  return MIN (MAX (ratio, PACE_OBSERVED_MIN), PACE_OBSERVED_MAX);
}

static double
seconds_since (struct timespec at, struct timespec now)
{
  return MAX (ts_to_s (ts_sub (now, at)), 0);
}

void
pace_report (struct pace *pace, double value, struct timespec now)
{
  double weight;

  if (!is_positive (value))
    return;
  value = clamp_pace (value);
  weight = 1 - exp (-seconds_since (pace->drift_at, now) / PACE_DRIFT_S);
  weight = MIN (MAX (weight, REPORT_WEIGHT_MIN), REPORT_WEIGHT_MAX);
  pace->drift
      = pace->drift > 0 ? pace->drift + weight * (value - pace->drift) : value;
  pace->drift_at = now;
  pace->latest = value;
  pace->at = now;
}

void
pace_adopt (struct pace *pace, double drift, struct timespec now)
{
  if (!is_positive (drift))
    return;
  pace->drift = clamp_pace (drift);
  pace->drift_at = now;
}

void
pace_adopt_ratio (struct pace_ratio *ratio, double value, struct timespec now)
{
  if (!is_positive (value))
    return;
  ratio->value = clamp_observed (value);
  ratio->at = now;
}

double
pace_compare (double estimated_s, double actual_s, double noise_s)
{
  if (!isfinite (estimated_s) || !isfinite (actual_s) || estimated_s <= 0
      || actual_s < 0)
    return 0;
  return clamp_observed ((actual_s + noise_s) / (estimated_s + noise_s));
}

double
pace_correction (const struct pace_ratio *ratio, struct timespec now)
{
  if (ratio->value <= 0)
    return 1;
  return pow (ratio->value,
              exp (-seconds_since (ratio->at, now) / PACE_OBSERVED_S));
}

void
pace_observe (struct pace_ratio *ratio, double value, struct timespec now)
{
  double before = pace_correction (ratio, now);

  if (!is_positive (value))
    return;
  /* A geometric mean: half and double cancel out.  */
  ratio->value = clamp_observed (
      before * pow (clamp_observed (value) / before, OBSERVED_WEIGHT));
  ratio->at = now;
}

double
pace_lasting (const struct pace *pace, struct timespec now)
{
  return pace->drift * pace_correction (&pace->first, now);
}

double
pace_of_events (const struct pace *pace, struct timespec now)
{
  return pace->drift * pace_correction (&pace->events, now);
}

double
pace_moment (const struct pace *pace, struct timespec now)
{
  double age_s = seconds_since (pace->at, now);

  if (pace->drift <= 0 || pace->latest <= 0)
    return 0;
  return MOMENT_SHARE * (pace->latest - pace->drift)
         * exp (-age_s / PACE_MOMENT_S) * pace_correction (&pace->first, now);
}

double
pace_over (double lasting, double moment, double s)
{
  double spans = s / PACE_MOMENT_S;

  if (spans <= 0)
    return lasting + moment;
  return lasting + moment * (1 - exp (-spans)) / spans;
}

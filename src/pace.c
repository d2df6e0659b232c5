#include "pace.h"

#include <math.h>
#include <sys/param.h>
#include "ts.h"

/* The weight of one report, however long ago the last one was, so that a
   momentary figure does not replace the drift.  */
#define REPORT_WEIGHT_MAX 0.3
/* Reports at the same moment still count.  */
#define REPORT_WEIGHT_MIN 0.01

void
pace_report (struct pace *pace, double value, struct timespec now)
{
  double weight;

  if (!isfinite (value) || value <= 0)
    return;
  value = MIN (MAX (value, PACE_MIN), PACE_MAX);
  weight = 1 - exp (-ts_to_s (ts_sub (now, pace->at)) / PACE_DRIFT_S);
  weight = MIN (MAX (weight, REPORT_WEIGHT_MIN), REPORT_WEIGHT_MAX);
  pace->drift
      = pace->drift > 0 ? pace->drift + weight * (value - pace->drift) : value;
  pace->latest = value;
  pace->at = now;
}

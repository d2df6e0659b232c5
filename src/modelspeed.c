#include "modelspeed.h"

#include <math.h>
#include <glib.h>

#define WEIGHT_MIN 0.02   /* of a new sample in a mean */
#define LOG_RATIO_MAX 1.5 /* of a sample; further ones are held up */

struct mean
{
  double log;
  unsigned count;
};

struct modelspeed
{
  GHashTable *by_model; /* name to struct mean */
  struct mean all;
};

struct modelspeed *
modelspeed_new (void)
{
  struct modelspeed *speed = g_new0 (struct modelspeed, 1);

  speed->by_model
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return speed;
}

void
modelspeed_free (struct modelspeed *speed)
{
  if (speed == NULL)
    return;
  g_hash_table_unref (speed->by_model);
  g_free (speed);
}

static void
mean_add (struct mean *mean, double log)
{
  mean->count += mean->count < G_MAXUINT;
  mean->log += MAX (1.0 / mean->count, WEIGHT_MIN) * (log - mean->log);
}

void
modelspeed_add (struct modelspeed *speed, const char *model, double ratio)
{
  struct mean *mean = g_hash_table_lookup (speed->by_model, model);
  double sample;

  if (!isfinite (ratio) || ratio <= 0)
    return;
  if (mean == NULL)
    {
      mean = g_new0 (struct mean, 1);
      g_hash_table_insert (speed->by_model, g_strdup (model), mean);
    }
  sample = CLAMP (log (ratio), -LOG_RATIO_MAX, LOG_RATIO_MAX);
  mean_add (mean, sample);
  mean_add (&speed->all, sample);
}

double
modelspeed_factor (const struct modelspeed *speed, const char *model)
{
  const struct mean *mean = g_hash_table_lookup (speed->by_model, model);

  if (mean == NULL || mean->count < MODELSPEED_MIN_COUNT)
    return 1;
  return CLAMP (exp (mean->log - speed->all.log), MODELSPEED_MIN,
                MODELSPEED_MAX);
}

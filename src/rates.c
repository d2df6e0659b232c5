#include "rates.h"

#include <math.h>
#include "ts.h"

#define MIN_COUNT 0.05 /* requests; rates_each omits names below it */

struct rate
{
  double per_s;
  struct timespec at; /* time of PER_S and of the last request */
};

struct rates
{
  GHashTable *by_name; /* name to struct rate */
  double decay_per_s;  /* 1 / the time constant */
};

struct rates *
rates_new (void)
{
  return rates_new_slow (RATES_TIME_CONSTANT_S);
}

struct rates *
rates_new_slow (double time_constant_s)
{
  struct rates *rates = g_new0 (struct rates, 1);

  rates->decay_per_s = 1 / time_constant_s;
  rates->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return rates;
}

void
rates_free (struct rates *rates)
{
  if (rates == NULL)
    return;
  g_hash_table_unref (rates->by_name);
  g_free (rates);
}

static double
decayed (const struct rates *rates, const struct rate *rate,
         struct timespec now)
{
  double passed_s = ts_to_s (ts_sub (now, rate->at));

  return rate->per_s * exp (-MAX (passed_s, 0) * rates->decay_per_s);
}

void
rates_add (struct rates *rates, const char *name, double count,
           struct timespec now)
{
  struct rate *rate = g_hash_table_lookup (rates->by_name, name);

  if (rate == NULL)
    {
      rate = g_new0 (struct rate, 1);
      rate->at = now;
      g_hash_table_insert (rates->by_name, g_strdup (name), rate);
    }
  rate->per_s = decayed (rates, rate, now) + count * rates->decay_per_s;
  rate->at = now;
}

double
rates_per_s (const struct rates *rates, const char *name, struct timespec now)
{
  const struct rate *rate = g_hash_table_lookup (rates->by_name, name);

  return rate != NULL ? decayed (rates, rate, now) : 0;
}

double
rates_idle_s (const struct rates *rates, const char *name, struct timespec now)
{
  const struct rate *rate = g_hash_table_lookup (rates->by_name, name);

  return rate != NULL ? ts_to_s (ts_sub (now, rate->at)) : INFINITY;
}

void
rates_each (const struct rates *rates, struct timespec now,
            void (*fn) (void *user, const char *name, double count),
            void *user)
{
  const struct rate *rate;
  GHashTableIter iter;
  const char *name;

  g_hash_table_iter_init (&iter, rates->by_name);
  while (g_hash_table_iter_next (&iter, (gpointer *)&name, (gpointer *)&rate))
    {
      double count = decayed (rates, rate, now) / rates->decay_per_s;

      if (count >= MIN_COUNT)
        fn (user, name, count);
    }
}

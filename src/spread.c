#include "spread.h"

#include <math.h>
#include <sys/param.h>

static double
weight (const struct spread_option *option, double least, double margin)
{
  double above = option->cost - least;

  if (!isfinite (option->cost) || above >= margin)
    return 0;
  return option->capacity * (1 - above / margin);
}

/* The first cheapest option, -1 if there is none.  */
static ptrdiff_t
cheapest (const struct spread_option *options, size_t count)
{
  ptrdiff_t best = -1;

  for (size_t i = 0; i < count; i++)
    if (isfinite (options[i].cost)
        && (best < 0 || options[i].cost < options[best].cost))
      best = (ptrdiff_t)i;
  return best;
}

ptrdiff_t
spread_choose (const struct spread_option *options, size_t count,
               double margin, double random)
{
  ptrdiff_t chosen = cheapest (options, count);
  double least;
  double sum = 0;

  if (chosen < 0 || margin <= 0)
    return chosen;
  least = options[chosen].cost;
  for (size_t i = 0; i < count; i++)
    sum += weight (&options[i], least, margin);
  random *= sum;
  for (size_t i = 0; i < count; i++)
    {
      double w = weight (&options[i], least, margin);

      if (w > 0 && random < w)
        return (ptrdiff_t)i;
      random -= w;
    }
  return chosen;
}

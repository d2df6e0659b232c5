#include "reqtime.h"

#include <sys/param.h>
#include "delay.h"

void
reqtime_init (struct reqtime *reqtime)
{
  reqtime->mean_s = REQTIME_DEFAULT_S;
  reqtime->count = REQTIME_DEFAULT_WEIGHT;
}

void
reqtime_add (struct reqtime *reqtime, const struct reqtime_sample *sample)
{
  double share_s = delay_read_s (sample->prompt_tokens);

  if (sample->slots == 0)
    return;
  share_s = MAX (share_s, sample->duration_s / sample->slots);
  reqtime->count = MIN (reqtime->count + 1, REQTIME_WINDOW);
  reqtime->mean_s += (share_s - reqtime->mean_s) / reqtime->count;
}

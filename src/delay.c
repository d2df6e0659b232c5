#include "delay.h"

#include <math.h>
#include <sys/param.h>

#define PREFILL_TOKENS_PER_S 38700.0
/* A running request delays the others by its share of each batch.  */
#define RUNNING_S 0.003
/* Mean time until a running request ends, which is how long a report tells
   anything of the requests that ran then.  */
#define RUN_S 1.5
#define LIMIT_OBJECTIVES 1.25 /* times the objective */
#define LIMIT_MIN_S 1.0
#define LIMIT_LEFT_SHARE 0.7 /* of the time left, at most */
#define RETRY_MIN_S 0.3
#define RETRY_SPREAD 0.5 /* of the time to the retry */

double
delay_backlog_s (const struct delay_load *load)
{
  double age_s = MAX (load->age_s, 0);
  double queued_s = MAX (load->queued * DELAY_QUEUED_S - age_s, 0);

  return queued_s + load->sent * DELAY_QUEUED_S
         + load->running * RUNNING_S * exp (-age_s / RUN_S);
}

double
delay_read_s (uint64_t tokens)
{
  return (double)tokens / PREFILL_TOKENS_PER_S;
}

double
delay_limit_s (double objective_s, double left_s)
{
  return MIN (MAX (LIMIT_OBJECTIVES * objective_s, LIMIT_MIN_S),
              LIMIT_LEFT_SHARE * left_s);
}

double
delay_retry_s (double delay_s, double limit_s, double random)
{
  double retry_s = MAX (delay_s - limit_s / 2, RETRY_MIN_S);

  return retry_s * (1 + RETRY_SPREAD * random);
}

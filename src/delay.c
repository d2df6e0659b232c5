#include "delay.h"

#include <math.h>
#include <sys/param.h>

#define PREFILL_TOKENS_PER_S 38700.0
/* A running request delays the others by its share of each batch.  */
#define RUNNING_S 0.003
/* Mean time until a running request ends, which is how long a report tells
   anything of the requests that ran then.  */
#define RUN_S 1.5
/* A decoding step, which each running request prolongs by its share.  Engines
   make one between two pieces of a prompt.  */
#define STEP_S 0.0055
#define STEP_RUNNING_S 0.0006
/* Tokens of a stream event, which is sent once all are decoded.  */
#define EVENT_TOKENS 5
/* Mean of the squares of the times to read a prompt, divided by the square of
   their mean: where 9,190 tokens and 826 are about as frequent.  */
#define READ_VARIATION 1.5
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

static double
step_s (double running)
{
  return STEP_S + running * STEP_RUNNING_S;
}

/* Seconds for prompts that take READ_S to read, with the decoding steps
   between their pieces.  */
static double
read_between_steps_s (double read_s, double running)
{
  double pieces = read_s * PREFILL_TOKENS_PER_S / DELAY_PIECE_TOKENS;

  return read_s + pieces * step_s (running);
}

double
delay_expected_s (double pace, const struct delay_demand *demand)
{
  double work_s
      = pace * read_between_steps_s (demand->read_s, demand->running);
  double utilisation = demand->requests_per_s * work_s;

  if (utilisation >= 1)
    return INFINITY;
  /* The mean wait of a queue with one server (Pollaczek and Khinchine).  */
  return utilisation * work_s * READ_VARIATION / (2 * (1 - utilisation))
         + work_s + pace * EVENT_TOKENS * step_s (demand->running);
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

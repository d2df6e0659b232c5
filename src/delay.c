#include "delay.h"

#include <math.h>
#include <string.h>
#include <sys/param.h>
#include "pace.h"

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
/* What the prompts that come while a request runs add to each of its events,
   for each request that runs: DELAY_QUEUED_S in about 50 events.  */
#define READING_S 0.002
/* How far the time until the first event is from its estimate, usually, as a
   share of it.  */
#define ESTIMATE_SPREAD 0.3
#define ESTIMATE_SPREAD_MIN_S 0.01
/* Servers are that much slower for a moment, in that share of the time.  */
#define SLOW_FACTOR 2.5
#define SLOW_SHARE 0.1
/* Mean of the squares of the times to read a prompt, divided by the square of
   their mean: where 9,190 tokens and 826 are about as frequent.  */
#define READ_VARIATION 1.5
/* How long a report tells of the prompts that wait: some are read, others
 * come.
 */
#define QUEUE_S 0.7
#define LIMIT_OBJECTIVES 1.25 /* times the objective */
#define LIMIT_MIN_S 1.0
#define LIMIT_LEFT_SHARE 0.7 /* of the time left, at most */
/* The same, at least, of streams: their duration is known least.  */
#define LIMIT_STREAM_SHARE 0.5
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

/* Seconds of work at the usual pace.  */
static double
work_s (const struct delay_server *server, double read_s)
{
  return read_between_steps_s (read_s, server->load.running);
}

/* Time that WORK_S seconds of work take from now on.  */
static double
at_pace (const struct delay_server *server, double work_s)
{
  return work_s
         * pace_over (server->pace, server->moment, work_s * server->pace);
}

/* Prompts that wait, in seconds of work.  While a report ages, prompts are
   read, and others take their place, as long as requests arrive.  */
static double
backlog_work_s (const struct delay_server *server)
{
  const struct delay_load *load = &server->load;
  double reported_s = work_s (server, load->queued * DELAY_QUEUED_S);

  return reported_s * exp (-MAX (load->age_s, 0) / QUEUE_S)
         + work_s (server, load->sent * DELAY_QUEUED_S);
}

/* The expected excess over LIMIT_S of a time that is VALUE_S on average and
   varies with it.  */
static double
expected_excess_s (double value_s, double limit_s)
{
  double spread_s = MAX (ESTIMATE_SPREAD * value_s, ESTIMATE_SPREAD_MIN_S);
  double spreads = (value_s - limit_s) / spread_s;

  /* Beyond, the logarithm's argument overflows, and the result is exact.  */
  if (spreads > 30)
    return value_s - limit_s;
  return spread_s * log1p (exp (spreads));
}

/* The same of a pause of VALUE_S, which is longer at moments.  */
static double
pause_excess_s (double value_s, double limit_s)
{
  return (1 - SLOW_SHARE) * expected_excess_s (value_s, limit_s)
         + SLOW_SHARE * expected_excess_s (SLOW_FACTOR * value_s, limit_s);
}

/* Estimates what follows the first event.  While prompts are read, the engine
   reads a piece before each of the steps that decode the tokens of an event;
   the prompts that will come are in proportion to the requests that run.  */
static void
estimate_events (const struct delay_server *server,
                 const struct delay_need *need,
                 struct delay_estimate *estimate)
{
  double piece_s = (double)DELAY_PIECE_TOKENS / PREFILL_TOKENS_PER_S;
  double tokens = need->event_tokens > 0 ? need->event_tokens : EVENT_TOKENS;
  double running = server->load.running + server->load.sent;
  double steps_s = server->event_pace * tokens * step_s (running);
  double reading_s = steps_s + server->event_pace * tokens * piece_s;
  double while_reading = MIN (estimate->first_s / reading_s, need->events);

  estimate->event_s = steps_s + server->event_pace * running * READING_S;
  if (need->gap_s > 0)
    estimate->pause_s
        = while_reading * pause_excess_s (reading_s, need->gap_s)
          + (need->events - while_reading)
                * pause_excess_s (estimate->event_s, need->gap_s);
  if (need->left_s > 0)
    estimate->overrun_s = expected_excess_s (
        estimate->first_s + need->events * estimate->event_s, need->left_s);
}

void
delay_estimate (const struct delay_server *server,
                const struct delay_need *need, struct delay_estimate *estimate)
{
  double read_s = MAX (need->read_s - need->trust * need->saved_s, 0);
  double backlog_work = backlog_work_s (server);
  double own_work
      = work_s (server, read_s) + EVENT_TOKENS * step_s (server->load.running);

  memset (estimate, 0, sizeof *estimate);
  estimate->backlog_s = at_pace (server, backlog_work);
  estimate->first_s = at_pace (server, backlog_work + own_work);
  if (need->objective_s > 0)
    estimate->late_s
        = expected_excess_s (estimate->first_s, need->objective_s);
  if (need->events > 0)
    estimate_events (server, need, estimate);
}

double
delay_expected_s (double pace, const struct delay_demand *demand)
{
  double each_s
      = pace * read_between_steps_s (demand->read_s, demand->running);
  double utilisation = demand->requests_per_s * each_s;

  if (utilisation >= 1)
    return INFINITY;
  /* The mean wait of a queue with one server (Pollaczek and Khinchine).  */
  return utilisation * each_s * READ_VARIATION / (2 * (1 - utilisation))
         + each_s + pace * EVENT_TOKENS * step_s (demand->running);
}

double
delay_limit_s (double objective_s, double left_s)
{
  return MIN (MAX (LIMIT_OBJECTIVES * objective_s, LIMIT_MIN_S),
              LIMIT_LEFT_SHARE * left_s);
}

double
delay_limit_left_s (double left_s, double stream_s)
{
  double share = 1 - stream_s / MAX (left_s, 0.001);

  return MAX (left_s, 0)
         * MIN (MAX (share, LIMIT_STREAM_SHARE), LIMIT_LEFT_SHARE);
}

double
delay_retry_s (double delay_s, double limit_s, double random)
{
  double retry_s = MAX (delay_s - limit_s / 2, RETRY_MIN_S);

  return retry_s * (1 + RETRY_SPREAD * random);
}

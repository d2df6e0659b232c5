#include "admit_estimate.h"

#include <math.h>
#include "ts.h"

#define INTERVAL_WEIGHT 0.2          /* of the newest interval, in the mean */
#define INTERVAL_SERVICE_TIMES_MAX 2 /* cap, in mean service times */
#define SERVICE_TIME_FACTOR 1.5      /* safety margin on the mean */

static unsigned
slot_count (const struct admit_request *request)
{
  return request->slots > 0 ? request->slots : ADMIT_SLOTS_DEFAULT;
}

static double
grant_interval_s (const struct admit_queue *queue,
                  const struct admit_request *request)
{
  double interval = request->service_s / slot_count (request);

  if (queue == NULL)
    return interval;
  if (queue->grant_interval_s > 0)
    interval = queue->grant_interval_s;
  return interval;
}

unsigned
admit_estimate_ahead (const struct admit_queue *queue, unsigned priority,
                      struct timespec deadline)
{
  const struct admit_entry *at;
  unsigned higher = 0;
  unsigned n;

  if (queue == NULL)
    return 0;
  for (unsigned p = priority + 1; p < ADMIT_PRIORITIES; p++)
    higher += queue->levels[p].waiting;
  n = queue->levels[priority].waiting;
  TAILQ_FOREACH_REVERSE (at, &queue->levels[priority].by_deadline,
                         admit_entry_list, by_deadline)
    {
      if (ts_cmp (at->deadline, deadline) <= 0)
        break;
      n--;
    }
  return n + MIN (higher, (n + 1) * ADMIT_LOW_EVERY);
}

static struct timespec
ready_time (const struct admit_request *request, struct timespec now)
{
  return request->ready ? now : ts_max (request->ready_at, now);
}

struct timespec
admit_estimate_answer (const struct admit_queue *queue,
                       const struct admit_request *request, unsigned n,
                       struct timespec now)
{
  unsigned immediate_grants
      = request->ready ? request->slots_free : slot_count (request);
  unsigned grants_to_wait_for
      = n + 1 > immediate_grants ? n + 1 - immediate_grants : 0;
  double wait_s = grants_to_wait_for * grant_interval_s (queue, request);

  return ts_add (
      ready_time (request, now),
      ts_from_s (wait_s + SERVICE_TIME_FACTOR * request->service_s));
}

long
admit_estimate_retry_seconds (double wait_s)
{
  return (long)CLAMP (ceil (wait_s), ADMIT_RETRY_AFTER_MIN_S,
                      ADMIT_RETRY_AFTER_MAX_S);
}

long
admit_estimate_retry_after (const struct admit_queue *queue,
                            const struct admit_request *request,
                            struct timespec now)
{
  unsigned n = queue != NULL ? queue->waiting : 0;

  return admit_estimate_retry_seconds (
      ts_to_s (ts_sub (ready_time (request, now), now))
      + n * grant_interval_s (queue, request));
}

/* Measures no interval while the service time is unknown: a stall could not
   be distinguished from a slow server.  */
void
admit_estimate_update (struct admit_queue *queue, unsigned granted,
                       struct timespec now)
{
  double interval;

  if (granted > 0 && queue->service_s > 0 && !ts_is_zero (queue->last_release))
    {
      interval = ts_to_s (ts_sub (now, queue->last_release)) / granted;
      interval = MIN (interval, INTERVAL_SERVICE_TIMES_MAX * queue->service_s);
      queue->grant_interval_s
          = queue->grant_interval_s > 0
                ? queue->grant_interval_s * (1 - INTERVAL_WEIGHT)
                      + interval * INTERVAL_WEIGHT
                : interval;
    }
  if (granted > 0)
    queue->last_release = now;
}

bool
admit_estimate_too_late (const struct admit_entry *entry, double service_s,
                         struct timespec now)
{
  return ts_before (entry->deadline,
                    ts_add (now, ts_from_s (SERVICE_TIME_FACTOR * service_s)));
}

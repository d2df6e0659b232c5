#include "admit_estimate.h"

#include <math.h>
#include "ts.h"

#define GAP_WEIGHT 0.2     /* of the newest gap between grants in their mean */
#define GAP_SERVICES_MAX 2 /* longest gap learnt, in mean service times */
#define SERVICE_MARGIN 1.5 /* times the mean */

static unsigned
slots (const struct admit_request *request)
{
  return request->slots > 0 ? request->slots : ADMIT_SLOTS_COLD;
}

static double
gap_s (const struct admit_queue *queue, const struct admit_request *request)
{
  double gap = request->service_s / slots (request);

  if (queue == NULL)
    return gap;
  if (queue->gap_s > 0)
    gap = queue->gap_s;
  return gap;
}

/* Those of QUEUE that would go before one of PRIORITY and DEADLINE.  */
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

/* When a request behind N others would be answered.  */
struct timespec
admit_estimate_answer (const struct admit_queue *queue,
                       const struct admit_request *request, unsigned n,
                       struct timespec now)
{
  unsigned at_once = request->ready ? request->slots_free : slots (request);
  unsigned waits = n + 1 > at_once ? n + 1 - at_once : 0;
  double wait_s = waits * gap_s (queue, request);

  return ts_add (ready_time (request, now),
                 ts_from_s (wait_s + SERVICE_MARGIN * request->service_s));
}

long
admit_estimate_seconds (double wait_s)
{
  return (long)CLAMP (ceil (wait_s), ADMIT_RETRY_AFTER_MIN_S,
                      ADMIT_RETRY_AFTER_MAX_S);
}

/* When those who wait now will have gone.  */
long
admit_estimate_retry_after (const struct admit_queue *queue,
                            const struct admit_request *request,
                            struct timespec now)
{
  unsigned n = queue != NULL ? queue->waiting : 0;

  return admit_estimate_seconds (
      ts_to_s (ts_sub (ready_time (request, now), now))
      + n * gap_s (queue, request));
}

/* Without a service time a stall cannot be told from a slow server.  */
void
admit_estimate_learn (struct admit_queue *queue, unsigned granted,
                      struct timespec now)
{
  double gap;

  if (granted > 0 && queue->service_s > 0 && !ts_is_zero (queue->last_free))
    {
      gap = ts_to_s (ts_sub (now, queue->last_free)) / granted;
      gap = MIN (gap, GAP_SERVICES_MAX * queue->service_s);
      queue->gap_s = queue->gap_s > 0
                         ? queue->gap_s * (1 - GAP_WEIGHT) + gap * GAP_WEIGHT
                         : gap;
    }
  if (granted > 0)
    queue->last_free = now;
}

bool
admit_estimate_hopeless (const struct admit_entry *entry, double service_s,
                         struct timespec now)
{
  return ts_before (entry->deadline,
                    ts_add (now, ts_from_s (SERVICE_MARGIN * service_s)));
}

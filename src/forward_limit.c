#include <string.h>
#include "forward_state.h"
#include "ts.h"

/* Which servers a request did not go to because of their limits.  */
struct forward_limits
{
  GPtrArray *skipped;  /* ids, in the latest choice, preferred ones first */
  GPtrArray *rejected; /* ids: there is no ticket in time */
  int64_t retry_ms;    /* until the first of these may take it */
  char *wanted;        /* id of the one that the request waits for, or NULL */
  uint64_t ask;        /* see ratelimit_want */
};

static struct forward_limits *
get_limits (struct forward *forward)
{
  if (forward->limits == NULL)
    {
      forward->limits = g_new0 (struct forward_limits, 1);
      forward->limits->skipped = g_ptr_array_new_with_free_func (g_free);
      forward->limits->rejected = g_ptr_array_new_with_free_func (g_free);
    }
  return forward->limits;
}

void
forward_limits_free (struct forward *forward)
{
  if (forward->limits == NULL)
    return;
  g_ptr_array_unref (forward->limits->skipped);
  g_ptr_array_unref (forward->limits->rejected);
  g_free (forward->limits->wanted);
  g_free (forward->limits);
}

void
forward_limits_reset (struct forward *forward)
{
  if (forward->limits != NULL)
    g_ptr_array_set_size (forward->limits->skipped, 0);
}

bool
forward_limit_allows (struct forward *forward, const char *id)
{
  struct ratelimit_verdict verdict
      = ratelimits_check (forward->gateway->ratelimits, id, 0);

  if (verdict.state == RATELIMIT_NONE || verdict.state == RATELIMIT_OPEN)
    return true;
  g_ptr_array_add (get_limits (forward)->skipped, g_strdup (id));
  return false;
}

bool
forward_limits_skipped (const struct forward *forward)
{
  return forward->limits != NULL && forward->limits->skipped->len > 0;
}

void
forward_limits_prefetch (struct forward *forward)
{
  if (forward_limits_skipped (forward))
    ratelimits_prefetch (forward->gateway->ratelimits,
                         g_ptr_array_index (forward->limits->skipped, 0));
}

void
forward_limits_unwant (struct forward *forward)
{
  struct forward_limits *limits = forward->limits;

  if (limits == NULL || limits->wanted == NULL)
    return;
  ratelimits_unwant (forward->gateway->ratelimits, limits->wanted,
                     limits->ask);
  g_free (limits->wanted);
  limits->wanted = NULL;
}

static bool
contains (const GPtrArray *ids, const char *id)
{
  for (guint i = 0; i < ids->len; i++)
    if (strcmp (g_ptr_array_index (ids, i), id) == 0)
      return true;
  return false;
}

/* The preferred server that has not rejected the request, or NULL.  */
static const char *
choose_server (const struct forward_limits *limits)
{
  for (guint i = 0; i < limits->skipped->len; i++)
    {
      const char *id = g_ptr_array_index (limits->skipped, i);

      if (!contains (limits->rejected, id))
        return id;
    }
  return NULL;
}

static void
want (struct forward *forward, const char *id)
{
  struct forward_limits *limits = forward->limits;
  int64_t wait_ms = forward_left_ms (forward) - FORWARD_ANSWER_MIN_MS;

  if (limits->wanted != NULL && strcmp (limits->wanted, id) == 0)
    return;
  forward_limits_unwant (forward);
  limits->wanted = g_strdup (id);
  limits->ask = ratelimits_want (forward->gateway->ratelimits, id, wait_ms);
}

static void
note_rejection (struct forward_limits *limits, const char *id,
                int64_t retry_ms)
{
  if (limits->rejected->len == 0 || retry_ms < limits->retry_ms)
    limits->retry_ms = retry_ms;
  g_ptr_array_add (limits->rejected, g_strdup (id));
}

void
forward_wait_for_limit (struct forward *forward)
{
  struct forward_limits *limits = forward->limits;
  struct ratelimit_verdict verdict;
  const char *id;

  while ((id = choose_server (limits)) != NULL)
    {
      want (forward, id);
      verdict
          = ratelimits_check (forward->gateway->ratelimits, id, limits->ask);
      if (verdict.state != RATELIMIT_REJECTED)
        break;
      note_rejection (limits, id, verdict.wait_ms);
    }
  if (id == NULL && forward->explanation.usable > 0)
    forward_wait (forward, (struct timespec){ 0 }); /* for a free slot */
  else if (id == NULL)
    forward_fail (forward, "the limits of the servers are reached",
                  limits->retry_ms);
  else if (verdict.state == RATELIMIT_WAITING)
    forward_wait (forward, verdict.wait_ms > 0 ? ts_add_ms (
                               forward_now (forward), verdict.wait_ms)
                                               : (struct timespec){ 0 });
  else
    {
      forward_wait (forward, forward_now (forward));
      gateway_dispatch_soon (forward->gateway);
    }
}

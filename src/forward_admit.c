#include <string.h>
#include "delay.h"
#include "forward_state.h"
#include "ts.h"

/* Share of an engine's queue that is at least as urgent as a request of a
   route with the highest priority, of several.  */
#define ADMITTED_FIRST_SHARE 0.4

/* As the configuration tells, otherwise as observed; zero: not known.  */
static struct timespec
patience_of (const struct forward *forward)
{
  if (forward->route->patience_ms > 0)
    return ts_from_ms (forward->route->patience_ms);
  return patience_estimate (
      gateway_patience (forward->gateway, forward->route->name),
      forward_now (forward));
}

struct timespec
forward_leaves_at (const struct forward *forward)
{
  struct timespec patience = patience_of (forward);

  if (ts_is_zero (patience))
    return forward->deadline;
  return ts_min (forward->deadline, ts_add (forward->arrived, patience));
}

static bool
has_lower_customer (const struct site *site, unsigned priority)
{
  for (guint i = 0; i < site->customers->len; i++)
    {
      const struct site_customer *customer
          = &g_array_index (site->customers, struct site_customer, i);

      if (customer->has_priority && customer->priority > priority)
        return true;
    }
  return false;
}

/* Whether some route of the service, or some customer, has a lower priority,
   so that engines admit this request before most others.  */
static bool
is_admitted_first (const struct forward *forward)
{
  const GArray *routes = forward->site->routes;

  for (guint i = 0; i < routes->len; i++)
    {
      const struct site_route *route
          = &g_array_index (routes, struct site_route, i);
      const char *service = site_split (route, 0);

      if (route->priority > forward_priority (forward) && service != NULL
          && strcmp (service, forward->service->name) == 0)
        return true;
    }
  return has_lower_customer (forward->site, forward_priority (forward));
}

/* The longest estimated delay with which the request is sent.  */
static double
delay_limit (const struct forward *forward)
{
  double left_s
      = ts_to_s (ts_sub (forward_leaves_at (forward), forward_now (forward)));

  if (forward->explanation.paced)
    return delay_limit_left_s (left_s, forward->explanation.stream_s);
  return delay_limit_s (
      (double)forward->route->objective_ms / (double)TS_MS_PER_S,
      (double)forward_left_ms (forward) / (double)TS_MS_PER_S);
}

/* When the request should come back, in seconds.  */
static double
return_s (const struct forward *forward, double delay_s, double limit_s)
{
  struct gateway *gateway = forward->gateway;
  const struct pick_explanation *why = &forward->explanation;
  double retry_s
      = delay_retry_s (delay_s, limit_s, g_rand_double (gateway->core->rand));

  if (!why->paced)
    return retry_s;
  return returns_next_s (gateway->returns, forward->target, retry_s,
                         (why->delay_s - why->wait_s) / MAX (why->usable, 1),
                         forward_now (forward));
}

bool
forward_is_overloaded (const struct forward *forward, int64_t *retry_ms)
{
  double delay_s = forward->explanation.delay_s;
  double limit_s = delay_limit (forward) * forward_delay_share (forward);

  if (forward->target == NULL || forward->dispatches > 0 || delay_s <= limit_s)
    return false;
  if (is_admitted_first (forward))
    delay_s *= ADMITTED_FIRST_SHARE;
  if (delay_s <= limit_s)
    return false;
  *retry_ms = ts_to_ms (ts_from_s (return_s (forward, delay_s, limit_s)));
  return true;
}

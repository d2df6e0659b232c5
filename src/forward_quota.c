#include "counter.h"
#include "forward_state.h"
#include "ts.h"

static void
log_exceeded (const struct forward *forward, int64_t wait_ms)
{
  const char *name = forward->customer->name;
  struct quota_status status = { 0 };
  struct log_line line;

  quotas_status (forward->gateway->quotas, name, &status);
  log_begin (&line, EVENT_QUOTA_EXCEEDED);
  log_str (&line, "request", forward->parsed.id);
  log_str (&line, "customer", name);
  log_double (&line, "amount", (double)forward_amount (forward));
  log_double (&line, "per_s", status.per_s);
  log_double (&line, "use_per_s", status.use_per_s);
  log_double (&line, "credit", status.balance);
  log_int (&line, "homes_reached", status.homes_reached);
  for (size_t i = 0; i < status.home_count; i++)
    log_str (&line, "home", status.homes[i]);
  log_int (&line, "version", (int64_t)forward->site->version);
  log_int (&line, "retry_after_ms", wait_ms);
  log_end (&line);
}

static void
refuse_exceeded (struct forward *forward, int64_t wait_ms)
{
  counter_add (COUNTER_QUOTA_EXCEEDED, 1);
  log_exceeded (forward, wait_ms);
  forward_refuse (forward, 429, "the quota of the customer is used up",
                  wait_ms);
}

static void
begin_wait (struct forward *forward, uint64_t wait)
{
  counter_add (COUNTER_QUOTA_WAITED, 1);
  counter_add (COUNTER_QUOTA_WAITING, 1);
  forward->quota_wait = wait;
  TAILQ_INSERT_TAIL (&forward->gateway->waiting_for_quota, forward,
                     quota_link);
}

static void
end_wait (struct forward *forward)
{
  counter_add (COUNTER_QUOTA_WAITING, -1);
  forward->quota_wait = 0;
  TAILQ_REMOVE (&forward->gateway->waiting_for_quota, forward, quota_link);
}

/* A request that another node has passed on was charged there.  Only that
   node's proof shows this, since a caller may send the relay header too.  */
bool
forward_take_quota (struct forward *forward)
{
  struct quota_verdict verdict;

  if (forward->customer == NULL || forward->customer_proven)
    return true;
  verdict = quotas_take (forward->gateway->quotas, forward->customer->name,
                         (double)forward_amount (forward));
  if (verdict.state == QUOTA_TAKEN)
    forward->quota_taken = verdict.taken;
  else if (verdict.state == QUOTA_ASKED)
    begin_wait (forward, verdict.wait);
  else
    refuse_exceeded (forward, verdict.wait_ms);
  return verdict.state == QUOTA_TAKEN;
}

static void
check_quota (struct forward *forward)
{
  struct quota_verdict verdict = quotas_check (
      forward->gateway->quotas, forward->customer->name, forward->quota_wait);

  if (verdict.state == QUOTA_ASKED)
    return;
  end_wait (forward);
  if (verdict.state == QUOTA_EXCEEDED)
    {
      refuse_exceeded (forward, verdict.wait_ms);
      return;
    }
  forward->quota_taken = verdict.taken;
  forward_send_accepted (forward);
}

void
forward_check_quotas (struct gateway *gateway)
{
  struct forward *forward;
  struct forward *next;

  for (forward = TAILQ_FIRST (&gateway->waiting_for_quota); forward != NULL;
       forward = next)
    {
      next = TAILQ_NEXT (forward, quota_link);
      check_quota (forward);
    }
}

void
forward_end_quota (struct forward *forward)
{
  struct quota_taken taken = forward->quota_taken;
  uint64_t wait = forward->quota_wait;

  forward->quota_taken = (struct quota_taken){ 0 };
  if (wait != 0)
    {
      end_wait (forward);
      quotas_leave (forward->gateway->quotas, forward->customer->name, wait);
    }
  else if (taken.amount > 0 && forward_not_run (forward))
    quotas_return (forward->gateway->quotas, forward->customer->name, &taken);
}

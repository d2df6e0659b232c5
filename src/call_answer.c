#include <errno.h>
#include <string.h>
#include "call_state.h"
#include "counter.h"
#include "eject.h"
#include "reach.h"
#include "retry.h"
#include "stall.h"
#include "ts.h"

/* After a connection broke, the backend server may have crashed: time for the
   strike against the request (suspect.h) to reach the other nodes.  */
#define CRASH_RETRY_DELAY_MS 100
#define RESUME_TIMEOUT_MS 5000 /* to resume a truncated stream */
#define SILENCE_CHECK_MS 400   /* between looks for a replacement */
#define SERVER_ERROR 500       /* lowest status of a server error */

void
call_cancel_attempt (struct call *call)
{
  struct attempt *attempt;

  if (call->exchange == NULL)
    return;
  attempt = &call->attempts[call->count - 1];
  attempt_cancel (attempt, exchange_phase (call->exchange));
  exchange_cancel (call->exchange);
  call->exchange = NULL;
  eject_abandon (call->worker->eject, call->engine->id);
}

static void
send_complete_answer (struct call *call, const struct exchange_result *result)
{
  if (call->request == NULL)
    return;
  if (call->head_sent)
    httpd_stream_end (call->request);
  else
    httpd_respond (call->request, (unsigned)result->http.status,
                   result->http.content_type, result->headers,
                   result->http.body, result->http.length);
}

static void
finish_complete (struct call *call, const struct exchange_result *result)
{
  call_log_done (call, result);
  call_notify_succeeded (call, result);
  call_notify_ends (call, result);
  send_complete_answer (call, result);
  pick_hint (call->worker->pick, call->engine->id, call->prefix, true,
             call_now (call));
  call_finish (call);
}

/* Part of the response was already passed on, so it can only be truncated.  */
static void
abort_stream (struct call *call, const struct exchange_result *result)
{
  call_log_done (call, result);
  call_notify_ends (call, NULL);
  if (call->request != NULL)
    httpd_stream_abort (call->request);
  call_finish (call);
}

static void
on_retry_timer (struct loop_timer *timer)
{
  call_route (
      (struct call *)((char *)timer - offsetof (struct call, retry_timer)));
}

static bool
connection_broken (const struct exchange_result *result)
{
  int error = result->http.error;

  if (result->http.phase == HTTPC_UNSENT)
    return false;
  return error == -ECONNRESET || error == -EPIPE || error == -ECONNREFUSED;
}

static void
retry_later (struct call *call, const struct exchange_result *result)
{
  struct worker *worker = call->worker;
  struct timespec delay = retry_delay ((unsigned)call->count + 1,
                                       call_not_run (call), worker->rand);

  if (connection_broken (result))
    delay = ts_max (delay, ts_from_ms (CRASH_RETRY_DELAY_MS));
  if (call->head_sent)
    {
      call->deadline = ts_add_ms (call_now (call), RESUME_TIMEOUT_MS);
      loop_timer_set (worker->loop, &call->deadline_timer, call->deadline);
    }
  counter_add (COUNTER_RETRIES, 1);
  call->state = STATE_WAITING;
  call->retry_timer.fire = on_retry_timer;
  loop_timer_set (worker->loop, &call->retry_timer,
                  ts_add (call_now (call), delay));
}

/* A stream can be resumed after the events that the caller has received.  */
static bool
can_resume (const struct call *call)
{
  return !call->head_sent
         || (call->api.kind == API_COMPLETION && call->api.stream);
}

/* The reused connection timed out, which is no evidence against the
   backend server.  */
static bool
connection_stalled (const struct exchange_result *result)
{
  return result->http.error == -ETIMEDOUT && result->http.reused
         && result->http.phase < HTTPC_RESPONDING;
}

/* Retries after a stalled connection do not use the retry budget.  They
   are bounded: once no reused connection is trusted, none can stall.  */
static bool
may_retry (const struct call *call, const struct exchange_result *result)
{
  return call->request != NULL && can_resume (call)
         && attempt_may_retry (call->attempts, call->count,
                               !call->non_idempotent, false)
         && (connection_stalled (result)
             || retry_withdraw (call->worker->retry, call->api.target));
}

static void
fail_call (struct call *call, const struct exchange_result *result)
{
  if (call->head_sent)
    abort_stream (call, result);
  else if (call_not_run (call))
    call_refuse (call, 503, "backend_failed",
                 "no backend server accepted the request", CALL_RETRY_AFTER_S);
  else if (call->non_idempotent)
    call_refuse (call, 502, "outcome_unknown",
                 "the backend server failed after the request was sent", 0);
  else
    call_refuse (call, 503, "backend_failed",
                 "no complete response from a backend server",
                 CALL_RETRY_AFTER_S);
}

static void
retry_or_fail (struct call *call, const struct exchange_result *result)
{
  if (may_retry (call, result))
    retry_later (call, result);
  else
    fail_call (call, result);
}

/* A refusal before running and a failed connection do not count as
   attempts.  */
static void
try_next_replica (struct call *call)
{
  call->count--;
  call_route (call);
}

static bool
healthy (const struct exchange_result *result, bool refusal)
{
  return refusal
         || (result->http.error == 0 && result->http.status < SERVER_ERROR);
}

static bool
unsent (const struct exchange_result *result)
{
  return result->http.error != 0 && result->http.phase == HTTPC_UNSENT;
}

static void
update_engine_health (struct call *call, const struct exchange_result *result,
                      bool refusal)
{
  struct worker *worker = call->worker;
  const char *engine = call->engine->id;
  struct timespec now = call_now (call);

  if (connection_stalled (result))
    {
      reach_stalled (worker->reach, engine, now);
      eject_abandon (worker->eject, engine);
      return;
    }
  eject_end (worker->eject, engine, healthy (result, refusal), now);
  if (unsent (result))
    reach_connect_failed (worker->reach, engine, now);
  else if (result->http.error == 0)
    reach_answered (worker->reach, engine, result->first_byte, now);
}

static void
handle_result (struct call *call, const struct exchange_result *result,
               bool refusal)
{
  struct worker *worker = call->worker;

  call->exchange = NULL;
  attempt_finish (&call->attempts[call->count - 1], &result->http, refusal);
  update_engine_health (call, result, refusal);
  if (result->http.error != 0 && result->http.error != -ECANCELED)
    call_notify_failed (call, result);
  worker_dispatch_soon (worker);
  if (result->http.error == -ECANCELED)
    {
      call_notify_ends (call, NULL);
      call_finish (call);
    }
  else if (call->request != NULL && (refusal || unsent (result)))
    try_next_replica (call);
  else if (result->http.error == 0)
    finish_complete (call, result);
  else
    {
      if (result->streamed)
        call->events += result->events;
      retry_or_fail (call, result);
    }
}

/* Only a stream can continue the one that the caller has begun to receive.  */
static void
on_end (void *user, const struct exchange_result *result)
{
  struct call *call = user;
  struct exchange_result checked = *result;
  bool refusal = !result->streamed && attempt_refusal (&result->http);

  if (result->http.error == 0 && !refusal && call->head_sent
      && !result->streamed)
    checked.http.error = -EPROTO;
  handle_result (call, &checked, refusal);
}

static void
on_begin (void *user, const struct exchange_result *result)
{
  struct call *call = user;

  call->state = STATE_ANSWERING;
  loop_timer_clear (call->worker->loop, &call->deadline_timer);
  if (call->request != NULL && !call->head_sent)
    httpd_stream_begin (call->request, (unsigned)result->http.status,
                        result->http.content_type, result->headers);
  call->head_sent = true;
}

static int
on_bytes (void *user, const char *bytes, size_t n)
{
  struct call *call = user;
  int err = 0;

  if (call->request != NULL)
    err = httpd_stream_write (call->request, bytes, n);
  if (err == 0 && call->owns_record)
    g_string_append_len (call->recorded_stream, bytes, (gssize)n);
  return err;
}

/* Whether the call may be attempted once more if its current attempt times
   out.  */
static bool
may_replace (const struct call *call)
{
  struct attempt attempts[ATTEMPT_MAX];

  memcpy (attempts, call->attempts, sizeof attempts);
  attempt_event (&attempts[call->count - 1], ATTEMPT_EV_TIMEOUT);
  return call->request != NULL && can_resume (call)
         && attempt_may_retry (attempts, call->count, !call->non_idempotent,
                               false);
}

/* Before the configured limit of silence, an attempt ends only for one that
   takes its place.  */
static int64_t
on_silent (void *user, struct timespec silence)
{
  struct call *call = user;
  int64_t limit_ms = call_idle_timeout (call);
  struct stall stall
      = { .may_retry = may_replace (call),
          .connection_suspect = call->state != STATE_ANSWERING };

  if (limit_ms > 0 && ts_to_ms (silence) >= limit_ms)
    return 0;
  if (!stall.connection_suspect)
    stall.may_retry
        = stall.may_retry
          && retry_available (call->worker->retry, call->api.target);
  stall.other_ready = stall.may_retry && call_other_ready (call);
  return stall_decide (&stall) == STALL_WAIT ? SILENCE_CHECK_MS : 0;
}

const struct exchange_ops call_exchange_ops
    = { on_begin, on_bytes, on_silent, on_end };

#include <errno.h>
#include "call_state.h"
#include "counter.h"
#include "eject.h"
#include "reach.h"
#include "retry.h"
#include "ts.h"

#define CRASH_PAUSE_MS 100 /* until a strike has gone to the other nodes */
#define GO_ON_MS 5000      /* for a cut stream to be taken up again */
#define SERVER_FAULT 500   /* lowest status of one */

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
answer_whole (struct call *call, const struct exchange_result *result)
{
  if (call->request == NULL)
    return;
  if (call->begun)
    httpd_stream_end (call->request);
  else
    httpd_respond (call->request, (unsigned)result->http.status,
                   result->http.content_type, result->headers,
                   result->http.body, result->http.length);
}

static void
finish (struct call *call, const struct exchange_result *result)
{
  call_log_done (call, result);
  call_tell_served (call, result);
  call_tell_ends (call, result);
  answer_whole (call, result);
  pick_hint (call->worker->pick, call->engine->id, call->prefix, true,
             call_now (call));
  call_over (call);
}

/* Part of the answer has passed: it cannot be taken back, only cut.  */
static void
cut (struct call *call, const struct exchange_result *result)
{
  call_log_done (call, result);
  call_tell_ends (call, NULL);
  if (call->request != NULL)
    httpd_stream_abort (call->request);
  call_over (call);
}

static void
on_pause_over (struct loop_timer *timer)
{
  call_seek ((struct call *)((char *)timer - offsetof (struct call, pause)));
}

static bool
crashed (const struct exchange_result *result)
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
  struct timespec pause = retry_delay ((unsigned)call->count + 1,
                                       call_not_run (call), worker->rand);

  if (crashed (result))
    pause = ts_max (pause, ts_from_ms (CRASH_PAUSE_MS));
  if (call->begun)
    {
      call->deadline = ts_add_ms (call_now (call), GO_ON_MS);
      loop_timer_set (worker->loop, &call->timer, call->deadline);
    }
  counter_add (COUNTER_RETRIES, 1);
  call->state = STATE_WAITING;
  call->pause.fire = on_pause_over;
  loop_timer_set (worker->loop, &call->pause, ts_add (call_now (call), pause));
}

/* A stream goes on behind the events that the caller has.  */
static bool
may_go_on (const struct call *call)
{
  return !call->begun
         || (call->api.kind == API_COMPLETION && call->api.stream);
}

/* The connection went silent, which says nothing of the backend server.  */
static bool
lost_track (const struct exchange_result *result)
{
  return result->http.error == -ETIMEDOUT && result->http.reused
         && result->http.phase < HTTPC_RESPONDING;
}

/* The budget is not asked when a connection lost track: that ends once no
   used one is trusted.  */
static bool
may_retry (const struct call *call, const struct exchange_result *result)
{
  return call->request != NULL && may_go_on (call)
         && attempt_may_retry (call->attempts, call->count, !call->once, false)
         && (lost_track (result)
             || retry_withdraw (call->worker->retry, call->api.target));
}

static void
give_up (struct call *call, const struct exchange_result *result)
{
  if (call->begun)
    cut (call, result);
  else if (call_not_run (call))
    call_refuse (call, 503, "backend_failed", "no backend server took it",
                 CALL_RETRY_S);
  else if (call->once)
    call_refuse (call, 502, "outcome_unknown",
                 "the backend server failed while it had the request", 0);
  else
    call_refuse (call, 503, "backend_failed",
                 "no backend server gave a whole answer", CALL_RETRY_S);
}

static void
failed (struct call *call, const struct exchange_result *result)
{
  if (may_retry (call, result))
    retry_later (call, result);
  else
    give_up (call, result);
}

/* A refusal before running, or of the connection, is no attempt that
   counts.  */
static void
refused (struct call *call)
{
  call->count--;
  call_seek (call);
}

static bool
healthy (const struct exchange_result *result, bool refusal)
{
  return refusal
         || (result->http.error == 0 && result->http.status < SERVER_FAULT);
}

static bool
unsent (const struct exchange_result *result)
{
  return result->http.error != 0 && result->http.phase == HTTPC_UNSENT;
}

static void
judge_engine (struct call *call, const struct exchange_result *result,
              bool refusal)
{
  struct worker *worker = call->worker;
  const char *engine = call->engine->id;
  struct timespec now = call_now (call);

  if (lost_track (result))
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
on_end (void *user, const struct exchange_result *result)
{
  struct call *call = user;
  struct worker *worker = call->worker;
  bool refusal = !result->streamed && attempt_refusal (&result->http);

  call->exchange = NULL;
  attempt_finish (&call->attempts[call->count - 1], &result->http, refusal);
  judge_engine (call, result, refusal);
  if (result->http.error != 0 && result->http.error != -ECANCELED)
    call_tell_failed (call, result);
  worker_pump_soon (worker);
  if (result->http.error == -ECANCELED)
    {
      call_tell_ends (call, NULL);
      call_over (call);
    }
  else if (call->request != NULL && (refusal || unsent (result)))
    refused (call);
  else if (result->http.error == 0)
    finish (call, result);
  else
    {
      if (result->streamed)
        call->events += result->events;
      failed (call, result);
    }
}

static void
on_begin (void *user, const struct exchange_result *result)
{
  struct call *call = user;

  call->state = STATE_ANSWERING;
  loop_timer_clear (call->worker->loop, &call->timer);
  if (call->request != NULL && !call->begun)
    httpd_stream_begin (call->request, (unsigned)result->http.status,
                        result->http.content_type, result->headers);
  call->begun = true;
}

static int
on_bytes (void *user, const char *bytes, size_t n)
{
  struct call *call = user;
  int err = 0;

  if (call->request != NULL)
    err = httpd_stream_write (call->request, bytes, n);
  if (err == 0 && call->recorded)
    g_string_append_len (call->kept, bytes, (gssize)n);
  return err;
}

const struct exchange_ops call_exchange_ops = { on_begin, on_bytes, on_end };

#include <errno.h>
#include <string.h>
#include "counter.h"
#include "forward_state.h"
#include "ts.h"

#define EVENT_STREAM "text/event-stream"
#define ANSWER_MAX (16u << 20) /* bytes of an answer that is no stream */
#define SERVER_FAULT 500       /* statuses of servers that failed */
#define RETRY_SOON_MS 200      /* a server that is full has room again */

static void
judge (struct forward *forward, long status)
{
  struct gateway *gateway = forward->gateway;

  if (forward->judged)
    return;
  forward->judged = true;
  forward->first_at = forward_now (forward);
  gateway->options.caller->ops->judge (gateway->options.caller, forward->call,
                                       status, &forward->asked,
                                       &forward->answer);
  if (forward->answer.has_load)
    servers_report_load (listing_servers (gateway->listing),
                         forward->engine->id, forward->answer.running,
                         forward->answer.queued, forward->first_at);
}

/* An answer may go to the caller as it is.  */
static bool
genuine (const struct forward *forward)
{
  return forward->answer.mine && forward->answer.signed_by_server;
}

struct pass
{
  struct forward *forward;
  GPtrArray *headers; /* name, value, ..., NULL; borrowed */
};

static void
pass_header (void *user, const char *name, const char *value)
{
  struct pass *pass = user;
  const struct caller *caller = pass->forward->gateway->options.caller;

  if (g_ascii_strcasecmp (name, "Content-Type") == 0
      || !caller->ops->passes (caller, name))
    return;
  g_ptr_array_add (pass->headers, g_strdup (name));
  g_ptr_array_add (pass->headers, g_strdup (value));
}

static GPtrArray *
answer_headers (struct forward *forward)
{
  struct pass pass = { .forward = forward };

  pass.headers = g_ptr_array_new_with_free_func (g_free);
  httpc_each_header (forward->call, pass_header, &pass);
  if (forward->gateway->core->draining)
    {
      g_ptr_array_add (pass.headers, g_strdup ("Connection"));
      g_ptr_array_add (pass.headers, g_strdup ("close"));
    }
  g_ptr_array_add (pass.headers, NULL);
  return pass.headers;
}

static void
begin_stream (struct forward *forward, long status, const char *type)
{
  GPtrArray *headers;

  forward->streaming = true;
  if (forward->begun)
    return;
  forward->begun = true;
  headers = answer_headers (forward);
  httpd_stream_begin (forward->request, (unsigned)status, type,
                      (const char *const *)headers->pdata);
  g_ptr_array_unref (headers);
}

void
forward_on_head (void *user, long status, const char *content_type)
{
  struct forward *forward = user;

  judge (forward, status);
  if (status == 200 && genuine (forward) && forward->request != NULL
      && g_str_has_prefix (content_type, EVENT_STREAM))
    begin_stream (forward, status, content_type);
}

static int
to_caller (void *user, const char *bytes, size_t n)
{
  struct forward *forward = user;

  if (forward->request == NULL)
    return -ECANCELED;
  return httpd_stream_write (forward->request, bytes, n);
}

int
forward_on_bytes (void *user, const char *bytes, size_t n)
{
  struct forward *forward = user;
  int err;

  if (forward->streaming)
    {
      err = sse_forward (&forward->sse, forward->held, bytes, n, to_caller,
                         forward);
      if (forward->sse.has_id)
        {
          forward->can_resume = true;
          forward->last_event = forward->sse.last_id;
        }
      return err;
    }
  if (forward->held->len + n > ANSWER_MAX)
    return -EMSGSIZE;
  g_string_append_len (forward->held, bytes, (gssize)n);
  return 0;
}

/* What came behind the last whole event is part of the answer as well; a
   caller that has no room for it sees a cut stream.  */
static void
end_stream (struct forward *forward)
{
  const GString *rest = forward->held;

  if (rest->len > 0
      && httpd_stream_write (forward->request, rest->str, rest->len) < 0)
    httpd_stream_abort (forward->request);
  else
    httpd_stream_end (forward->request);
}

static void
finish (struct forward *forward, const struct httpc_result *result,
        GPtrArray *headers)
{
  struct gateway *gateway = forward->gateway;

  forward_log_done (forward, result->status);
  for (size_t i = 0; i < forward->asked.part_count; i++)
    pick_hint (gateway->pick, forward->engine->id, forward->asked.parts[i],
               true, forward_now (forward));
  if (forward->request != NULL && forward->streaming)
    end_stream (forward);
  else if (forward->request != NULL)
    httpd_respond (forward->request, (unsigned)result->status,
                   result->content_type, (const char *const *)headers->pdata,
                   forward->held->str, forward->held->len);
  forward_over (forward);
}

/* The connection went silent, which says nothing of the server.  */
static bool
lost_track (const struct httpc_result *result)
{
  return result->error == -ETIMEDOUT && result->reused
         && result->phase < HTTPC_RESPONDING;
}

static void
judge_server (struct forward *forward, const struct httpc_result *result,
              bool refusal)
{
  struct gateway *gateway = forward->gateway;
  struct timespec now = forward_now (forward);
  const char *id = forward->engine->id;
  bool healthy = refusal || (result->error == 0 && genuine (forward));

  if (lost_track (result))
    {
      reach_stalled (gateway->reach, id, now);
      eject_abandon (gateway->eject, id);
      return;
    }
  eject_end (gateway->eject, id, healthy, now);
  if (result->error != 0 && result->phase == HTTPC_UNSENT)
    reach_connect_failed (gateway->reach, id, now);
  else if (result->error == 0)
    reach_answered (gateway->reach, id,
                    ts_sub (forward->first_at, forward->sent_at), now);
}

static bool
may_run_again (const struct forward *forward)
{
  if (forward->request == NULL || forward->count >= ATTEMPT_MAX
      || forward->count >= MAX (forward->route->max_attempts, 1)
      || forward->sends >= FORWARD_SENDS_MAX)
    return false;
  if (!site_idempotent (forward->route))
    return false;
  return !forward->begun || forward->can_resume;
}

/* Nothing reached the server: others are tried, or it again when it is back;
   no budget bounds what no server sees.  */
static void
not_reached (struct forward *forward)
{
  forward->count--;
  forward->sends--;
  if (forward->request == NULL)
    forward_over (forward);
  else
    forward_seek (forward);
}

/* It has not run there: another server may be tried while the budget lasts. */
static void
not_run_there (struct forward *forward, const char *why)
{
  struct gateway *gateway = forward->gateway;

  forward->count--;
  if (forward->answer.lacks && forward->target != NULL)
    servers_report_missing (listing_servers (gateway->listing),
                            forward->engine->id, forward->target,
                            forward_now (forward));
  else
    forward_note_tried (forward);
  if (forward->request == NULL)
    forward_over (forward);
  else if (forward->sends < FORWARD_SENDS_MAX
           && retry_withdraw (gateway->retry, forward->service->name))
    {
      counter_add (COUNTER_RETRIES, 1);
      forward_seek (forward);
    }
  else
    forward_fail (forward, why, RETRY_SOON_MS);
}

static void
run_again_or_fail (struct forward *forward, const char *why)
{
  struct gateway *gateway = forward->gateway;

  if (may_run_again (forward)
      && retry_withdraw (gateway->retry, forward->service->name))
    {
      counter_add (COUNTER_RETRIES, 1);
      forward_note_tried (forward);
      forward_seek (forward);
    }
  else
    forward_fail (forward, why, 0);
}

/* A whole answer that says that the server failed may be had better
   elsewhere.  */
static bool
wants_better (const struct forward *forward, const struct httpc_result *result)
{
  return result->status >= SERVER_FAULT && !forward->begun
         && may_run_again (forward)
         && retry_withdraw (forward->gateway->retry, forward->service->name);
}

static void
whole_answer (struct forward *forward, const struct httpc_result *result,
              GPtrArray *headers)
{
  if (!genuine (forward))
    run_again_or_fail (forward, "the server's answer is not its own");
  else if (forward->begun && !forward->streaming)
    run_again_or_fail (forward, "the stream does not go on");
  else if (wants_better (forward, result))
    {
      counter_add (COUNTER_RETRIES, 1);
      forward_note_tried (forward);
      forward_seek (forward);
    }
  else
    finish (forward, result, headers);
}

void
forward_on_done (void *user, const struct httpc_result *result)
{
  struct forward *forward = user;
  GPtrArray *headers;
  bool refusal;

  if (result->status != 0)
    judge (forward, result->status);
  headers = answer_headers (forward);
  forward->call = NULL;
  forward->engine->inflight--;
  refusal = result->error == 0 && forward->judged && forward->answer.not_run
            && forward->answer.mine;
  attempt_finish (&forward->attempts[forward->count - 1], result, refusal);
  judge_server (forward, result, refusal);
  if (result->error != 0 || refusal)
    forward_log_failed (forward, result);
  gateway_pump_soon (forward->gateway);
  if (refusal)
    not_run_there (forward, "no server has room");
  else if (result->error != 0 && result->phase == HTTPC_UNSENT)
    not_reached (forward);
  else if (result->error == 0)
    whole_answer (forward, result, headers);
  else
    run_again_or_fail (forward, "the server gave no whole answer");
  g_ptr_array_unref (headers);
}

#include <string.h>
#include "call_state.h"
#include "log.h"
#include "ts.h"

static double
to_ms (struct timespec t)
{
  return ts_to_s (t) * (double)TS_MS_PER_S;
}

static double
age_ms (const struct call *call)
{
  return to_ms (ts_sub (call_now (call), call->arrived));
}

static void
set_common_fields (const struct call *call, struct msg *msg)
{
  msg->thread = call->worker->index;
  msg->request = call->id;
  msg->target = g_strdup (call->api.target);
  msg->fingerprint = call->api.fingerprint;
}

void
call_notify (struct call *call, struct msg *msg)
{
  set_common_fields (call, msg);
  if (worker_notify (call->worker, msg) < 0)
    msg_free (msg);
}

void
call_request_verdict (struct call *call, enum msg_type type)
{
  uint64_t *id = g_new (uint64_t, 1);
  struct msg *msg = msg_new (type);

  *id = call->id;
  call->state = STATE_AWAITING_VERDICT;
  g_hash_table_insert (call->worker->calls, id, call);
  set_common_fields (call, msg);
  msg->key = g_strdup (call->api.key);
  msg->deadline = call->deadline;
  if (worker_notify (call->worker, msg) == 0)
    return;
  msg_free (msg);
  call_refuse (call, 503, "busy", "the control thread is busy",
               CALL_RETRY_AFTER_S);
}

void
call_notify_succeeded (struct call *call, const struct exchange_result *result)
{
  struct msg *msg = msg_new (MSG_ATTEMPT_SUCCEEDED);

  msg->engine = g_strdup (call->engine->id);
  msg->first_token = result->first_byte;
  msg->duration = result->duration;
  msg->cold = call->cold;
  call_notify (call, msg);
}

static void
set_response (const struct call *call, const struct exchange_result *result,
              struct msg *msg)
{
  const char *body
      = result->streamed ? call->recorded_stream->str : result->http.body;

  msg->status = (unsigned)result->http.status;
  msg->content_type = g_strdup (result->http.content_type);
  msg->length
      = result->streamed ? call->recorded_stream->len : result->http.length;
  msg->body = g_memdup2 (body, msg->length + 1);
}

static void
notify_record_end (struct call *call, const struct exchange_result *result)
{
  struct msg *msg = msg_new (MSG_RECORD_END);

  call->owns_record = false;
  msg->key = g_strdup (call->api.key);
  msg->ran = !call_not_run (call);
  if (result != NULL)
    set_response (call, result, msg);
  set_common_fields (call, msg);
  worker_notify_reliably (call->worker, msg);
}

static void
notify_suspect_end (struct call *call, bool complete)
{
  struct msg *msg = msg_new (MSG_SUSPECT_END);

  call->owns_suspect_run = false;
  msg->ran = complete;
  set_common_fields (call, msg);
  worker_notify_reliably (call->worker, msg);
}

void
call_notify_ends (struct call *call, const struct exchange_result *result)
{
  if (call->owns_record)
    notify_record_end (call, result);
  if (call->owns_suspect_run)
    notify_suspect_end (call, result != NULL);
}

static void
begin_line (const struct call *call, struct log_line *line,
            enum log_event event)
{
  char id[CALL_ID_MAX];

  g_snprintf (id, sizeof id, "%s-%" G_GUINT64_FORMAT, call->worker->id_prefix,
              call->id);
  log_begin (line, event);
  log_str (line, "request", id);
  log_str (line, "target", call->api.target);
}

void
call_log_waiting (struct call *call, bool ready)
{
  struct log_line line;

  begin_line (call, &line, EVENT_REQUEST_WAITING);
  log_str (&line, "why", ready ? "all_busy" : "not_loaded");
  log_int (&line, "priority", call->priority);
  log_double (&line, "deadline_ms",
              to_ms (ts_sub (call->deadline, call_now (call))));
  log_double (&line, "estimate_ms",
              to_ms (ts_sub (call->entry.estimate, call_now (call))));
  log_end (&line);
}

void
call_log_routed (struct call *call, const char *attempt)
{
  struct log_line line;

  begin_line (call, &line, EVENT_REQUEST_ROUTED);
  log_str (&line, "attempt", attempt);
  log_str (&line, "engine", call->engine->id);
  pick_log (&call->explanation, &line);
  log_double (&line, "waited_ms", age_ms (call));
  log_end (&line);
}

void
call_log_done (struct call *call, const struct exchange_result *result)
{
  struct log_line line;

  begin_line (call, &line, EVENT_REQUEST_DONE);
  log_str (&line, "engine", call->engine->id);
  log_int (&line, "status", result->http.status);
  log_int (&line, "error", result->http.error);
  log_int (&line, "attempts", call->dispatches);
  log_int (&line, "events", (int64_t)(call->events + result->events));
  log_double (&line, "first_byte_ms", to_ms (result->first_byte));
  log_double (&line, "total_ms", age_ms (call));
  log_int (&line, "cold", call->cold);
  log_end (&line);
}

void
call_log_refused (const struct call *call, const struct reply_error *error)
{
  struct log_line line;

  begin_line (call, &line, EVENT_REQUEST_REFUSED);
  log_int (&line, "status", error->status);
  log_str (&line, "why", error->type);
  log_int (&line, "not_run", error->not_run);
  log_int (&line, "retry_after_s", error->retry_after_s);
  log_double (&line, "waited_ms", age_ms (call));
  log_int (&line, "attempts", call->dispatches);
  log_end (&line);
}

static void
log_failed (const struct call *call, const struct exchange_result *result)
{
  struct log_line line;

  begin_line (call, &line, EVENT_ATTEMPT_FAILED);
  log_int (&line, "attempt", call->dispatches);
  log_str (&line, "engine", call->engine->id);
  log_str (&line, "error", strerror (-result->http.error));
  log_int (&line, "status", result->http.status);
  log_int (&line, "reused", result->http.reused);
  log_int (&line, "sent", result->http.phase != HTTPC_UNSENT);
  log_double (&line, "after_ms", to_ms (result->duration));
  log_end (&line);
}

void
call_notify_failed (struct call *call, const struct exchange_result *result)
{
  struct msg *msg = msg_new (MSG_ATTEMPT_FAILED);

  log_failed (call, result);
  msg->engine = g_strdup (call->engine->id);
  msg->error = result->http.error;
  msg->ran = result->http.phase != HTTPC_UNSENT;
  call_notify (call, msg);
}

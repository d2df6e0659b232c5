#include "call.h"

#include <ck_pr.h>
#include "call_state.h"
#include "counter.h"
#include "doc.h"
#include "ts.h"
#include "demand_report.h"

#define DEFAULT_DEADLINE_MS 60000

static void
call_free (struct call *call)
{
  for (size_t i = 0; i < call->tried_count; i++)
    route_engine_unref (call->engines[i]);
  route_engine_unref (call->engine);
  g_free (call->version);
  g_string_free (call->recorded_stream, TRUE);
  api_request_clear (&call->api);
  ck_pr_dec_uint (&call->worker->open);
  g_free (call);
}

static void
free_if_done (struct call *call)
{
  if (call->state == STATE_DONE && call->request == NULL
      && call->exchange == NULL)
    call_free (call);
}

static void
cancel_wait (struct call *call)
{
  if (call->entry.queue == NULL)
    return;
  admit_cancel (call->worker->admit, &call->entry);
  demand_report_note (call->worker->demand_report, call->api.target, 0,
                      call->api.kind == API_SERVICE);
}

void
call_finish (struct call *call)
{
  struct worker *worker = call->worker;

  call->state = STATE_DONE;
  loop_timer_clear (worker->loop, &call->deadline_timer);
  loop_timer_clear (worker->loop, &call->retry_timer);
  g_hash_table_remove (worker->calls, &call->id);
  cancel_wait (call);
  free_if_done (call);
}

static void
send_refusal (struct call *call, const struct reply_error *error)
{
  counter_add (COUNTER_REFUSED, 1);
  call_log_refused (call, error);
  if (call->request == NULL)
    return;
  if (call->head_sent)
    httpd_stream_abort (call->request);
  else
    reply_error (call->request, error);
}

void
call_refuse (struct call *call, unsigned status, const char *type,
             const char *why, unsigned retry_after_s)
{
  struct reply_error error = { .status = status,
                               .type = type,
                               .message = why,
                               .not_run = call_not_run (call),
                               .retry_after_s = retry_after_s };

  call_notify_ends (call, NULL);
  send_refusal (call, &error);
  call_finish (call);
}

/* Answers the caller while the attempt continues, because its outcome must
   be recorded.  */
static void
detach_caller (struct call *call)
{
  struct reply_error error = { .status = 504,
                               .type = "deadline",
                               .message = "no answer within the deadline",
                               .retry_after_s = CALL_RETRY_AFTER_S };

  send_refusal (call, &error);
  httpd_set_user (call->request, NULL);
  call->request = NULL;
}

static void
on_deadline (struct loop_timer *timer)
{
  struct call *call
      = (struct call *)((char *)timer
                        - offsetof (struct call, deadline_timer));

  if (call->owns_record && call->exchange != NULL)
    {
      detach_caller (call);
      return;
    }
  call_cancel_attempt (call);
  if (call_not_run (call))
    call_refuse (call, 503, "deadline",
                 "no replica was free within the deadline",
                 CALL_RETRY_AFTER_S);
  else
    call_refuse (call, 504, "deadline", "no answer within the deadline",
                 CALL_RETRY_AFTER_S);
}

void
call_caller_gone (struct call *call)
{
  call->request = NULL;
  if (call->state == STATE_DONE)
    {
      call_free (call);
      return;
    }
  if (call->owns_record && call->exchange != NULL)
    return;
  call_cancel_attempt (call);
  call_notify_ends (call, NULL);
  call_finish (call);
}

void
call_writable (struct call *call)
{
  if (call->exchange != NULL && call->state == STATE_ANSWERING)
    exchange_resume (call->exchange);
}

static void
answer_recorded (struct call *call, const struct msg *msg)
{
  static const char *const headers[] = { "X-Recorded", "true", NULL };

  httpd_respond (call->request, msg->status, msg->content_type, headers,
                 msg->body != NULL ? msg->body : "", msg->length);
  call_finish (call);
}

static void
refuse_outcome_unknown (struct call *call)
{
  struct reply_error error
      = { .status = 409,
          .type = "outcome_unknown",
          .message = "a request with this idempotency key may have run" };

  send_refusal (call, &error);
  call_finish (call);
}

static void
handle_record_verdict (struct call *call, const struct msg *msg)
{
  switch (msg->verdict)
    {
    case MSG_VERDICT_RUN:
      call->owns_record = true;
      call->claim_until = msg->deadline;
      call_route (call);
      return;
    case MSG_VERDICT_RECORDED:
      answer_recorded (call, msg);
      return;
    case MSG_VERDICT_KEY_MISMATCH:
      call_refuse (call, 422, "key_reused",
                   "the idempotency key was used with another request", 0);
      return;
    case MSG_VERDICT_OUTCOME_UNKNOWN:
      refuse_outcome_unknown (call);
      return;
    case MSG_VERDICT_NOT_RUN:
      call_refuse (call, 503, "record_unavailable",
                   "the idempotency record is unavailable",
                   CALL_RETRY_AFTER_S);
      return;
    }
}

static void
handle_suspect_verdict (struct call *call, const struct msg *msg)
{
  call->owns_suspect_run = msg->verdict == MSG_VERDICT_RUN;
  if (call->owns_suspect_run)
    call_route (call);
  else
    call_refuse (call, 422, "suspect",
                 "a backend server was lost while it ran this request", 0);
}

void
call_verdict (struct call *call, const struct msg *msg)
{
  g_hash_table_remove (call->worker->calls, &call->id);
  if (msg->type == MSG_RECORD_VERDICT)
    handle_record_verdict (call, msg);
  else
    handle_suspect_verdict (call, msg);
}

void
call_return_grant (struct worker *worker, const struct msg *msg)
{
  bool record = msg->type == MSG_RECORD_VERDICT;
  struct msg *end = msg_new (record ? MSG_RECORD_END : MSG_SUSPECT_END);

  end->thread = worker->index;
  end->request = msg->request;
  end->target = g_strdup (msg->target);
  end->key = g_strdup (msg->key);
  end->fingerprint = msg->fingerprint;
  worker_notify_reliably (worker, end);
}

/* Reads the priority and idempotency of the call's target from the
   configuration.  False when there is no such target.  */
static bool
read_target (struct call *call, const struct route_table *table)
{
  const char *name = call->api.target;
  const struct route_target *target;
  const struct route_service *service;

  if (call->api.kind == API_COMPLETION)
    {
      target = route_target (table, name);
      if (target == NULL)
        return false;
      call->priority = target->priority;
      call->non_idempotent = target->non_idempotent;
      return true;
    }
  service = route_service (table, name);
  if (service == NULL)
    return false;
  call->priority = service->priority;
  call->non_idempotent
      = service->doc != NULL
        && doc_service_non_idempotent (
            service->doc, httpd_method (call->request), call->api.path);
  return true;
}

static void
set_deadline (struct call *call)
{
  int64_t ms = call->api.deadline_ms;

  if (ms == 0)
    ms = call->worker->options->default_deadline_ms;
  if (ms == 0)
    ms = DEFAULT_DEADLINE_MS;
  call->arrived = call_now (call);
  call->deadline = ts_add_ms (call->arrived, ms);
  call->deadline_timer.fire = on_deadline;
  loop_timer_set (call->worker->loop, &call->deadline_timer, call->deadline);
}

/* The caller finds another node by a lookup.  */
static void
refuse_stopping (struct call *call)
{
  struct reply_error error = { .status = 503,
                               .type = "stopping",
                               .message = "this node is stopping",
                               .not_run = true,
                               .retry_after_s = CALL_RETRY_AFTER_S,
                               .close = true };

  send_refusal (call, &error);
  call_finish (call);
}

static void
start_admission (struct call *call)
{
  if (call->api.priority != API_PRIORITY_UNSET)
    call->priority = (unsigned)call->api.priority;
  call_notify (call, msg_new (MSG_REQUEST));
  if (call->non_idempotent && call->api.key != NULL)
    call_request_verdict (call, MSG_RECORD_BEGIN);
  else
    call_route (call);
}

static void
start_routing (struct call *call)
{
  struct route_reader *reader = call->worker->reader;
  const struct route_table *table;
  bool ready;
  bool known;

  route_reader_begin (reader);
  table = route_read (reader);
  ready = table->ready;
  known = read_target (call, table);
  route_reader_end (reader);
  if (!ready)
    call_refuse (call, 503, "starting", "this node has no configuration yet",
                 CALL_RETRY_AFTER_S);
  else if (!known)
    call_refuse (call, 404, "unknown_target", "no such model or service", 0);
  else
    start_admission (call);
}

void
call_start (struct worker *worker, struct httpd_request *request,
            struct api_request *api)
{
  struct call *call = g_new0 (struct call, 1);
  const char *body;
  size_t n;

  call->worker = worker;
  call->request = request;
  call->api = *api;
  call->id = ++worker->next_id;
  call->recorded_stream = g_string_new (NULL);
  body = httpd_body (request, &n);
  call->prefix = pick_prefix (call->api.target, body, n);
  ck_pr_inc_uint (&worker->open);
  counter_add (COUNTER_REQUESTS, 1);
  httpd_set_user (request, call);
  set_deadline (call);
  ck_pr_fence_memory ();
  if (ck_pr_load_uint (worker->draining) == WORKER_CLOSED)
    refuse_stopping (call);
  else
    start_routing (call);
}

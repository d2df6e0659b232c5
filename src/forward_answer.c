#include <errno.h>
#include <string.h>
#include "counter.h"
#include "forward_state.h"
#include "ts.h"

#define SILENCE_CHECK_MIN_MS 200 /* between looks for a replacement */
#define RETRY_AFTER_MAX_S 60     /* longer ones of other nodes are cut */
#define FULL_RETRY_AFTER_MS 200  /* time for a full server to free a slot */

static void
note_brittle (struct forward *forward)
{
  struct gateway *gateway = forward->gateway;
  const struct caller_response *answer = &forward->answer;
  struct brittle_server server
      = { .id = forward->engine->id, .service = forward->service->name };
  size_t nodes;

  links_members (gateway->links, &nodes);
  brittle_heard (gateway->brittle, &server, answer->notice.brittle_per_s,
                 answer->not_run && !answer->not_available, nodes,
                 forward->first_at);
}

static void
parse_response_head (struct forward *forward, long status)
{
  struct gateway *gateway = forward->gateway;

  if (forward->head_parsed)
    return;
  forward->head_parsed = true;
  forward->first_at = forward_now (forward);
  forward->heard_at = forward->first_at;
  patience_served (gateway_patience (gateway, forward->route->name),
                   ts_sub (forward->first_at, forward->arrived),
                   forward->first_at);
  gateway->options.caller->ops->interpret (gateway->options.caller,
                                           forward->call, status,
                                           &forward->parsed, &forward->answer);
  if (forward->to_peer)
    {
      forward_note_relayed (forward);
      return;
    }
  cutoff_heard (forward_cutoff (forward), forward->engine->id,
                forward->first_at);
  forward_note_alive (forward);
  if (!forward->answer.not_available && !forward->engine->gone)
    listing_server_notice (gateway->listing, forward->engine->id,
                           &forward->answer.notice);
  forward->answer.notice.sent_at = forward->sent_at;
  if (forward->answer.id_matches)
    {
      note_brittle (forward);
      ratelimits_heard (gateway->ratelimits, forward->engine->id,
                        &forward->answer.notice);
    }
  if (forward->answer.has_load)
    servers_report_load (listing_servers (gateway->listing),
                         forward->engine->id, forward->answer.running,
                         forward->answer.queued, forward->first_at);
  servers_report_pace (listing_servers (gateway->listing), forward->engine->id,
                       forward->answer.pace, forward->first_at);
}

/* After a response to another request, the response to this one is still due
   on the connection.  A refusal without an id is believed, but a late copy of
   it would be taken for the response to the next request; if its connection is
   not used again, each such refusal is the first one on its own.  */
bool
forward_may_reuse (void *user, long status)
{
  struct forward *forward = user;
  const struct caller *caller = forward->gateway->options.caller;
  struct caller_response answer;

  caller->ops->interpret (caller, forward->call, status, &forward->parsed,
                          &answer);
  return answer.names_request;
}

/* Whether the server itself generated the response, for this request.  Only
   such a response may be passed on.  */
static bool
is_authentic (const struct forward *forward)
{
  return forward->answer.id_matches && forward->answer.signed_by_server;
}

struct header_copy
{
  struct forward *forward;
  GPtrArray *headers; /* name, value, ..., NULL; owned */
};

static void
copy_header (void *user, const char *name, const char *value)
{
  struct header_copy *header_copy = user;
  const struct caller *caller = header_copy->forward->gateway->options.caller;

  if (g_ascii_strcasecmp (name, "Content-Type") == 0
      || !caller->ops->is_forwarded (caller, name))
    return;
  g_ptr_array_add (header_copy->headers, g_strdup (name));
  g_ptr_array_add (header_copy->headers, g_strdup (value));
}

static GPtrArray *
copy_response_headers (struct forward *forward)
{
  struct header_copy header_copy = { .forward = forward };

  header_copy.headers = g_ptr_array_new_with_free_func (g_free);
  httpc_each_header (forward->call, copy_header, &header_copy);
  if (forward_tells_origin (forward))
    {
      g_ptr_array_add (header_copy.headers, g_strdup (CALLER_RELAY_HEADER));
      g_ptr_array_add (header_copy.headers, forward_relay_answer (forward));
    }
  if (forward->gateway->core->draining)
    {
      g_ptr_array_add (header_copy.headers, g_strdup ("Connection"));
      g_ptr_array_add (header_copy.headers, g_strdup ("close"));
    }
  g_ptr_array_add (header_copy.headers, NULL);
  return header_copy.headers;
}

static void
begin_stream (struct forward *forward, long status, const char *type)
{
  GPtrArray *headers;

  forward->streaming = true;
  if (forward->head_sent)
    return;
  forward->head_sent = true;
  forward_record_origin (forward);
  headers = copy_response_headers (forward);
  httpd_stream_begin (forward->request, (unsigned)status, type,
                      (const char *const *)headers->pdata);
  g_ptr_array_unref (headers);
}

bool
forward_on_head (void *user, long status, const char *content_type)
{
  struct forward *forward = user;

  parse_response_head (forward, status);
  if (status == 200 && is_authentic (forward) && forward->request != NULL
      && sse_is_stream (content_type) && forward_continues_origin (forward))
    begin_stream (forward, status, content_type);
  return forward->streaming;
}

static int
write_to_caller (void *user, const char *bytes, size_t n)
{
  struct forward *forward = user;

  if (forward->request == NULL)
    return -ECANCELED;
  return httpd_stream_write (forward->request, bytes, n);
}

void
forward_on_received (void *user)
{
  struct forward *forward = user;
  struct gateway *gateway = forward->gateway;

  forward->heard_at = forward_now (forward);
  reach_heard (gateway->reach, forward->engine->id, forward->heard_at);
  if (!forward->to_peer)
    cutoff_heard (forward_cutoff (forward), forward->engine->id,
                  forward->heard_at);
  forward->silent = false;
  if (!forward->suspected)
    return;
  forward->suspected = false;
  eject_resumed (gateway->eject, forward->engine->id);
}

int
forward_on_bytes (void *user, const char *bytes, size_t n)
{
  struct forward *forward = user;
  uint64_t before = forward->sse.events;
  int err;

  err = sse_forward (&forward->sse, forward->buffer, bytes, n, write_to_caller,
                     forward);
  if (forward->sse.events > before)
    {
      forward->can_resume = forward->sse.has_id;
      forward->last_event = forward->sse.last_id;
    }
  if (before == 0 && forward->sse.events > 0 && !forward->to_peer)
    {
      forward_pace_first_event (forward);
      forward_note_answer (forward);
    }
  return err;
}

/* Empty lines after the last event are part of the response too.  The stream
   is aborted if they do not fit into the caller's output buffer.  */
static void
end_stream (struct forward *forward)
{
  const GString *rest = forward->buffer;

  if (rest->len > 0
      && httpd_stream_write (forward->request, rest->str, rest->len) < 0)
    httpd_stream_abort (forward->request);
  else
    httpd_stream_end (forward->request);
}

/* What the request took of the engine's time.  */
static void
note_request_time (const struct forward *forward)
{
  struct gateway *gateway = forward->gateway;
  const struct server *server
      = servers_find (listing_servers (gateway->listing), forward->engine->id);
  struct reqtime_sample sample
      = { .prompt_tokens = forward->parsed.prompt_tokens,
          .duration_s
          = ts_to_s (ts_sub (forward_now (forward), forward->sent_at)),
          .slots = server != NULL ? server->slots : 0 };

  if (forward->target != NULL && !forward->to_peer)
    planners_request_ended (gateway->planners, forward->service->name,
                            &sample);
}

static void
finish (struct forward *forward, const struct httpc_result *result,
        GPtrArray *headers)
{
  struct gateway *gateway = forward->gateway;

  forward_log_done (forward, result);
  if (result->status < FORWARD_SERVER_ERROR)
    duration_add (gateway_duration (gateway, forward->route->name),
                  ts_sub (forward_now (forward), forward->sent_at));
  note_request_time (forward);
  for (size_t i = 0; !forward->to_peer && i < forward->parsed.part_count; i++)
    pick_cached (gateway->pick, forward->engine, forward->parsed.parts[i],
                 forward_now (forward));
  if (forward->request != NULL && forward->streaming)
    end_stream (forward);
  else if (forward->request != NULL)
    httpd_respond (forward->request, (unsigned)result->status,
                   result->content_type, (const char *const *)headers->pdata,
                   result->body, result->length);
  forward_finish (forward);
}

/* The connection timed out, but that is no evidence against the server: it
   was reused, or is replaced by a new one.  */
static bool
connection_stalled (const struct forward *forward,
                    const struct httpc_result *result)
{
  return forward->replacement == forward->engine
         || (result->error == -ETIMEDOUT && result->reused
             && result->phase < HTTPC_RESPONDING);
}

/* Whether another instance has answered at the server's address.  A model
   engine may also lack the model.  */
static bool
was_replaced (const struct forward *forward)
{
  return forward->answer.not_available && forward->target == NULL;
}

static void
update_server_health (struct forward *forward,
                      const struct httpc_result *result, bool refusal)
{
  struct gateway *gateway = forward->gateway;
  struct timespec now = forward_now (forward);
  const char *id = forward->engine->id;
  bool healthy = refusal
                 || (result->error == 0
                     && (is_authentic (forward) || forward->to_peer));

  if (connection_stalled (forward, result))
    {
      reach_stalled (gateway->reach, id, now);
      eject_abandon (gateway->eject, id);
      return;
    }
  eject_end (gateway->eject, id, healthy, now);
  if (result->error != 0 && result->phase == HTTPC_UNSENT && !forward->to_peer)
    {
      cutoff_failed (forward_cutoff (forward), id, forward->sent_at);
      gateway_check_cutoff (gateway, forward->service->name);
    }
  if ((result->error != 0 && result->phase == HTTPC_UNSENT)
      || (refusal && was_replaced (forward)))
    reach_connect_failed (gateway->reach, id, now);
  else if (result->error == 0)
    reach_answered (gateway->reach, id,
                    ts_sub (forward->first_at, forward->sent_at), now);
}

static bool
may_retry (const struct forward *forward)
{
  if (forward->request == NULL || forward->attempts_unknown
      || forward->count >= forward_attempts_max (forward)
      || forward_sendings (forward) >= FORWARD_DISPATCHES_MAX)
    return false;
  if (!site_idempotent (forward->route))
    return false;
  return !forward->head_sent || forward->can_resume;
}

/* Whether perhaps only the connection of the attempt is dead, not the
   server, and the server may be sent the request again.  */
static bool
is_connection_suspect (struct forward *forward)
{
  return (!forward->head_parsed
          || reach_heard_since (forward->gateway->reach, forward->engine->id,
                                forward->heard_at, forward_now (forward)))
         && forward_engine_is_replica (forward)
         && forward_limit_allows (forward, forward->engine->id);
}

/* A server, or a node if this one cannot reach any.  */
static struct route_engine *
pick_other (struct forward *forward)
{
  const struct cutoff *cutoff = forward_cutoff (forward);
  bool cut_off = cutoff_all (cutoff, forward_now (forward));
  struct route_engine *other = NULL;

  if (!cut_off)
    other = forward_pick_other (forward);
  if (other == NULL
      && (cut_off
          || cutoff_server (cutoff, forward->engine->id,
                            forward_now (forward))))
    other = forward_pick_peer (forward);
  return other;
}

/* Sets forward->replacement unless the attempt is to go on.  */
static enum stall_action
replace_silent (struct forward *forward)
{
  struct gateway *gateway = forward->gateway;
  const char *service = forward->service->name;
  struct stall stall
      = { .may_retry
          = may_retry (forward) && retry_available (gateway->retry, service) };
  struct route_engine *other = stall.may_retry ? pick_other (forward) : NULL;
  enum stall_action action;

  stall.other_ready = other != NULL;
  stall.connection_suspect = is_connection_suspect (forward);
  action = stall_decide (&stall);
  if (action == STALL_MOVE)
    forward->replacement = other;
  else if (action == STALL_RECONNECT)
    forward->replacement = route_engine_ref (forward->engine);
  if (action != STALL_WAIT)
    retry_withdraw (gateway->retry, service);
  return action;
}

/* The server may be about to fail, so that new requests avoid it.  */
static void
suspect_server (struct forward *forward)
{
  forward->suspected = true;
  eject_suspect (forward->gateway->eject, forward->engine->id,
                 forward_now (forward));
}

int64_t
forward_on_silence (void *user)
{
  struct forward *forward = user;
  enum stall_action action = replace_silent (forward);

  if (action != STALL_WAIT || !forward->silent)
    forward_log_silent (forward, action);
  if (action != STALL_WAIT)
    return 0;
  if (forward->head_parsed && !forward->suspected)
    suspect_server (forward);
  forward->silent = true;
  return MAX (forward->route->gap_ms, SILENCE_CHECK_MIN_MS);
}

/* Ends the silent attempt in favour of its replacement.  */
static void
start_replacement (struct forward *forward)
{
  struct route_engine *engine = forward->replacement;

  forward->replacement = NULL;
  forward->moved = true;
  counter_add (COUNTER_RETRIES, 1);
  if (engine != forward->engine)
    forward_mark_tried (forward);
  forward_dispatch (forward, engine);
}

/* Nothing was sent to the server: tries other servers, or the same one later.
   Such attempts do not use the retry budget, because they put no load on
   any server.  */
static void
retry_unsent (struct forward *forward)
{
  forward->count--;
  forward->dispatches--;
  forward->attempts_unknown = false;
  if (forward->request == NULL)
    forward_finish (forward);
  else
    forward_route (forward);
}

/* The server did not run the request: another one is tried if the retry
   budget permits.  */
static void
retry_refused (struct forward *forward, const char *why)
{
  struct gateway *gateway = forward->gateway;

  forward->count--;
  if (forward->answer.not_available && forward->target != NULL)
    servers_report_missing (listing_servers (gateway->listing),
                            forward->engine->id, forward->target,
                            forward_now (forward));
  else
    forward_mark_tried (forward);
  if (forward->request == NULL)
    forward_finish (forward);
  else if (forward_sendings (forward) < FORWARD_DISPATCHES_MAX
           && retry_withdraw (gateway->retry, forward->service->name))
    {
      counter_add (COUNTER_RETRIES, 1);
      forward_route (forward);
    }
  else if (forward_sendings (forward) < FORWARD_DISPATCHES_MAX
           && forward->moved && forward->head_sent)
    {
      /* The stream's former server may be sound: it is not cut for want of
         budget.  */
      forward->retry_due = true;
      forward_route (forward);
    }
  else
    forward_fail (forward, why,
                  MAX (forward_ready_in_ms (forward), FULL_RETRY_AFTER_MS));
}

/* A node that has responded is sound, whatever its server did.  */
static void
mark_failed (struct forward *forward)
{
  if (!forward->to_peer || !forward->head_parsed)
    forward_mark_tried (forward);
}

void
forward_retry_or_fail (struct forward *forward, const char *why)
{
  struct gateway *gateway = forward->gateway;

  if (may_retry (forward)
      && retry_withdraw (gateway->retry, forward->service->name))
    {
      counter_add (COUNTER_RETRIES, 1);
      mark_failed (forward);
      forward_route (forward);
    }
  else
    forward_fail (forward, why, 0);
}

/* Whether to retry a complete response with a server-error status at
   another server.  If so, takes one retry from the budget.  */
static bool
retry_server_error (const struct forward *forward,
                    const struct httpc_result *result)
{
  return result->status >= FORWARD_SERVER_ERROR && !forward->head_sent
         && may_retry (forward)
         && retry_withdraw (forward->gateway->retry, forward->service->name);
}

static void
handle_complete_answer (struct forward *forward,
                        const struct httpc_result *result, GPtrArray *headers)
{
  if (!is_authentic (forward))
    forward_retry_or_fail (
        forward, "the response is unsigned or belongs to another request");
  else if (forward->head_sent && !forward->streaming)
    forward_retry_or_fail (
        forward, "the response to the resumed request is not a stream");
  else if (forward->answer.implies_not_run)
    forward_retry_or_fail (forward,
                           "the status says \"not run\", the server does not");
  else if (retry_server_error (forward, result))
    {
      counter_add (COUNTER_RETRIES, 1);
      mark_failed (forward);
      forward_route (forward);
    }
  else
    finish (forward, result, headers);
}

/* Whether the events of a response with complete framing are not complete.  */
static bool
is_stream_truncated (const struct forward *forward,
                     const struct httpc_result *result)
{
  const char *rest = forward->buffer->str;
  size_t length = forward->buffer->len;

  if (!forward->streaming && result->body != NULL
      && sse_is_stream (result->content_type))
    {
      struct sse sse;
      int64_t events_length;

      sse_init (&sse, false);
      events_length = sse_scan (&sse, result->body, result->length);
      if (events_length < 0)
        return true;
      rest = result->body + events_length;
      length = result->length - (size_t)events_length;
    }
  return sse_is_truncated (rest, length);
}

/* Whether a stream without length and chunks has no event: its server may have
   failed before the first one.  */
static bool
is_stream_empty (const struct forward *forward,
                 const struct httpc_result *result)
{
  return result->until_close && sse_is_stream (result->content_type)
         && forward->sse.events == 0 && result->length == 0;
}

/* 0 only for a response that is complete.  */
static int
response_error (const struct forward *forward,
                const struct httpc_result *result)
{
  if (result->error == 0
      && (is_stream_truncated (forward, result)
          || is_stream_empty (forward, result)))
    return -EPIPE;
  return result->error;
}

/* Of a response that a node has made itself.  */
static struct forward_peer_answer
read_peer_answer (const struct forward *forward,
                  const struct httpc_result *result)
{
  struct forward_peer_answer answer = { .status = result->status };
  const char *text;

  if (result->status == 0)
    return answer;
  text = httpc_response_header (forward->call, "Retry-After");
  if (text != NULL)
    answer.retry_ms = ts_to_ms (
        ts_from_s (CLAMP (g_ascii_strtod (text, NULL), 0, RETRY_AFTER_MAX_S)));
  return answer;
}

static void
handle_result (struct forward *forward, const struct httpc_result *result)
{
  GPtrArray *headers;
  struct forward_peer_answer peer_answer;
  bool refusal;

  if (result->head_ended)
    parse_response_head (forward, result->status);
  headers = copy_response_headers (forward);
  peer_answer = read_peer_answer (forward, result);
  forward->call = NULL;
  forward_pace_end (forward, result->error == 0);
  forward_end_in_flight (forward);
  refusal = result->error == 0 && forward->head_parsed
            && forward->answer.not_run && forward->answer.id_matches
            && !forward->to_peer;
  attempt_finish (&forward->attempts[forward->count - 1], result, refusal);
  update_server_health (forward, result, refusal);
  if (!forward->to_peer)
    forward_note_end (forward, result, refusal);
  if (result->error != 0 || refusal)
    forward_log_failed (forward, result);
  gateway_dispatch_soon (forward->gateway);
  if (forward->replacement != NULL)
    start_replacement (forward);
  else if (refusal)
    retry_refused (forward, "no server has room");
  else if (result->error != 0 && result->phase == HTTPC_UNSENT)
    retry_unsent (forward);
  else if (result->error == 0 && forward->to_peer && !is_authentic (forward))
    forward_on_peer_answer (forward, &peer_answer);
  else if (result->error == 0)
    handle_complete_answer (forward, result, headers);
  else
    forward_retry_or_fail (forward, "no complete response from the server");
  g_ptr_array_unref (headers);
}

void
forward_on_done (void *user, const struct httpc_result *result)
{
  struct forward *forward = user;
  struct httpc_result checked = *result;

  checked.error = response_error (forward, result);
  handle_result (forward, &checked);
}

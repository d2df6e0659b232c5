#include "forward.h"

#include <string.h>
#include "counter.h"
#include "forward_state.h"
#include "lookup.h"
#include "ts.h"

#define STARTING_RETRY_MS 500 /* time to obtain the configuration */
#define CONFIG_RETRY_MS 500   /* time for a newer configuration to arrive */
#define STOPPING_RETRY_MS 20  /* another node can take the request at once */
#define STATUS_UNAUTHORIZED 401
#define DEFAULT_TIMEOUT_MS 60000 /* when neither caller nor route sets one */

static void
forward_free (struct forward *forward)
{
  for (size_t i = 0; i < forward->tried_count; i++)
    route_engine_unref (forward->engines[i]);
  route_engine_unref (forward->engine);
  route_engine_unref (forward->replacement);
  caller_request_clear (&forward->parsed);
  site_unref (forward->site);
  g_string_free (forward->buffer, TRUE);
  forward_limits_free (forward);
  if (forward->features != NULL)
    g_array_unref (forward->features);
  forward_relay_free (forward);
  g_free (forward->target);
  g_free (forward->software);
  TAILQ_REMOVE (&forward->gateway->open_requests, forward, open_link);
  forward->gateway->open--;
  g_free (forward);
}

static void
free_if_done (struct forward *forward)
{
  if (forward->state == FORWARD_DONE && forward->request == NULL
      && forward->call == NULL)
    forward_free (forward);
}

void
forward_finish (struct forward *forward)
{
  forward_dequeue (forward);
  forward_end_quota (forward);
  forward_limits_unwant (forward);
  origins_cancel (&forward->origin_query);
  forward->state = FORWARD_DONE;
  loop_timer_clear (forward->gateway->core->loop, &forward->deadline_timer);
  free_if_done (forward);
}

static void
send_refusal (struct forward *forward, unsigned status, const char *why,
              int64_t retry_ms)
{
  const char *headers[9] = { NULL };
  char seconds[32];
  size_t n = 0;
  char *relay = forward->unreached || forward_tells_origin (forward)
                    ? forward_relay_answer (forward)
                    : NULL;
  char *text = g_strdup_printf ("{\"error\":\"%s\"}\n", why);

  if (retry_ms > 0)
    {
      g_snprintf (seconds, sizeof seconds, "%.3f",
                  (double)retry_ms / (double)TS_MS_PER_S);
      headers[n++] = "Retry-After";
      headers[n++] = seconds;
    }
  if (status == STATUS_UNAUTHORIZED)
    {
      headers[n++] = "WWW-Authenticate";
      headers[n++] = "Bearer";
    }
  if (relay != NULL)
    {
      headers[n++] = CALLER_RELAY_HEADER;
      headers[n++] = relay;
    }
  if (forward->gateway->core->draining)
    {
      headers[n++] = "Connection";
      headers[n++] = "close";
    }
  httpd_respond (forward->request, status, "application/json", headers, text,
                 strlen (text));
  g_free (text);
  g_free (relay);
}

void
forward_refuse (struct forward *forward, unsigned status, const char *why,
                int64_t retry_ms)
{
  counter_add (COUNTER_REFUSED, 1);
  forward_note_refused (forward);
  forward_log_refused (forward, status, why, retry_ms);
  if (forward->request != NULL && forward->head_sent)
    httpd_stream_abort (forward->request);
  else if (forward->request != NULL)
    send_refusal (forward, status, why, retry_ms);
  forward_finish (forward);
}

void
forward_fail (struct forward *forward, const char *why, int64_t retry_ms)
{
  if (forward_not_run (forward))
    forward_refuse (forward, 503, why, retry_ms);
  else
    forward_refuse (forward, 502, why, 0);
}

static void
on_deadline (struct loop_timer *timer)
{
  struct forward *forward
      = (struct forward *)((char *)timer
                           - offsetof (struct forward, deadline_timer));

  forward_cancel (forward);
  if (forward_not_run (forward))
    forward_refuse (forward, 503, "no server was free in time", 0);
  else
    forward_refuse (forward, 504,
                    forward->head_sent ? "the stream did not end in time"
                                       : "no answer in time",
                    0);
}

static void
end_request (struct forward *forward)
{
  forward_cancel (forward);
  if (forward_not_run (forward))
    forward_refuse (forward, 503, "stopping", STOPPING_RETRY_MS);
  else
    forward_refuse (forward, 504, "this node stops", 0);
}

void
forward_end_all (struct gateway *gateway)
{
  struct forward *forward;
  struct forward *next;

  for (forward = TAILQ_FIRST (&gateway->open_requests); forward != NULL;
       forward = next)
    {
      next = TAILQ_NEXT (forward, open_link);
      if (forward->state != FORWARD_DONE)
        end_request (forward);
    }
}

/* What a relayed request's caller does is seen by the node that relayed it. */
static void
note_gone (struct forward *forward)
{
  struct timespec now = forward_now (forward);

  if (forward->route != NULL && !forward->relayed && !forward->head_sent
      && !forward->head_parsed)
    patience_left (gateway_patience (forward->gateway, forward->route->name),
                   ts_sub (now, forward->arrived), now);
}

void
forward_caller_gone (struct forward *forward)
{
  forward->request = NULL;
  if (forward->state != FORWARD_DONE)
    {
      forward_log_gone (forward);
      note_gone (forward);
      forward_cancel (forward);
      forward_finish (forward);
    }
  else
    free_if_done (forward);
}

void
forward_writable (struct forward *forward)
{
  if (forward->call != NULL && forward->streaming)
    httpc_unpause (forward->call);
}

static void
refuse_bad_request (struct forward *forward, unsigned status, const char *why)
{
  struct log_line line;

  counter_add (COUNTER_BAD_INPUT, 1);
  log_begin (&line, EVENT_BAD_REQUEST);
  log_str (&line, "method", httpd_method (forward->request));
  log_str (&line, "path", httpd_path (forward->request));
  log_str (&line, "why", why);
  log_end (&line);
  forward_refuse (forward, status, why, 0);
}

static void
set_deadline (struct forward *forward)
{
  int64_t ms = forward->route->timeout_ms;

  if (forward->parsed.deadline_ms > 0
      && (ms <= 0 || forward->parsed.deadline_ms < ms))
    ms = forward->parsed.deadline_ms;
  if (ms <= 0)
    ms = DEFAULT_TIMEOUT_MS;
  forward->deadline = ts_add_ms (forward->arrived, ms);
  forward->deadline_timer.fire = on_deadline;
  loop_timer_set (forward->gateway->core->loop, &forward->deadline_timer,
                  forward->deadline);
}

/* Whether a configuration that this node does not have may have the route.  */
static bool
may_be_routed (const struct forward *forward)
{
  const struct gateway *gateway = forward->gateway;

  return forward->route != NULL
         || !listing_config_is_current (gateway->listing,
                                        gateway->options.config_ms);
}

/* Callers do not repeat a request after 404, but do after 503.  The log tells
   which version of the configuration the request was judged by, and how old
   that was.  */
static void
refuse_unknown_route (struct forward *forward)
{
  const char *why
      = forward->route == NULL ? "no such route" : "no service for the route";
  const struct listing *listing = forward->gateway->listing;
  struct log_line line;

  counter_add (COUNTER_BAD_INPUT, 1);
  log_begin (&line, EVENT_BAD_REQUEST);
  log_str (&line, "method", httpd_method (forward->request));
  log_str (&line, "path", httpd_path (forward->request));
  log_str (&line, "why", why);
  log_str (&line, "request", forward->parsed.id);
  log_int (&line, "version", (int64_t)forward->site->version);
  log_int (&line, "in_force_ms", listing_config_in_force_ms (listing));
  log_int (&line, "read_ms", listing_config_read_ms (listing));
  log_int (&line, "told_ms", listing_peer_config_age_ms (listing));
  log_end (&line);
  if (may_be_routed (forward))
    forward_refuse (forward, 503, why, CONFIG_RETRY_MS);
  else
    forward_refuse (forward, 404, why, 0);
}

/* Requests with the same prompt are routed to the same service.  */
static uint64_t
affinity_key (const struct forward *forward)
{
  const struct caller_request *parsed = &forward->parsed;

  if (parsed->part_count > 0)
    return parsed->parts[parsed->part_count - 1];
  return lookup_weight (parsed->id != NULL ? parsed->id : "", "", 0);
}

static bool
find_service (struct forward *forward)
{
  const char *name = site_split (forward->route, affinity_key (forward));

  if (name != NULL)
    forward->service = site_service (forward->site, name);
  if (forward->service == NULL)
    return false;
  if (forward->service->engines && forward->parsed.model != NULL)
    forward->target
        = servers_target (forward->parsed.model, forward->parsed.adapter);
  return true;
}

static char *
path_of (const struct httpd_request *request)
{
  const char *uri = httpd_uri (request);

  return g_strndup (uri, strcspn (uri, "?"));
}

const struct site_route *
forward_find_route (const struct site *site,
                    const struct httpd_request *request)
{
  const char *host = httpd_header (request, "Host");
  char *path = path_of (request);
  const struct site_route *route
      = site_route (site, host != NULL ? host : "", path);

  g_free (path);
  return route;
}

/* A request that finds no route, or has no valid key, is refused whatever its
   body is, see accept_request.  */
bool
forward_wants_body (struct gateway *gateway,
                    const struct httpd_request *request)
{
  struct site *site = listing_site (gateway->listing);

  return site == NULL
         || (forward_find_route (site, request) != NULL
             && !forward_key_fault (gateway, request));
}

static struct drain_request
drain_request (const struct forward *forward)
{
  struct gateway *gateway = forward->gateway;
  struct drain_request request = { .deadline = forward->deadline };

  if (gateway->core->draining)
    request.usual
        = duration_usual (gateway_duration (gateway, forward->route->name));
  return request;
}

static bool
accepts_now (const struct forward *forward)
{
  struct drain_request request = drain_request (forward);

  return drain_accepts (&forward->gateway->drain, &request, forward->arrived);
}

bool
forward_may_send (const struct forward *forward)
{
  struct drain_request request = drain_request (forward);

  return drain_may_send (&forward->gateway->drain, &request,
                         forward_now (forward));
}

/* A request that this node was the first to get.  */
static void
note_arrival (const struct forward *forward)
{
  const struct demand_kind kind
      = { .priority = forward_priority (forward),
          .objective_ms = forward->route->objective_ms,
          .gap_ms
          = forward->route->kind == SITE_STREAM ? forward->route->gap_ms : 0,
          .prompt_tokens
          = MIN (forward->parsed.prompt_tokens, FORWARD_PROMPT_TOKENS_MAX),
          .shared_tokens
          = MIN (forward->parsed.shared_tokens, FORWARD_PROMPT_TOKENS_MAX),
          .answer_tokens
          = MIN (forward->parsed.answer_tokens, FORWARD_ANSWER_TOKENS_MAX) };

  planners_request_arrived (forward->gateway->planners, forward->service->name,
                            forward->target, &kind);
}

void
forward_send_accepted (struct forward *forward)
{
  if (forward->target != NULL && !forward->relayed)
    note_arrival (forward);
  if (forward->parsed.resumes && forward->route->kind == SITE_STREAM)
    forward_resume (forward);
  else
    forward_route (forward);
}

static void
accept_request (struct forward *forward)
{
  struct gateway *gateway = forward->gateway;
  const char *why = "";

  if (gateway->options.caller->ops->read (
          gateway->options.caller, forward->request, &forward->parsed, &why)
      < 0)
    {
      refuse_bad_request (forward, 400, why);
      return;
    }
  if (!drain_is_open (&gateway->drain, forward->arrived))
    {
      forward_refuse (forward, 503, "stopping", STOPPING_RETRY_MS);
      return;
    }
  if (listing_site (gateway->listing) == NULL)
    {
      forward_refuse (forward, 503, "starting", STARTING_RETRY_MS);
      return;
    }
  forward_set_relayed (forward);
  forward->site = site_ref (listing_site (gateway->listing));
  if (forward_versions_differ (forward))
    {
      forward_refuse (forward, 503,
                      "the nodes have different versions of the configuration",
                      STARTING_RETRY_MS);
      return;
    }
  forward->route = forward_find_route (forward->site, forward->request);
  if (forward->route == NULL || !find_service (forward))
    {
      refuse_unknown_route (forward);
      return;
    }
  if (forward_reject_key (forward))
    return;
  /* The route or the key has come since the head was read.  */
  if (httpd_body_dropped (forward->request))
    {
      forward_refuse (forward, 503, "the configuration has changed",
                      CONFIG_RETRY_MS);
      return;
    }
  set_deadline (forward);
  if (!accepts_now (forward))
    {
      forward_refuse (forward, 503, "stopping", STOPPING_RETRY_MS);
      return;
    }
  forward_set_features (forward);
  if (forward_reject_quarantined (forward))
    return;
  if (forward_take_quota (forward))
    forward_send_accepted (forward);
}

void
forward_start (struct gateway *gateway, struct httpd_request *request)
{
  struct forward *forward = g_new0 (struct forward, 1);

  forward->gateway = gateway;
  forward->request = request;
  forward->buffer = g_string_new (NULL);
  forward->arrived = forward_now (forward);
  TAILQ_INSERT_TAIL (&gateway->open_requests, forward, open_link);
  gateway->open++;
  counter_add (COUNTER_REQUESTS, 1);
  httpd_set_user (request, forward);
  accept_request (forward);
}

#include <string.h>
#include "counter.h"
#include "delay.h"
#include "forward_state.h"
#include "ts.h"

#define DEFAULT_RETRY_AFTER_MS 300 /* when no better estimate is known */
#define URGENCY_MAX 9
#define URGENCY_PER_PRIORITY 2 /* step from one route priority to the next */
#define URGENCY_BASE 2         /* of route priority 0 */
/* A stream without an event for this many target gaps is considered dead.  */
#define STREAM_IDLE_GAPS 4
#define STREAM_IDLE_MIN_MS 1500 /* sound servers pause for a second or so */
#define PEER_CONNECT_TIMEOUT_MS 300 /* nodes are near each other */

/* Adds CHANGE to the number of requests that wait for the target, and
   informs the planners.  */
static void
add_to_waiting_count (struct forward *forward, int change)
{
  struct gateway *gateway = forward->gateway;
  const char *service = forward->service->name;
  char *key;
  int n;

  if (forward->target == NULL)
    return;
  key = g_strdup_printf ("%s %s\n%s", service, forward->target,
                         forward->software != NULL ? forward->software : "");
  n = GPOINTER_TO_INT (g_hash_table_lookup (gateway->waiting_for, key))
      + change;
  planners_set_waiting (gateway->planners, service, forward->target,
                        forward->software, (unsigned)n, forward->deadline,
                        forward_waiting_priority (forward));
  if (n > 0)
    g_hash_table_replace (gateway->waiting_for, key, GINT_TO_POINTER (n));
  else
    {
      g_hash_table_remove (gateway->waiting_for, key);
      g_free (key);
    }
}

static bool
is_more_urgent (const struct forward *a, const struct forward *b)
{
  if (forward_priority (a) != forward_priority (b))
    return forward_priority (a) < forward_priority (b);
  return ts_before (a->deadline, b->deadline);
}

static void
enqueue (struct forward *forward, struct timespec ready_at)
{
  struct gateway *gateway = forward->gateway;
  struct forward *at;

  if (forward->state == FORWARD_WAITING)
    return;
  forward->state = FORWARD_WAITING;
  TAILQ_FOREACH (at, &gateway->waiting, link)
    {
      if (is_more_urgent (forward, at))
        break;
    }
  if (at != NULL)
    TAILQ_INSERT_BEFORE (at, forward, link);
  else
    TAILQ_INSERT_TAIL (&gateway->waiting, forward, link);
  counter_add (COUNTER_WAITING, 1);
  forward_fair_wait (forward);
  forward_log_waiting (forward, ready_at);
  add_to_waiting_count (forward, 1);
  gateway_dispatch_later (gateway);
}

void
forward_dequeue (struct forward *forward)
{
  if (forward->state != FORWARD_WAITING)
    return;
  TAILQ_REMOVE (&forward->gateway->waiting, forward, link);
  forward->state = FORWARD_NEW;
  counter_add (COUNTER_WAITING, -1);
  forward_fair_end_wait (forward);
  add_to_waiting_count (forward, -1);
}

/* Hash of the prefix used for cache affinity: the prompt without its last
   part, the longest prefix that a server may already hold in its cache.  */
static uint64_t
affinity_prefix (const struct forward *forward)
{
  const struct caller_request *parsed = &forward->parsed;

  if (parsed->part_count == 0)
    return 0;
  return parsed->parts[parsed->part_count > 1 ? parsed->part_count - 2 : 0];
}

/* Whether a server is not to get a request now, other than for its limit.  */
static bool
is_excluded (struct forward *forward, const struct route_replica *replica,
             size_t nodes)
{
  const struct gateway *gateway = forward->gateway;
  const struct route_engine *engine = replica->engine;
  struct timespec now = forward_now (forward);
  struct brittle_server server = { .id = engine->id,
                                   .service = forward->service->name,
                                   .slots = replica->slots,
                                   .in_flight = engine->inflight };

  return cutoff_server (forward_cutoff (forward), engine->id, now)
         || !brittle_may_send (gateway->brittle, &server, nodes, now)
         || reach_backing_off (gateway->reach, engine->id, now);
}

/* Ids, borrowed, of servers that must not be used now: those already tried,
   those that refuse connections or are cut off from this node, brittle ones
   that have enough, and the one of the attempt in progress.  */
static GPtrArray *
excluded_replicas (struct forward *forward, const GArray *replicas,
                   size_t *nodes)
{
  GPtrArray *ids = g_ptr_array_new ();

  links_members (forward->gateway->links, nodes);
  if (forward->call != NULL)
    g_ptr_array_add (ids, forward->engine->id);
  for (size_t i = 0; i < forward->tried_count; i++)
    g_ptr_array_add (ids, (gpointer)forward->tried[i]);
  for (guint i = 0;
       forward->tried_elsewhere != NULL && i < forward->tried_elsewhere->len;
       i++)
    g_ptr_array_add (ids, g_ptr_array_index (forward->tried_elsewhere, i));
  for (guint i = 0; i < replicas->len; i++)
    {
      const struct route_replica *replica
          = &g_array_index (replicas, struct route_replica, i);

      if (is_excluded (forward, replica, *nodes))
        g_ptr_array_add (ids, replica->engine->id);
    }
  return ids;
}

/* The engine of the replica that REQUEST goes to, borrowed, or NULL.  */
static struct route_engine *
pick_one (struct forward *forward, const struct pick_request *request)
{
  ptrdiff_t at = pick_replica (forward->gateway->pick, request,
                               forward_now (forward), &forward->explanation);

  if (at < 0
      || !pick_may_send (&forward->explanation, forward->target != NULL))
    return NULL;
  return request->replicas[at].engine;
}

/* A new reference to the engine of the server to use now, or NULL.  */
static struct route_engine *
pick_engine (struct forward *forward, const GArray *replicas)
{
  size_t nodes;
  GPtrArray *ids = excluded_replicas (forward, replicas, &nodes);
  struct pick_request request
      = { .replicas = (const struct route_replica *)replicas->data,
          .count = replicas->len,
          .tried = (const char *const *)ids->pdata,
          .tried_count = ids->len,
          .eject = forward->gateway->eject,
          .prefix = affinity_prefix (forward),
          .by_delay = forward->target != NULL,
          .prefix_s = delay_read_s (forward->parsed.shared_tokens),
          .target
          = forward->target != NULL ? g_str_hash (forward->parsed.model) : 0,
          .short_prompt = forward->parsed.prompt_tokens <= DELAY_PIECE_TOKENS,
          .nodes = nodes,
          .adapter = forward->parsed.adapter != NULL };
  struct route_engine *engine;

  forward_pace_request (forward, &request);
  forward_limits_reset (forward);
  do
    {
      engine = pick_one (forward, &request);
      if (engine == NULL || forward_limit_allows (forward, engine->id))
        break;
      g_ptr_array_add (ids, engine->id);
      request.tried = (const char *const *)ids->pdata;
      request.tried_count = ids->len;
    }
  while (true);
  g_ptr_array_unref (ids);
  return engine != NULL ? route_engine_ref (engine) : NULL;
}

void
forward_mark_tried (struct forward *forward)
{
  if (forward->tried_count == FORWARD_DISPATCHES_MAX)
    return;
  forward->engines[forward->tried_count] = route_engine_ref (forward->engine);
  forward->tried[forward->tried_count++] = forward->engine->id;
}

/* Called before the request waits: afterwards all servers may be tried
   again.  */
static void
clear_tried (struct forward *forward)
{
  for (size_t i = 0; i < forward->tried_count; i++)
    route_engine_unref (forward->engines[i]);
  forward->tried_count = 0;
  if (forward->tried_elsewhere != NULL)
    g_ptr_array_unref (forward->tried_elsewhere);
  forward->tried_elsewhere = NULL;
}

void
forward_wait (struct forward *forward, struct timespec ready_at)
{
  clear_tried (forward);
  enqueue (forward, ready_at);
}

static unsigned
compute_urgency (const struct forward *forward)
{
  unsigned urgency
      = URGENCY_BASE + URGENCY_PER_PRIORITY * forward_priority (forward);

  return MIN (urgency + forward_is_over (forward), URGENCY_MAX);
}

static GPtrArray *
build_headers (struct forward *forward)
{
  struct gateway *gateway = forward->gateway;
  struct caller_backend_request send
      = { .request = &forward->parsed,
          .from = forward->request,
          .server = forward->to_peer ? NULL : forward->engine->id,
          .left_ms = forward_left_ms (forward),
          .urgency = compute_urgency (forward),
          .resumes = forward->parsed.resumes,
          .resume_after = forward->parsed.resume_after,
          .hide_key = forward->site->keys_required,
          .customer
          = forward->customer != NULL ? forward->customer->name : NULL };
  GPtrArray *headers = g_ptr_array_new_with_free_func (g_free);

  if (forward->head_sent)
    {
      send.resumes = true;
      send.resume_after = forward->last_event;
    }
  gateway->options.caller->ops->head (gateway->options.caller, &send, headers);
  if (forward->to_peer)
    g_ptr_array_add (headers, forward_relay_header (forward));
  g_ptr_array_add (headers, NULL);
  return headers;
}

/* Whether the request, with the same id, was sent to the address of the
   chosen server before.  Servers that follow each other at an address share
   its connections.  */
static bool
was_sent_to_address (const struct forward *forward)
{
  guint address = g_str_hash (forward->engine->address);

  for (unsigned i = 0; i + 1 < forward->dispatches; i++)
    if (forward->sent_to[i] == address)
      return true;
  return false;
}

/* If a reused connection breaks, it is unknown whether the request ran.  A
   late copy of the response to an earlier attempt cannot be told from the
   response to this one if both use the same connection.  */
static bool
needs_new_connection (const struct forward *forward)
{
  return was_sent_to_address (forward)
         || reach_needs_new_connection (forward->gateway->reach,
                                        forward->engine->id,
                                        forward_now (forward));
}

static void
start_http_call (struct forward *forward)
{
  bool idempotent = site_idempotent (forward->route);
  GPtrArray *headers = build_headers (forward);
  char *url = g_strdup_printf ("http://%s/", forward->engine->address);
  struct httpc_request request
      = { .method = httpd_method (forward->request),
          .url = url,
          .target = httpd_uri (forward->request),
          .headers = (const char *const *)headers->pdata,
          .fresh_connection = needs_new_connection (forward),
          .silent = forward_on_silence,
          .reusable = forward_may_reuse,
          .head = forward_on_head,
          .received = forward_on_received,
          .body_cb = forward_on_bytes,
          .done = forward_on_done,
          .user = forward };

  request.body = httpd_body (forward->request, &request.length);
  if (request.length == 0
      && (strcmp (request.method, "GET") == 0
          || strcmp (request.method, "HEAD") == 0))
    request.body = NULL;
  if (idempotent)
    request.reused_idle_timeout_ms
        = MAX (reach_first_byte_timeout_ms (forward->gateway->reach,
                                            forward->engine->id),
               2 * forward->route->objective_ms);
  if (idempotent && forward->route->kind == SITE_STREAM)
    request.body_idle_timeout_ms
        = MAX (STREAM_IDLE_GAPS * forward->route->gap_ms, STREAM_IDLE_MIN_MS);
  if (forward->to_peer)
    request.connect_timeout_ms = PEER_CONNECT_TIMEOUT_MS;
  else if (cutoff_suspected (forward_cutoff (forward), forward_now (forward)))
    request.connect_timeout_ms = CUTOFF_CONNECT_MS;
  forward->call = httpc_start (forward->gateway->httpc, &request);
  g_ptr_array_unref (headers);
  g_free (url);
}

static void
begin_in_flight (struct forward *forward)
{
  struct gateway *gateway = forward->gateway;

  forward->engine->inflight++;
  if (forward->to_peer)
    return;
  cutoff_begin (forward_cutoff (forward), forward_now (forward));
  gateway_probe_soon (gateway);
}

void
forward_end_in_flight (struct forward *forward)
{
  forward->engine->inflight--;
  if (!forward->to_peer)
    cutoff_end (forward_cutoff (forward));
}

static void
count_attempt (struct forward *forward)
{
  if (forward->to_peer && !forward_peer_counts (forward))
    forward->attempts_unknown = true;
  attempt_begin (&forward->attempts[forward->count++], forward->dispatches);
}

void
forward_dispatch (struct forward *forward, struct route_engine *engine)
{
  struct gateway *gateway = forward->gateway;
  struct timespec now = forward_now (forward);

  forward_dequeue (forward);
  forward_limits_unwant (forward);
  forward->to_peer = forward_is_peer (forward, engine);
  /* Without a ticket only if another request has used it since the server was
     chosen to replace a silent one.  */
  if (!forward->to_peer)
    ratelimits_take (gateway->ratelimits, engine->id);
  forward->on_trial = false;
  route_engine_unref (forward->engine);
  forward->engine = engine;
  forward->dispatches++;
  forward_note_sent (forward);
  if (!forward->deposited && forward_deposits (forward))
    {
      retry_deposit (gateway->retry, forward->service->name);
      forward->deposited = true;
    }
  forward->sent_to[forward->dispatches - 1] = g_str_hash (engine->address);
  forward->state = FORWARD_SENT;
  forward->sent_at = now;
  forward_pace_sent (forward);
  forward->first_at = (struct timespec){ 0 };
  forward->heard_at = now;
  forward->silent = false;
  forward->suspected = false;
  forward->head_parsed = false;
  relay_clear (&forward->peer_note);
  forward->streaming = false;
  sse_init (&forward->sse, false);
  if (forward->head_sent)
    sse_continue (&forward->sse, forward->last_event);
  g_string_truncate (forward->buffer, 0);
  count_attempt (forward);
  eject_begin (gateway->eject, engine->id, now);
  begin_in_flight (forward);
  forward_log_sent (forward);
  start_http_call (forward);
  if (forward->call != NULL)
    return;
  forward_end_in_flight (forward);
  forward->count--;
  eject_abandon (gateway->eject, engine->id);
  forward_fail (forward, "no memory for a connection", DEFAULT_RETRY_AFTER_MS);
}

void
forward_cancel (struct forward *forward)
{
  if (forward->call == NULL)
    return;
  forward_pace_end (forward, false);
  attempt_cancel (&forward->attempts[forward->count - 1],
                  httpc_phase (forward->call));
  httpc_cancel (forward->call);
  forward->call = NULL;
  forward_end_in_flight (forward);
  eject_abandon (forward->gateway->eject, forward->engine->id);
}

/* Whether the model will be ready too late for the caller, so that waiting is
   pointless.  */
static bool
ready_too_late (const struct forward *forward, struct timespec ready_at)
{
  return !ts_is_zero (ready_at)
         && ts_before (forward_leaves_at (forward),
                       ts_add_ms (ready_at, FORWARD_ANSWER_MIN_MS));
}

/* Dispatches the request to ENGINE, or rejects it if that is overloaded.  A
   request that has been waiting goes on waiting while it may be answered in
   time.  */
static void
dispatch_or_reject (struct forward *forward, struct route_engine *engine)
{
  int64_t delay_ms = ts_to_ms (ts_from_s (forward->explanation.delay_s))
                     + FORWARD_ANSWER_MIN_MS;
  int64_t retry_ms;

  if (!forward_is_overloaded (forward, &retry_ms))
    {
      forward_limits_prefetch (forward);
      forward_dispatch (forward, engine);
      return;
    }
  route_engine_unref (engine);
  if (forward_limits_skipped (forward))
    forward_wait_for_limit (forward);
  else if (forward->state != FORWARD_WAITING
           || forward_left_ms (forward) < delay_ms)
    {
      counter_add (COUNTER_OVERLOADED, 1);
      forward_fail (forward, "the servers are overloaded", retry_ms);
    }
}

/* Whether no server may continue the stream, so that waiting is pointless.  */
static bool
version_is_gone (const struct forward *forward)
{
  return forward->software != NULL
         && !servers_has_software (listing_servers (forward->gateway->listing),
                                   forward->service->name, forward->software);
}

/* The replicas that may take the request, and, if there is none, when the
   first one may, see servers_replicas.  */
static GArray *
find_replicas (const struct forward *forward, struct timespec *ready_at)
{
  GArray *replicas = g_array_new (FALSE, FALSE, sizeof (struct route_replica));
  struct servers_query need
      = { .service = forward->service->name,
          .model = forward->target != NULL ? forward->parsed.model : NULL,
          .adapter = forward->parsed.adapter,
          .software = forward->software };

  servers_replicas (listing_servers (forward->gateway->listing), &need,
                    forward_now (forward), replicas, ready_at);
  return replicas;
}

int64_t
forward_ready_in_ms (const struct forward *forward)
{
  struct timespec ready_at;
  GArray *replicas = find_replicas (forward, &ready_at);
  bool none = replicas->len == 0 && !ts_is_zero (ready_at);

  g_array_unref (replicas);
  return none ? ts_to_ms (ts_sub (ready_at, forward_now (forward))) : 0;
}

struct route_engine *
forward_pick_other (struct forward *forward)
{
  struct timespec ready_at;
  GArray *replicas = find_replicas (forward, &ready_at);
  struct route_engine *engine = NULL;

  if (replicas->len > 0 && forward_may_send (forward)
      && forward_left_ms (forward) >= FORWARD_ANSWER_MIN_MS)
    engine = pick_engine (forward, replicas);
  g_array_unref (replicas);
  return engine;
}

bool
forward_engine_is_replica (struct forward *forward)
{
  struct timespec ready_at;
  GArray *replicas = find_replicas (forward, &ready_at);
  bool found = false;

  for (guint i = 0; i < replicas->len && !found; i++)
    {
      const struct route_replica *replica
          = &g_array_index (replicas, struct route_replica, i);

      found = !replica->leaving
              && strcmp (replica->engine->id, forward->engine->id) == 0;
    }
  g_array_unref (replicas);
  return found && forward_may_send (forward);
}

/* Takes the retry from the budget that the next dispatch needs, if any.  */
static bool
take_due_retry (struct forward *forward)
{
  if (!forward->retry_due)
    return true;
  if (!retry_withdraw (forward->gateway->retry, forward->service->name))
    return false;
  counter_add (COUNTER_RETRIES, 1);
  forward->retry_due = false;
  return true;
}

static bool
is_cut_off (const struct forward *forward, const GArray *replicas)
{
  for (guint i = 0; i < replicas->len; i++)
    {
      const struct route_replica *replica
          = &g_array_index (replicas, struct route_replica, i);

      if (!replica->leaving
          && cutoff_server (forward_cutoff (forward), replica->engine->id,
                            forward_now (forward)))
        return true;
    }
  return false;
}

/* Whether another node got the request, or it was rejected.  */
static bool
relay_request (struct forward *forward)
{
  return forward_may_send (forward) && take_due_retry (forward)
         && forward_relay (forward);
}

void
forward_route (struct forward *forward)
{
  struct timespec now = forward_now (forward);
  struct route_engine *engine = NULL;
  struct timespec ready_at;
  GArray *replicas;
  bool cut_off;

  if (forward_reject_quarantined (forward) || forward_refuse_unknown (forward))
    return;
  if (cutoff_all (forward_cutoff (forward), now) && relay_request (forward))
    return;
  replicas = find_replicas (forward, &ready_at);
  if (replicas->len > 0 && forward_may_send (forward))
    engine = pick_engine (forward, replicas);
  cut_off = engine == NULL && is_cut_off (forward, replicas);
  g_array_unref (replicas);
  if (cut_off && relay_request (forward))
    return;
  if (engine != NULL && !take_due_retry (forward))
    {
      route_engine_unref (engine);
      engine = NULL;
    }
  if (engine != NULL)
    dispatch_or_reject (forward, engine);
  else if (!forward_may_send (forward))
    forward_fail (forward, "stopping", DEFAULT_RETRY_AFTER_MS);
  else if (version_is_gone (forward))
    forward_fail (forward, "no server has the version that began the stream",
                  0);
  else if (forward_left_ms (forward) < FORWARD_ANSWER_MIN_MS)
    forward_fail (forward, "no server is free in time", 0);
  else if (ready_too_late (forward, ready_at))
    forward_fail (forward,
                  forward->target != NULL ? "the model is not loaded in time"
                                          : "no server takes requests in time",
                  ts_to_ms (ts_sub (ready_at, now)));
  else if (forward_limits_skipped (forward))
    forward_wait_for_limit (forward);
  else
    {
      forward_limits_unwant (forward);
      forward_wait (forward, ready_at);
    }
}

void
forward_dispatch_waiting (struct gateway *gateway)
{
  struct forward *forward;
  struct forward *next;

  forward_order_waiting (gateway);
  for (forward = TAILQ_FIRST (&gateway->waiting); forward != NULL;
       forward = next)
    {
      next = TAILQ_NEXT (forward, link);
      forward_route (forward);
    }
}

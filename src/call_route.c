#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <ck_pr.h>
#include <jansson.h>
#include "call_state.h"
#include "doc.h"
#include "eject.h"
#include "reach.h"
#include "retry.h"
#include "suspect.h"
#include "suspect_table.h"
#include "ts.h"
#include "demand_report.h"

#define DEFAULT_IDLE_TIMEOUT_MS 10000
#define STREAM_IDLE_TIMEOUT_MS 2000 /* between two chunks of a stream */
#define RECORD_GRACE_MS 60000 /* after the deadline, to record the outcome */
#define PASSED_HEADERS_MAX 64 /* passed on to a service */

/* State of the call's target, borrowed from the route table.  */
struct target_view
{
  const struct route_replica *replicas;
  size_t count;
  const char *team;
  const char *version; /* configured; replicas may have others */
  bool known;
  bool ready;
  bool adapter;
  unsigned max_waiting;
  unsigned team_max_waiting;
  struct timespec ready_at;
  double service_s;
};

static void
fill_from_target (const struct route_table *table, const char *name,
                  struct target_view *view)
{
  const struct route_target *target = route_target (table, name);

  view->known = target != NULL;
  if (target == NULL)
    return;
  view->team = target->team;
  view->version = target->version;
  view->max_waiting = target->max_waiting;
  view->adapter = target->adapter != NULL;
  view->service_s = target->service_s;
  view->ready = target->state == ROUTE_READY;
  if (target->state == ROUTE_LOADING)
    view->ready_at = target->ready_at;
  if (view->ready)
    {
      view->replicas = target->replicas;
      view->count = target->replica_count;
    }
}

static void
fill_from_service (const struct route_table *table, const char *name,
                   struct target_view *view)
{
  const struct route_service *service = route_service (table, name);

  view->known = service != NULL;
  if (service == NULL)
    return;
  view->team = service->team;
  view->replicas = service->replicas;
  view->count = service->replica_count;
  view->ready = view->count > 0;
}

static void
fill_team_limit (const struct route_table *table, struct target_view *view)
{
  const struct doc_team *team = NULL;

  if (view->team == NULL)
    view->team = "";
  if (table->doc != NULL)
    team = doc_team (table->doc, view->team);
  if (team != NULL)
    view->team_max_waiting = team->max_waiting;
}

static struct target_view
get_target_view (const struct route_table *table, const char *name,
                 bool service)
{
  struct target_view view = { 0 };

  if (service)
    fill_from_service (table, name, &view);
  else
    fill_from_target (table, name, &view);
  fill_team_limit (table, &view);
  return view;
}

static struct admit_request
admission_request (const char *target, const struct target_view *view)
{
  struct admit_request request
      = { .target = target,
          .team = view->team,
          .target_max = view->max_waiting,
          .team_max = view->team_max_waiting,
          .ready = view->ready,
          .ready_at = view->ready_at,
          .service_s = view->service_s,
          .slots = pick_slots (view->replicas, view->count),
          .slots_free = pick_free_slots (view->replicas, view->count) };

  return request;
}

/* Number of strikes against the request.  LOST receives the hash of the lost
   backend server.  */
static unsigned
count_strikes (const struct call *call, uint64_t *lost)
{
  const struct suspect_table *suspects = call->worker->options->suspects;

  *lost = 0;
  if (suspects == NULL)
    return 0;
  return suspect_strikes (suspects, call->api.fingerprint, lost);
}

/* Ids, borrowed, of replicas that must not be used now: those already
   tried and those that refuse connections.  */
/* Whether the call may be sent to REPLICA: what two versions of a model write
   does not fit together.  */
static bool
may_continue_at (const struct call *call, const struct route_replica *replica)
{
  return !call->head_sent || g_strcmp0 (replica->version, call->version) == 0;
}

static GPtrArray *
excluded_replicas (struct call *call, const struct target_view *view)
{
  GPtrArray *ids = g_ptr_array_new ();

  for (size_t i = 0; i < call->tried_count; i++)
    g_ptr_array_add (ids, (void *)call->tried[i]);
  for (size_t i = 0; i < view->count; i++)
    if (!may_continue_at (call, &view->replicas[i])
        || reach_backing_off (call->worker->reach,
                              view->replicas[i].engine->id, call_now (call)))
      g_ptr_array_add (ids, view->replicas[i].engine->id);
  return ids;
}

/* Index of the replica to use, or negative when there is none.  */
static ptrdiff_t
pick_index (struct call *call, const struct target_view *view)
{
  struct worker *worker = call->worker;
  GPtrArray *ids = excluded_replicas (call, view);
  struct pick_request request = { .replicas = view->replicas,
                                  .count = view->count,
                                  .tried = (const char *const *)ids->pdata,
                                  .tried_count = ids->len,
                                  .eject = worker->eject,
                                  .prefix = call->prefix,
                                  .fingerprint = call->api.fingerprint,
                                  .adapter = view->adapter,
                                  .suspect = call->owns_suspect_run };
  ptrdiff_t index;

  count_strikes (call, &request.lost);
  index = pick_replica (worker->pick, &request, call_now (call),
                        &call->explanation);
  g_ptr_array_unref (ids);
  return index;
}

static void
clear_tried (struct call *call)
{
  for (size_t i = 0; i < call->tried_count; i++)
    route_engine_unref (call->engines[i]);
  call->tried_count = 0;
}

/* A new reference to the engine of the replica to use now, or NULL when the
   call must wait.  */
static struct route_engine *
pick_engine (struct call *call, const struct target_view *view)
{
  ptrdiff_t index = pick_index (call, view);

  if (index < 0 && call->tried_count > 0)
    {
      clear_tried (call);
      return NULL;
    }
  if (index < 0 || view->replicas == NULL)
    return NULL;
  if (!call->explanation.free_slot && view->replicas[index].slots > 0)
    return NULL;
  if (!call->head_sent)
    {
      g_free (call->version);
      call->version = g_strdup (view->replicas[index].version);
    }
  return route_engine_ref (view->replicas[index].engine);
}

bool
call_other_ready (struct call *call)
{
  struct route_reader *reader = call->worker->reader;
  struct target_view view;
  ptrdiff_t index;
  bool ready;

  route_reader_begin (reader);
  view = get_target_view (route_read (reader), call->api.target,
                          call->api.kind == API_SERVICE);
  index = view.known && view.count > 0 ? pick_index (call, &view) : -1;
  ready = index >= 0
          && (call->explanation.free_slot || view.replicas[index].slots == 0);
  route_reader_end (reader);
  return ready;
}

static void
use_engine (struct call *call, struct route_engine *engine)
{
  if (call->engine != NULL)
    route_engine_unref (call->engine);
  call->engine = engine;
  if (call->tried_count == ATTEMPT_MAX)
    clear_tried (call);
  call->engines[call->tried_count] = route_engine_ref (engine);
  call->tried[call->tried_count++] = engine->id;
}

static int64_t
left_ms (const struct call *call)
{
  return ts_to_ms (ts_sub (call->deadline, call_now (call)));
}

/* A response that is not streamed sends no byte before it is ready, so
   only the deadline limits it.  */
int64_t
call_idle_timeout (const struct call *call)
{
  int64_t ms = call->worker->options->idle_timeout_ms;

  if (!call->api.stream)
    return 0;
  return ms != 0 ? ms : DEFAULT_IDLE_TIMEOUT_MS;
}

static int64_t
reused_idle_timeout (const struct call *call)
{
  int64_t first_byte_ms
      = reach_first_byte_timeout_ms (call->worker->reach, call->engine->id);
  int64_t idle_ms = call_idle_timeout (call);

  return idle_ms != 0 ? MIN (first_byte_ms, idle_ms) : first_byte_ms;
}

/* A stream that can be resumed elsewhere need not be waited for.  */
static int64_t
body_idle_timeout (const struct call *call)
{
  if (call->api.kind != API_COMPLETION || !call->api.stream
      || call->non_idempotent)
    return 0;
  return MIN (STREAM_IDLE_TIMEOUT_MS, call_idle_timeout (call));
}

/* Collects the caller's headers for a service, without hop-by-hop headers and
   those that this node interprets or sets itself.  */
static void
pass_header (void *user, const char *name, const char *value)
{
  static const char *const not_forwarded[] = {
    "Connection", "Content-Length",      "Expect",           "Host",
    "Keep-Alive", "Proxy-Authorization", "Proxy-Connection", "TE",
    "Trailer",    "Transfer-Encoding",   "Upgrade",          "X-Request-Id",
    "X-Priority", "X-Deadline-Ms"
  };
  GPtrArray *headers = user;

  for (size_t i = 0; i < G_N_ELEMENTS (not_forwarded); i++)
    if (g_ascii_strcasecmp (not_forwarded[i], name) == 0)
      return;
  if (headers->len < PASSED_HEADERS_MAX)
    g_ptr_array_add (headers, g_strdup_printf ("%s: %s", name, value));
}

static GPtrArray *
build_headers (const struct call *call, const char *id)
{
  GPtrArray *headers = g_ptr_array_new_with_free_func (g_free);

  if (call->api.kind == API_SERVICE)
    httpd_each_header (call->request, pass_header, headers);
  else
    g_ptr_array_add (headers, g_strdup ("Content-Type: application/json"));
  g_ptr_array_add (headers, g_strdup_printf ("X-Request-Id: %s", id));
  g_ptr_array_add (headers,
                   g_strdup_printf ("X-Priority: %u", call->priority));
  g_ptr_array_add (headers, NULL);
  return headers;
}

static char *
build_resuming_body (const struct call *call, const char *body, size_t length)
{
  json_t *json = json_loadb (body, length, 0, NULL);
  char *text;

  json_object_set_new (json, "resume_from",
                       json_integer ((json_int_t)call->events));
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  return text;
}

/* The first byte of a stream arrives soon, so a stalled connection is
   detected.  A response that is not streamed may legitimately take long,
   and a non-idempotent request cannot be retried.  */
static bool
needs_new_connection (const struct call *call)
{
  return call->non_idempotent || !call->api.stream || call->dispatches > 1
         || reach_needs_new_connection (call->worker->reach, call->engine->id,
                                        call_now (call));
}

static void
start_exchange (struct call *call, const char *id)
{
  GPtrArray *headers = build_headers (call, id);
  char *resuming_body = NULL;
  struct exchange_options options
      = { .worker = call->worker,
          .engine = call->engine,
          .ops = &call_exchange_ops,
          .user = call,
          .id = id,
          .method = httpd_method (call->request),
          .path = call->api.path,
          .headers = (const char *const *)headers->pdata,
          .timeout_ms
          = call->non_idempotent ? left_ms (call) + RECORD_GRACE_MS : 0,
          .idle_timeout_ms = call_idle_timeout (call),
          .reused_idle_timeout_ms = reused_idle_timeout (call),
          .body_idle_timeout_ms = body_idle_timeout (call),
          .expects_done_event = call->api.kind == API_COMPLETION,
          .new_connection = needs_new_connection (call) };

  options.body = httpd_body (call->request, &options.length);
  if (call->events > 0)
    {
      resuming_body = build_resuming_body (call, options.body, options.length);
      options.body = resuming_body;
      options.length = strlen (resuming_body);
    }
  call->exchange = exchange_start (&options);
  g_ptr_array_unref (headers);
  free (resuming_body);
}

static void
send_attempt (struct call *call)
{
  char id[CALL_ID_MAX];

  if (call->dispatches++ == 0)
    retry_deposit (call->worker->retry, call->api.target);
  g_snprintf (id, sizeof id, "%s-%" PRIu64 "-%u", call->worker->id_prefix,
              call->id, call->dispatches);
  call_log_routed (call, id);
  attempt_begin (&call->attempts[call->count++], call->dispatches);
  eject_begin (call->worker->eject, call->engine->id, call_now (call));
  call->state = STATE_SENT;
  start_exchange (call, id);
  if (call->exchange != NULL)
    return;
  call->count--;
  eject_abandon (call->worker->eject, call->engine->id);
  call_refuse (call, 503, "overloaded", "no memory for a connection",
               CALL_RETRY_AFTER_S);
}

static void
refuse_admission (struct call *call)
{
  enum admit_reason reason = call->entry.reason;
  unsigned status = reason == ADMIT_TARGET_FULL || reason == ADMIT_TEAM_FULL
                            || reason == ADMIT_DISPLACED
                        ? 429
                        : 503;

  call_refuse (call, status, admit_reason_name (reason),
               "no replica can answer in time",
               (unsigned)call->entry.retry_after_s);
}

/* Strikes may have been reported while the call waited.  Returns false
   after refusing the call or asking its home node for permission to run
   it.  */
static bool
suspect_allows (struct call *call)
{
  uint64_t lost;
  unsigned strikes = count_strikes (call, &lost);

  if (strikes >= SUSPECT_REFUSE_STRIKES)
    call_refuse (call, 422, "suspect",
                 "backend servers were lost while they ran this request", 0);
  else if (strikes > 0 && !call->owns_suspect_run)
    call_request_verdict (call, MSG_SUSPECT_BEGIN);
  else
    return true;
  return false;
}

static void route_now (struct call *call, bool needs_admission);

static void
process_ended (struct admit_list *ended)
{
  struct admit_entry *entry;

  while ((entry = CK_STAILQ_FIRST (ended)) != NULL)
    {
      struct call *call = (struct call *)entry;

      CK_STAILQ_REMOVE_HEAD (ended, ended);
      demand_report_note (call->worker->demand_report, call->api.target,
                          call->priority, call->api.kind == API_SERVICE);
      if (entry->outcome != ADMIT_DISPATCH)
        refuse_admission (call);
      else if (suspect_allows (call))
        route_now (call, false);
    }
}

/* FULL: treat the target as having no free slot, whatever the table says.  */
static enum admit_outcome
offer_to_admission (struct call *call, const struct target_view *view,
                    bool full)
{
  struct admit_request request = admission_request (call->api.target, view);
  struct admit_list ended;
  enum admit_outcome outcome;

  request.priority = call->priority;
  request.deadline = call->deadline;
  if (full)
    request.slots_free = 0;
  if (request.slots == 0 && request.ready && !full)
    request.slots_free = 1;
  admit_list_init (&ended);
  outcome = admit_offer (call->worker->admit, &call->entry, &request,
                         call_now (call), &ended);
  if (outcome == ADMIT_WAIT)
    {
      call->cold |= !view->ready;
      call->state = STATE_WAITING;
      demand_report_note (call->worker->demand_report, call->api.target,
                          call->priority, call->api.kind == API_SERVICE);
      call_log_waiting (call, view->ready);
    }
  process_ended (&ended);
  return outcome;
}

enum route_step
{
  STEP_UNKNOWN, /* no such target */
  STEP_VERSION_GONE,
  STEP_SEND,
  STEP_WAIT,
  STEP_REFUSED
};

/* Whether no replica may continue the stream, and none will.  */
static bool
version_is_gone (const struct call *call, const struct target_view *view)
{
  if (!call->head_sent || g_strcmp0 (view->version, call->version) == 0)
    return false;
  for (size_t i = 0; i < view->count; i++)
    if (may_continue_at (call, &view->replicas[i]))
      return false;
  return true;
}

static enum route_step
choose_step (struct call *call, const struct target_view *view,
             bool needs_admission, struct route_engine **engine)
{
  enum admit_outcome outcome = ADMIT_DISPATCH;

  if (!view->known)
    return STEP_UNKNOWN;
  if (version_is_gone (call, view))
    return STEP_VERSION_GONE;
  if (needs_admission)
    outcome = offer_to_admission (call, view, false);
  if (outcome == ADMIT_DISPATCH)
    {
      *engine = pick_engine (call, view);
      if (*engine != NULL)
        return STEP_SEND;
      outcome = offer_to_admission (call, view, true);
    }
  return outcome == ADMIT_WAIT ? STEP_WAIT : STEP_REFUSED;
}

/* Allows for the time needed to connect.  */
static bool
claim_expires_before_send (const struct call *call)
{
  struct timespec sent_by
      = ts_add_ms (call_now (call), HTTPC_CONNECT_TIMEOUT_MS);

  return call->owns_record && !ts_is_zero (call->claim_until)
         && ts_before (call->claim_until, sent_by);
}

/* The claim on the record is about to expire: returns it unused and
   requests a new one.  */
static void
renew_claim (struct call *call)
{
  call_notify_ends (call, NULL);
  call_request_verdict (call, MSG_RECORD_BEGIN);
}

/* NEEDS_ADMISSION: the call has not passed admission yet.  */
static void
route_now (struct call *call, bool needs_admission)
{
  struct route_reader *reader = call->worker->reader;
  struct route_engine *engine = NULL;
  struct target_view view;
  enum route_step step;

  route_reader_begin (reader);
  view = get_target_view (route_read (reader), call->api.target,
                          call->api.kind == API_SERVICE);
  step = choose_step (call, &view, needs_admission, &engine);
  route_reader_end (reader);
  if (step == STEP_SEND && claim_expires_before_send (call))
    {
      route_engine_unref (engine);
      renew_claim (call);
    }
  else if (step == STEP_SEND)
    {
      use_engine (call, engine);
      send_attempt (call);
    }
  else if (step == STEP_UNKNOWN)
    call_refuse (call, 404, "unknown_target", "no such model or service", 0);
  else if (step == STEP_VERSION_GONE)
    call_refuse (call, 503, "backend_failed",
                 "no backend server has the version that began the stream", 0);
  else if (step == STEP_REFUSED)
    refuse_admission (call);
}

void
call_route (struct call *call)
{
  if (suspect_allows (call))
    route_now (call, true);
}

struct dispatch_filter
{
  const struct target_view *view;
};

static bool
can_dispatch (void *user, const struct admit_entry *entry)
{
  const struct dispatch_filter *filter = user;
  struct call *call = (struct call *)entry;
  ptrdiff_t index = pick_index (call, filter->view);

  return index >= 0
         && (call->explanation.free_slot
             || filter->view->replicas[index].slots == 0);
}

/* Dispatches one waiting request, so that the next one sees its load.  Also
   refuses those that it finds to be too late.  False when it did neither.  */
static bool
dispatch_one (struct worker *worker, const char *target, bool service)
{
  struct timespec now = clk_now (worker->options->clk);
  struct admit_list ended;
  struct target_view view;
  struct dispatch_filter filter = { .view = &view };
  bool any;

  admit_list_init (&ended);
  route_reader_begin (worker->reader);
  view = get_target_view (route_read (worker->reader), target, service);
  if (view.known)
    admit_release_if (worker->admit, target, 1, can_dispatch, &filter, now,
                      &ended);
  else
    admit_release (worker->admit, target, 1, now, &ended);
  route_reader_end (worker->reader);
  any = !CK_STAILQ_EMPTY (&ended);
  process_ended (&ended);
  return any;
}

static void
reevaluate_target (struct worker *worker, const char *target, bool service)
{
  struct admit_request request;
  struct admit_list ended;
  struct target_view view;

  admit_list_init (&ended);
  route_reader_begin (worker->reader);
  view = get_target_view (route_read (worker->reader), target, service);
  request = admission_request (target, &view);
  if (request.ready && request.slots == 0)
    request.slots_free = 1;
  if (view.known)
    admit_reevaluate (worker->admit, &request, clk_now (worker->options->clk),
                      &ended);
  route_reader_end (worker->reader);
  process_ended (&ended);
}

static void
dispatch_target (void *user, const char *target, bool service)
{
  struct worker *worker = user;
  size_t remaining;

  reevaluate_target (worker, target, service);
  remaining = admit_waiting_count (worker->admit, target, NULL);
  while (remaining > 0 && dispatch_one (worker, target, service))
    remaining--;
}

void
call_dispatch_waiting (struct worker *worker)
{
  demand_report_each (worker->demand_report, dispatch_target, worker);
}

#include "worker.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>
#include <sys/epoll.h>
#include <ck_pr.h>
#include "call.h"
#include "counter.h"
#include "eject.h"
#include "entry.h"
#include "log.h"
#include "membudget.h"
#include "pick.h"
#include "reach.h"
#include "reject.h"
#include "reply.h"
#include "retry.h"
#include "ts.h"
#include "demand_report.h"

#define INBOX_SLOTS 4096u   /* messages */
#define TICK_MS 20          /* between dispatch rounds for waiting requests */
#define CONNECTION_IDLE_S 3 /* connections idle for longer are not reused */
#define KEPT_DESCRIPTORS_SHARE 8 /* connections kept to servers */
#define KEPT_MAX 256
#define ADMIN_ROOT "/admin/"
#define SERVICE_ROOT "/v1/services/"

struct endpoint
{
  const char *path;
  const char *method;
  void (*handle) (struct worker *worker, struct httpd_request *request);
};

static void
log_bad_request (const struct httpd_request *request, const char *why)
{
  struct log_line line;

  counter_add (COUNTER_BAD_INPUT, 1);
  log_begin (&line, EVENT_BAD_REQUEST);
  log_str (&line, "method", httpd_method (request));
  log_str (&line, "path", httpd_path (request));
  log_str (&line, "why", why);
  log_end (&line);
}

static void
refuse (struct httpd_request *request, unsigned status, const char *type,
        const char *why, const char *allow)
{
  struct reply_error error = { .status = status,
                               .type = type,
                               .message = why,
                               .not_run = true,
                               .allow = allow };

  log_bad_request (request, why);
  reply_error (request, &error);
}

static struct api_headers
get_api_headers (const struct httpd_request *request)
{
  struct api_headers head
      = { .key = httpd_header (request, "Idempotency-Key"),
          .deadline = httpd_header (request, "X-Deadline-Ms"),
          .priority = httpd_header (request, "X-Priority") };

  return head;
}

static void
start_call_or_refuse (struct worker *worker, struct httpd_request *request,
                      struct api_request *api, int err, const char *why)
{
  if (err < 0)
    {
      api_request_clear (api);
      refuse (request, 400, "bad_request", why, NULL);
      return;
    }
  call_start (worker, request, api);
}

static void
handle_completion (struct worker *worker, struct httpd_request *request)
{
  struct api_headers head = get_api_headers (request);
  struct api_request api;
  const char *why = "";
  size_t n;
  const char *body = httpd_body (request, &n);
  int err
      = api_read_completion (httpd_uri (request), &head, body, n, &api, &why);

  start_call_or_refuse (worker, request, &api, err, why);
}

static void
handle_service (struct worker *worker, struct httpd_request *request)
{
  struct api_headers head = get_api_headers (request);
  struct api_request api;
  const char *why = "";
  size_t n;
  const char *body = httpd_body (request, &n);
  int err = api_read_service (httpd_method (request), httpd_uri (request),
                              &head, body, n, &api, &why);

  start_call_or_refuse (worker, request, &api, err, why);
}

static void
add_admin_request (struct worker *worker, struct httpd_request *request,
                   const struct msg *msg)
{
  uint64_t *id = g_new (uint64_t, 1);

  *id = msg->request;
  g_hash_table_insert (worker->admin, id, request);
}

static void
handle_admin (struct worker *worker, struct httpd_request *request)
{
  const char *given = httpd_header (request, "Authorization");
  struct msg *msg;
  const char *body;

  if (given == NULL)
    {
      refuse (request, 401, "unauthorized", "operator token required", NULL);
      return;
    }
  if (!api_token_matches (given, worker->options->operator_token))
    {
      refuse (request, 403, "forbidden", "invalid operator token", NULL);
      return;
    }
  msg = msg_new (MSG_ADMIN);
  msg->thread = worker->index;
  msg->request = ++worker->next_id;
  msg->method = g_strdup (httpd_method (request));
  msg->path = g_strdup (httpd_uri (request));
  body = httpd_body (request, &msg->length);
  msg->body = g_memdup2 (body, msg->length + 1);
  add_admin_request (worker, request, msg);
  if (worker_notify (worker, msg) == 0)
    return;
  g_hash_table_remove (worker->admin, &msg->request);
  msg_free (msg);
  refuse (request, 503, "busy", "the control thread is busy", NULL);
}

static const struct endpoint endpoints[] = {
  { "/v1/completions", "POST", handle_completion },
  { "/v1/chat/completions", "POST", handle_completion },
  { "/v1/entry", "GET", entry_lookup },
  { "/v1/models", "GET", entry_models },
  { "/healthz", "GET", entry_healthz },
  { "/readyz", "GET", entry_readyz },
  { "/metrics", "GET", entry_metrics },
};

static const struct endpoint *
find_endpoint (const char *path)
{
  for (size_t i = 0; i < G_N_ELEMENTS (endpoints); i++)
    if (strcmp (endpoints[i].path, path) == 0)
      return &endpoints[i];
  return NULL;
}

/* Two readers could act on different values.  */
static bool
has_repeated_header (const struct httpd_request *request)
{
  static const char *const names[]
      = { "Idempotency-Key", "X-Deadline-Ms", "X-Priority", "Authorization" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (httpd_header_count (request, names[i]) > 1)
      return true;
  return false;
}

static void
on_request (void *user, struct httpd_request *request)
{
  struct worker *worker = user;
  const char *path = httpd_path (request);
  const struct endpoint *endpoint = find_endpoint (path);

  if (has_repeated_header (request))
    refuse (request, 400, "bad_request",
            "a header that may occur once is repeated", NULL);
  else if (g_str_has_prefix (path, SERVICE_ROOT))
    handle_service (worker, request);
  else if (g_str_has_prefix (path, ADMIN_ROOT))
    handle_admin (worker, request);
  else if (endpoint == NULL)
    refuse (request, 404, "not_found", "no such path", NULL);
  else if (strcmp (endpoint->method, httpd_method (request)) != 0)
    refuse (request, 405, "method_not_allowed",
            "method not allowed for this path", endpoint->method);
  else
    endpoint->handle (worker, request);
}

/* A request without an endpoint, or by no operator, is refused whatever its
   body is.  */
static bool
wants_body (void *user, struct httpd_request *request)
{
  const struct worker *worker = user;
  const char *path = httpd_path (request);
  const struct endpoint *endpoint = find_endpoint (path);

  if (has_repeated_header (request))
    return false;
  if (g_str_has_prefix (path, ADMIN_ROOT))
    return api_token_matches (httpd_header (request, "Authorization"),
                              worker->options->operator_token);
  return g_str_has_prefix (path, SERVICE_ROOT)
         || (endpoint != NULL && strcmp (endpoint->method, "POST") == 0
             && strcmp (httpd_method (request), "POST") == 0);
}

static gboolean
is_request (gpointer key, gpointer value, gpointer request)
{
  (void)key;
  return value == request;
}

static void
on_gone (void *user, struct httpd_request *request, bool complete)
{
  struct worker *worker = user;
  struct call *call = httpd_get_user (request);

  (void)complete;
  if (call != NULL)
    call_caller_gone (call);
  else if (g_str_has_prefix (httpd_path (request), ADMIN_ROOT))
    g_hash_table_foreach_remove (worker->admin, is_request, request);
}

static void
on_writable (void *user, struct httpd_request *request)
{
  struct call *call = httpd_get_user (request);

  (void)user;
  if (call != NULL)
    call_writable (call);
}

static void
on_tick (struct loop_timer *timer)
{
  struct worker *worker
      = (struct worker *)((char *)timer - offsetof (struct worker, tick));

  call_dispatch_waiting (worker);
  eject_clean (worker->eject, loop_now (worker->loop));
  reach_clean (worker->reach, loop_now (worker->loop));
}

static void
flush_outbox (struct worker *worker)
{
  while (!g_queue_is_empty (worker->outbox)
         && ring_send (worker->options->to_control,
                       g_queue_peek_head (worker->outbox))
                == 0)
    g_queue_pop_head (worker->outbox);
}

/* Starts the tick timer, which runs only while a request or a message to the
   control thread is waiting.  */
static int
on_prepare (struct loop_prepare *prepare)
{
  struct worker *worker
      = (struct worker *)((char *)prepare - offsetof (struct worker, prepare));

  flush_outbox (worker);
  if ((demand_report_flush (worker->demand_report) > 0
       || !g_queue_is_empty (worker->outbox))
      && worker->tick.slot == 0)
    loop_timer_set (worker->loop, &worker->tick,
                    ts_add_ms (loop_now (worker->loop), TICK_MS));
  return -1;
}

void
worker_dispatch_soon (struct worker *worker)
{
  if (worker->tick.slot != 0)
    loop_timer_set (worker->loop, &worker->tick, loop_now (worker->loop));
}

static void
handle_admin_response (struct worker *worker, const struct msg *msg)
{
  struct httpd_request *request
      = g_hash_table_lookup (worker->admin, &msg->request);

  if (request == NULL)
    return;
  g_hash_table_remove (worker->admin, &msg->request);
  httpd_respond (request, msg->status, msg->content_type, NULL,
                 msg->body != NULL ? msg->body : "", msg->length);
}

static void
handle_verdict (struct worker *worker, const struct msg *msg)
{
  struct call *call = g_hash_table_lookup (worker->calls, &msg->request);

  if (call != NULL)
    call_verdict (call, msg);
  else if (msg->verdict == MSG_VERDICT_RUN)
    call_return_grant (worker, msg);
}

static void
handle_message (struct worker *worker, const struct msg *msg)
{
  if (msg->type == MSG_ROUTES)
    call_dispatch_waiting (worker);
  else if (msg->type == MSG_RECORD_VERDICT || msg->type == MSG_SUSPECT_VERDICT)
    handle_verdict (worker, msg);
  else if (msg->type == MSG_ADMIN_RESPONSE)
    handle_admin_response (worker, msg);
}

static void
on_inbox (struct loop_watch *watch, uint32_t events)
{
  struct worker *worker
      = (struct worker *)((char *)watch
                          - offsetof (struct worker, inbox_watch));
  struct msg *msg;

  (void)events;
  ring_clear_event (worker->inbox);
  while ((msg = ring_receive (worker->inbox)) != NULL)
    {
      handle_message (worker, msg);
      msg_free (msg);
    }
}

static int
send_demand_report (void *user, struct msg *message)
{
  return worker_notify (user, message);
}

static int
start_httpd (struct worker *worker)
{
  const struct traffic_options *o = worker->options;
  struct httpd_options options = { .loop = worker->loop,
                                   .address = o->address,
                                   .port = o->port,
                                   .share_port = true,
                                   .max_connections = o->max_connections,
                                   .budget = worker->budget,
                                   .wants_body = wants_body,
                                   .idle_timeout_s = o->idle_timeout_s,
                                   .request = on_request,
                                   .gone = on_gone,
                                   .writable = on_writable,
                                   .rejected = reject_log,
                                   .user = worker };

  return httpd_new (&options, &worker->httpd);
}

static uint32_t
rand_seed (const struct worker *worker)
{
  return (uint32_t)g_str_hash (worker->id_prefix);
}

static void
create_policies (struct worker *worker)
{
  struct admit_options admit = { .threads = worker->options->threads };
  struct pick_options pick
      = { .zone = worker->options->zone, .seed = rand_seed (worker) };
  struct demand_report_options demand_report = { .thread = worker->index,
                                                 .send = send_demand_report,
                                                 .user = worker };

  worker->admit = admit_new (&admit);
  demand_report.admit = worker->admit;
  worker->demand_report = demand_report_new (&demand_report);
  worker->pick = pick_new (&pick);
  worker->eject = eject_new ();
  worker->retry = retry_new (worker->options->threads);
  worker->reach = reach_new ();
  worker->rand = g_rand_new_with_seed (rand_seed (worker));
}

static void
free_policies (struct worker *worker)
{
  demand_report_free (worker->demand_report);
  admit_free (worker->admit);
  pick_free (worker->pick);
  eject_free (worker->eject);
  retry_free (worker->retry);
  reach_free (worker->reach);
  g_rand_free (worker->rand);
}

static int
open_resources (struct worker *worker)
{
  struct ring_options inbox = { .slots = INBOX_SLOTS, .release = msg_free };
  struct httpc_options client = { .max_connection_age_s = CONNECTION_IDLE_S };
  const struct traffic_options *o = worker->options;
  struct membudget_options budget
      = membudget_share (o->memory_mb, o->fd_limit, o->threads);

  worker->loop = loop_new (worker->options->clk);
  if (worker->loop == NULL)
    return -errno;
  worker->inbox = ring_new (&inbox);
  if (worker->inbox == NULL)
    return -errno;
  worker->budget = membudget_new (&budget);
  client.loop = worker->loop;
  client.budget = worker->budget;
  client.max_connections
      = MIN (o->fd_limit / KEPT_DESCRIPTORS_SHARE / o->threads, KEPT_MAX);
  client.collected_max
      = membudget_collected_max (&budget, HTTPC_COLLECTED_MAX);
  worker->httpc = httpc_new (&client);
  if (worker->httpc == NULL)
    return -ENOMEM;
  worker->reader = route_reader_new (worker->options->route);
  return start_httpd (worker);
}

static int
watch_events (struct worker *worker)
{
  worker->tick.fire = on_tick;
  worker->prepare.prepare = on_prepare;
  loop_prepare_add (worker->loop, &worker->prepare);
  worker->inbox_watch.fd = ring_fd (worker->inbox);
  worker->inbox_watch.ready = on_inbox;
  return loop_watch (worker->loop, &worker->inbox_watch, EPOLLIN);
}

int
worker_new (const struct traffic_options *options, unsigned index,
            const unsigned *draining, struct worker **out)
{
  struct worker *worker = g_new0 (struct worker, 1);
  int err;

  worker->options = options;
  worker->index = index;
  worker->draining = draining;
  worker->outbox = g_queue_new ();
  worker->id_prefix
      = g_strdup_printf ("%s-%" PRIx64 "-%u", options->node,
                         (uint64_t)ts_to_ns (clk_wall (options->clk)), index);
  worker->calls
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  worker->admin
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  create_policies (worker);
  err = open_resources (worker);
  if (err == 0)
    err = watch_events (worker);
  if (err < 0)
    {
      worker_free (worker);
      return err;
    }
  *out = worker;
  return 0;
}

/* Frees the HTTP server before the HTTP client: closing a caller's request
   cancels its call at the client.  */
void
worker_free (struct worker *worker)
{
  if (worker == NULL)
    return;
  httpd_free (worker->httpd);
  httpc_free (worker->httpc);
  membudget_free (worker->budget);
  free_policies (worker);
  route_reader_free (worker->reader);
  g_hash_table_unref (worker->calls);
  g_hash_table_unref (worker->admin);
  loop_free (worker->loop);
  ring_free (worker->inbox);
  g_queue_free_full (worker->outbox, msg_free);
  g_free (worker->id_prefix);
  g_free (worker);
}

void
worker_run (struct worker *worker)
{
  loop_run (worker->loop);
}

void
worker_stop (struct worker *worker)
{
  loop_stop (worker->loop);
}

int
worker_post (struct worker *worker, struct msg *message)
{
  int err = ring_send (worker->inbox, message);

  if (err < 0)
    msg_free (message);
  return err;
}

unsigned
worker_open_requests (const struct worker *worker)
{
  return ck_pr_load_uint (&worker->open);
}

int
worker_notify (struct worker *worker, struct msg *message)
{
  if (!g_queue_is_empty (worker->outbox))
    return -EAGAIN;
  return ring_send (worker->options->to_control, message);
}

void
worker_notify_reliably (struct worker *worker, struct msg *message)
{
  if (!g_queue_is_empty (worker->outbox)
      || worker_notify (worker, message) < 0)
    g_queue_push_tail (worker->outbox, message);
}

/* traffic_fixture - runs traffic threads against a caller, an engine and a
   control thread that are all simulated by one event loop.  */

#ifndef TRAFFIC_FIXTURE_H
#define TRAFFIC_FIXTURE_H

#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include "clk.h"
#include "httpc.h"
#include "httpd.h"
#include "loop.h"
#include "msg.h"
#include "ring.h"
#include "route.h"
#include "traffic.h"
#include "ts.h"

struct fixture
{
  struct loop *loop;
  struct httpd *engine;
  struct httpc *caller;
  struct route *route;
  struct ring *control;
  struct traffic *traffic;
  struct suspect_table *suspects;
  uint64_t fingerprint; /* of the last message */
  struct route_engine *replica;
  struct httpd_request *held_request; /* at the engine, unanswered */
  size_t sent;                        /* bytes of a long response so far */
  bool new_connections; /* the caller does not reuse connections */
  bool flood;           /* a long response is in progress */
  const char *version;  /* of the model published next; NULL: unknown */
  unsigned messages_seen[MSG_DRAIN + 1];
  enum msg_verdict verdict;
  struct timespec claim_until;
  char *last_id;
  int engine_requests;
  int requests_gone;
  GString *response_body;
  int done;
  int error;
  long status;
};

/* Longest silence within a stream; a test program may set another.  */
#ifndef IDLE_TIMEOUT_MS
#define IDLE_TIMEOUT_MS 300
#endif

#define EVENTS "data: {\"t\":1}\n\ndata: {\"t\":2}\n\n"
#define STREAM EVENTS "data: [DONE]\n\n"
#define BODY "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":true}"

static inline void
answer_stream (struct fixture *f, struct httpd_request *request, bool complete)
{
  const char *headers[] = { "X-Request-Id", f->last_id, NULL };

  httpd_stream_begin (request, 200, "text/event-stream", headers);
  httpd_stream_write (request, EVENTS, strlen (EVENTS));
  if (complete)
    httpd_stream_write (request, "data: [DONE]\n\n", 14);
  httpd_stream_end (request);
}

/* Defined by the test program: the engine's handler.  */
static void on_engine (struct fixture *f, struct httpd_request *request,
                       const char *body);

static void
on_request (void *user, struct httpd_request *request)
{
  struct fixture *f = user;
  const char *body = httpd_body (request, NULL);

  f->engine_requests++;
  g_free (f->last_id);
  f->last_id = g_strdup (httpd_header (request, "X-Request-Id"));
  on_engine (f, request, body);
}

static void
on_gone (void *user, struct httpd_request *request, bool complete)
{
  struct fixture *f = user;

  (void)complete;
  if (f->held_request == request)
    f->held_request = NULL;
  f->requests_gone++;
}

/* Defined by the test program: REQUEST can accept more of the response.  */
static void on_engine_writable (struct fixture *f,
                                struct httpd_request *request);

static void
on_writable (void *user, struct httpd_request *request)
{
  on_engine_writable (user, request);
}

static void
on_done (void *user, const struct httpc_result *result)
{
  struct fixture *f = user;

  f->done++;
  f->error = result->error;
  f->status = result->status;
  g_string_assign (f->response_body, result->body != NULL ? result->body : "");
}

static void
publish (struct fixture *f, enum route_state state, bool non_idempotent)
{
  struct route_table *table = route_table_new ();

  table->ready = true;
  table->target_count = 1;
  table->targets = g_new0 (struct route_target, 1);
  table->targets[0].name = g_strdup ("m");
  table->targets[0].team = g_strdup ("team");
  table->targets[0].version = g_strdup (f->version);
  table->targets[0].state = state;
  table->targets[0].non_idempotent = non_idempotent;
  if (state == ROUTE_READY)
    {
      table->targets[0].replica_count = 1;
      table->targets[0].replicas = g_new0 (struct route_replica, 1);
      table->targets[0].replicas[0].engine = route_engine_ref (f->replica);
      table->targets[0].replicas[0].slots = 4;
      table->targets[0].replicas[0].version = g_strdup (f->version);
    }
  route_publish (f->route, table);
  traffic_broadcast (f->traffic, MSG_ROUTES);
}

static void
set_up (struct fixture *f)
{
  struct httpd_options engine = { .address = "127.0.0.1",
                                  .request = on_request,
                                  .gone = on_gone,
                                  .writable = on_writable,
                                  .user = f };
  struct httpc_options caller = { 0 };
  struct ring_options ring = { .slots = 256, .release = msg_free };
  struct traffic_options options = { .clk = clk_monotonic (),
                                     .address = "127.0.0.1",
                                     .threads = 2,
                                     .node = "n1",
                                     .zone = "erie",
                                     .region = "great-lakes",
                                     .operator_token = "secret",
                                     .idle_timeout_ms = IDLE_TIMEOUT_MS,
                                     .idle_timeout_s = 1 };
  char *address;

  memset (f, 0, sizeof *f);
  f->loop = loop_new (clk_monotonic ());
  engine.loop = f->loop;
  caller.loop = f->loop;
  f->response_body = g_string_new (NULL);
  g_assert_cmpint (httpd_new (&engine, &f->engine), ==, 0);
  f->caller = httpc_new (&caller);
  f->route = route_new ();
  f->control = ring_new (&ring);
  options.route = f->route;
  options.to_control = f->control;
  f->suspects = suspect_table_new ();
  options.suspects = f->suspects;
  g_assert_cmpint (traffic_new (&options, &f->traffic), ==, 0);
  g_assert_cmpint (traffic_start (f->traffic), ==, 0);
  address = g_strdup_printf ("127.0.0.1:%u", httpd_port (f->engine));
  f->replica = route_engine_new ("e1", address, "erie", "pool");
  g_free (address);
}

static void
tear_down (struct fixture *f)
{
  httpc_free (f->caller);
  traffic_stop (f->traffic);
  traffic_free (f->traffic);
  g_assert_cmpuint (f->replica->inflight, ==, 0);
  route_engine_unref (f->replica);
  ring_free (f->control);
  route_free (f->route);
  suspect_table_free (f->suspects);
  httpd_free (f->engine);
  loop_free (f->loop);
  g_string_free (f->response_body, TRUE);
  g_free (f->last_id);
}

static void
answer_verdict_request (struct fixture *f, const struct msg *msg)
{
  struct msg *answer;

  if (msg->type != MSG_RECORD_BEGIN && msg->type != MSG_SUSPECT_BEGIN)
    return;
  answer = msg_new (msg->type == MSG_RECORD_BEGIN ? MSG_RECORD_VERDICT
                                                  : MSG_SUSPECT_VERDICT);
  answer->request = msg->request;
  answer->key = g_strdup (msg->key);
  answer->verdict = f->verdict;
  answer->deadline = f->claim_until;
  g_assert_cmpint (traffic_send (f->traffic, msg->thread, answer), ==, 0);
}

static void
run_once (struct fixture *f)
{
  struct msg *msg;

  loop_run_once (f->loop, 5);
  while ((msg = ring_receive (f->control)) != NULL)
    {
      f->messages_seen[msg->type]++;
      f->fingerprint = msg->fingerprint;
      answer_verdict_request (f, msg);
      msg_free (msg);
    }
}

#define RUN_UNTIL(f, condition)                                               \
  while (!(condition))                                                        \
  run_once (f)

static struct httpc_call *
start_request (struct fixture *f, const char *path, const char *body,
               const char *const *headers)
{
  char *url = g_strdup_printf ("http://127.0.0.1:%u%s",
                               traffic_port (f->traffic), path);
  struct httpc_request request = { .url = url,
                                   .headers = headers,
                                   .body = body,
                                   .length = body ? strlen (body) : 0,
                                   .fresh_connection = f->new_connections,
                                   .done = on_done,
                                   .user = f };
  struct httpc_call *started = httpc_start (f->caller, &request);

  f->done = 0;
  g_free (url);
  return started;
}

static inline void
request_and_wait (struct fixture *f, const char *path, const char *body,
                  const char *const *headers)
{
  start_request (f, path, body, headers);
  RUN_UNTIL (f, f->done > 0);
}

#endif

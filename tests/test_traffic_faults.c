#include <errno.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include "doc.h"
#include "traffic_fixture.h"

#define HEAD_PATH "/nothing"
#define HEAD_FIELDS ""
#include "request_heads.h"

#define LONG_ANSWER_BYTES (48u << 20)
#define BUFFERED_BYTES_MAX (16u << 20) /* kernel buffers included */
#define REFUSALS 6                     /* before an engine accepts a request */

static void
flood (struct fixture *f, struct httpd_request *request)
{
  char event[4096];

  memset (event, 'x', sizeof event);
  memcpy (event, "data: ", 6);
  memcpy (event + sizeof event - 2, "\n\n", 2);
  while (f->sent < LONG_ANSWER_BYTES
         && httpd_stream_write (request, event, sizeof event) == 0)
    f->sent += sizeof event;
  if (f->sent < LONG_ANSWER_BYTES || !f->flood)
    return;
  f->flood = false;
  httpd_stream_write (request, "data: [DONE]\n\n", 14);
  httpd_stream_end (request);
}

static void
begin_flood (struct fixture *f, struct httpd_request *request)
{
  const char *headers[] = { "X-Request-Id", f->last_id, NULL };

  f->flood = true;
  httpd_stream_begin (request, 200, "text/event-stream", headers);
  flood (f, request);
}

static void
on_engine_writable (struct fixture *f, struct httpd_request *request)
{
  flood (f, request);
}

/* Truncates the stream after the first event, or completes a resumed one.  */
static void
answer_one_event (struct fixture *f, struct httpd_request *request,
                  const char *body)
{
  const char *headers[] = { "X-Request-Id", f->last_id, NULL };
  const char *rest = "data: {\"t\":2}\n\ndata: [DONE]\n\n";
  const char *first = "data: {\"t\":1}\n\ndata: {\"t";
  bool resumed = strstr (body, "\"resume_from\":1") != NULL;

  httpd_stream_begin (request, 200, "text/event-stream", headers);
  httpd_stream_write (request, resumed ? rest : first,
                      strlen (resumed ? rest : first));
  if (resumed)
    httpd_stream_end (request);
  else
    httpd_stream_abort (request);
}

/* Leaves the stream open after the first event.  */
static void
begin_held (struct fixture *f, struct httpd_request *request)
{
  const char *headers[] = { "X-Request-Id", f->last_id, NULL };
  const char *first = "data: {\"t\":1}\n\n";

  f->held_request = request;
  httpd_stream_begin (request, 200, "text/event-stream", headers);
  httpd_stream_write (request, first, strlen (first));
}

/* Answers only the first request of each connection.  */
static void
answer_once_per_connection (struct fixture *f, struct httpd_request *request)
{
  static bool used[UINT16_MAX + 1];
  uint16_t port = httpd_peer_port (request);

  if (used[port])
    return;
  used[port] = true;
  answer_stream (f, request, true);
}

static void
refuse_first_requests (struct fixture *f, struct httpd_request *request)
{
  const char *refusal = "{\"error\":{\"type\":\"busy\",\"not_run\":true}}";
  const char *headers[] = { "X-Request-Id", f->last_id, NULL };

  if (f->engine_requests > REFUSALS)
    answer_stream (f, request, true);
  else
    httpd_respond (request, 429, "application/json", headers, refusal,
                   strlen (refusal));
}

static void
answer_half_event (struct httpd_request *request)
{
  const char *headers[]
      = { "X-Request-Id", httpd_header (request, "X-Request-Id"), NULL };

  httpd_stream_begin (request, 200, "Text/Event-Stream", headers);
  httpd_stream_write (request, EVENTS "data: ", strlen (EVENTS "data: "));
  httpd_stream_end (request);
}

static void
on_engine (struct fixture *f, struct httpd_request *request, const char *body)
{
  if (strstr (body, "part held") != NULL && f->held_request == NULL
      && strstr (body, "resume_from") == NULL)
    begin_held (f, request);
  else if (strstr (body, "flood") != NULL)
    begin_flood (f, request);
  else if (strstr (body, "half") != NULL)
    answer_half_event (request);
  else if (strstr (body, "part") != NULL)
    answer_one_event (f, request, body);
  else if (strstr (body, "silent") != NULL)
    answer_once_per_connection (f, request);
  else if (strstr (body, "busy") != NULL)
    refuse_first_requests (f, request);
  else
    answer_stream (f, request, true);
}

/* A truncated stream is resumed after the events that the caller has
   received.  */
static void
test_resume (void)
{
  struct fixture f;

  set_up (&f);
  publish (&f, ROUTE_READY, false);
  request_and_wait (&f, "/v1/completions",
                    "{\"model\":\"m\",\"prompt\":\"part\",\"stream\":true}",
                    NULL);
  g_assert_cmpint (f.error, ==, 0);
  g_assert_cmpstr (f.response_body->str, ==, STREAM);
  g_assert_cmpint (f.engine_requests, ==, 2);
  tear_down (&f);
}

/* Begins a stream at a model with version 1, which is replaced by VERSION
   before the stream breaks off.  */
static void
break_stream (struct fixture *f, const char *version)
{
  f->version = "1";
  publish (f, ROUTE_READY, false);
  start_request (f, "/v1/completions",
                 "{\"model\":\"m\",\"prompt\":\"part held\",\"stream\":true}",
                 NULL);
  RUN_UNTIL (f, f->held_request != NULL);
  for (int i = 0; i < 20; i++)
    loop_run_once (f->loop, 5);
  f->version = version;
  publish (f, ROUTE_READY, false);
  httpd_stream_abort (f->held_request);
  RUN_UNTIL (f, f->done > 0);
}

/* Guards against a stream that goes on at another version of its model.  */
static void
test_resume_version (void)
{
  struct fixture f;

  set_up (&f);
  break_stream (&f, "1");
  g_assert_cmpint (f.error, ==, 0);
  g_assert_cmpstr (f.response_body->str, ==, STREAM);
  g_assert_cmpint (f.engine_requests, ==, 2);
  tear_down (&f);
  set_up (&f);
  break_stream (&f, "2");
  g_assert_cmpint (f.error, <, 0);
  g_assert_cmpint (f.engine_requests, ==, 1);
  tear_down (&f);
}

/* A stream that stalls must not hold up its caller either.  The engine of
   this test truncates the stream, as in test_resume; it does not stall.  */
static void
test_stall (void)
{
  struct fixture f;

  set_up (&f);
  publish (&f, ROUTE_READY, false);
  request_and_wait (
      &f, "/v1/completions",
      "{\"model\":\"m\",\"prompt\":\"part stall\",\"stream\":true}", NULL);
  g_assert_cmpint (f.error, ==, 0);
  g_assert_cmpstr (f.response_body->str, ==, STREAM);
  tear_down (&f);
}

static void
publish_service (struct fixture *f)
{
  static const struct doc_service rules;
  struct route_table *table = route_table_new ();
  struct route_service *service = g_new0 (struct route_service, 1);

  table->ready = true;
  table->services = service;
  table->service_count = 1;
  service->name = g_strdup ("s");
  service->team = g_strdup ("team");
  service->doc = &rules;
  service->replicas = g_new0 (struct route_replica, 1);
  service->replica_count = 1;
  service->replicas[0].engine = route_engine_ref (f->replica);
  service->replicas[0].slots = 4;
  route_publish (f->route, table);
  traffic_broadcast (f->traffic, MSG_ROUTES);
}

/* A stream of a plain service that ended inside an event was passed on as
   complete.  */
static void
test_half_event (void)
{
  struct fixture f;

  set_up (&f);
  publish_service (&f);
  request_and_wait (&f, "/v1/services/s/x", "half", NULL);
  g_assert_cmpint (f.error, ==, -EPIPE);
  g_assert_cmpstr (f.response_body->str, ==, EVENTS);
  tear_down (&f);
}

/* A non-idempotent stream is not resumed.  */
static void
test_no_resume (void)
{
  struct fixture f;

  set_up (&f);
  publish (&f, ROUTE_READY, true);
  request_and_wait (&f, "/v1/completions",
                    "{\"model\":\"m\",\"prompt\":\"part\",\"stream\":true}",
                    NULL);
  g_assert_cmpint (f.error, <, 0);
  g_assert_cmpint (f.engine_requests, ==, 1);
  tear_down (&f);
}

/* An engine that answers only the first request of each connection: each
   caller still gets its response, and only the first stall costs a retry,
   because connections are not reused afterwards.  */
static void
test_stalled_connections (void)
{
  static const char body[]
      = "{\"model\":\"m\",\"prompt\":\"silent\",\"stream\":true}";
  struct fixture f;

  set_up (&f);
  publish (&f, ROUTE_READY, false);
  for (int i = 0; i < 6; i++)
    {
      request_and_wait (&f, "/v1/completions", body, NULL);
      g_assert_cmpint (f.status, ==, 200);
      g_assert_cmpstr (f.response_body->str, ==, STREAM);
    }
  g_assert_cmpint (f.engine_requests, ==, 7);
  tear_down (&f);
}

/* Refusals before running do not use up attempts.  */
static void
test_refusals (void)
{
  struct fixture f;

  set_up (&f);
  publish (&f, ROUTE_READY, true);
  request_and_wait (&f, "/v1/completions",
                    "{\"model\":\"m\",\"prompt\":\"busy\",\"stream\":true}",
                    NULL);
  g_assert_cmpint (f.status, ==, 200);
  g_assert_cmpint (f.engine_requests, ==, REFUSALS + 1);
  tear_down (&f);
}

/* The claim expires while the request waits: it is returned unused and
   requested again.  */
static void
test_claim_renewal (void)
{
  static const char *const headers[] = { "Idempotency-Key: k", NULL };
  struct fixture f;

  set_up (&f);
  publish (&f, ROUTE_COLD, true);
  f.claim_until = clk_now (clk_monotonic ());
  start_request (&f, "/v1/completions", BODY, headers);
  RUN_UNTIL (&f, f.messages_seen[MSG_WAITING_INCREASED] > 0);
  f.claim_until = ts_add_ms (clk_now (clk_monotonic ()), 60000);
  publish (&f, ROUTE_READY, true);
  RUN_UNTIL (&f, f.done > 0);
  g_assert_cmpint (f.status, ==, 200);
  RUN_UNTIL (&f, f.messages_seen[MSG_RECORD_END] == 2);
  g_assert_cmpuint (f.messages_seen[MSG_RECORD_BEGIN], ==, 2);
  g_assert_cmpint (f.engine_requests, ==, 1);
  tear_down (&f);
}

/* A request with one strike needs permission to run; with two it is
   refused.  */
static void
test_suspect (void)
{
  struct fixture f;

  set_up (&f);
  publish (&f, ROUTE_READY, false);
  request_and_wait (&f, "/v1/completions", BODY, NULL);
  RUN_UNTIL (&f, f.messages_seen[MSG_REQUEST] > 0);
  suspect_table_set (f.suspects, f.fingerprint, 1, 7);
  f.verdict = MSG_VERDICT_RUN;
  request_and_wait (&f, "/v1/completions", BODY, NULL);
  g_assert_cmpint (f.status, ==, 200);
  RUN_UNTIL (&f, f.messages_seen[MSG_SUSPECT_END] == 1);
  f.verdict = MSG_VERDICT_NOT_RUN;
  request_and_wait (&f, "/v1/completions", BODY, NULL);
  g_assert_cmpint (f.status, ==, 422);
  suspect_table_set (f.suspects, f.fingerprint, 2, 7);
  request_and_wait (&f, "/v1/completions", BODY, NULL);
  g_assert_cmpint (f.status, ==, 422);
  g_assert_nonnull (strstr (f.response_body->str, "\"not_run\":true"));
  g_assert_cmpint (f.engine_requests, ==, 2);
  g_assert_cmpuint (f.messages_seen[MSG_SUSPECT_BEGIN], ==, 2);
  tear_down (&f);
}

static int
connect_raw (const struct fixture *f)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_port = htons (traffic_port (f->traffic));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (connect (fd, (struct sockaddr *)&address, sizeof address),
                   ==, 0);
  return fd;
}

static void
send_raw (int fd, const char *text, size_t n)
{
  while (n > 0)
    {
      ssize_t sent = send (fd, text, n, MSG_NOSIGNAL);

      if (sent <= 0)
        return;
      text += sent;
      n -= (size_t)sent;
    }
}

/* Back-pressure: a caller that does not read must not make the node buffer
   without bound, and it still receives the complete response afterwards.
   The event loop runs here because it plays the engine as well.  */
static void
test_slow_reader (void)
{
  static const char body[]
      = "{\"model\":\"m\",\"prompt\":\"flood\",\"stream\":true}";
  struct fixture f;
  char block[65536];
  char *head = g_strdup_printf ("POST /v1/completions HTTP/1.1\r\n"
                                "Host: x\r\nContent-Length: %zu\r\n"
                                "Connection: close\r\n\r\n%s",
                                strlen (body), body);
  size_t before = 0;
  size_t read_bytes = 0;
  ssize_t n;
  int idle_rounds = 0;
  int fd;

  set_up (&f);
  publish (&f, ROUTE_READY, false);
  fd = connect_raw (&f);
  send_raw (fd, head, strlen (head));
  RUN_UNTIL (&f, f.sent > 0);
  while (idle_rounds < 20)
    {
      run_once (&f);
      idle_rounds = f.sent == before ? idle_rounds + 1 : 0;
      before = f.sent;
    }
  g_assert_cmpuint (f.sent, <, BUFFERED_BYTES_MAX);
  do
    {
      run_once (&f);
      n = recv (fd, block, sizeof block, MSG_DONTWAIT);
      if (n > 0)
        read_bytes += (size_t)n;
    }
  while (n != 0);
  g_assert_cmpuint (read_bytes, >, LONG_ANSWER_BYTES);
  close (fd);
  g_free (head);
  tear_down (&f);
}

struct raw_case
{
  const char *head;
  size_t filler;      /* number of 'a' bytes that follow */
  const char *status; /* "": closed without a response */
};

static const struct raw_case raw_cases[] = {
  { "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 0,
    "200" },
  { "rubbish\r\n\r\n", 0, "" },
  { "GET /healthz HTTP/1.1\r\nHost", 0, "" },
  { "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{",
    0, "" },
  { "GET /healthz HTTP/1.1\r\nHost: x\r\nX: ", 100000, "431" },
  { "POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    "Content-Length: 5000000\r\n\r\n",
    5000000, "413" },
  { "POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
    0, "400" },
  { "POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    "Content-Length: -1\r\n\r\n",
    0, "400" },
  { "POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    "X-Deadline-Ms: 1\r\nX-Deadline-Ms: 2\r\nContent-Length: 0\r\n\r\n",
    0, "400" },
  { "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
    "Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n",
    0, "400" },
};

static void
check_raw (struct fixture *f, const struct raw_case *c)
{
  char *filler = g_strnfill (c->filler, 'a');
  char answer[4096] = "";
  int fd = connect_raw (f);
  ssize_t n;
  size_t received = 0;

  g_test_message ("%.60s", c->head);
  send_raw (fd, c->head, strlen (c->head));
  send_raw (fd, filler, c->filler);
  while (received < sizeof answer - 1
         && (n = recv (fd, answer + received, sizeof answer - 1 - received, 0))
                > 0)
    received += (size_t)n;
  if (*c->status != '\0')
    g_assert_cmpint (strncmp (answer + strlen ("HTTP/1.1 "), c->status, 3), ==,
                     0);
  close (fd);
  g_free (filler);
}

/* Each malformed request is answered or its connection closed, and the
   node continues to serve.  */
static void
test_malformed (void)
{
  struct fixture f;

  set_up (&f);
  publish (&f, ROUTE_READY, false);
  f.new_connections = true;
  for (size_t i = 0; i < G_N_ELEMENTS (raw_cases); i++)
    {
      check_raw (&f, &raw_cases[i]);
      request_and_wait (&f, "/v1/completions", BODY, NULL);
      g_assert_cmpint (f.status, ==, 200);
    }
  tear_down (&f);
}

/* Requests hidden in the body of one of ambiguous length ran at an engine.  */
static void
test_hidden_requests (void)
{
  char *behind
      = g_strdup_printf ("POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                         "Connection: close\r\n"
                         "Content-Length: %zu\r\n\r\n%s",
                         strlen (BODY), BODY);
  struct fixture f;

  set_up (&f);
  publish (&f, ROUTE_READY, false);
  for (size_t i = 0; i < REQUEST_HEADS; i++)
    {
      const struct request_head *head = &request_heads[i];
      int fd = connect_raw (&f);
      ssize_t n = 1;
      char got[4096];

      g_test_message ("%s", head->name);
      f.engine_requests = 0;
      send_raw (fd, head->text, head->length);
      send_raw (fd, behind, strlen (behind));
      while (n > 0 || (n < 0 && errno == EAGAIN))
        {
          run_once (&f);
          n = recv (fd, got, sizeof got, MSG_DONTWAIT);
        }
      g_assert_cmpint (f.engine_requests, ==, head->outcome == HEAD_SERVED);
      close (fd);
    }
  tear_down (&f);
  g_free (behind);
}

/* A connection that keeps sending single bytes without completing a
   request is closed.  */
static void
test_slow_sender (void)
{
  struct fixture f;
  char byte;
  int fd;

  set_up (&f);
  publish (&f, ROUTE_READY, false);
  fd = connect_raw (&f);
  send_raw (fd, "GET /healthz HTTP/1.1\r\nX: ", 26);
  while (recv (fd, &byte, 1, MSG_DONTWAIT) != 0)
    {
      send_raw (fd, "a", 1);
      loop_run_once (f.loop, 100);
    }
  close (fd);
  tear_down (&f);
}

/* During a drain the node is not ready, but still serves requests.  */
static void
test_drain (void)
{
  struct fixture f;

  set_up (&f);
  publish (&f, ROUTE_READY, false);
  request_and_wait (&f, "/readyz", NULL, NULL);
  g_assert_cmpint (f.status, ==, 200);
  traffic_drain (f.traffic);
  request_and_wait (&f, "/readyz", NULL, NULL);
  g_assert_cmpint (f.status, ==, 503);
  request_and_wait (&f, "/v1/completions", BODY, NULL);
  g_assert_cmpint (f.status, ==, 200);
  tear_down (&f);
}

#define CONCURRENT_REQUESTS 30 /* below the queue limit of a thread */
#define TOTAL_REQUESTS 400

static void
on_load_done (void *user, const struct httpc_result *result)
{
  struct fixture *f = user;

  g_assert_cmpint (result->error, ==, 0);
  g_assert_cmpint (result->status, ==, 200);
  g_assert_cmpstr (result->body, ==, STREAM);
  f->done++;
}

/* Concurrent requests while route tables change, for ThreadSanitizer.  */
static void
test_load (void)
{
  struct fixture f;
  char *url;
  int started = 0;
  unsigned publishes = 0;

  set_up (&f);
  publish (&f, ROUTE_READY, false);
  url = g_strdup_printf ("http://127.0.0.1:%u/v1/completions",
                         traffic_port (f.traffic));
  while (f.done < TOTAL_REQUESTS)
    {
      struct httpc_request request = { .url = url,
                                       .body = BODY,
                                       .length = strlen (BODY),
                                       .fresh_connection = true,
                                       .done = on_load_done,
                                       .user = &f };

      while (started < TOTAL_REQUESTS
             && started - f.done < CONCURRENT_REQUESTS)
        {
          httpc_start (f.caller, &request);
          started++;
        }
      publish (&f, publishes++ % 7 == 0 ? ROUTE_COLD : ROUTE_READY, false);
      run_once (&f);
    }
  g_free (url);
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/traffic/half-event", test_half_event);
  g_test_add_func ("/traffic/resume", test_resume);
  g_test_add_func ("/traffic/resume-version", test_resume_version);
  g_test_add_func ("/traffic/stall", test_stall);
  g_test_add_func ("/traffic/no-resume", test_no_resume);
  g_test_add_func ("/traffic/silent", test_stalled_connections);
  g_test_add_func ("/traffic/busy", test_refusals);
  g_test_add_func ("/traffic/claim", test_claim_renewal);
  g_test_add_func ("/traffic/suspect", test_suspect);
  g_test_add_func ("/traffic/slow-reader", test_slow_reader);
  g_test_add_func ("/traffic/raw", test_malformed);
  g_test_add_func ("/traffic/hidden-requests", test_hidden_requests);
  g_test_add_func ("/traffic/dribble", test_slow_sender);
  g_test_add_func ("/traffic/drain", test_drain);
  g_test_add_func ("/traffic/load", test_load);
  return g_test_run ();
}

/* Tests a complete gate with the platform's protocol, against a store and a
   backend server simulated by the test.  */

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include "gate_fixture.h"
#include "gate_second.h"

#define HEAD_PATH "/safe/outer"
#define HEAD_FIELDS ID ": outer\r\n"
#include "request_heads.h"

#define EVENT(n) "id: " #n "\ndata: x" #n "\n\n"

/* The last component of the path selects the server's behaviour.  */
static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  const char *behaviour = strrchr (httpd_path (request), '/') + 1;
  const char *last_event_id = httpd_header (request, "Last-Event-Id");
  const char *not_run[] = { "Parsleyrill-Not-Executed", "1", NULL };
  const char *another_id[] = { ID, "another", SEAL, "seal", NULL };

  if (strcmp (behaviour, "hold") == 0)
    f->held = request;
  else if (strcmp (behaviour, "reset") == 0)
    httpd_drop (request);
  else if (strcmp (behaviour, "full") == 0 && f->at_server < 3)
    httpd_respond (request, 503, "text/plain", not_run, "", 0);
  else if (strcmp (behaviour, "never") == 0)
    httpd_respond (request, 503, "text/plain", not_run, "", 0);
  else if (strcmp (behaviour, "fails") == 0)
    answer (request, 500, "failed");
  else if (strcmp (behaviour, "unsigned") == 0)
    httpd_respond (request, 200, "text/plain", NULL, "whose", 5);
  else if (strcmp (behaviour, "others") == 0)
    httpd_respond (request, 200, "text/plain", another_id, "whose", 5);
  else if (strcmp (behaviour, "events") == 0 && last_event_id == NULL)
    {
      begin_event_stream (request, EVENT (1) EVENT (2) "id: 3\nda");
      httpd_stream_abort (request);
    }
  else if (strcmp (behaviour, "events") == 0)
    {
      begin_event_stream (request, EVENT (3));
      httpd_stream_end (request);
    }
  else
    answer (request, 200, "hello");
}

/* A node without a configuration answers 503, not 404: it cannot know whether
   there is a route.  */
static void
test_no_configuration (void)
{
  struct fixture f;

  set_up (&f);
  request_and_wait (&f, "GET", "/safe/x", NULL);
  g_assert_cmpint (f.status, ==, 503);
  g_assert_nonnull (f.retry_after);
  wait_until_serving (&f);
  request_and_wait (&f, "GET", "/nowhere/x", NULL);
  g_assert_cmpint (f.status, ==, 404);
  g_assert_cmpuint (f.at_server, ==, 0);
  tear_down (&f);
}

/* A node that starts while it cannot reach the store gets the configuration
   from the other nodes, and later versions too.  */
static void
test_config_from_peer (void)
{
  struct fixture f;
  struct second second;
  struct gate *first;

  set_up (&f);
  wait_until_serving (&f);
  start_second (&f, &second);
  first = f.gate;
  f.gate = second.gate;
  do
    request_and_wait (&f, "GET", "/nowhere/x", NULL);
  while (f.status == 503);
  g_assert_cmpint (f.status, ==, 404);
  put_row (&f, "op/config",
           "{\"Version\":2,\"Routes\":[{\"Name\":\"x\",\"Hostname\":"
           "\"h.example\",\"Prefix\":\"/nowhere/\",\"Kind\":\"safe\","
           "\"TimeoutMs\":100,\"Service\":\"none\",\"MaxAttempts\":1}],"
           "\"Services\":[{\"Name\":\"none\"}]}");
  do
    request_and_wait (&f, "GET", "/nowhere/x", NULL);
  while (f.status == 404);
  f.gate = first;
  stop_second (&second);
  tear_down (&f);
}

/* Header and request target are forwarded unchanged, except for the headers
   that this system sets.  */
static void
test_forwarded_headers (void)
{
  static const char *const headers[] = { "Parsleyrill-Deadline-Ms: 5000",
                                         "X-Own: 1",
                                         "Parsleyrill-Hold: h",
                                         "Parsleyrill-Pin-Ms: 1",
                                         "Connection: X-Gone",
                                         "X-Gone: 1",
                                         NULL };
  struct fixture f;
  const char *deadline;

  set_up (&f);
  wait_until_serving (&f);
  request_and_wait (&f, "GET", "/safe/a%20b/x?q=1&r=%2F", headers);
  g_assert_cmpint (f.status, ==, 200);
  g_assert_cmpstr (f.received->str, ==, "hello");
  g_assert_true (
      g_str_has_prefix (f.last_request->str, "GET /safe/a%20b/x?q=1&r=%2F\n"));
  g_assert_nonnull (strstr (f.last_request->str, "\nX-Own: 1\n"));
  g_assert_nonnull (strstr (f.last_request->str, "\nHost: h.example\n"));
  g_assert_nonnull (strstr (f.last_request->str, "\n" ID ": r1\n"));
  g_assert_nonnull (
      strstr (f.last_request->str, "\nParsleyrill-Expect-Instance: i-1\n"));
  g_assert_null (strstr (f.last_request->str, "Parsleyrill-Hold"));
  g_assert_null (strstr (f.last_request->str, "Parsleyrill-Pin-Ms"));
  g_assert_null (strstr (f.last_request->str, "X-Gone"));
  deadline = strstr (f.last_request->str, "Parsleyrill-Deadline-Ms: ");
  g_assert_nonnull (deadline);
  g_assert_cmpint (atoi (deadline + strlen ("Parsleyrill-Deadline-Ms: ")), <=,
                   5000);
  tear_down (&f);
}

struct retry_case
{
  const char *path;
  long status;
  unsigned at_server; /* requests that reach the server */
};

/* A request that may have run is repeated only where its route allows it, and
   is reported as not executed only if that is certain.  */
static void
test_retries (void)
{
  static const struct retry_case cases[] = {
    { "/once/x", 200, 1 },      { "/once/fails", 500, 1 },
    { "/once/reset", 502, 1 },  { "/once/unsigned", 502, 1 },
    { "/once/others", 502, 1 }, { "/safe/reset", 502, 2 },
    { "/safe/fails", 500, 2 },  { "/safe/unsigned", 502, 2 },
    { "/cut/reset", 502, 1 },
  };
  struct fixture f;

  set_up (&f);
  wait_until_serving (&f);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      f.at_server = 0;
      g_test_message ("%s", cases[i].path);
      request_and_wait (&f, "GET", cases[i].path, NULL);
      g_assert_cmpint (f.status, ==, cases[i].status);
      g_assert_cmpuint (f.at_server, ==, cases[i].at_server);
    }
  tear_down (&f);
}

/* A body larger than the configured limit reaches no server.  */
static void
test_body_limit (void)
{
  g_autofree char *body = g_strnfill (4097, 'x');
  struct fixture f;

  set_up (&f);
  wait_until_serving (&f);
  f.at_server = 0;
  f.body = body;
  request_and_wait (&f, "POST", "/safe/x", NULL);
  g_assert_cmpint (f.status, ==, 413);
  g_assert_cmpuint (f.at_server, ==, 0);
  body[4096] = '\0';
  request_and_wait (&f, "POST", "/safe/x", NULL);
  g_assert_cmpint (f.status, ==, 200);
  tear_down (&f);
}

/* A server that refuses every request before running it: at the deadline the
   caller gets 503, also on a route whose requests must not run twice.  */
static void
test_not_run (void)
{
  static const char *const short_deadline[]
      = { "Parsleyrill-Deadline-Ms: 400", NULL };
  struct fixture f;

  set_up (&f);
  wait_until_serving (&f);
  request_and_wait (&f, "GET", "/once/never", short_deadline);
  g_assert_cmpint (f.status, ==, 503);
  g_assert_cmpuint (f.at_server, >=, 1);
  tear_down (&f);
}

static void
list_dead_server (struct fixture *f)
{
  put_row (f, "servers/i-dead",
           "{\"Service\":\"app\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"z\","
           "\"Slots\":8,\"State\":\"ready\",\"Sequence\":1}");
}

/* Guards against a retry budget that grows each time a request finds a server
   that refuses connections.  */
static void
test_budget_unsent (void)
{
  static const char *const deadline[]
      = { "Parsleyrill-Deadline-Ms: 1500", NULL };
  struct fixture f;

  set_up (&f);
  wait_until_serving (&f);
  do
    {
      f.at_server = 0;
      request_and_wait (&f, "GET", "/safe/never", deadline);
    }
  while (f.at_server > 2);
  put_row (&f, "servers/i-1", NULL);
  list_dead_server (&f);
  request_and_wait (&f, "GET", "/safe/x", deadline);
  g_assert_cmpint (f.status, ==, 503);
  put_row (&f, "servers/i-dead", NULL);
  list_server (&f, "ready");
  f.at_server = 0;
  request_and_wait (&f, "GET", "/safe/never", deadline);
  g_assert_cmpuint (f.at_server, >=, 1);
  /* Two requests allow less than two retries, beside less than one left.  */
  g_assert_cmpuint (f.at_server, <=, 3);
  tear_down (&f);
}

/* The caller gets one stream from two attempts, with complete events only.  */
static void
test_resume (void)
{
  struct fixture f;

  set_up (&f);
  wait_until_serving (&f);
  request_and_wait (&f, "GET", "/long/events", NULL);
  g_assert_cmpint (f.error, ==, 0);
  g_assert_cmpstr (f.received->str, ==, EVENT (1) EVENT (2) EVENT (3));
  g_assert_nonnull (strstr (f.last_request->str, "\nLast-Event-Id: 2\n"));
  f.at_server = 0;
  request_and_wait (&f, "GET", "/cut/events", NULL);
  g_assert_cmpint (f.error, <, 0);
  g_assert_cmpuint (f.at_server, ==, 1);
  tear_down (&f);
}

/* When a caller disconnects, its request is cancelled at the server.  */
static void
test_disconnect (void)
{
  struct fixture f;

  set_up (&f);
  wait_until_serving (&f);
  start_request (&f, "GET", "/safe/hold", NULL);
  RUN_UNTIL (&f, f.held != NULL);
  httpc_cancel (f.call);
  RUN_UNTIL (&f, f.finished_at_server > 0);
  tear_down (&f);
}

/* A draining server gets no new requests until it is ready again.  Rows and a
   configuration that cannot be parsed are ignored.  */
static void
test_draining_server (void)
{
  static const char *const short_deadline[]
      = { "Parsleyrill-Deadline-Ms: 300", NULL };
  struct fixture f;

  set_up (&f);
  wait_until_serving (&f);
  put_row (&f, "servers/i-1", "\xff{");
  put_row (&f, "servers/i-2", "{\"State\":\"odd\"}");
  put_row (&f, "op/config", "{\"Version\":");
  for (int i = 0; i < 400; i++)
    run_once (&f);
  request_and_wait (&f, "GET", "/safe/x", NULL);
  g_assert_cmpint (f.status, ==, 200);
  list_server (&f, "draining");
  do
    request_and_wait (&f, "GET", "/safe/x", short_deadline);
  while (f.status == 200);
  g_assert_cmpint (f.status, ==, 503);
  list_server (&f, "ready");
  do
    request_and_wait (&f, "GET", "/safe/x", NULL);
  while (f.status != 200);
  tear_down (&f);
}

/* Late in a graceful shutdown, new requests are refused at once; accepted ones
   are answered and their connections closed.  */
static void
test_drain (void)
{
  struct fixture f;

  set_up (&f);
  wait_until_serving (&f);
  start_request (&f, "GET", "/safe/hold", NULL);
  RUN_UNTIL (&f, f.held != NULL);
  gate_drain (f.gate);
  answer (f.held, 200, "late");
  RUN_UNTIL (&f, f.done);
  g_assert_cmpint (f.status, ==, 200);
  g_assert_cmpstr (f.received->str, ==, "late");
  do
    request_and_wait (&f, "GET", "/safe/x", NULL);
  while (f.status == 200);
  g_assert_cmpint (f.status, ==, 503);
  g_assert_nonnull (f.retry_after);
  tear_down (&f);
}

/* Returns 0 when the connection was closed, or the negative errno that ended
   it.  */
static int
send_bytes (struct fixture *f, const char *text, size_t length, char *got,
            size_t size)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  size_t n = 0;
  ssize_t read_now = 1;
  int err = 0;

  address.sin_port = htons (gate_port (f->gate));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (connect (fd, (struct sockaddr *)&address, sizeof address),
                   ==, 0);
  g_assert_cmpint (send (fd, text, length, MSG_NOSIGNAL), ==, (ssize_t)length);
  while (read_now != 0 && err == 0 && n < size - 1)
    {
      run_once (f);
      read_now = recv (fd, got + n, size - 1 - n, MSG_DONTWAIT);
      if (read_now > 0)
        n += (size_t)read_now;
      else if (read_now < 0 && errno != EAGAIN)
        err = -errno;
    }
  got[n] = '\0';
  close (fd);
  return err;
}

static int
send_raw (struct fixture *f, const char *text, char *got, size_t size)
{
  return send_bytes (f, text, strlen (text), got, size);
}

struct raw_case
{
  const char *text;
  const char *status; /* "": closed without a response */
};

/* Malformed or ambiguous requests are refused and reach no server.  */
static void
test_malformed (void)
{
  static const struct raw_case cases[] = {
    { "GET /safe/x HTTP/1.1\r\nHost: h.example\r\n"
      "Connection: close\r\n\r\n",
      "400" },
    { "POST /safe/x HTTP/1.1\r\nHost: h.example\r\n" ID ": r\r\n"
      "Connection: close\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n"
      "abcd",
      "400" },
    { "POST /safe/x HTTP/1.1\r\nHost: h.example\r\n" ID ": r\r\n"
      "Connection: close\r\nContent-Length: 4\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "400" },
    { "rubbish\r\n\r\n", "" },
    { "GET /safe/x HTTP/1.1\r\nHost: h.example\r\n" ID ": r\r\n"
      "Connection: close\r\n\r\n",
      "200" },
  };
  struct fixture f;
  char got[4096];

  set_up (&f);
  wait_until_serving (&f);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_test_message ("%.40s", cases[i].text);
      send_raw (&f, cases[i].text, got, sizeof got);
      if (*cases[i].status != '\0')
        g_assert_cmpint (
            strncmp (got + strlen ("HTTP/1.1 "), cases[i].status, 3), ==, 0);
    }
  g_assert_cmpuint (f.at_server, ==, 1);
  tear_down (&f);
}

/* Requests hidden in the body of one of ambiguous length ran at a server.  */
static void
test_hidden_requests (void)
{
  static const char behind[] = "GET /safe/behind HTTP/1.1\r\n"
                               "Host: h.example\r\n" ID ": behind\r\n"
                               "Connection: close\r\n\r\n";
  struct fixture f;

  set_up (&f);
  wait_until_serving (&f);
  for (size_t i = 0; i < REQUEST_HEADS; i++)
    {
      const struct request_head *head = &request_heads[i];
      GString *text = g_string_new_len (head->text, (gssize)head->length);
      char got[4096];

      g_test_message ("%s", head->name);
      g_string_append (text, behind);
      f.at_server = 0;
      send_bytes (&f, text->str, text->len, got, sizeof got);
      g_assert_cmpuint (
          f.at_server, ==,
          head->outcome == HEAD_SERVED ? 2 : head->outcome == HEAD_CLOSED);
      g_string_free (text, TRUE);
    }
  tear_down (&f);
}

/* The server could act on another value of a header than the node did.  */
static void
test_repeated_headers (void)
{
#define BEGIN "GET /safe/x HTTP/1.1\r\nHost: h.example\r\n" ID ": r\r\n"
#define END "Connection: close\r\n\r\n"
  static const char *const cases[] = {
    BEGIN ID ": r\r\n" END,
    BEGIN "Parsleyrill-Model: a\r\nParsleyrill-Model: b\r\n" END,
    BEGIN "Parsleyrill-Deadline-Ms: 1000\r\n"
          "Parsleyrill-Deadline-Ms: 2000\r\n" END,
    BEGIN "Last-Event-Id: 1\r\nLast-Event-Id: 2\r\n" END,
    BEGIN "Parsleyrill-Model: a\r\n"
          "Connection: close, parsleyrill-model\r\n\r\n",
    BEGIN "Connection: " ID "\r\n" END,
    BEGIN "Connection: host\r\n" END,
  };
  struct fixture f;
  char got[4096];

  set_up (&f);
  wait_until_serving (&f);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_test_message ("%s", cases[i] + strlen (BEGIN));
      send_raw (&f, cases[i], got, sizeof got);
      g_assert_true (g_str_has_prefix (got, "HTTP/1.1 400 "));
    }
  g_assert_cmpuint (f.at_server, ==, 0);
  send_raw (&f,
            BEGIN "Connection: X-First\r\nX-First: 1\r\nX-Second: 2\r\n"
                  "Connection: close, X-Second\r\nX-Third: 3\r\n\r\n",
            got, sizeof got);
  g_assert_cmpuint (f.at_server, ==, 1);
  g_assert_null (strstr (f.last_request->str, "X-First"));
  g_assert_null (strstr (f.last_request->str, "X-Second"));
  g_assert_nonnull (strstr (f.last_request->str, "X-Third"));
  tear_down (&f);
}

/* A stream that was cut looked complete to callers of HTTP/1.0, where the end
   of the connection ends a response.  */
static void
test_cut_http_1_0 (void)
{
  struct fixture f;
  char got[4096];

  set_up (&f);
  wait_until_serving (&f);
  g_assert_cmpint (send_raw (&f,
                             "GET /cut/events HTTP/1.0\r\n"
                             "Host: h.example\r\n" ID ": r1\r\n\r\n",
                             got, sizeof got),
                   ==, -ECONNRESET);
  g_assert_true (g_str_has_suffix (got, EVENT (1) EVENT (2)));
  g_assert_cmpint (send_raw (&f,
                             "GET /long/events HTTP/1.0\r\n"
                             "Host: h.example\r\n" ID ": r2\r\n\r\n",
                             got, sizeof got),
                   ==, 0);
  g_assert_true (g_str_has_suffix (got, EVENT (1) EVENT (2) EVENT (3)));
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gate/starting", test_no_configuration);
  g_test_add_func ("/gate/config-from-peer", test_config_from_peer);
  g_test_add_func ("/gate/head", test_forwarded_headers);
  g_test_add_func ("/gate/retries", test_retries);
  g_test_add_func ("/gate/large", test_body_limit);
  g_test_add_func ("/gate/not-run", test_not_run);
  g_test_add_func ("/gate/budget-unsent", test_budget_unsent);
  g_test_add_func ("/gate/resume", test_resume);
  g_test_add_func ("/gate/disconnect", test_disconnect);
  g_test_add_func ("/gate/leaving", test_draining_server);
  g_test_add_func ("/gate/drain", test_drain);
  g_test_add_func ("/gate/raw", test_malformed);
  g_test_add_func ("/gate/hidden-requests", test_hidden_requests);
  g_test_add_func ("/gate/repeated-headers", test_repeated_headers);
  g_test_add_func ("/gate/cut-http-1.0", test_cut_http_1_0);
  return g_test_run ();
}

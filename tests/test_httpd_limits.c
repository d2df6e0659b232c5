/* A server whose requests to /wanted need a body, and others do not, with
   short time limits; the client is a socket of the test.  */

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <glib.h>
#include "clk.h"
#include "httpd.h"
#include "membudget.h"
#include "ts.h"

#define HEAD_TIMEOUT_MS 400
#define IDLE_MS 2000
#define WAIT_MS 5000 /* nothing comes any more */
#define HEAD(method, path) method " " path " HTTP/1.1\r\nHost: h\r\n"
#define LARGE "Content-Length: 4000000\r\n\r\n"

struct fixture
{
  struct loop *loop;
  struct httpd *httpd;
  struct membudget *budget;
  unsigned requests;
  unsigned gone;
  unsigned rejected[16];
  int fd;
  bool closed; /* by the server */
  GString *got;
};

static bool
wants_body (void *user, struct httpd_request *request)
{
  (void)user;
  return strcmp (httpd_path (request), "/wanted") == 0;
}

static void
on_request (void *user, struct httpd_request *request)
{
  struct fixture *f = user;
  bool wanted = wants_body (user, request);

  f->requests++;
  httpd_respond (request, wanted ? 200 : 404, "text/plain", NULL, "done", 4);
}

static void
on_gone (void *user, struct httpd_request *request, bool complete)
{
  struct fixture *f = user;

  (void)request;
  (void)complete;
  f->gone++;
}

static void
on_rejected (void *user, enum httpd_reject why, const char *fault)
{
  struct fixture *f = user;

  (void)fault;
  f->rejected[why]++;
}

static void
set_up (struct fixture *f, size_t bytes)
{
  struct membudget_options budget = { .bytes = bytes };
  struct httpd_options options = { .address = "127.0.0.1",
                                   .head_timeout_ms = HEAD_TIMEOUT_MS,
                                   .idle_ms = IDLE_MS,
                                   .wants_body = wants_body,
                                   .request = on_request,
                                   .gone = on_gone,
                                   .rejected = on_rejected,
                                   .user = f };

  *f = (struct fixture){ .fd = -1 };
  f->loop = loop_new (clk_monotonic ());
  f->budget = membudget_new (&budget);
  f->got = g_string_new (NULL);
  options.loop = f->loop;
  options.budget = f->budget;
  g_assert_cmpint (httpd_new (&options, &f->httpd), ==, 0);
}

static void
tear_down (struct fixture *f)
{
  close (f->fd);
  httpd_free (f->httpd);
  g_assert_cmpuint (f->gone, ==, f->requests);
  g_assert_cmpuint (membudget_used (f->budget), ==, 0);
  membudget_free (f->budget);
  g_string_free (f->got, TRUE);
  loop_free (f->loop);
}

static void
connect_client (struct fixture *f)
{
  struct sockaddr_in address = { .sin_family = AF_INET };

  f->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  address.sin_port = htons (httpd_port (f->httpd));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (
      connect (f->fd, (struct sockaddr *)&address, sizeof address), ==, 0);
  f->closed = false;
}

static void
send_text (struct fixture *f, const char *text)
{
  g_assert_cmpint (send (f->fd, text, strlen (text), MSG_NOSIGNAL), ==,
                   (ssize_t)strlen (text));
}

static void
run_once (struct fixture *f)
{
  char bytes[4096];
  ssize_t n;

  loop_run_once (f->loop, 5);
  n = recv (f->fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (n > 0)
    g_string_append_len (f->got, bytes, n);
  else if (n == 0 || errno != EAGAIN)
    f->closed = true;
}

static void
run_for (struct fixture *f, int64_t ms)
{
  struct timespec end = ts_add_ms (clk_now (clk_monotonic ()), ms);

  while (!f->closed && ts_before (clk_now (clk_monotonic ()), end))
    run_once (f);
}

/* Waits until the answer has TEXT or the connection is closed.  */
static void
expect (struct fixture *f, const char *text)
{
  struct timespec end = ts_add_ms (clk_now (clk_monotonic ()), WAIT_MS);

  while (!f->closed && strstr (f->got->str, text) == NULL
         && ts_before (clk_now (clk_monotonic ()), end))
    run_once (f);
  g_assert_nonnull (strstr (f->got->str, text));
}

/* Guards against reading bodies that do not matter: each is answered before a
   byte of it was sent, and the connection closed.  */
static void
test_answered_at_head (void)
{
  static const char *const requests[]
      = { HEAD ("POST", "/other") LARGE, HEAD ("PUT", "/other") LARGE,
          HEAD ("POST", "/other") "Expect: 100-continue\r\n" LARGE,
          HEAD ("POST", "/other") "Expect: 100-continue\r\n"
                                  "Content-Length: 3\r\n\r\n",
          HEAD ("POST", "/other") "Transfer-Encoding: chunked\r\n\r\n" };
  struct fixture f;

  set_up (&f, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      connect_client (&f);
      g_string_truncate (f.got, 0);
      send_text (&f, requests[i]);
      expect (&f, "HTTP/1.1 404");
      run_for (&f, WAIT_MS);
      g_assert_true (f.closed);
      g_assert_null (strstr (f.got->str, "100 Continue"));
      close (f.fd);
    }
  g_assert_cmpuint (f.requests, ==, G_N_ELEMENTS (requests));
  tear_down (&f);
}

/* Guards against closing the connections of callers whose short requests are
   refused.  */
static void
test_short_body_keeps (void)
{
  struct fixture f;

  set_up (&f, 0);
  connect_client (&f);
  for (int i = 0; i < 3; i++)
    {
      g_string_truncate (f.got, 0);
      send_text (&f, HEAD ("POST", "/other") "Content-Length: 3\r\n\r\nabc");
      expect (&f, "done");
      g_assert_true (g_str_has_prefix (f.got->str, "HTTP/1.1 404"));
    }
  g_assert_false (f.closed);
  tear_down (&f);
}

/* Guards against methods with which libmicrohttpd does not end a request
   early.  */
static void
test_other_methods (void)
{
  char *body = g_strnfill (65536, 'x');
  struct fixture f;

  set_up (&f, 0);
  connect_client (&f);
  send_text (&f, HEAD ("PATCH", "/other") LARGE);
  for (int i = 0; i < 60 && !f.closed; i++)
    {
      send (f.fd, body, 65536, MSG_NOSIGNAL | MSG_DONTWAIT);
      run_once (&f);
      run_once (&f);
    }
  run_for (&f, WAIT_MS);
  g_assert_true (f.closed);
  g_free (body);
  tear_down (&f);
}

/* Guards against connections that are closed before a proper caller stops
   reusing them.  */
static void
test_idle_is_kept (void)
{
  struct fixture f;

  set_up (&f, 0);
  connect_client (&f);
  send_text (&f, HEAD ("GET", "/wanted") "\r\n");
  expect (&f, "done");
  run_for (&f, IDLE_MS * 4 / 5);
  g_assert_false (f.closed);
  g_string_truncate (f.got, 0);
  send_text (&f, HEAD ("GET", "/wanted") "\r\n");
  expect (&f, "done");
  run_for (&f, 2 * IDLE_MS);
  g_assert_true (f.closed);
  tear_down (&f);
}

/* Guards against heads that never end, on new and on used connections.  */
static void
test_slow_head (void)
{
  struct fixture f;

  set_up (&f, 0);
  for (unsigned i = 1; i <= 2; i++)
    {
      connect_client (&f);
      g_string_truncate (f.got, 0);
      if (i == 2)
        {
          send_text (&f, HEAD ("GET", "/wanted") "\r\n");
          expect (&f, "done");
          run_for (&f, HEAD_TIMEOUT_MS);
        }
      for (int piece = 0; piece < 40 && !f.closed; piece++)
        {
          send (f.fd, "G", 1, MSG_NOSIGNAL);
          run_for (&f, HEAD_TIMEOUT_MS / 8);
        }
      g_assert_true (f.closed);
      g_assert_cmpuint (f.rejected[HTTPD_REJECT_SLOW_HEAD], ==, i);
      close (f.fd);
    }
  tear_down (&f);
}

/* Guards against a body for which there is no memory, and against its refusal
   without 503.  */
static void
test_no_memory (void)
{
  struct fixture f;

  set_up (&f, 1u << 20);
  connect_client (&f);
  send_text (&f, HEAD ("POST", "/wanted") LARGE);
  expect (&f, "HTTP/1.1 503");
  g_assert_nonnull (strstr (f.got->str, "Retry-After"));
  g_assert_nonnull (strstr (f.got->str, "\"not_run\":true"));
  g_assert_cmpuint (f.requests, ==, 0);
  g_assert_cmpuint (f.rejected[HTTPD_REJECT_BUSY], ==, 1);
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/httpd-limits/answered-at-head", test_answered_at_head);
  g_test_add_func ("/httpd-limits/short-body-keeps", test_short_body_keeps);
  g_test_add_func ("/httpd-limits/other-methods", test_other_methods);
  g_test_add_func ("/httpd-limits/idle-is-kept", test_idle_is_kept);
  g_test_add_func ("/httpd-limits/slow-head", test_slow_head);
  g_test_add_func ("/httpd-limits/no-memory", test_no_memory);
  return g_test_run ();
}

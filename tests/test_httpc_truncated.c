/* Tests that a response which ends early, at whatever byte, is an error.  */

#include <errno.h>
#include "clk.h"
#include "flood_server.h"
#include "httpc.h"
#include "loop.h"
#include "ts.h"

#define TIMEOUT_S 5

struct fixture
{
  struct loop *loop;
  struct httpc *httpc;
  struct flood_server server;
  bool done;
  int error;
  long status;
  enum httpc_phase phase;
};

static void
on_done (void *user, const struct httpc_result *result)
{
  struct fixture *f = user;

  f->done = true;
  f->error = result->error;
  f->status = result->status;
  f->phase = result->phase;
}

static void
set_up (struct fixture *f)
{
  struct httpc_options options = { 0 };

  memset (f, 0, sizeof *f);
  f->loop = loop_new (clk_monotonic ());
  options.loop = f->loop;
  f->httpc = httpc_new (&options);
  flood_server_start (&f->server);
}

static void
tear_down (struct fixture *f)
{
  httpc_free (f->httpc);
  flood_server_stop (&f->server);
  loop_free (f->loop);
}

/* The server sends the first LENGTH bytes of RESPONSE and closes.  */
static void
receive (struct fixture *f, const char *method, const char *response,
         size_t length)
{
  struct timespec end
      = ts_add_ms (clk_now (clk_monotonic ()), TIMEOUT_S * TS_MS_PER_S);
  char *url = g_strdup_printf ("http://127.0.0.1:%u/x", f->server.port);
  struct httpc_request request = { .method = method,
                                   .url = url,
                                   .fresh_connection = true,
                                   .done = on_done,
                                   .user = f };

  f->server.response = response;
  f->server.response_length = length;
  f->done = false;
  g_assert_nonnull (httpc_start (f->httpc, &request));
  g_free (url);
  while (!f->done && ts_before (clk_now (clk_monotonic ()), end))
    loop_run_once (f->loop, 20);
  g_assert_true (f->done);
}

/* Each beginning of RESPONSE of fewer than WHOLE bytes is incomplete.  */
static void
check_beginnings (const char *method, const char *response, size_t whole,
                  long status)
{
  struct fixture f;

  set_up (&f);
  for (size_t n = 0; n < whole; n++)
    {
      receive (&f, method, response, n);
      if (f.error == 0)
        g_test_message ("%zu bytes of %s", n, response);
      g_assert_true (f.error == -EPIPE || f.error == -ECONNRESET);
      g_assert_cmpint (f.phase, <, HTTPC_COMPLETE);
    }
  receive (&f, method, response, strlen (response));
  g_assert_cmpint (f.error, ==, 0);
  g_assert_cmpint (f.status, ==, status);
  g_assert_cmpint (f.phase, ==, HTTPC_COMPLETE);
  tear_down (&f);
}

#define HEAD_END "\r\n\r\n"

static size_t
head_length (const char *response)
{
  return (size_t)(g_strrstr (response, HEAD_END) - response)
         + strlen (HEAD_END);
}

/* A response whose connection was closed in the head counted as complete.  */
static void
test_head (void)
{
  static const char until_close[] = "HTTP/1.1 200 OK\r\nX: y\r\n\r\nhello";
  static const char http10[] = "HTTP/1.0 200 OK\r\nX: y\r\n\r\nhello";
  static const char no_content[] = "HTTP/1.1 204 No Content\r\nX: y\r\n\r\n";
  static const char refusal[]
      = "HTTP/1.1 412 Precondition Failed\r\nX: y\r\n\r\n{}";

  check_beginnings (NULL, until_close, head_length (until_close), 200);
  check_beginnings (NULL, http10, head_length (http10), 200);
  check_beginnings (NULL, no_content, strlen (no_content), 204);
  check_beginnings (NULL, refusal, head_length (refusal), 412);
}

/* An interim response is none.  */
static void
test_interim (void)
{
  static const char response[] = "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"
                                 "HTTP/1.1 200 OK\r\nX: y\r\n\r\nhello";

  check_beginnings (NULL, response, head_length (response), 200);
}

/* The length is that of a body which does not follow.  */
static void
test_head_method (void)
{
  static const char response[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";

  check_beginnings ("HEAD", response, strlen (response), 200);
}

/* A chunked body is complete once its last chunk has come, RFC 9112, section
   8.  */
static void
test_body (void)
{
  static const char length[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
  static const char last_chunk[] = "0\r\n";
  static const char chunks[]
      = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nhello\r\n0\r\nX: y\r\n\r\n";
  size_t chunks_length
      = (size_t)(strstr (chunks, last_chunk) - chunks) + strlen (last_chunk);

  check_beginnings (NULL, length, strlen (length), 200);
  check_beginnings (NULL, chunks, chunks_length, 200);
}

/* A header that begins like a status line counted as one, and a 103 then as
   the final response.  */
static void
test_status_line_in_head (void)
{
  static const char response[]
      = "HTTP/1.1 103 Early Hints\r\nHTTP/x: 2\r\n\r\n";
  struct fixture f;

  set_up (&f);
  receive (&f, NULL, response, strlen (response));
  g_assert_cmpint (f.error, ==, -EPROTO);
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/httpc-truncated/head", test_head);
  g_test_add_func ("/httpc-truncated/interim", test_interim);
  g_test_add_func ("/httpc-truncated/head-method", test_head_method);
  g_test_add_func ("/httpc-truncated/body", test_body);
  g_test_add_func ("/httpc-truncated/status-line-in-head",
                   test_status_line_in_head);
  return g_test_run ();
}

/* Tests a complete gate beside a backend server that answers without end.  */

#include "flood_fixture.h"

#define AFTER_ANSWER_MS 100 /* until bytes behind a response have come */
#define FLOODS_AT_ONCE 6u
#define OTHERS_MIN                                                            \
  3u /* answered one after the other while the floods last                    \
      */
#define CALLER_FLOOD_MS 2000
#define CALLER_ITERATIONS_MAX 2000 /* of the loop, in CALLER_FLOOD_MS */

/* Checks what the caller of a request received that reached the flooding
   server.  BODY is of a successful response.  */
static void
check_flood (const char *route, const char *name, long status,
             const char *body)
{
  struct fixture f;
  struct flood_server server;
  unsigned before;

  g_test_message ("/%s/%s", route, name);
  set_up_servers (&f, &server);
  before = reach_flood (&f, &server, route, name, body);
  g_assert_cmpint (g_atomic_int_get (&server.exhausted), ==, 0);
  g_assert_cmpint (f.error, ==, 0);
  g_assert_cmpint (f.status, ==, status);
  g_assert_cmpuint (f.at_server - before, ==, status == 200 ? 1 : 0);
  if (status == 200)
    g_assert_cmpstr (f.received->str, ==, body);
  else
    g_assert_null (strstr (f.received->str, "xxxx"));
  tear_down (&f);
  flood_server_stop (&server);
}

static const char *const endless[]
    = { "header-lines",  "header-line",     "status-line", "no-http",
        "no-http-lines", "control",         "interim",     "body",
        "chunks",        "chunk-extension", "chunk-end",   "trailers" };

/* A request that may be repeated waited for the end of a response without end
   until its deadline.  */
static void
test_safe (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (endless); i++)
    check_flood ("safe", endless[i], 200, "hello");
}

/* A request that must not be repeated waited for the end of a response without
   end until its deadline.  */
static void
test_unsafe (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (endless); i++)
    check_flood ("once", endless[i], 502, "hello");
}

/* A stream whose next event or framing does not end did not go on at another
   server.  */
static void
test_stream (void)
{
  static const char events[] = EVENT (1) EVENT (2) EVENT (3);

  check_flood ("long", "event", 200, events);
  check_flood ("long", "event-chunk-extension", 200, events);
  check_flood ("long", "event-trailers", 200, events);
  check_flood ("long", "chunks", 200, events);
}

static void
run_for (struct fixture *f, int64_t ms)
{
  struct timespec end = ts_add_ms (loop_now (f->loop), ms);

  while (ts_before (loop_now (f->loop), end))
    run_once (f);
}

/* An unsafe request was sent on a connection on which the server had sent
   bytes behind its last response, and failed.  */
static void
test_after_answer (void)
{
  struct fixture f;
  struct flood_server server;
  struct timespec end;

  set_up_servers (&f, &server);
  end = ts_add_ms (loop_now (f.loop), CHOSEN_TIMEOUT_MS);
  while (ts_before (loop_now (f.loop), end)
         && g_atomic_int_get (&server.requests) < 5)
    {
      send_request (&f, "once", "after-answer");
      run_for (&f, AFTER_ANSWER_MS);
      g_assert_cmpint (f.status, ==, 200);
      g_assert_cmpstr (f.received->str, ==, "hello");
    }
  g_assert_cmpint (g_atomic_int_get (&server.requests), ==, 5);
  tear_down (&f);
  flood_server_stop (&server);
}

static void
on_flooded_done (void *user, const struct httpc_result *result)
{
  unsigned *ended = user;

  g_assert_cmpint (result->status, ==, 502);
  (*ended)++;
}

static void
start_flooded (struct fixture *f, unsigned *ended)
{
  static const char *const headers[]
      = { "Host: h.example", "Parsleyrill-Request-Id: r2", NULL };
  char *url = g_strdup_printf ("http://127.0.0.1:%u/once/chunks",
                               gate_port (f->gate));
  struct httpc_request request = { .method = "POST",
                                   .url = url,
                                   .headers = headers,
                                   .done = on_flooded_done,
                                   .user = ended };

  g_assert_nonnull (httpc_start (f->caller, &request));
  g_free (url);
}

/* Other requests hardly went on while servers answered without end, because of
   long reads from each in turn.  */
static void
test_others (void)
{
  struct fixture f;
  struct flood_server server;
  unsigned ended = 0;
  unsigned answered = 0;
  int64_t longest_ms = 0;

  set_up (&f);
  flood_server_start (&server);
  list_flood_server (&f, &server);
  put_config (&f, 1);
  do
    send_request (&f, "safe", "reset-after-answer");
  while (f.status != 200);
  for (unsigned i = 0; i < FLOODS_AT_ONCE; i++)
    start_flooded (&f, &ended);
  list_server (&f, "ready");
  while (ended < FLOODS_AT_ONCE)
    {
      struct timespec started = clk_now (clk_monotonic ());
      struct timespec took;

      send_request (&f, "safe", "reset-after-answer");
      took = ts_sub (clk_now (clk_monotonic ()), started);
      g_assert_cmpint (f.status, ==, 200);
      g_assert_cmpstr (f.received->str, ==, "hello");
      longest_ms = MAX (longest_ms, ts_to_ms (took));
      answered++;
    }
  g_test_message ("%u answered beside %u floods, the slowest in %d ms",
                  answered, FLOODS_AT_ONCE, (int)longest_ms);
  g_assert_cmpuint (answered, >=, OTHERS_MIN);
  tear_down (&f);
  flood_server_stop (&server);
}

/* A caller.  */
struct caller_flood
{
  const char *begin;
  const char *repeat;
  int fd;
  size_t sent; /* bytes */
  gint ended;  /* atomic: the connection was closed, or all bytes were sent */
};

static int
connect_to (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_port = htons (port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (connect (fd, (struct sockaddr *)&address, sizeof address),
                   ==, 0);
  return fd;
}

static gpointer
caller_flood_run (gpointer data)
{
  struct caller_flood *flood = data;
  GString *block = g_string_new (NULL);

  while (block->len < FLOOD_BLOCK)
    g_string_append (block, flood->repeat);
  if (flood_send (flood->fd, flood->begin, strlen (flood->begin)))
    while (flood->sent < FLOOD_BYTES_MAX
           && flood_send (flood->fd, block->str, block->len))
      flood->sent += block->len;
  g_string_free (block, TRUE);
  g_atomic_int_set (&flood->ended, 1);
  return NULL;
}

/* A body without end was read until the time limit of a request, and a chunk
   extension without end kept the loop busy until then.  */
static void
test_caller (void)
{
#define HEAD "POST /safe/x HTTP/1.1\r\nHost: h.example\r\n" ID ": r1\r\n"
  static const struct caller_flood cases[] = {
    { .begin = HEAD, .repeat = FLOOD_LINE },
    { .begin = HEAD "X-Line: ", .repeat = "xxxxxxxx" },
    { .begin = "POST /safe/", .repeat = "xxxxxxxx" },
    { .begin = "", .repeat = "xxxxxxxx" },
    { .begin = HEAD "Transfer-Encoding: chunked\r\n\r\n",
      .repeat = "8\r\nxxxxxxxx\r\n" },
    { .begin = HEAD "Transfer-Encoding: chunked\r\n\r\n1;",
      .repeat = "xxxxxxxx" },
    { .begin = HEAD "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
      .repeat = FLOOD_LINE },
    { .begin = HEAD "Content-Length: 9000000000\r\n\r\n",
      .repeat = "xxxxxxxx" },
  };
  struct fixture f;

  set_up (&f);
  wait_until_serving (&f);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct caller_flood flood = cases[i];
      struct timespec end;
      GThread *thread;
      unsigned iterations;
      bool ended;

      flood.fd = connect_to (gate_port (f.gate));
      thread = g_thread_new ("caller", caller_flood_run, &flood);
      end = ts_add_ms (loop_now (f.loop), CALLER_FLOOD_MS);
      iterations = 0;
      while (g_atomic_int_get (&flood.ended) == 0
             && ts_before (loop_now (f.loop), end))
        {
          run_once (&f);
          iterations++;
        }
      ended = g_atomic_int_get (&flood.ended) != 0;
      shutdown (flood.fd, SHUT_RDWR);
      g_thread_join (thread);
      close (flood.fd);
      g_test_message ("%zu: %zu bytes sent, %u iterations", i, flood.sent,
                      iterations);
      g_assert_true (ended);
      g_assert_cmpuint (flood.sent, <, FLOOD_BYTES_MAX);
      g_assert_cmpuint (iterations, <, CALLER_ITERATIONS_MAX);
    }
  g_assert_cmpuint (f.at_server, ==, 0);
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gate-flood/safe", test_safe);
  g_test_add_func ("/gate-flood/unsafe", test_unsafe);
  g_test_add_func ("/gate-flood/stream", test_stream);
  g_test_add_func ("/gate-flood/after-answer", test_after_answer);
  g_test_add_func ("/gate-flood/others", test_others);
  g_test_add_func ("/gate-flood/caller", test_caller);
  return g_test_run ();
}

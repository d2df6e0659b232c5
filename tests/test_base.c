#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <glib.h>
#include <jansson.h>
#include "clk.h"
#include "httpc.h"
#include "httpd.h"
#include "kernel.h"
#include "log.h"
#include "loop.h"
#include "ring.h"
#include "ts.h"

struct fixture
{
  struct loop *loop;
  struct httpd *httpd;
  struct httpc *httpc;
  GString *got;
  int done;
  int ended;
  int error;
  long status;
  size_t to_send;
  size_t sent;
  bool hold;
};

#define LARGE_BODY_BYTES (512u << 10) /* several times HTTPD_STREAM_BUFFER */

static void
send_more (struct fixture *f, struct httpd_request *request)
{
  char block[1000];

  memset (block, 'x', sizeof block);
  while (f->sent < f->to_send
         && httpd_stream_write (request, block, sizeof block) == 0)
    f->sent += sizeof block;
  if (f->sent >= f->to_send)
    httpd_stream_end (request);
}

static void
on_request (void *user, struct httpd_request *request)
{
  struct fixture *f = user;
  size_t n;
  const char *body = httpd_body (request, &n);

  if (strcmp (httpd_path (request), "/echo") == 0)
    httpd_respond (request, 200, "text/plain", NULL, body, n);
  else if (strcmp (httpd_path (request), "/truncated") == 0)
    {
      httpd_stream_begin (request, 200, "text/plain", NULL);
      httpd_stream_write (request, "half", 4);
      httpd_stream_abort (request);
    }
  else if (strcmp (httpd_path (request), "/large") == 0)
    {
      httpd_stream_begin (request, 200, "text/plain", NULL);
      send_more (f, request);
    }
  else if (strcmp (httpd_path (request), "/drop") == 0)
    httpd_drop (request);
  /* no response for any other path */
}

static void
on_ended (void *user, struct httpd_request *request, bool complete)
{
  (void)request;
  (void)complete;
  ((struct fixture *)user)->ended++;
}

static void
on_writable (void *user, struct httpd_request *request)
{
  send_more (user, request);
}

static void
on_done (void *user, const struct httpc_result *result)
{
  struct fixture *f = user;

  f->done++;
  f->error = result->error;
  f->status = result->status;
  if (result->body != NULL)
    g_string_assign (f->got, result->body);
}

static void
set_up (struct fixture *f)
{
  struct httpd_options server = { .address = "127.0.0.1",
                                  .request = on_request,
                                  .gone = on_ended,
                                  .writable = on_writable,
                                  .user = f };
  struct httpc_options client = { 0 };

  memset (f, 0, sizeof *f);
  f->loop = loop_new (clk_monotonic ());
  f->got = g_string_new (NULL);
  server.loop = f->loop;
  client.loop = f->loop;
  g_assert_cmpint (httpd_new (&server, &f->httpd), ==, 0);
  f->httpc = httpc_new (&client);
}

static void
tear_down (struct fixture *f)
{
  httpc_free (f->httpc);
  httpd_free (f->httpd);
  loop_free (f->loop);
  g_string_free (f->got, TRUE);
}

static void
call (struct fixture *f, const char *path, struct httpc_request request)
{
  char url[100];
  int before = f->done;

  g_snprintf (url, sizeof url, "http://127.0.0.1:%u%s", httpd_port (f->httpd),
              path);
  request.url = url;
  request.done = on_done;
  request.user = f;
  g_assert_nonnull (httpc_start (f->httpc, &request));
  while (f->done == before)
    loop_run_once (f->loop, -1);
}

static void
test_http_echo (void)
{
  struct fixture f;

  set_up (&f);
  call (&f, "/echo", (struct httpc_request){ .body = "hello", .length = 5 });
  g_assert_cmpint (f.error, ==, 0);
  g_assert_cmpint (f.status, ==, 200);
  g_assert_cmpstr (f.got->str, ==, "hello");
  tear_down (&f);
  g_assert_cmpint (f.ended, ==, 1);
}

static void
test_http_truncated (void)
{
  struct fixture f;

  set_up (&f);
  call (&f, "/truncated", (struct httpc_request){ 0 });
  g_assert_cmpint (f.error, <, 0);
  tear_down (&f);
}

/* The connection of a request is reused and breaks: the request must not be
   sent again.  */
static void
test_http_no_resend (void)
{
  struct fixture f;

  set_up (&f);
  call (&f, "/echo", (struct httpc_request){ .body = "x", .length = 1 });
  call (&f, "/drop", (struct httpc_request){ .body = "x", .length = 1 });
  g_assert_cmpint (f.error, ==, -ECONNRESET);
  tear_down (&f);
  g_assert_cmpint (f.ended, ==, 2);
}

static void
test_http_idle_timeout (void)
{
  struct fixture f;

  set_up (&f);
  call (&f, "/never", (struct httpc_request){ .idle_timeout_ms = 20 });
  g_assert_cmpint (f.error, ==, -ETIMEDOUT);
  tear_down (&f);
  g_assert_cmpint (f.ended, ==, 1);
}

static void
test_http_large_body (void)
{
  struct fixture f;

  set_up (&f);
  f.to_send = LARGE_BODY_BYTES;
  call (&f, "/large", (struct httpc_request){ 0 });
  g_assert_cmpint (f.error, ==, 0);
  g_assert_cmpuint (f.got->len, ==, f.sent);
  g_assert_cmpuint (f.sent, >=, LARGE_BODY_BYTES);
  tear_down (&f);
}

struct ordered_timer
{
  struct loop_timer timer;
  int *order;
  int at;
};

static int fired;

static void
on_fire (struct loop_timer *timer)
{
  struct ordered_timer *timed = (struct ordered_timer *)timer;

  g_assert_cmpint (timed->at, ==, fired);
  fired++;
}

static void
test_timers (void)
{
  struct clk_manual manual;
  struct loop *loop;
  struct ordered_timer timed[50];

  clk_manual_init (&manual, ts_from_ms (1000));
  loop = loop_new (&manual.clk);
  fired = 0;
  for (int i = 0; i < 50; i++)
    {
      int at = (i * 37) % 50;

      timed[i]
          = (struct ordered_timer){ .timer = { .fire = on_fire }, .at = at };
      loop_timer_set (loop, &timed[i].timer, ts_from_ms (2000 + at));
    }
  loop_run_once (loop, 0);
  g_assert_cmpint (fired, ==, 0);
  manual.at = ts_from_ms (2024);
  loop_run_once (loop, 0);
  g_assert_cmpint (fired, ==, 25);
  manual.at = ts_from_ms (3000);
  loop_run_once (loop, 0);
  g_assert_cmpint (fired, ==, 50);
  loop_free (loop);
}

/* A thread that sleeps for as long as it may has not been paused.  */
static void
test_woke_at (void)
{
  struct clk_manual manual;
  struct loop *loop;

  clk_manual_init (&manual, ts_from_ms (1000));
  loop = loop_new (&manual.clk);
  loop_run_once (loop, 0);
  manual.at = ts_from_ms (1000 + LOOP_PAUSE_MS - 1);
  loop_run_once (loop, 0);
  g_assert_true (ts_is_zero (loop_woke_at (loop)));
  manual.at = ts_add_ms (manual.at, LOOP_PAUSE_MS + 1);
  loop_run_once (loop, 0);
  g_assert_cmpint (ts_to_ms (loop_woke_at (loop)), ==, ts_to_ms (manual.at));
  loop_free (loop);
}

struct repeating
{
  struct loop_timer timer;
  struct loop *loop;
  int fired;
};

static void
on_repeating (struct loop_timer *timer)
{
  struct repeating *repeating = (struct repeating *)timer;

  repeating->fired++;
  loop_timer_set (repeating->loop, timer, loop_now (repeating->loop));
}

/* A timer that reschedules itself for now must starve neither the loop nor
   other timers.  */
static void
test_timer_reschedules (void)
{
  struct clk_manual manual;
  struct repeating a = { .timer = { .fire = on_repeating } };
  struct ordered_timer other = { .timer = { .fire = on_fire }, .at = 0 };

  clk_manual_init (&manual, ts_from_ms (1000));
  a.loop = loop_new (&manual.clk);
  fired = 0;
  loop_timer_set (a.loop, &a.timer, ts_from_ms (1000));
  loop_timer_set (a.loop, &other.timer, ts_from_ms (1000));
  for (int i = 0; i < 3; i++)
    loop_run_once (a.loop, 0);
  g_assert_cmpint (a.fired, ==, 3);
  g_assert_cmpint (fired, ==, 1);
  loop_free (a.loop);
}

#define READY 200 /* descriptors, more than the loop reads at once */

struct idle_watch
{
  struct loop_watch watch;
  struct loop_timer timer;
  struct loop *loop;
  int *timeouts;
};

static void
on_idle_bytes (struct loop_watch *watch, uint32_t events)
{
  struct idle_watch *idle = (struct idle_watch *)watch;
  uint64_t value;

  (void)events;
  g_assert_cmpint (read (watch->fd, &value, sizeof value), ==, sizeof value);
  loop_timer_clear (idle->loop, &idle->timer);
}

static void
on_idle_timeout (struct loop_timer *timer)
{
  struct idle_watch *idle
      = (struct idle_watch *)((char *)timer
                              - offsetof (struct idle_watch, timer));

  (*idle->timeouts)++;
}

/* Guards against idle timeouts of connections whose bytes wait unread because
   the process stood still.  */
static void
test_bytes_before_timers (void)
{
  struct clk_manual manual;
  struct loop *loop;
  struct idle_watch idle[READY];
  int timeouts = 0;

  clk_manual_init (&manual, ts_from_ms (1000));
  loop = loop_new (&manual.clk);
  for (int i = 0; i < READY; i++)
    {
      idle[i] = (struct idle_watch){ .watch = { .ready = on_idle_bytes },
                                     .timer = { .fire = on_idle_timeout },
                                     .loop = loop,
                                     .timeouts = &timeouts };
      idle[i].watch.fd = eventfd (1, EFD_CLOEXEC | EFD_NONBLOCK);
      loop_watch (loop, &idle[i].watch, EPOLLIN);
      loop_timer_set (loop, &idle[i].timer, ts_from_ms (2000));
    }
  manual.at = ts_from_ms (5000);
  loop_run_once (loop, 0);
  g_assert_cmpint (timeouts, ==, 0);
  for (int i = 0; i < READY; i++)
    {
      loop_unwatch (loop, &idle[i].watch);
      close (idle[i].watch.fd);
    }
  loop_free (loop);
}

#define SENDERS 4
#define MESSAGES 2000

static gpointer
sender (gpointer data)
{
  struct ring *ring = data;

  for (int i = 0; i < MESSAGES; i++)
    {
      int *message = g_new (int, 1);

      *message = i;
      while (ring_send (ring, message) == -EAGAIN)
        g_thread_yield ();
    }
  return NULL;
}

static void
test_ring (void)
{
  struct ring_options options = { .slots = 64, .release = g_free };
  struct ring *ring = ring_new (&options);
  GThread *threads[SENDERS];
  long sum = 0;

  for (int i = 0; i < SENDERS; i++)
    threads[i] = g_thread_new ("sender", sender, ring);
  for (int got = 0; got < SENDERS * MESSAGES;)
    {
      int *message = ring_receive (ring);

      if (message == NULL)
        continue;
      sum += *message;
      got++;
      g_free (message);
    }
  for (int i = 0; i < SENDERS; i++)
    g_thread_join (threads[i]);
  g_assert_cmpint (sum, ==, (long)SENDERS * MESSAGES * (MESSAGES - 1) / 2);
  ring_free (ring);
}

static int starts;

static int
start_ok (struct service *service, struct kernel *kernel)
{
  (void)kernel;
  (void)service;
  starts++;
  return 0;
}

static int
start_bad (struct service *service, struct kernel *kernel)
{
  (void)kernel;
  (void)service;
  return -EADDRINUSE;
}

static void
stop (struct service *service)
{
  (void)service;
  starts--;
}

static void
test_kernel (void)
{
  static const struct service_ops ok = { start_ok, stop, NULL };
  static const struct service_ops bad = { start_bad, stop, NULL };
  struct service a = { .ops = &ok, .name = "a" };
  struct service b = { .ops = &bad, .name = "b" };
  struct kernel *kernel = kernel_new ();

  g_assert_cmpint (kernel_register (kernel, &a), ==, 0);
  g_assert_cmpint (kernel_register (kernel, &a), ==, -EEXIST);
  g_assert_cmpint (kernel_register (kernel, &b), ==, 0);
  g_assert_true (kernel_find (kernel, "b") == &b);
  g_assert_null (kernel_find (kernel, "c"));
  g_assert_cmpint (kernel_start (kernel), ==, -EADDRINUSE);
  g_assert_cmpint (starts, ==, 0);
  kernel_free (kernel);
}

static void
test_log_json (void)
{
  struct log_options options = { .level = LOG_LEVEL_INFO,
                                 .format = LOG_FORMAT_JSON,
                                 .node = "n\"1",
                                 .clk = clk_monotonic () };
  char text[LOG_LINE_MAX];
  struct log_line line;
  ssize_t n;
  int fds[2];
  json_t *json;

  g_assert_cmpint (pipe (fds), ==, 0);
  options.fd = fds[1];
  log_init (&options);
  log_begin (&line, EVENT_REQUEST_DONE);
  log_str (&line, "text", "two\nlines");
  log_int (&line, "n", -7);
  log_end (&line);
  log_begin (&line, EVENT_SERVICE_STARTED); /* below the log level */
  log_end (&line);
  n = read (fds[0], text, sizeof text);
  json = json_loadb (text, (size_t)n, 0, NULL);
  g_assert_nonnull (json);
  g_assert_cmpint (json_integer_value (json_object_get (json, "event")), ==,
                   EVENT_REQUEST_DONE);
  g_assert_cmpstr (json_string_value (json_object_get (json, "text")), ==,
                   "two\nlines");
  g_assert_cmpint (json_integer_value (json_object_get (json, "n")), ==, -7);
  json_decref (json);
  options.fd = -1;
  log_init (&options);
  close (fds[0]);
  close (fds[1]);
}

static unsigned
count_text (const char *text, const char *word)
{
  unsigned n = 0;

  for (; (text = strstr (text, word)) != NULL; text++)
    n++;
  return n;
}

/* Routine lines fill their part of the limit only, as when a node starts
   beside hundreds of others: the line that says who decides is still written.
 */
static void
test_log_limit (void)
{
  struct clk_manual clk;
  struct log_options options = { .level = LOG_LEVEL_INFO,
                                 .format = LOG_FORMAT_LOGFMT,
                                 .clk = &clk.clk,
                                 .lines_per_s = 8 };
  char text[64 * 1024] = "";
  struct log_line line;
  int fds[2];

  clk_manual_init (&clk, ts_from_ms (5000000));
  g_assert_cmpint (pipe (fds), ==, 0);
  options.fd = fds[1];
  log_init (&options);
  for (int i = 0; i < 20; i++)
    {
      log_begin (&line, EVENT_SERVER_LISTED);
      log_end (&line);
    }
  log_begin (&line, EVENT_LEASE_WON);
  log_end (&line);
  g_assert_cmpint (read (fds[0], text, sizeof text - 1), >, 0);
  g_assert_cmpuint (count_text (text, "SERVER_LISTED"), ==, 6);
  g_assert_cmpuint (count_text (text, "LEASE_WON"), ==, 1);
  g_assert_cmpuint (count_text (text, "\n"), <=, options.lines_per_s);
  options.fd = -1;
  log_init (&options);
  close (fds[0]);
  close (fds[1]);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/http/echo", test_http_echo);
  g_test_add_func ("/http/truncated", test_http_truncated);
  g_test_add_func ("/http/no-resend", test_http_no_resend);
  g_test_add_func ("/http/idle-timeout", test_http_idle_timeout);
  g_test_add_func ("/http/large-body", test_http_large_body);
  g_test_add_func ("/loop/timers", test_timers);
  g_test_add_func ("/loop/woke-at", test_woke_at);
  g_test_add_func ("/loop/reschedule", test_timer_reschedules);
  g_test_add_func ("/loop/bytes-before-timers", test_bytes_before_timers);
  g_test_add_func ("/ring/senders", test_ring);
  g_test_add_func ("/kernel/start", test_kernel);
  g_test_add_func ("/log/json", test_log_json);
  g_test_add_func ("/log/limit", test_log_limit);
  return g_test_run ();
}

/* Tests two gates before a server that names a request rate for all nodes.  */

#include "gate_fixture.h"
#include "gate_second.h"

#define STABILITY_MS 3000 /* after which the limit binds */
#define WINDOW_MS 4000
#define SLACK 5 /* requests */
#define RUN_MS 9000
#define OTHER_SERVER "i-2" /* names no limit */

/* Of the server.  */
static const char *limit; /* named in responses; NULL: none */
static GArray *arrivals;  /* int64_t, ms */

static int64_t
now_ms (const struct fixture *f)
{
  return ts_to_ms (loop_now (f->loop));
}

static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  const char *headers[]
      = { ID,  httpd_header (request, ID), SEAL, "seal", "Server-Limit", limit,
          NULL };
  const char *id = httpd_header (request, "Parsleyrill-Expect-Instance");
  int64_t at = now_ms (f);

  if (g_strcmp0 (id, OTHER_SERVER) == 0)
    {
      answer (request, 200, "hello");
      return;
    }
  g_array_append_val (arrivals, at);
  if (limit == NULL)
    answer (request, 200, "hello");
  else
    httpd_respond (request, 200, "text/plain", headers, "hello", 5);
}

static int64_t
arrival (guint i)
{
  return g_array_index (arrivals, int64_t, i);
}

/* The most arrivals within WINDOW_MS, of those from SINCE on.  */
static guint
most_in_window (int64_t since)
{
  guint most = 0;
  guint first = 0;

  for (guint i = 0; i < arrivals->len; i++)
    {
      while (arrival (first) + WINDOW_MS < arrival (i)
             || arrival (first) < since)
        if (first++ == i)
          break;
      if (arrival (i) >= since)
        most = MAX (most, i - first + 1);
    }
  return most;
}

static guint
allowed (double per_s)
{
  return (guint)(1.5 * per_s * WINDOW_MS / 1000) + SLACK;
}

static void
set_up_limit (struct fixture *f, const char *per_s)
{
  limit = NULL;
  set_up (f);
  wait_until_serving (f);
  limit = per_s;
  g_array_set_size (arrivals, 0);
}

/* Sends requests to the gates in turn for RUN_MS, each with a deadline after
   300 ms.  Returns the number served.  */
static guint
send_for (struct fixture *f, struct gate *const *gates, size_t gate_count,
          int64_t ms)
{
  const char *headers[] = { "Parsleyrill-Deadline-Ms: 300", NULL };
  struct gate *first = f->gate;
  int64_t end = now_ms (f) + ms;
  guint served = 0;
  char id[16];

  f->id = id;
  for (unsigned i = 0; now_ms (f) < end; i++)
    {
      g_snprintf (id, sizeof id, "l%u", i);
      f->gate = gates[i % gate_count];
      request_and_wait (f, "GET", "/safe/x", headers);
      served += f->status == 200;
      run_once (f);
    }
  f->id = NULL;
  f->gate = first;
  return served;
}

static void
wait_for_second (struct fixture *f, struct second *second)
{
  struct gate *first = f->gate;

  f->gate = second->gate;
  do
    request_and_wait (f, "GET", "/safe/warm", NULL);
  while (f->status != 200);
  f->gate = first;
}

/* TOKEN: of the second node; another one than the first node's keeps them
   without a link.  */
static void
check_shared (const char *per_s, const char *token)
{
  struct fixture f;
  struct second second;
  struct gate *gates[2];
  double rate = g_ascii_strtod (per_s, NULL);
  int64_t named;
  guint served;
  char *store;

  set_up_limit (&f, NULL);
  store = g_strdup_printf ("127.0.0.1:%u", httpd_port (f.store));
  start_second_at (&f, &second, store, token);
  wait_for_second (&f, &second);
  gates[0] = f.gate;
  gates[1] = second.gate;
  limit = per_s;
  named = now_ms (&f);
  g_array_set_size (arrivals, 0);
  served = send_for (&f, gates, 2, RUN_MS);
  g_assert_cmpuint (most_in_window (named + STABILITY_MS), <=, allowed (rate));
  g_assert_cmpuint (served, >=, (guint)(rate * RUN_MS / 1000 / 2));
  stop_second (&second);
  tear_down (&f);
  g_free (store);
}

/* A server that names a limit got requests from each node as if it were the
   only one, or had not named it.  */
static void
test_shared (void)
{
  check_shared ("1", "secret-of-nodes");
}

static void
test_below_one (void)
{
  check_shared ("0.5", "secret-of-nodes");
}

/* The same where the nodes cannot ask each other.  */
static void
test_cut_off (void)
{
  check_shared ("1", "another-secret");
}

/* A request over the limit was sent, or waited for its whole deadline, instead
   of being rejected at once.  */
static void
test_rejected (void)
{
  const char *headers[] = { "Parsleyrill-Deadline-Ms: 500", NULL };
  struct fixture f;
  int64_t start;
  int64_t retry_ms;

  set_up_limit (&f, "0.2");
  send_for (&f, &f.gate, 1, 1000);
  start = now_ms (&f);
  request_and_wait (&f, "GET", "/safe/x", headers);
  g_assert_cmpint (f.status, ==, 503);
  g_assert_cmpint (now_ms (&f) - start, <, 100);
  g_assert_nonnull (f.retry_after);
  retry_ms = (int64_t)(1000 * g_ascii_strtod (f.retry_after, NULL));
  g_assert_cmpint (retry_ms, >, 500);
  g_assert_cmpint (retry_ms, <=, 11000);
  tear_down (&f);
}

/* A server that names no limit any more was treated as if it did.  */
static void
test_unnamed (void)
{
  struct fixture f;
  guint before;

  set_up_limit (&f, "1");
  send_for (&f, &f.gate, 1, 2000);
  g_assert_cmpuint (arrivals->len, <=, allowed (1));
  limit = NULL;
  send_for (&f, &f.gate, 1, 1500);
  before = arrivals->len;
  g_assert_cmpuint (send_for (&f, &f.gate, 1, 500), >=, 20);
  g_assert_cmpuint (arrivals->len, >=, before + 20);
  tear_down (&f);
}

/* Requests waited or were rejected although another server could take them. */
static void
test_elsewhere (void)
{
  struct fixture f;
  int64_t named;
  char *text;

  set_up_limit (&f, "1");
  named = now_ms (&f);
  text = g_strdup_printf (
      "{\"Service\":\"app\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"z\","
      "\"Slots\":8,\"State\":\"ready\",\"Sequence\":1}",
      httpd_port (f.server));
  put_row (&f, "servers/" OTHER_SERVER, text);
  send_for (&f, &f.gate, 1, 1000);
  for (int64_t end = now_ms (&f) + 6000; now_ms (&f) < end;)
    {
      request_and_wait (&f, "GET", "/safe/x", NULL);
      g_assert_cmpint (f.status, ==, 200);
    }
  g_assert_cmpuint (most_in_window (named + STABILITY_MS), <=, allowed (1));
  g_assert_cmpuint (arrivals->len, >=, 3);
  tear_down (&f);
  g_free (text);
}

int
main (int argc, char **argv)
{
  int status;

  g_test_init (&argc, &argv, NULL);
  arrivals = g_array_new (FALSE, FALSE, sizeof (int64_t));
  g_test_add_func ("/gate-limit/shared", test_shared);
  g_test_add_func ("/gate-limit/below-one", test_below_one);
  g_test_add_func ("/gate-limit/cut-off", test_cut_off);
  g_test_add_func ("/gate-limit/rejected", test_rejected);
  g_test_add_func ("/gate-limit/elsewhere", test_elsewhere);
  g_test_add_func ("/gate-limit/unnamed", test_unnamed);
  status = g_test_run ();
  g_array_unref (arrivals);
  return status;
}

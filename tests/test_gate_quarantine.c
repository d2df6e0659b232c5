/* Tests two gates beside servers that crash on a part of a prompt, or on one
   request of a plain service.  */

#include "gate_fixture.h"
#include "gate_second.h"
#include "quarantine.h"

#define EVENT(n) "id: " #n "\ndata: x" #n "\n\n"
#define ENGINES 6u
#define CRASHES 5u
#define STABILITY_MS 3000
#define REQUESTS_MAX 3u /* that reach engines after that */
#define REQUESTS 24u    /* of each kind */
#define REQUEST_CRASHES 3u
#define BAD_BODY "crash"
#define PAUSE_MS 100 /* between requests of a caller that repeats */

static unsigned next_engine; /* number of the next incarnation */
static GHashTable *crashed;  /* set of ids */
static unsigned crashes;
static unsigned at_engines; /* requests with the bad part */
static bool mended;         /* the bad part crashes no engine now */

/* How a bad request of a plain service ends.  */
enum crash_form
{
  CRASH_BEFORE_RESPONSE,
  CRASH_IN_BODY, /* after the head */
  CRASH_OR_ERROR /* each third one gets status 500, and no server crashes */
};

static enum crash_form crash_form;

static void
list_engine (struct fixture *f)
{
  char *text = g_strdup_printf (
      "{\"Service\":\"app\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"z\","
      "\"Slots\":8,\"State\":\"ready\",\"Sequence\":1}",
      httpd_port (f->server));
  char *key = g_strdup_printf ("servers/e-%u", ++next_engine);

  put_row (f, key, text);
  g_free (key);
  g_free (text);
}

/* The engine is replaced by a new one.  */
static void
crash (struct fixture *f, const char *id)
{
  char *key = g_strdup_printf ("servers/%s", id);

  crashes++;
  g_hash_table_add (crashed, g_strdup (id));
  put_row (f, key, NULL);
  list_engine (f);
  g_free (key);
}

static void
break_off (struct httpd_request *request)
{
  const char *headers[]
      = { ID, httpd_header (request, ID), SEAL, "seal", NULL };

  httpd_stream_begin (request, 200, "text/plain", headers);
  httpd_stream_write (request, "hel", 3);
  httpd_stream_abort (request);
}

static void
handle_bad_request (struct fixture *f, struct httpd_request *request,
                    const char *id)
{
  at_engines++;
  if (crash_form == CRASH_OR_ERROR && at_engines % 3 == 0)
    {
      answer (request, 500, "failed");
      return;
    }
  if (crash_form == CRASH_IN_BODY)
    break_off (request);
  else
    httpd_drop (request);
  crash (f, id);
}

static void
handle_plain (struct fixture *f, struct httpd_request *request, const char *id)
{
  size_t length;
  const char *body = httpd_body (request, &length);

  if (g_hash_table_contains (crashed, id))
    httpd_drop (request);
  else if (!mended && length == strlen (BAD_BODY)
           && memcmp (body, BAD_BODY, length) == 0)
    handle_bad_request (f, request, id);
  else
    answer (request, 200, "hello");
}

static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  const char *id = httpd_header (request, "Parsleyrill-Expect-Instance");
  const char *prompt = httpd_header (request, "Parsleyrill-Prompt-Prefix");
  bool bad = prompt != NULL && strstr (prompt, "bad:") != NULL;

  at_engines += bad;
  bad = bad && !mended;
  if (prompt == NULL)
    handle_plain (f, request, id);
  else if (g_hash_table_contains (crashed, id))
    httpd_drop (request);
  else if (bad)
    {
      httpd_drop (request);
      crash (f, id);
    }
  else
    {
      begin_event_stream (request, EVENT (1));
      httpd_stream_end (request);
    }
}

/* A request whose prompt has PART between parts that all requests share and
   one of its own.  */
static void
send_prompt (struct fixture *f, const char *part)
{
  static unsigned number;
  char *prompt = g_strdup_printf (
      "Parsleyrill-Prompt-Prefix: aa:100,%s:50,%x:10", part, ++number);
  char *id = g_strdup_printf ("p%u", number);
  const char *headers[] = { prompt, "Parsleyrill-Deadline-Ms: 2000", NULL };

  f->id = id;
  request_and_wait (f, "GET", "/long/x", headers);
  f->id = NULL;
  g_free (id);
  g_free (prompt);
}

/* A request of a plain service, under another id each time.  */
static void
send_plain (struct fixture *f, const char *path, const char *body)
{
  static unsigned number;
  const char *headers[] = { "Parsleyrill-Deadline-Ms: 2000", NULL };
  char *id = g_strdup_printf ("r%u", ++number);

  f->id = id;
  f->body = body;
  request_and_wait (f, "POST", path, headers);
  f->id = NULL;
  f->body = NULL;
  g_free (id);
}

static void
run_for (struct fixture *f, int64_t ms)
{
  struct timespec end = ts_add_ms (loop_now (f->loop), ms);

  while (ts_before (loop_now (f->loop), end))
    run_once (f);
}

static void
set_up_engines (struct fixture *f)
{
  crashed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  crashes = 0;
  at_engines = 0;
  mended = false;
  crash_form = CRASH_BEFORE_RESPONSE;
  set_up (f);
  wait_until_serving (f);
  put_row (f, "servers/i-1", NULL);
  for (unsigned i = 0; i < ENGINES; i++)
    list_engine (f);
}

static void
tear_down_engines (struct fixture *f)
{
  tear_down (f);
  g_hash_table_unref (crashed);
}

static void
wait_until_second_serves (struct fixture *f, struct second *second)
{
  struct gate *first = f->gate;

  f->gate = second->gate;
  do
    send_prompt (f, "warm");
  while (f->status != 200);
  f->gate = first;
}

/* Requests with one part in their prompts, no two alike, crashed one engine
   after the other, and sound requests were served no more.  */
static void
test_part (void)
{
  struct fixture f;
  struct second second;
  struct gate *gates[2];
  unsigned served = 0;
  unsigned before;

  set_up_engines (&f);
  start_second (&f, &second);
  wait_until_second_serves (&f, &second);
  gates[0] = f.gate;
  gates[1] = second.gate;
  for (unsigned i = 0; crashes < CRASHES; i++)
    {
      f.gate = gates[i % 2];
      send_prompt (&f, i % 4 < 2 ? "bad" : "good");
    }
  run_for (&f, STABILITY_MS);
  before = at_engines;
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      f.gate = gates[i % 2];
      send_prompt (&f, "bad");
      g_assert_cmpint (f.status, >=, 500);
      send_prompt (&f, "good");
      served += f.status == 200;
    }
  g_assert_cmpuint (at_engines - before, <=, REQUESTS_MAX);
  g_assert_cmpuint (served, ==, REQUESTS);
  f.gate = gates[0];
  stop_second (&second);
  tear_down_engines (&f);
}

/* Guards against nodes that start, or have no link to the others, and crash
   engines of their own before they know.  */
static void
test_table (void)
{
  struct fixture f;
  struct second second;
  struct gate *first;
  char *store;
  unsigned before;

  set_up_engines (&f);
  store = g_strdup_printf ("127.0.0.1:%u", httpd_port (f.store));
  while (crashes < CRASHES)
    {
      send_prompt (&f, "bad");
      send_prompt (&f, "good");
    }
  run_for (&f, STABILITY_MS);
  start_second_at (&f, &second, store, "another-secret");
  wait_until_second_serves (&f, &second);
  first = f.gate;
  f.gate = second.gate;
  before = at_engines;
  send_prompt (&f, "bad");
  g_assert_cmpint (f.status, ==, 503);
  g_assert_nonnull (f.retry_after);
  send_prompt (&f, "good");
  g_assert_cmpint (f.status, ==, 200);
  g_assert_cmpuint (at_engines, ==, before);
  f.gate = first;
  stop_second (&second);
  tear_down_engines (&f);
  g_free (store);
}

/* A part that crashes engines no more was rejected for good: the request that
   was let through as a trial was rejected a moment later.  */
static void
test_trial (void)
{
  struct timespec end;
  struct fixture f;

  set_up_engines (&f);
  mended = true;
  send_prompt (&f, "bad");
  g_assert_cmpint (f.status, ==, 200);
  mended = false;
  while (crashes < CRASHES)
    send_prompt (&f, "bad");
  do
    send_prompt (&f, "bad");
  while (f.status != 503);
  mended = true;
  end = ts_add_ms (loop_now (f.loop), 2 * QUARANTINE_RETRIAL_MS);
  do
    {
      run_for (&f, 100);
      send_prompt (&f, "bad");
    }
  while (f.status != 200 && ts_before (loop_now (f.loop), end));
  g_assert_cmpint (f.status, ==, 200);
  send_prompt (&f, "bad");
  g_assert_cmpint (f.status, ==, 200);
  tear_down_engines (&f);
}

/* The path of the next bad request.  */
static char *
same_path (void)
{
  return g_strdup ("/safe/order");
}

static char *
other_query (void)
{
  static unsigned number;

  return g_strdup_printf ("/safe/order?attempt=%u", ++number);
}

/* Two linked nodes; each gets some of the bad requests.  */
static void
check_plain (enum crash_form form, char *(*next_path) (void))
{
  struct fixture f;
  struct second second;
  struct gate *gates[2];
  unsigned served = 0;
  unsigned before;

  set_up_engines (&f);
  start_second (&f, &second);
  wait_until_second_serves (&f, &second);
  crash_form = form;
  gates[0] = f.gate;
  gates[1] = second.gate;
  for (unsigned i = 0; crashes < REQUEST_CRASHES; i++)
    {
      char *path = next_path ();

      f.gate = gates[i % 2];
      send_plain (&f, path, BAD_BODY);
      g_free (path);
    }
  run_for (&f, STABILITY_MS);
  before = at_engines;
  for (unsigned i = 0; i < REQUESTS; i++)
    {
      char *path = next_path ();

      f.gate = gates[i % 2];
      send_plain (&f, path, BAD_BODY);
      g_assert_cmpint (f.status, >=, 500);
      send_plain (&f, path, "sound");
      served += f.status == 200;
      run_for (&f, PAUSE_MS);
      g_free (path);
    }
  g_assert_cmpuint (at_engines - before, <=, REQUESTS_MAX);
  g_assert_cmpuint (served, ==, REQUESTS);
  f.gate = gates[0];
  stop_second (&second);
  tear_down_engines (&f);
}

/* One request of a plain service, without parts, was sent on and on.  */
static void
test_request (void)
{
  check_plain (CRASH_BEFORE_RESPONSE, same_path);
}

/* The same where the servers crash in the middle of their responses.  */
static void
test_request_body (void)
{
  check_plain (CRASH_IN_BODY, same_path);
}

/* A server's error 500 between crashes was taken for a sound request.  */
static void
test_request_error (void)
{
  check_plain (CRASH_OR_ERROR, same_path);
}

/* A request that came with another query each time was never known.  */
static void
test_request_query (void)
{
  check_plain (CRASH_BEFORE_RESPONSE, other_query);
}

/* A node without links to the others did not know the request.  */
static void
test_request_table (void)
{
  struct fixture f;
  struct second second;
  struct gate *first;
  char *store;
  unsigned before;

  set_up_engines (&f);
  store = g_strdup_printf ("127.0.0.1:%u", httpd_port (f.store));
  while (crashes < REQUEST_CRASHES)
    send_plain (&f, "/safe/order", BAD_BODY);
  run_for (&f, STABILITY_MS);
  send_plain (&f, "/safe/order", BAD_BODY);
  start_second_at (&f, &second, store, "another-secret");
  wait_until_second_serves (&f, &second);
  first = f.gate;
  f.gate = second.gate;
  before = at_engines;
  send_plain (&f, "/safe/order", BAD_BODY);
  g_assert_cmpint (f.status, ==, 503);
  g_assert_nonnull (f.retry_after);
  send_plain (&f, "/safe/order", "sound");
  g_assert_cmpint (f.status, ==, 200);
  g_assert_cmpuint (at_engines, ==, before);
  f.gate = first;
  stop_second (&second);
  tear_down_engines (&f);
  g_free (store);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gate-quarantine/part", test_part);
  g_test_add_func ("/gate-quarantine/table", test_table);
  g_test_add_func ("/gate-quarantine/trial", test_trial);
  g_test_add_func ("/gate-quarantine/request", test_request);
  g_test_add_func ("/gate-quarantine/request-body", test_request_body);
  g_test_add_func ("/gate-quarantine/request-error", test_request_error);
  g_test_add_func ("/gate-quarantine/request-query", test_request_query);
  g_test_add_func ("/gate-quarantine/request-table", test_request_table);
  return g_test_run ();
}

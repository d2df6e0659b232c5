#include <errno.h>
#include <string.h>
#include <glib.h>
#include "../standins/fetch.h"
#include "../standins/role.h"
#include "clk.h"
#include "ts.h"

/* Fetches, driven by a manual clock.  */

static int fetches_done;

static void
on_fetch_done (struct fetch *fetch)
{
  (void)fetch;
  fetches_done++;
}

/* Advances the clock to MS and returns the number of fetches completed.  */
static int
advance_to (struct clk_manual *manual, struct loop *loop, int64_t ms)
{
  while (ts_to_ms (manual->at) < ms)
    {
      manual->at = ts_add_ms (manual->at, 1);
      loop_run_once (loop, 0);
    }
  loop_run_once (loop, 0);
  return fetches_done;
}

/* Starts COUNT fetches that take 100 ms at full speed.  */
static void
start_fetches (struct fetch_store *store, struct fetch *fetches, int count)
{
  for (int i = 0; i < count; i++)
    {
      fetches[i] = (struct fetch){ .done = on_fetch_done };
      fetch_begin (store, &fetches[i], 0.1);
    }
}

/* Eight fetches with a knee of 4 run at half speed, for 200 ms.  When one of
   five is cancelled, the others run at full speed from then on.  */
static void
test_fetch_knee (void)
{
  struct clk_manual manual;
  struct fetch_store store;
  struct fetch fetches[8];
  struct loop *loop;

  clk_manual_init (&manual, ts_from_ms (1000));
  loop = loop_new (&manual.clk);
  fetches_done = 0;
  fetch_store_init (&store, loop, 0, 4);
  start_fetches (&store, fetches, 8);
  g_assert_cmpint (advance_to (&manual, loop, 1190), ==, 0);
  g_assert_cmpint (advance_to (&manual, loop, 1205), ==, 8);
  start_fetches (&store, fetches, 5);
  advance_to (&manual, loop, 1206);
  fetch_cancel (&fetches[0]);
  g_assert_cmpint (advance_to (&manual, loop, 1304), ==, 8);
  g_assert_cmpint (advance_to (&manual, loop, 1308), ==, 12);
  loop_free (loop);
}

/* With a rate of 2 per second, the second fetch starts after 500 ms and the
   third after 1 s.  */
static void
test_fetch_rate (void)
{
  struct clk_manual manual;
  struct fetch_store store;
  struct fetch fetches[3];
  struct loop *loop;

  clk_manual_init (&manual, ts_from_ms (1000));
  loop = loop_new (&manual.clk);
  fetches_done = 0;
  fetch_store_init (&store, loop, 2, 4);
  start_fetches (&store, fetches, 3);
  g_assert_cmpint (advance_to (&manual, loop, 1110), ==, 1);
  g_assert_cmpint (advance_to (&manual, loop, 1590), ==, 1);
  g_assert_cmpint (advance_to (&manual, loop, 1610), ==, 2);
  g_assert_cmpint (advance_to (&manual, loop, 2110), ==, 3);
  loop_free (loop);
}

/* Roles, over HTTP on loopback.  */

struct fixture
{
  struct loop *loop;
  struct standin *standin;
  struct httpc *httpc;
  GString *body;
  int responses;
  int error;
  long status;
};

static const struct role_engine_options engine_options = { .id = "e1",
                                                           .on_disk = "*",
                                                           .memory_mb = 100,
                                                           .slots = 1,
                                                           .queue = 1,
                                                           .batch = 1 };

static void
set_up (struct fixture *f, struct standin *standin,
        const struct standin_ops *ops)
{
  struct httpc_options client = { 0 };

  memset (f, 0, sizeof *f);
  f->loop = loop_new (clk_monotonic ());
  f->standin = standin;
  g_assert_cmpint (standin_start (standin, ops, f->loop, "127.0.0.1", 0), ==,
                   0);
  client.loop = f->loop;
  f->httpc = httpc_new (&client);
  f->body = g_string_new (NULL);
}

static void
set_up_engine (struct fixture *f, const struct role_engine_options *options)
{
  set_up (f, role_engine_new (options), &role_engine_ops);
}

static void
tear_down (struct fixture *f)
{
  httpc_free (f->httpc);
  standin_stop (f->standin);
  g_free (f->standin);
  loop_free (f->loop);
  g_string_free (f->body, TRUE);
}

static void
on_done (void *user, const struct httpc_result *result)
{
  struct fixture *f = user;

  f->responses++;
  f->error = result->error;
  f->status = result->status;
  g_string_assign (f->body, result->body != NULL ? result->body : "");
}

static struct httpc_call *
start_request (struct fixture *f, const char *path, const char *body,
               void (*done) (void *user, const struct httpc_result *result))
{
  struct httpc_request request = { .body = body,
                                   .length = body != NULL ? strlen (body) : 0,
                                   .done = done,
                                   .user = f };
  struct httpc_call *call;
  char *url = g_strdup_printf ("http://127.0.0.1:%u%s",
                               httpd_port (f->standin->httpd), path);

  request.url = url;
  call = httpc_start (f->httpc, &request);
  g_free (url);
  return call;
}

static long
do_request (struct fixture *f, const char *path, const char *body)
{
  int before = f->responses;

  start_request (f, path, body, on_done);
  while (f->responses == before)
    loop_run_once (f->loop, -1);
  return f->status;
}

static bool
body_contains (const struct fixture *f, const char *text)
{
  return strstr (f->body->str, text) != NULL;
}

/* Polls PATH until the response contains TEXT.  */
static void
poll_until (struct fixture *f, const char *path, const char *text)
{
  do
    g_assert_cmpint (do_request (f, path, NULL), ==, 200);
  while (!body_contains (f, text));
}

static void
load_model (struct fixture *f)
{
  do_request (f, "/admin/order",
              "{\"order_id\":\"o1\",\"type\":\"load\",\"model\":\"m\","
              "\"version\":\"1\",\"memory_mb\":60}");
  g_assert_cmpint (f->status, ==, 200);
  poll_until (f, "/admin/report", "\"loaded\"");
}

/* Returns the token texts of a response, concatenated; free with g_free.  */
static char *
stream_text (const char *stream)
{
  static const char key[] = "\"text\":\"";
  GString *text = g_string_new (NULL);

  while ((stream = strstr (stream, key)) != NULL)
    {
      stream += sizeof key - 1;
      g_string_append_len (text, stream, strcspn (stream, "\""));
    }
  return g_string_free (text, FALSE);
}

/* A complete, a streamed and a resumed answer to one prompt have the same
   text; another prompt has another answer.  */
static void
test_same_answer (void)
{
  struct fixture f;
  char *complete;
  char *streamed;
  char *resumed;

  set_up_engine (&f, &engine_options);
  load_model (&f);
  do_request (&f, "/v1/completions",
              "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":9}");
  complete = stream_text (f.body->str);
  do_request (
      &f, "/v1/completions",
      "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":9,\"stream\":true}");
  streamed = stream_text (f.body->str);
  g_assert_true (g_str_has_suffix (f.body->str, "data: [DONE]\n\n"));
  do_request (
      &f, "/v1/completions",
      "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":9,\"stream\":true,"
      "\"resume_from\":4}");
  resumed = stream_text (f.body->str);
  g_assert_cmpuint (strlen (complete), ==, strlen (" 000000") * 9);
  g_assert_cmpstr (complete, ==, streamed);
  g_assert_cmpstr (complete + strlen (" 000000") * 4, ==, resumed);
  do_request (&f, "/v1/completions",
              "{\"model\":\"m\",\"prompt\":\"q\",\"max_tokens\":9}");
  g_assert_false (body_contains (&f, complete));
  g_free (complete);
  g_free (streamed);
  g_free (resumed);
  tear_down (&f);
}

/* "cut_after" aborts a stream, but not one that was resumed.  */
static void
test_cut_after (void)
{
  struct fixture f;

  set_up_engine (&f, &engine_options);
  load_model (&f);
  do_request (&f, "/faults", "{\"cut_after\":2}");
  do_request (&f, "/v1/completions",
              "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":true}");
  g_assert_cmpint (f.error, <, 0);
  do_request (&f, "/v1/completions",
              "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":true,"
              "\"resume_from\":2}");
  g_assert_cmpint (f.error, ==, 0);
  do_request (&f, "/admin/report", NULL);
  g_assert_true (body_contains (&f, "\"running\":0"));
  tear_down (&f);
}

/* Requests for a model that is not loaded, loads that exceed the memory and
   requests to a leaving engine are refused; error objects say "not_run".  */
static void
test_refusals (void)
{
  struct fixture f;

  set_up_engine (&f, &engine_options);
  g_assert_cmpint (
      do_request (&f, "/v1/completions", "{\"model\":\"m\",\"prompt\":\"p\"}"),
      ==, 404);
  g_assert_true (body_contains (&f, "\"not_run\":true"));
  load_model (&f);
  do_request (&f, "/admin/order",
              "{\"order_id\":\"o2\",\"type\":\"load\",\"model\":\"n\","
              "\"version\":\"1\",\"memory_mb\":60}");
  g_assert_cmpint (f.status, ==, 409);
  do_request (&f, "/admin/report", NULL);
  g_assert_true (body_contains (&f, "\"violations\":1"));
  do_request (&f, "/faults", "{\"leaving\":true}");
  do_request (&f, "/v1/completions", "{\"model\":\"m\",\"prompt\":\"p\"}");
  g_assert_cmpint (f.status, ==, 503);
  g_assert_true (body_contains (&f, "\"not_run\":true"));
  tear_down (&f);
}

/* With one slot and a queue of one, the third request is refused; a client
   that disconnects frees its slot for the queued request.  */
static void
test_slots (void)
{
  static const char body[]
      = "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":3,\"marker\":\"k\"}";
  struct fixture f;
  struct httpc_call *first;

  set_up_engine (&f, &engine_options);
  load_model (&f);
  do_request (&f, "/faults", "{\"freeze\":true}");
  first = start_request (&f, "/v1/completions", body, NULL);
  poll_until (&f, "/admin/report", "\"running\":1,\"queued\":0");
  start_request (&f, "/v1/completions", body, NULL);
  poll_until (&f, "/admin/report", "\"running\":1,\"queued\":1");
  g_assert_cmpint (do_request (&f, "/v1/completions", body), ==, 429);
  httpc_cancel (first);
  poll_until (&f, "/admin/report", "\"running\":1,\"queued\":0");
  do_request (&f, "/faults", "{\"freeze\":false}");
  poll_until (&f, "/admin/report", "\"running\":0");
  do_request (&f, "/ran", NULL);
  g_assert_cmpstr (f.body->str, ==, "{\"ran\":{\"k\":2}}");
  tear_down (&f);
}

/* "silence" stops a stream without closing its connection; new connections
   work, and the slot is freed when the client disconnects.  */
static void
test_silence (void)
{
  struct fixture f;
  struct httpc_call *silent;

  set_up_engine (&f, &engine_options);
  load_model (&f);
  do_request (&f, "/faults", "{\"freeze\":true}");
  silent = start_request (&f, "/v1/completions",
                          "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":true}",
                          NULL);
  poll_until (&f, "/admin/report", "\"running\":1");
  do_request (&f, "/faults", "{\"silence\":true,\"freeze\":false}");
  for (int i = 0; i < 20; i++)
    do_request (&f, "/admin/report", NULL);
  g_assert_true (body_contains (&f, "\"running\":1"));
  g_assert_cmpint (httpc_phase (silent), ==, HTTPC_SENT);
  httpc_cancel (silent);
  poll_until (&f, "/admin/report", "\"running\":0");
  g_assert_cmpint (
      do_request (&f, "/v1/completions", "{\"model\":\"m\",\"prompt\":\"p\"}"),
      ==, 200);
  tear_down (&f);
}

/* An adapter is served on its base model, which cannot be unloaded before
   it.  */
static void
test_adapters (void)
{
  struct fixture f;

  set_up_engine (&f, &engine_options);
  load_model (&f);
  do_request (&f, "/admin/order",
              "{\"order_id\":\"o2\",\"type\":\"adapter_load\",\"model\":\"m\","
              "\"adapter\":\"a\",\"version\":\"1\",\"memory_mb\":5}");
  g_assert_cmpint (f.status, ==, 200);
  poll_until (&f, "/admin/report", "\"o2\"");
  g_assert_cmpint (
      do_request (&f, "/v1/completions", "{\"model\":\"a\",\"prompt\":\"p\"}"),
      ==, 200);
  do_request (&f, "/admin/order",
              "{\"order_id\":\"o3\",\"type\":\"unload\",\"model\":\"m\"}");
  g_assert_cmpint (f.status, ==, 409);
  do_request (
      &f, "/admin/order",
      "{\"order_id\":\"o4\",\"type\":\"adapter_unload\",\"adapter\":\"a\"}");
  do_request (&f, "/admin/order",
              "{\"order_id\":\"o5\",\"type\":\"unload\",\"model\":\"m\"}");
  g_assert_cmpint (f.status, ==, 200);
  do_request (&f, "/admin/report", NULL);
  g_assert_true (body_contains (&f, "\"memory_used_mb\":0"));
  tear_down (&f);
}

/* A service echoes requests; with "lose_answers", a request is executed and
   counted, but its response is lost.  */
static void
test_service (void)
{
  static const struct role_service_options options = { .id = "s1" };
  struct fixture f;

  set_up (&f, role_service_new (&options), &role_service_ops);
  do_request (&f, "/work-orders", "{\"marker\":\"w1\"}");
  g_assert_true (body_contains (&f, "\"path\":\"/work-orders\""));
  do_request (&f, "/faults", "{\"lose_answers\":1}");
  do_request (&f, "/work-orders", "{\"marker\":\"w1\"}");
  g_assert_cmpint (f.error, <, 0);
  do_request (&f, "/ran", NULL);
  g_assert_cmpstr (f.body->str, ==, "{\"ran\":{\"w1\":2}}");
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/standin/fetch/knee", test_fetch_knee);
  g_test_add_func ("/standin/fetch/rate", test_fetch_rate);
  g_test_add_func ("/standin/engine/answer", test_same_answer);
  g_test_add_func ("/standin/engine/cut", test_cut_after);
  g_test_add_func ("/standin/engine/refusals", test_refusals);
  g_test_add_func ("/standin/engine/slots", test_slots);
  g_test_add_func ("/standin/engine/silence", test_silence);
  g_test_add_func ("/standin/engine/adapters", test_adapters);
  g_test_add_func ("/standin/service", test_service);
  return g_test_run ();
}

#include <errno.h>
#include <string.h>
#include <glib.h>
#include "../standins/fetch.h"
#include "../standins/role.h"
#include "clk.h"
#include "ts.h"

/* Fetches on a manual clock.  */

static int fetched;

static void
on_fetched (struct fetch *fetch)
{
  (void)fetch;
  fetched++;
}

static int
fetched_at (struct clk_manual *manual, struct loop *loop, int64_t ms)
{
  while (ts_to_ms (manual->at) < ms)
    {
      manual->at = ts_add_ms (manual->at, 1);
      loop_run_once (loop, 0);
    }
  loop_run_once (loop, 0);
  return fetched;
}

static void
begin_fetches (struct fetch_store *store, struct fetch *fetches, int count)
{
  for (int i = 0; i < count; i++)
    {
      fetches[i] = (struct fetch){ .done = on_fetched };
      fetch_begin (store, &fetches[i], 0.1);
    }
}

static void
test_fetch_knee (void)
{
  struct clk_manual manual;
  struct fetch_store store;
  struct fetch fetches[8];
  struct loop *loop;

  clk_manual_init (&manual, ts_from_ms (1000));
  loop = loop_new (&manual.clk);
  fetched = 0;
  fetch_store_init (&store, loop, 0, 4);
  begin_fetches (&store, fetches, 8);
  g_assert_cmpint (fetched_at (&manual, loop, 1190), ==, 0);
  g_assert_cmpint (fetched_at (&manual, loop, 1205), ==, 8);
  begin_fetches (&store, fetches, 5);
  fetched_at (&manual, loop, 1206);
  fetch_cancel (&fetches[0]);
  g_assert_cmpint (fetched_at (&manual, loop, 1304), ==, 8);
  g_assert_cmpint (fetched_at (&manual, loop, 1308), ==, 12);
  loop_free (loop);
}

static void
test_fetch_rate (void)
{
  struct clk_manual manual;
  struct fetch_store store;
  struct fetch fetches[3];
  struct loop *loop;

  clk_manual_init (&manual, ts_from_ms (1000));
  loop = loop_new (&manual.clk);
  fetched = 0;
  fetch_store_init (&store, loop, 2, 4);
  begin_fetches (&store, fetches, 3);
  g_assert_cmpint (fetched_at (&manual, loop, 1110), ==, 1);
  g_assert_cmpint (fetched_at (&manual, loop, 1590), ==, 1);
  g_assert_cmpint (fetched_at (&manual, loop, 1610), ==, 2);
  g_assert_cmpint (fetched_at (&manual, loop, 2110), ==, 3);
  loop_free (loop);
}

/* Roles over loopback.  */

struct fixture
{
  struct loop *loop;
  struct standin *standin;
  struct httpc *httpc;
  GString *got;
  int done;
  int error;
  long status;
};

static const struct role_engine_options engine = { .id = "e1",
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
  f->got = g_string_new (NULL);
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
  g_string_free (f->got, TRUE);
}

static void
on_done (void *user, const struct httpc_result *result)
{
  struct fixture *f = user;

  f->done++;
  f->error = result->error;
  f->status = result->status;
  g_string_assign (f->got, result->body != NULL ? result->body : "");
}

static struct httpc_call *
begin (struct fixture *f, const char *path, const char *body,
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
call (struct fixture *f, const char *path, const char *body)
{
  int before = f->done;

  begin (f, path, body, on_done);
  while (f->done == before)
    loop_run_once (f->loop, -1);
  return f->status;
}

static bool
has (const struct fixture *f, const char *text)
{
  return strstr (f->got->str, text) != NULL;
}

/* Asks PATH until TEXT is in the answer.  */
static void
wait_for (struct fixture *f, const char *path, const char *text)
{
  do
    g_assert_cmpint (call (f, path, NULL), ==, 200);
  while (!has (f, text));
}

static void
load_model (struct fixture *f)
{
  call (f, "/admin/order",
        "{\"order_id\":\"o1\",\"type\":\"load\",\"model\":\"m\","
        "\"version\":\"1\",\"memory_mb\":60}");
  g_assert_cmpint (f->status, ==, 200);
  wait_for (f, "/admin/report", "\"loaded\"");
}

/* The texts of a stream's tokens in a row, freed with g_free.  */
static char *
stream_text (const char *stream)
{
  static const char mark[] = "\"text\":\"";
  GString *text = g_string_new (NULL);

  while ((stream = strstr (stream, mark)) != NULL)
    {
      stream += sizeof mark - 1;
      g_string_append_len (text, stream, strcspn (stream, "\""));
    }
  return g_string_free (text, FALSE);
}

static void
test_answer (void)
{
  struct fixture f;
  char *whole;
  char *streamed;
  char *resumed;

  set_up_engine (&f, &engine);
  load_model (&f);
  call (&f, "/v1/completions",
        "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":9}");
  whole = stream_text (f.got->str);
  call (&f, "/v1/completions",
        "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":9,\"stream\":true}");
  streamed = stream_text (f.got->str);
  g_assert_true (g_str_has_suffix (f.got->str, "data: [DONE]\n\n"));
  call (&f, "/v1/completions",
        "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":9,\"stream\":true,"
        "\"resume_from\":4}");
  resumed = stream_text (f.got->str);
  g_assert_cmpuint (strlen (whole), ==, strlen (" 000000") * 9);
  g_assert_cmpstr (whole, ==, streamed);
  g_assert_cmpstr (whole + strlen (" 000000") * 4, ==, resumed);
  call (&f, "/v1/completions",
        "{\"model\":\"m\",\"prompt\":\"q\",\"max_tokens\":9}");
  g_assert_false (has (&f, whole));
  g_free (whole);
  g_free (streamed);
  g_free (resumed);
  tear_down (&f);
}

static void
test_cut (void)
{
  struct fixture f;

  set_up_engine (&f, &engine);
  load_model (&f);
  call (&f, "/faults", "{\"cut_after\":2}");
  call (&f, "/v1/completions",
        "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":true}");
  g_assert_cmpint (f.error, <, 0);
  call (&f, "/v1/completions",
        "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":true,"
        "\"resume_from\":2}");
  g_assert_cmpint (f.error, ==, 0);
  call (&f, "/admin/report", NULL);
  g_assert_true (has (&f, "\"running\":0"));
  tear_down (&f);
}

static void
test_refusals (void)
{
  struct fixture f;

  set_up_engine (&f, &engine);
  g_assert_cmpint (
      call (&f, "/v1/completions", "{\"model\":\"m\",\"prompt\":\"p\"}"), ==,
      404);
  g_assert_true (has (&f, "\"not_run\":true"));
  load_model (&f);
  call (&f, "/admin/order",
        "{\"order_id\":\"o2\",\"type\":\"load\",\"model\":\"n\","
        "\"version\":\"1\",\"memory_mb\":60}");
  g_assert_cmpint (f.status, ==, 409);
  call (&f, "/admin/report", NULL);
  g_assert_true (has (&f, "\"violations\":1"));
  call (&f, "/faults", "{\"leaving\":true}");
  call (&f, "/v1/completions", "{\"model\":\"m\",\"prompt\":\"p\"}");
  g_assert_cmpint (f.status, ==, 503);
  g_assert_true (has (&f, "\"not_run\":true"));
  tear_down (&f);
}

/* One runs, one waits, the third is refused; the slot of a caller who goes
   away is free again.  */
static void
test_slots (void)
{
  static const char body[]
      = "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":3,\"marker\":\"k\"}";
  struct fixture f;
  struct httpc_call *first;

  set_up_engine (&f, &engine);
  load_model (&f);
  call (&f, "/faults", "{\"freeze\":true}");
  first = begin (&f, "/v1/completions", body, NULL);
  wait_for (&f, "/admin/report", "\"running\":1,\"queued\":0");
  begin (&f, "/v1/completions", body, NULL);
  wait_for (&f, "/admin/report", "\"running\":1,\"queued\":1");
  g_assert_cmpint (call (&f, "/v1/completions", body), ==, 429);
  httpc_cancel (first);
  wait_for (&f, "/admin/report", "\"running\":1,\"queued\":0");
  call (&f, "/faults", "{\"freeze\":false}");
  wait_for (&f, "/admin/report", "\"running\":0");
  call (&f, "/ran", NULL);
  g_assert_cmpstr (f.got->str, ==, "{\"ran\":{\"k\":2}}");
  tear_down (&f);
}

static void
test_silence (void)
{
  struct fixture f;
  struct httpc_call *silent;

  set_up_engine (&f, &engine);
  load_model (&f);
  call (&f, "/faults", "{\"freeze\":true}");
  silent = begin (&f, "/v1/completions",
                  "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":true}", NULL);
  wait_for (&f, "/admin/report", "\"running\":1");
  call (&f, "/faults", "{\"silence\":true,\"freeze\":false}");
  for (int i = 0; i < 20; i++)
    call (&f, "/admin/report", NULL);
  g_assert_true (has (&f, "\"running\":1"));
  g_assert_cmpint (httpc_phase (silent), ==, HTTPC_SENT);
  httpc_cancel (silent);
  wait_for (&f, "/admin/report", "\"running\":0");
  g_assert_cmpint (
      call (&f, "/v1/completions", "{\"model\":\"m\",\"prompt\":\"p\"}"), ==,
      200);
  tear_down (&f);
}

static void
test_adapters (void)
{
  struct fixture f;

  set_up_engine (&f, &engine);
  load_model (&f);
  call (&f, "/admin/order",
        "{\"order_id\":\"o2\",\"type\":\"adapter_load\",\"model\":\"m\","
        "\"adapter\":\"a\",\"version\":\"1\",\"memory_mb\":5}");
  g_assert_cmpint (f.status, ==, 200);
  wait_for (&f, "/admin/report", "\"o2\"");
  g_assert_cmpint (
      call (&f, "/v1/completions", "{\"model\":\"a\",\"prompt\":\"p\"}"), ==,
      200);
  call (&f, "/admin/order",
        "{\"order_id\":\"o3\",\"type\":\"unload\",\"model\":\"m\"}");
  g_assert_cmpint (f.status, ==, 409);
  call (&f, "/admin/order",
        "{\"order_id\":\"o4\",\"type\":\"adapter_unload\",\"adapter\":\"a\"}");
  call (&f, "/admin/order",
        "{\"order_id\":\"o5\",\"type\":\"unload\",\"model\":\"m\"}");
  g_assert_cmpint (f.status, ==, 200);
  call (&f, "/admin/report", NULL);
  g_assert_true (has (&f, "\"memory_used_mb\":0"));
  tear_down (&f);
}

static void
test_service (void)
{
  static const struct role_service_options options = { .id = "s1" };
  struct fixture f;

  set_up (&f, role_service_new (&options), &role_service_ops);
  call (&f, "/work-orders", "{\"marker\":\"w1\"}");
  g_assert_true (has (&f, "\"path\":\"/work-orders\""));
  call (&f, "/faults", "{\"lose_answers\":1}");
  call (&f, "/work-orders", "{\"marker\":\"w1\"}");
  g_assert_cmpint (f.error, <, 0);
  call (&f, "/ran", NULL);
  g_assert_cmpstr (f.got->str, ==, "{\"ran\":{\"w1\":2}}");
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/standin/fetch/knee", test_fetch_knee);
  g_test_add_func ("/standin/fetch/rate", test_fetch_rate);
  g_test_add_func ("/standin/engine/answer", test_answer);
  g_test_add_func ("/standin/engine/cut", test_cut);
  g_test_add_func ("/standin/engine/refusals", test_refusals);
  g_test_add_func ("/standin/engine/slots", test_slots);
  g_test_add_func ("/standin/engine/silence", test_silence);
  g_test_add_func ("/standin/engine/adapters", test_adapters);
  g_test_add_func ("/standin/service", test_service);
  return g_test_run ();
}

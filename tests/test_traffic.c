#include "traffic_fixture.h"

static void
on_engine (struct fixture *f, struct httpd_request *request, const char *body)
{
  const char *headers[] = { "X-Request-Id", "another", NULL };

  if (strstr (body, "hold") != NULL)
    f->held = request;
  else if (strstr (body, "crossed") != NULL)
    httpd_respond (request, 200, "application/json", headers, "{}", 2);
  else
    answer_stream (f, request, strstr (body, "cut") == NULL);
}

static void
on_room (struct fixture *f, struct httpd_request *request)
{
  (void)f;
  (void)request;
}

static void
test_cold (void)
{
  struct fixture f;

  set_up (&f);
  publish (&f, ROUTE_COLD, false);
  start (&f, "/v1/completions", BODY, NULL);
  UNTIL (&f, f.seen[MSG_WAITING_INCREASED] > 0);
  g_assert_cmpint (f.at_engine, ==, 0);
  publish (&f, ROUTE_READY, false);
  UNTIL (&f, f.done > 0);
  g_assert_cmpint (f.status, ==, 200);
  g_assert_cmpstr (f.got->str, ==, STREAM);
  UNTIL (&f, f.seen[MSG_WAITING_DECREASED] > 0
                 && f.seen[MSG_ATTEMPT_SUCCEEDED] > 0);
  g_assert_cmpuint (f.seen[MSG_REQUEST], ==, 1);
  tear_down (&f);
}

/* A cut answer is an error to the caller, never a whole one.  */
static void
test_cut (void)
{
  struct fixture f;

  set_up (&f);
  publish (&f, ROUTE_READY, false);
  call (&f, "/v1/completions", "{\"model\":\"m\",\"prompt\":\"cut\"}", NULL);
  g_assert_cmpint (f.error, <, 0);
  g_assert_cmpstr (f.got->str, ==, EVENTS);
  tear_down (&f);
}

/* An answer with another attempt's id is never delivered.  */
static void
test_crossed (void)
{
  struct fixture f;

  set_up (&f);
  publish (&f, ROUTE_READY, false);
  call (&f, "/v1/completions", "{\"model\":\"m\",\"prompt\":\"crossed\"}",
        NULL);
  g_assert_cmpint (f.status, ==, 503);
  g_assert_nonnull (strstr (f.got->str, "\"not_run\":false"));
  tear_down (&f);
}

static void
test_deadline (void)
{
  static const char *const headers[] = { "X-Deadline-Ms: 50", NULL };
  struct fixture f;

  set_up (&f);
  publish (&f, ROUTE_COLD, false);
  call (&f, "/v1/completions", BODY, headers);
  g_assert_cmpint (f.status, ==, 503);
  g_assert_nonnull (strstr (f.got->str, "\"not_run\":true"));
  g_assert_nonnull (strstr (f.got->str, "\"retry_after_s\""));
  publish (&f, ROUTE_READY, false);
  call (&f, "/v1/completions", "{\"model\":\"m\",\"prompt\":\"hold\"}",
        headers);
  g_assert_cmpint (f.status, ==, 504);
  g_assert_nonnull (strstr (f.got->str, "\"not_run\":false"));
  UNTIL (&f, f.held == NULL);
  tear_down (&f);
}

/* A caller who goes away takes its request out of the engine, or out of the
   queue.  */
static void
test_gone (void)
{
  struct fixture f;
  struct httpc_call *c;

  set_up (&f);
  publish (&f, ROUTE_READY, false);
  c = start (&f, "/v1/completions", "{\"model\":\"m\",\"prompt\":\"hold\"}",
             NULL);
  UNTIL (&f, f.held != NULL);
  httpc_cancel (c);
  UNTIL (&f, f.held == NULL);
  UNTIL (&f, traffic_open_requests (f.traffic) == 0);
  publish (&f, ROUTE_COLD, false);
  c = start (&f, "/v1/completions", BODY, NULL);
  UNTIL (&f, f.seen[MSG_WAITING_INCREASED] > 0);
  httpc_cancel (c);
  UNTIL (&f, f.seen[MSG_WAITING_DECREASED] > 0);
  tear_down (&f);
}

struct verdict_case
{
  enum msg_verdict verdict;
  long status;
  int at_engine;
  const char *says;
};

static void
test_verdict (gconstpointer data)
{
  static const char *const headers[] = { "Idempotency-Key: k1", NULL };
  const struct verdict_case *c = data;
  struct fixture f;

  set_up (&f);
  f.verdict = c->verdict;
  publish (&f, ROUTE_READY, true);
  call (&f, "/v1/completions", BODY, headers);
  g_assert_cmpint (f.status, ==, c->status);
  g_assert_cmpint (f.at_engine, ==, c->at_engine);
  g_assert_nonnull (strstr (f.got->str, c->says));
  if (c->verdict == MSG_VERDICT_RUN)
    UNTIL (&f, f.seen[MSG_RECORD_END] > 0);
  tear_down (&f);
}

/* Without a key, a request that may not be repeated is sent once.  */
static void
test_once (void)
{
  struct fixture f;

  set_up (&f);
  publish (&f, ROUTE_READY, true);
  call (&f, "/v1/completions", "{\"model\":\"m\",\"prompt\":\"crossed\"}",
        NULL);
  g_assert_cmpint (f.status, ==, 502);
  g_assert_cmpint (f.at_engine, ==, 1);
  g_assert_nonnull (strstr (f.got->str, "\"not_run\":false"));
  tear_down (&f);
}

struct input_case
{
  const char *path;
  const char *body;
  const char *header;
  long status;
};

static const struct input_case inputs[] = {
  { "/healthz", NULL, NULL, 200 },
  { "/readyz", NULL, NULL, 200 },
  { "/metrics", NULL, NULL, 200 },
  { "/v1/models", NULL, NULL, 200 },
  { "/nothing", NULL, NULL, 404 },
  { "/v1/completions", NULL, NULL, 405 },
  { "/v1/models", "{}", NULL, 405 },
  { "/v1/completions", "", NULL, 400 },
  { "/v1/completions", "{", NULL, 400 },
  { "/v1/completions", "[]", NULL, 400 },
  { "/v1/completions", "{\"model\":7,\"prompt\":\"\"}", NULL, 400 },
  { "/v1/completions", "{\"model\":\"m\"}", NULL, 400 },
  { "/v1/completions", "{\"model\":\"x\",\"prompt\":\"\"}", NULL, 404 },
  { "/v1/chat/completions", "{\"model\":\"m\",\"messages\":[]}", NULL, 400 },
  { "/v1/completions", BODY, "X-Priority: 10", 400 },
  { "/v1/completions", BODY, "X-Deadline-Ms: -5", 400 },
  { "/v1/completions", BODY, "X-Deadline-Ms: 0", 400 },
  { "/v1/completions", BODY, "Idempotency-Key: a b", 400 },
  { "/v1/services/", "{}", NULL, 400 },
  { "/v1/services/none/x", "{}", NULL, 404 },
  { "/admin/status", NULL, NULL, 401 },
  { "/admin/status", NULL, "Authorization: Bearer secre", 403 },
  { "/admin/status", NULL, "Authorization: Bearer secret0", 403 },
};

static void
test_inputs (void)
{
  struct fixture f;

  set_up (&f);
  publish (&f, ROUTE_READY, false);
  for (size_t i = 0; i < G_N_ELEMENTS (inputs); i++)
    {
      const char *headers[] = { inputs[i].header, NULL };

      g_test_message ("%s %s", inputs[i].path, inputs[i].body);
      call (&f, inputs[i].path, inputs[i].body, headers);
      g_assert_cmpint (f.status, ==, inputs[i].status);
    }
  g_assert_cmpint (f.at_engine, ==, 0);
  tear_down (&f);
}

static const struct verdict_case verdicts[] = {
  { MSG_VERDICT_RUN, 200, 1, "[DONE]" },
  { MSG_VERDICT_RECORDED, 0, 0, "" },
  { MSG_VERDICT_KEY_MISMATCH, 422, 0, "\"not_run\":true" },
  { MSG_VERDICT_OUTCOME_UNKNOWN, 409, 0, "\"not_run\":false" },
  { MSG_VERDICT_NOT_RUN, 503, 0, "\"not_run\":true" },
};

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/traffic/cold", test_cold);
  g_test_add_func ("/traffic/cut", test_cut);
  g_test_add_func ("/traffic/crossed", test_crossed);
  g_test_add_func ("/traffic/deadline", test_deadline);
  g_test_add_func ("/traffic/gone", test_gone);
  g_test_add_func ("/traffic/once", test_once);
  g_test_add_func ("/traffic/inputs", test_inputs);
  for (size_t i = 0; i < G_N_ELEMENTS (verdicts); i++)
    {
      char *name = g_strdup_printf ("/traffic/verdict/%zu", i);

      if (verdicts[i].verdict != MSG_VERDICT_RECORDED)
        g_test_add_data_func (name, &verdicts[i], test_verdict);
      g_free (name);
    }
  return g_test_run ();
}

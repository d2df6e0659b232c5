#include "traffic_fixture.h"

static void
on_engine (struct fixture *f, struct httpd_request *request, const char *body)
{
  const char *headers[] = { "X-Request-Id", "another", NULL };

  if (strstr (body, "hold") != NULL)
    f->held_request = request;
  else if (strstr (body, "wrong id") != NULL)
    httpd_respond (request, 200, "application/json", headers, "{}", 2);
  else
    answer_stream (f, request, strstr (body, "truncated") == NULL);
}

static void
on_engine_writable (struct fixture *f, struct httpd_request *request)
{
  (void)f;
  (void)request;
}

/* A request for a model that is not loaded waits until it is.  */
static void
test_not_loaded (void)
{
  struct fixture f;

  set_up (&f);
  publish (&f, ROUTE_COLD, false);
  start_request (&f, "/v1/completions", BODY, NULL);
  RUN_UNTIL (&f, f.messages_seen[MSG_WAITING_INCREASED] > 0);
  g_assert_cmpint (f.engine_requests, ==, 0);
  publish (&f, ROUTE_READY, false);
  RUN_UNTIL (&f, f.done > 0);
  g_assert_cmpint (f.status, ==, 200);
  g_assert_cmpstr (f.response_body->str, ==, STREAM);
  RUN_UNTIL (&f, f.messages_seen[MSG_WAITING_DECREASED] > 0
                     && f.messages_seen[MSG_ATTEMPT_SUCCEEDED] > 0);
  g_assert_cmpuint (f.messages_seen[MSG_REQUEST], ==, 1);
  tear_down (&f);
}

/* The caller sees an error for a truncated response, never a complete one.  */
static void
test_truncated (void)
{
  struct fixture f;

  set_up (&f);
  publish (&f, ROUTE_READY, false);
  request_and_wait (&f, "/v1/completions",
                    "{\"model\":\"m\",\"prompt\":\"truncated\"}", NULL);
  g_assert_cmpint (f.error, <, 0);
  g_assert_cmpstr (f.response_body->str, ==, EVENTS);
  tear_down (&f);
}

/* A response with the id of another attempt is never passed on.  */
static void
test_wrong_attempt_id (void)
{
  struct fixture f;

  set_up (&f);
  publish (&f, ROUTE_READY, false);
  request_and_wait (&f, "/v1/completions",
                    "{\"model\":\"m\",\"prompt\":\"wrong id\"}", NULL);
  g_assert_cmpint (f.status, ==, 503);
  g_assert_nonnull (strstr (f.response_body->str, "\"not_run\":false"));
  tear_down (&f);
}

/* At the deadline, a request that waits is reported as not run, and one that
   was sent as possibly run.  */
static void
test_deadline (void)
{
  static const char *const headers[] = { "X-Deadline-Ms: 50", NULL };
  struct fixture f;

  set_up (&f);
  publish (&f, ROUTE_COLD, false);
  request_and_wait (&f, "/v1/completions", BODY, headers);
  g_assert_cmpint (f.status, ==, 503);
  g_assert_nonnull (strstr (f.response_body->str, "\"not_run\":true"));
  g_assert_nonnull (strstr (f.response_body->str, "\"retry_after_s\""));
  publish (&f, ROUTE_READY, false);
  request_and_wait (&f, "/v1/completions",
                    "{\"model\":\"m\",\"prompt\":\"hold\"}", headers);
  g_assert_cmpint (f.status, ==, 504);
  g_assert_nonnull (strstr (f.response_body->str, "\"not_run\":false"));
  RUN_UNTIL (&f, f.held_request == NULL);
  tear_down (&f);
}

/* When the caller disconnects, its request is cancelled at the engine or
   removed from the queue.  */
static void
test_caller_disconnects (void)
{
  struct fixture f;
  struct httpc_call *c;

  set_up (&f);
  publish (&f, ROUTE_READY, false);
  c = start_request (&f, "/v1/completions",
                     "{\"model\":\"m\",\"prompt\":\"hold\"}", NULL);
  RUN_UNTIL (&f, f.held_request != NULL);
  httpc_cancel (c);
  RUN_UNTIL (&f, f.held_request == NULL);
  RUN_UNTIL (&f, traffic_open_requests (f.traffic) == 0);
  publish (&f, ROUTE_COLD, false);
  c = start_request (&f, "/v1/completions", BODY, NULL);
  RUN_UNTIL (&f, f.messages_seen[MSG_WAITING_INCREASED] > 0);
  httpc_cancel (c);
  RUN_UNTIL (&f, f.messages_seen[MSG_WAITING_DECREASED] > 0);
  tear_down (&f);
}

struct verdict_case
{
  enum msg_verdict verdict;
  long status;
  int engine_requests;
  const char *body_contains;
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
  request_and_wait (&f, "/v1/completions", BODY, headers);
  g_assert_cmpint (f.status, ==, c->status);
  g_assert_cmpint (f.engine_requests, ==, c->engine_requests);
  g_assert_nonnull (strstr (f.response_body->str, c->body_contains));
  if (c->verdict == MSG_VERDICT_RUN)
    RUN_UNTIL (&f, f.messages_seen[MSG_RECORD_END] > 0);
  tear_down (&f);
}

/* A non-idempotent request without a key is sent only once.  */
static void
test_non_idempotent (void)
{
  struct fixture f;

  set_up (&f);
  publish (&f, ROUTE_READY, true);
  request_and_wait (&f, "/v1/completions",
                    "{\"model\":\"m\",\"prompt\":\"wrong id\"}", NULL);
  g_assert_cmpint (f.status, ==, 502);
  g_assert_cmpint (f.engine_requests, ==, 1);
  g_assert_nonnull (strstr (f.response_body->str, "\"not_run\":false"));
  tear_down (&f);
}

struct input_case
{
  const char *path;
  const char *body;
  const char *header;
  long status;
};

static const struct input_case input_cases[] = {
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
  for (size_t i = 0; i < G_N_ELEMENTS (input_cases); i++)
    {
      const char *headers[] = { input_cases[i].header, NULL };

      g_test_message ("%s %s", input_cases[i].path, input_cases[i].body);
      request_and_wait (&f, input_cases[i].path, input_cases[i].body, headers);
      g_assert_cmpint (f.status, ==, input_cases[i].status);
    }
  g_assert_cmpint (f.engine_requests, ==, 0);
  tear_down (&f);
}

static const struct verdict_case verdict_cases[] = {
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
  g_test_add_func ("/traffic/cold", test_not_loaded);
  g_test_add_func ("/traffic/cut", test_truncated);
  g_test_add_func ("/traffic/crossed", test_wrong_attempt_id);
  g_test_add_func ("/traffic/deadline", test_deadline);
  g_test_add_func ("/traffic/gone", test_caller_disconnects);
  g_test_add_func ("/traffic/once", test_non_idempotent);
  g_test_add_func ("/traffic/inputs", test_inputs);
  for (size_t i = 0; i < G_N_ELEMENTS (verdict_cases); i++)
    {
      char *name = g_strdup_printf ("/traffic/verdict/%zu", i);

      if (verdict_cases[i].verdict != MSG_VERDICT_RECORDED)
        g_test_add_data_func (name, &verdict_cases[i], test_verdict);
      g_free (name);
    }
  return g_test_run ();
}

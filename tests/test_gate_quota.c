/* Tests gates that keep the quota of a customer together.

   The customer of a request is set here, whether or not the gate finds it by
   the key that the request has.  */

#include "callers.h"
#include "forward_state.h"

static const struct caller *customer_callers (void);

/* For the fixture.  */
#define callers customer_callers
#include "gate_fixture.h"
#include "gate_second.h"
#undef callers

#define WINDOW_MS 8000
#define SLACK 110000
/* Until a new home issues something: QUOTA_HOLD_MS after the nodes are known,
   which is noted half a second later.  */
#define HOLD_MS 4500
#define RUN_MS 6000
#define AMOUNT 1000

static char customer_name[] = "c1";
static struct site_customer customer
    = { .name = customer_name, .by_tokens = true, .plain_tokens = AMOUNT };
static bool has_customer;
static unsigned status_at_server;

static int
read_with_customer (const struct caller *caller,
                    const struct httpd_request *request,
                    struct caller_request *out, const char **why)
{
  struct forward *forward
      = (struct forward *)((char *)out - offsetof (struct forward, parsed));

  (void)caller;
  forward->customer = has_customer ? &customer : NULL;
  return callers ()->ops->read (callers (), request, out, why);
}

static const struct caller *
customer_callers (void)
{
  static struct caller_ops ops;
  static const struct caller caller = { &ops };

  ops = *callers ()->ops;
  ops.read = read_with_customer;
  return &caller;
}

static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  const char *not_run[] = { ID, httpd_header (request, ID),
                            "Parsleyrill-Not-Executed", "1", NULL };

  (void)f;
  if (status_at_server == 200)
    answer (request, 200, "hello");
  else
    httpd_respond (request, status_at_server, "text/plain", not_run, "", 0);
}

static int64_t
now_ms (const struct fixture *f)
{
  return ts_to_ms (loop_now (f->loop));
}

static void
run_for (struct fixture *f, int64_t ms)
{
  for (int64_t end = now_ms (f) + ms; now_ms (f) < end;)
    run_once (f);
}

static void
put_quota (struct fixture *f, int version, double per_s)
{
  char *text = g_strdup_printf (
      "{\"Version\":%d,\"Routes\":["
      "{\"Name\":\"safe\",\"Hostname\":\"h.example\",\"Prefix\":\"/safe/\","
      "\"Kind\":\"safe\",\"TimeoutMs\":20000,\"Service\":\"app\","
      "\"MaxAttempts\":1,\"Public\":false}],"
      "\"Services\":[{\"Name\":\"app\"}],"
      "\"Tenants\":[{\"Name\":\"c1\",\"ApiKeys\":[\"key-one\"],"
      "\"Unit\":\"tokens\",\"PlainTokens\":%d,\"RatePerS\":%.0f,"
      "\"Burst\":%.0f}]}",
      version, AMOUNT, per_s, per_s);

  put_row (f, "op/config", text);
  g_free (text);
}

static void
set_up_quota (struct fixture *f, double per_s)
{
  has_customer = false;
  status_at_server = 200;
  set_up (f);
  wait_until_serving (f);
  put_quota (f, 2, per_s);
  run_for (f, HOLD_MS);
  has_customer = true;
}

static const char *const with_key[]
    = { "Authorization: Bearer key-one", "Parsleyrill-Token-Usage: 900,100",
        NULL };

/* Sends requests to the gates in turn.  Returns the number served.  */
static guint
send_for (struct fixture *f, struct gate *const *gates, size_t gate_count,
          int64_t ms)
{
  struct gate *first = f->gate;
  int64_t end = now_ms (f) + ms;
  guint served = 0;
  char id[16];

  f->id = id;
  for (unsigned i = 0; now_ms (f) < end; i++)
    {
      g_snprintf (id, sizeof id, "q%u", i);
      f->gate = gates[i % gate_count];
      request_and_wait (f, "GET", "/safe/x", with_key);
      g_assert_true (f->status == 200 || f->status == 429);
      served += f->status == 200;
    }
  f->id = NULL;
  f->gate = first;
  return served;
}

static double
allowed (double per_s, int64_t ms)
{
  return 1.1 * (per_s * (double)ms / 1000 + per_s) + SLACK;
}

/* Two gates served a customer as if each were the only one, or less than its
   quota.  */
static void
test_shared (void)
{
  double per_s = 40000;
  struct fixture f;
  struct second second;
  struct gate *gates[2];
  char *store;
  guint served;

  set_up_quota (&f, per_s);
  store = g_strdup_printf ("127.0.0.1:%u", httpd_port (f.store));
  start_second_at (&f, &second, store, f.settings.peer_token);
  run_for (&f, 2 * HOLD_MS);
  gates[0] = f.gate;
  gates[1] = second.gate;
  served = send_for (&f, gates, 2, RUN_MS);
  g_assert_cmpfloat (served * AMOUNT, <=, allowed (per_s, RUN_MS));
  g_assert_cmpfloat (served * AMOUNT, >=, 0.8 * per_s * RUN_MS / 1000);
  stop_second (&second);
  tear_down (&f);
  g_free (store);
}

/* A request beyond the quota was served, or waited for its deadline.  */
static void
test_refused (void)
{
  struct fixture f;
  struct quota_status status;
  double retry_s;
  int64_t start;

  set_up_quota (&f, 1000);
  send_for (&f, &f.gate, 1, 1000);
  do
    {
      start = now_ms (&f);
      request_and_wait (&f, "GET", "/safe/x", with_key);
    }
  while (f.status == 200);
  g_assert_cmpint (f.status, ==, 429);
  g_assert_cmpint (now_ms (&f) - start, <, 500);
  g_assert_nonnull (f.retry_after);
  retry_s = g_ascii_strtod (f.retry_after, NULL);
  g_assert_cmpfloat (retry_s, >, 0);
  g_assert_cmpfloat (retry_s, <=, 11);
  g_assert_true (quotas_status (
      (struct quotas *)gate_service (f.gate, QUOTAS_NAME), "c1", &status));
  g_assert_cmpfloat (status.per_s, ==, 1000);
  g_assert_true (status.is_home);
  g_assert_cmpuint (status.waiting, ==, 0);
  has_customer = false;
  tear_down (&f);
}

/* A request that a server turned away was charged.  */
static void
test_returned (void)
{
  struct fixture f;

  set_up_quota (&f, 3000);
  status_at_server = 503;
  for (unsigned i = 0; i < 20; i++)
    {
      request_and_wait (&f, "GET", "/safe/x", with_key);
      if (f.status != 503)
        g_test_message ("request %u: Retry-After %s", i, f.retry_after);
      g_assert_cmpint (f.status, ==, 503);
    }
  status_at_server = 200;
  request_and_wait (&f, "GET", "/safe/x", with_key);
  g_assert_cmpint (f.status, ==, 200);
  tear_down (&f);
}

/* A quota that was lifted, or raised, still bound.  */
static void
test_lifted (void)
{
  struct fixture f;
  guint served;

  set_up_quota (&f, 1000);
  g_assert_cmpuint (send_for (&f, &f.gate, 1, 2000), <=, 8);
  put_quota (&f, 3, 0);
  run_for (&f, 500);
  for (unsigned i = 0; i < 50; i++)
    {
      request_and_wait (&f, "GET", "/safe/x", with_key);
      g_assert_cmpint (f.status, ==, 200);
    }
  put_quota (&f, 4, 20000);
  run_for (&f, 500);
  served = send_for (&f, &f.gate, 1, 3000);
  g_assert_cmpuint (served, >=, 40);
  g_assert_cmpuint (served, <=, 100);
  tear_down (&f);
}

/* A gate without a link to the other one used the whole quota.  */
static void
test_cut_off (void)
{
  double per_s = 40000;
  struct fixture f;
  struct second second;
  struct gate *gates[2];
  char *store;
  guint served;

  set_up_quota (&f, per_s);
  store = g_strdup_printf ("127.0.0.1:%u", httpd_port (f.store));
  start_second_at (&f, &second, store, "another-secret");
  run_for (&f, 2 * HOLD_MS);
  gates[0] = f.gate;
  gates[1] = second.gate;
  served = send_for (&f, gates, 2, RUN_MS);
  g_assert_cmpfloat (served * AMOUNT, <=, allowed (per_s, RUN_MS));
  stop_second (&second);
  tear_down (&f);
  g_free (store);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gate-quota/shared", test_shared);
  g_test_add_func ("/gate-quota/refused", test_refused);
  g_test_add_func ("/gate-quota/returned", test_returned);
  g_test_add_func ("/gate-quota/lifted", test_lifted);
  g_test_add_func ("/gate-quota/cut-off", test_cut_off);
  return g_test_run ();
}

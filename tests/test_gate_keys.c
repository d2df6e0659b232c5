/* Requests are served under the customer that their key belongs to, and no key
   leaves the node.  */

#include <stdio.h>
#include <unistd.h>
#include "keys_fixture.h"
#include "forward.h"
#include "gateway_state.h"
#include "log.h"
#include "planners_state.h"
#include "relay.h"
#include "usage.h"

#define CUSTOMER_LINE "Parsleyrill-Tenant: "

static int log_fd;

static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  (void)f;
  answer (request, 200, "hello");
}

static void
check_passed_on (struct fixture *f, const char *customer)
{
  char *line = g_strdup_printf (CUSTOMER_LINE "%s\n", customer);

  g_assert_nonnull (strstr (f->last_request->str, line));
  g_assert_null (
      strstr (strstr (f->last_request->str, line) + 1, CUSTOMER_LINE));
  g_assert_null (strcasestr (f->last_request->str, "Authorization"));
  g_free (line);
}

/* Guards against a key or a false name of a customer that reaches servers.  */
static void
test_passed_on (void)
{
  static const char *const forged[]
      = { "Authorization: Bearer " KEY_B, "Parsleyrill-Tenant: a",
          "parsleyrill-tenant: c", NULL };
  struct fixture f;

  set_up (&f);
  serve_keys (&f);
  g_assert_cmpint (status_with_key (&f, "/safe/x", KEY_A), ==, 200);
  check_passed_on (&f, "a");
  request_and_wait (&f, "GET", "/safe/x", forged);
  g_assert_cmpint (f.status, ==, 200);
  check_passed_on (&f, "b");
  tear_down (&f);
}

static void
check_headers (struct fixture *f, long status, const char *first,
               const char *second)
{
  const char *headers[] = { first, second, NULL };

  request_and_wait (f, "GET", "/safe/x", headers);
  g_assert_cmpint (f->error, ==, 0);
  g_assert_cmpint (f->status, ==, status);
}

/* Guards against requests that are served without a valid key.  */
static void
test_rejected (void)
{
  struct fixture f;

  set_up (&f);
  serve_keys (&f);
  check_headers (&f, 401, NULL, NULL);
  check_headers (&f, 401, "Authorization: Bearer unknown", NULL);
  check_headers (&f, 401, "Authorization: Bearer", NULL);
  check_headers (&f, 401, "Authorization;", NULL);
  check_headers (&f, 401, "Authorization: " KEY_A, NULL);
  check_headers (&f, 401, "Authorization: Basic " KEY_A, NULL);
  check_headers (&f, 401, "Authorization: Bearer " KEY_A " x", NULL);
  check_headers (&f, 401, "Authorization: Bearer " KEY_A "," KEY_A, NULL);
  check_headers (&f, 401, "Authorization: Bearer " KEY_A "x", NULL);
  check_headers (&f, 401, "Authorization: Bearer " KEY_A,
                 "Authorization: Bearer " KEY_A);
  check_headers (&f, 401, "Authorization: Bearer " KEY_A,
                 "authorization: Bearer other");
  g_assert_cmpuint (f.at_server, ==, 0);
  check_headers (&f, 200, "authorization: bearer  " KEY_A " ", NULL);
  tear_down (&f);
}

/* Guards against public routes that ask for keys, or lose the customer of a
   request that has one.  */
static void
test_public (void)
{
  struct fixture f;

  set_up (&f);
  serve_keys (&f);
  g_assert_cmpint (status_with_key (&f, "/open/x", NULL), ==, 200);
  g_assert_null (strstr (f.last_request->str, CUSTOMER_LINE));
  g_assert_cmpint (status_with_key (&f, "/open/x", "unknown"), ==, 200);
  g_assert_null (strstr (f.last_request->str, CUSTOMER_LINE));
  g_assert_null (strcasestr (f.last_request->str, "Authorization"));
  g_assert_cmpint (status_with_key (&f, "/open/x", KEY_B), ==, 200);
  check_passed_on (&f, "b");
  tear_down (&f);
}

/* Guards against a change for configurations without customers: their callers'
   Authorization belongs to the servers.  */
static void
test_not_required (void)
{
  static const char *const headers[]
      = { "Authorization: Basic eA==", "Authorization: other",
          "Parsleyrill-Tenant: a", NULL };
  struct fixture f;

  set_up (&f);
  wait_until_serving (&f);
  request_and_wait (&f, "GET", "/safe/x", headers);
  g_assert_cmpint (f.status, ==, 200);
  g_assert_nonnull (
      strstr (f.last_request->str, "Authorization: Basic eA==\n"));
  g_assert_nonnull (strstr (f.last_request->str, "Authorization: other\n"));
  g_assert_null (strstr (f.last_request->str, CUSTOMER_LINE));
  tear_down (&f);
}

/* Guards against a document whose list of customers is empty or of another
   type and that opens all routes.  */
static void
test_no_customers (void)
{
  static const char *const lists[] = { "[]", "null", "{}", "\"x\"" };
  struct fixture f;

  set_up (&f);
  serve_keys (&f);
  for (unsigned i = 0; i < G_N_ELEMENTS (lists); i++)
    {
      char *text = g_strdup_printf (
          "{\"Version\":%u,\"Routes\":[{\"Name\":\"safe\",\"Hostname\":"
          "\"h.example\",\"Prefix\":\"/safe/\",\"Kind\":\"safe\","
          "\"Service\":\"app\"}],\"Services\":[{\"Name\":\"app\"}],"
          "\"Tenants\":%s}",
          i + 2, lists[i]);

      put_row (&f, "op/config", text);
      g_free (text);
      RUN_UNTIL (&f, version_at (f.gate) == i + 2);
      g_assert_cmpint (status_with_key (&f, "/safe/x", KEY_A), ==, 401);
    }
  g_assert_cmpuint (f.at_server, ==, 0);
  tear_down (&f);
}

/* Guards against 401, which callers do not repeat, by a configuration that is
   not known to be the newest, and against a store that is needed for
   serving.  */
static void
test_store_away (void)
{
  struct fixture f;
  struct timespec end;

  set_up (&f);
  serve_keys (&f);
  g_assert_cmpint (status_with_key (&f, "/safe/x", "added"), ==, 401);
  httpd_free (f.store);
  f.store = NULL;
  end = ts_add_ms (clk_now (clk_monotonic ()), CONFIG_MS);
  RUN_UNTIL (&f, !ts_before (clk_now (clk_monotonic ()), end));
  g_assert_cmpint (status_with_key (&f, "/safe/x", "added"), ==, 503);
  g_assert_nonnull (f.retry_after);
  g_assert_cmpint (status_with_key (&f, "/safe/x", KEY_A), ==, 200);
  tear_down (&f);
}

/* Guards against a removed key that is served by a node that knows of a newer
   configuration, which may lack it, but cannot get that.  */
static void
test_newer_known (void)
{
  struct listing_peer_info info
      = { .age_ms = 1, .config_version = 2, .config_age_ms = 1 };
  struct listing *listing;
  struct fixture f;
  struct timespec end;

  set_up (&f);
  serve_keys (&f);
  listing = (struct listing *)gate_service (f.gate, LISTING_NAME);
  RUN_UNTIL (&f, planners_deciding (
                     (struct planners *)gate_service (f.gate, PLANNERS_NAME)));
  listing_peer_list_update (listing, &info);
  g_assert_cmpint (status_with_key (&f, "/safe/x", KEY_B), ==, 200);
  end = ts_add_ms (clk_now (clk_monotonic ()), CONFIG_MS / 2 + 50);
  RUN_UNTIL (&f, !ts_before (clk_now (clk_monotonic ()), end));
  g_assert_cmpint (status_with_key (&f, "/safe/x", KEY_B), ==, 503);
  g_assert_nonnull (f.retry_after);
  g_assert_cmpint (status_with_key (&f, "/open/x", NULL), ==, 200);
  put_keys (&f, 2, "\"new\"");
  RUN_UNTIL (&f, version_at (f.gate) == 2);
  g_assert_cmpint (status_with_key (&f, "/safe/x", KEY_B), ==, 401);
  g_assert_cmpint (status_with_key (&f, "/safe/x", KEY_A), ==, 200);
  tear_down (&f);
}

/* Guards against keys that stay valid, or do not become valid, on open
   connections: the caller keeps its own.  */
static void
test_changed (void)
{
  struct fixture f;

  set_up (&f);
  serve_keys (&f);
  g_assert_cmpint (status_with_key (&f, "/safe/x", KEY_B), ==, 200);
  put_keys (&f, 2, "\"new\"");
  RUN_UNTIL (&f, version_at (f.gate) == 2);
  g_assert_cmpint (status_with_key (&f, "/safe/x", KEY_B), ==, 401);
  g_assert_cmpint (status_with_key (&f, "/safe/x", "new"), ==, 200);
  check_passed_on (&f, "b");
  g_assert_cmpint (status_with_key (&f, "/safe/x", KEY_A), ==, 200);
  tear_down (&f);
}

/* Guards against a fault in one customer that takes others' keys with it, and
   against faults that nobody is told.  */
static void
test_fault (void)
{
  static const char faulty[]
      = "{\"Version\":2,\"Routes\":[{\"Name\":\"safe\",\"Hostname\":"
        "\"h.example\",\"Prefix\":\"/safe/\",\"Kind\":\"safe\","
        "\"Service\":\"app\"}],\"Services\":[{\"Name\":\"app\"}],"
        "\"Tenants\":[{\"Name\":\"a\",\"ApiKeys\":[\"" KEY_A "\"],"
        "\"Unit\":\"odd\"},{\"Name\":\"b\",\"ApiKeys\":[\"" KEY_B "\"]}]}";
  struct fixture f;

  set_up (&f);
  serve_keys (&f);
  put_row (&f, "op/config", faulty);
  RUN_UNTIL (&f, version_at (f.gate) == 2);
  g_assert_cmpint (status_with_key (&f, "/safe/x", KEY_A), ==, 401);
  g_assert_cmpint (status_with_key (&f, "/safe/x", KEY_B), ==, 200);
  tear_down (&f);
}

/* Guards against requests that are counted for another customer, or twice.  */
static void
test_usage (void)
{
  static const char *const tokens[]
      = { "Authorization: Bearer " KEY_A, "Parsleyrill-Token-Usage: 100,7",
          NULL };
  struct usage_counts *counts;
  struct fixture f;

  set_up (&f);
  serve_keys (&f);
  counts = usage_of (
      ((struct gateway *)gate_service (f.gate, "gateway"))->usage, "a");
  *counts = (struct usage_counts){ 0 };
  request_and_wait (&f, "GET", "/safe/x", tokens);
  g_assert_cmpint (f.status, ==, 200);
  g_assert_cmpint (status_with_key (&f, "/safe/x", KEY_B), ==, 200);
  g_assert_cmpint (status_with_key (&f, "/safe/x", "unknown"), ==, 401);
  g_assert_cmpuint (counts->requests, ==, 1);
  g_assert_cmpuint (counts->refused, ==, 0);
  g_assert_cmpuint (counts->tokens, ==, 107);
  tear_down (&f);
}

/* Answers 401 if the head alone shows that the gate would.  */
static void
judge_head (void *user, struct httpd_request *request)
{
  struct fixture *f = user;
  struct gateway *gateway
      = (struct gateway *)gate_service (f->gate, "gateway");

  httpd_respond (request, forward_key_fault (gateway, request) ? 401 : 200,
                 "text/plain", NULL, "", 0);
}

static void
ignore_end (void *user, struct httpd_request *request, bool complete)
{
  (void)user;
  (void)request;
  (void)complete;
}

static void
check_head (struct fixture *f, const struct httpd *judge, long status,
            const char *path, const char *header)
{
  const char *headers[] = { "Host: h.example", ID ": r1", header, NULL };
  char *url
      = g_strdup_printf ("http://127.0.0.1:%u%s", httpd_port (judge), path);
  struct httpc_request request = {
    .method = "GET", .url = url, .headers = headers, .done = on_done, .user = f
  };

  f->done = false;
  f->call = httpc_start (f->caller, &request);
  RUN_UNTIL (f, f->done);
  g_assert_cmpint (f->status, ==, status);
  g_free (url);
}

/* Guards against bodies that are read of requests without a valid key, and
   against others, also of another node, that are refused before they are.  */
static void
test_head (void)
{
  struct relay_note note
      = { .node = (char *)"n2", .config = 1, .customer = (char *)"a" };
  struct fixture f;
  struct httpd *judge;
  char *text;
  char *line;

  set_up (&f);
  serve_keys (&f);
  judge = start_server (&f, judge_head, ignore_end);
  check_head (&f, judge, 401, "/safe/x", NULL);
  check_head (&f, judge, 401, "/safe/x", "Authorization: Bearer unknown");
  check_head (&f, judge, 200, "/safe/x", "Authorization: Bearer " KEY_A);
  check_head (&f, judge, 200, "/open/x", NULL);
  check_head (&f, judge, 200, "/none/x", NULL);
  check_head (&f, judge, 401, "/safe/x",
              CALLER_RELAY_HEADER ": node=n2;config=1;customer=a;code=00");
  note.code = relay_code (&note, "r1", f.settings.peer_token);
  text = relay_format (&note);
  line = g_strdup_printf (CALLER_RELAY_HEADER ": %s", text);
  check_head (&f, judge, 200, "/safe/x", line);
  g_free (line);
  g_free (text);
  g_free (note.code);
  httpd_free (judge);
  tear_down (&f);
}

/* Guards against keys in the log.  Runs last: its log has all lines of the
   tests before.  */
static void
test_log (void)
{
  off_t length = lseek (log_fd, 0, SEEK_END);
  char *text = g_malloc0 ((gsize)length + 1);

  g_assert_cmpint (pread (log_fd, text, (size_t)length, 0), ==, length);
  g_assert_nonnull (strstr (text, "KEY_REJECTED"));
  g_assert_nonnull (strstr (text, "customer=a"));
  g_assert_nonnull (strstr (text, "CONFIG_FAULT"));
  g_assert_nonnull (strstr (text, "/Tenants/0/Unit"));
  g_assert_null (strstr (text, KEY_A));
  g_assert_null (strstr (text, KEY_B));
  g_assert_null (strstr (text, "Bearer"));
  g_free (text);
}

int
main (int argc, char **argv)
{
  FILE *file = tmpfile ();
  struct log_options log = { .level = LOG_LEVEL_DEBUG,
                             .format = LOG_FORMAT_LOGFMT,
                             .clk = clk_monotonic () };
  int failed;

  g_assert_nonnull (file);
  log_fd = fileno (file);
  log.fd = log_fd;
  log_init (&log);
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gate-keys/passed-on", test_passed_on);
  g_test_add_func ("/gate-keys/rejected", test_rejected);
  g_test_add_func ("/gate-keys/public", test_public);
  g_test_add_func ("/gate-keys/not-required", test_not_required);
  g_test_add_func ("/gate-keys/no-customers", test_no_customers);
  g_test_add_func ("/gate-keys/store-away", test_store_away);
  g_test_add_func ("/gate-keys/newer-known", test_newer_known);
  g_test_add_func ("/gate-keys/changed", test_changed);
  g_test_add_func ("/gate-keys/fault", test_fault);
  g_test_add_func ("/gate-keys/usage", test_usage);
  g_test_add_func ("/gate-keys/head", test_head);
  g_test_add_func ("/gate-keys/log", test_log);
  failed = g_test_run ();
  fclose (file);
  return failed;
}

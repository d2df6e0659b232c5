/* A request that one node passes on to another is served there under the same
   customer, without its key, and no caller can claim to be a customer that
   way.  */

#include "gate_second.h"
#include "gateway_state.h"
#include "keys_fixture.h"
#include "relay.h"

#define CUSTOMER_LINE "Parsleyrill-Tenant: "
#define LINK_MS 10000 /* for the nodes to find each other */

static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  (void)f;
  answer (request, 200, "hello");
}

/* The first node reaches no server of the service, as far as it knows.  */
static void
cut_off (struct gate *gate)
{
  struct gateway *gateway = (struct gateway *)gate_service (gate, "gateway");
  struct cutoff *cutoff = gateway_cutoff (gateway, "app");
  struct timespec now = clk_now (clk_monotonic ());

  cutoff_failed (
      cutoff, "i-1",
      ts_add_ms (now, -CUTOFF_TOLD_DELAY_MS - CUTOFF_TOLD_AGAIN_MS - 50));
  cutoff_told (cutoff, "i-1", ts_add_ms (now, -CUTOFF_TOLD_AGAIN_MS));
  cutoff_told (cutoff, "i-1", now);
  g_assert_true (cutoff_all (cutoff, now));
}

static bool
is_linked (struct fixture *f, const struct second *second)
{
  struct gateway *gateway
      = (struct gateway *)gate_service (f->gate, "gateway");

  return links_protocol (gateway->links, "n2") >= RELAY_CUSTOMER_PROTOCOL
         && version_at (second->gate) == version_at (f->gate);
}

static void
set_up_two (struct fixture *f, struct second *second)
{
  struct timespec end;
  char *address;

  set_up (f);
  serve_keys (f);
  address = g_strdup_printf ("127.0.0.1:%u", httpd_port (f->store));
  start_second_at (f, second, address, f->settings.peer_token);
  g_free (address);
  end = ts_add_ms (clk_now (clk_monotonic ()), LINK_MS);
  RUN_UNTIL (f, is_linked (f, second)
                    || !ts_before (clk_now (clk_monotonic ()), end));
  g_assert_true (is_linked (f, second));
  /* The second node has its list of servers.  */
  end = ts_add_ms (clk_now (clk_monotonic ()), 2000);
  RUN_UNTIL (f, !ts_before (clk_now (clk_monotonic ()), end));
  f->at_server = 0;
}

static void
tear_down_two (struct fixture *f, struct second *second)
{
  stop_second (second);
  tear_down (f);
}

/* Guards against a request that loses its customer on the way, and against a
   key that leaves the first node.  */
static void
test_passed_on (void)
{
  struct fixture f;
  struct second second;

  set_up_two (&f, &second);
  cut_off (f.gate);
  g_assert_cmpint (status_with_key (&f, "/safe/x", KEY_B), ==, 200);
  g_assert_cmpuint (f.at_server, ==, 1);
  g_assert_nonnull (strstr (f.last_request->str, CUSTOMER_LINE "b\n"));
  g_assert_null (strstr (f.last_request->str, KEY_B));
  g_assert_null (strstr (f.last_request->str, CALLER_RELAY_HEADER));
  tear_down_two (&f, &second);
}

/* Guards against a public route that cannot be passed on without a customer.
 */
static void
test_public (void)
{
  struct fixture f;
  struct second second;

  set_up_two (&f, &second);
  cut_off (f.gate);
  g_assert_cmpint (status_with_key (&f, "/open/x", NULL), ==, 200);
  g_assert_cmpuint (f.at_server, ==, 1);
  g_assert_null (strstr (f.last_request->str, CUSTOMER_LINE));
  tear_down_two (&f, &second);
}

/* The status of a request r1 with NOTE, and the code of a request ID.  */
static long
status_with_note (struct fixture *f, struct relay_note note, const char *id,
                  const char *token)
{
  char *text;
  char *line;
  const char *headers[2] = { NULL };

  note.code = relay_code (&note, id, token);
  text = relay_format (&note);
  line = g_strdup_printf (CALLER_RELAY_HEADER ": %s", text);
  headers[0] = line;
  request_and_wait (f, "GET", "/safe/x", headers);
  g_free (line);
  g_free (text);
  g_free (note.code);
  return f->status;
}

/* Guards against a caller that names a customer in the header of the nodes. */
static void
test_forged (void)
{
  static const char *const plain[]
      = { CALLER_RELAY_HEADER ": node=n2;config=1;customer=a", NULL };
  static const char *const with_key[]
      = { CALLER_RELAY_HEADER ": node=n2;config=1;customer=a;code=00",
          "Authorization: Bearer " KEY_B, NULL };
  struct relay_note note
      = { .node = (char *)"n2", .config = 1, .customer = (char *)"a" };
  struct fixture f;

  set_up (&f);
  serve_keys (&f);
  request_and_wait (&f, "GET", "/safe/x", plain);
  g_assert_cmpint (f.status, ==, 401);
  g_assert_cmpint (status_with_note (&f, note, "r1", "guessed"), ==, 401);
  g_assert_cmpint (status_with_note (&f, note, "r2", f.settings.peer_token),
                   ==, 401);
  note.customer = (char *)"nobody";
  g_assert_cmpint (status_with_note (&f, note, "r1", f.settings.peer_token),
                   ==, 401);
  g_assert_cmpuint (f.at_server, ==, 0);
  note.customer = (char *)"a";
  note.config = 2;
  g_assert_cmpint (status_with_note (&f, note, "r1", f.settings.peer_token),
                   ==, 503);
  note.config = 1;
  g_assert_cmpint (status_with_note (&f, note, "r1", f.settings.peer_token),
                   ==, 200);
  g_assert_nonnull (strstr (f.last_request->str, CUSTOMER_LINE "a\n"));
  request_and_wait (&f, "GET", "/safe/x", with_key);
  g_assert_cmpint (f.status, ==, 200);
  g_assert_nonnull (strstr (f.last_request->str, CUSTOMER_LINE "b\n"));
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gate-keys-relay/passed-on", test_passed_on);
  g_test_add_func ("/gate-keys-relay/public", test_public);
  g_test_add_func ("/gate-keys-relay/forged", test_forged);
  return g_test_run ();
}

/* Tests what a gate does after the store was restored from a copy that is some
   seconds old.  */

#include "gate_fixture.h"
#include "listing.h"

#define WAIT_MS 8000   /* for something that must happen */
#define ABSENT_MS 2000 /* until the servers have registered again */

static const char *const short_deadline[]
    = { "Parsleyrill-Deadline-Ms: 300", NULL };

static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  (void)f;
  answer (request, 200, "hello");
}

static int64_t
now_ms (void)
{
  return ts_to_ms (clk_now (clk_monotonic ()));
}

static void
run_ms (struct fixture *f, int64_t ms)
{
  int64_t end_ms = now_ms () + ms;

  while (now_ms () < end_ms)
    run_once (f);
}

static void
put_server (struct fixture *f, const char *state, unsigned sequence)
{
  char *text = g_strdup_printf (
      "{\"Service\":\"app\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"z\","
      "\"Slots\":8,\"State\":\"%s\",\"Sequence\":%u,\"born\":1000}",
      httpd_port (f->server), state, sequence);

  put_row (f, "servers/i-1", text);
  g_free (text);
}

/* The store has not been restored yet.  */
static void
set_up_store (struct fixture *f)
{
  set_up (f);
  f->era = 1;
  put_config (f, 1);
}

static void
wait_for_status (struct fixture *f, const char *path, long status)
{
  int64_t end_ms = now_ms () + WAIT_MS;

  do
    {
      request_and_wait (f, "GET", path, short_deadline);
      g_assert_cmpint (now_ms (), <, end_ms);
    }
  while (f->status != status);
}

static const char other_config[]
    = "{\"Version\":2,\"Routes\":[{\"Name\":\"x\",\"Hostname\":"
      "\"h.example\",\"Prefix\":\"/other/\",\"Kind\":\"safe\","
      "\"TimeoutMs\":1000,\"Service\":\"app\",\"MaxAttempts\":1}],"
      "\"Services\":[{\"Name\":\"app\"}]}";

/* Guards against a configuration that is missed because its row has a version
   that was given out before.  */
static void
test_config (void)
{
  struct fixture f;
  GHashTable *copy;
  uint64_t version;

  set_up_store (&f);
  put_server (&f, "ready", 1);
  wait_for_status (&f, "/safe/x", 200);
  copy = copy_rows (&f);
  version = f.version;
  for (unsigned i = 2; i < 8; i++)
    {
      put_server (&f, "ready", i);
      run_ms (&f, 300);
    }
  put_config (&f, 1); /* the watch goes on behind it */
  run_ms (&f, 500);
  restore_rows (&f, copy, version);
  put_row (&f, "op/config", other_config);
  for (int i = 0; i < 20; i++)
    put_row (&f, "more/x", "{}");
  wait_for_status (&f, "/other/x", 200);
  tear_down (&f);
}

/* Guards against a configuration that goes back to the one in the copy.  */
static void
test_no_older_config (void)
{
  struct fixture f;
  GHashTable *copy;
  uint64_t version;

  set_up_store (&f);
  put_server (&f, "ready", 1);
  wait_for_status (&f, "/safe/x", 200);
  copy = copy_rows (&f);
  version = f.version;
  put_row (&f, "op/config", other_config);
  wait_for_status (&f, "/other/x", 200);
  restore_rows (&f, copy, version);
  for (int64_t end_ms = now_ms () + 3000; now_ms () < end_ms;)
    {
      request_and_wait (&f, "GET", "/other/x", short_deadline);
      g_assert_cmpint (f.status, ==, 200);
      run_ms (&f, 50);
    }
  tear_down (&f);
}

/* Guards against a node that no other node finds, because its row was written
   after the copy was made.  */
static void
test_node_row (void)
{
  struct fixture f;
  GHashTable *copy;
  uint64_t version;
  int64_t end_ms;

  set_up_store (&f);
  copy = copy_rows (&f);
  version = f.version;
  RUN_UNTIL (&f, g_hash_table_contains (f.rows, "nodes/n1"));
  run_ms (&f, 500);
  restore_rows (&f, copy, version);
  end_ms = now_ms () + WAIT_MS;
  RUN_UNTIL (&f,
             g_hash_table_contains (f.rows, "nodes/n1") || now_ms () > end_ms);
  g_assert_true (g_hash_table_contains (f.rows, "nodes/n1"));
  tear_down (&f);
}

/* Guards against servers that are held to be gone before they had time to
   register again.  */
static void
test_servers_return (void)
{
  struct fixture f;
  GHashTable *copy;
  uint64_t version;

  set_up_store (&f);
  copy = copy_rows (&f);
  version = f.version;
  put_server (&f, "ready", 1);
  wait_for_status (&f, "/safe/x", 200);
  put_server (&f, "ready", 2);
  run_ms (&f, 100); /* no watch is open, so that none fails */
  restore_rows (&f, copy, version);
  for (int64_t end_ms = now_ms () + ABSENT_MS; now_ms () < end_ms;)
    {
      request_and_wait (&f, "GET", "/safe/x", short_deadline);
      g_assert_cmpint (f.status, ==, 200);
      run_ms (&f, 50);
    }
  put_server (&f, "ready", 3);
  for (int64_t end_ms = now_ms () + ABSENT_MS; now_ms () < end_ms;)
    {
      request_and_wait (&f, "GET", "/safe/x", short_deadline);
      g_assert_cmpint (f.status, ==, 200);
      run_ms (&f, 50);
    }
  tear_down (&f);
}

/* Guards against requests to a server that leaves, after its entry in the copy
   says that it is ready.  */
static void
test_leaving (void)
{
  struct fixture f;
  GHashTable *copy;
  uint64_t version;
  unsigned before;

  set_up_store (&f);
  put_server (&f, "ready", 1);
  wait_for_status (&f, "/safe/x", 200);
  copy = copy_rows (&f);
  version = f.version;
  put_server (&f, "draining", 2);
  wait_for_status (&f, "/safe/x", 503);
  before = f.at_server;
  restore_rows (&f, copy, version);
  for (int64_t end_ms = now_ms () + 3000; now_ms () < end_ms;)
    request_and_wait (&f, "GET", "/safe/x", short_deadline);
  g_assert_cmpuint (f.at_server, ==, before);
  tear_down (&f);
}

/* Guards against requests to a server that is gone, after the copy still lists
   it.  */
static void
test_removed (void)
{
  struct fixture f;
  GHashTable *copy;
  uint64_t version;
  unsigned before;

  set_up_store (&f);
  put_server (&f, "ready", 1);
  wait_for_status (&f, "/safe/x", 200);
  copy = copy_rows (&f);
  version = f.version;
  put_row (&f, "servers/i-1", NULL);
  wait_for_status (&f, "/safe/x", 503);
  before = f.at_server;
  restore_rows (&f, copy, version);
  for (int64_t end_ms = now_ms () + 3000; now_ms () < end_ms;)
    request_and_wait (&f, "GET", "/safe/x", short_deadline);
  g_assert_cmpuint (f.at_server, ==, before);
  put_server (&f, "ready", 2);
  wait_for_status (&f, "/safe/x", 200);
  tear_down (&f);
}

/* Fencing token in the row of the lease; 0: there is no row.  */
static json_int_t
lease_token (struct fixture *f)
{
  const struct row *row = g_hash_table_lookup (f->rows, "cell/engines");
  json_int_t token;
  guchar *bytes;
  json_t *json;
  gsize n;

  if (row == NULL)
    return 0;
  bytes = g_base64_decode (row->value, &n);
  json = json_loadb ((const char *)bytes, n, 0, NULL);
  token = json_integer_value (
      json_object_get (json_object_get (json, "value"), "fence"));
  json_decref (json);
  g_free (bytes);
  return token;
}

/* Guards against a decider that goes on under a lease that the copy does not
   have, or takes it again under a token that was used before.  */
static void
test_lease (void)
{
  struct fixture f;
  GHashTable *copy;
  json_int_t before;
  uint64_t version;
  int64_t end_ms;

  set_up_store (&f);
  copy = copy_rows (&f);
  version = f.version;
  end_ms = now_ms () + WAIT_MS;
  RUN_UNTIL (&f, lease_token (&f) != 0 || now_ms () > end_ms);
  before = lease_token (&f);
  g_assert_cmpint (before, >, 0);
  run_ms (&f, 500);
  restore_rows (&f, copy, version);
  end_ms = now_ms () + 2000; /* the holder need not wait for its own lease */
  RUN_UNTIL (&f, lease_token (&f) > before || now_ms () > end_ms);
  g_assert_cmpint (lease_token (&f), >, before);
  tear_down (&f);
}

/* Guards against responses from before the store was restored, which arrive
   after it.  */
static void
test_late_response (void)
{
  struct fixture f;
  const struct listing *listing;
  uint64_t version;

  set_up_store (&f);
  put_server (&f, "ready", 1);
  wait_for_status (&f, "/safe/x", 200);
  listing = (struct listing *)gate_service (f.gate, LISTING_NAME);
  version = listing_site (listing)->version;
  f.era++;
  put_server (&f, "ready", 2);
  run_ms (&f, 1500); /* the gate has seen the new era */
  f.era--;
  put_row (&f, "op/config", other_config);
  for (int64_t end_ms = now_ms () + 2000; now_ms () < end_ms;)
    {
      request_and_wait (&f, "GET", "/other/x", short_deadline);
      /* 503 once the store's last valid response is too old for a 404.  */
      g_assert_true (f.status == 404 || f.status == 503);
      g_assert_cmpuint (listing_site (listing)->version, ==, version);
    }
  f.era++;
  wait_for_status (&f, "/other/x", 200);
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/restore/config", test_config);
  g_test_add_func ("/restore/no-older-config", test_no_older_config);
  g_test_add_func ("/restore/node-row", test_node_row);
  g_test_add_func ("/restore/servers-return", test_servers_return);
  g_test_add_func ("/restore/leaving", test_leaving);
  g_test_add_func ("/restore/removed", test_removed);
  g_test_add_func ("/restore/lease", test_lease);
  g_test_add_func ("/restore/late-response", test_late_response);
  return g_test_run ();
}

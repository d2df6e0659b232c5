/* When a server is full, the requests of a customer that has sent much wait
   behind those of others.  */

#include "forward_state.h"
#include "keys_fixture.h"
#include "fairshare.h"
#include "planners_state.h"

#define CALLS 6

struct caller_call
{
  struct httpc_call *call;
  bool done;
  long status;
};

static GPtrArray *held; /* struct httpd_request: at the server */
static GString *order;  /* customers whose requests reached the server */

static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  (void)f;
  if (held == NULL)
    {
      answer (request, 200, "hello");
      return;
    }
  g_string_append (order, httpd_header (request, "Parsleyrill-Tenant"));
  g_ptr_array_add (held, request);
}

static void
on_call_done (void *user, const struct httpc_result *result)
{
  struct caller_call *call = user;

  call->done = true;
  call->status = result->status;
}

static void
start_call (struct fixture *f, struct caller_call *call, const char *key,
            unsigned id)
{
  char *url
      = g_strdup_printf ("http://127.0.0.1:%u/safe/x", gate_port (f->gate));
  char *auth = g_strdup_printf ("Authorization: Bearer %s", key);
  char *name = g_strdup_printf (ID ": call-%u", id);
  const char *headers[]
      = { "Host: h.example", "Parsleyrill-Model: m", auth, name, NULL };
  struct httpc_request request = { .method = "GET",
                                   .url = url,
                                   .headers = headers,
                                   .done = on_call_done,
                                   .user = call };

  call->call = httpc_start (f->caller, &request);
  g_free (name);
  g_free (auth);
  g_free (url);
}

static void
list_small_server (struct fixture *f)
{
  char *text = g_strdup_printf (
      "{\"Service\":\"app\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"z\","
      "\"Slots\":1,\"State\":\"ready\",\"Sequence\":2}",
      httpd_port (f->server));

  put_row (f, "servers/i-1", text);
  g_free (text);
}

static unsigned
open_at (const struct fixture *f)
{
  struct gateway *gateway
      = (struct gateway *)gate_service (f->gate, "gateway");

  return gateway->open;
}

static unsigned
waiting_at (const struct fixture *f)
{
  struct gateway *gateway
      = (struct gateway *)gate_service (f->gate, "gateway");
  struct forward *forward;
  unsigned count = 0;

  TAILQ_FOREACH (forward, &gateway->waiting, link)
    {
      count++;
    }
  return count;
}

static void
run_until_open (struct fixture *f, unsigned open)
{
  RUN_UNTIL (f, open_at (f) == open);
}

/* Guards against a burst of one customer that is served as a whole before the
   others, whose requests came later.  */
static void
test_order (void)
{
  struct caller_call calls[CALLS] = { 0 };
  struct fixture f;
  unsigned done = 0;
  gsize sent;

  set_up (&f);
  put_keys (&f, 1, "\"" KEY_B "\"");
  list_small_server (&f);
  while (status_with_key (&f, "/safe/x", KEY_A) != 200)
    ;
  for (int i = 0; i < 20; i++)
    status_with_key (&f, "/safe/x", KEY_B);
  held = g_ptr_array_new ();
  order = g_string_new (NULL);
  for (unsigned i = 0; i < CALLS; i++)
    {
      start_call (&f, &calls[i], i < CALLS - 1 ? KEY_B : KEY_A, i);
      run_until_open (&f, i + 1);
    }
  RUN_UNTIL (&f, held->len + waiting_at (&f) == CALLS);
  sent = order->len;
  g_assert_cmpuint (sent, <, CALLS - 1);
  while (done < CALLS)
    {
      RUN_UNTIL (&f, held->len > 0);
      answer (g_ptr_array_steal_index (held, 0), 200, "hello");
      done++;
      RUN_UNTIL (&f, open_at (&f) == CALLS - done);
    }
  for (unsigned i = 0; i < CALLS; i++)
    {
      RUN_UNTIL (&f, calls[i].done);
      g_assert_cmpint (calls[i].status, ==, 200);
    }
  /* The first to go of those that waited.  */
  g_assert_cmpint (order->str[sent], ==, 'a');
  g_ptr_array_unref (held);
  held = NULL;
  g_string_free (order, TRUE);
  tear_down (&f);
}

static unsigned
urgency_at_server (struct fixture *f)
{
  static const char *const headers[]
      = { "Authorization: Bearer " KEY_B, "Parsleyrill-Model: m", NULL };
  const char *line;

  request_and_wait (f, "GET", "/safe/x", headers);
  g_assert_cmpint (f->status, ==, 200);
  line = strstr (f->last_request->str, "Parsleyrill-Request-Urgency: ");
  g_assert_nonnull (line);
  return (unsigned)atoi (strchr (line, ' '));
}

/* Guards against engines that are told the same urgency of a customer that has
   sent far more than its share while another one lacks capacity.  */
static void
test_urgency (void)
{
  struct fairshare_request other = { .customer = "a" };
  struct fixture f;
  struct gateway *gateway;
  unsigned before;

  set_up (&f);
  serve_keys (&f);
  gateway = (struct gateway *)gate_service (f.gate, "gateway");
  for (int i = 0; i < 40; i++)
    status_with_key (&f, "/safe/x", KEY_B);
  before = urgency_at_server (&f);
  fairshare_refused (gateway->fairshare, &other, clk_now (clk_monotonic ()));
  run_once (&f);
  RUN_UNTIL (&f, fairshare_is_over (gateway->fairshare, "b",
                                    clk_now (clk_monotonic ())));
  g_assert_cmpuint (urgency_at_server (&f), ==, before + 1);
  tear_down (&f);
}

static void
note_priority (void *user, struct demand *demand)
{
  if (demand->waiting > 0)
    *(unsigned *)user = demand->priority;
}

/* The priority with which the decider is told of requests that wait.  */
static unsigned
told_priority (const struct fixture *f)
{
  struct planners *planners
      = (struct planners *)gate_service (f->gate, PLANNERS_NAME);
  unsigned priority = G_MAXUINT;

  demand_each (planners->demand, note_priority, &priority);
  return priority;
}

/* Guards against a decider that is told the priority of the request that came
   last, instead of the highest of those that wait for the same model, and
   against one that is told the priority of the route.  */
static void
test_priority (void)
{
  static const char models[]
      = "{\"Version\":2,\"Routes\":[{\"Name\":\"safe\",\"Hostname\":"
        "\"h.example\",\"Prefix\":\"/safe/\",\"Kind\":\"safe\",\"Priority\":2,"
        "\"TimeoutMs\":20000,\"Service\":\"app\"}],\"Services\":[{\"Name\":"
        "\"app\",\"Engine\":{\"Slots\":8,\"WeightsMb\":100,\"LoadsPerS\":1,"
        "\"Models\":[{\"Name\":\"m\",\"WeightsMb\":10,\"LoadS\":1}]}}],"
        "\"Tenants\":[{\"Name\":\"a\",\"ApiKeys\":[\"" KEY_A "\"],"
        "\"Priority\":0},{\"Name\":\"b\",\"ApiKeys\":[\"" KEY_B "\"],"
        "\"Priority\":4}]}";
  static const char *const keys[] = { KEY_B, KEY_A, KEY_B };
  struct caller_call calls[3] = { 0 };
  struct fixture f;

  set_up (&f);
  put_row (&f, "op/config", models);
  RUN_UNTIL (&f, version_at (f.gate) == 2);
  for (unsigned i = 0; i < 3; i++)
    {
      start_call (&f, &calls[i], keys[i], i);
      RUN_UNTIL (&f, waiting_at (&f) == i + 1);
      g_assert_cmpuint (told_priority (&f), ==, i == 0 ? 4 : 0);
    }
  httpc_cancel (calls[1].call);
  RUN_UNTIL (&f, waiting_at (&f) == 2);
  g_assert_cmpuint (told_priority (&f), ==, 4);
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gate-fair/order", test_order);
  g_test_add_func ("/gate-fair/urgency", test_urgency);
  g_test_add_func ("/gate-fair/priority", test_priority);
  return g_test_run ();
}

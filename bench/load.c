#include "load.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "clk.h"
#include "httpc.h"
#include "loop.h"
#include "ts.h"

#define PROMPT_COUNT 64 /* varied, so that no replica is preferred */

struct client
{
  const struct load_options *options;
  struct loop *loop;
  struct httpc *httpc;
  struct load_result result;
  unsigned remaining; /* requests not yet started */
  unsigned in_flight;
  unsigned started_count;
};

struct slot
{
  struct loop_timer start_timer; /* first member, see on_start_timer */
  struct client *client;
  struct timespec started;
  bool got_first_byte;
};

static void start_request (struct slot *slot);

static int
on_body (void *user, const char *bytes, size_t n)
{
  struct slot *slot = user;
  struct client *client = slot->client;
  const char *end = bytes + n;
  double ms;

  if (!slot->got_first_byte)
    {
      slot->got_first_byte = true;
      ms = ts_to_s (ts_sub (clk_now (clk_monotonic ()), slot->started)) * 1000;
      g_array_append_val (client->result.ttfb_ms, ms);
    }
  client->result.bytes += n;
  while ((bytes = memmem (bytes, (size_t)(end - bytes), "\n\n", 2)) != NULL)
    {
      client->result.events++;
      bytes += 2;
    }
  return 0;
}

static void
on_done (void *user, const struct httpc_result *http)
{
  struct slot *slot = user;
  struct client *client = slot->client;

  if (http->error == 0 && http->status == 200)
    client->result.succeeded++;
  else
    client->result.failed++;
  client->in_flight--;
  start_request (slot);
  if (client->in_flight == 0)
    loop_stop (client->loop);
}

static char *
make_body (const struct load_options *options, unsigned n)
{
  return g_strdup_printf ("{\"model\":\"%s\",\"prompt\":\"prompt %u\","
                          "\"max_tokens\":%u,\"stream\":%s}",
                          options->model, n % PROMPT_COUNT, options->tokens,
                          options->stream ? "true" : "false");
}

static bool
is_finished (const struct client *client)
{
  const unsigned *stop = client->options->stop;

  if (stop != NULL)
    return __atomic_load_n (stop, __ATOMIC_RELAXED) != 0;
  return client->remaining == 0;
}

static void
start_request (struct slot *slot)
{
  struct client *client = slot->client;
  static const char *const headers[]
      = { "Content-Type: application/json", "X-Request-Id: bench", NULL };
  struct httpc_request request = {
    .headers = headers, .body_cb = on_body, .done = on_done, .user = slot
  };
  char *body;
  char *url;

  if (is_finished (client))
    return;
  client->remaining--;
  client->in_flight++;
  body = make_body (client->options, client->started_count++);
  url = g_strdup_printf ("http://%s/v1/completions", client->options->address);
  request.url = url;
  request.body = body;
  request.length = strlen (body);
  slot->got_first_byte = false;
  slot->started = clk_now (clk_monotonic ());
  httpc_start (client->httpc, &request);
  g_free (body);
  g_free (url);
}

static void
on_start_timer (struct loop_timer *timer)
{
  start_request ((struct slot *)timer);
}

static gpointer
run_client (gpointer data)
{
  struct client *client = data;
  unsigned n = client->options->streams / client->options->threads;
  struct slot *slots = g_new0 (struct slot, n);

  for (unsigned i = 0; i < n; i++)
    {
      slots[i].client = client;
      slots[i].start_timer.fire = on_start_timer;
      loop_timer_set (
          client->loop, &slots[i].start_timer,
          ts_add_ms (clk_now (clk_monotonic ()),
                     (int64_t)client->options->ramp_up_ms * i / n));
    }
  loop_run (client->loop);
  g_free (slots);
  return NULL;
}

static void
client_init (struct client *client, const struct load_options *options)
{
  struct httpc_options http = { .max_connections = 4096 };

  client->options = options;
  client->remaining = options->requests / options->threads;
  client->loop = loop_new (clk_monotonic ());
  http.loop = client->loop;
  client->httpc = httpc_new (&http);
  client->result.ttfb_ms = g_array_new (FALSE, FALSE, sizeof (double));
}

static void
client_finish (struct client *client, struct load_result *result)
{
  result->succeeded += client->result.succeeded;
  result->failed += client->result.failed;
  result->events += client->result.events;
  result->bytes += client->result.bytes;
  g_array_append_vals (result->ttfb_ms, client->result.ttfb_ms->data,
                       client->result.ttfb_ms->len);
  g_array_unref (client->result.ttfb_ms);
  httpc_free (client->httpc);
  loop_free (client->loop);
}

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

void
load_run (const struct load_options *options, struct load_result *result)
{
  struct client *clients = g_new0 (struct client, options->threads);
  GThread **threads = g_new0 (GThread *, options->threads);
  struct timespec started;

  memset (result, 0, sizeof *result);
  result->ttfb_ms = g_array_new (FALSE, FALSE, sizeof (double));
  for (unsigned i = 0; i < options->threads; i++)
    client_init (&clients[i], options);
  started = clk_now (clk_monotonic ());
  for (unsigned i = 0; i < options->threads; i++)
    threads[i] = g_thread_new ("client", run_client, &clients[i]);
  for (unsigned i = 0; i < options->threads; i++)
    g_thread_join (threads[i]);
  result->seconds = ts_to_s (ts_sub (clk_now (clk_monotonic ()), started));
  for (unsigned i = 0; i < options->threads; i++)
    client_finish (&clients[i], result);
  g_array_sort (result->ttfb_ms, compare_doubles);
  g_free (threads);
  g_free (clients);
}

/* Runs one request of CLIENT to completion.  */
static void
run_one_request (struct client *client, struct slot *slot)
{
  unsigned before = client->started_count;

  client->remaining = 1;
  start_request (slot);
  while (client->started_count == before || client->in_flight > 0)
    loop_run_once (client->loop, -1);
}

void
load_run_alternating (const struct load_options *a,
                      const struct load_options *b, unsigned count,
                      struct load_result *result_a,
                      struct load_result *result_b)
{
  const struct load_options *options[] = { a, b };
  struct load_result *results[] = { result_a, result_b };
  struct client clients[2] = { { 0 }, { 0 } };
  struct slot slots[2]
      = { { .client = &clients[0] }, { .client = &clients[1] } };

  for (unsigned i = 0; i < 2; i++)
    client_init (&clients[i], options[i]);
  for (unsigned n = 0; n < count; n++)
    for (unsigned i = 0; i < 2; i++)
      run_one_request (&clients[i], &slots[i]);
  for (unsigned i = 0; i < 2; i++)
    {
      memset (results[i], 0, sizeof *results[i]);
      results[i]->ttfb_ms = g_array_new (FALSE, FALSE, sizeof (double));
      client_finish (&clients[i], results[i]);
      g_array_sort (results[i]->ttfb_ms, compare_doubles);
    }
}

void
load_result_clear (struct load_result *result)
{
  g_array_unref (result->ttfb_ms);
}

double
load_quantile (const struct load_result *result, double q)
{
  guint n = result->ttfb_ms->len;
  guint at = (guint)ceil (q * n);

  if (n == 0)
    return NAN;
  return g_array_index (result->ttfb_ms, double, at > 0 ? at - 1 : 0);
}

static int
on_held_body (void *user, const char *bytes, size_t n)
{
  unsigned *waiting = user;

  (void)bytes;
  (void)n;
  if (*waiting > 0)
    (*waiting)--;
  return 0;
}

void
load_hold_streams (const struct load_options *options,
                   void (*opened) (void *user), void *user)
{
  struct loop *loop = loop_new (clk_monotonic ());
  struct httpc_options http = { .loop = loop, .max_connections = 65536 };
  struct httpc *httpc = httpc_new (&http);
  char *url = g_strdup_printf ("http://%s/v1/completions", options->address);
  char *body = make_body (options, 0);
  unsigned *waiting = g_new0 (unsigned, options->streams);
  struct httpc_request request = {
    .url = url, .body = body, .length = strlen (body), .body_cb = on_held_body
  };

  for (unsigned i = 0; i < options->streams; i++)
    {
      waiting[i] = 1;
      request.user = &waiting[i];
      httpc_start (httpc, &request);
    }
  for (unsigned i = 0; i < options->streams; i++)
    while (waiting[i] > 0)
      loop_run_once (loop, -1);
  opened (user);
  httpc_free (httpc);
  loop_free (loop);
  g_free (waiting);
  g_free (body);
  g_free (url);
}

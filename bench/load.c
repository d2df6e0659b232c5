#include "load.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include "clk.h"
#include "httpc.h"
#include "loop.h"
#include "ts.h"

#define PROMPTS 64 /* kinds of prompts, so that no replica is preferred */

struct client
{
  const struct load_options *options;
  struct loop *loop;
  struct httpc *httpc;
  struct load_result result;
  unsigned left; /* requests not begun */
  unsigned open;
  unsigned started;
};

struct slot
{
  struct loop_timer later; /* first: on_later gets it */
  struct client *client;
  struct timespec started;
  bool first;
};

static void begin (struct slot *slot);

static int
on_body (void *user, const char *bytes, size_t n)
{
  struct slot *slot = user;
  struct client *client = slot->client;
  const char *end = bytes + n;
  double ms;

  if (!slot->first)
    {
      slot->first = true;
      ms = ts_to_s (ts_sub (clk_now (clk_monotonic ()), slot->started)) * 1000;
      g_array_append_val (client->result.first_ms, ms);
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
    client->result.answers++;
  else
    client->result.failed++;
  client->open--;
  begin (slot);
  if (client->open == 0)
    loop_stop (client->loop);
}

static char *
body_of (const struct load_options *options, unsigned n)
{
  return g_strdup_printf ("{\"model\":\"%s\",\"prompt\":\"prompt %u\","
                          "\"max_tokens\":%u,\"stream\":%s}",
                          options->model, n % PROMPTS, options->tokens,
                          options->stream ? "true" : "false");
}

static bool
over (const struct client *client)
{
  const unsigned *stop = client->options->stop;

  if (stop != NULL)
    return __atomic_load_n (stop, __ATOMIC_RELAXED) != 0;
  return client->left == 0;
}

static void
begin (struct slot *slot)
{
  struct client *client = slot->client;
  static const char *const headers[]
      = { "Content-Type: application/json", "X-Request-Id: bench", NULL };
  struct httpc_request request = {
    .headers = headers, .body_cb = on_body, .done = on_done, .user = slot
  };
  char *body;
  char *url;

  if (over (client))
    return;
  client->left--;
  client->open++;
  body = body_of (client->options, client->started++);
  url = g_strdup_printf ("http://%s/v1/completions", client->options->address);
  request.url = url;
  request.body = body;
  request.length = strlen (body);
  slot->first = false;
  slot->started = clk_now (clk_monotonic ());
  httpc_start (client->httpc, &request);
  g_free (body);
  g_free (url);
}

static void
on_later (struct loop_timer *timer)
{
  begin ((struct slot *)timer);
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
      slots[i].later.fire = on_later;
      loop_timer_set (client->loop, &slots[i].later,
                      ts_add_ms (clk_now (clk_monotonic ()),
                                 (int64_t)client->options->spread_ms * i / n));
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
  client->left = options->requests / options->threads;
  client->loop = loop_new (clk_monotonic ());
  http.loop = client->loop;
  client->httpc = httpc_new (&http);
  client->result.first_ms = g_array_new (FALSE, FALSE, sizeof (double));
}

static void
client_add (struct client *client, struct load_result *result)
{
  result->answers += client->result.answers;
  result->failed += client->result.failed;
  result->events += client->result.events;
  result->bytes += client->result.bytes;
  g_array_append_vals (result->first_ms, client->result.first_ms->data,
                       client->result.first_ms->len);
  g_array_unref (client->result.first_ms);
  httpc_free (client->httpc);
  loop_free (client->loop);
}

static int
compare (gconstpointer a, gconstpointer b)
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
  result->first_ms = g_array_new (FALSE, FALSE, sizeof (double));
  for (unsigned i = 0; i < options->threads; i++)
    client_init (&clients[i], options);
  started = clk_now (clk_monotonic ());
  for (unsigned i = 0; i < options->threads; i++)
    threads[i] = g_thread_new ("client", run_client, &clients[i]);
  for (unsigned i = 0; i < options->threads; i++)
    g_thread_join (threads[i]);
  result->seconds = ts_to_s (ts_sub (clk_now (clk_monotonic ()), started));
  for (unsigned i = 0; i < options->threads; i++)
    client_add (&clients[i], result);
  g_array_sort (result->first_ms, compare);
  g_free (threads);
  g_free (clients);
}

/* Until the client's one request is over.  */
static void
probe_once (struct client *client, struct slot *slot)
{
  unsigned before = client->started;

  client->left = 1;
  begin (slot);
  while (client->started == before || client->open > 0)
    loop_run_once (client->loop, -1);
}

void
load_probe (const struct load_options *a, const struct load_options *b,
            unsigned count, struct load_result *result_a,
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
      probe_once (&clients[i], &slots[i]);
  for (unsigned i = 0; i < 2; i++)
    {
      memset (results[i], 0, sizeof *results[i]);
      results[i]->first_ms = g_array_new (FALSE, FALSE, sizeof (double));
      client_add (&clients[i], results[i]);
      g_array_sort (results[i]->first_ms, compare);
    }
}

void
load_result_clear (struct load_result *result)
{
  g_array_unref (result->first_ms);
}

double
load_quantile (const struct load_result *result, double q)
{
  guint n = result->first_ms->len;
  guint at = (guint)ceil (q * n);

  if (n == 0)
    return NAN;
  return g_array_index (result->first_ms, double, at > 0 ? at - 1 : 0);
}

static int
on_held_body (void *user, const char *bytes, size_t n)
{
  unsigned *left = user;

  (void)bytes;
  (void)n;
  if (*left > 0)
    (*left)--;
  return 0;
}

/* Each stream sends its first token and then, for long, no other.  */
void
load_hold (const struct load_options *options, void (*opened) (void *user),
           void *user)
{
  struct loop *loop = loop_new (clk_monotonic ());
  struct httpc_options http = { .loop = loop, .max_connections = 65536 };
  struct httpc *httpc = httpc_new (&http);
  char *url = g_strdup_printf ("http://%s/v1/completions", options->address);
  char *body = body_of (options, 0);
  unsigned *left = g_new0 (unsigned, options->streams);
  struct httpc_request request = {
    .url = url, .body = body, .length = strlen (body), .body_cb = on_held_body
  };

  for (unsigned i = 0; i < options->streams; i++)
    {
      left[i] = 1;
      request.user = &left[i];
      httpc_start (httpc, &request);
    }
  for (unsigned i = 0; i < options->streams; i++)
    while (left[i] > 0)
      loop_run_once (loop, -1);
  opened (user);
  httpc_free (httpc);
  loop_free (loop);
  g_free (left);
  g_free (body);
  g_free (url);
}

#include "bench.h"

#include <errno.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <argtable2.h>
#include <glib.h>
#include <jansson.h>
#include "clk.h"
#include "httpc.h"
#include "loop.h"
#include "ts.h"

#define LATE_MARGIN_MS 250   /* past the deadline; later answers are late */
#define LOST_TIMEOUT_MS 2000 /* past the deadline; then the answer is lost */
#define MAX_TOKENS 8
#define DUPLICATE_DELAY_MS 15 /* between the two requests of a key */

enum kind
{
  KIND_STREAMED_COMPLETION, /* idempotent */
  KIND_SERVICE_READ,        /* idempotent */
  KIND_SERVICE_WRITE,       /* not idempotent; with a key */
  KIND_KEYED_COMPLETION,    /* not idempotent; with a key */
  KIND_COUNT
};

enum outcome
{
  OUTCOME_LOST, /* no answer */
  OUTCOME_SERVED,
  OUTCOME_NOT_RUN,      /* refused as not executed */
  OUTCOME_MAY_HAVE_RUN, /* refused as possibly executed */
  OUTCOME_TRUNCATED,    /* incomplete answer, detectable by the caller */
  OUTCOME_WRONG         /* complete but incorrect answer */
};

struct driver
{
  struct loop *loop;
  struct httpc *httpc;
  struct loop_timer send_timer;
  char **nodes;
  unsigned node_count;
  unsigned requests;
  int interval_ms;
  int64_t deadline_ms;
  unsigned sent;
  unsigned in_flight;
  GPtrArray *calls; /* struct call */
};

struct call
{
  struct loop_timer duplicate_timer; /* first member, see on_duplicate_timer */
  struct driver *driver;
  enum kind kind;
  unsigned id; /* sent as marker and key "rID" */
  unsigned node;
  bool duplicate; /* second request of the same key */
  enum outcome outcome;
  struct timespec started;
  double duration_ms;
};

static char *
make_body (const struct call *call)
{
  if (call->kind == KIND_SERVICE_READ)
    return NULL;
  if (call->kind == KIND_SERVICE_WRITE)
    return g_strdup_printf ("{\"marker\":\"r%u\"}", call->id);
  return g_strdup_printf (
      "{\"model\":\"%s\",\"prompt\":\"request %u\",\"max_tokens\":%d,"
      "\"stream\":%s,\"marker\":\"r%u\"}",
      call->kind == KIND_STREAMED_COMPLETION ? "summary" : "order-writer",
      call->id, MAX_TOKENS,
      call->kind == KIND_STREAMED_COMPLETION ? "true" : "false", call->id);
}

static const char *
request_path (enum kind kind)
{
  static const char *const paths[]
      = { "/v1/completions", "/v1/services/ledger/history",
          "/v1/services/ledger/work-orders", "/v1/completions" };

  return paths[kind];
}

static unsigned
count_events (const char *text)
{
  unsigned n = 0;

  while ((text = strstr (text, "data: {")) != NULL)
    {
      n++;
      text++;
    }
  return n;
}

static bool
is_expected_answer (const struct call *call, const char *body)
{
  if (call->kind == KIND_STREAMED_COMPLETION)
    return count_events (body) == MAX_TOKENS
           && g_str_has_suffix (body, "data: [DONE]\n\n");
  if (call->kind == KIND_KEYED_COMPLETION)
    return strstr (body, "\"completion_tokens\":8") != NULL;
  return *body != '\0';
}

static enum outcome
classify_refusal (const char *body)
{
  json_t *json = json_loads (body, 0, NULL);
  const json_t *not_run
      = json_object_get (json_object_get (json, "error"), "not_run");
  enum outcome outcome
      = json_is_true (not_run) ? OUTCOME_NOT_RUN : OUTCOME_MAY_HAVE_RUN;

  if (not_run == NULL)
    outcome = OUTCOME_WRONG;
  json_decref (json);
  return outcome;
}

static enum outcome
classify_result (const struct call *call, const struct httpc_result *result)
{
  if (result->error == -ETIMEDOUT && result->status == 0)
    return OUTCOME_LOST;
  if (result->error != 0)
    return OUTCOME_TRUNCATED;
  if (result->status != 200)
    return classify_refusal (result->body);
  return is_expected_answer (call, result->body) ? OUTCOME_SERVED
                                                 : OUTCOME_WRONG;
}

static void
on_done (void *user, const struct httpc_result *result)
{
  struct call *call = user;
  struct driver *driver = call->driver;

  call->outcome = classify_result (call, result);
  call->duration_ms
      = ts_to_s (ts_sub (clk_now (clk_monotonic ()), call->started))
        * TS_MS_PER_S;
  driver->in_flight--;
  if (driver->in_flight == 0 && driver->sent == driver->requests)
    loop_stop (driver->loop);
}

static void
send_call (struct call *call)
{
  const struct driver *driver = call->driver;
  char *url = g_strdup_printf ("http://%s%s", driver->nodes[call->node],
                               request_path (call->kind));
  char *body = make_body (call);
  char *deadline = g_strdup_printf ("X-Deadline-Ms: %" G_GINT64_FORMAT,
                                    driver->deadline_ms);
  char *key = g_strdup_printf ("Idempotency-Key: r%u", call->id);
  const char *headers[]
      = { deadline, call->kind >= KIND_SERVICE_WRITE ? key : NULL, NULL };
  struct httpc_request request
      = { .url = url,
          .body = body,
          .length = body != NULL ? strlen (body) : 0,
          .headers = headers,
          .timeout_ms = driver->deadline_ms + LOST_TIMEOUT_MS,
          .fresh_connection = true,
          .done = on_done,
          .user = call };

  call->started = clk_now (clk_monotonic ());
  httpc_start (driver->httpc, &request);
  g_free (url);
  g_free (body);
  g_free (deadline);
  g_free (key);
}

static struct call *
call_new (struct driver *driver, unsigned id, unsigned node)
{
  struct call *call = g_new0 (struct call, 1);

  call->driver = driver;
  call->kind = id % KIND_COUNT;
  call->id = id;
  call->node = node % driver->node_count;
  g_ptr_array_add (driver->calls, call);
  driver->in_flight++;
  return call;
}

static void
on_duplicate_timer (struct loop_timer *timer)
{
  send_call ((struct call *)timer);
}

/* Sends the key of FIRST to the next node as well, after a short delay, so
   that the two requests overlap.  */
static void
schedule_duplicate (struct driver *driver, const struct call *first)
{
  struct call *call = call_new (driver, first->id, first->node + 1);

  call->duplicate = true;
  call->duplicate_timer.fire = on_duplicate_timer;
  loop_timer_set (driver->loop, &call->duplicate_timer,
                  ts_add_ms (loop_now (driver->loop), DUPLICATE_DELAY_MS));
}

static void
on_send_timer (struct loop_timer *timer)
{
  struct driver *driver
      = (struct driver *)((char *)timer
                          - offsetof (struct driver, send_timer));
  unsigned id = driver->sent++;
  struct call *call = call_new (driver, id, id / KIND_COUNT);

  send_call (call);
  if (call->kind >= KIND_SERVICE_WRITE)
    schedule_duplicate (driver, call);
  if (driver->sent == driver->requests / 2)
    {
      /* scripts/faults.sh injects the fault when it reads this line.  */
      printf ("half\n");
      fflush (stdout);
    }
  if (driver->sent < driver->requests)
    loop_timer_set (driver->loop, timer,
                    ts_add_ms (loop_now (driver->loop), driver->interval_ms));
}

struct json_fetch
{
  json_t *json;
  bool done;
};

static void
on_fetched (void *user, const struct httpc_result *result)
{
  struct json_fetch *fetch = user;

  fetch->done = true;
  if (result->error == 0)
    fetch->json = json_loads (result->body, 0, NULL);
}

/* Adds the execution counts of the stand-in at ADDRESS to RUNS.  Returns false
   if the stand-in, and so its counts, is no longer available.  */
static bool
add_run_counts (struct driver *driver, const char *address, unsigned *runs)
{
  char *url = g_strdup_printf ("http://%s/ran", address);
  struct json_fetch fetch = { 0 };
  struct httpc_request request = { .url = url,
                                   .fresh_connection = true,
                                   .timeout_ms = LOST_TIMEOUT_MS,
                                   .done = on_fetched,
                                   .user = &fetch };
  const char *marker;
  json_t *count;
  bool available;

  httpc_start (driver->httpc, &request);
  while (!fetch.done)
    loop_run_once (driver->loop, -1);
  json_object_foreach (json_object_get (fetch.json, "ran"), marker, count)
    {
      unsigned id = (unsigned)strtoul (marker + 1, NULL, 10);

      if (*marker == 'r' && id < driver->requests)
        runs[id] += (unsigned)json_integer_value (count);
    }
  available = fetch.json != NULL;
  json_decref (fetch.json);
  g_free (url);
  return available;
}

struct tally
{
  unsigned outcomes[OUTCOME_WRONG + 1];
  unsigned late;
  unsigned doubled;       /* executed more than once */
  unsigned false_not_run; /* executed, but every answer was "not run" */
  unsigned vanished;      /* answered with success, but not executed */
};

/* Compares the answers to all requests with key ID to its RUNS executions.  */
static void
count_violations (const struct driver *driver, unsigned id, unsigned runs,
                  struct tally *tally)
{
  bool all_not_run = true;
  bool served = false;

  if (id % KIND_COUNT < KIND_SERVICE_WRITE)
    return;
  for (guint i = 0; i < driver->calls->len; i++)
    {
      const struct call *call = driver->calls->pdata[i];

      if (call->id != id)
        continue;
      all_not_run &= call->outcome == OUTCOME_NOT_RUN;
      served |= call->outcome == OUTCOME_SERVED;
    }
  tally->doubled += runs > 1;
  tally->false_not_run += all_not_run && runs > 0;
  tally->vanished += served && runs == 0;
}

static void
count_outcomes (const struct driver *driver, const unsigned *runs,
                struct tally *tally)
{
  for (guint i = 0; i < driver->calls->len; i++)
    {
      const struct call *call = driver->calls->pdata[i];

      tally->outcomes[call->outcome]++;
      tally->late += call->outcome != OUTCOME_LOST
                     && call->outcome != OUTCOME_TRUNCATED
                     && call->duration_ms
                            > (double)(driver->deadline_ms + LATE_MARGIN_MS);
    }
  for (unsigned n = 0; n < driver->requests; n++)
    count_violations (driver, n, runs[n], tally);
}

static int
print_summary (struct driver *driver, const char *counter_list)
{
  unsigned *runs = g_new0 (unsigned, driver->requests);
  char **addresses = g_strsplit (counter_list, ",", -1);
  struct tally tally = { 0 };
  bool complete = true;
  bool ok;

  for (char **address = addresses; *address != NULL; address++)
    complete &= add_run_counts (driver, *address, runs);
  count_outcomes (driver, runs, &tally);
  if (!complete)
    tally.vanished = 0;
  printf ("arrivals=%u served=%u not_run=%u may_have_run=%u cut=%u wrong=%u"
          " late=%u lost=%u doubled=%u false_not_run=%u vanished=%u "
          "counted_at=%s\n",
          driver->calls->len, tally.outcomes[OUTCOME_SERVED],
          tally.outcomes[OUTCOME_NOT_RUN],
          tally.outcomes[OUTCOME_MAY_HAVE_RUN],
          tally.outcomes[OUTCOME_TRUNCATED], tally.outcomes[OUTCOME_WRONG],
          tally.late, tally.outcomes[OUTCOME_LOST], tally.doubled,
          tally.false_not_run, tally.vanished, complete ? "all" : "survivors");
  ok = tally.outcomes[OUTCOME_WRONG] + tally.outcomes[OUTCOME_LOST]
           + tally.late + tally.doubled + tally.false_not_run + tally.vanished
       == 0;
  g_strfreev (addresses);
  g_free (runs);
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}

static int
run_driver (struct driver *driver, const char *counters)
{
  struct httpc_options http = { 0 };
  int status;

  driver->loop = loop_new (clk_monotonic ());
  http.loop = driver->loop;
  driver->httpc = httpc_new (&http);
  driver->calls = g_ptr_array_new_with_free_func (g_free);
  driver->send_timer.fire = on_send_timer;
  loop_timer_set (driver->loop, &driver->send_timer,
                  clk_now (clk_monotonic ()));
  loop_run (driver->loop);
  status = print_summary (driver, counters);
  httpc_free (driver->httpc);
  loop_free (driver->loop);
  g_ptr_array_unref (driver->calls);
  return status;
}

int
bench_faults (int argc, char **argv)
{
  struct arg_str *nodes
      = arg_str1 (NULL, "nodes", "IP:PORT,...", "nodes, used in turn");
  struct arg_str *counters = arg_str1 (NULL, "ran", "IP:PORT,...",
                                       "stand-ins that count executions");
  struct arg_int *requests
      = arg_int0 (NULL, "requests", "N", "number of requests");
  struct arg_int *interval
      = arg_int0 (NULL, "interval-ms", "N", "time between requests");
  struct arg_int *deadline
      = arg_int0 (NULL, "deadline-ms", "N", "deadline of each request");
  struct arg_end *end = arg_end (5);
  void *table[] = { nodes, counters, requests, interval, deadline, end };
  struct driver driver = { 0 };
  int status = EXIT_FAILURE;

  requests->ival[0] = 1000;
  interval->ival[0] = 5;
  deadline->ival[0] = 4000;
  if (arg_parse (argc, argv, table) > 0)
    arg_print_errors (stderr, end, "parsley-bench faults");
  else
    {
      driver.nodes = g_strsplit (nodes->sval[0], ",", -1);
      driver.node_count = g_strv_length (driver.nodes);
      driver.requests = (unsigned)requests->ival[0];
      driver.interval_ms = interval->ival[0];
      driver.deadline_ms = deadline->ival[0];
      status = run_driver (&driver, counters->sval[0]);
      g_strfreev (driver.nodes);
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}

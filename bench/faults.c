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

#define LATE_MS 250  /* behind the deadline, and still an answer in time */
#define LOST_MS 2000 /* behind the deadline, without any answer */
#define TOKENS 8
#define KEYED_TWICE_MS 15 /* until the same key goes to another node */

enum kind
{
  KIND_STREAM, /* idempotent completion, streamed */
  KIND_READ,   /* idempotent call of a service */
  KIND_ORDER,  /* keyed call of a service that may not be repeated */
  KIND_WRITE,  /* keyed completion that may not be repeated */
  KIND_COUNT
};

enum outcome
{
  OUTCOME_NONE, /* lost: no answer at all */
  OUTCOME_SERVED,
  OUTCOME_NOT_RUN, /* refused, and said not to have run */
  OUTCOME_MAY,     /* refused, and said that it may have run */
  OUTCOME_CUT,     /* the answer broke off, and the caller could see it */
  OUTCOME_WRONG    /* a whole answer that is not the right one */
};

struct faults
{
  struct loop *loop;
  struct httpc *httpc;
  struct loop_timer next;
  char **nodes;
  unsigned node_count;
  unsigned requests;
  int interval_ms;
  int64_t deadline_ms;
  unsigned sent;
  unsigned open;
  GPtrArray *calls; /* struct call */
};

struct call
{
  struct loop_timer second; /* first member: the same key once more */
  struct faults *faults;
  enum kind kind;
  unsigned number; /* its marker */
  unsigned node;
  bool again; /* the second arrival of a key */
  enum outcome outcome;
  struct timespec started;
  double ms;
};

static char *
body_of (const struct call *call)
{
  if (call->kind == KIND_READ)
    return NULL;
  if (call->kind == KIND_ORDER)
    return g_strdup_printf ("{\"marker\":\"r%u\"}", call->number);
  return g_strdup_printf (
      "{\"model\":\"%s\",\"prompt\":\"request %u\",\"max_tokens\":%d,"
      "\"stream\":%s,\"marker\":\"r%u\"}",
      call->kind == KIND_STREAM ? "summary" : "order-writer", call->number,
      TOKENS, call->kind == KIND_STREAM ? "true" : "false", call->number);
}

static const char *
path_of (enum kind kind)
{
  static const char *const paths[]
      = { "/v1/completions", "/v1/services/ledger/history",
          "/v1/services/ledger/work-orders", "/v1/completions" };

  return paths[kind];
}

static unsigned
events_in (const char *text)
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
right_answer (const struct call *call, const char *body)
{
  if (call->kind == KIND_STREAM)
    return events_in (body) == TOKENS
           && g_str_has_suffix (body, "data: [DONE]\n\n");
  if (call->kind == KIND_WRITE)
    return strstr (body, "\"completion_tokens\":8") != NULL;
  return *body != '\0';
}

static enum outcome
refusal_of (const char *body)
{
  json_t *json = json_loads (body, 0, NULL);
  const json_t *not_run
      = json_object_get (json_object_get (json, "error"), "not_run");
  enum outcome outcome
      = json_is_true (not_run) ? OUTCOME_NOT_RUN : OUTCOME_MAY;

  if (not_run == NULL)
    outcome = OUTCOME_WRONG;
  json_decref (json);
  return outcome;
}

static enum outcome
outcome_of (const struct call *call, const struct httpc_result *result)
{
  if (result->error == -ETIMEDOUT && result->status == 0)
    return OUTCOME_NONE;
  if (result->error != 0)
    return OUTCOME_CUT;
  if (result->status != 200)
    return refusal_of (result->body);
  return right_answer (call, result->body) ? OUTCOME_SERVED : OUTCOME_WRONG;
}

static void
on_done (void *user, const struct httpc_result *result)
{
  struct call *call = user;
  struct faults *faults = call->faults;

  call->outcome = outcome_of (call, result);
  call->ms = ts_to_s (ts_sub (clk_now (clk_monotonic ()), call->started))
             * TS_MS_PER_S;
  faults->open--;
  if (faults->open == 0 && faults->sent == faults->requests)
    loop_stop (faults->loop);
}

static void
send_call (struct call *call)
{
  const struct faults *faults = call->faults;
  char *url = g_strdup_printf ("http://%s%s", faults->nodes[call->node],
                               path_of (call->kind));
  char *body = body_of (call);
  char *deadline = g_strdup_printf ("X-Deadline-Ms: %" G_GINT64_FORMAT,
                                    faults->deadline_ms);
  char *key = g_strdup_printf ("Idempotency-Key: r%u", call->number);
  const char *headers[]
      = { deadline, call->kind >= KIND_ORDER ? key : NULL, NULL };
  struct httpc_request request = { .url = url,
                                   .body = body,
                                   .length = body != NULL ? strlen (body) : 0,
                                   .headers = headers,
                                   .timeout_ms = faults->deadline_ms + LOST_MS,
                                   .fresh_connection = true,
                                   .done = on_done,
                                   .user = call };

  call->started = clk_now (clk_monotonic ());
  httpc_start (faults->httpc, &request);
  g_free (url);
  g_free (body);
  g_free (deadline);
  g_free (key);
}

static struct call *
call_new (struct faults *faults, unsigned number, unsigned node)
{
  struct call *call = g_new0 (struct call, 1);

  call->faults = faults;
  call->kind = number % KIND_COUNT;
  call->number = number;
  call->node = node % faults->node_count;
  g_ptr_array_add (faults->calls, call);
  faults->open++;
  return call;
}

static void
on_second (struct loop_timer *timer)
{
  send_call ((struct call *)timer);
}

/* A key is sent to two nodes, nearly at once.  */
static void
send_again (struct faults *faults, const struct call *first)
{
  struct call *call = call_new (faults, first->number, first->node + 1);

  call->again = true;
  call->second.fire = on_second;
  loop_timer_set (faults->loop, &call->second,
                  ts_add_ms (loop_now (faults->loop), KEYED_TWICE_MS));
}

static void
on_next (struct loop_timer *timer)
{
  struct faults *faults
      = (struct faults *)((char *)timer - offsetof (struct faults, next));
  unsigned number = faults->sent++;
  struct call *call = call_new (faults, number, number / KIND_COUNT);

  send_call (call);
  if (call->kind >= KIND_ORDER)
    send_again (faults, call);
  if (faults->sent == faults->requests / 2)
    {
      printf ("half\n");
      fflush (stdout);
    }
  if (faults->sent < faults->requests)
    loop_timer_set (faults->loop, timer,
                    ts_add_ms (loop_now (faults->loop), faults->interval_ms));
}

struct fetched
{
  json_t *json;
  bool done;
};

static void
on_fetched (void *user, const struct httpc_result *result)
{
  struct fetched *fetched = user;

  fetched->done = true;
  if (result->error == 0)
    fetched->json = json_loads (result->body, 0, NULL);
}

/* False when the stand-in is gone, and what it counted with it.  */
static bool
add_runs (struct faults *faults, const char *address, unsigned *runs)
{
  char *url = g_strdup_printf ("http://%s/ran", address);
  struct fetched fetched = { 0 };
  struct httpc_request request = { .url = url,
                                   .fresh_connection = true,
                                   .timeout_ms = LOST_MS,
                                   .done = on_fetched,
                                   .user = &fetched };
  const char *marker;
  json_t *count;
  bool there;

  httpc_start (faults->httpc, &request);
  while (!fetched.done)
    loop_run_once (faults->loop, -1);
  json_object_foreach (json_object_get (fetched.json, "ran"), marker, count)
    {
      unsigned number = (unsigned)strtoul (marker + 1, NULL, 10);

      if (*marker == 'r' && number < faults->requests)
        runs[number] += (unsigned)json_integer_value (count);
    }
  there = fetched.json != NULL;
  json_decref (fetched.json);
  g_free (url);
  return there;
}

struct tally
{
  unsigned outcomes[OUTCOME_WRONG + 1];
  unsigned late;
  unsigned doubled;
  unsigned false_not_run;
  unsigned vanished; /* answered as done, and ran nowhere */
};

/* A key's arrivals together: not run is false when every arrival heard "not
   run" and it ran all the same.  */
static void
tally_key (const struct faults *faults, unsigned number, unsigned runs,
           struct tally *tally)
{
  bool all_not_run = true;
  bool served = false;

  if (number % KIND_COUNT < KIND_ORDER)
    return;
  for (guint i = 0; i < faults->calls->len; i++)
    {
      const struct call *call = faults->calls->pdata[i];

      if (call->number != number)
        continue;
      all_not_run &= call->outcome == OUTCOME_NOT_RUN;
      served |= call->outcome == OUTCOME_SERVED;
    }
  tally->doubled += runs > 1;
  tally->false_not_run += all_not_run && runs > 0;
  tally->vanished += served && runs == 0;
}

static void
tally_all (const struct faults *faults, const unsigned *runs,
           struct tally *tally)
{
  for (guint i = 0; i < faults->calls->len; i++)
    {
      const struct call *call = faults->calls->pdata[i];

      tally->outcomes[call->outcome]++;
      tally->late += call->outcome != OUTCOME_NONE
                     && call->outcome != OUTCOME_CUT
                     && call->ms > (double)(faults->deadline_ms + LATE_MS);
    }
  for (unsigned n = 0; n < faults->requests; n++)
    tally_key (faults, n, runs[n], tally);
}

static int
report (struct faults *faults, const char *list)
{
  unsigned *runs = g_new0 (unsigned, faults->requests);
  char **addresses = g_strsplit (list, ",", -1);
  struct tally tally = { 0 };
  bool complete = true;
  bool ok;

  for (char **address = addresses; *address != NULL; address++)
    complete &= add_runs (faults, *address, runs);
  tally_all (faults, runs, &tally);
  if (!complete)
    tally.vanished = 0;
  printf ("arrivals=%u served=%u not_run=%u may_have_run=%u cut=%u wrong=%u"
          " late=%u lost=%u doubled=%u false_not_run=%u vanished=%u "
          "counted_at=%s\n",
          faults->calls->len, tally.outcomes[OUTCOME_SERVED],
          tally.outcomes[OUTCOME_NOT_RUN], tally.outcomes[OUTCOME_MAY],
          tally.outcomes[OUTCOME_CUT], tally.outcomes[OUTCOME_WRONG],
          tally.late, tally.outcomes[OUTCOME_NONE], tally.doubled,
          tally.false_not_run, tally.vanished, complete ? "all" : "survivors");
  ok = tally.outcomes[OUTCOME_WRONG] + tally.outcomes[OUTCOME_NONE]
           + tally.late + tally.doubled + tally.false_not_run + tally.vanished
       == 0;
  g_strfreev (addresses);
  g_free (runs);
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}

static int
run (struct faults *faults, const char *ran)
{
  struct httpc_options http = { 0 };
  int status;

  faults->loop = loop_new (clk_monotonic ());
  http.loop = faults->loop;
  faults->httpc = httpc_new (&http);
  faults->calls = g_ptr_array_new_with_free_func (g_free);
  faults->next.fire = on_next;
  loop_timer_set (faults->loop, &faults->next, clk_now (clk_monotonic ()));
  loop_run (faults->loop);
  status = report (faults, ran);
  httpc_free (faults->httpc);
  loop_free (faults->loop);
  g_ptr_array_unref (faults->calls);
  return status;
}

int
bench_faults (int argc, char **argv)
{
  struct arg_str *nodes
      = arg_str1 (NULL, "nodes", "IP:PORT,...", "asked by turns");
  struct arg_str *ran
      = arg_str1 (NULL, "ran", "IP:PORT,...", "stand-ins that count runs");
  struct arg_int *requests = arg_int0 (NULL, "requests", "N", "in all");
  struct arg_int *interval = arg_int0 (NULL, "interval-ms", "N", "between");
  struct arg_int *deadline = arg_int0 (NULL, "deadline-ms", "N", "of each");
  struct arg_end *end = arg_end (5);
  void *table[] = { nodes, ran, requests, interval, deadline, end };
  struct faults faults = { 0 };
  int status = EXIT_FAILURE;

  requests->ival[0] = 1000;
  interval->ival[0] = 5;
  deadline->ival[0] = 4000;
  if (arg_parse (argc, argv, table) > 0)
    arg_print_errors (stderr, end, "parsley-bench faults");
  else
    {
      faults.nodes = g_strsplit (nodes->sval[0], ",", -1);
      faults.node_count = g_strv_length (faults.nodes);
      faults.requests = (unsigned)requests->ival[0];
      faults.interval_ms = interval->ival[0];
      faults.deadline_ms = deadline->ival[0];
      status = run (&faults, ran->sval[0]);
      g_strfreev (faults.nodes);
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}

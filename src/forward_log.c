#include <inttypes.h>
#include <string.h>
#include "forward_state.h"
#include "histo.h"
#include "ts.h"

static double
to_ms (struct timespec duration)
{
  return ts_to_s (duration) * (double)TS_MS_PER_S;
}

static double
age_ms (const struct forward *forward)
{
  return to_ms (ts_sub (forward_now (forward), forward->arrived));
}

static void
begin_line (struct forward *forward, struct log_line *line,
            enum log_event event)
{
  log_begin (line, event);
  log_str (line, "request", forward->parsed.id);
  if (forward->route != NULL)
    log_str (line, "route", forward->route->name);
  log_str (line, "target", forward->target);
  if (forward->customer != NULL)
    log_str (line, "customer", forward->customer->name);
  if (forward->relayed)
    log_int (line, "relayed", 1);
  log_double (line, "age_ms", age_ms (forward));
}

/* The estimated delay at the engine that was chosen last.  */
static void
log_delay (const struct forward *forward, struct log_line *line)
{
  if (forward->explanation.delay_s > 0)
    log_double (line, "delay_ms",
                forward->explanation.delay_s * (double)TS_MS_PER_S);
}

/* What that estimate rests on, if the engine tells its pace.  */
static void
log_pace (const struct forward *forward, struct log_line *line)
{
  const struct pick_explanation *why = &forward->explanation;

  if (!why->paced)
    return;
  log_double (line, "pace", why->pace);
  log_double (line, "wait_ms", why->wait_s * (double)TS_MS_PER_S);
  log_double (line, "event_ms", why->event_s * (double)TS_MS_PER_S);
  log_double (line, "prefix_trust", why->prefix_trust);
}

static void
log_over (const struct forward *forward, struct log_line *line)
{
  if (forward_is_over (forward))
    log_int (line, "over", 1);
}

/* The stream that the request continues, and its last event.  */
static void
log_resume (const struct forward *forward, struct log_line *line)
{
  if (forward->head_sent)
    {
      log_str (line, "resumes", forward->parsed.id);
      log_int (line, "after", (int64_t)forward->last_event);
    }
  else if (forward->parsed.resumes)
    {
      log_str (line, "resumes",
               forward->parsed.stream != NULL ? forward->parsed.stream : "?");
      log_int (line, "after", (int64_t)forward->parsed.resume_after);
    }
}

void
forward_log_waiting (struct forward *forward, struct timespec ready_at)
{
  struct log_line line;

  begin_line (forward, &line, EVENT_REQUEST_WAITING);
  log_int (&line, "usable", forward->explanation.usable);
  log_int (&line, "priority", forward_priority (forward));
  if (!ts_is_zero (ready_at))
    log_double (&line, "ready_in_ms",
                to_ms (ts_sub (ready_at, forward_now (forward))));
  log_double (&line, "left_ms",
              to_ms (ts_sub (forward->deadline, forward_now (forward))));
  log_end (&line);
}

void
forward_log_sent (struct forward *forward)
{
  struct log_line line;

  histo_add (HISTO_WAIT, ts_sub (forward_now (forward), forward->arrived));
  begin_line (forward, &line, EVENT_REQUEST_ROUTED);
  log_str (&line, "engine", forward->engine->id);
  log_str (&line, "software", forward->engine->software);
  log_resume (forward, &line);
  log_int (&line, "sending", forward->dispatches);
  log_str (&line, "reason", pick_reason_name (forward->explanation.reason));
  log_double (&line, "load", forward->explanation.load);
  log_delay (forward, &line);
  log_pace (forward, &line);
  log_int (&line, "usable", forward->explanation.usable);
  log_int (&line, "version", (int64_t)forward->site->version);
  log_over (forward, &line);
  log_end (&line);
}

/* How the end of the response was known, and what of it was passed on.  */
static void
log_extent (const struct forward *forward, struct log_line *line,
            const struct httpc_result *result)
{
  log_int (line, "head_ended", result->head_ended);
  log_int (line, "until_close", result->until_close);
  log_int (line, "events", (int64_t)forward->sse.events);
  log_int (line, "partial", (int64_t)forward->sse.partial);
}

void
forward_log_done (struct forward *forward, const struct httpc_result *result)
{
  struct log_line line;

  histo_add (HISTO_FIRST_BYTE, ts_sub (forward->first_at, forward->arrived));
  histo_add (HISTO_TOTAL, ts_sub (forward_now (forward), forward->arrived));
  begin_line (forward, &line, EVENT_REQUEST_DONE);
  log_str (&line, "engine", forward->engine->id);
  log_int (&line, "status", result->status);
  log_int (&line, "sendings", forward_sendings (forward));
  log_double (&line, "first_byte_ms",
              to_ms (ts_sub (forward->first_at, forward->sent_at)));
  log_extent (forward, &line, result);
  log_end (&line);
}

void
forward_log_refused (struct forward *forward, unsigned status, const char *why,
                     int64_t retry_ms)
{
  struct log_line line;

  begin_line (forward, &line, EVENT_REQUEST_REFUSED);
  log_resume (forward, &line);
  log_int (&line, "status", status);
  log_str (&line, "why", why);
  log_int (&line, "not_run", forward_not_run (forward));
  log_int (&line, "cut", forward->head_sent);
  log_int (&line, "sendings", forward_sendings (forward));
  log_delay (forward, &line);
  log_over (forward, &line);
  log_int (&line, "retry_after_ms", retry_ms);
  log_end (&line);
}

/* What the prompt shares with those of other requests.  */
static void
log_shared_parts (const struct forward *forward, struct log_line *line)
{
  char *parts;

  if (forward->parsed.shared_parts == NULL)
    return;
  parts = g_strjoinv (",", forward->parsed.shared_parts);
  log_str (line, "parts", parts);
  g_free (parts);
}

/* As in FEATURE_QUARANTINED, of which it is the feature if the whole request
   crashes servers.  */
static void
log_fingerprint (const struct forward *forward, struct log_line *line)
{
  char text[17];

  g_snprintf (text, sizeof text, "%016" PRIx64, forward_fingerprint (forward));
  log_str (line, "fingerprint", text);
}

void
forward_log_failed (struct forward *forward, const struct httpc_result *result)
{
  struct log_line line;

  begin_line (forward, &line, EVENT_ATTEMPT_FAILED);
  log_str (&line, "engine", forward->engine->id);
  log_int (&line, "sending", forward->dispatches);
  log_str (&line, "error",
           result->error != 0 ? strerror (-result->error) : NULL);
  log_int (&line, "status", result->status);
  log_int (&line, "not_run", forward->head_parsed && forward->answer.not_run);
  log_int (&line, "reused", result->reused);
  log_int (&line, "sent", result->phase != HTTPC_UNSENT);
  log_double (&line, "silent_ms",
              to_ms (ts_sub (forward_now (forward), forward->heard_at)));
  log_extent (forward, &line, result);
  log_fingerprint (forward, &line);
  log_shared_parts (forward, &line);
  log_end (&line);
}

void
forward_log_silent (struct forward *forward, enum stall_action action)
{
  struct log_line line;

  begin_line (forward, &line, EVENT_SERVER_SILENT);
  log_str (&line, "engine", forward->engine->id);
  log_int (&line, "sending", forward->dispatches);
  log_double (&line, "silent_ms",
              to_ms (ts_sub (forward_now (forward), forward->heard_at)));
  log_int (&line, "events", (int64_t)forward->sse.events);
  log_str (&line, "action", stall_action_name (action));
  log_end (&line);
}

void
forward_log_gone (struct forward *forward)
{
  struct log_line line;

  begin_line (forward, &line, EVENT_CALLER_GONE);
  log_int (&line, "sendings", forward_sendings (forward));
  log_end (&line);
}

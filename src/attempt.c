#include "attempt.h"

#include <errno.h>
#include <jansson.h>

void
attempt_begin (struct attempt *attempt, uint64_t id)
{
  attempt->id = id;
  attempt->state = ATTEMPT_NOT_SENT;
  attempt->furthest_phase = HTTPC_UNSENT;
}

bool
attempt_is_final (const struct attempt *attempt)
{
  return attempt->state >= ATTEMPT_COMPLETE;
}

static void
advance_phase (struct attempt *attempt, enum httpc_phase phase)
{
  if (phase > attempt->furthest_phase)
    attempt->furthest_phase = phase;
}

/* Never moves backwards: a late ATTEMPT_EV_SENT has no effect.  */
static void
advance (struct attempt *attempt, enum attempt_state state,
         enum httpc_phase phase)
{
  advance_phase (attempt, phase);
  if (state > attempt->state)
    attempt->state = state;
}

static void
end_abnormally (struct attempt *attempt, enum attempt_state state)
{
  if (state == ATTEMPT_RESET && attempt->furthest_phase >= HTTPC_RESPONDING)
    state = ATTEMPT_TRUNCATED;
  attempt->state = state;
}

void
attempt_event (struct attempt *attempt, enum attempt_event event)
{
  if (attempt_is_final (attempt))
    return;
  switch (event)
    {
    case ATTEMPT_EV_CONNECT:
      advance (attempt, ATTEMPT_CONNECTING, HTTPC_UNSENT);
      break;
    case ATTEMPT_EV_SEND:
      advance (attempt, ATTEMPT_SENDING, HTTPC_SENT);
      break;
    case ATTEMPT_EV_SENT:
      advance (attempt, ATTEMPT_SENT, HTTPC_SENT);
      break;
    case ATTEMPT_EV_HEAD:
      advance (attempt, ATTEMPT_ANSWERING, HTTPC_RESPONDING);
      break;
    case ATTEMPT_EV_END:
      advance (attempt, ATTEMPT_COMPLETE, HTTPC_COMPLETE);
      break;
    case ATTEMPT_EV_REFUSAL:
      advance (attempt, ATTEMPT_REFUSED, HTTPC_COMPLETE);
      break;
    case ATTEMPT_EV_RESET:
      end_abnormally (attempt, ATTEMPT_RESET);
      break;
    case ATTEMPT_EV_TIMEOUT:
      end_abnormally (attempt, ATTEMPT_TIMED_OUT);
      break;
    case ATTEMPT_EV_CANCEL:
      end_abnormally (attempt, ATTEMPT_CANCELLED);
      break;
    }
}

static enum attempt_event
end_event (const struct httpc_result *result, bool refusal)
{
  if (result->error == 0 && result->phase == HTTPC_COMPLETE)
    return refusal ? ATTEMPT_EV_REFUSAL : ATTEMPT_EV_END;
  if (result->error == -ETIMEDOUT)
    return ATTEMPT_EV_TIMEOUT;
  if (result->error == -ECANCELED)
    return ATTEMPT_EV_CANCEL;
  return ATTEMPT_EV_RESET;
}

void
attempt_finish (struct attempt *attempt, const struct httpc_result *result,
                bool refusal)
{
  if (attempt_is_final (attempt))
    return;
  advance_phase (attempt, result->phase);
  attempt_event (attempt, end_event (result, refusal));
}

void
attempt_cancel (struct attempt *attempt, enum httpc_phase phase)
{
  if (attempt_is_final (attempt))
    return;
  advance_phase (attempt, phase);
  attempt_event (attempt, ATTEMPT_EV_CANCEL);
}

bool
attempt_may_be_refusal (long status)
{
  return status == 404 || status == 429 || status == 503;
}

bool
attempt_refusal (const struct httpc_result *result)
{
  json_t *json;
  bool refused;

  if (result->error != 0 || result->phase != HTTPC_COMPLETE
      || !attempt_may_be_refusal (result->status) || result->body == NULL)
    return false;
  json = json_loadb (result->body, result->length, 0, NULL);
  refused = json_is_true (
      json_object_get (json_object_get (json, "error"), "not_run"));
  json_decref (json);
  return refused;
}

static bool
is_not_run (const struct attempt *attempt)
{
  if (!attempt_is_final (attempt))
    return false;
  return attempt->state == ATTEMPT_REFUSED
         || attempt->furthest_phase == HTTPC_UNSENT;
}

bool
attempt_not_run (const struct attempt *attempts, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (!is_not_run (&attempts[i]))
      return false;
  return true;
}

bool
attempt_may_retry (const struct attempt *attempts, size_t count,
                   bool idempotent, bool bytes_to_caller)
{
  if (count >= ATTEMPT_MAX || bytes_to_caller)
    return false;
  for (size_t i = 0; i < count; i++)
    if (!attempt_is_final (&attempts[i])
        || attempts[i].state == ATTEMPT_COMPLETE)
      return false;
  return idempotent || attempt_not_run (attempts, count);
}

const char *
attempt_state_name (enum attempt_state state)
{
  static const char *const names[]
      = { "not_sent", "connecting", "sending",   "sent",  "answering", "whole",
          "refused",  "cut",        "timed_out", "reset", "cancelled" };

  return names[state];
}

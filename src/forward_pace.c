#include <sys/param.h>
#include "counter.h"
#include "delay.h"
#include "forward_state.h"
#include "ts.h"

/* Short times tell little of a server's pace.  */
#define FIRST_NOISE_S 0.05
#define EVENT_NOISE_S 0.005
/* The most of the expected time that a request waits for others, where it
   tells the speed of its model.  */
#define WAIT_SHARE 0.25
#define EVENTS_MIN 8 /* that tell the time between them */
/* Of the mean number of tokens of an event.  */
#define EVENT_TOKENS_WEIGHT 0.05
#define EVENT_TOKENS_DEFAULT 5.0
#define EVENT_TOKENS_MAX 256.0
#define CACHED_TRUST 0.5 /* more likely cached than not */

/* Callers name the lengths of their prompts, and may name any.  */
static uint64_t
prompt_tokens (const struct forward *forward)
{
  return MIN (forward->parsed.prompt_tokens, FORWARD_PROMPT_TOKENS_MAX);
}

static double
event_tokens (const struct forward *forward)
{
  double tokens = forward->gateway->event_tokens;

  return tokens > 0 ? tokens : EVENT_TOKENS_DEFAULT;
}

void
forward_pace_request (const struct forward *forward,
                      struct pick_request *request)
{
  const struct site_route *route = forward->route;
  uint64_t tokens = prompt_tokens (forward);

  /* A prompt of unknown length is taken for the mean one.  */
  request->read_s = tokens > 0 ? delay_read_s (tokens) : DELAY_QUEUED_S;
  request->objective_s = (double)route->objective_ms / TS_MS_PER_S;
  if (route->kind != SITE_STREAM)
    return;
  request->gap_s = (double)route->gap_ms / TS_MS_PER_S;
  request->event_tokens = event_tokens (forward);
  request->events
      = (double)MIN (forward->parsed.answer_tokens, FORWARD_ANSWER_TOKENS_MAX)
        / request->event_tokens;
  request->left_s = (double)forward_left_ms (forward) / TS_MS_PER_S;
}

void
forward_pace_sent (struct forward *forward)
{
  const struct pick_explanation *why = &forward->explanation;

  forward->expected_s = 0;
  forward->expected_event_s = 0;
  forward->first_event_at = (struct timespec){ 0 };
  if (forward->to_peer || !why->paced)
    return;
  forward->expected_s = why->told_s;
  forward->expected_event_s = why->event_told_s;
  if (why->delay_s > (double)forward->route->objective_ms / TS_MS_PER_S)
    counter_add (COUNTER_EXPECTED_LATE, 1);
  if (why->prefix_trust > CACHED_TRUST)
    counter_add (COUNTER_CACHED, 1);
  pick_sent (forward->gateway->pick, forward->engine->id,
             prompt_tokens (forward),
             (uint64_t)(why->prefix_trust
                        * (double)MIN (forward->parsed.shared_tokens,
                                       FORWARD_PROMPT_TOKENS_MAX)),
             forward->sent_at);
}

void
forward_pace_first_event (struct forward *forward)
{
  struct gateway *gateway = forward->gateway;
  struct timespec now = forward_now (forward);
  double actual_s = ts_to_s (ts_sub (now, forward->sent_at));

  forward->first_event_at = now;
  if (forward->expected_s <= 0)
    return;
  if (!forward->engine->gone)
    servers_observe_first (
        listing_servers (gateway->listing), forward->engine->id,
        pace_compare (forward->expected_s, actual_s, FIRST_NOISE_S), now);
  if (forward->target != NULL && forward->parsed.model != NULL
      && forward->explanation.wait_s <= WAIT_SHARE * forward->expected_s)
    planners_observe_first (
        gateway->planners, forward->service->name, forward->parsed.model,
        pace_compare (forward->expected_s, actual_s, FIRST_NOISE_S));
  for (size_t i = 0; i < forward->parsed.part_count; i++)
    pick_cached (gateway->pick, forward->engine, forward->parsed.parts[i],
                 now);
}

static void
observe_event_tokens (struct gateway *gateway, double tokens)
{
  if (tokens < 1 || tokens > EVENT_TOKENS_MAX)
    return;
  if (gateway->event_tokens <= 0)
    gateway->event_tokens = tokens;
  else
    gateway->event_tokens
        += EVENT_TOKENS_WEIGHT * (tokens - gateway->event_tokens);
}

void
forward_pace_end (struct forward *forward, bool complete)
{
  struct gateway *gateway = forward->gateway;
  uint64_t events = forward->sse.events;
  struct timespec now = forward_now (forward);
  double actual_s;

  if (forward->to_peer || events < EVENTS_MIN)
    return;
  /* A resumed stream has fewer events.  */
  if (complete && forward->dispatches == 1 && !forward->parsed.resumes)
    observe_event_tokens (gateway, (double)forward->parsed.answer_tokens
                                       / (double)events);
  if (forward->expected_event_s <= 0 || forward->engine->gone)
    return;
  actual_s
      = ts_to_s (ts_sub (now, forward->first_event_at)) / (double)(events - 1);
  servers_observe_events (
      listing_servers (gateway->listing), forward->engine->id,
      pace_compare (forward->expected_event_s, actual_s, EVENT_NOISE_S), now);
}

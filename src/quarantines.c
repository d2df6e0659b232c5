#include <inttypes.h>
#include <string.h>
#include <xxhash.h>
#include "counter.h"
#include "links.h"
#include "log.h"
#include "quarantines_state.h"
#include "ts.h"

#define JUDGE_JITTER_MS 200 /* so that one node judges before the others */

static uint64_t
hash_id (const char *id)
{
  return XXH3_64bits (id, strlen (id)) | 1;
}

void
quarantines_log (const struct quarantines *quarantines, enum log_event event,
                 const struct quarantine_state *state, const char *source)
{
  struct log_line line;
  char feature[17];

  g_snprintf (feature, sizeof feature, "%016" PRIx64, state->feature);
  counter_set (COUNTER_QUARANTINED,
               quarantine_count (quarantines->quarantine));
  log_begin (&line, event);
  log_str (&line, "feature", feature);
  log_str (&line, "source", source);
  if (event == EVENT_FEATURE_QUARANTINED)
    {
      log_int (&line, "trials", (int64_t)state->trials);
      log_int (&line, "known_good", state->known_good);
    }
  log_end (&line);
}

void
quarantines_adopt (struct quarantines *quarantines, const char *peer,
                   const struct quarantine_state *state, const char *source)
{
  struct action_list list;

  action_list_init (&list);
  if (quarantine_state_received (quarantines->quarantine, peer, state,
                                 quarantines_now (quarantines), &list))
    quarantines_log (quarantines, EVENT_FEATURE_QUARANTINED, state, source);
  quarantines_run (quarantines, &list);
}

/* Messages to other nodes.  */

static void
send_message (struct quarantines *quarantines, const char *node,
              const struct peer_msg *msg)
{
  if (*node != '\0')
    links_send (quarantines->links, node, msg);
  else
    links_fan_out (quarantines->links, msg);
}

static void
send_strikes (struct quarantines *quarantines,
              const struct quarantine_action *action, enum peer_msg_type type,
              const uint64_t *features, size_t count)
{
  struct peer_strike strikes[BLAME_FEATURES_MAX] = { 0 };
  struct peer_msg msg
      = { .type = type, .strikes = strikes, .strike_count = count };

  for (size_t i = 0; i < count; i++)
    {
      strikes[i].fingerprint = features[i];
      strikes[i].engine = action->engine;
      strikes[i].age_ms = (uint64_t)MAX (action->age_ms, 0);
    }
  send_message (quarantines, action->node, &msg);
}

static void
send_state (struct quarantines *quarantines,
            const struct quarantine_action *action, bool released)
{
  struct peer_quarantine state
      = { .feature = action->state.feature,
          .trials = action->state.trials,
          .age_ms = (uint64_t)MAX (action->state.age_ms, 0),
          .known_good = action->state.known_good,
          .released = released };
  struct peer_msg msg = { .type = PEER_QUARANTINE,
                          .quarantines = &state,
                          .quarantine_count = 1 };

  send_message (quarantines, action->node, &msg);
}

static void
run_action (struct quarantines *quarantines,
            const struct quarantine_action *action)
{
  const struct quarantine_state *state = &action->state;
  const uint64_t none = 0;

  switch ((enum quarantine_action_type)action->action.type)
    {
    case QUARANTINE_SEND_CRASH:
      send_strikes (quarantines, action, PEER_CRASH, action->features,
                    action->feature_count);
      break;
    case QUARANTINE_SEND_ALIVE:
      send_strikes (quarantines, action, PEER_ALIVE, &none, 1);
      break;
    case QUARANTINE_SEND_ANSWERED:
      send_strikes (quarantines, action, PEER_ANSWERED, &state->feature, 1);
      break;
    case QUARANTINE_SEND_STATE:
      send_state (quarantines, action, false);
      if (*action->node == '\0')
        quarantines_log (quarantines, EVENT_FEATURE_QUARANTINED, state,
                         "self");
      break;
    case QUARANTINE_SEND_RELEASE:
      send_state (quarantines, action, true);
      if (*action->node == '\0')
        quarantines_log (quarantines, EVENT_FEATURE_RELEASED, state, "self");
      break;
    case QUARANTINE_STORE:
      quarantines_store (quarantines, state);
      break;
    case QUARANTINE_CLAIM:
      quarantines_claim (quarantines, state);
      break;
    case QUARANTINE_REMOVE:
      quarantines_remove (quarantines, state);
      break;
    case QUARANTINE_STORE_EVIDENCE:
      quarantines_store_evidence (quarantines);
      break;
    }
}

static void
set_judge_timer (struct quarantines *quarantines)
{
  struct timespec next = quarantine_next (quarantines->quarantine);

  if (ts_is_zero (next)
      || (!ts_is_zero (quarantines->judge_at)
          && ts_before (quarantines->judge_at, next)))
    return;
  next = ts_add_ms (
      next, g_rand_int_range (quarantines->core->rand, 0, JUDGE_JITTER_MS));
  quarantines->judge_at = next;
  loop_timer_set (quarantines->core->loop, &quarantines->judge_timer, next);
}

void
quarantines_run (struct quarantines *quarantines, struct action_list *list)
{
  struct action *action;

  while ((action = action_pop (list)) != NULL)
    {
      run_action (quarantines, (struct quarantine_action *)action);
      action_free (action);
    }
  set_judge_timer (quarantines);
}

static void
on_judge_timer (struct loop_timer *timer)
{
  struct quarantines *quarantines
      = (struct quarantines *)((char *)timer
                               - offsetof (struct quarantines, judge_timer));
  struct action_list list;

  quarantines->judge_at = (struct timespec){ 0 };
  action_list_init (&list);
  quarantine_tick (quarantines->quarantine, quarantines_now (quarantines),
                   &list);
  quarantines_run (quarantines, &list);
}

/* Requests.  */

struct quarantine_verdict
quarantines_check (struct quarantines *quarantines,
                   const struct blame_request *request)
{
  struct quarantine_verdict verdict;
  struct action_list list;

  action_list_init (&list);
  verdict = quarantine_check (quarantines->quarantine, request,
                              quarantines_now (quarantines), &list);
  quarantines_run (quarantines, &list);
  return verdict;
}

void
quarantines_crashed (struct quarantines *quarantines, const char *id,
                     const struct blame_request *request)
{
  struct action_list list;

  action_list_init (&list);
  quarantine_crashed (quarantines->quarantine, hash_id (id), request,
                      quarantines_now (quarantines), &list);
  quarantines_run (quarantines, &list);
}

void
quarantines_alive (struct quarantines *quarantines, const char *id,
                   struct timespec sent_at)
{
  struct action_list list;

  action_list_init (&list);
  quarantine_alive (quarantines->quarantine, hash_id (id), sent_at,
                    quarantines_now (quarantines), &list);
  quarantines_run (quarantines, &list);
}

void
quarantines_answered (struct quarantines *quarantines,
                      const struct blame_request *request)
{
  struct action_list list;

  action_list_init (&list);
  quarantine_answered (quarantines->quarantine, request,
                       quarantines_now (quarantines), &list);
  quarantines_run (quarantines, &list);
}

/* Messages of other nodes.  */

static void
receive_crash (struct quarantines *quarantines, const struct peer_msg *msg)
{
  uint64_t features[BLAME_FEATURES_MAX];
  struct blame_request request = { .features = features };
  struct action_list list;

  request.count = MIN (msg->strike_count, BLAME_FEATURES_MAX);
  if (request.count == 0)
    return;
  for (size_t i = 0; i < request.count; i++)
    features[i] = msg->strikes[i].fingerprint;
  action_list_init (&list);
  quarantine_crash_received (quarantines->quarantine, msg->strikes[0].engine,
                             &request, (int64_t)msg->strikes[0].age_ms,
                             quarantines_now (quarantines), &list);
  quarantines_run (quarantines, &list);
}

static void
receive_alive (struct quarantines *quarantines, const struct peer_msg *msg)
{
  for (size_t i = 0; i < msg->strike_count; i++)
    quarantine_alive_received (quarantines->quarantine, msg->strikes[i].engine,
                               (int64_t)msg->strikes[i].age_ms,
                               quarantines_now (quarantines));
}

static void
receive_answered (struct quarantines *quarantines, const struct peer_msg *msg)
{
  for (size_t i = 0; i < msg->strike_count; i++)
    quarantine_answered_received (
        quarantines->quarantine, msg->strikes[i].fingerprint,
        (int64_t)msg->strikes[i].age_ms, quarantines_now (quarantines));
}

static void
receive_states (struct quarantines *quarantines, const char *from,
                const struct peer_msg *msg)
{
  for (size_t i = 0; i < msg->quarantine_count; i++)
    {
      const struct peer_quarantine *received = &msg->quarantines[i];
      struct quarantine_state state = { .feature = received->feature,
                                        .trials = received->trials,
                                        .known_good = received->known_good,
                                        .age_ms = (int64_t)received->age_ms };

      if (!received->released)
        quarantines_adopt (quarantines, from, &state, from);
      else if (quarantine_released (quarantines->quarantine, state.feature))
        quarantines_log (quarantines, EVENT_FEATURE_RELEASED, &state, from);
    }
}

static void
handle_peer_message (struct quarantines *quarantines,
                     const struct links_msg *received)
{
  const struct peer_msg *msg = received->msg;

  if (msg->type < PEER_CRASH || msg->type > PEER_QUARANTINE)
    return;
  if (msg->relay)
    links_relay (quarantines->links, received->from, msg);
  if (msg->type == PEER_CRASH)
    receive_crash (quarantines, msg);
  else if (msg->type == PEER_ALIVE)
    receive_alive (quarantines, msg);
  else if (msg->type == PEER_ANSWERED)
    receive_answered (quarantines, msg);
  else
    receive_states (quarantines, received->from, msg);
}

static void
send_all (struct quarantines *quarantines, const char *node)
{
  struct action_list list;

  action_list_init (&list);
  quarantine_send_all (quarantines->quarantine, node,
                       quarantines_now (quarantines), &list);
  quarantines_run (quarantines, &list);
}

/* The service.  */

static void
quarantines_event (struct service *service, const struct kernel_event *event)
{
  struct quarantines *quarantines = (struct quarantines *)service;

  if (event->type == KERNEL_PEER_MESSAGE)
    handle_peer_message (quarantines, event->data);
  else if (event->type == KERNEL_PEER_CONNECTED)
    send_all (quarantines, event->data);
  else if (event->type == KERNEL_STORE_RESTORED)
    loop_timer_set (quarantines->core->loop, &quarantines->store_timer,
                    quarantines_now (quarantines));
}

static int
quarantines_start (struct service *service, struct kernel *kernel)
{
  struct quarantines *quarantines = (struct quarantines *)service;
  struct timespec now;

  quarantines->core = core_find (kernel);
  quarantines->links = links_find (kernel);
  now = quarantines_now (quarantines);
  quarantines->quarantine = quarantine_new (now);
  quarantines->judge_timer.fire = on_judge_timer;
  quarantines_start_table (quarantines);
  return 0;
}

static void
quarantines_stop (struct service *service)
{
  struct quarantines *quarantines = (struct quarantines *)service;
  struct loop *loop = quarantines->core->loop;

  loop_timer_clear (loop, &quarantines->judge_timer);
  loop_timer_clear (loop, &quarantines->list_timer);
  loop_timer_clear (loop, &quarantines->store_timer);
}

static const struct service_ops ops
    = { quarantines_start, quarantines_stop, quarantines_event };

struct service *
quarantines_new (void)
{
  struct quarantines *quarantines = g_new0 (struct quarantines, 1);

  quarantines->service.ops = &ops;
  quarantines->service.name = QUARANTINES_NAME;
  return &quarantines->service;
}

void
quarantines_free (struct service *service)
{
  struct quarantines *quarantines = (struct quarantines *)service;

  if (quarantines == NULL)
    return;
  quarantine_free (quarantines->quarantine);
  g_free (quarantines);
}

struct quarantines *
quarantines_find (struct kernel *kernel)
{
  return (struct quarantines *)kernel_find (kernel, QUARANTINES_NAME);
}

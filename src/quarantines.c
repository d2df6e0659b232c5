#include "quarantines.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <jansson.h>
#include <xxhash.h>
#include "backoff.h"
#include "badrow.h"
#include "core.h"
#include "counter.h"
#include "links.h"
#include "log.h"
#include "quarantine.h"
#include "ts.h"

#define TABLE "quarantine"
/* Rows of evidence, one a node; the others are named by their feature.  */
#define EVIDENCE_PREFIX "crashes:"
#define EVIDENCE_CRASHES_MAX 8   /* in a row, the latest */
#define EVIDENCE_REQUESTS_MAX 16 /* of one crash */
#define JUDGE_JITTER_MS 200 /* so that one node judges before the others */

struct quarantines
{
  struct service service; /* must be first: it is cast to this struct */
  struct core *core;
  struct links *links;
  struct quarantine *quarantine;
  struct loop_timer judge_timer;
  struct loop_timer list_timer;
  struct loop_timer store_timer;
  unsigned store_failures;
  struct timespec judge_at; /* of JUDGE_TIMER; zero: not set */
  bool listed;
  bool listing; /* a list is in progress */
  unsigned list_failures;
};

/* A call to the table about one feature.  */
struct call
{
  struct quarantines *quarantines;
  struct quarantine_state state;
};

static struct timespec
quarantines_now (const struct quarantines *quarantines)
{
  return loop_now (quarantines->core->loop);
}

static uint64_t
hash_id (const char *id)
{
  return XXH3_64bits (id, strlen (id)) | 1;
}

static void
log_state (const struct quarantines *quarantines, enum log_event event,
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

/* The table.  */

static char *
row_key (uint64_t feature)
{
  return g_strdup_printf (TABLE "/%016" PRIx64, feature);
}

static char *
row_value (const struct quarantine_state *state)
{
  json_t *json = json_pack ("{s:I, s:b}", "trials", (json_int_t)state->trials,
                            "known_good", state->known_good);
  char *text = json_dumps (json, JSON_COMPACT);

  json_decref (json);
  return text;
}

static bool
read_row (const struct platform_row *row, struct quarantine_state *state)
{
  const char *slash = strrchr (row->key, '/');
  json_t *json = json_loads (row->value, 0, NULL);
  json_int_t trials = 0;
  int known_good = 0;
  bool ok = json_unpack (json, "{s:I, s:b}", "trials", &trials, "known_good",
                         &known_good)
                == 0
            && trials >= 0;

  memset (state, 0, sizeof *state);
  state->feature = strtoull (slash != NULL ? slash + 1 : row->key, NULL, 16);
  state->trials = (uint64_t)trials;
  state->known_good = known_good != 0;
  json_decref (json);
  if (!ok)
    badrow_log (TABLE, row->key,
                "expected an object with members trials and known_good");
  return ok && state->feature != 0;
}

static void run_actions (struct quarantines *quarantines,
                         struct action_list *list);

static void
adopt (struct quarantines *quarantines, const char *peer,
       const struct quarantine_state *state, const char *source)
{
  struct action_list list;

  action_list_init (&list);
  if (quarantine_state_received (quarantines->quarantine, peer, state,
                                 quarantines_now (quarantines), &list))
    log_state (quarantines, EVENT_FEATURE_QUARANTINED, state, source);
  run_actions (quarantines, &list);
}

static void
write_text (const struct quarantines *quarantines, const char *key,
            const char *text, const struct platform_check *check,
            struct platform_txn_cb cb)
{
  struct core *core = quarantines->core;
  char *token = core_unique_id (core);
  struct platform_write write = { .key = key, .value = text };
  struct platform_txn txn = { .token = token,
                              .checks = check,
                              .check_count = check != NULL,
                              .writes = &write,
                              .write_count = 1 };

  core->platform->ops->txn (core->platform, &txn, cb);
  g_free (token);
}

/* Writes the row of the feature if it has VERSION.  */
static void
write_row (struct call *call, uint64_t version,
           void (*done) (void *user, enum platform_status status,
                         const struct platform_rows *rows))
{
  char *key = row_key (call->state.feature);
  char *value = row_value (&call->state);
  struct platform_check check = { .key = key, .version = version };
  struct platform_txn_cb cb = { .done = done, .user = call };

  write_text (call->quarantines, key, value, &check, cb);
  free (value);
  g_free (key);
}

static struct call *
call_new (struct quarantines *quarantines,
          const struct quarantine_state *state)
{
  struct call *call = g_new0 (struct call, 1);

  call->quarantines = quarantines;
  call->state = *state;
  return call;
}

static void
on_store_timer (struct loop_timer *timer)
{
  struct quarantines *quarantines
      = (struct quarantines *)((char *)timer
                               - offsetof (struct quarantines, store_timer));
  struct action_list list;

  action_list_init (&list);
  quarantine_store_all (quarantines->quarantine, &list);
  run_actions (quarantines, &list);
}

/* A conflict means that another node has written the row.  */
static void
on_stored (void *user, enum platform_status status,
           const struct platform_rows *rows)
{
  struct call *call = user;
  struct quarantines *quarantines = call->quarantines;

  (void)rows;
  g_free (call);
  if (status == PLATFORM_OK || status == PLATFORM_CONFLICT)
    quarantines->store_failures = 0;
  else
    loop_timer_set (quarantines->core->loop, &quarantines->store_timer,
                    backoff_retry_at (quarantines->store_failures++,
                                      quarantines->core->rand,
                                      quarantines_now (quarantines)));
}

/* Without the row the feature stays quarantined for nodes that start later,
   until a trial of theirs is answered.  */
static void
on_removed (void *user, enum platform_status status,
            const struct platform_rows *rows)
{
  struct call *call = user;

  (void)rows;
  if (status != PLATFORM_OK && status != PLATFORM_NOT_FOUND)
    log_state (call->quarantines, EVENT_FEATURE_ROW_KEPT, &call->state,
               "table");
  g_free (call);
}

static void
remove_row (struct call *call)
{
  char *key = row_key (call->state.feature);
  struct platform_txn_cb cb = { .done = on_removed, .user = call };

  write_text (call->quarantines, key, NULL, NULL, cb);
  g_free (key);
}

static void
on_claimed (void *user, enum platform_status status,
            const struct platform_rows *rows)
{
  struct call *call = user;
  struct quarantines *quarantines = call->quarantines;
  struct action_list list;

  (void)rows;
  action_list_init (&list);
  quarantine_claimed (quarantines->quarantine, call->state.feature,
                      status == PLATFORM_OK, quarantines_now (quarantines),
                      &list);
  run_actions (quarantines, &list);
  g_free (call);
}

/* The row was removed when the feature was released, which this node has
   missed.  */
static void
release_unknown (struct call *call)
{
  struct quarantines *quarantines = call->quarantines;

  if (quarantine_released (quarantines->quarantine, call->state.feature))
    log_state (quarantines, EVENT_FEATURE_RELEASED, &call->state, "table");
  g_free (call);
}

static void
on_claim_read (void *user, enum platform_status status,
               const struct platform_rows *rows)
{
  struct call *call = user;
  struct quarantine_state state;

  if (status == PLATFORM_OK && rows->count == 0)
    release_unknown (call);
  else if (status != PLATFORM_OK || !read_row (&rows->rows[0], &state))
    g_free (call);
  else if (state.trials != call->state.trials)
    {
      adopt (call->quarantines, "", &state, "table");
      g_free (call);
    }
  else
    {
      call->state.trials++;
      write_row (call, rows->rows[0].version, on_claimed);
    }
}

static void
claim (struct quarantines *quarantines, const struct quarantine_state *state)
{
  struct platform *platform = quarantines->core->platform;
  struct platform_rows_cb cb
      = { .done = on_claim_read, .user = call_new (quarantines, state) };
  char *key = row_key (state->feature);

  platform->ops->scan (platform, key, 1, cb);
  g_free (key);
}

/* Evidence in the table.  */

static json_t *
hash_json (uint64_t hash)
{
  return json_sprintf ("%016" PRIx64, hash);
}

static uint64_t
json_hash (const json_t *json)
{
  const char *text = json_string_value (json);

  return text != NULL ? strtoull (text, NULL, 16) : 0;
}

/* The row in the making: [[ENGINE, AGE_MS, [FEATURE, ...]], ...] and the age
   of the latest answer to each feature.  */
struct evidence
{
  const struct quarantines *quarantines;
  json_t *requests;
  json_t *answered;
};

static int64_t
age_ms (const struct quarantines *quarantines, struct timespec at)
{
  return ts_to_ms (ts_sub (quarantines_now (quarantines), at));
}

static void
add_feature (struct evidence *evidence, json_t *features, uint64_t feature)
{
  struct timespec at
      = quarantine_answered_at (evidence->quarantines->quarantine, feature);
  json_t *text = hash_json (feature);

  if (!ts_is_zero (at))
    json_object_set_new (evidence->answered, json_string_value (text),
                         json_integer (age_ms (evidence->quarantines, at)));
  json_array_append_new (features, text);
}

static void
add_request (void *user, uint64_t engine, const struct blame_request *request,
             struct timespec at)
{
  struct evidence *evidence = user;
  json_t *features = json_array ();

  for (size_t i = 0; i < request->count; i++)
    add_feature (evidence, features, request->features[i]);
  json_array_append_new (
      evidence->requests,
      json_pack ("[o, I, o]", hash_json (engine),
                 (json_int_t)age_ms (evidence->quarantines, at), features));
  if (json_array_size (evidence->requests) > EVIDENCE_REQUESTS_MAX)
    json_array_remove (evidence->requests, 0);
}

static char *
evidence_key (const struct quarantines *quarantines)
{
  return g_strconcat (TABLE "/" EVIDENCE_PREFIX, quarantines->core->node,
                      NULL);
}

/* A failure leaves the former row; the next crash writes it again.  */
static void
on_evidence_stored (void *user, enum platform_status status,
                    const struct platform_rows *rows)
{
  (void)user;
  (void)status;
  (void)rows;
}

static void
store_evidence (struct quarantines *quarantines)
{
  struct evidence evidence = { .quarantines = quarantines,
                               .requests = json_array (),
                               .answered = json_object () };
  struct platform_txn_cb cb = { .done = on_evidence_stored };
  char *key = evidence_key (quarantines);
  json_t *json;
  char *text;

  quarantine_each_crash (quarantines->quarantine, add_request, &evidence);
  json = json_pack ("{s:I, s:o, s:o}", "at_ms",
                    (json_int_t)(ts_to_ns (clk_wall (quarantines->core->clk))
                                 / TS_NS_PER_MS),
                    "requests", evidence.requests, "answered",
                    evidence.answered);
  text = json_dumps (json, JSON_COMPACT);
  write_text (quarantines, key, text, NULL, cb);
  free (text);
  json_decref (json);
  g_free (key);
}

static void
read_request (struct quarantines *quarantines, const json_t *row,
              int64_t row_age_ms)
{
  uint64_t features[BLAME_FEATURES_MAX];
  struct blame_request request = { .features = features };
  const json_t *list = json_array_get (row, 2);
  int64_t age = row_age_ms + json_integer_value (json_array_get (row, 1));
  struct action_list actions;
  const json_t *feature;
  size_t i;

  json_array_foreach (list, i, feature)
    {
      if (request.count < BLAME_FEATURES_MAX && json_hash (feature) != 0)
        features[request.count++] = json_hash (feature);
    }
  if (request.count == 0 || age > QUARANTINE_EVIDENCE_AGE_MS)
    return;
  action_list_init (&actions);
  quarantine_crash_received (quarantines->quarantine,
                             json_hash (json_array_get (row, 0)), &request,
                             age, quarantines_now (quarantines), &actions);
  run_actions (quarantines, &actions);
}

/* The answers come first: without them the crash would be judged wrongly.  */
static void
read_evidence (struct quarantines *quarantines, const struct platform_row *row)
{
  json_t *json = json_loads (row->value, 0, NULL);
  int64_t now_ms = ts_to_ns (clk_wall (quarantines->core->clk)) / TS_NS_PER_MS;
  int64_t row_age_ms
      = MAX (now_ms - json_integer_value (json_object_get (json, "at_ms")), 0);
  json_t *answered = json_object_get (json, "answered");
  const json_t *value;
  const char *feature;
  size_t i;

  json_object_foreach (answered, feature, value)
    quarantine_answered_received (quarantines->quarantine,
                                  strtoull (feature, NULL, 16),
                                  row_age_ms + json_integer_value (value),
                                  quarantines_now (quarantines));
  json_array_foreach (json_object_get (json, "requests"), i, value)
    read_request (quarantines, value, row_age_ms);
  if (!json_is_object (json))
    badrow_log (TABLE, row->key, "expected an object");
  json_decref (json);
}

/* Whether there is no link to some node, which may know more.  */
static bool
is_cut_off (const struct quarantines *quarantines)
{
  size_t count;
  const struct member_info *const *members
      = links_members (quarantines->links, &count);

  for (size_t i = 0; i < count; i++)
    if (members[i]->state != MEMBER_LEAVING
        && strcmp (members[i]->id, quarantines->core->node) != 0
        && !links_connected (quarantines->links, members[i]->id))
      return true;
  return false;
}

static void
read_any_row (struct quarantines *quarantines, const struct platform_row *row)
{
  struct quarantine_state state;

  if (row->value == NULL)
    return;
  if (g_str_has_prefix (row->key, EVIDENCE_PREFIX))
    read_evidence (quarantines, row);
  else if (read_row (row, &state))
    adopt (quarantines, "", &state, "table");
}

static void
on_list (void *user, enum platform_status status,
         const struct platform_changes *changes)
{
  struct quarantines *quarantines = user;
  struct timespec now = quarantines_now (quarantines);
  struct timespec next = ts_add_ms (now, QUARANTINES_POLL_MS);

  quarantines->listing = false;
  quarantines->listed = quarantines->listed || status == PLATFORM_OK;
  if (status == PLATFORM_OK)
    quarantines->list_failures = 0;
  else
    next = backoff_retry_at (quarantines->list_failures++,
                             quarantines->core->rand, now);
  for (size_t i = 0; status == PLATFORM_OK && i < changes->count; i++)
    read_any_row (quarantines, &changes->rows[i]);
  loop_timer_set (quarantines->core->loop, &quarantines->list_timer, next);
}

static void
on_list_timer (struct loop_timer *timer)
{
  struct quarantines *quarantines
      = (struct quarantines *)((char *)timer
                               - offsetof (struct quarantines, list_timer));
  struct platform *platform = quarantines->core->platform;
  struct platform_changes_cb cb = { .done = on_list, .user = quarantines };

  if (quarantines->listing || platform->ops->list == NULL)
    return;
  if (quarantines->listed && !is_cut_off (quarantines))
    {
      loop_timer_set (
          quarantines->core->loop, timer,
          ts_add_ms (quarantines_now (quarantines), QUARANTINES_POLL_MS));
      return;
    }
  quarantines->listing = true;
  platform->ops->list (platform, TABLE, cb);
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
        log_state (quarantines, EVENT_FEATURE_QUARANTINED, state, "self");
      break;
    case QUARANTINE_SEND_RELEASE:
      send_state (quarantines, action, true);
      if (*action->node == '\0')
        log_state (quarantines, EVENT_FEATURE_RELEASED, state, "self");
      break;
    case QUARANTINE_STORE:
      write_row (call_new (quarantines, state), 0, on_stored);
      break;
    case QUARANTINE_CLAIM:
      claim (quarantines, state);
      break;
    case QUARANTINE_REMOVE:
      remove_row (call_new (quarantines, state));
      break;
    case QUARANTINE_STORE_EVIDENCE:
      store_evidence (quarantines);
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

static void
run_actions (struct quarantines *quarantines, struct action_list *list)
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
  run_actions (quarantines, &list);
}

/* Requests.  */

int
quarantines_check (struct quarantines *quarantines,
                   const struct blame_request *request, int64_t *retry_ms)
{
  struct action_list list;
  int at;

  if (quarantine_count (quarantines->quarantine) == 0)
    return -1;
  action_list_init (&list);
  at = quarantine_check (quarantines->quarantine, request,
                         quarantines_now (quarantines), retry_ms, &list);
  run_actions (quarantines, &list);
  return at;
}

void
quarantines_crashed (struct quarantines *quarantines, const char *id,
                     const struct blame_request *request)
{
  struct action_list list;

  action_list_init (&list);
  quarantine_crashed (quarantines->quarantine, hash_id (id), request,
                      quarantines_now (quarantines), &list);
  run_actions (quarantines, &list);
}

void
quarantines_alive (struct quarantines *quarantines, const char *id,
                   struct timespec sent_at)
{
  struct action_list list;

  action_list_init (&list);
  quarantine_alive (quarantines->quarantine, hash_id (id), sent_at,
                    quarantines_now (quarantines), &list);
  run_actions (quarantines, &list);
}

void
quarantines_answered (struct quarantines *quarantines,
                      const struct blame_request *request)
{
  struct action_list list;

  action_list_init (&list);
  quarantine_answered (quarantines->quarantine, request,
                       quarantines_now (quarantines), &list);
  run_actions (quarantines, &list);
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
  run_actions (quarantines, &list);
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
        adopt (quarantines, from, &state, from);
      else if (quarantine_released (quarantines->quarantine, state.feature))
        log_state (quarantines, EVENT_FEATURE_RELEASED, &state, from);
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
  run_actions (quarantines, &list);
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
  quarantines->list_timer.fire = on_list_timer;
  quarantines->store_timer.fire = on_store_timer;
  loop_timer_set (quarantines->core->loop, &quarantines->list_timer, now);
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

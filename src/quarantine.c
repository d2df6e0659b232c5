#include "quarantine.h"

#include <string.h>
#include <glib.h>
#include "ts.h"

struct entry
{
  struct quarantine_state state;
  struct timespec since; /* STATE.age_ms is not kept up to date */
  struct timespec trial_at;
  struct timespec claim_until; /* a claim of this node is undecided */
  bool trial_granted;          /* the next request is the trial */
};

struct quarantine
{
  struct blame *blame;
  GHashTable *entries; /* feature -> struct entry */
  struct timespec judges_from;
  struct timespec judge_due; /* zero: no crash is left to be confirmed */
  /* When the evidence of this node is to be stored; zero: it was.  */
  struct timespec evidence_due;
  bool evidence_stored; /* some of the last QUARANTINE_EVIDENCE_AGE_MS */
};

struct quarantine *
quarantine_new (struct timespec now)
{
  struct quarantine *quarantine = g_new0 (struct quarantine, 1);

  quarantine->judges_from = ts_add_ms (now, QUARANTINE_START_MS);
  quarantine->blame = blame_new ();
  quarantine->entries
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return quarantine;
}

void
quarantine_free (struct quarantine *quarantine)
{
  if (quarantine == NULL)
    return;
  blame_free (quarantine->blame);
  g_hash_table_unref (quarantine->entries);
  g_free (quarantine);
}

unsigned
quarantine_count (const struct quarantine *quarantine)
{
  return g_hash_table_size (quarantine->entries);
}

static struct quarantine_action *
push (struct action_list *actions, enum quarantine_action_type type)
{
  return action_push (actions, sizeof (struct quarantine_action), (int)type);
}

static struct quarantine_action *
push_to (struct action_list *actions, enum quarantine_action_type type,
         const char *node)
{
  struct quarantine_action *action = push (actions, type);

  g_strlcpy (action->node, node, sizeof action->node);
  return action;
}

static void
set_request (struct quarantine_action *action, uint64_t engine,
             const struct blame_request *request)
{
  action->engine = engine;
  action->feature_count = MIN (request->count, BLAME_FEATURES_MAX);
  memcpy (action->features, request->features,
          action->feature_count * sizeof *action->features);
}

static void
push_state (struct action_list *actions, enum quarantine_action_type type,
            const struct quarantine_state *state)
{
  push (actions, type)->state = *state;
}

/* Entries.  */

static int64_t
trial_pause_ms (const struct quarantine_state *state)
{
  int64_t ms = state->known_good ? QUARANTINE_RETRIAL_MS : QUARANTINE_TRIAL_MS;

  for (uint64_t i = 0; i < state->trials && ms < QUARANTINE_TRIAL_MAX_MS; i++)
    ms *= QUARANTINE_TRIAL_FACTOR;
  return MIN (ms, QUARANTINE_TRIAL_MAX_MS);
}

static struct entry *
find_entry (const struct quarantine *quarantine, uint64_t feature)
{
  return g_hash_table_lookup (quarantine->entries, &feature);
}

/* Adds or updates an entry.  Returns false if STATE is not news.  */
static bool
set_entry (struct quarantine *quarantine, const struct quarantine_state *state,
           struct timespec now)
{
  struct entry *entry = find_entry (quarantine, state->feature);

  if (entry != NULL && entry->state.trials >= state->trials)
    return false;
  if (entry == NULL)
    {
      if (quarantine_count (quarantine) >= QUARANTINE_MAX)
        return false;
      entry = g_new0 (struct entry, 1);
      entry->state = *state;
      g_hash_table_insert (quarantine->entries, &entry->state.feature, entry);
    }
  entry->state.trials = state->trials;
  entry->since = ts_add_ms (now, -state->age_ms);
  entry->trial_at = ts_add_ms (now, trial_pause_ms (&entry->state));
  entry->claim_until = (struct timespec){ 0 };
  return true;
}

static void
release (struct quarantine *quarantine, uint64_t feature)
{
  g_hash_table_remove (quarantine->entries, &feature);
  blame_forgive (quarantine->blame, feature);
}

/* Requests.  */

static bool
takes_trial (struct entry *entry, struct timespec now,
             struct action_list *actions)
{
  if (entry->trial_granted)
    {
      entry->trial_granted = false;
      return true;
    }
  if (!ts_before (now, entry->trial_at)
      && !ts_before (now, entry->claim_until))
    {
      entry->claim_until = ts_add_ms (now, QUARANTINE_CLAIM_MS);
      push_state (actions, QUARANTINE_CLAIM, &entry->state);
    }
  return false;
}

struct quarantine_verdict
quarantine_check (struct quarantine *quarantine,
                  const struct blame_request *request, struct timespec now,
                  struct action_list *actions)
{
  struct quarantine_verdict verdict = { .rejected_for = -1 };

  for (size_t i = 0; i < request->count; i++)
    {
      struct entry *entry = find_entry (quarantine, request->features[i]);

      if (entry == NULL)
        continue;
      verdict.trial = takes_trial (entry, now, actions);
      if (verdict.trial)
        continue;
      verdict.rejected_for = (int)i;
      verdict.retry_ms = MAX (ts_to_ms (ts_sub (entry->trial_at, now)),
                              QUARANTINE_CLAIM_MS);
      break;
    }
  return verdict;
}

static void
push_answered (const struct quarantine *quarantine, uint64_t feature,
               struct timespec now, struct action_list *actions)
{
  struct timespec at = blame_answered_at (quarantine->blame, feature);
  struct quarantine_action *action = push (actions, QUARANTINE_SEND_ANSWERED);

  action->state.feature = feature;
  action->age_ms = ts_to_ms (ts_sub (now, at));
}

/* The features of a request that crashed may have been answered here only.  */
static void
tell_answers (struct quarantine *quarantine,
              const struct blame_request *request, struct timespec now,
              struct action_list *actions)
{
  for (size_t i = 0; i < request->count; i++)
    if (blame_tell (quarantine->blame, request->features[i]))
      push_answered (quarantine, request->features[i], now, actions);
}

/* A report on a crash AT was added.  */
static void
judge_later (struct quarantine *quarantine, struct timespec at,
             struct timespec now)
{
  struct timespec due = ts_max (now, ts_add_ms (at, BLAME_CONFIRM_MS));

  due = ts_max (due, quarantine->judges_from);
  if (ts_is_zero (quarantine->judge_due)
      || ts_before (due, quarantine->judge_due))
    quarantine->judge_due = due;
}

static void
evidence_changed (struct quarantine *quarantine, struct timespec now)
{
  if (ts_is_zero (quarantine->evidence_due))
    quarantine->evidence_due = ts_add_ms (now, QUARANTINE_EVIDENCE_MS);
}

void
quarantine_crashed (struct quarantine *quarantine, uint64_t engine,
                    const struct blame_request *request, struct timespec now,
                    struct action_list *actions)
{
  if (!blame_crash (quarantine->blame, engine, request, now))
    return;
  set_request (push (actions, QUARANTINE_SEND_CRASH), engine, request);
  judge_later (quarantine, now, now);
  evidence_changed (quarantine, now);
  tell_answers (quarantine, request, now, actions);
}

void
quarantine_alive (struct quarantine *quarantine, uint64_t engine,
                  struct timespec sent_at, struct timespec now,
                  struct action_list *actions)
{
  struct quarantine_action *action;

  if (!blame_alive (quarantine->blame, engine, sent_at, now))
    return;
  if (quarantine->evidence_stored)
    evidence_changed (quarantine, now);
  action = push (actions, QUARANTINE_SEND_ALIVE);
  action->engine = engine;
  action->age_ms = ts_to_ms (ts_sub (now, sent_at));
}

static void
push_feature (struct action_list *actions, enum quarantine_action_type type,
              uint64_t feature)
{
  push (actions, type)->state.feature = feature;
}

void
quarantine_answered (struct quarantine *quarantine,
                     const struct blame_request *request, struct timespec now,
                     struct action_list *actions)
{
  for (size_t i = 0; i < request->count; i++)
    {
      uint64_t feature = request->features[i];

      /* Most fingerprints never come again.  */
      if (i > 0 || blame_suspects (quarantine->blame, feature))
        blame_answered (quarantine->blame, feature, now, false);
      if (blame_tell_absolved (quarantine->blame, feature))
        push_answered (quarantine, feature, now, actions);
      if (find_entry (quarantine, feature) == NULL)
        continue;
      release (quarantine, feature);
      push_feature (actions, QUARANTINE_SEND_RELEASE, feature);
      push_feature (actions, QUARANTINE_REMOVE, feature);
    }
}

void
quarantine_claimed (struct quarantine *quarantine, uint64_t feature,
                    bool granted, struct timespec now,
                    struct action_list *actions)
{
  struct entry *entry = find_entry (quarantine, feature);
  struct quarantine_state state;

  if (entry == NULL || !granted)
    return;
  state = entry->state;
  state.trials++;
  state.age_ms = 0;
  set_entry (quarantine, &state, now);
  entry->trial_granted = true;
  push_state (actions, QUARANTINE_SEND_STATE, &state);
}

/* Messages from peers.  */

void
quarantine_crash_received (struct quarantine *quarantine, uint64_t engine,
                           const struct blame_request *request, int64_t age_ms,
                           struct timespec now, struct action_list *actions)
{
  struct timespec at = ts_add_ms (now, -age_ms);

  if (!blame_crash (quarantine->blame, engine, request, at))
    return;
  judge_later (quarantine, at, now);
  tell_answers (quarantine, request, now, actions);
}

void
quarantine_alive_received (struct quarantine *quarantine, uint64_t engine,
                           int64_t age_ms, struct timespec now)
{
  blame_alive (quarantine->blame, engine, ts_add_ms (now, -age_ms), now);
}

void
quarantine_answered_received (struct quarantine *quarantine, uint64_t feature,
                              int64_t age_ms, struct timespec now)
{
  blame_answered (quarantine->blame, feature, ts_add_ms (now, -age_ms), true);
}

bool
quarantine_state_received (struct quarantine *quarantine, const char *peer,
                           const struct quarantine_state *state,
                           struct timespec now, struct action_list *actions)
{
  struct timespec answered_at
      = blame_answered_at (quarantine->blame, state->feature);

  /* The peer has missed the release.  */
  if (ts_before (ts_add_ms (now, -state->age_ms), answered_at))
    {
      if (*peer != '\0')
        push_to (actions, QUARANTINE_SEND_RELEASE, peer)->state.feature
            = state->feature;
      return false;
    }
  return set_entry (quarantine, state, now);
}

bool
quarantine_released (struct quarantine *quarantine, uint64_t feature)
{
  bool found = find_entry (quarantine, feature) != NULL;

  release (quarantine, feature);
  return found;
}

/* What is sent to a peer that has connected.  */
struct catch_up
{
  struct quarantine *quarantine;
  const char *node;
  struct timespec now;
  struct action_list *actions;
};

static void
send_answered (const struct catch_up *catch_up, uint64_t feature)
{
  struct timespec at
      = blame_answered_at (catch_up->quarantine->blame, feature);
  struct quarantine_action *action;

  if (ts_is_zero (at))
    return;
  action
      = push_to (catch_up->actions, QUARANTINE_SEND_ANSWERED, catch_up->node);
  action->state.feature = feature;
  action->age_ms = ts_to_ms (ts_sub (catch_up->now, at));
}

/* The answers go first: without them the crash would be judged wrongly.  */
static void
send_crash (void *user, uint64_t engine, const struct blame_request *request,
            struct timespec at)
{
  const struct catch_up *catch_up = user;
  struct quarantine_action *action;

  for (size_t i = 0; i < request->count; i++)
    send_answered (catch_up, request->features[i]);
  action = push_to (catch_up->actions, QUARANTINE_SEND_CRASH, catch_up->node);
  set_request (action, engine, request);
  action->age_ms = ts_to_ms (ts_sub (catch_up->now, at));
}

void
quarantine_send_all (struct quarantine *quarantine, const char *node,
                     struct timespec now, struct action_list *actions)
{
  struct catch_up catch_up = {
    .quarantine = quarantine, .node = node, .now = now, .actions = actions
  };
  GHashTableIter iter;
  const struct entry *entry;

  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&entry))
    {
      struct quarantine_action *action
          = push_to (actions, QUARANTINE_SEND_STATE, node);

      action->state = entry->state;
      action->state.age_ms = ts_to_ms (ts_sub (now, entry->since));
    }
  blame_each (quarantine->blame, send_crash, &catch_up);
}

void
quarantine_store_all (struct quarantine *quarantine,
                      struct action_list *actions)
{
  GHashTableIter iter;
  const struct entry *entry;

  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&entry))
    push_state (actions, QUARANTINE_STORE, &entry->state);
}

/* Judging.  */

static bool
is_quarantined (void *user, uint64_t feature)
{
  return find_entry (user, feature) != NULL;
}

static void
store_evidence (struct quarantine *quarantine, struct timespec now,
                struct action_list *actions)
{
  struct timespec since = ts_add_ms (now, -QUARANTINE_EVIDENCE_AGE_MS);
  bool enough = blame_crashes (quarantine->blame, since)
                >= QUARANTINE_EVIDENCE_CRASHES;

  if (ts_is_zero (quarantine->evidence_due)
      || ts_before (now, quarantine->evidence_due))
    return;
  quarantine->evidence_due = (struct timespec){ 0 };
  if (enough || quarantine->evidence_stored)
    push (actions, QUARANTINE_STORE_EVIDENCE);
  quarantine->evidence_stored = enough;
}

void
quarantine_each_crash (const struct quarantine *quarantine,
                       void (*each) (void *user, uint64_t engine,
                                     const struct blame_request *request,
                                     struct timespec at),
                       void *user)
{
  blame_each (quarantine->blame, each, user);
}

struct timespec
quarantine_answered_at (const struct quarantine *quarantine, uint64_t feature)
{
  return blame_answered_at (quarantine->blame, feature);
}

void
quarantine_tick (struct quarantine *quarantine, struct timespec now,
                 struct action_list *actions)
{
  uint64_t feature;

  blame_expire (quarantine->blame, now);
  store_evidence (quarantine, now, actions);
  if (ts_before (now, quarantine->judges_from))
    return;
  quarantine->judge_due = blame_next (quarantine->blame, now);
  while ((feature
          = blame_find (quarantine->blame, is_quarantined, quarantine, now))
         != 0)
    {
      struct quarantine_state state
          = { .feature = feature,
              .known_good
              = !ts_is_zero (blame_answered_at (quarantine->blame, feature)) };

      if (!set_entry (quarantine, &state, now))
        return;
      push_state (actions, QUARANTINE_SEND_STATE, &state);
      push_state (actions, QUARANTINE_STORE, &state);
    }
}

struct timespec
quarantine_next (const struct quarantine *quarantine)
{
  if (ts_is_zero (quarantine->evidence_due))
    return quarantine->judge_due;
  if (ts_is_zero (quarantine->judge_due))
    return quarantine->evidence_due;
  return ts_min (quarantine->judge_due, quarantine->evidence_due);
}

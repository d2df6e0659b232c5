#include <stdlib.h>
#include <string.h>
#include "backoff.h"
#include "links.h"
#include "quarantine_row.h"
#include "quarantines_state.h"
#include "ts.h"

/* A call to the table about one feature.  */
struct call
{
  struct quarantines *quarantines;
  struct quarantine_state state;
};

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
  char *key = quarantine_row_key (call->state.feature);
  char *value = quarantine_row_text (&call->state);
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
  quarantines_run (quarantines, &list);
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

void
quarantines_store (struct quarantines *quarantines,
                   const struct quarantine_state *state)
{
  write_row (call_new (quarantines, state), 0, on_stored);
}

/* A row that was not removed keeps the feature quarantined for nodes that
   start later, until a trial of theirs is answered.  */
static void
on_removed (void *user, enum platform_status status,
            const struct platform_rows *rows)
{
  struct call *call = user;

  (void)rows;
  if (status != PLATFORM_OK && status != PLATFORM_NOT_FOUND)
    quarantines_log (call->quarantines, EVENT_FEATURE_ROW_KEPT, &call->state,
                     "table");
  g_free (call);
}

void
quarantines_remove (struct quarantines *quarantines,
                    const struct quarantine_state *state)
{
  struct call *call = call_new (quarantines, state);
  char *key = quarantine_row_key (call->state.feature);
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
  quarantines_run (quarantines, &list);
  g_free (call);
}

/* The row was removed when the feature was released, which this node has
   missed.  */
static void
release_unknown (struct call *call)
{
  struct quarantines *quarantines = call->quarantines;

  if (quarantine_released (quarantines->quarantine, call->state.feature))
    quarantines_log (quarantines, EVENT_FEATURE_RELEASED, &call->state,
                     "table");
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
  else if (status != PLATFORM_OK
           || !quarantine_row_read (&rows->rows[0], &state))
    g_free (call);
  else if (state.trials != call->state.trials)
    {
      quarantines_adopt (call->quarantines, "", &state, "table");
      g_free (call);
    }
  else
    {
      call->state.trials++;
      write_row (call, rows->rows[0].version, on_claimed);
    }
}

void
quarantines_claim (struct quarantines *quarantines,
                   const struct quarantine_state *state)
{
  struct platform *platform = quarantines->core->platform;
  struct platform_rows_cb cb
      = { .done = on_claim_read, .user = call_new (quarantines, state) };
  char *key = quarantine_row_key (state->feature);

  platform->ops->scan (platform, key, 1, cb);
  g_free (key);
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

static int64_t
wall_ms (const struct quarantines *quarantines)
{
  return ts_to_ns (clk_wall (quarantines->core->clk)) / TS_NS_PER_MS;
}

void
quarantines_store_evidence (struct quarantines *quarantines)
{
  struct platform_txn_cb cb = { .done = on_evidence_stored };
  char *key = quarantine_evidence_key (quarantines->core->node);
  char *text = quarantine_evidence_text (quarantines->quarantine,
                                         quarantines_now (quarantines),
                                         wall_ms (quarantines));

  write_text (quarantines, key, text, NULL, cb);
  free (text);
  g_free (key);
}

static void
read_evidence (struct quarantines *quarantines, const struct platform_row *row)
{
  struct action_list list;

  action_list_init (&list);
  quarantine_evidence_read (row, quarantines->quarantine,
                            quarantines_now (quarantines),
                            wall_ms (quarantines), &list);
  quarantines_run (quarantines, &list);
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
  if (quarantine_is_evidence (row))
    read_evidence (quarantines, row);
  else if (quarantine_row_read (row, &state))
    quarantines_adopt (quarantines, "", &state, "table");
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
  platform->ops->list (platform, QUARANTINE_TABLE, cb);
}

void
quarantines_start_table (struct quarantines *quarantines)
{
  quarantines->list_timer.fire = on_list_timer;
  quarantines->store_timer.fire = on_store_timer;
  loop_timer_set (quarantines->core->loop, &quarantines->list_timer,
                  quarantines_now (quarantines));
}

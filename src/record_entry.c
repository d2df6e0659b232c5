#include "record_entry.h"

#include <inttypes.h>
#include <string.h>
#include "ts.h"

struct record_entry *
record_entry_new (struct record *record, char *row)
{
  struct record_entry *entry = g_new0 (struct record_entry, 1);

  entry->row = row;
  TAILQ_INIT (&entry->waiters.list);
  entry->waiters.entry = entry;
  g_hash_table_insert (record->entries, row, entry);
  return entry;
}

bool
record_entry_has_no_waiters (const struct record_entry *entry)
{
  return TAILQ_EMPTY (&entry->waiters.list);
}

void
record_entry_reply (struct record *record, struct record_entry *entry,
                    enum msg_verdict verdict, struct action_list *actions)
{
  record_wait_reply_all (&record->wait, &entry->waiters, verdict, actions);
}

void
record_entry_reply_recorded (struct record *record, struct record_entry *entry,
                             const struct record_row *answer, const void *body,
                             size_t length, struct action_list *actions)
{
  record_wait_reply_recorded (&record->wait, &entry->waiters, answer, body,
                              length, actions);
}

void
record_entry_reply_mismatch (struct record *record, struct record_entry *entry,
                             uint64_t fingerprint, struct action_list *actions)
{
  record_wait_reply_mismatched (&record->wait, &entry->waiters, fingerprint,
                                actions);
}

void
record_entry_drop (struct record *record, struct record_entry *entry)
{
  if (entry->content.object != NULL)
    g_hash_table_remove (record->objects, entry->content.object);
  deadlines_remove (&record->retries, &entry->retry_node);
  g_hash_table_remove (record->entries, entry->row);
  record->buffered -= entry->content.length;
  record_row_clear (&entry->content);
  g_free (entry->row);
  g_free (entry->value);
  g_free (entry);
}

void
record_entry_retry (struct record *record, struct record_entry *entry,
                    struct timespec now)
{
  int64_t ms = RECORD_POLL_MS;

  for (unsigned i = 0; i < entry->tries && ms < RECORD_POLL_MAX_MS; i++)
    ms *= 2;
  entry->tries++;
  deadlines_set (&record->retries, &entry->retry_node,
                 ts_add_ms (now, MIN (ms, RECORD_POLL_MAX_MS)));
}

static void
write_row (struct record *record, struct record_entry *entry,
           enum record_row_state state, struct timespec now)
{
  entry->content.state = state;
  g_free (entry->value);
  entry->value = record_row_text (&entry->content);
  entry->write.row = entry->row;
  entry->write.version = entry->version;
  entry->write.value = entry->value;
  batch_add (record->batch, &entry->write, now);
}

void
record_entry_claim (struct record *record, struct record_entry *entry,
                    uint64_t version, struct timespec now)
{
  const struct record_waiter *first = TAILQ_FIRST (&entry->waiters.list);

  if (first == NULL)
    {
      record_entry_drop (record, entry);
      return;
    }
  entry->state = RECORD_ENTRY_CLAIMING;
  entry->version = version;
  entry->tries = 0;
  record_row_clear (&entry->content);
  entry->content.fingerprint = first->fingerprint;
  entry->content.claim
      = g_strdup_printf ("%s-%" PRIu64, record->name, ++record->next_claim);
  entry->content.at_s = ts_add (record->epoch, now).tv_sec;
  write_row (record, entry, RECORD_ROW_RUNNING, now);
}

void
record_entry_release (struct record *record, struct record_entry *entry,
                      struct timespec now)
{
  entry->state = RECORD_ENTRY_RELEASING;
  write_row (record, entry, RECORD_ROW_FREE, now);
}

void
record_entry_finish (struct record *record, struct record_entry *entry,
                     enum record_row_state state, struct timespec now)
{
  entry->state = RECORD_ENTRY_FINISHING;
  deadlines_remove (&record->retries, &entry->retry_node);
  write_row (record, entry, state, now);
}

/* The row was inserted: exactly one waiter receives MSG_VERDICT_RUN.  If none
   is left with the claimed fingerprint, releases the row.  */
static void
grant_claim (struct record *record, struct record_entry *entry,
             struct timespec now, struct action_list *actions)
{
  struct record_waiter *owner;

  TAILQ_FOREACH (owner, &entry->waiters.list, link)
    {
      if (owner->fingerprint == entry->content.fingerprint)
        break;
    }
  if (owner == NULL)
    {
      record_entry_release (record, entry, now);
      return;
    }
  entry->state = RECORD_ENTRY_RUNNING;
  record_wait_grant (&record->wait, owner, now, actions);
  record_entry_reply_mismatch (record, entry, entry->content.fingerprint,
                               actions);
  record_wait_use_deadlines (&record->wait, &entry->waiters);
}

static void
fetch_object (struct record *record, struct record_entry *entry,
              struct record_row *row, struct action_list *actions)
{
  record_row_clear (&entry->content);
  entry->content = *row;
  memset (row, 0, sizeof *row);
  entry->state = RECORD_ENTRY_FETCHING;
  g_hash_table_insert (record->objects, entry->content.object, entry);
  record_push_object (actions, RECORD_OBJECT_GET, entry->content.object);
  record_wait_use_deadlines (&record->wait, &entry->waiters);
}

static bool
is_member (const struct record *record, const char *node)
{
  for (guint i = 0; record->nodes != NULL && i < record->nodes->len; i++)
    if (strcmp (g_ptr_array_index (record->nodes, i), node) == 0)
      return true;
  return record->nodes == NULL;
}

/* Whether the process that owns ROW is gone: an earlier process of this node,
   or a node that is not a member.  */
static bool
owner_lost (const struct record *record, const struct record_row *row,
            struct timespec now)
{
  char *node = record_row_node (row->claim);
  bool lost;

  if (strcmp (node, record->node) == 0)
    lost = !g_str_has_prefix (row->claim, record->name);
  else
    lost = !is_member (record, node)
           && row->at_s + RECORD_OWNER_LOST_S
                  < ts_add (record->epoch, now).tv_sec;
  g_free (node);
  return lost;
}

/* Handles a row with another claim, or with an outcome.  */
static void
handle_claimed_row (struct record *record, struct record_entry *entry,
                    struct record_row *row, struct timespec now,
                    struct action_list *actions)
{
  record_entry_reply_mismatch (record, entry, row->fingerprint, actions);
  if (record_entry_has_no_waiters (entry))
    {
      record_entry_drop (record, entry);
      return;
    }
  if (row->state == RECORD_ROW_DONE && row->object != NULL)
    fetch_object (record, entry, row, actions);
  else if (row->state == RECORD_ROW_RUNNING && !owner_lost (record, row, now))
    {
      entry->state = RECORD_ENTRY_POLLING;
      record_wait_use_deadlines (&record->wait, &entry->waiters);
      record_entry_retry (record, entry, now);
    }
  else
    {
      if (row->state == RECORD_ROW_DONE)
        record_entry_reply_recorded (record, entry, row, row->body,
                                     row->length, actions);
      else
        record_entry_reply (record, entry, MSG_VERDICT_OUTCOME_UNKNOWN,
                            actions);
      record_entry_drop (record, entry);
    }
}

void
record_entry_resolve (struct record *record, struct record_entry *entry,
                      const struct platform_row *row, struct timespec now,
                      struct action_list *actions)
{
  struct record_row parsed;

  if (row == NULL || row->version == 0)
    record_entry_claim (record, entry, 0, now);
  else if (record_row_parse (row->value, &parsed) < 0)
    {
      record_entry_reply (record, entry, MSG_VERDICT_OUTCOME_UNKNOWN, actions);
      record_entry_drop (record, entry);
    }
  else
    {
      if (parsed.state == RECORD_ROW_FREE)
        record_entry_claim (record, entry, row->version, now);
      else
        handle_claimed_row (record, entry, &parsed, now, actions);
      record_row_clear (&parsed);
    }
}

/* Whether ROW holds this entry's own claim, written by an earlier
   transmission whose response was lost.  If so, STATE receives the state
   of the row.  */
static bool
holds_own_claim (const struct record_entry *entry,
                 const struct platform_row *row, enum record_row_state *state)
{
  struct record_row parsed;
  bool own;

  if (row->version == 0 || record_row_parse (row->value, &parsed) < 0)
    return false;
  own = strcmp (parsed.claim, entry->content.claim) == 0;
  *state = parsed.state;
  record_row_clear (&parsed);
  return own;
}

static void
handle_committed (struct record *record, struct record_entry *entry,
                  struct timespec now, struct action_list *actions)
{
  if (entry->state == RECORD_ENTRY_CLAIMING)
    grant_claim (record, entry, now, actions);
  else if (entry->state == RECORD_ENTRY_RELEASING)
    record_entry_claim (record, entry, entry->version, now);
  else
    record_entry_drop (record, entry);
}

void
record_entry_settled (void *user, struct batch_write *write, bool done,
                      const struct platform_row *row, struct timespec now,
                      struct action_list *actions)
{
  struct record *record = user;
  struct record_entry *entry = (struct record_entry *)write;
  enum record_row_state state;

  if (done)
    {
      entry->version++;
      handle_committed (record, entry, now, actions);
    }
  else if (holds_own_claim (entry, row, &state))
    {
      entry->version = row->version;
      if (state == entry->content.state)
        handle_committed (record, entry, now, actions);
      else
        write_row (record, entry, entry->content.state, now);
    }
  else if (entry->state == RECORD_ENTRY_FINISHING)
    record_entry_drop (record, entry);
  else
    record_entry_resolve (record, entry, row, now, actions);
}

#include "record.h"

#include <inttypes.h>
#include <string.h>
#include "record_clean.h"
#include "record_entry.h"
#include "ts.h"

static struct record_entry *
entry_of_retry_node (struct deadlines_node *node)
{
  return (struct record_entry *)((char *)node
                                 - offsetof (struct record_entry, retry_node));
}

/* Call when ENTRY may have lost its last waiter.  An entry whose row may be
   owned by this node is kept: the row is released once its state is known.  */
static void
drop_if_no_waiters (struct record *record, struct record_entry *entry)
{
  if (!record_entry_has_no_waiters (entry))
    return;
  if (entry->state == RECORD_ENTRY_POLLING
      || entry->state == RECORD_ENTRY_FETCHING
      || (entry->state == RECORD_ENTRY_CLAIMING
          && batch_cancel (record->batch, &entry->write)))
    record_entry_drop (record, entry);
}

static void
expire_waiters (struct record *record, struct timespec now,
                struct action_list *actions)
{
  struct deadlines_node *due;

  while ((due = deadlines_due (&record->wait.due, now)) != NULL)
    {
      struct record_waiter *waiter = (struct record_waiter *)due;
      struct record_entry *entry = waiter->list->entry;
      bool not_dispatched = entry->state == RECORD_ENTRY_CLAIMING
                            || entry->state == RECORD_ENTRY_RELEASING;

      record_wait_reply (&record->wait, waiter,
                         not_dispatched ? MSG_VERDICT_NOT_RUN
                                        : MSG_VERDICT_OUTCOME_UNKNOWN,
                         actions);
      drop_if_no_waiters (record, entry);
    }
}

static void
request_object_put (struct record_entry *entry, struct action_list *actions)
{
  struct record_action_object *put
      = record_push_object (actions, RECORD_OBJECT_PUT, entry->content.object);

  put->bytes = g_memdup2 (entry->content.body, entry->content.length);
  put->length = entry->content.length;
}

static void
run_due_retries (struct record *record, struct timespec now,
                 struct action_list *actions)
{
  struct deadlines_node *node;

  while ((node = deadlines_due (&record->retries, now)) != NULL)
    {
      struct record_entry *entry = entry_of_retry_node (node);

      deadlines_remove (&record->retries, node);
      if (entry->state == RECORD_ENTRY_POLLING)
        record_push_scan (actions, entry->row, 1);
      else if (entry->state == RECORD_ENTRY_FETCHING)
        record_push_object (actions, RECORD_OBJECT_GET, entry->content.object);
      else if (entry->state == RECORD_ENTRY_STORING)
        request_object_put (entry, actions);
    }
}

void
record_tick (struct record *record, struct timespec now,
             struct action_list *actions)
{
  expire_waiters (record, now, actions);
  run_due_retries (record, now, actions);
  batch_tick (record->batch, now, actions);
  record_clean_tick (record->clean, now, actions);
}

struct timespec
record_next (const struct record *record)
{
  const struct deadlines_node *due = deadlines_first (&record->wait.due);
  const struct deadlines_node *retry = deadlines_first (&record->retries);
  struct timespec next = record_clean_next (record->clean);
  struct timespec at;

  if (due != NULL)
    next = ts_min (next, due->at);
  if (retry != NULL)
    next = ts_min (next, retry->at);
  if (batch_next (record->batch, &at))
    next = ts_min (next, at);
  return next;
}

struct record *
record_new (const struct record_options *options)
{
  static const struct batch_ops ops = { record_entry_settled };
  struct record *record = g_new0 (struct record, 1);
  struct batch_options batch
      = { .ops = &ops, .user = record, .action_type = RECORD_TXN };

  record->name
      = g_strdup_printf ("%s-%" PRIx64, options->node, options->start);
  record->node = g_strdup (options->node);
  record->epoch = options->epoch;
  batch.name = record->name;
  record->batch = batch_new (&batch);
  record->clean = record_clean_new (options);
  record->entries = g_hash_table_new (g_str_hash, g_str_equal);
  record->objects = g_hash_table_new (g_str_hash, g_str_equal);
  record_wait_init (&record->wait);
  deadlines_init (&record->retries);
  return record;
}

static void
free_entry (gpointer key, gpointer value, gpointer user)
{
  struct record_entry *entry = value;

  (void)key;
  (void)user;
  record_row_clear (&entry->content);
  g_free (entry->row);
  g_free (entry->value);
  g_free (entry);
}

void
record_free (struct record *record)
{
  if (record == NULL)
    return;
  while (batch_detach_any (record->batch) != NULL)
    continue;
  batch_free (record->batch);
  record_clean_free (record->clean);
  g_hash_table_foreach (record->entries, free_entry, NULL);
  g_hash_table_destroy (record->entries);
  g_hash_table_destroy (record->objects);
  record_wait_clear (&record->wait);
  deadlines_clear (&record->retries);
  if (record->nodes != NULL)
    g_ptr_array_unref (record->nodes);
  g_free (record->name);
  g_free (record->node);
  g_free (record);
}

/* Handles a further request, now among the waiters, for a row that is already
   in use at this node.  */
static void
join_entry (struct record *record, struct record_entry *entry,
            struct action_list *actions)
{
  if (entry->state == RECORD_ENTRY_CLAIMING
      || entry->state == RECORD_ENTRY_RELEASING)
    return;
  record_wait_use_deadlines (&record->wait, &entry->waiters);
  if (entry->state == RECORD_ENTRY_POLLING)
    return;
  record_entry_reply_mismatch (record, entry, entry->content.fingerprint,
                               actions);
  if (entry->state == RECORD_ENTRY_RUNNING
      || entry->state == RECORD_ENTRY_FETCHING)
    return;
  if (entry->content.state == RECORD_ROW_DONE)
    record_entry_reply_recorded (record, entry, &entry->content,
                                 entry->content.body, entry->content.length,
                                 actions);
  else
    record_entry_reply (record, entry, MSG_VERDICT_OUTCOME_UNKNOWN, actions);
}

void
record_begin (struct record *record, const struct record_request *request,
              struct timespec now, struct action_list *actions)
{
  struct record_entry *entry;
  char *row;

  if (g_hash_table_size (record->wait.waiters) >= RECORD_PENDING_MAX
      || strlen (request->key) > RECORD_KEY_MAX
      || !ts_before (now, request->deadline))
    {
      record_push_verdict (actions, request->thread, request->request,
                           MSG_VERDICT_NOT_RUN);
      return;
    }
  row = record_row_key (request->target, request->key);
  entry = g_hash_table_lookup (record->entries, row);
  if (entry != NULL)
    {
      g_free (row);
      record_wait_add (&record->wait, &entry->waiters, request, now);
      join_entry (record, entry, actions);
    }
  else
    {
      entry = record_entry_new (record, row);
      record_wait_add (&record->wait, &entry->waiters, request, now);
      record_entry_claim (record, entry, 0, now);
    }
  record_tick (record, now, actions);
}

static void
buffer_response (struct record *record, struct record_entry *entry,
                 const struct record_outcome *outcome)
{
  entry->content.state = RECORD_ROW_DONE;
  entry->content.status = outcome->status;
  entry->content.content_type = g_strdup (outcome->content_type);
  entry->content.body = g_malloc0 (outcome->length + 1);
  if (outcome->length > 0)
    memcpy (entry->content.body, outcome->body, outcome->length);
  entry->content.length = outcome->length;
  record->buffered += outcome->length;
}

static bool
fits_inline (const struct record_row *row)
{
  return row->length <= RECORD_INLINE_MAX
         && g_utf8_validate (row->body, (gssize)row->length, NULL);
}

static void
store_object (struct record *record, struct record_entry *entry,
              struct timespec now, struct action_list *actions)
{
  entry->state = RECORD_ENTRY_STORING;
  entry->tries = 0;
  entry->content.object = g_strconcat ("record-", entry->content.claim, NULL);
  entry->object_deadline = ts_add_ms (now, RECORD_OBJECT_TIMEOUT_MS);
  g_hash_table_insert (record->objects, entry->content.object, entry);
  request_object_put (entry, actions);
}

static void
finish_run (struct record *record, struct record_entry *entry,
            const struct record_outcome *outcome, struct timespec now,
            struct action_list *actions)
{
  if (!outcome->complete
      || record->buffered + outcome->length > RECORD_BUFFERED_MAX)
    {
      record_entry_reply (record, entry, MSG_VERDICT_OUTCOME_UNKNOWN, actions);
      record_entry_finish (record, entry, RECORD_ROW_UNKNOWN, now);
      return;
    }
  buffer_response (record, entry, outcome);
  record_entry_reply_recorded (record, entry, &entry->content,
                               entry->content.body, entry->content.length,
                               actions);
  if (fits_inline (&entry->content))
    record_entry_finish (record, entry, RECORD_ROW_DONE, now);
  else
    store_object (record, entry, now, actions);
}

void
record_end (struct record *record, unsigned thread, uint64_t request,
            const struct record_outcome *outcome, struct timespec now,
            struct action_list *actions)
{
  struct record_waiter *owner
      = record_wait_find (&record->wait, thread, request);
  struct record_entry *entry;

  if (owner == NULL || owner->list != NULL)
    return;
  entry = owner->entry;
  record_wait_remove (&record->wait, owner);
  if (!outcome->ran)
    {
      record_wait_use_table_timeout (&record->wait, &entry->waiters, now);
      record_entry_release (record, entry, now);
    }
  else
    finish_run (record, entry, outcome, now, actions);
  record_tick (record, now, actions);
}

void
record_cancel (struct record *record, unsigned thread, uint64_t request,
               struct timespec now, struct action_list *actions)
{
  struct record_waiter *waiter
      = record_wait_find (&record->wait, thread, request);
  struct record_entry *entry;

  if (waiter == NULL || waiter->list == NULL)
    return;
  entry = waiter->list->entry;
  record_wait_remove (&record->wait, waiter);
  drop_if_no_waiters (record, entry);
  record_tick (record, now, actions);
}

void
record_txn_done (struct record *record, const char *token,
                 enum platform_status status, const struct platform_rows *rows,
                 struct timespec now, struct action_list *actions)
{
  expire_waiters (record, now, actions);
  batch_done (record->batch, token, status, rows, now, actions);
  record_clean_done (record->clean, token, status, rows, now, actions);
  record_tick (record, now, actions);
}

void
record_scan_done (struct record *record, const char *prefix,
                  enum platform_status status,
                  const struct platform_rows *rows, struct timespec now,
                  struct action_list *actions)
{
  struct record_entry *entry;

  expire_waiters (record, now, actions);
  if (record_clean_scanned (record->clean, prefix, status, rows, now))
    return;
  entry = g_hash_table_lookup (record->entries, prefix);
  if (entry == NULL || entry->state != RECORD_ENTRY_POLLING
      || entry->retry_node.slot != 0)
    return;
  if (status != PLATFORM_OK)
    record_entry_retry (record, entry, now);
  else
    record_entry_resolve (record, entry,
                          rows != NULL && rows->count > 0
                                  && strcmp (rows->rows[0].key, prefix) == 0
                              ? &rows->rows[0]
                              : NULL,
                          now, actions);
  record_tick (record, now, actions);
}

static void
handle_object_stored (struct record *record, struct record_entry *entry,
                      enum platform_status status, struct timespec now)
{
  if (status == PLATFORM_OK)
    {
      record_entry_finish (record, entry, RECORD_ROW_DONE, now);
    }
  else if (ts_before (now, entry->object_deadline))
    record_entry_retry (record, entry, now);
  else
    record_entry_finish (record, entry, RECORD_ROW_UNKNOWN, now);
}

static void
handle_object_fetched (struct record *record, struct record_entry *entry,
                       enum platform_status status, const void *bytes,
                       size_t length, struct timespec now,
                       struct action_list *actions)
{
  if (status == PLATFORM_OK)
    record_entry_reply_recorded (record, entry, &entry->content, bytes, length,
                                 actions);
  else if (status == PLATFORM_NOT_FOUND)
    record_entry_reply (record, entry, MSG_VERDICT_OUTCOME_UNKNOWN, actions);
  else
    record_entry_retry (record, entry, now);
  if (record_entry_has_no_waiters (entry))
    record_entry_drop (record, entry);
}

void
record_object_done (struct record *record, enum record_action_type type,
                    const char *key, enum platform_status status,
                    const void *bytes, size_t length, struct timespec now,
                    struct action_list *actions)
{
  struct record_entry *entry;

  expire_waiters (record, now, actions);
  entry = g_hash_table_lookup (record->objects, key);
  if (entry == NULL || entry->retry_node.slot != 0)
    return;
  if (type == RECORD_OBJECT_PUT && entry->state == RECORD_ENTRY_STORING)
    handle_object_stored (record, entry, status, now);
  else if (type == RECORD_OBJECT_GET && entry->state == RECORD_ENTRY_FETCHING)
    handle_object_fetched (record, entry, status, bytes, length, now, actions);
  record_tick (record, now, actions);
}

void
record_set_members (struct record *record, const char *const *nodes,
                    size_t count)
{
  if (record->nodes != NULL)
    g_ptr_array_unref (record->nodes);
  record->nodes = g_ptr_array_new_with_free_func (g_free);
  for (size_t i = 0; i < count; i++)
    g_ptr_array_add (record->nodes, g_strdup (nodes[i]));
}

void
record_set_node_count (struct record *record, unsigned nodes)
{
  record_clean_set_node_count (record->clean, nodes);
}

unsigned
record_pending (const struct record *record)
{
  return g_hash_table_size (record->entries);
}

#include "intent.h"

#include <errno.h>
#include <inttypes.h>
#include <string.h>
#include "backoff.h"
#include "intent_entry.h"
#include "leaserow.h"
#include "order.h"
#include "rows.h"
#include "ts.h"

#define GROUP_DELAY_MS 10
#define DELETE_DELAY_MS 500
#define TABLE_UNAVAILABLE_AFTER_MS 1000
#define GROUP_MAX 64 /* rows written by one transaction */
#define SCAN_LIMIT 512

/* The open transaction: a group of rows to write or delete.  */
struct group
{
  bool open;
  bool waiting;         /* for the response of the table */
  bool outcome_unknown; /* the response did not tell whether it took effect */
  uint64_t number;
  struct timespec begun_at;
  struct timespec retry_at;
  char *token;
  struct platform_check check;
  struct platform_write writes[GROUP_MAX];
  size_t count;
};

struct intent
{
  char *cell;
  char *lease_key;
  char *prefix;
  char *node;
  uint64_t incarnation;
  bool checks_fence;
  struct timespec group_delay;
  struct timespec delete_delay;
  struct timespec unavailable_after;
  GRand *rand;
  uint64_t fence;   /* 0: no lease */
  uint64_t version; /* of the lease row */
  bool ready;       /* the rows of predecessors have been read */
  bool table_unavailable;
  bool scanning;
  size_t scan_limit;
  struct timespec scan_at;
  unsigned failures; /* consecutive */
  uint64_t attempt_count;
  uint64_t token_count;
  struct group group;
  struct entry_list entries;
  GHashTable *by_id; /* borrows from ENTRIES */
};

struct intent *
intent_new (const struct intent_options *options)
{
  struct intent *intent = g_new0 (struct intent, 1);

  intent->cell = g_strdup (options->cell);
  intent->lease_key = g_strdup_printf ("cell/%s", options->cell);
  intent->prefix = g_strdup_printf ("intent/%s/", options->cell);
  intent->node = g_strdup (options->node);
  intent->incarnation = options->incarnation;
  intent->checks_fence = options->checks_fence;
  intent->group_delay = ts_or_ms (options->group_delay, GROUP_DELAY_MS);
  intent->delete_delay = ts_or_ms (options->delete_delay, DELETE_DELAY_MS);
  intent->unavailable_after
      = ts_or_ms (options->unavailable_after, TABLE_UNAVAILABLE_AFTER_MS);
  intent->rand = options->rand;
  CK_STAILQ_INIT (&intent->entries);
  intent->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  return intent;
}

static void
entry_remove (struct intent *intent, struct entry *entry)
{
  g_hash_table_remove (intent->by_id, entry->order.order_id);
  CK_STAILQ_REMOVE (&intent->entries, entry, entry, link);
  intent_entry_free (entry);
}

static void
group_close (struct group *group)
{
  g_free (group->token);
  memset (group, 0, sizeof *group);
}

void
intent_lost (struct intent *intent)
{
  struct entry *entry;

  group_close (&intent->group);
  while ((entry = CK_STAILQ_FIRST (&intent->entries)) != NULL)
    entry_remove (intent, entry);
  intent->fence = 0;
  intent->version = 0;
  intent->ready = false;
  intent->table_unavailable = false;
}

void
intent_free (struct intent *intent)
{
  if (intent == NULL)
    return;
  intent_lost (intent);
  g_hash_table_unref (intent->by_id);
  g_free (intent->cell);
  g_free (intent->lease_key);
  g_free (intent->prefix);
  g_free (intent->node);
  g_free (intent);
}

static struct entry *
entry_new (struct intent *intent, const struct backend_order *order,
           struct timespec now)
{
  struct entry *entry = intent_entry_new (intent->prefix, order, now);

  entry->order.fence = intent->fence;
  CK_STAILQ_INSERT_TAIL (&intent->entries, entry, link);
  g_hash_table_insert (intent->by_id, (char *)entry->order.order_id, entry);
  return entry;
}

static void
action_release (struct action *action)
{
  order_clear (&((struct intent_action *)action)->order);
}

static struct intent_action *
push (enum intent_action_type type, struct action_list *out)
{
  struct intent_action *action = action_push (out, sizeof *action, type);

  action->action.release = action_release;
  return action;
}

static void
release_order (struct intent *intent, struct entry *entry, bool rolled_forward,
               struct action_list *out)
{
  struct intent_action *action = push (INTENT_SEND, out);

  entry->released = true;
  order_copy (&action->order, &entry->order);
  action->rolled_forward = rolled_forward;
  action->unwritten = entry->state != WRITTEN;
  if (action->unwritten)
    intent->table_unavailable = true;
}

/* Counts a failed call to the table; returns when to try again.  */
static struct timespec
record_failure (struct intent *intent, struct timespec now)
{
  return backoff_retry_at (intent->failures++, intent->rand, now);
}

static void
scan (struct intent *intent, struct action_list *out)
{
  struct intent_action *action;

  if (intent->scanning)
    return;
  intent->scanning = true;
  action = push (INTENT_SCAN, out);
  action->prefix = intent->prefix;
  action->limit = intent->scan_limit;
}

void
intent_acquired (struct intent *intent, uint64_t fence, uint64_t version,
                 struct timespec now, struct action_list *out)
{
  intent_lost (intent);
  intent->fence = fence;
  intent->version = version;
  intent->failures = 0;
  intent->scan_limit = SCAN_LIMIT;
  intent->scan_at = now;
  scan (intent, out);
}

void
intent_renewed (struct intent *intent, uint64_t version)
{
  if (intent->fence != 0)
    intent->version = version;
}

int
intent_order (struct intent *intent, const struct backend_order *order,
              struct timespec now)
{
  if (!intent->ready)
    return -EAGAIN;
  if (g_hash_table_contains (intent->by_id, order->order_id))
    return -EEXIST;
  entry_new (intent, order, now);
  return 0;
}

void
intent_settled (struct intent *intent, const char *order_id,
                struct timespec now)
{
  struct entry *entry = g_hash_table_lookup (intent->by_id, order_id);

  if (entry == NULL || entry->settled)
    return;
  entry->settled = true;
  entry->since = now;
  if (entry->state == QUEUED)
    entry_remove (intent, entry);
}

static void
send_group (struct intent *intent, struct action_list *out)
{
  struct group *group = &intent->group;
  struct intent_action *action = push (INTENT_TXN, out);

  group->number = ++intent->attempt_count;
  group->waiting = true;
  action->attempt = group->number;
  action->txn.token = group->token;
  action->txn.checks = &group->check;
  action->txn.check_count = 1;
  action->txn.writes = group->writes;
  action->txn.write_count = group->count;
}

/* Gives the group a new transaction token and the current lease version.  */
static void
refresh_group_token (struct intent *intent)
{
  struct group *group = &intent->group;

  g_free (group->token);
  group->token = g_strdup_printf ("%s%s/%" PRIu64 "/%" PRIu64, intent->prefix,
                                  intent->node, intent->incarnation,
                                  ++intent->token_count);
  group->outcome_unknown = false;
  group->check.key = intent->lease_key;
  group->check.version = intent->version;
}

static void
add_to_group (struct group *group, struct entry *entry)
{
  struct platform_write *write = &group->writes[group->count++];

  write->key = entry->key;
  write->value = entry->state == QUEUED ? entry->value : NULL;
  entry->state = entry->state == QUEUED ? WRITING : DELETING;
}

/* Sets *AT to the time at which ENTRY requires a transaction, which then
   includes all other entries that can be written or deleted.  Returns false
   when ENTRY requires none.  */
static bool
entry_due_at (const struct intent *intent, const struct entry *entry,
              struct timespec *at)
{
  if (intent_entry_unwritten (entry))
    *at = ts_add (entry->since, intent->group_delay);
  else if (intent_entry_deletable (entry))
    *at = ts_add (entry->since, intent->delete_delay);
  else
    return false;
  return true;
}

static bool
group_due (const struct intent *intent, struct timespec now)
{
  const struct entry *entry;
  struct timespec at;

  CK_STAILQ_FOREACH (entry, &intent->entries, link)
    {
      if (entry_due_at (intent, entry, &at) && !ts_before (now, at))
        return true;
    }
  return false;
}

static void
begin_group (struct intent *intent, struct timespec now,
             struct action_list *out)
{
  struct group *group = &intent->group;
  struct entry *entry;

  group->open = true;
  group->begun_at = now;
  CK_STAILQ_FOREACH (entry, &intent->entries, link)
    {
      if (group->count < GROUP_MAX
          && (intent_entry_unwritten (entry)
              || intent_entry_deletable (entry)))
        add_to_group (group, entry);
    }
  refresh_group_token (intent);
  send_group (intent, out);
}

/* The open transaction took effect.  */
static void
commit_group (struct intent *intent, struct timespec now,
              struct action_list *out)
{
  struct entry *entry;
  struct entry *next;

  intent->failures = 0;
  intent->table_unavailable = false;
  group_close (&intent->group);
  CK_STAILQ_FOREACH_SAFE (entry, &intent->entries, link, next)
    {
      if (entry->state == DELETING)
        entry_remove (intent, entry);
      else if (entry->state == WRITING)
        {
          entry->state = WRITTEN;
          entry->since = now;
          if (!entry->released)
            release_order (intent, entry, false, out);
        }
    }
}

/* For when the table is unavailable and the engines check the fencing token:
   the reservation in memory suffices, see docs/design/leases.md.  */
static void
release_unwritten (struct intent *intent, struct action_list *out)
{
  struct entry *entry;

  CK_STAILQ_FOREACH (entry, &intent->entries, link)
    {
      if (!entry->released)
        release_order (intent, entry, false, out);
    }
}

static void
check_table (struct intent *intent, struct timespec now,
             struct action_list *out)
{
  struct timespec limit
      = ts_add (intent->group.begun_at, intent->unavailable_after);

  if (intent->group.open && !ts_before (now, limit))
    intent->table_unavailable = true;
  if (intent->table_unavailable && intent->checks_fence)
    release_unwritten (intent, out);
}

static void
retry_group (struct intent *intent, struct action_list *out)
{
  if (intent->group.outcome_unknown)
    scan (intent, out);
  else
    send_group (intent, out);
}

void
intent_tick (struct intent *intent, struct timespec now,
             struct action_list *out)
{
  struct group *group = &intent->group;

  if (intent->fence == 0)
    return;
  if (!intent->ready)
    {
      if (!ts_before (now, intent->scan_at))
        scan (intent, out);
      return;
    }
  if (!group->open && group_due (intent, now))
    begin_group (intent, now, out);
  else if (group->open && !group->waiting && !ts_before (now, group->retry_at))
    retry_group (intent, out);
  check_table (intent, now, out);
}

/* The earlier of A and B; a zero A means no time.  */
static struct timespec
earlier_nonzero (struct timespec a, struct timespec b)
{
  return ts_is_zero (a) ? b : ts_min (a, b);
}

static struct timespec
group_next_tick (const struct intent *intent)
{
  const struct group *group = &intent->group;
  struct timespec at = { 0, 0 };

  if (!intent->table_unavailable)
    at = ts_add (group->begun_at, intent->unavailable_after);
  if (!group->waiting && !intent->scanning)
    at = earlier_nonzero (at, group->retry_at);
  return at;
}

struct timespec
intent_next (const struct intent *intent)
{
  const struct entry *entry;
  struct timespec at;
  struct timespec first = { 0, 0 };

  if (intent->fence == 0 || (!intent->ready && intent->scanning))
    return first;
  if (!intent->ready)
    return intent->scan_at;
  if (intent->group.open)
    first = group_next_tick (intent);
  CK_STAILQ_FOREACH (entry, &intent->entries, link)
    {
      bool must_release = !entry->released && intent->table_unavailable
                          && intent->checks_fence;

      if (must_release)
        first = earlier_nonzero (first, entry->since);
      else if (!intent->group.open && entry_due_at (intent, entry, &at))
        first = earlier_nonzero (first, at);
    }
  return first;
}

/* Whether the rows show that the open transaction took effect.  */
static bool
group_took_effect (const struct group *group, const struct platform_rows *rows)
{
  bool writes = false;

  for (size_t i = 0; i < group->count; i++)
    {
      const struct platform_write *write = &group->writes[i];
      const struct platform_row *row = rows_find (rows, write->key);

      if (write->value != NULL && row != NULL
          && g_strcmp0 (row->token, group->token) == 0)
        return true;
      if (write->value == NULL && row != NULL)
        return false;
      writes = writes || write->value != NULL;
    }
  return !writes;
}

static void
recover_row (struct intent *intent, const struct platform_row *row,
             struct timespec now, struct action_list *out)
{
  struct backend_order order;
  struct entry *entry;

  if (order_from_json (row->value, &order) < 0)
    return;
  if (!g_hash_table_contains (intent->by_id, order.order_id))
    {
      entry = entry_new (intent, &order, now);
      entry->state = WRITTEN;
      release_order (intent, entry, true, out);
    }
  order_clear (&order);
}

static void
recover_rows (struct intent *intent, const struct platform_rows *rows,
              struct timespec now, struct action_list *out)
{
  if (rows->count >= intent->scan_limit)
    {
      intent->scan_limit *= 4;
      scan (intent, out);
      return;
    }
  for (size_t i = 0; i < rows->count; i++)
    recover_row (intent, &rows->rows[i], now, out);
  intent->failures = 0;
  intent->ready = true;
  push (INTENT_READY, out);
}

void
intent_rows (struct intent *intent, enum platform_status status,
             const struct platform_rows *rows, struct timespec now,
             struct action_list *out)
{
  static const struct platform_rows none;
  struct group *group = &intent->group;

  intent->scanning = false;
  if (intent->fence == 0)
    return;
  if (status != PLATFORM_OK && status != PLATFORM_NOT_FOUND)
    {
      intent->scan_at = record_failure (intent, now);
      group->retry_at = intent->scan_at;
      return;
    }
  if (rows == NULL)
    rows = &none;
  if (!intent->ready)
    recover_rows (intent, rows, now, out);
  else if (!group->open || group->waiting || !group->outcome_unknown)
    return;
  else if (group_took_effect (group, rows))
    commit_group (intent, now, out);
  else
    send_group (intent, out);
}

/* The version of the lease row has changed.  After a renewal of our own,
   retries at once with the new version.  With another holder, retries with
   backoff until intent_lost.  */
static void
handle_conflict (struct intent *intent, const struct platform_rows *rows,
                 struct timespec now, struct action_list *out)
{
  const struct platform_row *row = rows_find (rows, intent->lease_key);
  uint64_t fence = row != NULL ? leaserow_fence (row->value) : 0;

  if (row != NULL && fence == intent->fence
      && row->version != intent->group.check.version)
    {
      intent->version = row->version;
      refresh_group_token (intent);
      send_group (intent, out);
      return;
    }
  intent->group.retry_at = record_failure (intent, now);
  refresh_group_token (intent);
}

void
intent_txn_done (struct intent *intent, uint64_t attempt,
                 enum platform_status status, const struct platform_rows *rows,
                 struct timespec now, struct action_list *out)
{
  struct group *group = &intent->group;

  if (!group->open || group->number != attempt)
    return;
  group->waiting = false;
  if (status == PLATFORM_OK)
    commit_group (intent, now, out);
  else if (status == PLATFORM_CONFLICT)
    handle_conflict (intent, rows, now, out);
  else
    {
      if (status == PLATFORM_UNKNOWN)
        group->outcome_unknown = true;
      group->retry_at = record_failure (intent, now);
    }
}

bool
intent_ready (const struct intent *intent)
{
  return intent->ready;
}

bool
intent_table_unavailable (const struct intent *intent)
{
  return intent->table_unavailable;
}

size_t
intent_open (const struct intent *intent)
{
  return g_hash_table_size (intent->by_id);
}

size_t
intent_unsettled (const struct intent *intent)
{
  const struct entry *entry;
  size_t count = 0;

  CK_STAILQ_FOREACH (entry, &intent->entries, link)
    {
      count += !entry->settled;
    }
  return count;
}

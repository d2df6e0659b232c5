#include "replica_sync.h"

#include <string.h>
#include <glib.h>
#include "ts.h"

/* A replica as last sent or received.  */
struct entry
{
  struct peer_replica replica; /* strings owned */
  struct timespec at;          /* when it was sent or received */
  bool listed;                 /* in the list being compared */
};

struct replica_sender
{
  char *cell;
  uint64_t fence;
  uint64_t seq;
  GHashTable *entries; /* key to struct entry */
};

struct replica_receiver
{
  char *from;
  uint64_t fence;
  uint64_t seq;
  bool in_sync;         /* no gap since the last full list */
  struct timespec at;   /* see replica_receiver_updated_at */
  GHashTable *replicas; /* key to struct entry */
};

static char *
replica_key (const struct peer_replica *replica)
{
  const char *adapter = replica->adapter != NULL ? replica->adapter : "";

  return g_strjoin ("\n", replica->engine, replica->model, adapter, NULL);
}

static void
replica_copy (struct peer_replica *to, const struct peer_replica *from)
{
  *to = *from;
  to->engine = g_strdup (from->engine);
  to->address = g_strdup (from->address);
  to->zone = g_strdup (from->zone);
  to->pool = g_strdup (from->pool);
  to->model = g_strdup (from->model);
  to->adapter = g_strdup (from->adapter);
  to->version = g_strdup (from->version);
}

static void
replica_clear (struct peer_replica *replica)
{
  g_free (replica->engine);
  g_free (replica->address);
  g_free (replica->zone);
  g_free (replica->pool);
  g_free (replica->model);
  g_free (replica->adapter);
  g_free (replica->version);
}

static void
entry_free (gpointer pointer)
{
  struct entry *entry = pointer;

  replica_clear (&entry->replica);
  g_free (entry);
}

static GHashTable *
entry_table (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, entry_free);
}

static void
store_entry (GHashTable *table, const struct peer_replica *replica,
             struct timespec now)
{
  struct entry *entry = g_new0 (struct entry, 1);

  replica_copy (&entry->replica, replica);
  entry->at = now;
  entry->listed = true;
  g_hash_table_replace (table, replica_key (replica), entry);
}

struct replica_sender *
replica_sender_new (const char *cell, uint64_t fence)
{
  struct replica_sender *sender = g_new0 (struct replica_sender, 1);

  sender->cell = g_strdup (cell);
  sender->fence = fence;
  sender->entries = entry_table ();
  return sender;
}

void
replica_sender_free (struct replica_sender *sender)
{
  if (sender == NULL)
    return;
  g_hash_table_unref (sender->entries);
  g_free (sender->cell);
  g_free (sender);
}

static bool
same_placement (const struct peer_replica *a, const struct peer_replica *b)
{
  return a->state == b->state && a->leaving == b->leaving
         && a->slots == b->slots && a->born == b->born && a->kept == b->kept
         && g_strcmp0 (a->version, b->version) == 0
         && g_strcmp0 (a->address, b->address) == 0;
}

/* READY_MS of ENTRY's replica, counted from NOW.  */
static uint64_t
ready_ms_at (const struct entry *entry, struct timespec now)
{
  int64_t passed_ms = ts_to_ms (ts_sub (now, entry->at));
  int64_t left_ms = (int64_t)entry->replica.ready_ms - MAX (passed_ms, 0);

  return (uint64_t)MAX (left_ms, 0);
}

static bool
same_load (const struct entry *entry, const struct peer_replica *replica,
           struct timespec now)
{
  int64_t shift_ms
      = (int64_t)replica->ready_ms - (int64_t)ready_ms_at (entry, now);

  return entry->replica.running == replica->running
         && entry->replica.queued == replica->queued
         && ABS (shift_ms) <= REPLICA_SYNC_READY_MS;
}

static bool
needs_sending (const struct entry *entry, const struct peer_replica *replica,
               struct timespec now)
{
  if (entry == NULL || !same_placement (&entry->replica, replica))
    return true;
  if (same_load (entry, replica, now))
    return false;
  return !ts_before (now, ts_add_ms (entry->at, REPLICA_SYNC_LOAD_MS));
}

static void
append_replica (GArray *changes, const struct peer_replica *replica)
{
  struct peer_replica copy;

  replica_copy (&copy, replica);
  g_array_append_val (changes, copy);
}

static void
append_if_changed (struct replica_sender *sender,
                   const struct peer_replica *replica, struct timespec now,
                   GArray *changes)
{
  char *key = replica_key (replica);
  struct entry *entry = g_hash_table_lookup (sender->entries, key);

  g_free (key);
  if (needs_sending (entry, replica, now))
    {
      append_replica (changes, replica);
      store_entry (sender->entries, replica, now);
    }
  else
    entry->listed = true;
}

static void
append_removed (struct replica_sender *sender, GArray *changes)
{
  struct entry *entry;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, sender->entries);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&entry))
    {
      if (entry->listed)
        {
          entry->listed = false;
          continue;
        }
      entry->replica.gone = true;
      append_replica (changes, &entry->replica);
      g_hash_table_iter_remove (&iter);
    }
}

static void
append_entries (GHashTable *entries, struct timespec now, GArray *list)
{
  const struct entry *entry;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, entries);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&entry))
    {
      struct peer_replica replica = entry->replica;

      replica.ready_ms = ready_ms_at (entry, now);
      append_replica (list, &replica);
    }
}

static void
fill_msg (const struct replica_sender *sender, bool full, GArray *replicas,
          struct peer_msg *msg)
{
  memset (msg, 0, sizeof *msg);
  msg->type = PEER_REPLICAS;
  msg->cell = g_strdup (sender->cell);
  msg->fence = sender->fence;
  msg->seq = sender->seq;
  msg->full = full;
  msg->replica_count = replicas->len;
  msg->replicas = (struct peer_replica *)g_array_free (replicas, FALSE);
}

void
replica_sender_changes (struct replica_sender *sender,
                        const struct peer_replica *replicas, size_t count,
                        struct timespec now, struct peer_msg *msg)
{
  GArray *changes = g_array_new (FALSE, TRUE, sizeof (struct peer_replica));
  bool first = sender->seq == 0;

  for (size_t i = 0; i < count; i++)
    append_if_changed (sender, &replicas[i], now, changes);
  append_removed (sender, changes);
  if (changes->len > 0)
    sender->seq++;
  fill_msg (sender, first && changes->len > 0, changes, msg);
}

void
replica_sender_full (const struct replica_sender *sender, struct timespec now,
                     struct peer_msg *msg)
{
  GArray *all = g_array_new (FALSE, TRUE, sizeof (struct peer_replica));

  append_entries (sender->entries, now, all);
  fill_msg (sender, true, all, msg);
}

struct replica_receiver *
replica_receiver_new (void)
{
  struct replica_receiver *receiver = g_new0 (struct replica_receiver, 1);

  receiver->replicas = entry_table ();
  return receiver;
}

void
replica_receiver_free (struct replica_receiver *receiver)
{
  if (receiver == NULL)
    return;
  g_hash_table_unref (receiver->replicas);
  g_free (receiver->from);
  g_free (receiver);
}

/* Discards the list of the former source when the source changes.  */
static void
set_source (struct replica_receiver *receiver, const char *from,
            uint64_t fence)
{
  if (fence == receiver->fence && g_strcmp0 (receiver->from, from) == 0)
    return;
  g_hash_table_remove_all (receiver->replicas);
  g_free (receiver->from);
  receiver->from = g_strdup (from);
  receiver->fence = fence;
  receiver->seq = 0;
  receiver->in_sync = false;
}

static void
apply_changes (struct replica_receiver *receiver, const struct peer_msg *msg,
               struct timespec now)
{
  for (size_t i = 0; i < msg->replica_count; i++)
    {
      const struct peer_replica *replica = &msg->replicas[i];
      char *key;

      if (replica->engine == NULL || replica->model == NULL)
        continue;
      key = replica_key (replica);
      if (replica->gone)
        g_hash_table_remove (receiver->replicas, key);
      else
        store_entry (receiver->replicas, replica, now);
      g_free (key);
    }
}

static bool
is_next_message (const struct replica_receiver *receiver,
                 const struct peer_msg *msg)
{
  uint64_t expected = receiver->seq + (msg->replica_count > 0 ? 1 : 0);

  return receiver->in_sync && msg->seq == expected;
}

/* Whether all of MSG has been applied before: relays deliver copies, and a
   relay that is asked for the full list may be further behind.  */
static bool
is_repeated (const struct replica_receiver *receiver,
             const struct peer_msg *msg)
{
  if (!receiver->in_sync)
    return msg->full && msg->seq < receiver->seq;
  return msg->seq < receiver->seq
         || (msg->seq == receiver->seq && msg->replica_count > 0);
}

enum replica_sync_result
replica_receiver_apply (struct replica_receiver *receiver, const char *from,
                        const struct peer_msg *msg, struct timespec now)
{
  if (msg->fence < receiver->fence)
    return REPLICA_SYNC_STALE;
  set_source (receiver, from, msg->fence);
  receiver->at = now;
  if (is_repeated (receiver, msg))
    return REPLICA_SYNC_STALE;
  if (!msg->full && !is_next_message (receiver, msg))
    {
      receiver->in_sync = false;
      return REPLICA_SYNC_GAP;
    }
  if (msg->full)
    g_hash_table_remove_all (receiver->replicas);
  apply_changes (receiver, msg, now);
  receiver->seq = msg->seq;
  receiver->in_sync = true;
  return REPLICA_SYNC_APPLIED;
}

const char *
replica_receiver_source (const struct replica_receiver *receiver)
{
  return receiver->from;
}

uint64_t
replica_receiver_fence (const struct replica_receiver *receiver)
{
  return receiver->fence;
}

struct timespec
replica_receiver_updated_at (const struct replica_receiver *receiver)
{
  return receiver->at;
}

bool
replica_receiver_full (const struct replica_receiver *receiver,
                       const char *cell, struct timespec now,
                       struct peer_msg *msg)
{
  GArray *all;

  if (!receiver->in_sync)
    return false;
  all = g_array_new (FALSE, TRUE, sizeof (struct peer_replica));
  append_entries (receiver->replicas, now, all);
  memset (msg, 0, sizeof *msg);
  msg->type = PEER_REPLICAS;
  msg->cell = g_strdup (cell);
  msg->node = g_strdup (receiver->from);
  msg->fence = receiver->fence;
  msg->seq = receiver->seq;
  msg->full = true;
  msg->replica_count = all->len;
  msg->replicas = (struct peer_replica *)g_array_free (all, FALSE);
  return true;
}

void
replica_receiver_each (const struct replica_receiver *receiver,
                       void (*fn) (void *user,
                                   const struct peer_replica *replica),
                       void *user)
{
  struct entry *entry;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, receiver->replicas);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&entry))
    {
      entry->replica.ready_ms = ready_ms_at (entry, receiver->at);
      entry->at = receiver->at;
      fn (user, &entry->replica);
    }
}

#include "replica_sync.h"

#include <string.h>
#include <glib.h>
#include "ts.h"

/* What was told of one replica.  */
struct told
{
  struct peer_replica replica; /* strings owned */
  struct timespec at;
  bool seen; /* in the list that is being compared */
};

struct replica_sender
{
  char *cell;
  uint64_t fence;
  uint64_t seq;
  GHashTable *told; /* key to struct told */
};

struct replica_receiver
{
  char *from;
  uint64_t fence;
  uint64_t seq;
  bool whole; /* no gap since the last full message */
  struct timespec at;
  GHashTable *replicas; /* key to struct told */
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
told_free (gpointer pointer)
{
  struct told *told = pointer;

  replica_clear (&told->replica);
  g_free (told);
}

static GHashTable *
told_table (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, told_free);
}

static void
remember (GHashTable *table, const struct peer_replica *replica,
          struct timespec now)
{
  struct told *told = g_new0 (struct told, 1);

  replica_copy (&told->replica, replica);
  told->at = now;
  told->seen = true;
  g_hash_table_replace (table, replica_key (replica), told);
}

struct replica_sender *
replica_sender_new (const char *cell, uint64_t fence)
{
  struct replica_sender *out = g_new0 (struct replica_sender, 1);

  out->cell = g_strdup (cell);
  out->fence = fence;
  out->told = told_table ();
  return out;
}

void
replica_sender_free (struct replica_sender *out)
{
  if (out == NULL)
    return;
  g_hash_table_unref (out->told);
  g_free (out->cell);
  g_free (out);
}

static bool
same_place (const struct peer_replica *a, const struct peer_replica *b)
{
  return a->state == b->state && a->leaving == b->leaving
         && a->slots == b->slots && g_strcmp0 (a->version, b->version) == 0
         && g_strcmp0 (a->address, b->address) == 0;
}

static bool
same_load (const struct peer_replica *a, const struct peer_replica *b)
{
  return a->running == b->running && a->queued == b->queued
         && a->ready_ms == b->ready_ms;
}

static bool
to_be_told (const struct told *told, const struct peer_replica *replica,
            struct timespec now)
{
  if (told == NULL || !same_place (&told->replica, replica))
    return true;
  if (same_load (&told->replica, replica))
    return false;
  return !ts_before (now, ts_add_ms (told->at, REPLICA_SYNC_LOAD_MS));
}

static void
add (GArray *changes, const struct peer_replica *replica)
{
  struct peer_replica copy;

  replica_copy (&copy, replica);
  g_array_append_val (changes, copy);
}

static void
compare (struct replica_sender *out, const struct peer_replica *replica,
         struct timespec now, GArray *changes)
{
  char *key = replica_key (replica);
  struct told *told = g_hash_table_lookup (out->told, key);

  g_free (key);
  if (to_be_told (told, replica, now))
    {
      add (changes, replica);
      remember (out->told, replica, now);
    }
  else
    told->seen = true;
}

static void
add_gone (struct replica_sender *out, GArray *changes)
{
  struct told *told;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, out->told);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&told))
    {
      if (told->seen)
        {
          told->seen = false;
          continue;
        }
      told->replica.gone = true;
      add (changes, &told->replica);
      g_hash_table_iter_remove (&iter);
    }
}

static void
fill_msg (const struct replica_sender *out, bool full, GArray *replicas,
          struct peer_msg *msg)
{
  memset (msg, 0, sizeof *msg);
  msg->type = PEER_REPLICAS;
  msg->cell = g_strdup (out->cell);
  msg->fence = out->fence;
  msg->seq = out->seq;
  msg->full = full;
  msg->replica_count = replicas->len;
  msg->replicas = (struct peer_replica *)g_array_free (replicas, FALSE);
}

void
replica_sender_changes (struct replica_sender *out,
                        const struct peer_replica *replicas, size_t count,
                        struct timespec now, struct peer_msg *msg)
{
  GArray *changes = g_array_new (FALSE, TRUE, sizeof (struct peer_replica));

  for (size_t i = 0; i < count; i++)
    compare (out, &replicas[i], now, changes);
  add_gone (out, changes);
  if (changes->len > 0)
    out->seq++;
  fill_msg (out, false, changes, msg);
}

void
replica_sender_full (const struct replica_sender *out, struct peer_msg *msg)
{
  GArray *all = g_array_new (FALSE, TRUE, sizeof (struct peer_replica));
  const struct told *told;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, out->told);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&told))
    add (all, &told->replica);
  fill_msg (out, true, all, msg);
}

struct replica_receiver *
replica_receiver_new (void)
{
  struct replica_receiver *in = g_new0 (struct replica_receiver, 1);

  in->replicas = told_table ();
  return in;
}

void
replica_receiver_free (struct replica_receiver *in)
{
  if (in == NULL)
    return;
  g_hash_table_unref (in->replicas);
  g_free (in->from);
  g_free (in);
}

/* A higher token ends what the former decider said.  */
static void
adopt (struct replica_receiver *in, const char *from, uint64_t fence)
{
  if (fence == in->fence && g_strcmp0 (in->from, from) == 0)
    return;
  g_hash_table_remove_all (in->replicas);
  g_free (in->from);
  in->from = g_strdup (from);
  in->fence = fence;
  in->seq = 0;
  in->whole = false;
}

static void
apply (struct replica_receiver *in, const struct peer_msg *msg,
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
        g_hash_table_remove (in->replicas, key);
      else
        remember (in->replicas, replica, now);
      g_free (key);
    }
}

static bool
follows (const struct replica_receiver *in, const struct peer_msg *msg)
{
  uint64_t expected = in->seq + (msg->replica_count > 0 ? 1 : 0);

  return in->whole && msg->seq == expected;
}

enum replica_sync_result
replica_receiver_apply (struct replica_receiver *in, const char *from,
                        const struct peer_msg *msg, struct timespec now)
{
  if (msg->fence < in->fence)
    return REPLICA_SYNC_STALE;
  adopt (in, from, msg->fence);
  in->at = now;
  if (!msg->full && in->whole && msg->seq < in->seq)
    return REPLICA_SYNC_STALE;
  if (!msg->full && !follows (in, msg))
    {
      in->whole = false;
      return REPLICA_SYNC_GAP;
    }
  if (msg->full)
    g_hash_table_remove_all (in->replicas);
  apply (in, msg, now);
  in->seq = msg->seq;
  in->whole = true;
  return REPLICA_SYNC_APPLIED;
}

const char *
replica_receiver_source (const struct replica_receiver *in)
{
  return in->from;
}

uint64_t
replica_receiver_fence (const struct replica_receiver *in)
{
  return in->fence;
}

struct timespec
replica_receiver_updated_at (const struct replica_receiver *in)
{
  return in->at;
}

void
replica_receiver_each (const struct replica_receiver *in,
                       void (*fn) (void *user,
                                   const struct peer_replica *replica),
                       void *user)
{
  struct told *told;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, in->replicas);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&told))
    fn (user, &told->replica);
}

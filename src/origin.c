#include "origin.h"

#include <stdint.h>
#include <string.h>
#include <sys/queue.h>
#include <glib.h>
#include "lookup.h"
#include "ts.h"

#define COPIES_SEED 0x6f726967 /* independent of the other uses of weights */

struct entry
{
  TAILQ_ENTRY (entry) link;
  struct origin_stream stream;
  char *id;
  char *service;
  char *software;
};

TAILQ_HEAD (entry_list, entry);

struct origin
{
  GHashTable *streams;      /* id to struct entry */
  struct entry_list by_age; /* oldest first */
};

static void
remove_entry (struct origin *origin, struct entry *entry)
{
  TAILQ_REMOVE (&origin->by_age, entry, link);
  g_hash_table_remove (origin->streams, entry->id);
  g_free (entry->id);
  g_free (entry->service);
  g_free (entry->software);
  g_free (entry);
}

struct origin *
origin_new (void)
{
  struct origin *origin = g_new0 (struct origin, 1);

  origin->streams = g_hash_table_new (g_str_hash, g_str_equal);
  TAILQ_INIT (&origin->by_age);
  return origin;
}

void
origin_free (struct origin *origin)
{
  if (origin == NULL)
    return;
  while (!TAILQ_EMPTY (&origin->by_age))
    remove_entry (origin, TAILQ_FIRST (&origin->by_age));
  g_hash_table_unref (origin->streams);
  g_free (origin);
}

static struct entry *
add_entry (struct origin *origin, const char *id)
{
  struct entry *entry = g_new0 (struct entry, 1);

  if (g_hash_table_size (origin->streams) >= ORIGIN_STREAMS_MAX)
    remove_entry (origin, TAILQ_FIRST (&origin->by_age));
  entry->id = g_strdup (id);
  g_hash_table_insert (origin->streams, entry->id, entry);
  TAILQ_INSERT_TAIL (&origin->by_age, entry, link);
  return entry;
}

void
origin_put (struct origin *origin, const char *id, const char *service,
            const char *software, struct timespec expires)
{
  struct entry *entry = g_hash_table_lookup (origin->streams, id);

  if (entry == NULL)
    entry = add_entry (origin, id);
  g_free (entry->service);
  g_free (entry->software);
  entry->service = g_strdup (service);
  entry->software = g_strdup (software);
  entry->stream = (struct origin_stream){ .service = entry->service,
                                          .software = entry->software,
                                          .expires = expires };
}

const struct origin_stream *
origin_find (const struct origin *origin, const char *id, struct timespec now)
{
  const struct entry *entry = g_hash_table_lookup (origin->streams, id);

  if (entry == NULL || !ts_before (now, entry->stream.expires))
    return NULL;
  return &entry->stream;
}

void
origin_expire (struct origin *origin, struct timespec now)
{
  struct entry *entry;
  struct entry *next;

  for (entry = TAILQ_FIRST (&origin->by_age); entry != NULL; entry = next)
    {
      next = TAILQ_NEXT (entry, link);
      if (!ts_before (now, entry->stream.expires))
        remove_entry (origin, entry);
    }
}

/* Number of PICKED nodes in the zone of node AT; SIZE_MAX if AT is picked
   itself.  */
static size_t
zone_count (const struct origin_node *nodes, size_t at, const size_t *picked,
            size_t count)
{
  size_t n = 0;

  for (size_t i = 0; i < count; i++)
    {
      if (picked[i] == at)
        return SIZE_MAX;
      n += g_strcmp0 (nodes[picked[i]].zone, nodes[at].zone) == 0;
    }
  return n;
}

size_t
origin_nodes (const char *id, const struct origin_node *nodes, size_t count,
              size_t *picked, size_t max)
{
  uint64_t *weights = g_new (uint64_t, count);
  size_t n = 0;

  for (size_t i = 0; i < count; i++)
    weights[i] = lookup_weight (id, nodes[i].id, COPIES_SEED);
  for (; n < MIN (max, count); n++)
    {
      size_t fewest = SIZE_MAX;
      size_t best = 0;

      for (size_t i = 0; i < count; i++)
        {
          size_t in_zone = zone_count (nodes, i, picked, n);

          if (in_zone > fewest
              || (in_zone == fewest
                  && (in_zone == SIZE_MAX || weights[i] <= weights[best])))
            continue;
          fewest = in_zone;
          best = i;
        }
      picked[n] = best;
    }
  g_free (weights);
  return n;
}

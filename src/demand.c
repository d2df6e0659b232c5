#include "demand.h"

#include <glib.h>
#include "ts.h"

struct demand_table
{
  GHashTable *targets; /* name to struct entry */
};

struct part
{
  unsigned thread;
  unsigned waiting;
  struct timespec deadline;
  unsigned priority;
};

struct entry
{
  struct demand want;
  GArray *parts; /* struct part, one a thread that waits */
};

static void
entry_free (gpointer pointer)
{
  struct entry *entry = pointer;

  g_free (entry->want.target);
  g_array_unref (entry->parts);
  g_free (entry);
}

struct demand_table *
demand_new (void)
{
  struct demand_table *wants = g_new0 (struct demand_table, 1);

  wants->targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  return wants;
}

void
demand_free (struct demand_table *wants)
{
  if (wants == NULL)
    return;
  g_hash_table_unref (wants->targets);
  g_free (wants);
}

static struct entry *
get_entry (struct demand_table *wants, const char *target)
{
  struct entry *entry = g_hash_table_lookup (wants->targets, target);

  if (entry != NULL)
    return entry;
  entry = g_new0 (struct entry, 1);
  entry->want.target = g_strdup (target);
  entry->parts = g_array_new (FALSE, TRUE, sizeof (struct part));
  g_hash_table_insert (wants->targets, entry->want.target, entry);
  return entry;
}

void
demand_request_arrived (struct demand_table *wants, const char *target)
{
  struct entry *entry = get_entry (wants, target);

  entry->want.calls++;
  entry->want.changed = true;
}

static void
drop_part (GArray *parts, unsigned thread)
{
  for (guint i = 0; i < parts->len; i++)
    if (g_array_index (parts, struct part, i).thread == thread)
      {
        g_array_remove_index_fast (parts, i);
        return;
      }
}

static void
sum_up (struct entry *entry)
{
  struct demand *want = &entry->want;

  want->waiting = 0;
  want->priority = 0;
  for (guint i = 0; i < entry->parts->len; i++)
    {
      const struct part *part = &g_array_index (entry->parts, struct part, i);

      if (want->waiting == 0)
        want->deadline = part->deadline;
      want->deadline = ts_min (want->deadline, part->deadline);
      want->priority = MAX (want->priority, part->priority);
      want->waiting += part->waiting;
    }
  want->changed = true;
}

void
demand_set (struct demand_table *wants, unsigned thread, const char *target,
            unsigned waiting, struct timespec deadline, unsigned priority)
{
  struct entry *entry = get_entry (wants, target);
  struct part part = { .thread = thread,
                       .waiting = waiting,
                       .deadline = deadline,
                       .priority = priority };

  drop_part (entry->parts, thread);
  if (waiting > 0)
    g_array_append_val (entry->parts, part);
  sum_up (entry);
}

void
demand_each (struct demand_table *wants,
             void (*fn) (void *user, struct demand *), void *user)
{
  GHashTableIter iter;
  struct entry *entry;

  g_hash_table_iter_init (&iter, wants->targets);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&entry))
    fn (user, &entry->want);
}

void
demand_prune (struct demand_table *wants)
{
  GHashTableIter iter;
  struct entry *entry;

  g_hash_table_iter_init (&iter, wants->targets);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&entry))
    {
      const struct demand *want = &entry->want;

      if (!want->changed && want->waiting == 0 && want->calls == 0)
        g_hash_table_iter_remove (&iter);
    }
}

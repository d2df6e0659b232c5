#include "demand.h"

#include <glib.h>
#include "ts.h"

struct demand_table
{
  GHashTable *targets; /* name to struct entry */
};

struct thread_count
{
  unsigned thread;
  unsigned waiting;
  struct timespec deadline;
  unsigned priority;
};

struct entry
{
  struct demand demand;
  GArray *threads; /* struct thread_count: threads with waiting requests */
};

static void
entry_free (gpointer pointer)
{
  struct entry *entry = pointer;

  g_free (entry->demand.target);
  g_array_unref (entry->threads);
  g_free (entry);
}

struct demand_table *
demand_new (void)
{
  struct demand_table *table = g_new0 (struct demand_table, 1);

  table->targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  return table;
}

void
demand_free (struct demand_table *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->targets);
  g_free (table);
}

static struct entry *
get_entry (struct demand_table *table, const char *target)
{
  struct entry *entry = g_hash_table_lookup (table->targets, target);

  if (entry != NULL)
    return entry;
  entry = g_new0 (struct entry, 1);
  entry->demand.target = g_strdup (target);
  entry->threads = g_array_new (FALSE, TRUE, sizeof (struct thread_count));
  g_hash_table_insert (table->targets, entry->demand.target, entry);
  return entry;
}

void
demand_request_arrived (struct demand_table *table, const char *target)
{
  struct entry *entry = get_entry (table, target);

  entry->demand.calls++;
  entry->demand.changed = true;
}

static bool
same_kind (const struct demand_kind *a, const struct demand_kind *b)
{
  return a->objective_ms == b->objective_ms && a->gap_ms == b->gap_ms
         && a->priority == b->priority;
}

void
demand_request_arrived_as (struct demand_table *table, const char *target,
                           const struct demand_kind *kind)
{
  struct demand *demand = &get_entry (table, target)->demand;
  struct demand_kind *to = NULL;

  demand_request_arrived (table, target);
  for (unsigned i = 0; i < demand->kind_count && to == NULL; i++)
    if (same_kind (&demand->kinds[i], kind))
      to = &demand->kinds[i];
  if (to == NULL && demand->kind_count < DEMAND_KINDS)
    {
      to = &demand->kinds[demand->kind_count++];
      *to = (struct demand_kind){ .priority = kind->priority,
                                  .objective_ms = kind->objective_ms,
                                  .gap_ms = kind->gap_ms };
    }
  if (to == NULL)
    to = &demand->kinds[DEMAND_KINDS - 1];
  to->calls++;
  to->prompt_tokens += kind->prompt_tokens;
  to->shared_tokens += kind->shared_tokens;
  to->answer_tokens += kind->answer_tokens;
}

static void
remove_thread (GArray *threads, unsigned thread)
{
  for (guint i = 0; i < threads->len; i++)
    if (g_array_index (threads, struct thread_count, i).thread == thread)
      {
        g_array_remove_index_fast (threads, i);
        return;
      }
}

static void
update_totals (struct entry *entry)
{
  struct demand *demand = &entry->demand;

  demand->waiting = 0;
  demand->priority = 0;
  for (guint i = 0; i < entry->threads->len; i++)
    {
      const struct thread_count *count
          = &g_array_index (entry->threads, struct thread_count, i);

      if (demand->waiting == 0)
        demand->deadline = count->deadline;
      demand->deadline = ts_min (demand->deadline, count->deadline);
      demand->priority = MAX (demand->priority, count->priority);
      demand->waiting += count->waiting;
    }
  demand->changed = true;
}

void
demand_set (struct demand_table *table, unsigned thread, const char *target,
            unsigned waiting, struct timespec deadline, unsigned priority)
{
  struct entry *entry = get_entry (table, target);
  struct thread_count count = { .thread = thread,
                                .waiting = waiting,
                                .deadline = deadline,
                                .priority = priority };

  remove_thread (entry->threads, thread);
  if (waiting > 0)
    g_array_append_val (entry->threads, count);
  update_totals (entry);
}

unsigned
demand_waiting (const struct demand_table *table, const char *target)
{
  const struct entry *entry = g_hash_table_lookup (table->targets, target);

  return entry != NULL ? entry->demand.waiting : 0;
}

void
demand_each (struct demand_table *table,
             void (*fn) (void *user, struct demand *), void *user)
{
  GHashTableIter iter;
  struct entry *entry;

  g_hash_table_iter_init (&iter, table->targets);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&entry))
    fn (user, &entry->demand);
}

void
demand_prune (struct demand_table *table)
{
  GHashTableIter iter;
  struct entry *entry;

  g_hash_table_iter_init (&iter, table->targets);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&entry))
    {
      const struct demand *demand = &entry->demand;

      if (!demand->changed && demand->waiting == 0 && demand->calls == 0)
        g_hash_table_iter_remove (&iter);
    }
}

#include "demand_report.h"

#include <glib.h>
#include "counter.h"

struct target_count
{
  unsigned reported; /* last count sent to the control thread */
  unsigned waiting;
  unsigned priority; /* highest since the count was last zero */
  bool service;
  bool changed;
};

struct demand_report
{
  struct demand_report_options options;
  GHashTable *targets; /* name to struct target_count, owned */
  unsigned waiting;
  bool changed;
};

struct demand_report *
demand_report_new (const struct demand_report_options *options)
{
  struct demand_report *report = g_new0 (struct demand_report, 1);

  report->options = *options;
  report->targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return report;
}

void
demand_report_free (struct demand_report *report)
{
  if (report == NULL)
    return;
  g_hash_table_unref (report->targets);
  g_free (report);
}

void
demand_report_note (struct demand_report *report, const char *target,
                    unsigned priority, bool service)
{
  struct target_count *entry = g_hash_table_lookup (report->targets, target);

  if (entry == NULL)
    {
      entry = g_new0 (struct target_count, 1);
      entry->service = service;
      g_hash_table_insert (report->targets, g_strdup (target), entry);
    }
  entry->priority = MAX (entry->priority, priority);
  entry->changed = true;
  report->changed = true;
}

void
demand_report_each (struct demand_report *report,
                    void (*visit) (void *user, const char *target,
                                   bool service),
                    void *user)
{
  GList *names = g_hash_table_get_keys (report->targets);

  for (GList *at = names; at != NULL; at = at->next)
    {
      const struct target_count *entry
          = g_hash_table_lookup (report->targets, at->data);

      visit (user, at->data, entry->service);
    }
  g_list_free (names);
}

static int
send_report (const struct demand_report *report, const char *target,
             struct target_count *entry)
{
  struct msg *msg;
  int err;

  if (entry->service || entry->waiting == entry->reported)
    return 0;
  msg = msg_new (entry->waiting > entry->reported ? MSG_WAITING_INCREASED
                                                  : MSG_WAITING_DECREASED);
  msg->thread = report->options.thread;
  msg->target = g_strdup (target);
  msg->count = entry->waiting;
  msg->priority = entry->priority;
  admit_waiting_count (report->options.admit, target, &msg->deadline);
  err = report->options.send (report->options.user, msg);
  if (err < 0)
    msg_free (msg);
  else
    entry->reported = entry->waiting;
  return err;
}

static void
recount (struct demand_report *report, const char *target,
         struct target_count *entry)
{
  unsigned waiting = admit_waiting_count (report->options.admit, target, NULL);

  counter_add (COUNTER_WAITING, (int64_t)waiting - entry->waiting);
  report->waiting += waiting - entry->waiting;
  entry->waiting = waiting;
}

unsigned
demand_report_flush (struct demand_report *report)
{
  GHashTableIter iter;
  gpointer target;
  gpointer value;

  if (!report->changed)
    return report->waiting;
  report->changed = false;
  g_hash_table_iter_init (&iter, report->targets);
  while (g_hash_table_iter_next (&iter, &target, &value))
    {
      struct target_count *entry = value;

      if (!entry->changed)
        continue;
      recount (report, target, entry);
      if (send_report (report, target, entry) < 0)
        report->changed = true;
      else if (entry->waiting == 0)
        g_hash_table_iter_remove (&iter);
      else
        entry->changed = false;
    }
  return report->waiting;
}

#include "demand_report.h"

#include <glib.h>
#include "counter.h"

struct wanted
{
  unsigned told; /* count that the control thread knows */
  unsigned waiting;
  unsigned priority; /* highest since none waited */
  bool service;
  bool changed;
};

struct demand_report
{
  struct demand_report_options options;
  GHashTable *targets; /* name to struct wanted, owned */
  unsigned waiting;
  bool changed;
};

struct demand_report *
demand_report_new (const struct demand_report_options *options)
{
  struct demand_report *want = g_new0 (struct demand_report, 1);

  want->options = *options;
  want->targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return want;
}

void
demand_report_free (struct demand_report *want)
{
  if (want == NULL)
    return;
  g_hash_table_unref (want->targets);
  g_free (want);
}

void
demand_report_note (struct demand_report *want, const char *target,
                    unsigned priority, bool service)
{
  struct wanted *wanted = g_hash_table_lookup (want->targets, target);

  if (wanted == NULL)
    {
      wanted = g_new0 (struct wanted, 1);
      wanted->service = service;
      g_hash_table_insert (want->targets, g_strdup (target), wanted);
    }
  wanted->priority = MAX (wanted->priority, priority);
  wanted->changed = true;
  want->changed = true;
}

void
demand_report_each (struct demand_report *want,
                    void (*visit) (void *user, const char *target,
                                   bool service),
                    void *user)
{
  GList *names = g_hash_table_get_keys (want->targets);

  for (GList *at = names; at != NULL; at = at->next)
    {
      const struct wanted *wanted
          = g_hash_table_lookup (want->targets, at->data);

      visit (user, at->data, wanted->service);
    }
  g_list_free (names);
}

static int
tell (const struct demand_report *want, const char *target,
      struct wanted *wanted)
{
  struct msg *msg;
  int err;

  if (wanted->service || wanted->waiting == wanted->told)
    return 0;
  msg = msg_new (wanted->waiting > wanted->told ? MSG_WAITING_INCREASED
                                                : MSG_WAITING_DECREASED);
  msg->thread = want->options.thread;
  msg->target = g_strdup (target);
  msg->count = wanted->waiting;
  msg->priority = wanted->priority;
  admit_waiting_count (want->options.admit, target, &msg->deadline);
  err = want->options.send (want->options.user, msg);
  if (err < 0)
    msg_free (msg);
  else
    wanted->told = wanted->waiting;
  return err;
}

static void
recount (struct demand_report *want, const char *target, struct wanted *wanted)
{
  unsigned now = admit_waiting_count (want->options.admit, target, NULL);

  counter_add (COUNTER_WAITING, (int64_t)now - wanted->waiting);
  want->waiting += now - wanted->waiting;
  wanted->waiting = now;
}

unsigned
demand_report_flush (struct demand_report *want)
{
  GHashTableIter iter;
  gpointer target;
  gpointer value;

  if (!want->changed)
    return want->waiting;
  want->changed = false;
  g_hash_table_iter_init (&iter, want->targets);
  while (g_hash_table_iter_next (&iter, &target, &value))
    {
      struct wanted *wanted = value;

      if (!wanted->changed)
        continue;
      recount (want, target, wanted);
      if (tell (want, target, wanted) < 0)
        want->changed = true;
      else if (wanted->waiting == 0)
        g_hash_table_iter_remove (&iter);
      else
        wanted->changed = false;
    }
  return want->waiting;
}

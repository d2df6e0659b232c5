#include "record_action.h"

#include <glib.h>

static void
scan_release (struct action *action)
{
  g_free (((struct record_action_scan *)action)->prefix);
}

void
record_push_scan (struct action_list *actions, const char *prefix,
                  size_t limit)
{
  struct record_action_scan *scan
      = action_push (actions, sizeof *scan, RECORD_SCAN);

  scan->action.release = scan_release;
  scan->prefix = g_strdup (prefix);
  scan->limit = limit;
}

static void
object_release (struct action *action)
{
  struct record_action_object *object = (struct record_action_object *)action;

  g_free (object->key);
  g_free (object->bytes);
}

struct record_action_object *
record_push_object (struct action_list *actions, enum record_action_type type,
                    const char *key)
{
  struct record_action_object *object
      = action_push (actions, sizeof *object, (int)type);

  object->action.release = object_release;
  object->key = g_strdup (key);
  return object;
}

static void
verdict_release (struct action *action)
{
  struct record_action_verdict *verdict
      = (struct record_action_verdict *)action;

  g_free (verdict->content_type);
  g_free (verdict->body);
}

struct record_action_verdict *
record_push_verdict (struct action_list *actions, unsigned thread,
                     uint64_t request, enum msg_verdict verdict)
{
  struct record_action_verdict *action
      = action_push (actions, sizeof *action, RECORD_VERDICT);

  action->action.release = verdict_release;
  action->thread = thread;
  action->request = request;
  action->verdict = verdict;
  return action;
}

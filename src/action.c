#include "action.h"

#include <glib.h>

void
action_list_init (struct action_list *list)
{
  CK_STAILQ_INIT (list);
}

void *
action_push (struct action_list *list, size_t size, int type)
{
  struct action *action = g_malloc0 (size);

  action->type = type;
  CK_STAILQ_INSERT_TAIL (list, action, link);
  return action;
}

struct action *
action_pop (struct action_list *list)
{
  struct action *action = CK_STAILQ_FIRST (list);

  if (action != NULL)
    CK_STAILQ_REMOVE_HEAD (list, link);
  return action;
}

void
action_free (struct action *action)
{
  if (action == NULL)
    return;
  if (action->release != NULL)
    action->release (action);
  g_free (action);
}

void
action_list_clear (struct action_list *list)
{
  struct action *action;

  while ((action = action_pop (list)) != NULL)
    action_free (action);
}

/* action - list of the actions that a decision module returns.

   A decision module takes a typed event and the time NOW and appends typed
   actions to a list of its caller's.  Each module derives its own action
   struct with a struct action as first member, and defines an enum for TYPE.

   Ownership: the list owns its actions.  An action that was popped is freed
   with action_free, which first calls its RELEASE function.  Not
   thread-safe.  */

#ifndef PARSLEYRILL_ACTION_H
#define PARSLEYRILL_ACTION_H

#include <stddef.h>
#include <ck_queue.h>

struct action
{
  CK_STAILQ_ENTRY (action) link;
  int type;
  void (*release) (struct action *action); /* frees members; or NULL */
};

CK_STAILQ_HEAD (action_list, action);

void action_list_init (struct action_list *list);

/* Appends a zeroed action of SIZE bytes, at least sizeof (struct action).
   Aborts the process when memory is exhausted.  */
void *action_push (struct action_list *list, size_t size, int type);

/* Removes and returns the first action; NULL when LIST is empty.  */
struct action *action_pop (struct action_list *list);

void action_free (struct action *action);
void action_list_clear (struct action_list *list);

#endif

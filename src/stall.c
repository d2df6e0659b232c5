#include "stall.h"

enum stall_action
stall_decide (const struct stall *stall)
{
  if (!stall->may_retry)
    return STALL_WAIT;
  if (stall->other_ready)
    return STALL_MOVE;
  return stall->connection_suspect ? STALL_RECONNECT : STALL_WAIT;
}

const char *
stall_action_name (enum stall_action action)
{
  static const char *const names[] = { "wait", "move", "reconnect" };

  return names[action];
}

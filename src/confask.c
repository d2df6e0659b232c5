#include "confask.h"

#include <glib.h>
#include "ts.h"

void
confask_clear (struct confask *ask)
{
  g_free (ask->told_by);
  *ask = (struct confask){ 0 };
}

bool
confask_told (struct confask *ask, const char *node, uint64_t version,
              uint64_t own, struct timespec now)
{
  bool newer = version > ask->told_version;

  if (version <= own)
    return false;
  g_free (ask->told_by);
  ask->told_by = g_strdup (node);
  ask->told_version = MAX (ask->told_version, version);
  return newer || !ts_before (now, ask->ask_at);
}

void
confask_wait (struct confask *ask, struct timespec at)
{
  ask->ask_at = at;
}

bool
confask_next (const struct confask *ask, uint64_t own, struct timespec *at)
{
  *at = ask->ask_at;
  return ask->told_version > own;
}

const char *
confask_due (const struct confask *ask, uint64_t own, struct timespec now)
{
  struct timespec at;

  return confask_next (ask, own, &at) && !ts_before (now, at) ? ask->told_by
                                                              : NULL;
}

#include "confpull.h"

#include <glib.h>
#include "ts.h"

void
confpull_clear (struct confpull *ask)
{
  g_free (ask->told_by);
  *ask = (struct confpull){ 0 };
}

bool
confpull_offered (struct confpull *ask, const char *node, uint64_t version,
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
confpull_delay (struct confpull *ask, struct timespec at)
{
  ask->ask_at = at;
}

bool
confpull_next_due (const struct confpull *ask, uint64_t own,
                   struct timespec *at)
{
  *at = ask->ask_at;
  return ask->told_version > own;
}

const char *
confpull_due (const struct confpull *ask, uint64_t own, struct timespec now)
{
  struct timespec at;

  return confpull_next_due (ask, own, &at) && !ts_before (now, at)
             ? ask->told_by
             : NULL;
}

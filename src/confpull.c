#include "confpull.h"

#include <glib.h>
#include "ts.h"

void
confpull_clear (struct confpull *pull)
{
  g_free (pull->announced_by);
  *pull = (struct confpull){ 0 };
}

bool
confpull_offered (struct confpull *pull, const char *node, uint64_t version,
                  uint64_t own, struct timespec now)
{
  bool newer = version > pull->announced_version;

  if (version <= own)
    return false;
  g_free (pull->announced_by);
  pull->announced_by = g_strdup (node);
  pull->announced_version = MAX (pull->announced_version, version);
  return newer || !ts_before (now, pull->next_at);
}

void
confpull_delay (struct confpull *pull, struct timespec at)
{
  pull->next_at = at;
}

bool
confpull_next_due (const struct confpull *pull, uint64_t own,
                   struct timespec *at)
{
  *at = pull->next_at;
  return pull->announced_version > own;
}

const char *
confpull_due (const struct confpull *pull, uint64_t own, struct timespec now)
{
  struct timespec at;

  return confpull_next_due (pull, own, &at) && !ts_before (now, at)
             ? pull->announced_by
             : NULL;
}

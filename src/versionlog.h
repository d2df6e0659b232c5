/* versionlog - remembers in the platform's table which versions of the server
   software have served, for nodes that start.

   A service of the kernel, "versionlog".  A node that has just started does
   not know that servers of another version left a moment ago.  If all nodes
   start at once, no other node does either, and a stream that began at that
   version would be resumed at the only one that is listed.  So the decider
   keeps a row for each version of each service while its servers are listed
   and for VERSIONS_MEMORY_MS (versions.h) after that.  Each node reads the
   rows once, when it starts, and takes versions without servers for ones that
   have just left.

   One thread.  */

#ifndef PARSLEYRILL_VERSIONLOG_H
#define PARSLEYRILL_VERSIONLOG_H

#include <stdbool.h>
#include "kernel.h"

#define VERSIONLOG_NAME "versionlog"

struct versionlog;

struct service *versionlog_new (void);
void versionlog_free (struct service *service); /* may be NULL */
struct versionlog *versionlog_find (struct kernel *kernel);

/* Whether the rows have been read.  Until then any version may have served. */
bool versionlog_is_read (const struct versionlog *versionlog);

#endif

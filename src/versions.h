/* versions - the versions of the server software that serve, or have served
   recently, in each service.

   No I/O; one thread.  Ownership: strings are copied.  */

#ifndef PARSLEYRILL_VERSIONS_H
#define PARSLEYRILL_VERSIONS_H

#include <stdbool.h>
#include <time.h>

/* How long a version is remembered after its last server was removed: at least
   as long as a stream can be resumed.  */
#define VERSIONS_MEMORY_MS 120000

struct versions;

struct versions *versions_new (void);
void versions_free (struct versions *versions);

/* A server of SERVICE with SOFTWARE was added, or one was removed.  */
void versions_add (struct versions *versions, const char *service,
                   const char *software);
void versions_remove (struct versions *versions, const char *service,
                      const char *software, struct timespec now);

/* Servers of SERVICE with SOFTWARE may have served until NOW, if none does. */
void versions_recall (struct versions *versions, const char *service,
                      const char *software, struct timespec now);

/* Whether servers of SERVICE have SOFTWARE now or had it within
   VERSIONS_MEMORY_MS.  */
bool versions_remembers (const struct versions *versions, const char *service,
                         const char *software, struct timespec now);

/* The only version that servers of SERVICE have now or had within
   VERSIONS_MEMORY_MS; NULL if there are none or several.  Borrowed until the
   next call.  */
const char *versions_sole (struct versions *versions, const char *service,
                           struct timespec now);

#endif

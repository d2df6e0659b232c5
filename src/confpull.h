/* confpull - which peer to ask for a newer configuration, and when.

   Peers tell which version they have.  The last to tell of a newer one than
   this node's is asked, again and again until the highest told is in force:
   an ask or its answer may be lost with a link, and who told may be gone.

   Pure; one thread.  */

#ifndef PARSLEYRILL_CONFASK_H
#define PARSLEYRILL_CONFASK_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#define CONFPULL_INTERVAL_MS 500 /* between two asks */

struct confpull
{
  char *told_by;          /* owned; NULL: nobody told of a newer version */
  uint64_t told_version;  /* highest told */
  struct timespec ask_at; /* no ask before */
};

/* All zero at first.  */
void confpull_clear (struct confpull *ask);

/* NODE has VERSION; this node OWN.  True when NODE is to be asked at once:
   no ask is open for a version as high.  */
bool confpull_offered (struct confpull *ask, const char *node,
                       uint64_t version, uint64_t own, struct timespec now);

/* The peer to ask now, borrowed until the next call; NULL: none.  */
const char *confpull_due (const struct confpull *ask, uint64_t own,
                          struct timespec now);

/* No ask, or none more, before AT.  */
void confpull_delay (struct confpull *ask, struct timespec at);

/* When to ask next; false: not at all.  */
bool confpull_next_due (const struct confpull *ask, uint64_t own,
                        struct timespec *at);

#endif

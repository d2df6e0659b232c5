/* holders - index of the engines that hold each model or adapter.

   A target is "MODEL" or "MODEL/ADAPTER", see servers_target.  All operations
   take time in proportion to the entries that they concern, not to the number
   of engines.

   No I/O; one thread.  Ownership: names are copied.  */

#ifndef PARSLEYRILL_HOLDERS_H
#define PARSLEYRILL_HOLDERS_H

#include <stdbool.h>
#include <time.h>
#include <glib.h>

struct holder
{
  bool loaded;
  struct timespec ready_at; /* estimate while it is being loaded, else zero */
};

struct holders;

struct holders *holders_new (void);
void holders_free (struct holders *holders); /* NULL allowed */
void holders_clear (struct holders *holders);

/* Adds or replaces the entry of TARGET on ENGINE.  */
void holders_put (struct holders *holders, const char *engine,
                  const char *target, const struct holder *holder);
void holders_remove (struct holders *holders, const char *engine,
                     const char *target);
void holders_remove_engine (struct holders *holders, const char *engine);

/* Whether there is any entry for ENGINE.  */
bool holders_has_engine (const struct holders *holders, const char *engine);

/* Engine id to struct holder, for TARGET; NULL if there is none.  Borrowed
   until the next change.  */
GHashTable *holders_of (const struct holders *holders, const char *target);

#endif

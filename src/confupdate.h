/* confupdate - the difference between two versions of the configuration, as
   sent from one node to another.

   Pure functions, control thread.  */

#ifndef PARSLEYRILL_CONFUPDATE_H
#define PARSLEYRILL_CONFUPDATE_H

#include "confset.h"

/* The sections that changed after SINCE, and team and version of the others,
   so that a receiver with version SINCE or later can build VERSION.  */
struct confupdate
{
  uint64_t version;
  uint64_t since;
  struct confsync_section *sections; /* TEXT NULL: unchanged since SINCE */
  size_t count;
};

/* Fills UPDATE with what a node at version SINCE needs to build SET.  */
void confupdate_make (struct confupdate *update, const struct confset *set,
                      uint64_t since);

/* The set that results from applying UPDATE to OLD; NULL if neither of them
   has the text of a section in the version needed.  */
struct confset *confupdate_apply (const struct confset *old,
                                  const struct confupdate *update);

void confupdate_clear (struct confupdate *update);

#endif

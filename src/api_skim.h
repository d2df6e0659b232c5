/* api_skim - the outline of a large JSON object.

   A parsed value of a few bytes takes twenty times its text, so a body of some
   MB with many of them takes most of the memory of a small node.  Only some
   members of the outermost object matter here; arrays in them are replaced by
   [] or [0], and objects by {}.

   Pure functions, any thread.  */

#ifndef PARSLEYRILL_API_SKIM_H
#define PARSLEYRILL_API_SKIM_H

#include <stddef.h>

#define API_SKIM_DEPTH_MAX 2048 /* as the parser's */

#define API_SKIM_MEMBERS_MAX 1024

/* Returns the outline of the object in TEXT, to be freed with g_free and
   parsed; NULL when TEXT is no valid object, or more than API_SKIM_MEMBERS_MAX
   members matter.  NAMES, NULL-terminated: members that do; NULL: all.  Names
   with a backslash are kept in any case.  Not checked are the members of
   inner objects for names that occur twice, and numbers for their size.  */
char *api_skim (const char *text, size_t length, const char *const *names);

#endif

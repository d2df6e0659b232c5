/* ctl_diff - lists the differences between two JSON values.  */

#ifndef PARSLEYRILL_CTL_DIFF_H
#define PARSLEYRILL_CTL_DIFF_H

#include <jansson.h>

/* Returns a new array of {"place":POINTER,"was":VALUE,"now":VALUE}, sorted by
   place; "was" or "now" is omitted when there is no value.  Objects are
   compared member by member, other values as a whole.  NULL: no value.  */
json_t *ctl_diff (const json_t *was, const json_t *now);

#endif

/* spread - a choice among several, at random in proportion.

   Many nodes choose among the same servers by the same news.  If each took the
   cheapest one, all would send to the server that had reported the best figure
   last.  So the choice is random among those whose cost is within a margin of
   the least, in proportion to their capacity, less the nearer a cost is to the
   margin's end.

   Pure functions, any thread.  */

#ifndef PARSLEYRILL_SPREAD_H
#define PARSLEYRILL_SPREAD_H

#include <stddef.h>

struct spread_option
{
  double cost;     /* infinite: not an option */
  double capacity; /* relative to the others; positive */
};

/* The index of the choice for RANDOM, at least 0 and below 1.  -1 if there is
   no option.  MARGIN 0: the first cheapest one.  */
ptrdiff_t spread_choose (const struct spread_option *options, size_t count,
                         double margin, double random);

#endif

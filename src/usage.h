/* usage - counts the requests and tokens of each customer, for the metrics.

   At most USAGE_NAMES_MAX customers are told apart, in the order in which they
   came; the rest are counted together, so that the number of time series is
   bounded.  A name is kept when the configuration no longer has it, as
   counters must not fall.

   One thread.  */

#ifndef PARSLEYRILL_USAGE_H
#define PARSLEYRILL_USAGE_H

#include <stdint.h>
#include <glib.h>

#define USAGE_NAMES_MAX 64
#define USAGE_OTHER "other" /* name of the rest */

/* Tokens are those of requests that were sent to a server.  */
struct usage_counts
{
  uint64_t requests;
  uint64_t refused;
  uint64_t tokens;
};

struct usage;

struct usage *usage_new (void);
void usage_free (struct usage *usage); /* NULL allowed */

/* Of the customer NAME; borrowed until usage_free.  */
struct usage_counts *usage_of (struct usage *usage, const char *name);

/* Appends all counts to OUT, in Prometheus text format.  */
void usage_text (const struct usage *usage, GString *out);

#endif

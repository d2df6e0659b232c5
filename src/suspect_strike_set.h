/* suspect_strike_set - the strikes known to one node.

   Part of suspect.  Keeps struct suspect_table up to date.  */

#ifndef PARSLEYRILL_SUSPECT_STRIKE_SET_H
#define PARSLEYRILL_SUSPECT_STRIKE_SET_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include "suspect_table.h"

#define SUSPECT_REFUSE_STRIKES 2      /* requests with this many are refused */
#define SUSPECT_FINGERPRINTS_MAX 4096 /* fingerprints stored */
#define SUSPECT_STRIKES_MAX 4         /* strikes stored per fingerprint */
#define SUSPECT_ONE_STRIKE_TTL_MS 600000 /* lifetime of a single strike */
#define SUSPECT_REFUSE_TTL_MS 3600000    /* lifetime of two or more */
#define SUSPECT_SAME_CRASH_MS 5000       /* see struct suspect_strike */

struct suspect_strike_set;

/* One strike, or the removal of all older ones.  Strikes for one engine within
   SUSPECT_SAME_CRASH_MS are one crash seen by several nodes.  */
struct suspect_strike
{
  uint64_t fingerprint;
  uint64_t engine; /* hash of the id of the server that crashed */
  int64_t age_ms;  /* since the crash */
  bool cleared;    /* completed without a crash AGE_MS ago; ENGINE unused */
};

struct suspect_strike_set *
suspect_strike_set_new (struct suspect_table *table);
void suspect_strike_set_free (struct suspect_strike_set *set);

unsigned suspect_strike_set_count (struct suspect_strike_set *set,
                                   uint64_t fingerprint, struct timespec now);
void suspect_strike_set_add (struct suspect_strike_set *set,
                             const struct suspect_strike *strike,
                             struct timespec now);

/* Removes expired strikes.  */
void suspect_strike_set_expire (struct suspect_strike_set *set,
                                struct timespec now);

/* Calls EACH for every strike.  */
void suspect_strike_set_each (
    const struct suspect_strike_set *set, struct timespec now,
    void (*each) (void *user, const struct suspect_strike *strike),
    void *user);

#endif

/* suspect_strike_set - the strikes that one node knows of.

   Part of suspect.h.  Keeps struct suspect_table up to date.  */

#ifndef PARSLEYRILL_SUSPECT_STRIKE_SET_H
#define PARSLEYRILL_SUSPECT_STRIKE_SET_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include "suspect_table.h"

#define SUSPECT_REFUSE_STRIKES 2      /* refused from this number on */
#define SUSPECT_FINGERPRINTS_MAX 4096 /* fingerprints kept */
#define SUSPECT_STRIKES_MAX 4 /* backend servers kept per fingerprint */
#define SUSPECT_ONE_STRIKE_TTL_MS 600000 /* one strike */
#define SUSPECT_REFUSE_TTL_MS 3600000    /* two strikes */
#define SUSPECT_SAME_CRASH_MS                                                 \
  5000 /* two crashes of an engine are further apart */

struct suspect_strike_set;

/* One strike, or the end of all older ones.  Strikes of one engine within
   SUSPECT_SAME_CRASH_MS are one crash seen by several nodes.  */
struct suspect_strike
{
  uint64_t fingerprint;
  uint64_t engine; /* hash of the id of the backend server lost */
  int64_t age_ms;  /* since the crash */
  bool cleared;    /* an end without a crash AGE_MS ago, ENGINE unused */
};

struct suspect_strike_set *
suspect_strike_set_new (struct suspect_table *board);
void suspect_strike_set_free (struct suspect_strike_set *set);

unsigned suspect_strike_set_count (struct suspect_strike_set *set,
                                   uint64_t fingerprint, struct timespec now);
void suspect_strike_set_add (struct suspect_strike_set *set,
                             const struct suspect_strike *strike,
                             struct timespec now);

/* Drops what is too old.  */
void suspect_strike_set_expire (struct suspect_strike_set *set,
                                struct timespec now);

/* Every strike known.  */
void suspect_strike_set_each (
    const struct suspect_strike_set *set, struct timespec now,
    void (*each) (void *user, const struct suspect_strike *strike),
    void *user);

#endif

/* suspect_known - the strikes that one node knows of.

   Part of suspect.h.  Keeps struct suspect_table up to date.  */

#ifndef PARSLEYRILL_SUSPECT_KNOWN_H
#define PARSLEYRILL_SUSPECT_KNOWN_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include "suspect_table.h"

#define SUSPECT_REFUSE_STRIKES 2 /* refused from this number on */
#define SUSPECT_MAX 4096         /* fingerprints kept */
#define SUSPECT_ENGINES 4        /* backend servers kept per fingerprint */
#define SUSPECT_FADE_MS 600000   /* one strike */
#define SUSPECT_KEEP_MS 3600000  /* two strikes */
#define SUSPECT_SAME_MS 5000 /* two crashes of an engine are further apart */

struct suspect_known;

/* One strike, or the end of all older ones.  Strikes of one engine within
   SUSPECT_SAME_MS are one crash seen by several nodes.  */
struct suspect_strike
{
  uint64_t fingerprint;
  uint64_t engine; /* hash of the id of the backend server lost */
  int64_t age_ms;  /* since the crash */
  bool cleared;    /* an end without a crash AGE_MS ago, ENGINE unused */
};

struct suspect_known *suspect_known_new (struct suspect_table *board);
void suspect_known_free (struct suspect_known *set);

unsigned suspect_known_strikes (struct suspect_known *set,
                                uint64_t fingerprint, struct timespec now);
void suspect_known_learn (struct suspect_known *set,
                          const struct suspect_strike *strike,
                          struct timespec now);

/* Drops what is too old.  */
void suspect_known_fade (struct suspect_known *set, struct timespec now);

/* Every strike known.  */
void suspect_known_each (const struct suspect_known *set, struct timespec now,
                         void (*each) (void *user,
                                       const struct suspect_strike *strike),
                         void *user);

#endif

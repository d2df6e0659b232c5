/* suspect_table - number of strikes by fingerprint, for the traffic threads.

   Written by the control thread, read by any thread without a lock.  */

#ifndef PARSLEYRILL_SUSPECT_TABLE_H
#define PARSLEYRILL_SUSPECT_TABLE_H

#include <stdint.h>

struct suspect_table;

struct suspect_table *suspect_table_new (void);
void suspect_table_free (struct suspect_table *table);

/* Number of strikes of FINGERPRINT.  *LOST (LOST may be NULL) is the hash of
   the last backend server that crashed while running it, 0 when there is none.
   Any thread.  */
unsigned suspect_strikes (const struct suspect_table *table,
                          uint64_t fingerprint, uint64_t *lost);

/* Control thread.  */
void suspect_table_set (struct suspect_table *table, uint64_t fingerprint,
                        unsigned strikes, uint64_t lost);

#endif

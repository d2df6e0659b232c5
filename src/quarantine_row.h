/* quarantine_row - rows of the platform's table about quarantined features,
   and about the evidence of each node, as JSON.

   Does no I/O.  One thread.  Strings returned by *_key are freed with g_free,
   by *_text with free.  */

#ifndef PARSLEYRILL_QUARANTINE_ROW_H
#define PARSLEYRILL_QUARANTINE_ROW_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include "action.h"
#include "platform.h"
#include "quarantine.h"

#define QUARANTINE_TABLE "quarantine"

/* A quarantined feature.  */
char *quarantine_row_key (uint64_t feature);
char *quarantine_row_text (const struct quarantine_state *state);
/* Returns false, and logs, if ROW is malformed.  */
bool quarantine_row_read (const struct platform_row *row,
                          struct quarantine_state *state);

/* What a node knows of crashes.  WALL_MS is the time of day: the other nodes
   have other monotonic clocks.  */
char *quarantine_evidence_key (const char *node);
bool quarantine_is_evidence (const struct platform_row *row);
char *quarantine_evidence_text (const struct quarantine *quarantine,
                                struct timespec now, int64_t wall_ms);
void quarantine_evidence_read (const struct platform_row *row,
                               struct quarantine *quarantine,
                               struct timespec now, int64_t wall_ms,
                               struct action_list *actions);

#endif

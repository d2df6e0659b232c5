/* record_clean - deletes records whose retention time has passed.

   Each step scans one random part of the key space.  The part is narrowed
   while it holds more rows than one scan returns.  Internal to record.h,
   which passes events on.  */

#ifndef PARSLEYRILL_RECORD_CLEAN_H
#define PARSLEYRILL_RECORD_CLEAN_H

#include "record.h"

struct record_clean;

struct record_clean *record_clean_new (const struct record_options *options);
void record_clean_free (struct record_clean *clean);
void record_clean_set_node_count (struct record_clean *clean, unsigned nodes);

/* False when the scan of PREFIX was not requested by this module.  */
bool record_clean_scanned (struct record_clean *clean, const char *prefix,
                           enum platform_status status,
                           const struct platform_rows *rows,
                           struct timespec now);
void record_clean_done (struct record_clean *clean, const char *token,
                        enum platform_status status,
                        const struct platform_rows *rows, struct timespec now,
                        struct action_list *actions);
void record_clean_tick (struct record_clean *clean, struct timespec now,
                        struct action_list *actions);
struct timespec record_clean_next (const struct record_clean *clean);

#endif

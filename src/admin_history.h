/* admin_history - lists the accepted configuration changes for operators.

   Each call reads them from the platform's table.  Control thread only.  */

#ifndef PARSLEYRILL_ADMIN_HISTORY_H
#define PARSLEYRILL_ADMIN_HISTORY_H

#include <jansson.h>
#include "platform.h"

/* DONE is called later, exactly once, with an HTTP status and a new reference
   to the response body, whose format is in docs/PROTOCOLS.md.  */
void admin_history (struct platform *platform,
                    void (*done) (void *user, unsigned status, json_t *body),
                    void *user);

#endif

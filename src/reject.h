/* reject - counts and logs requests that the HTTP server rejected before
   passing them on.

   The rejected callback of struct httpd_options; may be called from any
   thread.  */

#ifndef PARSLEYRILL_REJECT_H
#define PARSLEYRILL_REJECT_H

#include "httpd.h"

/* USER is unused.  */
void reject_log (void *user, enum httpd_reject why, const char *fault);

#endif

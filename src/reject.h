/* reject - counts and logs requests that the HTTP server refused unread.

   The rejected callback of struct httpd_options; any thread.  */

#ifndef PARSLEYRILL_REJECT_H
#define PARSLEYRILL_REJECT_H

#include "httpd.h"

/* USER is not used.  */
void reject_log (void *user, enum httpd_reject why);

#endif

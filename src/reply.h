/* reply - responses that the node generates itself.  Worker's thread only.  */

#ifndef PARSLEYRILL_REPLY_H
#define PARSLEYRILL_REPLY_H

#include <stdbool.h>
#include "httpd.h"

struct reply_error
{
  unsigned status;
  const char *type;
  const char *message;
  bool not_run;
  unsigned retry_after_s; /* 0: no Retry-After */
  const char *allow;      /* methods for a 405, or NULL */
  bool close;             /* the connection ends after the response */
};

void reply_error (struct httpd_request *request,
                  const struct reply_error *error);
void reply_text (struct httpd_request *request, unsigned status,
                 const char *content_type, const char *text);

#endif

/* ctl_call - a blocking HTTP request to the nodes given to parsleyctl.  */

#ifndef PARSLEYRILL_CTL_CALL_H
#define PARSLEYRILL_CTL_CALL_H

#include <stdbool.h>
#include <jansson.h>
#include "ctl.h"

struct ctl_response
{
  long status;  /* HTTP status; 0: none */
  bool unsent;  /* no node received any part of the request */
  char *error;  /* the reason when STATUS is 0, else NULL */
  json_t *json; /* NULL when the body is not JSON */
};

/* Sends METHOD PATH to the nodes in order until one responds.  Unless METHOD
   is GET, a request that a node may have received is not sent to another one.
   BODY may be NULL.  */
void ctl_call (const struct ctl_options *options, const char *method,
               const char *path, const char *body,
               struct ctl_response *response);
void ctl_response_clear (struct ctl_response *response);

#endif

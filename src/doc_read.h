/* doc_read - builds a struct doc from parsed JSON, for doc_parse.  */

#ifndef PARSLEYRILL_DOC_READ_H
#define PARSLEYRILL_DOC_READ_H

#include <jansson.h>
#include "doc.h"

/* Returns a document with one reference and without its text.  It may be used
   only if no finding was added.  */
struct doc *doc_read (const json_t *json, struct findings *findings);

#endif

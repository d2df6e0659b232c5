/* finding - errors found in an input, collected with their locations and
   reported together.

   Ownership: a struct findings owns its entries until findings_clear.  Not
   thread-safe.  */

#ifndef PARSLEYRILL_FINDING_H
#define PARSLEYRILL_FINDING_H

#include <stddef.h>
#include <stdio.h>
#include <ck_queue.h>

struct finding
{
  CK_STAILQ_ENTRY (finding) link;
  char *place; /* flag, variable, JSON pointer or line:column */
  char *text;
};

CK_STAILQ_HEAD (finding_list, finding);

struct findings
{
  struct finding_list list;
  size_t count;
};

void findings_init (struct findings *findings);
void findings_add (struct findings *findings, const char *place,
                   const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Prints each finding as a line "PREFIX: PLACE: TEXT".  */
void findings_print (const struct findings *findings, const char *prefix,
                     FILE *out);
void findings_clear (struct findings *findings);

#endif

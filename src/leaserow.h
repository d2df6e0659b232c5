/* leaserow - the row of a lease, as one candidate has seen it.

   Part of lease; control thread only.  */

#ifndef PARSLEYRILL_LEASEROW_H
#define PARSLEYRILL_LEASEROW_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include "platform.h"

struct leaserow
{
  bool known;
  uint64_t version;
  struct timespec at; /* first seen at this version */
  char *holder;
  uint64_t incarnation;
  uint64_t fence;
  bool released;
  bool holder_dead;
};

/* ROW was read at NOW; NULL: there is none.  */
void leaserow_observe (struct leaserow *seen, const struct platform_row *row,
                       struct timespec now);

/* Fencing token in the text of a row; 0: none.  */
uint64_t leaserow_fence (const char *value);

/* Text of a row; the caller frees with g_free.  */
char *leaserow_text (const char *node, uint64_t incarnation, uint64_t fence,
                     bool released);

#endif

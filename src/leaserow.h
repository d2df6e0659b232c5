/* leaserow - the table row of a lease as last read, and its encoding.

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
  struct timespec at; /* when this version was first read */
  char *holder;
  uint64_t incarnation;
  uint64_t fence;
  uint64_t era; /* of the table, when the value was written; 0: unknown */
  bool released;
  bool holder_dead;
};

/* Records that ROW was read at NOW; NULL: it does not exist.  */
void leaserow_observe (struct leaserow *leaserow,
                       const struct platform_row *row, struct timespec now);

/* Fencing token in the value of a row; 0: none.  */
uint64_t leaserow_fence (const char *value);

/* Value of a row as JSON text; the caller frees it with g_free.  */
char *leaserow_text (const char *node, uint64_t incarnation, uint64_t fence,
                     uint64_t era, bool released);

#endif

/* order - copying and JSON encoding of struct backend_order.

   A copy owns its strings (g_malloc).  Pure functions, any thread.  */

#ifndef PARSLEYRILL_ORDER_H
#define PARSLEYRILL_ORDER_H

#include "backend.h"

void order_copy (struct backend_order *to, const struct backend_order *from);

/* Frees the strings of a copy and zeroes it.  */
void order_clear (struct backend_order *order);

/* JSON text without the fencing token; the caller frees it with g_free.  */
char *order_to_json (const struct backend_order *order);

/* Parses TEXT into a copy.  Returns -EINVAL and clears ORDER when TEXT is not
   a valid order.  */
int order_from_json (const char *text, struct backend_order *order);

#endif

/* keyring - finds the customer that an API key belongs to.

   Built once for each configuration.  A lookup uses a hash keyed with a seed
   that callers cannot know, so that neither the time it takes nor collisions
   tell anything about the keys, and compares in constant time.

   A key that two customers list belongs to neither: requests must not be sent
   or charged under the name of another customer.

   Pure functions but for the memory that they allocate; one thread.
   Ownership: the keyring borrows the customers, which must outlive it and must
   not move; it keeps no copy of a key.  */

#ifndef PARSLEYRILL_KEYRING_H
#define PARSLEYRILL_KEYRING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "site.h"

struct keyring;

/* SEED must be random and secret.  CUSTOMERS: of struct site_customer.  */
struct keyring *keyring_new (const GArray *customers, uint64_t seed);
void keyring_free (struct keyring *keyring); /* NULL allowed */

/* The customer with KEY, or NULL.  */
const struct site_customer *keyring_find (const struct keyring *keyring,
                                          const char *key);

/* The customer NAME, or NULL.  */
const struct site_customer *keyring_named (const struct keyring *keyring,
                                           const char *name);

/* Compares N bytes in a time that depends on N alone.  */
bool keyring_equal (const void *a, const void *b, size_t n);

#endif

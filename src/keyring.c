#include "keyring.h"

#include <string.h>
#include <xxhash.h>

/* Slots per key; the table stays sparse, so that probes are short.  */
#define SLOTS_PER_KEY 4

struct slot
{
  uint64_t hash;
  const char *key; /* NULL: free */
  size_t length;
  const struct site_customer *customer; /* NULL: two customers list the key */
};

struct keyring
{
  const GArray *customers;
  uint64_t seed;
  size_t mask; /* number of slots, a power of two, less one */
  struct slot *slots;
};

bool
keyring_equal (const void *a, const void *b, size_t n)
{
  const volatile unsigned char *x = a;
  const volatile unsigned char *y = b;
  unsigned char difference = 0;

  for (size_t i = 0; i < n; i++)
    difference |= x[i] ^ y[i];
  return difference == 0;
}

static const struct site_customer *
customer_at (const struct keyring *keyring, guint i)
{
  return &g_array_index (keyring->customers, struct site_customer, i);
}

/* The slot that has KEY, or the free one where it would be.  */
static struct slot *
find_slot (const struct keyring *keyring, const char *key, size_t length,
           uint64_t hash)
{
  size_t at = hash & keyring->mask;

  for (;; at = (at + 1) & keyring->mask)
    {
      struct slot *slot = &keyring->slots[at];

      if (slot->key == NULL
          || (slot->hash == hash && slot->length == length
              && keyring_equal (slot->key, key, length)))
        return slot;
    }
}

static void
add_key (struct keyring *keyring, const char *key,
         const struct site_customer *customer)
{
  size_t length = strlen (key);
  uint64_t hash = XXH3_64bits_withSeed (key, length, keyring->seed);
  struct slot *slot = find_slot (keyring, key, length, hash);

  if (slot->key == NULL)
    *slot = (struct slot){ hash, key, length, customer };
  else if (slot->customer != customer)
    slot->customer = NULL;
}

struct keyring *
keyring_new (const GArray *customers, uint64_t seed)
{
  struct keyring *keyring = g_new0 (struct keyring, 1);
  size_t count = 0;
  size_t slots = 1;

  keyring->customers = customers;
  keyring->seed = seed;
  for (guint i = 0; i < customers->len; i++)
    count += g_strv_length (customer_at (keyring, i)->keys);
  while (slots < count * SLOTS_PER_KEY + 1)
    slots *= 2;
  keyring->mask = slots - 1;
  keyring->slots = g_new0 (struct slot, slots);
  for (guint i = 0; i < customers->len; i++)
    for (char **key = customer_at (keyring, i)->keys; *key != NULL; key++)
      add_key (keyring, *key, customer_at (keyring, i));
  return keyring;
}

void
keyring_free (struct keyring *keyring)
{
  if (keyring == NULL)
    return;
  g_free (keyring->slots);
  g_free (keyring);
}

const struct site_customer *
keyring_find (const struct keyring *keyring, const char *key)
{
  size_t length = strlen (key);
  uint64_t hash = XXH3_64bits_withSeed (key, length, keyring->seed);

  return find_slot (keyring, key, length, hash)->customer;
}

const struct site_customer *
keyring_named (const struct keyring *keyring, const char *name)
{
  for (guint i = 0; i < keyring->customers->len; i++)
    if (strcmp (customer_at (keyring, i)->name, name) == 0)
      return customer_at (keyring, i);
  return NULL;
}

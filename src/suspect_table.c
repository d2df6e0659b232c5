#include "suspect_table.h"

#include <glib.h>

#define SLOTS 8192 /* power of two */
#define PROBES 8   /* slots searched for one fingerprint */

/* Written by the control thread only.  A concurrent reader of a slot that is
   being changed sees the old strikes, the new ones, or none.  */
struct slot
{
  uint64_t fingerprint;
  uint64_t lost;
  unsigned strikes;
};

struct suspect_table
{
  struct slot slots[SLOTS];
};

struct suspect_table *
suspect_table_new (void)
{
  return g_new0 (struct suspect_table, 1);
}

void
suspect_table_free (struct suspect_table *table)
{
  g_free (table);
}

unsigned
suspect_strikes (const struct suspect_table *table, uint64_t fingerprint,
                 uint64_t *lost)
{
  for (unsigned i = 0; i < PROBES; i++)
    {
      const struct slot *slot = &table->slots[(fingerprint + i) % SLOTS];

      if (__atomic_load_n (&slot->fingerprint, __ATOMIC_ACQUIRE)
          != fingerprint)
        continue;
      if (lost != NULL)
        *lost = __atomic_load_n (&slot->lost, __ATOMIC_RELAXED);
      return __atomic_load_n (&slot->strikes, __ATOMIC_RELAXED);
    }
  if (lost != NULL)
    *lost = 0;
  return 0;
}

/* The slot of FINGERPRINT, or the one to replace: that with the fewest
   strikes.  */
static struct slot *
slot_for (struct suspect_table *table, uint64_t fingerprint)
{
  struct slot *least = NULL;

  for (unsigned i = 0; i < PROBES; i++)
    {
      struct slot *slot = &table->slots[(fingerprint + i) % SLOTS];

      if (slot->fingerprint == fingerprint)
        return slot;
      if (least == NULL || slot->strikes < least->strikes)
        least = slot;
    }
  return least;
}

void
suspect_table_set (struct suspect_table *table, uint64_t fingerprint,
                   unsigned strikes, uint64_t lost)
{
  struct slot *slot = slot_for (table, fingerprint);

  if (strikes == 0 && slot->fingerprint != fingerprint)
    return;
  if (slot->fingerprint != fingerprint)
    __atomic_store_n (&slot->fingerprint, 0, __ATOMIC_RELEASE);
  __atomic_store_n (&slot->lost, lost, __ATOMIC_RELAXED);
  __atomic_store_n (&slot->strikes, strikes, __ATOMIC_RELAXED);
  __atomic_store_n (&slot->fingerprint, strikes > 0 ? fingerprint : 0,
                    __ATOMIC_RELEASE);
}

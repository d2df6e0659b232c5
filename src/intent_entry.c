#include "intent_entry.h"

#include <glib.h>
#include "order.h"

struct entry *
intent_entry_new (const char *prefix, const struct backend_order *order,
                  struct timespec now)
{
  struct entry *entry = g_new0 (struct entry, 1);

  order_copy (&entry->order, order);
  entry->since = now;
  entry->key = g_strconcat (prefix, order->order_id, NULL);
  entry->value = order_to_json (order);
  return entry;
}

void
intent_entry_free (struct entry *entry)
{
  order_clear (&entry->order);
  g_free (entry->key);
  g_free (entry->value);
  g_free (entry);
}

bool
intent_entry_unwritten (const struct entry *entry)
{
  return entry->state == QUEUED;
}

bool
intent_entry_deletable (const struct entry *entry)
{
  return entry->state == WRITTEN && entry->settled;
}

/* intent_entry - an order in the journal and the state of its row.

   Part of intent; control thread only.  */

#ifndef PARSLEYRILL_INTENT_ENTRY_H
#define PARSLEYRILL_INTENT_ENTRY_H

#include <stdbool.h>
#include <time.h>
#include <ck_queue.h>
#include "backend.h"

enum entry_state
{
  QUEUED,  /* no row yet */
  WRITING, /* its row is in the open transaction */
  WRITTEN,
  DELETING /* the row's deletion is in the open transaction */
};

struct entry
{
  CK_STAILQ_ENTRY (entry) link;
  enum entry_state state;
  bool released; /* for sending */
  bool settled;
  struct timespec since; /* when it was queued, written or settled */
  char *key;
  char *value;
  struct backend_order order;
};

CK_STAILQ_HEAD (entry_list, entry);

/* Copies ORDER into a new entry with key PREFIX followed by the order id.  */
struct entry *intent_entry_new (const char *prefix,
                                const struct backend_order *order,
                                struct timespec now);
void intent_entry_free (struct entry *entry);

/* Whether the row is still to be written.  */
bool intent_entry_unwritten (const struct entry *entry);

/* Whether the entry is settled and its row can be deleted.  */
bool intent_entry_deletable (const struct entry *entry);

#endif

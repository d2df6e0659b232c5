/* inventory - what one engine holds: models in accelerator memory, their
   adapters, and copies of weights at hand.

   SEQUENCE orders two descriptions that came the same way since one start of
   the engine; BORN tells the starts apart.  In a report of the engine it
   counts the orders that were accepted, in the platform's list the changes of
   its entry.

   Ownership: a struct inventory owns all that hangs on it.  One thread.  */

#ifndef PARSLEYRILL_INVENTORY_H
#define PARSLEYRILL_INVENTORY_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

struct inventory_model
{
  char *name;
  GPtrArray *adapters; /* names without the model's */
};

struct inventory
{
  int64_t born; /* milliseconds since the Epoch; 0: not told */
  uint64_t sequence;
  bool busy;            /* an order of a model is carried out */
  unsigned coming;      /* adapters on their way, in no model's list yet */
  GPtrArray *models;    /* struct inventory_model */
  GPtrArray *in_memory; /* names of models whose weights the host holds */
  GPtrArray *on_disk;   /* names of models whose weights the disk holds */
};

struct inventory *inventory_new (void);
void inventory_free (struct inventory *inventory); /* NULL allowed */
struct inventory *inventory_copy (const struct inventory *inventory);

/* The model NAME, NULL when it is not held.  */
struct inventory_model *inventory_model (const struct inventory *inventory,
                                         const char *name);
/* The same, added when it is missing.  */
struct inventory_model *inventory_add (struct inventory *inventory,
                                       const char *name);
void inventory_remove_model (struct inventory *inventory, const char *name);

/* ADAPTER NULL: the model alone.  */
bool inventory_has (const struct inventory *inventory, const char *model,
                    const char *adapter);
bool inventory_model_has_adapter (const struct inventory_model *model,
                                  const char *adapter);
void inventory_add_adapter (struct inventory_model *model,
                            const char *adapter);
void inventory_remove_adapter (struct inventory_model *model,
                               const char *adapter);

/* Places for adapters that are taken.  */
unsigned inventory_adapter_slots_used (const struct inventory *inventory);

/* Whether NAME is among NAMES.  */
bool inventory_name_listed (const GPtrArray *names, const char *name);

/* Whether A tells of a later state than B.  */
bool inventory_newer (const struct inventory *a, const struct inventory *b);

#endif

/* inventory - the contents of one engine: models in accelerator memory with
   their adapters, and local copies of weights.

   BORN, the start time of the engine's process, tells a restart.  SEQUENCE
   orders two inventories from the same source since that start: in a report of
   the engine it counts the orders accepted, in the platform's list the changes
   of the engine's entry.

   Ownership: a struct inventory owns everything it points to.  One thread.  */

#ifndef PARSLEYRILL_INVENTORY_H
#define PARSLEYRILL_INVENTORY_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

struct inventory_model
{
  char *name;
  GPtrArray *adapters; /* names, without the "MODEL/" prefix */
};

struct inventory
{
  int64_t born; /* start time, milliseconds since the Epoch; 0: unknown */
  uint64_t sequence;
  bool busy; /* a model is being loaded or unloaded */
  unsigned
      loading_adapters; /* adapters being loaded, in no model's list yet */
  GPtrArray *models;    /* struct inventory_model */
  GPtrArray *in_memory; /* names of models with weights in host memory */
  GPtrArray *on_disk;   /* names of models with weights on disk */
};

struct inventory *inventory_new (void);
void inventory_free (struct inventory *inventory); /* NULL allowed */
struct inventory *inventory_copy (const struct inventory *inventory);

/* The model NAME, NULL when it is not loaded.  */
struct inventory_model *inventory_model (const struct inventory *inventory,
                                         const char *name);
/* The model NAME, which is added when it is missing.  */
struct inventory_model *inventory_add (struct inventory *inventory,
                                       const char *name);
void inventory_remove_model (struct inventory *inventory, const char *name);

/* Whether MODEL is loaded, with ADAPTER unless that is NULL.  */
bool inventory_has (const struct inventory *inventory, const char *model,
                    const char *adapter);
bool inventory_model_has_adapter (const struct inventory_model *model,
                                  const char *adapter);
void inventory_add_adapter (struct inventory_model *model,
                            const char *adapter);
void inventory_remove_adapter (struct inventory_model *model,
                               const char *adapter);

/* Number of adapter slots in use, including adapters being loaded.  */
unsigned inventory_adapter_slots_used (const struct inventory *inventory);

/* Whether NAME is among NAMES.  */
bool inventory_name_listed (const GPtrArray *names, const char *name);

/* Whether A and B have the same models and adapters, in any order.  */
bool inventory_same_models (const struct inventory *a,
                            const struct inventory *b);

/* Whether A describes a later state than B.  */
bool inventory_newer (const struct inventory *a, const struct inventory *b);

#endif

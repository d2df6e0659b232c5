/* holding - what one engine holds: models in accelerator memory, their
   adapters, and copies of weights at hand.

   SEQUENCE orders two descriptions that came the same way since one start of
   the engine; BORN tells the starts apart.  In a report of the engine it
   counts the orders that were accepted, in the platform's list the changes of
   its entry.

   Ownership: a struct holding owns all that hangs on it.  One thread.  */

#ifndef PARSLEYRILL_HOLDING_H
#define PARSLEYRILL_HOLDING_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

struct holding_model
{
  char *name;
  GPtrArray *adapters; /* names without the model's */
};

struct holding
{
  int64_t born; /* milliseconds since the Epoch; 0: not told */
  uint64_t sequence;
  bool busy;            /* an order of a model is carried out */
  unsigned coming;      /* adapters on their way, in no model's list yet */
  GPtrArray *models;    /* struct holding_model */
  GPtrArray *in_memory; /* names of models whose weights the host holds */
  GPtrArray *on_disk;   /* names of models whose weights the disk holds */
};

struct holding *holding_new (void);
void holding_free (struct holding *holding); /* NULL allowed */
struct holding *holding_copy (const struct holding *holding);

/* The model NAME, NULL when it is not held.  */
struct holding_model *holding_model (const struct holding *holding,
                                     const char *name);
/* The same, added when it is missing.  */
struct holding_model *holding_add (struct holding *holding, const char *name);
void holding_remove (struct holding *holding, const char *name);

/* ADAPTER NULL: the model alone.  */
bool holding_has (const struct holding *holding, const char *model,
                  const char *adapter);
bool holding_adapter (const struct holding_model *model, const char *adapter);
void holding_add_adapter (struct holding_model *model, const char *adapter);
void holding_remove_adapter (struct holding_model *model, const char *adapter);

/* Places for adapters that are taken.  */
unsigned holding_adapters (const struct holding *holding);

/* Whether NAME is among NAMES.  */
bool holding_names (const GPtrArray *names, const char *name);

/* Whether A tells of a later state than B.  */
bool holding_newer (const struct holding *a, const struct holding *b);

#endif

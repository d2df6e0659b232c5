#include "inventory.h"

#include <string.h>

static void
model_free (gpointer data)
{
  struct inventory_model *model = data;

  g_ptr_array_unref (model->adapters);
  g_free (model->name);
  g_free (model);
}

struct inventory *
inventory_new (void)
{
  struct inventory *inventory = g_new0 (struct inventory, 1);

  inventory->models = g_ptr_array_new_with_free_func (model_free);
  inventory->in_memory = g_ptr_array_new_with_free_func (g_free);
  inventory->on_disk = g_ptr_array_new_with_free_func (g_free);
  return inventory;
}

void
inventory_free (struct inventory *inventory)
{
  if (inventory == NULL)
    return;
  g_ptr_array_unref (inventory->models);
  g_ptr_array_unref (inventory->in_memory);
  g_ptr_array_unref (inventory->on_disk);
  g_free (inventory);
}

static void
copy_names (GPtrArray *to, const GPtrArray *from)
{
  for (guint i = 0; i < from->len; i++)
    g_ptr_array_add (to, g_strdup (g_ptr_array_index (from, i)));
}

struct inventory *
inventory_copy (const struct inventory *inventory)
{
  struct inventory *copy = inventory_new ();

  copy->born = inventory->born;
  copy->sequence = inventory->sequence;
  copy->busy = inventory->busy;
  copy->loading_adapters = inventory->loading_adapters;
  for (guint i = 0; i < inventory->models->len; i++)
    {
      const struct inventory_model *model
          = g_ptr_array_index (inventory->models, i);

      copy_names (inventory_add (copy, model->name)->adapters,
                  model->adapters);
    }
  copy_names (copy->in_memory, inventory->in_memory);
  copy_names (copy->on_disk, inventory->on_disk);
  return copy;
}

struct inventory_model *
inventory_model (const struct inventory *inventory, const char *name)
{
  for (guint i = 0; i < inventory->models->len; i++)
    {
      struct inventory_model *model = g_ptr_array_index (inventory->models, i);

      if (strcmp (model->name, name) == 0)
        return model;
    }
  return NULL;
}

struct inventory_model *
inventory_add (struct inventory *inventory, const char *name)
{
  struct inventory_model *model = inventory_model (inventory, name);

  if (model != NULL)
    return model;
  model = g_new0 (struct inventory_model, 1);
  model->name = g_strdup (name);
  model->adapters = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (inventory->models, model);
  return model;
}

void
inventory_remove_model (struct inventory *inventory, const char *name)
{
  struct inventory_model *model = inventory_model (inventory, name);

  if (model != NULL)
    g_ptr_array_remove (inventory->models, model);
}

bool
inventory_name_listed (const GPtrArray *names, const char *name)
{
  for (guint i = 0; i < names->len; i++)
    if (strcmp (g_ptr_array_index (names, i), name) == 0)
      return true;
  return false;
}

bool
inventory_model_has_adapter (const struct inventory_model *model,
                             const char *adapter)
{
  return inventory_name_listed (model->adapters, adapter);
}

bool
inventory_has (const struct inventory *inventory, const char *model,
               const char *adapter)
{
  const struct inventory_model *held = inventory_model (inventory, model);

  return held != NULL
         && (adapter == NULL || inventory_model_has_adapter (held, adapter));
}

void
inventory_add_adapter (struct inventory_model *model, const char *adapter)
{
  if (!inventory_model_has_adapter (model, adapter))
    g_ptr_array_add (model->adapters, g_strdup (adapter));
}

void
inventory_remove_adapter (struct inventory_model *model, const char *adapter)
{
  for (guint i = 0; i < model->adapters->len; i++)
    if (strcmp (g_ptr_array_index (model->adapters, i), adapter) == 0)
      {
        g_ptr_array_remove_index (model->adapters, i);
        return;
      }
}

unsigned
inventory_adapter_slots_used (const struct inventory *inventory)
{
  unsigned n = inventory->loading_adapters;

  for (guint i = 0; i < inventory->models->len; i++)
    n += ((const struct inventory_model *)g_ptr_array_index (inventory->models,
                                                             i))
             ->adapters->len;
  return n;
}

static bool
same_adapters (const struct inventory_model *a,
               const struct inventory_model *b)
{
  if (a->adapters->len != b->adapters->len)
    return false;
  for (guint i = 0; i < a->adapters->len; i++)
    if (!inventory_model_has_adapter (b, g_ptr_array_index (a->adapters, i)))
      return false;
  return true;
}

bool
inventory_same_models (const struct inventory *a, const struct inventory *b)
{
  if (a->models->len != b->models->len)
    return false;
  for (guint i = 0; i < a->models->len; i++)
    {
      const struct inventory_model *model = g_ptr_array_index (a->models, i);
      const struct inventory_model *other = inventory_model (b, model->name);

      if (other == NULL || !same_adapters (model, other))
        return false;
    }
  return true;
}

bool
inventory_newer (const struct inventory *a, const struct inventory *b)
{
  if (a->born != b->born)
    return a->born > b->born;
  return a->sequence > b->sequence;
}

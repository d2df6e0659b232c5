#include "holding.h"

#include <string.h>

static void
model_free (gpointer data)
{
  struct holding_model *model = data;

  g_ptr_array_unref (model->adapters);
  g_free (model->name);
  g_free (model);
}

struct holding *
holding_new (void)
{
  struct holding *holding = g_new0 (struct holding, 1);

  holding->models = g_ptr_array_new_with_free_func (model_free);
  holding->in_memory = g_ptr_array_new_with_free_func (g_free);
  holding->on_disk = g_ptr_array_new_with_free_func (g_free);
  return holding;
}

void
holding_free (struct holding *holding)
{
  if (holding == NULL)
    return;
  g_ptr_array_unref (holding->models);
  g_ptr_array_unref (holding->in_memory);
  g_ptr_array_unref (holding->on_disk);
  g_free (holding);
}

static void
copy_names (GPtrArray *to, const GPtrArray *from)
{
  for (guint i = 0; i < from->len; i++)
    g_ptr_array_add (to, g_strdup (g_ptr_array_index (from, i)));
}

struct holding *
holding_copy (const struct holding *holding)
{
  struct holding *copy = holding_new ();

  copy->born = holding->born;
  copy->sequence = holding->sequence;
  copy->busy = holding->busy;
  copy->coming = holding->coming;
  for (guint i = 0; i < holding->models->len; i++)
    {
      const struct holding_model *model
          = g_ptr_array_index (holding->models, i);

      copy_names (holding_add (copy, model->name)->adapters, model->adapters);
    }
  copy_names (copy->in_memory, holding->in_memory);
  copy_names (copy->on_disk, holding->on_disk);
  return copy;
}

struct holding_model *
holding_model (const struct holding *holding, const char *name)
{
  for (guint i = 0; i < holding->models->len; i++)
    {
      struct holding_model *model = g_ptr_array_index (holding->models, i);

      if (strcmp (model->name, name) == 0)
        return model;
    }
  return NULL;
}

struct holding_model *
holding_add (struct holding *holding, const char *name)
{
  struct holding_model *model = holding_model (holding, name);

  if (model != NULL)
    return model;
  model = g_new0 (struct holding_model, 1);
  model->name = g_strdup (name);
  model->adapters = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (holding->models, model);
  return model;
}

void
holding_remove (struct holding *holding, const char *name)
{
  struct holding_model *model = holding_model (holding, name);

  if (model != NULL)
    g_ptr_array_remove (holding->models, model);
}

bool
holding_names (const GPtrArray *names, const char *name)
{
  for (guint i = 0; i < names->len; i++)
    if (strcmp (g_ptr_array_index (names, i), name) == 0)
      return true;
  return false;
}

bool
holding_adapter (const struct holding_model *model, const char *adapter)
{
  return holding_names (model->adapters, adapter);
}

bool
holding_has (const struct holding *holding, const char *model,
             const char *adapter)
{
  const struct holding_model *held = holding_model (holding, model);

  return held != NULL && (adapter == NULL || holding_adapter (held, adapter));
}

void
holding_add_adapter (struct holding_model *model, const char *adapter)
{
  if (!holding_adapter (model, adapter))
    g_ptr_array_add (model->adapters, g_strdup (adapter));
}

void
holding_remove_adapter (struct holding_model *model, const char *adapter)
{
  for (guint i = 0; i < model->adapters->len; i++)
    if (strcmp (g_ptr_array_index (model->adapters, i), adapter) == 0)
      {
        g_ptr_array_remove_index (model->adapters, i);
        return;
      }
}

unsigned
holding_adapters (const struct holding *holding)
{
  unsigned n = holding->coming;

  for (guint i = 0; i < holding->models->len; i++)
    n += ((const struct holding_model *)g_ptr_array_index (holding->models, i))
             ->adapters->len;
  return n;
}

bool
holding_newer (const struct holding *a, const struct holding *b)
{
  if (a->born != b->born)
    return a->born > b->born;
  return a->sequence > b->sequence;
}

#include "place_state.h"

#include <stdlib.h>
#include <string.h>

#define WEIGHT_DEFAULT 0.5

static int
compare_adapter (const void *name, const void *adapter)
{
  return strcmp (name, ((const struct doc_adapter *)adapter)->name);
}

static const struct doc_adapter *
find_adapter (const struct place *place, const char *name)
{
  const struct doc *doc = place->doc;

  if (doc == NULL || doc->adapter_count == 0)
    return NULL;
  return bsearch (name, doc->adapters, doc->adapter_count,
                  sizeof *doc->adapters, compare_adapter);
}

static void
set_version (struct place_target *target, const char *version)
{
  g_free (target->version);
  g_free (target->checkpoint);
  target->version = g_strdup (version);
  target->checkpoint = version != NULL
                           ? g_strdup_printf ("%s@%s", target->name, version)
                           : NULL;
}

static void
fill_adapter (struct place *place, struct place_target *target)
{
  const struct doc_adapter *adapter = find_adapter (place, target->name);
  struct place_target *base = NULL;

  if (adapter != NULL)
    base = g_hash_table_lookup (place->targets, adapter->model);
  if (base == NULL || base->version == NULL)
    {
      set_version (target, NULL);
      return;
    }
  target->base = base;
  target->memory_mb = adapter->memory_mb;
  target->priority = adapter->priority;
  set_version (target, adapter->version);
}

struct place_target *
place_target_get (struct place *place, const char *name, bool adapter)
{
  struct place_target *target = g_hash_table_lookup (place->targets, name);

  if (target != NULL)
    return target;
  target = g_new0 (struct place_target, 1);
  target->name = g_strdup (name);
  target->adapter = adapter;
  CK_LIST_INIT (&target->copies);
  CK_LIST_INIT (&target->waiters);
  g_hash_table_insert (place->targets, target->name, target);
  if (adapter)
    fill_adapter (place, target);
  return target;
}

struct place_target *
place_target_find (struct place *place, const char *name)
{
  struct place_target *target = g_hash_table_lookup (place->targets, name);

  if (target == NULL && find_adapter (place, name) != NULL)
    target = place_target_get (place, name, true);
  return target != NULL && target->version != NULL ? target : NULL;
}

void
place_target_update_demand (struct place *place, struct place_target *target)
{
  bool wanted = target->waiting_count > 0
                || (target->version != NULL && target->min_replicas > 0);

  if (wanted == target->in_demand)
    return;
  if (wanted)
    CK_LIST_INSERT_HEAD (&place->demanded, target, demand_link);
  else
    CK_LIST_REMOVE (target, demand_link);
  target->in_demand = wanted;
}

void
place_target_free (void *pointer)
{
  struct place_target *target = pointer;

  g_free (target->name);
  g_free (target->version);
  g_free (target->checkpoint);
  g_free (target->gaps);
  g_free (target->reason);
  g_free (target);
}

static gboolean
is_unused_adapter (gpointer key, gpointer value, gpointer user)
{
  const struct place_target *target = value;

  (void)key;
  (void)user;
  return target->adapter && target->copy_count == 0
         && CK_LIST_EMPTY (&target->waiters);
}

void
place_targets_prune (struct place *place)
{
  g_hash_table_foreach_remove (place->targets, is_unused_adapter, NULL);
}

static double
team_weight (const struct doc *doc, const char *team)
{
  for (size_t i = 0; i < doc->team_count; i++)
    if (strcmp (doc->teams[i].name, team) == 0)
      return doc->teams[i].cold_weight;
  return WEIGHT_DEFAULT;
}

static struct gaps *
pool_gaps_of (struct place *place, const char *pool)
{
  struct gaps *prior = g_hash_table_lookup (place->pool_gaps, pool);

  if (prior == NULL)
    {
      prior = g_new0 (struct gaps, 1);
      gaps_init (prior);
      g_hash_table_insert (place->pool_gaps, g_strdup (pool), prior);
    }
  return prior;
}

static void
fill_model (struct place *place, const struct doc_model *model)
{
  struct place_target *target = place_target_get (place, model->name, false);

  if (target->adapter)
    return;
  if (target->gaps == NULL)
    {
      target->gaps = g_new0 (struct gaps, 1);
      gaps_init (target->gaps);
    }
  target->prior = pool_gaps_of (place, model->pool);
  target->memory_mb = model->memory_mb;
  target->kv_reserve_mb = model->kv_reserve_mb;
  target->max_replicas = model->max_replicas;
  target->min_replicas = MIN (model->min_replicas, model->max_replicas);
  target->priority = model->priority;
  target->weight = team_weight (place->doc, model->team);
  set_version (target, model->version);
}

static void
each_target (struct place *place,
             void (*fn) (struct place *place, struct place_target *target))
{
  GList *all = g_hash_table_get_values (place->targets);

  for (GList *i = all; i != NULL; i = i->next)
    fn (place, i->data);
  g_list_free (all);
}

static void
clear_version (struct place *place, struct place_target *target)
{
  (void)place;
  if (!target->adapter)
    set_version (target, NULL);
}

static void
refresh_target (struct place *place, struct place_target *target)
{
  if (target->adapter)
    fill_adapter (place, target);
  target->failures = 0;
  target->retry_at = (struct timespec){ 0 };
  place_target_update_demand (place, target);
}

void
place_targets_from_doc (struct place *place)
{
  const struct doc *doc = place->doc;

  each_target (place, clear_version);
  for (size_t i = 0; doc != NULL && i < doc->model_count; i++)
    if (place->mine == NULL || place->mine (place->user, &doc->models[i]))
      fill_model (place, &doc->models[i]);
  each_target (place, refresh_target);
}

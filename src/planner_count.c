#include "planner_count.h"

#include <string.h>
#include "ts.h"

/* Longer than an unload takes that waits for short requests only.  */
#define DRAIN_S 2.0

/* Whether ENGINE has been making room for so long that the model to be loaded
   there may be loaded elsewhere: an unload waits for the requests that run,
   which took 13 s while the weight store was idle.  */
static bool
is_draining (const struct plan *plan, const struct planner_engine *engine)
{
  const struct planner_order *order = &engine->order;

  return plan->planner->by_delay && order->stage != STAGE_NONE
         && order->type == BACKEND_UNLOAD
         && ts_to_s (ts_sub (plan->now, order->sent_at)) > DRAIN_S;
}

/* Counts the replicas on ENGINE for each model.  */
static void
count_engine (struct plan *plan, const struct planner_engine *engine)
{
  const struct planner_order *order = &engine->order;
  struct plan_model *model;

  for (guint i = 0; i < engine->inventory->models->len; i++)
    {
      const struct inventory_model *held
          = g_ptr_array_index (engine->inventory->models, i);

      model = plan_model (plan, held->name);
      if (model == NULL || engine->leaving)
        continue;
      if (order->stage != STAGE_NONE && order->type == BACKEND_UNLOAD
          && strcmp (order->model, held->name) == 0)
        continue;
      model->replicas++;
      model->loaded++;
    }
  if (engine->leaving)
    return;
  if (order->stage != STAGE_NONE && order->type == BACKEND_LOAD
      && inventory_model (engine->inventory, order->model) == NULL)
    {
      model = plan_model (plan, order->model);
      if (model != NULL)
        model->replicas++;
    }
  if (engine->next_model != NULL)
    {
      model = plan_model (plan, engine->next_model);
      /* No third engine makes room for the same model.  */
      if (model != NULL
          && (++model->places_pending > 1 || !is_draining (plan, engine)))
        model->pending = true;
    }
}

static void
mark_local_copies (struct plan *plan, const GPtrArray *names)
{
  for (guint i = 0; i < names->len; i++)
    {
      struct plan_model *model
          = plan_model (plan, g_ptr_array_index (names, i));

      if (model != NULL)
        model->has_local_copy = true;
    }
}

struct plan_model *
planner_count_model (const struct plan *plan,
                     const struct planner_waiting *entry)
{
  char *name = g_strndup (entry->target, strcspn (entry->target, "/"));
  struct plan_model *model = plan_model (plan, name);

  g_free (name);
  return model;
}

static void
count_waiting (struct plan *plan, const struct planner_waiting *entry)
{
  struct plan_model *model = planner_count_model (plan, entry);

  if (model == NULL || entry->software != NULL)
    return;
  if (model->waiting == 0 || entry->priority < model->priority)
    model->priority = entry->priority;
  model->waiting += entry->waiting;
  model->waiting_weight
      += entry->waiting * planner_delay_priority_weight (entry->priority);
  model->waited_s
      = MAX (model->waited_s, ts_to_s (ts_sub (plan->now, entry->since)));
}

/* Called once the replicas are counted.  */
static void
count_unlimited (struct plan *plan)
{
  const struct planner_engine *engine;
  GHashTableIter iter;
  struct plan_model *model;

  g_hash_table_iter_init (&iter, plan->models);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&model))
    model->unlimited = model->replicas;
  g_hash_table_iter_init (&iter, plan->planner->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    {
      if (engine->leaving || !planner_is_short (plan, engine))
        continue;
      for (guint i = 0; i < engine->inventory->models->len; i++)
        {
          const struct inventory_model *held
              = g_ptr_array_index (engine->inventory->models, i);

          model = plan_model (plan, held->name);
          if (model != NULL && model->unlimited > 0)
            model->unlimited--;
        }
    }
}

void
planner_count (struct plan *plan)
{
  struct planner *planner = plan->planner;
  const struct planner_engine *engine;
  const struct planner_waiting *entry;
  GHashTableIter iter;

  plan->previous_fetches = planner_previous_fetches (planner);
  plan->models = g_hash_table_new (g_str_hash, g_str_equal);
  plan->model_array
      = g_new0 (struct plan_model, planner->service->model_count);
  for (size_t i = 0; i < planner->service->model_count; i++)
    {
      struct plan_model *model = &plan->model_array[i];

      model->site = &planner->service->models[i];
      model->per_s
          = rates_per_s (planner->arrivals, model->site->name, plan->now);
      g_hash_table_insert (plan->models, model->site->name, model);
    }
  g_hash_table_iter_init (&iter, planner->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    {
      count_engine (plan, engine);
      if (engine->leaving)
        continue;
      mark_local_copies (plan, engine->inventory->in_memory);
      mark_local_copies (plan, engine->inventory->on_disk);
    }
  count_unlimited (plan);
  g_hash_table_iter_init (&iter, planner->waiting);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&entry))
    count_waiting (plan, entry);
}

#include "planner_share.h"

#include <string.h>

#define SHARE_PASSES 3
/* Speed that an engine is taken to have left, at least, however busy.  */
#define LEFT_MIN 0.1

static const struct planner_delay_work no_work;

double
planner_share_pace (const struct planner_engine *engine)
{
  return engine->pace > 0 ? engine->pace : 1;
}

/* The speed that OTHER work leaves at ENGINE.  */
static double
speed_left (const struct planner_engine *engine,
            const struct planner_delay_work *other)
{
  double pace = planner_share_pace (engine);
  double left = 1 - planner_delay_utilization (other, pace);

  return MAX (left, LEFT_MIN) / pace;
}

struct planner_delay_work
planner_share_other_work (const struct plan_place *place)
{
  struct planner_delay_work other = place->engine->work;

  planner_delay_add_work (&other, &place->model->unit,
                          -place->model->per_s * place->share);
  other.read_s = MAX (other.read_s, 0);
  other.read_square_s = MAX (other.read_square_s, 0);
  other.tokens = MAX (other.tokens, 0);
  return other;
}

static void
add_place (const struct plan *plan, GArray *places,
           struct planner_engine *engine, const char *name)
{
  struct plan_place place
      = { .model = plan_model (plan, name), .engine = engine };

  if (place.model != NULL)
    g_array_append_val (places, place);
}

static void
add_engine_places (const struct plan *plan, GArray *places,
                   struct planner_engine *engine)
{
  const struct planner_order *order = &engine->order;
  bool ordered = order->stage != STAGE_NONE;
  const char *loading = engine->next_model;

  for (guint i = 0; i < engine->inventory->models->len; i++)
    {
      const struct inventory_model *held
          = g_ptr_array_index (engine->inventory->models, i);

      if (!ordered || order->type != BACKEND_UNLOAD
          || strcmp (order->model, held->name) != 0)
        add_place (plan, places, engine, held->name);
    }
  if (ordered && order->type == BACKEND_LOAD)
    loading = order->model;
  if (loading != NULL && inventory_model (engine->inventory, loading) == NULL)
    add_place (plan, places, engine, loading);
}

static GArray *
all_places (const struct plan *plan)
{
  GArray *places = g_array_new (FALSE, FALSE, sizeof (struct plan_place));
  struct planner_engine *engine;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, plan->planner->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    {
      engine->work = no_work;
      engine->weighted_per_s = 0;
      engine->first_place = places->len;
      if (!engine->leaving)
        add_engine_places (plan, places, engine);
      engine->place_count = places->len - engine->first_place;
    }
  return places;
}

/* Shares the requests for each model among its places.  Each pass follows the
   work that the one before gave to the engines, half of the way, so that two
   equal engines do not exchange theirs.  */
static void
share_requests (GArray *places, bool first)
{
  for (guint i = 0; i < places->len; i++)
    g_array_index (places, struct plan_place, i).model->speed = 0;
  for (guint i = 0; i < places->len; i++)
    {
      struct plan_place *place = &g_array_index (places, struct plan_place, i);
      struct planner_delay_work other = planner_share_other_work (place);

      place->speed = speed_left (place->engine, &other);
      place->model->speed += place->speed;
    }
  for (guint i = 0; i < places->len; i++)
    {
      struct plan_place *place = &g_array_index (places, struct plan_place, i);
      double share = place->speed / place->model->speed;

      place->share = first ? share : (place->share + share) / 2;
    }
}

static void
sum_work (GArray *places)
{
  for (guint i = 0; i < places->len; i++)
    {
      struct planner_engine *engine
          = g_array_index (places, struct plan_place, i).engine;

      engine->work = no_work;
      engine->weighted_per_s = 0;
      engine->most_read_s = 0;
    }
  for (guint i = 0; i < places->len; i++)
    {
      const struct plan_place *place
          = &g_array_index (places, struct plan_place, i);
      const struct plan_model *model = place->model;
      double per_s = model->per_s * place->share;

      planner_delay_add_work (&place->engine->work, &model->unit, per_s);
      place->engine->weighted_per_s += model->weight * per_s;
      place->engine->most_read_s
          = MAX (place->engine->most_read_s, per_s * model->unit.read_s);
    }
}

void
planner_share_requests (struct plan *plan)
{
  struct planner_engine *engine;
  GHashTableIter iter;

  plan->places = all_places (plan);
  for (int pass = 0; pass < SHARE_PASSES; pass++)
    {
      share_requests (plan->places, pass == 0);
      sum_work (plan->places);
    }
  g_hash_table_iter_init (&iter, plan->planner->engines);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    engine->speed_left = speed_left (engine, &engine->work);
}

#include "cell_state.h"

#include <string.h>
#include "ts.h"

struct search
{
  const char *model;
  bool found;
  struct timespec ready_at;
};

static void
find_loading (void *user, const struct place_view *view)
{
  struct search *search = user;

  if (view->adapter != NULL || view->state != PLACE_LOADING
      || strcmp (view->name, search->model) != 0)
    return;
  search->found = true;
  search->ready_at = view->ready_at;
}

bool
cell_loading (struct cell *cell, const char *model, struct timespec *ready_at)
{
  struct search search = { .model = model };

  if (cell->place == NULL)
    return false;
  place_each (cell->place, cell_now (cell), find_loading, &search);
  *ready_at = search.ready_at;
  return search.found;
}

struct description
{
  const char *model; /* NULL: all models */
  struct timespec now;
  json_t *models;
};

static json_t *
describe_holders (const struct place_view *view)
{
  static const char *const states[] = { "cold", "loading", "loaded" };
  json_t *holders = json_array ();

  for (size_t i = 0; i < view->holder_count; i++)
    {
      const struct place_holder *holder = &view->holders[i];

      json_array_append_new (
          holders,
          json_pack ("{s:s, s:s, s:s?, s:b, s:b}", "engine", holder->engine,
                     "state", states[holder->state], "version",
                     holder->version, "unloading", (int)holder->unloading,
                     "leaving", (int)holder->leaving));
    }
  return holders;
}

static void
describe_view (void *user, const struct place_view *view)
{
  static const char *const states[] = { "cold", "loading", "loaded" };
  struct description *description = user;
  double ready_in = 0;

  if (description->model != NULL
      && strcmp (view->name, description->model) != 0)
    return;
  if (view->state == PLACE_LOADING)
    ready_in = ts_to_s (ts_sub (view->ready_at, description->now));
  json_array_append_new (
      description->models,
      json_pack ("{s:s, s:s?, s:s?, s:s, s:f, s:i, s:s, s:o}", "name",
                 view->name, "adapter", view->adapter, "version",
                 view->version, "state", states[view->state], "ready_in_s",
                 ready_in, "waiting", (int)view->waiting, "reason",
                 view->reason, "engines", describe_holders (view)));
}

json_t *
cell_describe (struct cell *cell, const char *model)
{
  struct description description
      = { .model = model, .now = cell_now (cell), .models = json_array () };

  if (cell->place != NULL)
    place_each (cell->place, description.now, describe_view, &description);
  return json_pack ("{s:s, s:s?, s:b, s:I, s:i, s:b, s:o}", "cell", cell->name,
                    "holder", cell_holder (cell), "decided_here",
                    cell->place != NULL, "fence",
                    (json_int_t)lease_fence (cell->lease), "open_orders",
                    (int)intent_open (cell->intent), "table_away",
                    (int)intent_table_unavailable (cell->intent), "models",
                    description.models);
}

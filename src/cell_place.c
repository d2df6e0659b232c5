#include "cell_state.h"

#include <string.h>
#include "log.h"
#include "ts.h"

static void
add_engine (struct cell *cell, const struct fleet_engine *engine,
            struct action_list *list)
{
  if (strcmp (engine->pool, cell->pool) == 0 && !engine->down)
    place_engine_seen (cell->place, engine->id, engine->address, engine->zone,
                       fleet_leaving (engine), cell_now (cell), list);
}

static void
restore_predecessor_orders (struct cell *cell, struct action_list *list)
{
  for (guint i = 0; i < cell->predecessor_orders->len; i++)
    place_restore (cell->place,
                   g_ptr_array_index (cell->predecessor_orders, i),
                   cell_now (cell), list);
}

/* Restores the orders of previous leaseholders before setting the document:
   that triggers planning, which must know their reservations.  */
void
cell_start_placement (struct cell *cell)
{
  struct timespec mono = clk_now (cell->core->clk);
  struct timespec wall = clk_wall (cell->core->clk);
  struct place_options options
      = { .cell = cell->name,
          .seed = g_rand_int (cell->core->rand),
          .now = cell_now (cell),
          .wall_offset = ts_sub (wall, mono),
          .fence = lease_fence (cell->lease),
          .loads_per_s = cell->loads_per_s,
          .loads_at_once = cell->loads_at_once,
          .adapters_at_once = cell->adapters_at_once };
  const struct fleet_engine *engine;
  struct action_list list;
  GHashTableIter iter;

  action_list_init (&list);
  cell->placement_started_at = cell_now (cell);
  cell->place = place_new (&options);
  g_hash_table_iter_init (&iter, fleet_engines (cell->options.fleet));
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    {
      add_engine (cell, engine, &list);
      if (strcmp (engine->pool, cell->pool) == 0)
        fleet_request_report (cell->options.fleet, engine->id);
    }
  restore_predecessor_orders (cell, &list);
  if (cell->doc != NULL)
    place_doc (cell->place, cell->doc, cell_now (cell), &list);
  cell_run_placement_actions (cell, &list);
  kernel_post (cell->core->kernel, KERNEL_CELLS_CHANGED, NULL);
}

void
cell_stop_placement (struct cell *cell)
{
  place_free (cell->place);
  cell->place = NULL;
  g_ptr_array_set_size (cell->predecessor_orders, 0);
  g_hash_table_remove_all (cell->fence_confirmed);
  g_hash_table_remove_all (cell->sent_orders);
  kernel_post (cell->core->kernel, KERNEL_CELLS_CHANGED, NULL);
}

void
cell_set_doc (struct cell *cell, struct doc *doc)
{
  struct doc *former = cell->doc;
  struct action_list list;

  cell->doc = doc_ref (doc);
  action_list_init (&list);
  if (cell->place != NULL)
    place_doc (cell->place, doc, cell_now (cell), &list);
  doc_unref (former);
  cell_run_placement_actions (cell, &list);
  cell_set_timer (cell);
}

void
cell_set_store_share (struct cell *cell, double loads_per_s, unsigned at_once,
                      unsigned adapters_at_once)
{
  struct action_list list;

  cell->loads_per_s = loads_per_s;
  cell->loads_at_once = at_once;
  cell->adapters_at_once = adapters_at_once;
  action_list_init (&list);
  if (cell->place != NULL)
    place_share (cell->place, loads_per_s, at_once, adapters_at_once,
                 cell_now (cell), &list);
  cell_run_placement_actions (cell, &list);
  cell_set_timer (cell);
}

void
cell_engine_changed (struct cell *cell, const struct fleet_engine *engine)
{
  struct action_list list;

  action_list_init (&list);
  if (cell->place != NULL)
    add_engine (cell, engine, &list);
  cell_run_placement_actions (cell, &list);
  cell_set_timer (cell);
}

void
cell_engine_removed (struct cell *cell, const struct fleet_engine *engine)
{
  struct action_list list;

  if (strcmp (engine->pool, cell->pool) != 0)
    return;
  action_list_init (&list);
  g_hash_table_remove (cell->fence_confirmed, engine->id);
  if (cell->place != NULL)
    place_engine_gone (cell->place, engine->id, cell_now (cell), &list);
  cell_run_placement_actions (cell, &list);
  cell_set_timer (cell);
}

static bool
in_cell (const struct cell *cell, const char *id)
{
  const struct fleet_engine *engine = fleet_engine (cell->options.fleet, id);

  return engine != NULL && strcmp (engine->pool, cell->pool) == 0;
}

void
cell_engine_reported (struct cell *cell, const struct fleet_report *posted)
{
  const struct backend_report *report = posted->report;
  struct action_list leases;
  struct action_list places;

  if (cell->place == NULL || !in_cell (cell, report->engine))
    return;
  action_list_init (&leases);
  action_list_init (&places);
  if (cell_check_fence (cell, report, posted->requested_at))
    {
      cell_settle_predecessor_orders (cell, report, &places);
      place_report (cell->place, report, posted->requested_at, cell_now (cell),
                    &places);
    }
  if (report->fence > lease_fence (cell->lease))
    lease_fenced (cell->lease, report->fence, cell_now (cell), &leases);
  cell_run_placement_actions (cell, &places);
  cell_run_lease_actions (cell, &leases);
  cell_set_timer (cell);
}

void
cell_request_arrived (struct cell *cell, const char *target, unsigned count)
{
  if (cell->place != NULL)
    place_request_arrived (cell->place, target, count, cell_now (cell));
}

void
cell_set_waiting (struct cell *cell, const char *node, const char *target,
                  unsigned waiting, struct timespec deadline,
                  unsigned priority)
{
  struct action_list list;

  if (cell->place == NULL)
    return;
  action_list_init (&list);
  place_set_waiting (cell->place, node, target, waiting, deadline, priority,
                     cell_now (cell), &list);
  cell_run_placement_actions (cell, &list);
  cell_set_timer (cell);
}

void
cell_node_dead (struct cell *cell, const char *node)
{
  if (cell->place != NULL)
    place_node_gone (cell->place, node);
}

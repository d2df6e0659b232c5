#include "place_state.h"

#include "ts.h"

#define RESEND_MS 2000 /* between attempts of an unacknowledged order */

static void
release_action (struct action *action)
{
  struct place_action *place_action = (struct place_action *)action;
  struct backend_order *order = &place_action->order;

  g_free ((char *)order->engine);
  g_free ((char *)order->address);
  g_free ((char *)order->order_id);
  g_free ((char *)order->model);
  g_free ((char *)order->version);
  g_free ((char *)order->adapter);
  g_free (place_action->reason);
}

/* Memory of the weights of COPY, without the KV cache reserve.  */
static uint64_t
order_memory_mb (const struct place_copy *copy)
{
  const struct place_target *target = copy->target;
  uint64_t reserve = target->adapter ? 0 : target->kv_reserve_mb;

  return copy->memory_mb > reserve ? copy->memory_mb - reserve : 0;
}

static struct place_action *
push_action (struct place *place, const struct place_order *order,
             enum place_action_type type, struct action_list *out,
             const char *reason)
{
  const struct place_copy *copy = order->copy;
  const struct place_target *target = copy->target;
  const struct place_target *model = target->adapter ? target->base : target;
  struct place_action *action = action_push (out, sizeof *action, type);

  action->action.release = release_action;
  action->reason = g_strdup (reason);
  action->order.type = order->type;
  action->order.engine = g_strdup (copy->engine->id);
  action->order.address = g_strdup (copy->engine->address);
  action->order.order_id = g_strdup (order->id);
  action->order.fence = place->fence;
  action->order.model = g_strdup (model != NULL ? model->name : "");
  action->order.version = g_strdup (copy->version);
  action->order.adapter = target->adapter ? g_strdup (target->name) : NULL;
  action->order.memory_mb = order_memory_mb (copy);
  return action;
}

void
place_queue_settled (struct place *place, const struct place_order *order,
                     bool ok)
{
  push_action (place, order, PLACE_SETTLED, &place->settled, "")->ok = ok;
}

void
place_order_new (struct place *place, struct place_copy *copy, const char *id,
                 enum backend_order_type type, struct timespec now)
{
  struct place_order *order = g_new0 (struct place_order, 1);
  bool load = type == BACKEND_LOAD;

  order->id
      = id != NULL
            ? g_strdup (id)
            : g_strdup_printf ("%s.%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
                               place->cell, place->fence, ++place->orders);
  order->copy = copy;
  order->type = type;
  order->ordered_at = now;
  order->started_at = now;
  order->resend_at = ts_add_ms (now, RESEND_MS);
  order->needs_fetch
      = load && !g_hash_table_contains (copy->engine->disk, copy->key);
  copy->order = order;
  g_hash_table_insert (place->unsettled, order->id, order);
  if (type == BACKEND_ADAPTER_LOAD)
    place->adapter_loads_in_flight++;
  if (order->needs_fetch)
    budget_take (&place->store_budget, now);
}

static void
set_reason (struct place_target *target, const char *reason)
{
  g_free (target->reason);
  target->reason = g_strdup (reason);
}

void
place_emit_load (struct place *place, struct place_engine *engine,
                 struct place_target *target, struct timespec now,
                 struct action_list *out, const char *reason)
{
  bool adapter = target->adapter;
  struct place_copy *copy
      = place_copy_new (engine, target, target->version, target->memory_mb,
                        BACKEND_COPY_LOADING, now);

  place_check_invariants (engine, target);
  place_order_new (place, copy, NULL,
                   adapter ? BACKEND_ADAPTER_LOAD : BACKEND_LOAD, now);
  set_reason (target, reason);
  push_action (place, copy->order, PLACE_ORDER, out, reason);
}

void
place_emit_unload (struct place *place, struct place_copy *copy,
                   struct timespec now, struct action_list *out,
                   const char *reason)
{
  bool adapter = copy->target->adapter;

  place_copy_set_state (copy, BACKEND_COPY_UNLOADING);
  place_order_new (place, copy, NULL,
                   adapter ? BACKEND_ADAPTER_UNLOAD : BACKEND_UNLOAD, now);
  set_reason (copy->target, reason);
  push_action (place, copy->order, PLACE_ORDER, out, reason);
}

void
place_emit_resend (struct place *place, struct place_order *order,
                   struct timespec now, struct action_list *out)
{
  order->resend_at = ts_add_ms (now, RESEND_MS);
  push_action (place, order, PLACE_ORDER, out, "cause=unanswered")->resent
      = true;
}

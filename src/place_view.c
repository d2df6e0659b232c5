#include "place_state.h"

#include "ts.h"

/* Fills HOLDER; returns PLACE_COLD if it accepts no new requests.  */
static enum place_state
describe_copy (const struct place_copy *copy, struct place_holder *holder)
{
  holder->engine = copy->engine->id;
  holder->address = copy->engine->address;
  holder->version = copy->version;
  holder->state
      = copy->state == BACKEND_COPY_LOADING ? PLACE_LOADING : PLACE_LOADED;
  holder->leaving = copy->engine->leaving;
  holder->unloading
      = copy->state == BACKEND_COPY_UNLOADING || place_copy_surplus (copy);
  if (holder->leaving || holder->unloading)
    return PLACE_COLD;
  return holder->state;
}

/* Estimated time at which TARGET is loaded on its first engine.  */
static struct timespec
ready_at (const struct place *place, const struct place_target *target,
          struct timespec now)
{
  double load_s = place_reload_s (place, target) * place->load_time_ratio;
  struct timespec load_time = ts_from_s (load_s);
  struct timespec earliest = ts_add (now, load_time);
  const struct place_copy *copy;

  CK_LIST_FOREACH (copy, &target->copies, target_link)
    {
      if (copy->state == BACKEND_COPY_LOADING && copy->order != NULL)
        earliest
            = ts_min (earliest, ts_add (copy->order->ordered_at, load_time));
    }
  return ts_max (earliest, now);
}

static void
report_target (const struct place *place, const struct place_target *target,
               GArray *holders, struct timespec now,
               void (*fn) (void *user, const struct place_view *view),
               void *user)
{
  struct place_view v = { 0 };
  const struct place_copy *copy;

  g_array_set_size (holders, 0);
  CK_LIST_FOREACH (copy, &target->copies, target_link)
    {
      struct place_holder holder = { 0 };
      enum place_state state = describe_copy (copy, &holder);

      v.state = MAX (v.state, state);
      g_array_append_val (holders, holder);
    }
  v.name = target->name;
  v.adapter = target->adapter ? target->name : NULL;
  v.version = target->version;
  v.ready_at = v.state == PLACE_LOADED ? now : ready_at (place, target, now);
  v.holders = (const struct place_holder *)(void *)holders->data;
  v.holder_count = holders->len;
  v.waiting = target->waiting_count;
  v.reason = target->reason != NULL ? target->reason : "";
  fn (user, &v);
}

void
place_each (const struct place *place, struct timespec now,
            void (*fn) (void *user, const struct place_view *view), void *user)
{
  GArray *holders = g_array_new (FALSE, FALSE, sizeof (struct place_holder));
  GHashTableIter iter;
  gpointer target;

  g_hash_table_iter_init (&iter, place->targets);
  while (g_hash_table_iter_next (&iter, NULL, &target))
    report_target (place, target, holders, now, fn, user);
  g_array_free (holders, TRUE);
}

#include "fetch.h"

#include <stddef.h>
#include "ts.h"

/* A fetch with less work left is complete: absorbs rounding errors.  */
#define WORK_EPSILON_S 1e-6

/* Fraction of full speed at which each running fetch proceeds.  */
static double
speed (const struct fetch_store *store)
{
  return store->count > store->knee ? store->knee / store->count : 1.0;
}

/* Subtracts the work done since the last update.  Must be called before the
   number of running fetches, and so their speed, changes.  */
static void
update_remaining (struct fetch_store *store)
{
  struct timespec now = loop_now (store->loop);
  double done_s = ts_to_s (ts_sub (now, store->updated_at)) * speed (store);
  struct fetch *fetch;

  CK_LIST_FOREACH (fetch, &store->running, link)
    {
      fetch->remaining_s -= done_s;
    }
  store->updated_at = now;
}

static void
arm_timer (struct fetch_store *store)
{
  double shortest_s = -1;
  struct fetch *fetch;

  CK_LIST_FOREACH (fetch, &store->running, link)
    {
      if (shortest_s < 0 || fetch->remaining_s < shortest_s)
        shortest_s = fetch->remaining_s > 0 ? fetch->remaining_s : 0;
    }
  if (shortest_s < 0)
    loop_timer_clear (store->loop, &store->timer);
  else
    loop_timer_set (store->loop, &store->timer,
                    ts_add (loop_now (store->loop),
                            ts_from_s (shortest_s / speed (store))));
}

static void
remove_running (struct fetch *fetch)
{
  fetch->running = false;
  fetch->store->count--;
  CK_LIST_REMOVE (fetch, link);
}

static void
completion_timer_fire (struct loop_timer *timer)
{
  struct fetch_store *store
      = (struct fetch_store *)((char *)timer
                               - offsetof (struct fetch_store, timer));
  struct fetch *fetch;
  struct fetch *next;

  update_remaining (store);
  CK_LIST_FOREACH_SAFE (fetch, &store->running, link, next)
    {
      if (fetch->remaining_s > WORK_EPSILON_S)
        continue;
      remove_running (fetch);
      fetch->done (fetch);
    }
  arm_timer (store);
}

static void
start_timer_fire (struct loop_timer *timer)
{
  struct fetch *fetch
      = (struct fetch *)((char *)timer - offsetof (struct fetch, start));
  struct fetch_store *store = fetch->store;

  update_remaining (store);
  fetch->running = true;
  CK_LIST_INSERT_HEAD (&store->running, fetch, link);
  store->count++;
  store->started++;
  if (store->count > store->peak)
    store->peak = store->count;
  arm_timer (store);
}

void
fetch_store_init (struct fetch_store *store, struct loop *loop, double rate,
                  double knee)
{
  *store = (struct fetch_store){ .loop = loop, .rate = rate, .knee = knee };
  store->timer.fire = completion_timer_fire;
  store->updated_at = loop_now (loop);
  CK_LIST_INIT (&store->running);
}

void
fetch_begin (struct fetch_store *store, struct fetch *fetch, double duration_s)
{
  struct timespec at = ts_max (loop_now (store->loop), store->next_start);

  fetch->store = store;
  fetch->remaining_s = duration_s;
  fetch->running = false;
  fetch->start = (struct loop_timer){ .fire = start_timer_fire };
  if (store->rate > 0)
    store->next_start = ts_add (at, ts_from_s (1 / store->rate));
  loop_timer_set (store->loop, &fetch->start, at);
}

void
fetch_cancel (struct fetch *fetch)
{
  if (fetch->store == NULL)
    return;
  loop_timer_clear (fetch->store->loop, &fetch->start);
  if (!fetch->running)
    return;
  update_remaining (fetch->store);
  remove_running (fetch);
  arm_timer (fetch->store);
}

/* Placement decisions under typical patterns of load.  */

#include <glib.h>
#include "planner.h"
#include "ts.h"

#define MODELS 6
#define MEMORY_MB 200
#define BIG_MB 90

struct fixture
{
  struct planner *planner;
  struct site_service service;
  struct site_model models[MODELS];
  char names[MODELS][4];
  struct action_list list;
  int64_t ms;
  const char *software; /* of the engines reported next; NULL: unknown */
};

/* COUNT of the models are configured.  */
static void
set_up (struct fixture *f, size_t count)
{
  struct planner_options options
      = { .loads_at_once = 2, .now = ts_from_ms (0) };

  memset (f, 0, sizeof *f);
  for (int i = 0; i < MODELS; i++)
    {
      g_snprintf (f->names[i], sizeof f->names[i], "m%d", i);
      f->models[i] = (struct site_model){ .name = f->names[i],
                                          .memory_mb = BIG_MB,
                                          .adapters = i == 0 ? 9 : 0,
                                          .load_s = 6.0,
                                          .disk_s = 1.2,
                                          .memory_s = 0.4 };
    }
  f->service = (struct site_service){ .name = (char *)"s",
                                      .engines = true,
                                      .memory_mb = MEMORY_MB,
                                      .adapter_slots = 2,
                                      .loads_per_s = 2.0,
                                      .models = f->models,
                                      .model_count = count };
  f->planner = planner_new (&options);
  planner_set_service (f->planner, &f->service, ts_from_ms (0));
  action_list_init (&f->list);
  f->ms = 20000; /* long after planner_new: the token bucket is full */
}

static void
tear_down (struct fixture *f)
{
  action_list_clear (&f->list);
  planner_free (f->planner);
}

/* Adds NAME, "MODEL" or "MODEL/ADAPTER".  */
static void
add_loaded (struct inventory *inventory, const char *name)
{
  char **parts = g_strsplit (name, "/", 2);
  struct inventory_model *model = inventory_add (inventory, parts[0]);

  if (parts[1] != NULL)
    inventory_add_adapter (model, parts[1]);
  g_strfreev (parts);
}

/* Engine ID reports the models LOADED in accelerator memory, each with one
   adapter at most, and the weights ON_DISK, names separated by blanks.  */
static void
report (struct fixture *f, const char *id, uint64_t sequence, bool busy,
        const char *loaded, const char *on_disk)
{
  struct inventory *inventory = inventory_new ();
  struct server_entry entry = { .id = (char *)id,
                                .address = (char *)"10.0.0.1:1",
                                .zone = (char *)"z",
                                .service = (char *)"s",
                                .slots = 8,
                                .software = (char *)f->software,
                                .inventory = inventory };
  char **names = g_strsplit (loaded, " ", -1);
  char **weights = g_strsplit (on_disk, " ", -1);

  inventory->born = 1;
  inventory->sequence = sequence;
  inventory->busy = busy;
  for (char **name = names; *name != NULL; name++)
    if (**name != '\0')
      add_loaded (inventory, *name);
  for (char **name = weights; *name != NULL; name++)
    g_ptr_array_add (inventory->on_disk, g_strdup (*name));
  planner_update_engine (f->planner, &entry);
  planner_report (f->planner, id, inventory, ts_from_ms (f->ms), &f->list);
  inventory_free (inventory);
  g_strfreev (names);
  g_strfreev (weights);
}

/* The next order as "load ENGINE TARGET" or "unload ENGINE TARGET"; NULL if
   there is none.  */
static char *
next_order (struct fixture *f)
{
  struct action *next;
  char *text = NULL;

  while (text == NULL && (next = action_pop (&f->list)) != NULL)
    {
      const struct planner_action *action = (struct planner_action *)next;
      bool load = action->type == BACKEND_LOAD
                  || action->type == BACKEND_ADAPTER_LOAD;

      if (next->type == PLANNER_ORDER)
        text = g_strdup_printf (
            "%s %s %s%s%s", load ? "load" : "unload", action->engine,
            action->model, action->adapter != NULL ? "/" : "",
            action->adapter != NULL ? action->adapter : "");
      action_free (next);
    }
  return text;
}

static void
check_order (struct fixture *f, const char *expected)
{
  char *order = next_order (f);

  g_assert_cmpstr (order, ==, expected);
  g_free (order);
}

static void
tick (struct fixture *f, int64_t ms)
{
  f->ms += ms;
  planner_tick (f->planner, ts_from_ms (f->ms), &f->list);
}

static void
accept (struct fixture *f, const char *id)
{
  planner_order_answered (f->planner, id, BACKEND_ACCEPTED, ts_from_ms (f->ms),
                          &f->list);
}

/* A request for a rarely used model: the engine with the weights on disk loads
   it and evicts the model without requests.  */
static void
test_load_from_disk (void)
{
  struct fixture f;

  set_up (&f, MODELS);
  report (&f, "e1", 3, false, "m0 m1", "m0 m1");
  report (&f, "e2", 3, false, "m2 m3", "m2 m3 m4");
  for (int i = 0; i < 40; i++)
    {
      planner_request_arrived (f.planner, "m0", 1, ts_from_ms (f.ms));
      planner_request_arrived (f.planner, "m1", 1, ts_from_ms (f.ms));
      planner_request_arrived (f.planner, "m3", 1, ts_from_ms (f.ms));
      f.ms += 50;
    }
  planner_set_waiting (f.planner, "n", "m4", 1, 0, ts_from_ms (f.ms));
  tick (&f, 100);
  check_order (&f, "unload e2 m2");
  accept (&f, "e2");
  f.ms += 300;
  report (&f, "e2", 4, false, "m3", "m2 m3 m4");
  tick (&f, 100);
  check_order (&f, "load e2 m4");
  tear_down (&f);
}

/* A new decider has not seen the arrival of a request that has waited long.
   The model loaded for it must not be evicted before the request has reached
   the engine.  */
static void
test_waiting_before_takeover (void)
{
  struct fixture f;

  set_up (&f, MODELS);
  report (&f, "e1", 3, false, "m0 m1", "m0 m1 m2 m3");
  planner_request_arrived (f.planner, "m0", 1, ts_from_ms (f.ms));
  planner_set_waiting (f.planner, "n", "m2", 1, 0, ts_from_ms (f.ms));
  tick (&f, 100);
  check_order (&f, "unload e1 m1");
  accept (&f, "e1");
  f.ms += 300;
  report (&f, "e1", 4, false, "m0", "m0 m1 m2 m3");
  tick (&f, 100);
  check_order (&f, "load e1 m2");
  accept (&f, "e1");
  f.ms += 2000;
  report (&f, "e1", 5, false, "m0 m2", "m0 m1 m2 m3");
  planner_set_waiting (f.planner, "n", "m2", 0, 0, ts_from_ms (f.ms));
  planner_set_waiting (f.planner, "n", "m3", 1, 0, ts_from_ms (f.ms));
  tick (&f, 10);
  check_order (&f, "unload e1 m0");
  tear_down (&f);
}

/* The request rate of a model drops while its second replica is being fetched:
   the serving replica must not be evicted as surplus.  */
static void
test_surplus (void)
{
  struct fixture f;

  set_up (&f, MODELS);
  report (&f, "e1", 3, false, "m0 m1", "m0 m1 m4");
  report (&f, "e2", 3, false, "m2", "m2");
  planner_request_arrived (f.planner, "m0", 32, ts_from_ms (f.ms));
  tick (&f, 100);
  check_order (&f, "load e2 m0");
  accept (&f, "e2");
  f.ms += 4000;
  planner_set_waiting (f.planner, "n", "m4", 1, 0, ts_from_ms (f.ms));
  tick (&f, 100);
  check_order (&f, "unload e1 m1");
  tear_down (&f);
}

/* Guards against resumed streams that wait in vain because their model is
   loaded only on engines with another version of the software.  */
static void
test_resuming (void)
{
  struct fixture f;

  set_up (&f, 2);
  f.software = "v1";
  report (&f, "e1", 3, false, "m0", "m0 m1");
  report (&f, "e2", 3, false, "m1", "m0 m1");
  f.software = "v2";
  report (&f, "e3", 3, false, "m1", "m1");
  planner_set_resuming (f.planner, "n", "m0", "v1", 1, 0, ts_from_ms (f.ms));
  tick (&f, 100);
  check_order (&f, NULL);
  planner_set_resuming (f.planner, "n", "m0", "v1", 0, 0, ts_from_ms (f.ms));
  planner_set_resuming (f.planner, "n", "m0", "v2", 1, 0, ts_from_ms (f.ms));
  tick (&f, 100);
  check_order (&f, "load e3 m0");
  accept (&f, "e3");
  tick (&f, 100);
  check_order (&f, NULL);
  tear_down (&f);
}

/* The same for an adapter.  */
static void
test_resuming_adapter (void)
{
  struct fixture f;

  set_up (&f, 1);
  f.software = "v1";
  report (&f, "e1", 3, false, "m0", "m0");
  planner_set_waiting (f.planner, "n", "m0/a1", 1, 0, ts_from_ms (f.ms));
  tick (&f, 0);
  check_order (&f, "load e1 m0/a1");
  accept (&f, "e1");
  planner_set_waiting (f.planner, "n", "m0/a1", 0, 0, ts_from_ms (f.ms));
  f.software = "v2";
  report (&f, "e2", 3, false, "m0", "m0");
  planner_set_resuming (f.planner, "n", "m0/a1", "v1", 1, 0,
                        ts_from_ms (f.ms));
  tick (&f, 20);
  check_order (&f, NULL);
  planner_set_resuming (f.planner, "n", "m0/a1", "v2", 1, 0,
                        ts_from_ms (f.ms));
  tick (&f, 20);
  check_order (&f, "load e2 m0/a1");
  tear_down (&f);
}

/* A new decider takes over while two engines carry out orders of the previous
   one.  These may be fetches and count against the budget of two.  */
static void
test_fetches_of_previous_decider (void)
{
  struct fixture f;

  set_up (&f, MODELS);
  report (&f, "e1", 3, true, "m0", "m0");
  report (&f, "e2", 3, true, "m1", "m1");
  report (&f, "e3", 3, false, "m2", "m2");
  planner_set_waiting (f.planner, "n", "m5", 1, 0, ts_from_ms (f.ms));
  tick (&f, 1000);
  check_order (&f, NULL);
  report (&f, "e1", 3, false, "m0 m3", "m0 m3");
  tick (&f, 100);
  check_order (&f, "load e3 m5");
  tear_down (&f);
}

/* Starts a fetch of the model NAME for a waiting request; returns the engine,
   which the caller frees.  */
static char *
begin_fetch (struct fixture *f, const char *name)
{
  char *order;
  char *engine;

  planner_set_waiting (f->planner, "n", name, 1, 0, ts_from_ms (f->ms));
  tick (f, 1000);
  order = next_order (f);
  g_assert_nonnull (order);
  g_assert_true (g_str_has_prefix (order, "load "));
  g_assert_true (g_str_has_suffix (order, name));
  engine = g_strndup (order + strlen ("load "), 2);
  accept (f, engine);
  g_free (order);
  return engine;
}

static void
end_fetch (struct fixture *f, char *engine, const char *name)
{
  report (f, engine, 4, false, name, name);
  planner_set_waiting (f->planner, "n", name, 0, 0, ts_from_ms (f->ms));
  g_free (engine);
}

/* The second of two concurrent fetches takes twice as long, so the weight
   store serves only one at full speed, not two as configured.  */
static void
test_slow_store (void)
{
  struct fixture f;
  char *first;
  char *second;

  set_up (&f, MODELS);
  report (&f, "e1", 3, false, "", "");
  report (&f, "e2", 3, false, "", "");
  report (&f, "e3", 3, false, "", "");
  first = begin_fetch (&f, "m1");
  second = begin_fetch (&f, "m2");
  f.ms += 5000;
  end_fetch (&f, first, "m1");
  f.ms += 7000;
  end_fetch (&f, second, "m2");
  g_free (begin_fetch (&f, "m3"));
  planner_set_waiting (f.planner, "n", "m4", 1, 0, ts_from_ms (f.ms));
  tick (&f, 1000);
  check_order (&f, NULL);
  tear_down (&f);
}

/* The only engine with the weights on disk is busy: the planner waits for it
   instead of fetching the model on another engine.  */
static void
test_busy_engine (void)
{
  struct fixture f;

  set_up (&f, MODELS);
  report (&f, "e1", 3, false, "m0 m1", "m0 m1 m5");
  report (&f, "e2", 3, false, "m2", "m2 m3 m4");
  planner_set_waiting (f.planner, "n", "m3", 1, 0, ts_from_ms (f.ms));
  tick (&f, 1000);
  check_order (&f, "load e2 m3");
  accept (&f, "e2");
  planner_set_waiting (f.planner, "n", "m4", 1, 0, ts_from_ms (f.ms));
  tick (&f, 100);
  check_order (&f, NULL);
  tear_down (&f);
}

/* Models without requests do not evict each other.  */
static void
test_idle_models_stay (void)
{
  struct fixture f;

  set_up (&f, MODELS);
  report (&f, "e1", 3, false, "m0 m1", "m0 m1 m2 m3 m4 m5");
  report (&f, "e2", 3, false, "m2 m3", "m0 m1 m2 m3 m4 m5");
  for (int i = 0; i < 100; i++)
    tick (&f, 100);
  check_order (&f, NULL);
  tear_down (&f);
}

/* A request for an adapter while both slots are in use: the adapter idle for
   longest is unloaded, but not while it is still being loaded.  */
static void
test_adapters (void)
{
  struct fixture f;

  set_up (&f, 1);
  report (&f, "e1", 3, false, "m0", "m0");
  planner_set_waiting (f.planner, "n", "m0/a1", 1, 0, ts_from_ms (f.ms));
  tick (&f, 0);
  check_order (&f, "load e1 m0/a1");
  accept (&f, "e1");
  planner_set_waiting (f.planner, "n", "m0/a2", 1, 0, ts_from_ms (f.ms));
  tick (&f, 20);
  check_order (&f, "load e1 m0/a2");
  accept (&f, "e1");
  planner_set_waiting (f.planner, "n", "m0/a1", 0, 0, ts_from_ms (f.ms));
  planner_set_waiting (f.planner, "n", "m0/a2", 0, 0, ts_from_ms (f.ms));
  planner_request_arrived (f.planner, "m0/a2", 1, ts_from_ms (f.ms));
  planner_set_waiting (f.planner, "n", "m0/a3", 1, 0, ts_from_ms (f.ms));
  tick (&f, 20);
  check_order (&f, NULL);
  tick (&f, 500);
  check_order (&f, "unload e1 m0/a1");
  planner_order_answered (f.planner, "e1", BACKEND_UNCHANGED,
                          ts_from_ms (f.ms), &f.list);
  tick (&f, 0);
  check_order (&f, "load e1 m0/a3");
  tear_down (&f);
}

/* All slots are in use: an adapter that a request was just dispatched to is
   not unloaded, because the engine would accept no order until that request
   has ended.  */
static void
test_adapter_in_use (void)
{
  struct fixture f;

  set_up (&f, 1);
  report (&f, "e1", 3, false, "m0", "m0");
  planner_set_waiting (f.planner, "n", "m0/a1", 1, 0, ts_from_ms (f.ms));
  tick (&f, 0);
  check_order (&f, "load e1 m0/a1");
  accept (&f, "e1");
  planner_set_waiting (f.planner, "n", "m0/a1", 0, 0, ts_from_ms (f.ms));
  planner_request_arrived (f.planner, "m0/a1", 5, ts_from_ms (f.ms));
  planner_set_waiting (f.planner, "n", "m0/a2", 1, 0, ts_from_ms (f.ms));
  tick (&f, 20);
  check_order (&f, "load e1 m0/a2");
  accept (&f, "e1");
  f.ms += 3000;
  tick (&f, 0);
  planner_set_waiting (f.planner, "n", "m0/a2", 0, 0, ts_from_ms (f.ms));
  planner_request_arrived (f.planner, "m0/a2", 1, ts_from_ms (f.ms));
  planner_set_waiting (f.planner, "n", "m0/a3", 1, 0, ts_from_ms (f.ms));
  tick (&f, 10);
  check_order (&f, "unload e1 m0/a1");
  tear_down (&f);
}

/* Requests wait for a model on an engine that is down: the planner asks for a
   report, finds no process there, and loads the model on another engine.  */
static void
test_engine_down (void)
{
  struct fixture f;
  struct action *action;
  bool asked = false;

  set_up (&f, 2);
  report (&f, "e1", 3, false, "m0", "m0");
  report (&f, "e2", 3, false, "m1", "m0 m1");
  planner_set_waiting (f.planner, "n", "m0", 1, 0, ts_from_ms (f.ms));
  tick (&f, 1000);
  while ((action = action_pop (&f.list)) != NULL)
    {
      asked = asked || action->type == PLANNER_GET_REPORT;
      g_assert_cmpint (action->type, !=, PLANNER_ORDER);
      action_free (action);
    }
  g_assert_true (asked);
  planner_engine_down (f.planner, "e1");
  tick (&f, 100);
  check_order (&f, "load e2 m0");
  tear_down (&f);
}

/* A response is lost: the identical order is sent again, with the same count,
   until a report shows that it was carried out.  */
static void
test_lost_answer (void)
{
  struct fixture f;

  set_up (&f, 1);
  report (&f, "e1", 3, false, "", "m0");
  planner_set_waiting (f.planner, "n", "m0", 1, 0, ts_from_ms (f.ms));
  tick (&f, 1000);
  check_order (&f, "load e1 m0");
  planner_order_answered (f.planner, "e1", BACKEND_UNKNOWN, ts_from_ms (f.ms),
                          &f.list);
  tick (&f, 1000);
  check_order (&f, "load e1 m0");
  planner_order_answered (f.planner, "e1", BACKEND_BUSY, ts_from_ms (f.ms),
                          &f.list);
  f.ms += 200;
  report (&f, "e1", 4, true, "", "m0");
  g_assert_cmpuint (planner_open_orders (f.planner), ==, 1);
  f.ms += 1500;
  report (&f, "e1", 4, false, "m0", "m0");
  g_assert_cmpuint (planner_open_orders (f.planner), ==, 0);
  tear_down (&f);
}

/* Two requests wait for a rare model while the models on the only engine get
   fourteen a second each: neither is evicted for these two.  It is once the
   waiting requests are worth more than the delay of the others, which the
   eviction causes.  */
static void
test_busy_models_stay (void)
{
  struct fixture f;

  set_up (&f, MODELS);
  report (&f, "e1", 3, false, "m0 m1", "m0 m1 m2");
  for (int i = 0; i < 200; i++)
    {
      planner_request_arrived (f.planner, "m0", 1, ts_from_ms (f.ms));
      planner_request_arrived (f.planner, "m1", 1, ts_from_ms (f.ms));
      f.ms += 70;
    }
  planner_set_waiting (f.planner, "n", "m2", 2, 0, ts_from_ms (f.ms));
  tick (&f, 2000);
  check_order (&f, NULL);
  planner_set_waiting (f.planner, "n", "m2", 40, 0, ts_from_ms (f.ms));
  tick (&f, 2000);
  check_order (&f, "unload e1 m0");
  tear_down (&f);
}

/* Two models are short of replicas, and the weight store serves one fetch at a
   time: the one whose replicas are busier comes first, although fewer requests
   come for it and none of them waits.  */
static void
test_busiest_replicas_first (void)
{
  struct fixture f;

  set_up (&f, MODELS);
  f.service.loads_per_s = 0.1;
  planner_set_service (f.planner, &f.service, ts_from_ms (f.ms));
  report (&f, "e1", 3, false, "m0", "m0");
  report (&f, "e2", 3, false, "m0", "m0");
  report (&f, "e3", 3, false, "m0", "m0");
  report (&f, "e4", 3, false, "m1", "m1");
  report (&f, "e5", 3, false, "", "");
  for (int i = 0; i < 200; i++)
    {
      planner_request_arrived (f.planner, "m0", 3, ts_from_ms (f.ms));
      planner_request_arrived (f.planner, "m1", 2, ts_from_ms (f.ms));
      f.ms += 70;
    }
  planner_set_waiting (f.planner, "n", "m0", 1, 0, ts_from_ms (f.ms));
  tick (&f, 100);
  check_order (&f, "load e5 m1");
  tear_down (&f);
}

/* A model that has just been loaded is not evicted at once for another.  */
static void
test_recent_load_stays (void)
{
  struct fixture f;

  set_up (&f, MODELS);
  report (&f, "e1", 3, false, "m0 m1", "m0 m1 m2 m3");
  for (int i = 0; i < 80; i++)
    {
      planner_request_arrived (f.planner, "m0", 2, ts_from_ms (f.ms));
      f.ms += 100;
    }
  planner_set_waiting (f.planner, "n", "m2", 1, 0, ts_from_ms (f.ms));
  tick (&f, 100);
  check_order (&f, "unload e1 m1");
  accept (&f, "e1");
  f.ms += 300;
  report (&f, "e1", 4, false, "m0", "m0 m1 m2 m3");
  tick (&f, 100);
  check_order (&f, "load e1 m2");
  accept (&f, "e1");
  f.ms += 1400;
  report (&f, "e1", 5, false, "m0 m2", "m0 m1 m2 m3");
  planner_set_waiting (f.planner, "n", "m2", 0, 0, ts_from_ms (f.ms));
  planner_set_waiting (f.planner, "n", "m3", 1, 0, ts_from_ms (f.ms));
  tick (&f, 2000);
  check_order (&f, NULL);
  tick (&f, 3000);
  check_order (&f, "unload e1 m2");
  tear_down (&f);
}

/* Two engines have m0, its only model; the adapter that requests wait for is
   at the one that takes PER_S requests a second.  Returns the next order.  */
static char *
order_beside_limit (double per_s)
{
  struct fixture f;
  char *order;

  set_up (&f, 1);
  report (&f, "e1", 1, false, "m0/a1", "");
  report (&f, "e2", 1, false, "m0", "");
  planner_set_limit (f.planner, "e1", per_s);
  planner_request_arrived (f.planner, "m0", 8, ts_from_ms (f.ms));
  planner_request_arrived (f.planner, "m0/a1", 8, ts_from_ms (f.ms));
  planner_set_waiting (f.planner, "n1", "m0/a1", 2, 0, ts_from_ms (f.ms));
  tick (&f, 100);
  order = next_order (&f);
  tear_down (&f);
  return order;
}

/* Requests for an adapter waited at the only engine that had it, whose limit
   was lower than their rate.  */
static void
test_limited_adapter (void)
{
  char *order = order_beside_limit (0.2);

  g_assert_cmpstr (order, ==, "load e2 m0/a1");
  g_free (order);
  order = order_beside_limit (1000);
  g_assert_null (order);
}

/* The same for a model.  */
static void
test_limited_model (void)
{
  struct fixture f;

  set_up (&f, 1);
  report (&f, "e1", 1, false, "m0", "");
  report (&f, "e2", 1, false, "", "m0");
  planner_set_limit (f.planner, "e1", 0.2);
  planner_request_arrived (f.planner, "m0", 8, ts_from_ms (f.ms));
  tick (&f, 100);
  check_order (&f, NULL);
  planner_set_waiting (f.planner, "n1", "m0", 2, 0, ts_from_ms (f.ms));
  tick (&f, 100);
  check_order (&f, "load e2 m0");
  tear_down (&f);
}

/* Models and adapters that no engine had were never loaded, since all engines
   were short of their limits.  */
static void
test_limited_everywhere (void)
{
  struct fixture f;

  set_up (&f, 2);
  report (&f, "e1", 1, false, "m0", "m1");
  planner_set_limit (f.planner, "e1", 0.2);
  planner_request_arrived (f.planner, "m0", 8, ts_from_ms (f.ms));
  planner_set_waiting (f.planner, "n1", "m0/a1", 1, 0, ts_from_ms (f.ms));
  tick (&f, 100);
  check_order (&f, "load e1 m0/a1");
  planner_set_waiting (f.planner, "n1", "m0/a1", 0, 0, ts_from_ms (f.ms));
  planner_order_answered (f.planner, "e1", BACKEND_UNCHANGED,
                          ts_from_ms (f.ms), &f.list);
  planner_set_waiting (f.planner, "n1", "m1", 1, 0, ts_from_ms (f.ms));
  tick (&f, 1000);
  check_order (&f, "load e1 m1");
  tear_down (&f);
}

/* A model without a replica whose weights are on the disk of one engine, where
   requests have just been sent: the engine loads it a moment later, in a third
   of the time that another one takes to fetch it.  */
static void
test_copy_first (void)
{
  struct fixture f;

  set_up (&f, 5);
  report (&f, "e1", 3, false, "m0 m1", "m0 m1 m4");
  report (&f, "e2", 3, false, "m2 m3", "m2 m3");
  for (int i = 0; i < 2; i++)
    {
      planner_set_waiting (f.planner, "n", f.names[i], 1, 0,
                           ts_from_ms (f.ms));
      planner_set_waiting (f.planner, "n", f.names[i], 0, 0,
                           ts_from_ms (f.ms));
    }
  f.ms += 400;
  planner_set_waiting (f.planner, "n", "m4", 1, 0, ts_from_ms (f.ms));
  tick (&f, 0);
  check_order (&f, NULL);
  tick (&f, 1000);
  check_order (&f, NULL);
  tick (&f, 200);
  check_order (&f, "unload e1 m0");
  tear_down (&f);
}

/* The same, and requests go on at that engine: the weights are fetched after
   all.  */
static void
test_copy_not_free (void)
{
  struct fixture f;

  set_up (&f, 5);
  report (&f, "e1", 3, false, "m0 m1", "m0 m1 m4");
  report (&f, "e2", 3, false, "m2 m3", "m2 m3");
  planner_set_waiting (f.planner, "n", "m4", 1, 0, ts_from_ms (f.ms));
  planner_set_waiting (f.planner, "n", "m0", 1, 0, ts_from_ms (f.ms));
  planner_set_waiting (f.planner, "n", "m1", 1, 0, ts_from_ms (f.ms));
  tick (&f, 1000);
  check_order (&f, NULL);
  tick (&f, 600);
  check_order (&f, "unload e2 m2");
  tear_down (&f);
}

/* Rarely used models on full engines, asked for in turn: none is loaded ahead
   of requests in the place of another one, which may be asked for next.  */
static void
test_rare_models_in_turn (void)
{
  struct fixture f;

  set_up (&f, 3);
  report (&f, "e1", 3, false, "m0 m1", "m0 m1 m2");
  for (int i = 0; i < 30; i++)
    {
      planner_request_arrived (f.planner, f.names[i % 3], 1,
                               ts_from_ms (f.ms));
      tick (&f, 1000);
      check_order (&f, NULL);
    }
  tear_down (&f);
}

/* A model with many short requests beside rarely used ones, whose places it
   would take: as many replicas as its requests need of the engines' time.  */
static void
test_short_requests (void)
{
  struct fixture f;

  set_up (&f, 4);
  planner_set_request_time (f.planner, 0.03);
  report (&f, "e1", 3, false, "m0 m1", "m0 m1 m2 m3");
  report (&f, "e2", 3, false, "m2 m3", "m0 m1 m2 m3");
  planner_request_arrived (f.planner, "m0", 60, ts_from_ms (f.ms));
  tick (&f, 100);
  check_order (&f, NULL);
  planner_set_request_time (f.planner, 0.12);
  tick (&f, 100);
  check_order (&f, "unload e2 m2");
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/planner/rare-model", test_load_from_disk);
  g_test_add_func ("/planner/waiting-before-takeover",
                   test_waiting_before_takeover);
  g_test_add_func ("/planner/surplus", test_surplus);
  g_test_add_func ("/planner/resuming", test_resuming);
  g_test_add_func ("/planner/resuming-adapter", test_resuming_adapter);
  g_test_add_func ("/planner/fetches-before",
                   test_fetches_of_previous_decider);
  g_test_add_func ("/planner/slow-store", test_slow_store);
  g_test_add_func ("/planner/weights-on-busy-engine", test_busy_engine);
  g_test_add_func ("/planner/idle-models-stay", test_idle_models_stay);
  g_test_add_func ("/planner/adapters", test_adapters);
  g_test_add_func ("/planner/limited-adapter", test_limited_adapter);
  g_test_add_func ("/planner/limited-model", test_limited_model);
  g_test_add_func ("/planner/limited-everywhere", test_limited_everywhere);
  g_test_add_func ("/planner/adapter-in-use", test_adapter_in_use);
  g_test_add_func ("/planner/engine-down", test_engine_down);
  g_test_add_func ("/planner/lost-answer", test_lost_answer);
  g_test_add_func ("/planner/busy-models-stay", test_busy_models_stay);
  g_test_add_func ("/planner/busiest-replicas-first",
                   test_busiest_replicas_first);
  g_test_add_func ("/planner/copy-first", test_copy_first);
  g_test_add_func ("/planner/copy-not-free", test_copy_not_free);
  g_test_add_func ("/planner/rare-models-in-turn", test_rare_models_in_turn);
  g_test_add_func ("/planner/short-requests", test_short_requests);
  g_test_add_func ("/planner/recent-load-stays", test_recent_load_stays);
  return g_test_run ();
}

/* Orders for services whose engines tell no pace: they must not change when
   the planning by delay does.  The checksum is of the orders that the planner
   gave for this input before it planned by delay.  */

#include <glib.h>
#include "planner.h"
#include "ts.h"

#define MODELS 24
#define ENGINES 8
#define STEPS 600
#define STEP_MS 100
#define EXPECTED_ORDERS 261
#define EXPECTED_SUM                                                          \
  "c04dcebfde18778d2024dd9c03d7862a0c921022f109888c3e7d97f3fdc19383"

struct fixture
{
  struct planner *planner;
  struct site_model models[MODELS];
  struct action_list list;
  struct inventory *engines[ENGINES];
  /* The order that an engine carries out.  */
  char *changing[ENGINES];
  enum backend_order_type type[ENGINES];
  int64_t ends_ms[ENGINES];
  int64_t ms;
  GRand *rand;
  GChecksum *sum;
  unsigned orders;
};

static unsigned
engine_index (const char *id)
{
  return (unsigned)g_ascii_strtoull (id + 1, NULL, 10);
}

static void
report (struct fixture *f, unsigned i)
{
  char id[8];
  struct server_entry entry = { .id = id,
                                .address = (char *)"10.0.0.1:1",
                                .zone = (char *)"z",
                                .service = (char *)"s",
                                .slots = 8,
                                .inventory = f->engines[i] };

  g_snprintf (id, sizeof id, "e%u", i);
  planner_update_engine (f->planner, &entry);
  planner_report (f->planner, id, f->engines[i], ts_from_ms (f->ms), &f->list);
}

static void
carry_out (struct fixture *f, const struct planner_action *action)
{
  unsigned i = engine_index (action->engine);
  char *text
      = g_strdup_printf ("%" G_GINT64_FORMAT " %d %s %s\n", f->ms,
                         (int)action->type, action->engine, action->model);

  g_checksum_update (f->sum, (const guchar *)text, -1);
  g_free (text);
  f->orders++;
  f->engines[i]->sequence++;
  f->engines[i]->busy = true;
  f->changing[i] = g_strdup (action->model);
  f->type[i] = action->type;
  f->ends_ms[i] = f->ms + (action->type == BACKEND_LOAD ? 1200 : 200);
  planner_order_answered (f->planner, action->engine, BACKEND_ACCEPTED,
                          ts_from_ms (f->ms), &f->list);
}

static void
run_engines (struct fixture *f)
{
  for (unsigned i = 0; i < ENGINES; i++)
    {
      if (f->changing[i] == NULL || f->ms < f->ends_ms[i])
        continue;
      if (f->type[i] == BACKEND_LOAD)
        {
          inventory_add (f->engines[i], f->changing[i]);
          g_ptr_array_add (f->engines[i]->on_disk, g_strdup (f->changing[i]));
        }
      else
        inventory_remove_model (f->engines[i], f->changing[i]);
      f->engines[i]->busy = false;
      g_clear_pointer (&f->changing[i], g_free);
      report (f, i);
    }
}

static void
run_actions (struct fixture *f)
{
  struct action *next;

  while ((next = action_pop (&f->list)) != NULL)
    {
      const struct planner_action *action = (struct planner_action *)next;

      if (next->type == PLANNER_ORDER)
        carry_out (f, action);
      else if (next->type == PLANNER_GET_REPORT)
        report (f, engine_index (action->engine));
      action_free (next);
    }
}

/* Requests for models of which the first are asked for most often, waiting for
   those that no engine has.  */
static void
send_requests (struct fixture *f)
{
  for (int i = 0; i < 4; i++)
    {
      double x = g_rand_double (f->rand);
      const char *model = f->models[(int)(x * x * x * MODELS)].name;
      bool loaded = false;

      for (unsigned e = 0; e < ENGINES; e++)
        loaded |= inventory_has (f->engines[e], model, NULL);
      planner_request_arrived (f->planner, model, 1, ts_from_ms (f->ms));
      planner_set_waiting (f->planner, "n", model, !loaded,
                           (unsigned)(x * 100) % 2, ts_from_ms (f->ms));
    }
}

static void
set_up (struct fixture *f, struct site_service *service)
{
  struct planner_options options = { .loads_at_once = 2 };

  memset (f, 0, sizeof *f);
  for (int i = 0; i < MODELS; i++)
    f->models[i]
        = (struct site_model){ .name = g_strdup_printf ("m%d", i),
                               .memory_mb = 50 + (uint64_t)(i % 3) * 20,
                               .load_s = 6,
                               .disk_s = 1.2,
                               .memory_s = 0.4 };
  *service = (struct site_service){ .name = (char *)"s",
                                    .engines = true,
                                    .memory_mb = 200,
                                    .loads_per_s = 2,
                                    .models = f->models,
                                    .model_count = MODELS };
  f->ms = 20000;
  f->rand = g_rand_new_with_seed (7);
  f->sum = g_checksum_new (G_CHECKSUM_SHA256);
  action_list_init (&f->list);
  f->planner = planner_new (&options);
  planner_set_service (f->planner, service, ts_from_ms (0));
  for (unsigned i = 0; i < ENGINES; i++)
    {
      f->engines[i] = inventory_new ();
      f->engines[i]->born = 1;
      report (f, i);
    }
}

static void
tear_down (struct fixture *f)
{
  action_list_clear (&f->list);
  planner_free (f->planner);
  for (unsigned i = 0; i < ENGINES; i++)
    {
      inventory_free (f->engines[i]);
      g_free (f->changing[i]);
    }
  for (int i = 0; i < MODELS; i++)
    g_free (f->models[i].name);
  g_rand_free (f->rand);
  g_checksum_free (f->sum);
}

/* Guards against orders that change although no engine tells its pace.  */
static void
test_same_orders (void)
{
  struct site_service service;
  struct fixture f;

  set_up (&f, &service);
  for (int i = 0; i < STEPS; i++)
    {
      f.ms += STEP_MS;
      run_engines (&f);
      send_requests (&f);
      planner_tick (f.planner, ts_from_ms (f.ms), &f.list);
      run_actions (&f);
    }
  g_test_message ("%u orders", f.orders);
  g_assert_cmpuint (f.orders, ==, EXPECTED_ORDERS);
  g_assert_cmpstr (g_checksum_get_string (f.sum), ==, EXPECTED_SUM);
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/planner-rate/same-orders", test_same_orders);
  return g_test_run ();
}

#include <string.h>
#include <glib.h>
#include "../standins/role.h"
#include "backend_http.h"
#include "clk.h"

#define SHORT_MS 50 /* timeout for calls that must fail */
#define DEAD "127.0.0.1:1"

struct fixture
{
  struct loop *loop;
  struct standin *standin;
  struct httpc *httpc;
  struct backend *backend;
  char *address;
  int done;
  enum backend_status status;
  char *why;
  uint64_t used_mb;
  uint64_t fence;
  size_t models;
  size_t settled;
  enum backend_copy_state state;
};

static void
set_up (struct fixture *f, bool ignore_fence, int64_t order_ms)
{
  struct role_engine_options role = { .id = "e1",
                                      .on_disk = "*",
                                      .memory_mb = 100,
                                      .slots = 2,
                                      .batch = 1,
                                      .ignore_fence = ignore_fence };
  struct httpc_options client = { 0 };
  struct backend_http_options options = { .order_ms = order_ms };

  memset (f, 0, sizeof *f);
  f->loop = loop_new (clk_monotonic ());
  f->standin = role_engine_new (&role);
  g_assert_cmpint (
      standin_start (f->standin, &role_engine_ops, f->loop, "127.0.0.1", 0),
      ==, 0);
  client.loop = f->loop;
  f->httpc = httpc_new (&client);
  f->address
      = g_strdup_printf ("127.0.0.1:%u", httpd_port (f->standin->httpd));
  options.httpc = f->httpc;
  f->backend = backend_http_new (&options);
}

static void
tear_down (struct fixture *f)
{
  backend_http_free (f->backend);
  httpc_free (f->httpc);
  standin_stop (f->standin);
  g_free (f->standin);
  loop_free (f->loop);
  g_free (f->address);
  g_free (f->why);
}

static void
on_order (void *user, enum backend_status status, const char *why)
{
  struct fixture *f = user;

  f->done++;
  f->status = status;
  g_free (f->why);
  f->why = g_strdup (why);
}

static void
on_report (void *user, enum backend_status status,
           const struct backend_report *report)
{
  struct fixture *f = user;

  f->done++;
  f->status = status;
  if (report == NULL)
    return;
  f->used_mb = report->memory_used_mb;
  f->fence = report->fence;
  f->models = report->model_count;
  f->settled = report->settled_count;
  if (report->model_count > 0)
    f->state = report->models[0].state;
}

static void
wait_done (struct fixture *f)
{
  int before = f->done;

  while (f->done == before)
    loop_run_once (f->loop, -1);
}

static enum backend_status
order_at (struct fixture *f, const char *address, const char *id,
          uint64_t fence, const char *model, uint64_t memory_mb)
{
  struct backend_order order = { .type = BACKEND_LOAD,
                                 .engine = "e1",
                                 .address = address,
                                 .order_id = id,
                                 .fence = fence,
                                 .model = model,
                                 .version = "1",
                                 .memory_mb = memory_mb };

  f->backend->ops->order (f->backend, &order, on_order, f);
  wait_done (f);
  return f->status;
}

static enum backend_status
order (struct fixture *f, const char *id, uint64_t fence, const char *model,
       uint64_t memory_mb)
{
  return order_at (f, f->address, id, fence, model, memory_mb);
}

static enum backend_status
report (struct fixture *f, const char *address)
{
  f->backend->ops->report (f->backend, "e1", address, on_report, f);
  wait_done (f);
  return f->status;
}

static void
test_orders (void)
{
  struct fixture f;

  set_up (&f, false, 0);
  g_assert_cmpint (order (&f, "o1", 3, "m", 60), ==, BACKEND_ACCEPTED);
  g_assert_cmpint (order (&f, "o2", 3, "n", 60), ==, BACKEND_REFUSED);
  g_assert_cmpstr (f.why, ==, "memory");
  g_assert_cmpint (order (&f, "o3", 2, "n", 10), ==, BACKEND_FENCED);
  g_assert_cmpint (order (&f, "o1", 2, "m", 60), ==, BACKEND_ACCEPTED);
  do
    g_assert_cmpint (report (&f, f.address), ==, BACKEND_ACCEPTED);
  while (f.settled == 0);
  g_assert_cmpuint (f.models, ==, 1);
  g_assert_cmpint (f.state, ==, BACKEND_COPY_LOADED);
  g_assert_cmpuint (f.used_mb, ==, 60);
  g_assert_cmpuint (f.fence, ==, 3);
  tear_down (&f);
}

static void
test_ignored_fence (void)
{
  struct fixture f;

  set_up (&f, true, 0);
  g_assert_cmpint (order (&f, "o1", 3, "m", 60), ==, BACKEND_ACCEPTED);
  g_assert_cmpint (order (&f, "o2", 2, "n", 10), ==, BACKEND_ACCEPTED);
  g_assert_cmpint (report (&f, f.address), ==, BACKEND_ACCEPTED);
  g_assert_cmpuint (f.fence, ==, 0);
  tear_down (&f);
}

static void
test_no_answer (void)
{
  struct fixture f;

  set_up (&f, false, SHORT_MS);
  json_object_set_new (f.standin->faults, "lose_answers", json_integer (1));
  g_assert_cmpint (order (&f, "o1", 1, "m", 60), ==, BACKEND_UNKNOWN);
  g_assert_cmpint (report (&f, f.address), ==, BACKEND_ACCEPTED);
  g_assert_cmpuint (f.models, ==, 1);
  json_object_set_new (f.standin->faults, "outage", json_string ("hang"));
  g_assert_cmpint (order (&f, "o2", 1, "n", 10), ==, BACKEND_UNKNOWN);
  tear_down (&f);
}

static void
test_unreachable (void)
{
  struct fixture f;

  set_up (&f, false, 0);
  g_assert_cmpint (order_at (&f, DEAD, "o1", 1, "m", 60), ==, BACKEND_REFUSED);
  g_assert_cmpint (report (&f, DEAD), ==, BACKEND_DOWN);
  json_object_set_new (f.standin->faults, "outage", json_string ("refuse"));
  g_assert_cmpint (order (&f, "o1", 1, "m", 60), ==, BACKEND_REFUSED);
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/backend_http/orders", test_orders);
  g_test_add_func ("/backend_http/ignored_fence", test_ignored_fence);
  g_test_add_func ("/backend_http/no_answer", test_no_answer);
  g_test_add_func ("/backend_http/unreachable", test_unreachable);
  return g_test_run ();
}

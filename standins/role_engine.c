#include <string.h>
#include "engine.h"
#include "ts.h"

struct standin *
role_engine_new (const struct role_engine_options *options)
{
  struct engine_role *role = g_new0 (struct engine_role, 1);

  role->options = *options;
  return &role->standin;
}

static void
on_request (struct standin *standin, struct standin_call *call)
{
  struct engine_role *role = (struct engine_role *)standin;
  const char *path = httpd_path (call->request);

  if (strcmp (path, "/v1/completions") == 0)
    engine_handle_completion (role, call, false);
  else if (strcmp (path, "/v1/chat/completions") == 0)
    engine_handle_completion (role, call, true);
  else if (strcmp (path, "/admin/order") == 0)
    engine_handle_order (role, call);
  else if (strcmp (path, "/admin/report") == 0)
    standin_respond (call, 200, engine_report (role));
  else if (strcmp (path, "/admin/kv") == 0)
    engine_handle_prefixes (role, call);
  else if (strcmp (path, "/ran") == 0)
    standin_respond (call, 200, standin_run_counts_json (role->run_counts));
  else
    standin_error (call, 404, "absent", "no such path", true);
}

static void
on_gone (struct standin *standin, struct standin_call *call)
{
  engine_request_gone ((struct engine_role *)standin, call);
}

static void
on_faults (struct standin *standin)
{
  struct engine_role *role = (struct engine_role *)standin;

  role->leaving = json_is_true (json_object_get (standin->faults, "leaving"));
}

static void
add_disk_locations (struct engine_role *role)
{
  char **names = g_strsplit (role->options.on_disk, ",", -1);

  for (char **name = names; *name != NULL; name++)
    {
      if (strchr (*name, '@') != NULL)
        g_hash_table_replace (role->locations, g_strdup (*name),
                              g_strdup ("disk"));
    }
  g_strfreev (names);
}

static int
start (struct standin *standin)
{
  struct engine_role *role = (struct engine_role *)standin;

  CK_LIST_INIT (&role->copies);
  CK_LIST_INIT (&role->completions);
  role->queue = g_queue_new ();
  role->settled = g_queue_new ();
  role->cache_events = g_queue_new ();
  role->orders
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  role->locations
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  role->prefixes
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  role->run_counts = standin_run_counts_new ();
  role->working_role = g_strdup ("mixed");
  role->epoch = (uint64_t)ts_to_ms (clk_wall (clk_monotonic ()));
  role->step_timer.fire = engine_step;
  role->snapshot_timer.fire = engine_snapshot_timer_fire;
  add_disk_locations (role);
  if (role->options.report_lag_ms > 0)
    engine_snapshot_timer_fire (&role->snapshot_timer);
  return 0;
}

static void
stop (struct standin *standin)
{
  struct engine_role *role = (struct engine_role *)standin;

  loop_timer_clear (standin->loop, &role->step_timer);
  loop_timer_clear (standin->loop, &role->snapshot_timer);
  engine_copies_free (role);
  g_queue_free (role->queue);
  g_queue_free_full (role->settled, g_free);
  g_queue_free_full (role->cache_events, (GDestroyNotify)json_decref);
  g_hash_table_unref (role->orders);
  g_hash_table_unref (role->locations);
  g_hash_table_unref (role->prefixes);
  g_hash_table_unref (role->run_counts);
  g_free (role->working_role);
  json_decref (role->snapshot);
}

const struct standin_ops role_engine_ops = { .name = "engine",
                                             .start = start,
                                             .stop = stop,
                                             .request = on_request,
                                             .gone = on_gone,
                                             .faults = on_faults };

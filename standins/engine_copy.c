#include "engine.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "ts.h"

#define MAX_SETTLED 1000u /* the oldest id is dropped */
#define FETCH_TIMEOUT_MS 600000

struct order_response
{
  unsigned status;
  json_t *json;
};

double
engine_fault_ms (const struct engine_role *role, const char *fault,
                 double fallback)
{
  const json_t *value = json_object_get (role->standin.faults, fault);

  return json_is_number (value) ? json_number_value (value) : fallback;
}

struct copy *
engine_find_copy (const struct engine_role *role, const char *name,
                  bool adapter)
{
  struct copy *copy;

  CK_LIST_FOREACH (copy, &role->copies, link)
    {
      if (strcmp (copy->name, name) == 0 && (copy->model != NULL) == adapter)
        return copy;
    }
  return NULL;
}

int64_t
engine_memory_used_mb (const struct engine_role *role)
{
  const struct copy *copy;
  int64_t used = 0;

  CK_LIST_FOREACH (copy, &role->copies, link)
    {
      used += copy->memory_mb;
    }
  return used;
}

static void
add_settled (struct engine_role *role, const char *order_id)
{
  g_queue_push_tail (role->settled, g_strdup (order_id));
  if (g_queue_get_length (role->settled) > MAX_SETTLED)
    g_free (g_queue_pop_head (role->settled));
}

static void
set_location (struct engine_role *role, const char *name, const char *version,
              const char *location)
{
  g_hash_table_replace (role->locations,
                        g_strdup_printf ("%s@%s", name, version),
                        g_strdup (location));
}

static const char *
location_of (const struct engine_role *role, const char *name,
             const char *version)
{
  char *key = g_strdup_printf ("%s@%s", name, version);
  const char *location = g_hash_table_lookup (role->locations, key);

  g_free (key);
  if (location != NULL)
    return location;
  return strcmp (role->options.on_disk, "*") == 0 ? "disk" : "remote";
}

static void
copy_free (struct copy *copy)
{
  struct engine_role *role = copy->role;

  loop_timer_clear (role->standin.loop, &copy->timer);
  if (copy->fetch != NULL)
    httpc_cancel (copy->fetch);
  CK_LIST_REMOVE (copy, link);
  g_free (copy->name);
  g_free (copy->version);
  g_free (copy->model);
  g_free (copy->order_id);
  g_free (copy);
}

static void
load_timer_fire (struct loop_timer *timer)
{
  struct copy *copy
      = (struct copy *)((char *)timer - offsetof (struct copy, timer));

  copy->state = COPY_LOADED;
  set_location (copy->role, copy->name, copy->version, "memory");
  add_settled (copy->role, copy->order_id);
}

static void
finish_load_after (struct copy *copy, double ms)
{
  struct loop *loop = copy->role->standin.loop;

  loop_timer_set (
      loop, &copy->timer,
      ts_add (loop_now (loop), ts_from_s (ms / (double)TS_MS_PER_S)));
}

static double
disk_load_ms (const struct engine_role *role)
{
  return engine_fault_ms (role, "load_ms", role->options.load_ms);
}

/* When the fetch failed, removes the copy and settles its order.  */
static void
fetch_done (void *user, const struct httpc_result *result)
{
  struct copy *copy = user;

  copy->fetch = NULL;
  if (result->error == 0 && result->status == 200)
    {
      set_location (copy->role, copy->name, copy->version, "disk");
      finish_load_after (copy,
                         copy->model != NULL ? 0 : disk_load_ms (copy->role));
      return;
    }
  add_settled (copy->role, copy->order_id);
  copy_free (copy);
}

static void
fetch_remote (struct copy *copy)
{
  struct engine_role *role = copy->role;
  struct httpc_request request
      = { .timeout_ms = FETCH_TIMEOUT_MS, .done = fetch_done, .user = copy };
  char *url;

  if (copy->model != NULL)
    url = g_strdup_printf ("http://%s/v1/adapters?adapter=%s&mb=%" PRId64,
                           role->options.platform, copy->name,
                           copy->memory_mb);
  else
    url = g_strdup_printf ("http://%s/v1/weights?model=%s&version=%s"
                           "&mb=%" PRId64,
                           role->options.platform, copy->name, copy->version,
                           copy->memory_mb);
  request.url = url;
  copy->fetch = httpc_start (role->standin.httpc, &request);
  g_free (url);
}

static void
begin_load (struct copy *copy)
{
  struct engine_role *role = copy->role;
  const char *location = location_of (role, copy->name, copy->version);

  if (strcmp (location, "memory") == 0)
    finish_load_after (copy, role->options.memory_ms);
  else if (strcmp (location, "disk") == 0 || role->options.platform == NULL)
    finish_load_after (copy, disk_load_ms (role));
  else
    fetch_remote (copy);
}

static const char *
body_string (const json_t *body, const char *key)
{
  const char *text = json_string_value (json_object_get (body, key));

  return text != NULL ? text : "";
}

static unsigned
reject (json_t **response, const char *error)
{
  *response = json_pack ("{s:s}", "error", error);
  return 409;
}

static unsigned
accept_settled (struct engine_role *role, const json_t *body,
                json_t **response)
{
  add_settled (role, body_string (body, "order_id"));
  *response = json_pack ("{s:b}", "accepted", 1);
  return 200;
}

static unsigned
load_copy (struct engine_role *role, const json_t *body, bool adapter,
           json_t **response)
{
  const char *name = body_string (body, adapter ? "adapter" : "model");
  int64_t mb = json_integer_value (json_object_get (body, "memory_mb"));
  struct copy *copy = engine_find_copy (role, name, adapter);

  if (json_is_true (json_object_get (role->standin.faults, "refuse_loads")))
    return reject (response, "refused by injected fault");
  if (role->leaving)
    return reject (response, "leaving");
  if (copy != NULL
      && strcmp (copy->version, body_string (body, "version")) == 0)
    return accept_settled (role, body, response);
  if (copy != NULL)
    return reject (response, "another version is present");
  if (adapter
      && engine_find_copy (role, body_string (body, "model"), false) == NULL)
    return reject (response, "base model is not present");
  if (engine_memory_used_mb (role) + mb > role->options.memory_mb)
    {
      role->violations++;
      return reject (response, "memory");
    }
  copy = g_new0 (struct copy, 1);
  copy->role = role;
  copy->timer.fire = load_timer_fire;
  copy->name = g_strdup (name);
  copy->version = g_strdup (body_string (body, "version"));
  copy->model = adapter ? g_strdup (body_string (body, "model")) : NULL;
  copy->order_id = g_strdup (body_string (body, "order_id"));
  copy->memory_mb = mb;
  CK_LIST_INSERT_HEAD (&role->copies, copy, link);
  begin_load (copy);
  *response = json_pack ("{s:b}", "accepted", 1);
  return 200;
}

static bool
has_adapters (const struct engine_role *role, const char *model)
{
  const struct copy *copy;

  CK_LIST_FOREACH (copy, &role->copies, link)
    {
      if (copy->model != NULL && strcmp (copy->model, model) == 0)
        return true;
    }
  return false;
}

static unsigned
unload_copy (struct engine_role *role, const json_t *body, bool adapter,
             json_t **response)
{
  const char *name = body_string (body, adapter ? "adapter" : "model");
  struct copy *copy = engine_find_copy (role, name, adapter);

  if (copy == NULL)
    return accept_settled (role, body, response);
  if (copy->active > 0)
    return reject (response, "requests are running");
  if (copy->state == COPY_LOADING)
    return reject (response, "loading");
  if (!adapter && has_adapters (role, name))
    return reject (response, "adapters of the model are present");
  copy_free (copy);
  return accept_settled (role, body, response);
}

static unsigned
preload_weights (struct engine_role *role, const json_t *body,
                 json_t **response)
{
  if (strcmp (location_of (role, body_string (body, "model"),
                           body_string (body, "version")),
              "remote")
      == 0)
    set_location (role, body_string (body, "model"),
                  body_string (body, "version"), "disk");
  return accept_settled (role, body, response);
}

static unsigned
set_role (struct engine_role *role, const json_t *body, json_t **response)
{
  const char *name = body_string (body, "role");

  if (strcmp (name, "mixed") != 0 && strcmp (name, "prefill") != 0
      && strcmp (name, "decode") != 0)
    return reject (response, "unknown role");
  g_free (role->working_role);
  role->working_role = g_strdup (name);
  return accept_settled (role, body, response);
}

static unsigned
execute_order (struct engine_role *role, const json_t *body, json_t **response)
{
  const char *type = body_string (body, "type");

  if (strcmp (type, "load") == 0)
    return load_copy (role, body, false, response);
  if (strcmp (type, "adapter_load") == 0)
    return load_copy (role, body, true, response);
  if (strcmp (type, "unload") == 0)
    return unload_copy (role, body, false, response);
  if (strcmp (type, "adapter_unload") == 0)
    return unload_copy (role, body, true, response);
  if (strcmp (type, "preload") == 0)
    return preload_weights (role, body, response);
  if (strcmp (type, "role") == 0)
    return set_role (role, body, response);
  *response = json_pack ("{s:s}", "error", "unknown type");
  return 400;
}

/* Returns 0, or 412 when the order has a lower fencing token than one before
   it.  */
static unsigned
check_fence (struct engine_role *role, const json_t *body, json_t **response)
{
  uint64_t fence
      = (uint64_t)json_integer_value (json_object_get (body, "fence"));

  if (role->options.ignore_fence)
    return 0;
  if (fence < role->fence)
    {
      *response = json_pack ("{s:s,s:I}", "error", "fenced", "fence",
                             (json_int_t)role->fence);
      return 412;
    }
  role->fence = fence;
  return 0;
}

void
engine_handle_order (struct engine_role *role, struct standin_call *call)
{
  json_t *body = standin_parse_body (call);
  const char *order_id;
  struct order_response *order;

  if (body == NULL)
    return;
  order_id = body_string (body, "order_id");
  order = g_hash_table_lookup (role->orders, order_id);
  if (order == NULL)
    {
      order = g_new0 (struct order_response, 1);
      order->status = check_fence (role, body, &order->json);
      if (order->status == 0)
        order->status = execute_order (role, body, &order->json);
      g_hash_table_insert (role->orders, g_strdup (order_id), order);
    }
  standin_respond (call, order->status, json_incref (order->json));
  json_decref (body);
}

void
engine_copies_free (struct engine_role *role)
{
  GHashTableIter iter;
  gpointer value;
  struct copy *copy;

  while ((copy = CK_LIST_FIRST (&role->copies)) != NULL)
    copy_free (copy);
  g_hash_table_iter_init (&iter, role->orders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    json_decref (((struct order_response *)value)->json);
}

#include "engine.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "ts.h"

#define SETTLED_KEPT 1000u
#define FETCH_TIMEOUT_MS 600000

struct order_answer
{
  unsigned status;
  json_t *json;
};

double
engine_fault_ms (const struct engine_role *role, const char *fault,
                 double otherwise)
{
  const json_t *value = json_object_get (role->standin.faults, fault);

  return json_is_number (value) ? json_number_value (value) : otherwise;
}

struct copy *
engine_find (const struct engine_role *role, const char *name, bool adapter)
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
engine_memory_used (const struct engine_role *role)
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
settle (struct engine_role *role, const char *order_id)
{
  g_queue_push_tail (role->settled, g_strdup (order_id));
  if (g_queue_get_length (role->settled) > SETTLED_KEPT)
    g_free (g_queue_pop_head (role->settled));
}

static void
place_set (struct engine_role *role, const char *name, const char *version,
           const char *place)
{
  g_hash_table_replace (role->places, g_strdup_printf ("%s@%s", name, version),
                        g_strdup (place));
}

static const char *
place_of (const struct engine_role *role, const char *name,
          const char *version)
{
  char *key = g_strdup_printf ("%s@%s", name, version);
  const char *place = g_hash_table_lookup (role->places, key);

  g_free (key);
  if (place != NULL)
    return place;
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
loaded (struct loop_timer *timer)
{
  struct copy *copy
      = (struct copy *)((char *)timer - offsetof (struct copy, timer));

  copy->state = COPY_LOADED;
  place_set (copy->role, copy->name, copy->version, "memory");
  settle (copy->role, copy->order_id);
}

static void
load_after (struct copy *copy, double ms)
{
  struct loop *loop = copy->role->standin.loop;

  loop_timer_set (
      loop, &copy->timer,
      ts_add (loop_now (loop), ts_from_s (ms / (double)TS_MS_PER_S)));
}

static double
disk_ms (const struct engine_role *role)
{
  return engine_fault_ms (role, "load_ms", role->options.load_ms);
}

/* A fetch that failed leaves no copy; its order is over.  */
static void
fetched (void *user, const struct httpc_result *result)
{
  struct copy *copy = user;

  copy->fetch = NULL;
  if (result->error == 0 && result->status == 200)
    {
      place_set (copy->role, copy->name, copy->version, "disk");
      load_after (copy, copy->model != NULL ? 0 : disk_ms (copy->role));
      return;
    }
  settle (copy->role, copy->order_id);
  copy_free (copy);
}

static void
fetch_remote (struct copy *copy)
{
  struct engine_role *role = copy->role;
  struct httpc_request request
      = { .timeout_ms = FETCH_TIMEOUT_MS, .done = fetched, .user = copy };
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
  const char *place = place_of (role, copy->name, copy->version);

  if (strcmp (place, "memory") == 0)
    load_after (copy, role->options.memory_ms);
  else if (strcmp (place, "disk") == 0 || role->options.platform == NULL)
    load_after (copy, disk_ms (role));
  else
    fetch_remote (copy);
}

static const char *
text_of (const json_t *body, const char *key)
{
  const char *text = json_string_value (json_object_get (body, key));

  return text != NULL ? text : "";
}

static unsigned
refuse (json_t **answer, const char *why)
{
  *answer = json_pack ("{s:s}", "error", why);
  return 409;
}

static unsigned
accept_done (struct engine_role *role, const json_t *body, json_t **answer)
{
  settle (role, text_of (body, "order_id"));
  *answer = json_pack ("{s:b}", "accepted", 1);
  return 200;
}

static unsigned
load (struct engine_role *role, const json_t *body, bool adapter,
      json_t **answer)
{
  const char *name = text_of (body, adapter ? "adapter" : "model");
  int64_t mb = json_integer_value (json_object_get (body, "memory_mb"));
  struct copy *copy = engine_find (role, name, adapter);

  if (json_is_true (json_object_get (role->standin.faults, "refuse_loads")))
    return refuse (answer, "refused by fault");
  if (role->leaving)
    return refuse (answer, "leaving");
  if (copy != NULL && strcmp (copy->version, text_of (body, "version")) == 0)
    return accept_done (role, body, answer);
  if (copy != NULL)
    return refuse (answer, "another version is there");
  if (adapter && engine_find (role, text_of (body, "model"), false) == NULL)
    return refuse (answer, "base model is not there");
  if (engine_memory_used (role) + mb > role->options.memory_mb)
    {
      role->violations++;
      return refuse (answer, "memory");
    }
  copy = g_new0 (struct copy, 1);
  copy->role = role;
  copy->timer.fire = loaded;
  copy->name = g_strdup (name);
  copy->version = g_strdup (text_of (body, "version"));
  copy->model = adapter ? g_strdup (text_of (body, "model")) : NULL;
  copy->order_id = g_strdup (text_of (body, "order_id"));
  copy->memory_mb = mb;
  CK_LIST_INSERT_HEAD (&role->copies, copy, link);
  begin_load (copy);
  *answer = json_pack ("{s:b}", "accepted", 1);
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
unload (struct engine_role *role, const json_t *body, bool adapter,
        json_t **answer)
{
  const char *name = text_of (body, adapter ? "adapter" : "model");
  struct copy *copy = engine_find (role, name, adapter);

  if (copy == NULL)
    return accept_done (role, body, answer);
  if (copy->active > 0)
    return refuse (answer, "requests run");
  if (copy->state == COPY_LOADING)
    return refuse (answer, "loading");
  if (!adapter && has_adapters (role, name))
    return refuse (answer, "adapters are loaded on it");
  copy_free (copy);
  return accept_done (role, body, answer);
}

static unsigned
preload (struct engine_role *role, const json_t *body, json_t **answer)
{
  if (strcmp (
          place_of (role, text_of (body, "model"), text_of (body, "version")),
          "remote")
      == 0)
    place_set (role, text_of (body, "model"), text_of (body, "version"),
               "disk");
  return accept_done (role, body, answer);
}

static unsigned
take_role (struct engine_role *role, const json_t *body, json_t **answer)
{
  const char *name = text_of (body, "role");

  if (strcmp (name, "mixed") != 0 && strcmp (name, "prefill") != 0
      && strcmp (name, "decode") != 0)
    return refuse (answer, "unknown role");
  g_free (role->working_role);
  role->working_role = g_strdup (name);
  return accept_done (role, body, answer);
}

static unsigned
carry_out (struct engine_role *role, const json_t *body, json_t **answer)
{
  const char *type = text_of (body, "type");

  if (strcmp (type, "load") == 0)
    return load (role, body, false, answer);
  if (strcmp (type, "adapter_load") == 0)
    return load (role, body, true, answer);
  if (strcmp (type, "unload") == 0)
    return unload (role, body, false, answer);
  if (strcmp (type, "adapter_unload") == 0)
    return unload (role, body, true, answer);
  if (strcmp (type, "preload") == 0)
    return preload (role, body, answer);
  if (strcmp (type, "role") == 0)
    return take_role (role, body, answer);
  *answer = json_pack ("{s:s}", "error", "unknown type");
  return 400;
}

static unsigned
check_fence (struct engine_role *role, const json_t *body, json_t **answer)
{
  uint64_t fence
      = (uint64_t)json_integer_value (json_object_get (body, "fence"));

  if (role->options.ignore_fence)
    return 0;
  if (fence < role->fence)
    {
      *answer = json_pack ("{s:s,s:I}", "error", "fenced", "fence",
                           (json_int_t)role->fence);
      return 412;
    }
  role->fence = fence;
  return 0;
}

void
engine_order (struct engine_role *role, struct standin_call *call)
{
  json_t *body = standin_parse_body (call);
  const char *order_id;
  struct order_answer *order;

  if (body == NULL)
    return;
  order_id = text_of (body, "order_id");
  order = g_hash_table_lookup (role->orders, order_id);
  if (order == NULL)
    {
      order = g_new0 (struct order_answer, 1);
      order->status = check_fence (role, body, &order->json);
      if (order->status == 0)
        order->status = carry_out (role, body, &order->json);
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
    json_decref (((struct order_answer *)value)->json);
}

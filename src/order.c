#include "order.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include <jansson.h>

void
order_copy (struct backend_order *to, const struct backend_order *from)
{
  *to = *from;
  to->engine = g_strdup (from->engine);
  to->address = g_strdup (from->address);
  to->order_id = g_strdup (from->order_id);
  to->model = g_strdup (from->model);
  to->version = g_strdup (from->version);
  to->adapter = g_strdup (from->adapter);
  to->role = g_strdup (from->role);
}

void
order_clear (struct backend_order *order)
{
  g_free ((char *)order->engine);
  g_free ((char *)order->address);
  g_free ((char *)order->order_id);
  g_free ((char *)order->model);
  g_free ((char *)order->version);
  g_free ((char *)order->adapter);
  g_free ((char *)order->role);
  memset (order, 0, sizeof *order);
}

char *
order_to_json (const struct backend_order *order)
{
  json_t *json = json_pack (
      "{s:i, s:s, s:s, s:s, s:s*, s:s*, s:s*, s:s*, s:I, s:I}", "type",
      (int)order->type, "engine", order->engine, "address", order->address,
      "order_id", order->order_id, "model", order->model, "version",
      order->version, "adapter", order->adapter, "role", order->role,
      "memory_mb", (json_int_t)order->memory_mb, "epoch",
      (json_int_t)order->epoch);
  char *text = json_dumps (json, JSON_COMPACT);
  char *copy = g_strdup (text);

  free (text);
  json_decref (json);
  return copy;
}

static char *
string_member (const json_t *json, const char *name)
{
  return g_strdup (json_string_value (json_object_get (json, name)));
}

int
order_from_json (const char *text, struct backend_order *order)
{
  json_t *json = json_loads (text, 0, NULL);
  json_int_t type = json_integer_value (json_object_get (json, "type"));

  memset (order, 0, sizeof *order);
  order->engine = string_member (json, "engine");
  order->address = string_member (json, "address");
  order->order_id = string_member (json, "order_id");
  order->model = string_member (json, "model");
  order->version = string_member (json, "version");
  order->adapter = string_member (json, "adapter");
  order->role = string_member (json, "role");
  order->memory_mb
      = (uint64_t)json_integer_value (json_object_get (json, "memory_mb"));
  order->epoch
      = (uint64_t)json_integer_value (json_object_get (json, "epoch"));
  json_decref (json);
  if (order->engine == NULL || order->address == NULL
      || order->order_id == NULL || type < 0 || type > BACKEND_ROLE)
    {
      order_clear (order);
      return -EINVAL;
    }
  order->type = (enum backend_order_type)type;
  return 0;
}

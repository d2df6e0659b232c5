#include "standin.h"

#include <errno.h>
#include <string.h>
#include "ts.h"

#define FAULT_SILENCE "silence"

int64_t
standin_fault_int (const struct standin *standin, const char *name)
{
  return json_integer_value (json_object_get (standin->faults, name));
}

const char *
standin_fault_str (const struct standin *standin, const char *name)
{
  const char *text
      = json_string_value (json_object_get (standin->faults, name));

  return text != NULL ? text : "";
}

static void *
peer_port_key (const struct standin_call *call)
{
  return GUINT_TO_POINTER (httpd_peer_port (call->request));
}

bool
standin_is_silent (const struct standin_call *call)
{
  return g_hash_table_contains (call->standin->silent_ports,
                                peer_port_key (call));
}

bool
standin_drops_response (struct standin_call *call)
{
  struct standin *standin = call->standin;
  int64_t remaining = standin_fault_int (standin, "lose_answers");
  const char *prefix = standin_fault_str (standin, "lose_path");

  if (remaining <= 0 || !call->dispatched
      || !g_str_has_prefix (httpd_path (call->request), prefix))
    return false;
  json_object_set_new (standin->faults, "lose_answers",
                       json_integer (remaining - 1));
  return true;
}

void
standin_respond (struct standin_call *call, unsigned status, json_t *json)
{
  char *text;

  if (!standin_is_silent (call) && standin_drops_response (call))
    httpd_drop (call->request);
  else if (!standin_is_silent (call))
    {
      text = json_dumps (json, JSON_COMPACT);
      httpd_respond (call->request, status, "application/json", NULL, text,
                     strlen (text));
      free (text);
    }
  json_decref (json);
}

void
standin_error (struct standin_call *call, unsigned status, const char *type,
               const char *message, bool not_run)
{
  json_t *error = json_pack ("{s:{s:s,s:s,s:b}}", "error", "type", type,
                             "message", message, "not_run", not_run);

  standin_respond (call, status, error);
}

json_t *
standin_parse_body (struct standin_call *call)
{
  size_t length;
  const char *text = httpd_body (call->request, &length);
  json_t *json = json_loadb (text, length, 0, NULL);

  if (json_is_object (json))
    return json;
  json_decref (json);
  standin_error (call, 400, "bad_request", "body is not a JSON object", true);
  return NULL;
}

GHashTable *
standin_run_counts_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
standin_count_request (GHashTable *run_counts, struct standin_call *call,
                       const json_t *body)
{
  const char *marker = json_string_value (json_object_get (body, "marker"));
  unsigned count;

  if (marker == NULL)
    marker = httpd_header (call->request, "X-Marker");
  if (marker == NULL)
    marker = httpd_header (call->request, "Idempotency-Key");
  if (marker == NULL)
    return;
  count = GPOINTER_TO_UINT (g_hash_table_lookup (run_counts, marker));
  g_hash_table_replace (run_counts, g_strdup (marker),
                        GUINT_TO_POINTER (count + 1));
}

json_t *
standin_run_counts_json (GHashTable *run_counts)
{
  json_t *counts = json_object ();
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, run_counts);
  while (g_hash_table_iter_next (&iter, &key, &value))
    json_object_set_new (counts, key, json_integer (GPOINTER_TO_UINT (value)));
  return json_pack ("{s:o}", "ran", counts);
}

static void
silence_connections (struct standin *standin)
{
  GHashTableIter iter;
  gpointer port;

  g_hash_table_iter_init (&iter, standin->peer_ports);
  while (g_hash_table_iter_next (&iter, &port, NULL))
    g_hash_table_add (standin->silent_ports, port);
}

static void
update_faults (struct standin_call *call)
{
  struct standin *standin = call->standin;
  json_t *body = standin_parse_body (call);

  if (body == NULL)
    return;
  json_object_update (standin->faults, body);
  json_decref (body);
  if (json_is_true (json_object_get (standin->faults, FAULT_SILENCE)))
    {
      silence_connections (standin);
      g_hash_table_remove (standin->silent_ports, peer_port_key (call));
      json_object_del (standin->faults, FAULT_SILENCE);
    }
  if (standin->ops->faults != NULL)
    standin->ops->faults (standin);
  standin_respond (call, 200, json_object ());
}

static void
dispatch (struct standin_call *call)
{
  call->dispatched = true;
  call->standin->ops->request (call->standin, call);
}

static void
slow_timer_fire (struct loop_timer *timer)
{
  dispatch ((struct standin_call *)timer);
}

/* Returns true when an outage is set: the request was refused or is never
   answered.  */
static bool
apply_outage (struct standin_call *call)
{
  const char *outage = standin_fault_str (call->standin, "outage");

  if (strcmp (outage, "refuse") == 0)
    standin_error (call, 503, "outage", "simulated outage", true);
  return *outage != '\0';
}

static void
on_request (void *user, struct httpd_request *request)
{
  struct standin *standin = user;
  struct standin_call *call = g_new0 (struct standin_call, 1);
  int64_t slow_ms = standin_fault_int (standin, "slow_ms");

  call->standin = standin;
  call->request = request;
  call->timer.fire = slow_timer_fire;
  httpd_set_user (request, call);
  g_hash_table_add (standin->peer_ports, peer_port_key (call));
  if (standin_is_silent (call))
    return;
  if (strcmp (httpd_path (request), "/faults") == 0)
    update_faults (call);
  else if (apply_outage (call))
    return;
  else if (slow_ms > 0)
    loop_timer_set (standin->loop, &call->timer,
                    ts_add_ms (loop_now (standin->loop), slow_ms));
  else
    dispatch (call);
}

static void
on_gone (void *user, struct httpd_request *request, bool complete)
{
  struct standin *standin = user;
  struct standin_call *call = httpd_get_user (request);

  (void)complete;
  loop_timer_clear (standin->loop, &call->timer);
  if (call->dispatched && standin->ops->gone != NULL)
    standin->ops->gone (standin, call);
  g_free (call);
}

static void
on_writable (void *user, struct httpd_request *request)
{
  struct standin *standin = user;

  if (standin->ops->writable != NULL)
    standin->ops->writable (standin, httpd_get_user (request));
}

int
standin_start (struct standin *standin, const struct standin_ops *ops,
               struct loop *loop, const char *address, uint16_t port)
{
  struct httpc_options client = { .loop = loop };
  struct httpd_options server = { .loop = loop,
                                  .address = address,
                                  .port = port,
                                  .request = on_request,
                                  .gone = on_gone,
                                  .writable = on_writable,
                                  .user = standin };
  int err = httpd_new (&server, &standin->httpd);

  if (err < 0)
    return err;
  standin->ops = ops;
  standin->loop = loop;
  standin->httpc = httpc_new (&client);
  standin->faults = json_object ();
  standin->peer_ports = g_hash_table_new (NULL, NULL);
  standin->silent_ports = g_hash_table_new (NULL, NULL);
  return standin->ops->start (standin);
}

void
standin_stop (struct standin *standin)
{
  httpc_free (standin->httpc);
  httpd_free (standin->httpd);
  standin->ops->stop (standin);
  json_decref (standin->faults);
  g_hash_table_unref (standin->peer_ports);
  g_hash_table_unref (standin->silent_ports);
}

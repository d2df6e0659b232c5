#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include "fetch.h"
#include "role.h"
#include "table.h"
#include "ts.h"

#define SCAN_LIMIT 10000
#define BURST_S 0.25 /* seconds of the rate that may come at once */

struct bucket
{
  double rate; /* a second; 0: no limit */
  double left;
  struct timespec at;
};

struct platform_role
{
  struct standin standin; /* first */
  struct role_platform_options options;
  struct table *table;
  GHashTable *objects; /* key -> GBytes */
  struct bucket writes;
  struct bucket reads;
  struct fetch_store models;
  struct fetch_store adapters;
  GQueue *lists; /* struct listed, newest last */
};

struct listed
{
  struct timespec at;
  json_t *instances;
};

struct weight_fetch
{
  struct fetch fetch; /* first */
  struct standin_call *call;
};

struct standin *
role_platform_new (const struct role_platform_options *options)
{
  struct platform_role *role = g_new0 (struct platform_role, 1);

  role->options = *options;
  return &role->standin;
}

static bool
take (struct platform_role *role, struct bucket *bucket)
{
  struct timespec now = loop_now (role->standin.loop);
  double most = bucket->rate * BURST_S;

  if (bucket->rate <= 0)
    return true;
  bucket->left += ts_to_s (ts_sub (now, bucket->at)) * bucket->rate;
  bucket->at = now;
  if (bucket->left > most)
    bucket->left = most;
  if (bucket->left < 1)
    return false;
  bucket->left -= 1;
  return true;
}

/* True when the call was refused.  */
static bool
limited (struct platform_role *role, struct standin_call *call,
         struct bucket *bucket)
{
  if (take (role, bucket))
    return false;
  standin_error (call, 429, "rate_limit", "too many a second", true);
  return true;
}

static void
do_txn (struct platform_role *role, struct standin_call *call)
{
  json_t *body;
  json_t *answer;
  unsigned status;

  if (limited (role, call, &role->writes))
    return;
  body = standin_parse_body (call);
  if (body == NULL)
    return;
  status = table_txn (role->table, body, &answer);
  json_decref (body);
  standin_respond (call, status, answer);
}

static void
do_scan (struct platform_role *role, struct standin_call *call)
{
  const char *prefix = httpd_query (call->request, "prefix");
  const char *limit = httpd_query (call->request, "limit");
  size_t most = limit != NULL ? strtoul (limit, NULL, 10) : SCAN_LIMIT;

  if (limited (role, call, &role->reads))
    return;
  standin_respond (
      call, 200, table_scan (role->table, prefix != NULL ? prefix : "", most));
}

static void
get_object (struct platform_role *role, struct standin_call *call,
            const char *key)
{
  GBytes *bytes = g_hash_table_lookup (role->objects, key);
  gsize length;
  const void *data;

  if (bytes == NULL)
    {
      standin_error (call, 404, "absent", "no such object", true);
      return;
    }
  data = g_bytes_get_data (bytes, &length);
  httpd_respond (call->request, 200, "application/octet-stream", NULL, data,
                 length);
}

static void
do_object (struct platform_role *role, struct standin_call *call,
           const char *key)
{
  const char *method = httpd_method (call->request);
  bool read = strcmp (method, "GET") == 0;
  const char *body;
  size_t length;

  if (limited (role, call, read ? &role->reads : &role->writes))
    return;
  if (read)
    {
      get_object (role, call, key);
      return;
    }
  if (strcmp (method, "PUT") == 0)
    {
      body = httpd_body (call->request, &length);
      g_hash_table_replace (role->objects, g_strdup (key),
                            g_bytes_new (body, length));
    }
  else
    g_hash_table_remove (role->objects, key);
  standin_respond (call, 200, json_object ());
}

static void
listed_free (struct listed *listed)
{
  json_decref (listed->instances);
  g_free (listed);
}

static int64_t
lag_ms (const struct platform_role *role)
{
  const json_t *fault
      = json_object_get (role->standin.faults, "instances_lag_ms");

  return fault != NULL ? json_integer_value (fault)
                       : role->options.instances_lag_ms;
}

/* The newest list that is old enough, or the first there was.  */
static json_t *
visible_list (struct platform_role *role)
{
  struct timespec seen
      = ts_add_ms (loop_now (role->standin.loop), -lag_ms (role));
  const struct listed *head;
  const struct listed *next;

  while ((next = g_queue_peek_nth (role->lists, 1)) != NULL
         && !ts_before (seen, next->at))
    listed_free (g_queue_pop_head (role->lists));
  head = g_queue_peek_head (role->lists);
  return json_incref (head->instances);
}

static void
put_instances (struct platform_role *role, json_t *instances)
{
  struct listed *listed = g_new (struct listed, 1);

  listed->at = loop_now (role->standin.loop);
  listed->instances = instances;
  g_queue_push_tail (role->lists, listed);
}

static void
set_instances (struct platform_role *role, struct standin_call *call)
{
  json_t *body = standin_parse_body (call);
  json_t *instances = json_object_get (body, "instances");

  if (body == NULL)
    return;
  if (!json_is_array (instances))
    standin_error (call, 400, "bad_request", "no \"instances\"", true);
  else
    {
      put_instances (role, json_incref (instances));
      standin_respond (call, 200, json_object ());
    }
  json_decref (body);
}

static void
fetched (struct fetch *fetch)
{
  struct weight_fetch *weight = (struct weight_fetch *)fetch;

  standin_respond (weight->call, 200, json_object ());
}

static void
do_fetch (struct standin_call *call, struct fetch_store *store, double ms)
{
  struct weight_fetch *weight = g_new0 (struct weight_fetch, 1);
  int64_t slow = standin_fault_int (call->standin, "weights_slow");

  if (slow > 0)
    ms *= (double)slow;
  weight->call = call;
  weight->fetch.done = fetched;
  call->role = weight;
  fetch_begin (store, &weight->fetch, ms / (double)TS_MS_PER_S);
}

static json_t *
status_json (const struct platform_role *role)
{
  return json_pack ("{s:i,s:i,s:i,s:i}", "loads", (int)role->models.started,
                    "most_loads_at_once", (int)role->models.peak,
                    "adapter_fetches", (int)role->adapters.started,
                    "most_adapter_fetches_at_once", (int)role->adapters.peak);
}

static void
on_request (struct standin *standin, struct standin_call *call)
{
  struct platform_role *role = (struct platform_role *)standin;
  const char *path = httpd_path (call->request);
  static const char objects[] = "/v1/objects/";

  if (strcmp (path, "/v1/table/txn") == 0)
    do_txn (role, call);
  else if (strcmp (path, "/v1/table/scan") == 0)
    do_scan (role, call);
  else if (g_str_has_prefix (path, objects))
    do_object (role, call, path + strlen (objects));
  else if (strcmp (path, "/v1/instances") == 0)
    standin_respond (call, 200,
                     json_pack ("{s:o}", "instances", visible_list (role)));
  else if (strcmp (path, "/instances") == 0)
    set_instances (role, call);
  else if (strcmp (path, "/v1/weights") == 0)
    do_fetch (call, &role->models, role->options.load_ms);
  else if (strcmp (path, "/v1/adapters") == 0)
    do_fetch (call, &role->adapters, role->options.adapter_ms);
  else if (strcmp (path, "/status") == 0)
    standin_respond (call, 200, status_json (role));
  else
    standin_error (call, 404, "absent", "no such path", true);
}

static void
on_gone (struct standin *standin, struct standin_call *call)
{
  struct weight_fetch *weight = call->role;

  (void)standin;
  if (weight != NULL)
    fetch_cancel (&weight->fetch);
  g_free (weight);
}

static int
start (struct standin *standin)
{
  struct platform_role *role = (struct platform_role *)standin;
  const struct role_platform_options *o = &role->options;

  role->table = table_new ();
  role->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         (GDestroyNotify)g_bytes_unref);
  role->lists = g_queue_new ();
  put_instances (role, json_array ());
  role->writes.rate = o->writes_per_s;
  role->reads.rate = o->reads_per_s;
  fetch_store_init (&role->models, standin->loop, o->loads_per_s,
                    o->load_knee);
  fetch_store_init (&role->adapters, standin->loop, 0, o->adapter_knee);
  return 0;
}

static void
stop (struct standin *standin)
{
  struct platform_role *role = (struct platform_role *)standin;

  g_queue_free_full (role->lists, (GDestroyNotify)listed_free);
  g_hash_table_unref (role->objects);
  table_free (role->table);
}

const struct standin_ops role_platform_ops = { .name = "platform",
                                               .start = start,
                                               .stop = stop,
                                               .request = on_request,
                                               .gone = on_gone };

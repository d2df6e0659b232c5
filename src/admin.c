#include "admin.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include <jansson.h>
#include "admin_history.h"
#include "cells.h"
#include "config.h"
#include "core.h"
#include "fleet.h"
#include "inbox.h"
#include "links.h"
#include "msg.h"
#include "ts.h"

#define JSON_TYPE "application/json"
#define REAL_PRECISION 12 /* digits; 17 prints 0.2 as 0.20000000000000001 */
#define SECTION_PREFIX "/admin/config/"

struct admin
{
  struct service service;
  struct core *core;
  struct fleet *fleet;
  struct config *config;
  struct links *links;
  struct cells *cells;
  struct inbox *inbox;
};

/* The request to respond to; copied for asynchronous operations.  */
struct requester
{
  struct admin *admin;
  unsigned thread;
  uint64_t request;
};

static void
respond (struct admin *admin, const struct requester *requester,
         unsigned status, json_t *body)
{
  struct msg *msg = msg_new (MSG_ADMIN_RESPONSE);
  char *text
      = json_dumps (body, JSON_COMPACT | JSON_REAL_PRECISION (REAL_PRECISION));

  msg->thread = requester->thread;
  msg->request = requester->request;
  msg->status = status;
  msg->content_type = g_strdup (JSON_TYPE);
  msg->body = g_strconcat (text, "\n", NULL);
  msg->length = strlen (msg->body);
  free (text);
  json_decref (body);
  inbox_send (admin->inbox, msg);
}

static void
respond_error (struct admin *admin, const struct requester *requester,
               unsigned status, const char *type, const char *message)
{
  respond (admin, requester, status,
           json_pack ("{s:{s:s, s:s, s:b}}", "error", "type", type, "message",
                      message, "not_run", 1));
}

/* Returns the query parameter NAME of PATH or NULL; freed with g_free.  */
static char *
query_parameter (const char *path, const char *name)
{
  const char *question_mark = strchr (path, '?');
  GHashTable *table;
  char *value;

  if (question_mark == NULL)
    return NULL;
  table = g_uri_parse_params (question_mark + 1, -1, "&", G_URI_PARAMS_NONE,
                              NULL);
  if (table == NULL)
    return NULL;
  value = g_strdup (g_hash_table_lookup (table, name));
  g_hash_table_unref (table);
  return value;
}

static json_t *
describe_nodes (struct admin *admin)
{
  static const char *const states[] = { "live", "suspect", "leaving", "dead" };
  json_t *nodes = json_array ();
  size_t count;
  const struct member_info *const *members
      = links_members (admin->links, &count);

  for (size_t i = 0; i < count; i++)
    json_array_append_new (
        nodes,
        json_pack ("{s:s, s:s, s:s?, s:s?, s:s?, s:I, s:I}", "id",
                   members[i]->id, "state", states[members[i]->state],
                   "address", members[i]->advertised_address, "zone",
                   members[i]->zone, "region", members[i]->region,
                   "incarnation", (json_int_t)members[i]->incarnation,
                   "config_version", (json_int_t)members[i]->doc_version));
  return nodes;
}

static json_t *
describe_engine (struct admin *admin, const struct fleet_engine *engine)
{
  struct timespec age
      = ts_sub (loop_now (admin->core->loop), engine->reported_at);
  json_t *models = json_array ();
  GHashTableIter iter;
  const char *name;

  g_hash_table_iter_init (&iter, engine->models);
  while (g_hash_table_iter_next (&iter, (gpointer *)&name, NULL))
    json_array_append_new (models, json_string (name));
  return json_pack (
      "{s:s, s:s, s:s, s:s, s:b, s:b, s:f, s:i, s:i, s:i, s:I, s:I, s:o}",
      "id", engine->id, "address", engine->address, "zone", engine->zone,
      "pool", engine->pool, "leaving", (int)fleet_leaving (engine),
      "reachable", (int)fleet_reachable (engine), "report_age_s",
      engine->reported ? ts_to_s (age) : -1.0, "slots", (int)engine->slots,
      "running", (int)engine->running, "queued", (int)engine->queued,
      "memory_mb", (json_int_t)engine->memory_mb, "memory_used_mb",
      (json_int_t)engine->memory_used_mb, "models", models);
}

static json_t *
describe_engines (struct admin *admin)
{
  json_t *engines = json_array ();
  const struct fleet_engine *engine;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, fleet_engines (admin->fleet));
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&engine))
    if (strcmp (engine->pool, FLEET_ENTRY_POOL) != 0)
      json_array_append_new (engines, describe_engine (admin, engine));
  return engines;
}

static json_int_t
doc_version (struct admin *admin)
{
  const struct doc *doc = config_doc (admin->config);

  return doc != NULL ? (json_int_t)doc->version : 0;
}

static void
get_status (struct admin *admin, const struct requester *requester)
{
  respond (admin, requester, 200,
           json_pack ("{s:s, s:b, s:I, s:o, s:o, s:o}", "node",
                      admin->core->node, "draining",
                      (int)admin->core->draining, "config_version",
                      doc_version (admin), "nodes", describe_nodes (admin),
                      "engines", describe_engines (admin), "cells",
                      cells_describe (admin->cells, NULL)));
}

static void
explain (struct admin *admin, const struct requester *requester,
         const char *path)
{
  char *model = query_parameter (path, "model");

  if (model == NULL)
    respond_error (admin, requester, 400, "bad_request",
                   "query parameter model is missing");
  else
    respond (admin, requester, 200,
             json_pack ("{s:s, s:o}", "model", model, "cells",
                        cells_describe (admin->cells, model)));
  g_free (model);
}

static void
get_peer_address (struct admin *admin, const struct requester *requester)
{
  respond (admin, requester, 200,
           json_pack ("{s:s, s:s}", "node", admin->core->node, "peer",
                      links_address (admin->links)));
}

/* Configuration.  */

static json_t *
describe_section (struct admin *admin, const char *team)
{
  const struct confsync_section *section
      = config_section (admin->config, team);

  if (section == NULL)
    return NULL;
  return json_pack ("{s:s, s:I, s:o}", "team", team, "version",
                    (json_int_t)section->version, "section",
                    json_loads (section->text, JSON_DECODE_ANY, NULL));
}

static json_t *
describe_config (struct admin *admin)
{
  const struct doc *doc = config_doc (admin->config);
  json_t *sections = json_array ();

  for (size_t i = 0; doc != NULL && i < doc->team_count; i++)
    {
      json_t *section = describe_section (admin, doc->teams[i].name);

      if (section != NULL)
        json_array_append_new (sections, section);
    }
  return json_pack ("{s:I, s:o}", "version", doc_version (admin), "sections",
                    sections);
}

static void
get_section (struct admin *admin, const struct requester *requester,
             const char *team)
{
  json_t *section = describe_section (admin, team);

  if (section != NULL)
    respond (admin, requester, 200, section);
  else
    respond_error (admin, requester, 404, "no_section", "no such section");
}

static json_t *
json_or_string (const char *text)
{
  json_t *json
      = text != NULL ? json_loads (text, JSON_DECODE_ANY, NULL) : NULL;

  if (json != NULL)
    return json;
  return text != NULL ? json_string (text) : json_null ();
}

static void
on_edited (void *user, enum confsync_status result, uint64_t version,
           const char *text)
{
  static const struct
  {
    unsigned status;
    const char *name;
  } results[] = { [CONFSYNC_ACCEPTED] = { 200, "accepted" },
                  [CONFSYNC_CONFLICT] = { 409, "conflict" },
                  [CONFSYNC_INVALID] = { 422, "invalid" },
                  [CONFSYNC_UNAVAILABLE] = { 503, "table_away" },
                  [CONFSYNC_IN_DOUBT] = { 504, "in_doubt" } };
  struct requester *requester = user;

  respond (requester->admin, requester, results[result].status,
           json_pack ("{s:s, s:I, s:o}", "result", results[result].name,
                      "version", (json_int_t)version, "detail",
                      json_or_string (text)));
  g_free (requester);
}

static void
put_section (struct admin *admin, const struct requester *requester,
             const char *team, const struct msg *msg)
{
  char *version = query_parameter (msg->path, "version");
  uint64_t base = version != NULL ? strtoull (version, NULL, 10) : 0;
  bool remove = strcmp (msg->method, "DELETE") == 0;
  struct requester *copy = g_memdup2 (requester, sizeof *requester);

  config_edit (admin->config, team, remove ? NULL : msg->body, base, on_edited,
               copy);
  g_free (version);
}

static void
config_section_request (struct admin *admin, const struct requester *requester,
                        const char *team, const struct msg *msg)
{
  if (strcmp (msg->method, "GET") == 0)
    get_section (admin, requester, team);
  else if (strcmp (msg->method, "PUT") == 0
           || strcmp (msg->method, "DELETE") == 0)
    put_section (admin, requester, team, msg);
  else
    respond_error (admin, requester, 405, "bad_method",
                   "method must be GET, PUT or DELETE");
}

static void
on_history (void *user, unsigned status, json_t *body)
{
  struct requester *requester = user;

  respond (requester->admin, requester, status, body);
  g_free (requester);
}

static void
drain (struct admin *admin, const struct requester *requester)
{
  respond (admin, requester, 202, json_pack ("{s:b}", "draining", 1));
  admin->core->drain (admin->core);
}

static void
handle_request (struct admin *admin, const struct msg *msg)
{
  struct requester requester
      = { .admin = admin, .thread = msg->thread, .request = msg->request };
  char **parts = g_strsplit (msg->path, "?", 2);
  const char *path = parts[0];
  const char *team = NULL;

  if (g_str_has_prefix (path, SECTION_PREFIX))
    team = path + strlen (SECTION_PREFIX);
  if (strcmp (path, "/admin/status") == 0)
    get_status (admin, &requester);
  else if (strcmp (path, "/admin/explain") == 0)
    explain (admin, &requester, msg->path);
  else if (strcmp (path, "/admin/peer") == 0)
    get_peer_address (admin, &requester);
  else if (strcmp (path, "/admin/history") == 0)
    admin_history (admin->core->platform, on_history,
                   g_memdup2 (&requester, sizeof requester));
  else if (strcmp (path, "/admin/config") == 0)
    respond (admin, &requester, 200, describe_config (admin));
  else if (team != NULL)
    config_section_request (admin, &requester, team, msg);
  else if (strcmp (path, "/admin/drain") == 0
           && strcmp (msg->method, "POST") == 0)
    drain (admin, &requester);
  else
    respond_error (admin, &requester, 404, "not_found", "no such resource");
  g_strfreev (parts);
}

static void
admin_event (struct service *service, const struct kernel_event *event)
{
  struct admin *admin = (struct admin *)service;
  const struct msg *msg = event->data;

  if (event->type == KERNEL_TRAFFIC_MESSAGE && msg->type == MSG_ADMIN)
    handle_request (admin, msg);
}

static int
admin_start (struct service *service, struct kernel *kernel)
{
  struct admin *admin = (struct admin *)service;

  admin->core = core_find (kernel);
  admin->fleet = fleet_find (kernel);
  admin->config = config_find (kernel);
  admin->links = links_find (kernel);
  admin->cells = cells_find (kernel);
  admin->inbox = inbox_find (kernel);
  return 0;
}

static void
admin_stop (struct service *service)
{
  (void)service;
}

static const struct service_ops admin_ops
    = { admin_start, admin_stop, admin_event };

struct service *
admin_new (void)
{
  struct admin *admin = g_new0 (struct admin, 1);

  admin->service.ops = &admin_ops;
  admin->service.name = ADMIN_NAME;
  return &admin->service;
}

void
admin_free (struct service *service)
{
  g_free (service);
}

#include "entry.h"

#include <string.h>
#include <ck_pr.h>
#include <jansson.h>
#include "counter.h"
#include "lookup.h"
#include "reply.h"
#include "route.h"

#define RETRY_AFTER_S 1u /* while the node is starting */

static bool
is_draining (const struct worker *worker)
{
  return ck_pr_load_uint (worker->draining) != WORKER_SERVING;
}

static void
reply_json (struct httpd_request *request, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);

  reply_text (request, 200, "application/json", text);
  free (text);
  json_decref (json);
}

static void
reply_starting (struct httpd_request *request)
{
  static const struct reply_error error
      = { 503,  "starting",    "this node has no configuration yet",
          true, RETRY_AFTER_S, NULL,
          false };

  reply_error (request, &error);
}

/* The nodes that callers may be directed to, without this one if it is
   draining.  */
static struct route_node *
routable_nodes (const struct worker *worker, const struct route_table *table,
                size_t *count)
{
  struct route_node *nodes = g_new0 (struct route_node, table->node_count);

  *count = 0;
  for (size_t i = 0; i < table->node_count; i++)
    if (!is_draining (worker)
        || strcmp (table->nodes[i].id, worker->options->node) != 0)
      nodes[(*count)++] = table->nodes[i];
  return nodes;
}

static json_t *
addresses_json (const struct worker *worker, const struct route_table *table,
                struct httpd_request *request)
{
  const struct route_node *picked[LOOKUP_ADDRESSES];
  const char *target = httpd_query (request, "model");
  const char *zone = httpd_query (request, "zone");
  const char *region = httpd_query (request, "region");
  struct lookup_query query = { .target = target != NULL ? target : "",
                                .caller = httpd_peer_port (request) };
  json_t *addresses = json_array ();
  struct route_node *nodes;
  size_t count;

  query.zone = zone != NULL ? zone : worker->options->zone;
  query.region = region != NULL ? region : worker->options->region;
  nodes = routable_nodes (worker, table, &count);
  count = lookup_nodes (&query, nodes, count, picked, LOOKUP_ADDRESSES);
  for (size_t i = 0; i < count; i++)
    json_array_append_new (addresses, json_string (picked[i]->address));
  g_free (nodes);
  return addresses;
}

void
entry_lookup (struct worker *worker, struct httpd_request *request)
{
  unsigned ttl = worker->options->entry_ttl_s;
  json_t *addresses;

  route_reader_begin (worker->reader);
  addresses = addresses_json (worker, route_read (worker->reader), request);
  route_reader_end (worker->reader);
  if (json_array_size (addresses) == 0)
    {
      json_decref (addresses);
      reply_starting (request);
      return;
    }
  reply_json (request,
              json_pack ("{s:o, s:i}", "addresses", addresses, "ttl_s",
                         (int)(ttl != 0 ? ttl : LOOKUP_TTL_S)));
}

void
entry_models (struct worker *worker, struct httpd_request *request)
{
  const struct route_table *table;
  json_t *data = json_array ();

  route_reader_begin (worker->reader);
  table = route_read (worker->reader);
  for (size_t i = 0; i < table->target_count; i++)
    json_array_append_new (data, json_pack ("{s:s, s:s, s:s}", "id",
                                            table->targets[i].name, "object",
                                            "model", "owned_by",
                                            table->targets[i].team));
  route_reader_end (worker->reader);
  reply_json (request,
              json_pack ("{s:s, s:o}", "object", "list", "data", data));
}

void
entry_healthz (struct worker *worker, struct httpd_request *request)
{
  (void)worker;
  reply_text (request, 200, "text/plain", "ok\n");
}

void
entry_readyz (struct worker *worker, struct httpd_request *request)
{
  bool ready;

  route_reader_begin (worker->reader);
  ready = route_read (worker->reader)->ready;
  route_reader_end (worker->reader);
  if (is_draining (worker))
    reply_text (request, 503, "text/plain", "stopping\n");
  else if (!ready)
    reply_text (request, 503, "text/plain", "starting\n");
  else
    reply_text (request, 200, "text/plain", "ready\n");
}

void
entry_metrics (struct worker *worker, struct httpd_request *request)
{
  char *text = counter_text ();

  (void)worker;
  reply_text (request, 200, "text/plain; version=0.0.4", text);
  g_free (text);
}

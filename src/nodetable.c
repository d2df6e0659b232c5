#include "nodetable.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include <jansson.h>
#include "badrow.h"
#include "fanout.h"
#include "platform.h"
#include "ts.h"

#define NODES_TABLE "nodes"
#define NODES_INTERVAL_MS 60000     /* between queries of the other nodes */
#define NODES_DEAD_INTERVAL_MS 5000 /* while some seem dead */
/* Per node of the fleet: all register again within this time.  */
#define REGISTER_SPREAD_MS 10

static void
on_registered (void *user, enum platform_status status,
               const struct platform_rows *rows)
{
  struct nodetable *nodes = user;

  (void)rows;
  nodes->registered = status == PLATFORM_OK;
}

static void
register_node (struct nodetable *nodes)
{
  struct platform *platform = nodes->core->platform;
  char *key = g_strdup_printf ("%s/%s", NODES_TABLE, nodes->core->node);
  json_t *json = json_pack ("{s:s}", "peer", links_address (nodes->links));
  char *value = json_dumps (json, JSON_COMPACT);
  char *token = core_unique_id (nodes->core);
  struct platform_write write = { .key = key, .value = value };
  struct platform_txn txn
      = { .token = token, .writes = &write, .write_count = 1 };
  struct platform_txn_cb cb = { .done = on_registered, .user = nodes };

  platform->ops->txn (platform, &txn, cb);
  json_decref (json);
  free (value);
  g_free (token);
  g_free (key);
}

static void
connect_node (struct nodetable *nodes, const struct platform_row *row)
{
  json_t *json = json_loads (row->value, 0, NULL);
  const char *peer = json_string_value (json_object_get (json, "peer"));

  if (peer == NULL)
    badrow_log (NODES_TABLE, row->key,
                "expected an object with a string member peer");
  else if (strcmp (peer, links_address (nodes->links)) != 0)
    links_connect (nodes->links, peer,
                   nodes->count > FANOUT_DIRECT_MAX ? row->key : NULL);
  json_decref (json);
}

static void
on_nodes (void *user, enum platform_status status,
          const struct platform_changes *changes)
{
  struct nodetable *nodes = user;

  if (status != PLATFORM_OK)
    return;
  nodes->count = changes->count;
  if (nodes->names == NULL)
    nodes->names = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_set_size (nodes->names, 0);
  for (size_t i = 0; i < changes->count; i++)
    if (changes->rows[i].value != NULL)
      {
        g_ptr_array_add (nodes->names, g_strdup (changes->rows[i].key));
        connect_node (nodes, &changes->rows[i]);
      }
}

static int64_t
nodes_interval_ms (const struct nodetable *nodes)
{
  if (!nodes->registered)
    return TS_MS_PER_S;
  return links_all_alive (nodes->links) ? NODES_INTERVAL_MS
                                        : NODES_DEAD_INTERVAL_MS;
}

/* Registers this node if necessary and connects to the nodes in NODES_TABLE.
   A new node finds the others there, and the nodes that it connects to
   announce it to the rest.  After a long partition nodes find each other the
   same way.  */
static void
list_nodes (struct loop_timer *timer)
{
  struct nodetable *nodes
      = (struct nodetable *)((char *)timer
                             - offsetof (struct nodetable, timer));
  struct platform *platform = nodes->core->platform;
  struct platform_changes_cb cb = { .done = on_nodes, .user = nodes };

  if (!nodes->registered)
    register_node (nodes);
  platform->ops->list (platform, NODES_TABLE, cb);
  loop_timer_set (
      nodes->core->loop, timer,
      ts_add_ms (loop_now (nodes->core->loop), nodes_interval_ms (nodes)));
}

void
nodetable_register_again (struct nodetable *nodes)
{
  gint32 spread_ms
      = (gint32)MIN (nodes->count, NODES_INTERVAL_MS / REGISTER_SPREAD_MS)
        * REGISTER_SPREAD_MS;

  nodes->registered = false;
  if (!nodes->core->draining)
    loop_timer_set (
        nodes->core->loop, &nodes->timer,
        ts_add_ms (loop_now (nodes->core->loop),
                   g_rand_int_range (nodes->core->rand, 0, spread_ms + 1)));
}

void
nodetable_unregister (struct nodetable *nodes)
{
  struct platform *platform = nodes->core->platform;
  char *key = g_strdup_printf ("%s/%s", NODES_TABLE, nodes->core->node);
  char *token = core_unique_id (nodes->core);
  struct platform_write write = { .key = key };
  struct platform_txn txn
      = { .token = token, .writes = &write, .write_count = 1 };
  struct platform_txn_cb cb = { .done = on_registered, .user = nodes };

  loop_timer_clear (nodes->core->loop, &nodes->timer);
  platform->ops->txn (platform, &txn, cb);
  g_free (token);
  g_free (key);
}

void
nodetable_start (struct nodetable *nodes, struct core *core,
                 struct links *links)
{
  nodes->core = core;
  nodes->links = links;
  nodes->timer.fire = list_nodes;
  loop_timer_set (core->loop, &nodes->timer, loop_now (core->loop));
}

void
nodetable_stop (struct nodetable *nodes)
{
  loop_timer_clear (nodes->core->loop, &nodes->timer);
  if (nodes->names != NULL)
    g_ptr_array_unref (nodes->names);
  nodes->names = NULL;
}

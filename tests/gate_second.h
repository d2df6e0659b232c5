/* gate_second - a second node beside the gate of gate_fixture.h, in the same
   event loop.  */

#ifndef GATE_SECOND_H
#define GATE_SECOND_H

#include "gate_fixture.h"

/* A second node.  */
struct second
{
  struct settings settings;
  struct httpc *upstream;
  struct platform *platform;
  struct backend *backend;
  struct gate *gate;
};

static void
close_second (void *user)
{
  struct second *second = user;

  httpc_free (second->upstream);
}

/* The peer address of the fixture's gate, from its row in the store.  */
static char *
peer_address_from_store (struct fixture *f)
{
  const struct row *row;
  json_t *json;
  guchar *bytes;
  gsize n;
  char *peer;

  RUN_UNTIL (f, g_hash_table_contains (f->rows, "nodes/n1"));
  row = g_hash_table_lookup (f->rows, "nodes/n1");
  bytes = g_base64_decode (row->value, &n);
  json = json_loadb ((const char *)bytes, n, 0, NULL);
  peer = g_strdup (json_string_value (
      json_object_get (json_object_get (json, "value"), "peer")));
  json_decref (json);
  g_free (bytes);
  return peer;
}

/* A node tells the others its port before it listens.  */
static uint16_t
free_port (struct fixture *f)
{
  struct httpd *httpd = start_server (f, on_server, on_server_finished);
  uint16_t port = httpd_port (httpd);

  httpd_free (httpd);
  return port;
}

/* ADDRESS: of the store.  A node with another TOKEN than the fixture's
   gate gets no link to it.  */
static void
start_second_at (struct fixture *f, struct second *second, const char *address,
                 const char *token)
{
  struct httpc_options http = { .loop = f->loop };
  struct store_options store = { .address = address };
  struct gate_options options = { .clk = clk_monotonic (),
                                  .loop = f->loop,
                                  .settings = &second->settings,
                                  .catalog = document_catalog (),
                                  .drain_ms = 5000,
                                  .close = close_second,
                                  .user = second };

  memset (second, 0, sizeof *second);
  second->upstream = httpc_new (&http);
  store.httpc = second->upstream;
  second->platform = store_new (&store);
  second->backend = engine_new (second->upstream);
  second->settings.node = g_strdup ("n2");
  second->settings.zone = g_strdup ("z");
  second->settings.region = g_strdup ("r");
  second->settings.seeds = peer_address_from_store (f);
  second->settings.peer_address = g_strdup ("127.0.0.1");
  second->settings.peer_token = g_strdup (token);
  second->settings.entry_ttl_s = 1;
  second->settings.heartbeat_ms = HEARTBEAT_MS;
  second->settings.loads_at_once = 4;
  options.platform = second->platform;
  options.backend = second->backend;
  options.gateway.caller = callers ();
  options.gateway.front.address = "127.0.0.1";
  options.gateway.front.port = free_port (f);
  options.gateway.zone = "z";
  options.gateway.max_connections = 100;
  options.gateway.retry_share = 1.0;
  options.gateway.retry_burst = 100;
  options.gateway.config_ms = CONFIG_MS;
  options.quota = gate_quota;
  g_assert_cmpint (gate_new (&options, &second->gate), ==, 0);
}

/* Starts a node that cannot reach the store.  */
static inline void
start_second (struct fixture *f, struct second *second)
{
  start_second_at (f, second, "127.0.0.1:1", f->settings.peer_token);
}

static void
stop_second (struct second *second)
{
  gate_free (second->gate);
  store_free (second->platform);
  engine_free (second->backend);
  settings_clear (&second->settings);
}

#endif

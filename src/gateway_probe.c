#include <errno.h>
#include "counter.h"
#include "gateway_state.h"
#include "log.h"
#include "ts.h"

#define CHECK_INTERVAL_MS 200 /* while probes may become due */

struct probe
{
  struct gateway *gateway;
  char *service;
  char *server;
  struct timespec began_at;
};

static struct timespec
now_of (const struct gateway *gateway)
{
  return loop_now (gateway->core->loop);
}

/* Services.  */

static void
service_free (gpointer data)
{
  struct gateway_service *service = data;

  cutoff_free (service->cutoff);
  g_free (service->name);
  g_free (service);
}

static struct gateway_service *
get_service (struct gateway *gateway, const char *name)
{
  struct gateway_service *service
      = g_hash_table_lookup (gateway->services, name);

  if (service == NULL)
    {
      service = g_new0 (struct gateway_service, 1);
      service->name = g_strdup (name);
      service->cutoff = cutoff_new ();
      g_hash_table_insert (gateway->services, service->name, service);
    }
  return service;
}

struct cutoff *
gateway_cutoff (struct gateway *gateway, const char *name)
{
  return get_service (gateway, name)->cutoff;
}

void
gateway_check_cutoff (struct gateway *gateway, const char *name)
{
  struct gateway_service *service = get_service (gateway, name);
  struct cutoff_change change
      = { .service = service->name,
          .cut_off = cutoff_all (service->cutoff, now_of (gateway)) };
  struct log_line line;

  if (change.cut_off == service->cut_off)
    return;
  service->cut_off = change.cut_off;
  log_begin (&line,
             change.cut_off ? EVENT_SERVICE_CUT_OFF : EVENT_SERVICE_REACHED);
  log_str (&line, "service", service->name);
  log_end (&line);
  kernel_post (gateway->core->kernel, KERNEL_SERVICE_CUT_OFF, &change);
  gateway_dispatch_soon (gateway);
}

/* Servers.  */

static const struct server *
find_server (struct gateway *gateway, const char *id)
{
  return servers_find (listing_servers (gateway->listing), id);
}

void
gateway_server_heard (struct gateway *gateway, const char *id)
{
  const struct server *server = find_server (gateway, id);

  if (server != NULL)
    cutoff_told (gateway_cutoff (gateway, server->route->pool), id,
                 now_of (gateway));
}

void
gateway_server_removed (struct gateway *gateway, const char *id)
{
  GHashTableIter iter;
  struct gateway_service *service;

  g_hash_table_iter_init (&iter, gateway->services);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&service))
    cutoff_forget (service->cutoff, id);
}

/* Probes.  */

static void
probe_free (struct probe *probe)
{
  g_free (probe->service);
  g_free (probe->server);
  g_free (probe);
}

static void
on_probed (void *user, const struct httpc_result *result)
{
  struct probe *probe = user;
  struct gateway *gateway = probe->gateway;
  struct cutoff *cutoff = gateway_cutoff (gateway, probe->service);

  if (result->error == 0)
    cutoff_heard (cutoff, probe->server, now_of (gateway));
  else if (result->error != -ECANCELED)
    cutoff_failed (cutoff, probe->server, probe->began_at);
  if (result->error != -ECANCELED)
    gateway_check_cutoff (gateway, probe->service);
  probe_free (probe);
}

static void
send_probe (struct gateway *gateway, const char *service, const char *id)
{
  const struct server *server = find_server (gateway, id);
  struct probe *probe;
  char *url;
  struct httpc_request request = { .connect_only = true,
                                   .fresh_connection = true,
                                   .connect_timeout_ms = CUTOFF_CONNECT_MS,
                                   .done = on_probed };

  if (server == NULL)
    {
      cutoff_forget (gateway_cutoff (gateway, service), id);
      return;
    }
  probe = g_new0 (struct probe, 1);
  probe->gateway = gateway;
  probe->service = g_strdup (service);
  probe->server = g_strdup (id);
  probe->began_at = now_of (gateway);
  url = g_strdup_printf ("http://%s/", server->route->address);
  request.url = url;
  request.user = probe;
  counter_add (COUNTER_PROBES, 1);
  if (httpc_start (gateway->httpc, &request) == NULL)
    probe_free (probe);
  g_free (url);
}

static void
probe_service (struct gateway *gateway, struct gateway_service *service)
{
  const char *servers[CUTOFF_PROBES];
  size_t count = cutoff_probe (service->cutoff, now_of (gateway), servers);

  for (size_t i = 0; i < count; i++)
    send_probe (gateway, service->name, servers[i]);
  gateway_check_cutoff (gateway, service->name);
}

static void
on_check (struct loop_timer *timer)
{
  struct gateway *gateway
      = (struct gateway *)((char *)timer
                           - offsetof (struct gateway, probe_timer));
  GHashTableIter iter;
  struct gateway_service *service;

  g_hash_table_iter_init (&iter, gateway->services);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&service))
    probe_service (gateway, service);
  gateway_probe_soon (gateway);
}

static bool
watches_any (struct gateway *gateway)
{
  GHashTableIter iter;
  const struct gateway_service *service;

  g_hash_table_iter_init (&iter, gateway->services);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&service))
    if (cutoff_watches (service->cutoff))
      return true;
  return false;
}

void
gateway_probe_soon (struct gateway *gateway)
{
  struct loop *loop = gateway->core->loop;

  if (gateway->probe_timer.slot == 0 && watches_any (gateway))
    loop_timer_set (loop, &gateway->probe_timer,
                    ts_add_ms (loop_now (loop), CHECK_INTERVAL_MS));
}

void
gateway_probe_start (struct gateway *gateway)
{
  gateway->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  gateway->probe_timer.fire = on_check;
}

void
gateway_probe_stop (struct gateway *gateway)
{
  loop_timer_clear (gateway->core->loop, &gateway->probe_timer);
}

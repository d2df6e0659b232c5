#include "gateway.h"

#include <errno.h>
#include <string.h>
#include "counter.h"
#include "fairshare.h"
#include "forward.h"
#include "gateway_state.h"
#include "histo.h"
#include "lookup.h"
#include "membudget.h"
#include "reject.h"
#include "ts.h"
#include "usage.h"

#define CALLER_IDLE_S 120    /* longer than any deadline of callers */
#define BODY_MAX (64u << 20) /* bytes; used until a limit is configured */
#define HEAD_MEMORY_BYTES (96u << 10) /* per connection */
#define DISPATCH_INTERVAL_MS 40       /* between dispatch rounds */
#define CLEANUP_INTERVAL_MS 5000
#define SERVER_KEEPALIVE_S 3 /* connections idle for longer are not reused */
/* Auxiliary servers: address lookup, readiness and metrics.  */
#define AUX_CONNECTIONS_MAX 256u
#define AUX_DESCRIPTORS_SHARE 20 /* of all descriptors, for each of them */
#define AUX_IDLE_S 30
#define HEADS_SHARE 4 /* of the memory, for the parsers of connections */
#define KEPT_DESCRIPTORS_SHARE 8 /* connections kept to servers */
#define KEPT_MAX 256
#define ADDRESSES_MAX 64 /* callers use at most this many */
/* With a second address a caller fails over at once.  It may use any
   address of the list, so an address outside its zone attracts cross-zone
   requests.  */
#define ADDRESSES_RETURNED_MIN 2
#define ADDRESSES_RETURNED_MAX 4
/* Share of the fleet-wide retry limit that the nodes may use together.  The
   rest is a reserve, as nodes count independently.  */
#define RETRY_SAFETY 0.7
#define NODES_ASSUMED_MIN 4 /* until the other nodes are known */

static void
respond_text (struct httpd_request *request, unsigned status, const char *type,
              const char *text)
{
  httpd_respond (request, status, type, NULL, text, strlen (text));
}

/* Requests of callers.  */

static void
on_front (void *user, struct httpd_request *request)
{
  forward_start (user, request);
}

static bool
front_wants_body (void *user, struct httpd_request *request)
{
  return forward_wants_body (user, request);
}

static void
on_front_gone (void *user, struct httpd_request *request, bool complete)
{
  struct forward *forward = httpd_get_user (request);

  (void)user;
  (void)complete;
  if (forward != NULL)
    forward_caller_gone (forward);
}

static void
on_front_writable (void *user, struct httpd_request *request)
{
  struct forward *forward = httpd_get_user (request);

  (void)user;
  if (forward != NULL)
    forward_writable (forward);
}

/* Address lookup.  */

static bool
is_ready (const struct gateway *gateway)
{
  return listing_site (gateway->listing) != NULL && !gateway->core->draining;
}

static char *
addresses_for (struct gateway *gateway, const struct caller_lookup *lookup)
{
  const struct route_node *picked[ADDRESSES_MAX];
  const char *addresses[ADDRESSES_MAX];
  struct lookup_query query
      = { .target = lookup->zone != NULL ? lookup->zone : "",
          .zone = lookup->zone,
          .region = lookup->region };
  struct route_node *nodes;
  char *body = NULL;
  size_t count;

  nodes = links_routable_nodes (gateway->links, &count);
  count = lookup_nodes (&query, nodes, count, picked, ADDRESSES_RETURNED_MAX);
  count = lookup_answer_size (picked, count, lookup->zone,
                              ADDRESSES_RETURNED_MIN);
  for (size_t i = 0; i < count; i++)
    addresses[i] = picked[i]->address;
  if (count > 0)
    body = gateway->options.caller->ops->addresses (
        gateway->options.caller, addresses, count,
        gateway->core->settings->entry_ttl_s);
  route_nodes_free (nodes, count);
  return body;
}

static void
on_lookup (void *user, struct httpd_request *request)
{
  struct gateway *gateway = user;
  struct caller_lookup lookup = { 0 };
  char *body;

  if (!gateway->options.caller->ops->lookup (gateway->options.caller, request,
                                             &lookup))
    {
      respond_text (request, 404, "text/plain", "no such page\n");
      return;
    }
  body = listing_site (gateway->listing) != NULL
             ? addresses_for (gateway, &lookup)
             : NULL;
  if (body == NULL)
    respond_text (request, 503, "text/plain", "starting\n");
  else
    respond_text (request, 200, "application/json", body);
  g_free (body);
}

static void
on_ready (void *user, struct httpd_request *request)
{
  struct gateway *gateway = user;

  if (!gateway->options.caller->ops->is_ready (gateway->options.caller,
                                               request))
    respond_text (request, 404, "text/plain", "no such page\n");
  else if (is_ready (gateway))
    respond_text (request, 200, "text/plain", "ready\n");
  else
    respond_text (request, 503, "text/plain", "not ready\n");
}

static void
on_metrics (void *user, struct httpd_request *request)
{
  const struct gateway *gateway = user;
  char *counters = counter_text ();
  char *quotas = quotas_metrics (gateway->quotas);
  GString *text = g_string_new (counters);

  histo_text (text);
  usage_text (gateway->usage, text);
  g_string_append (text, quotas);
  g_free (quotas);
  respond_text (request, 200, "text/plain; version=0.0.4", text->str);
  g_string_free (text, TRUE);
  g_free (counters);
}

static bool
aux_wants_body (void *user, struct httpd_request *request)
{
  (void)user;
  (void)request;
  return false;
}

static void
on_aux_gone (void *user, struct httpd_request *request, bool complete)
{
  (void)user;
  (void)request;
  (void)complete;
}

/* Waiting requests.  */

static void
on_quota_timer (struct loop_timer *timer)
{
  struct gateway *gateway
      = (struct gateway *)((char *)timer
                           - offsetof (struct gateway, quota_timer));

  forward_check_quotas (gateway);
}

static void
on_dispatch_timer (struct loop_timer *timer)
{
  struct gateway *gateway
      = (struct gateway *)((char *)timer
                           - offsetof (struct gateway, dispatch_timer));

  forward_dispatch_waiting (gateway);
  if (!TAILQ_EMPTY (&gateway->waiting))
    loop_timer_set (
        gateway->core->loop, timer,
        ts_add_ms (loop_now (gateway->core->loop), DISPATCH_INTERVAL_MS));
}

void
gateway_dispatch_soon (struct gateway *gateway)
{
  if (!TAILQ_EMPTY (&gateway->waiting))
    loop_timer_set (gateway->core->loop, &gateway->dispatch_timer,
                    loop_now (gateway->core->loop));
}

void
gateway_dispatch_later (struct gateway *gateway)
{
  struct loop *loop = gateway->core->loop;

  if (gateway->dispatch_timer.slot == 0)
    loop_timer_set (loop, &gateway->dispatch_timer,
                    ts_add_ms (loop_now (loop), DISPATCH_INTERVAL_MS));
}

struct patience *
gateway_patience (struct gateway *gateway, const char *name)
{
  struct patience *patience = g_hash_table_lookup (gateway->patience, name);

  if (patience == NULL)
    {
      patience = g_new0 (struct patience, 1);
      g_hash_table_insert (gateway->patience, g_strdup (name), patience);
    }
  return patience;
}

struct duration *
gateway_duration (struct gateway *gateway, const char *name)
{
  struct duration *duration = g_hash_table_lookup (gateway->durations, name);

  if (duration == NULL)
    {
      duration = g_new0 (struct duration, 1);
      g_hash_table_insert (gateway->durations, g_strdup (name), duration);
    }
  return duration;
}

static void
on_cleanup_timer (struct loop_timer *timer)
{
  struct gateway *gateway
      = (struct gateway *)((char *)timer
                           - offsetof (struct gateway, cleanup_timer));
  struct timespec now = loop_now (gateway->core->loop);

  eject_clean (gateway->eject, now);
  reach_clean (gateway->reach, now);
  fairshare_clean (gateway->fairshare, now);
  loop_timer_set (gateway->core->loop, timer,
                  ts_add_ms (now, CLEANUP_INTERVAL_MS));
}

/* Service interface.  */

static unsigned
max_connections (const struct gateway *gateway)
{
  size_t bytes = (size_t)gateway->core->settings->memory_mb << 20;
  size_t heads = bytes / HEADS_SHARE / HEAD_MEMORY_BYTES;
  unsigned max = gateway->options.max_connections;

  return heads > 0 && (max == 0 || heads < max) ? (unsigned)heads : max;
}

static unsigned
max_aux_connections (const struct gateway *gateway)
{
  unsigned max = gateway->core->settings->fd_limit / AUX_DESCRIPTORS_SHARE;

  return max > 0 && max < AUX_CONNECTIONS_MAX ? max : AUX_CONNECTIONS_MAX;
}

static int
start_front_server (struct gateway *gateway)
{
  const struct gateway_options *o = &gateway->options;
  struct httpd_options options
      = { .loop = gateway->core->loop,
          .address = o->front.address,
          .port = o->front.port,
          .max_connections = max_connections (gateway),
          .budget = gateway->budget,
          .wants_body = front_wants_body,
          .idle_timeout_s = CALLER_IDLE_S,
          .head_memory = HEAD_MEMORY_BYTES,
          .body_max = BODY_MAX,
          .request = on_front,
          .gone = on_front_gone,
          .writable = on_front_writable,
          .rejected = reject_log,
          .user = gateway };

  return httpd_new (&options, &gateway->front);
}

static int
start_aux_server (struct gateway *gateway,
                  const struct gateway_address *address,
                  void (*request) (void *user, struct httpd_request *request),
                  struct httpd **out)
{
  struct httpd_options options
      = { .loop = gateway->core->loop,
          .address = address->address,
          .port = address->port,
          .max_connections = max_aux_connections (gateway),
          .budget = gateway->budget,
          .wants_body = aux_wants_body,
          .rejected = reject_log,
          .idle_timeout_s = AUX_IDLE_S,
          .request = request,
          .gone = on_aux_gone,
          .user = gateway };

  return address->address != NULL ? httpd_new (&options, out) : 0;
}

static int
start_servers (struct gateway *gateway)
{
  const struct gateway_options *o = &gateway->options;
  int err = start_front_server (gateway);

  if (err == 0)
    err = start_aux_server (gateway, &o->directory, on_lookup,
                            &gateway->directory);
  if (err == 0)
    err = start_aux_server (gateway, &o->ready, on_ready, &gateway->ready);
  if (err == 0)
    err = start_aux_server (gateway, &o->metrics, on_metrics,
                            &gateway->metrics);
  return err;
}

/* The part of the fleet-wide retry limit that this node may use.  */
static struct retry_options
node_retry_limits (struct gateway *gateway)
{
  const struct gateway_options *o = &gateway->options;
  struct retry_options retry;
  size_t nodes;

  links_members (gateway->links, &nodes);
  retry.percent = (unsigned)(RETRY_SAFETY * 100.0 * o->retry_share);
  retry.burst = (unsigned)(RETRY_SAFETY * o->retry_burst
                           / (double)MAX (nodes, NODES_ASSUMED_MIN));
  retry.begin_empty = gateway->retry_begins_empty;
  return retry;
}

/* The former process of this node can no longer have used its burst within
   the window.  */
static void
on_retry_timer (struct loop_timer *timer)
{
  struct gateway *gateway
      = (struct gateway *)((char *)timer
                           - offsetof (struct gateway, retry_timer));
  struct retry_options retry;

  gateway->retry_begins_empty = false;
  retry = node_retry_limits (gateway);
  retry_set_limits (gateway->retry, &retry);
}

static void
start_retry_window (struct gateway *gateway)
{
  struct loop *loop = gateway->core->loop;

  gateway->retry_timer.fire = on_retry_timer;
  gateway->retry_begins_empty = gateway->options.retry_window_ms > 0;
  if (gateway->retry_begins_empty)
    loop_timer_set (
        loop, &gateway->retry_timer,
        ts_add_ms (loop_now (loop), gateway->options.retry_window_ms));
}

static void
create_policies (struct gateway *gateway)
{
  const struct gateway_options *o = &gateway->options;
  struct pick_options pick = { .zone = o->zone };
  struct retry_options retry = node_retry_limits (gateway);

  pick.seed = (uint32_t)gateway->core->incarnation;
  gateway->pick = pick_new (&pick);
  gateway->eject = eject_new ();
  gateway->brittle = brittle_new ();
  gateway->reach = reach_new ();
  gateway->retry = retry_new_per_target (&retry);
}

/* Frees the HTTP servers before the HTTP client: closing a caller's
   request cancels its call at the client.  */
static void
gateway_stop (struct service *service)
{
  struct gateway *gateway = (struct gateway *)service;

  httpd_free (gateway->front);
  httpd_free (gateway->directory);
  httpd_free (gateway->ready);
  httpd_free (gateway->metrics);
  httpc_free (gateway->httpc);
  loop_timer_clear (gateway->core->loop, &gateway->dispatch_timer);
  loop_timer_clear (gateway->core->loop, &gateway->quota_timer);
  loop_timer_clear (gateway->core->loop, &gateway->cleanup_timer);
  loop_timer_clear (gateway->core->loop, &gateway->retry_timer);
  gateway_probe_stop (gateway);
}

static int
start_client (struct gateway *gateway)
{
  const struct settings *settings = gateway->core->settings;
  struct membudget_options budget
      = membudget_share (settings->memory_mb, settings->fd_limit, 1);
  struct httpc_options client
      = { .loop = gateway->core->loop,
          .max_connections
          = MIN (settings->fd_limit / KEPT_DESCRIPTORS_SHARE, KEPT_MAX),
          .max_connection_age_s = SERVER_KEEPALIVE_S,
          .collected_max
          = membudget_collected_max (&budget, HTTPC_COLLECTED_MAX) };

  gateway->budget = membudget_new (&budget);
  client.budget = gateway->budget;
  gateway->httpc = httpc_new (&client);
  return gateway->httpc != NULL ? 0 : -ENOMEM;
}

static int
gateway_start (struct service *service, struct kernel *kernel)
{
  struct gateway *gateway = (struct gateway *)service;
  int err;

  gateway->core = core_find (kernel);
  gateway->links = links_find (kernel);
  gateway->listing = listing_find (kernel);
  gateway->ratelimits = ratelimits_find (kernel);
  gateway->quotas = quotas_find (kernel);
  gateway->planners = planners_find (kernel);
  gateway->origins = origins_find (kernel);
  gateway->versionlog = versionlog_find (kernel);
  gateway->quarantines = quarantines_find (kernel);
  err = start_client (gateway);
  if (err < 0)
    return err;
  gateway_keys_start (gateway);
  start_retry_window (gateway);
  create_policies (gateway);
  gateway_probe_start (gateway);
  gateway->dispatch_timer.fire = on_dispatch_timer;
  gateway->quota_timer.fire = on_quota_timer;
  gateway->cleanup_timer.fire = on_cleanup_timer;
  loop_timer_set (gateway->core->loop, &gateway->cleanup_timer,
                  loop_now (gateway->core->loop));
  err = start_servers (gateway);
  if (err < 0)
    gateway_stop (service);
  return err;
}

static void
apply_limits (struct gateway *gateway, const struct site *site)
{
  httpd_set_body_max (gateway->front,
                      site->body_bytes > 0 ? site->body_bytes : BODY_MAX);
  httpd_set_timeouts (gateway->front, site->head_timeout_ms,
                      site->idle_timeout_ms);
}

static void
gateway_event (struct service *service, const struct kernel_event *event)
{
  struct gateway *gateway = (struct gateway *)service;
  struct retry_options retry;

  if (event->type == KERNEL_DRAIN_STARTED)
    gateway->drain
        = (struct drain){ .started_at = clk_now (gateway->core->clk),
                          .ms = gateway->options.drain_ms };
  if (event->type == KERNEL_SERVER_HEARD)
    gateway_server_heard (gateway, event->data);
  if (event->type == KERNEL_SERVER_REMOVED)
    {
      gateway_server_removed (gateway, event->data);
      brittle_forget (gateway->brittle, event->data);
    }
  if (event->type == KERNEL_SITE_CHANGED)
    apply_limits (gateway, event->data);
  if (event->type == KERNEL_SERVERS_CHANGED
      || event->type == KERNEL_SITE_CHANGED
      || event->type == KERNEL_LIMIT_CHANGED)
    gateway_dispatch_soon (gateway);
  /* Not at once: the event may come from within a request.  */
  if (event->type == KERNEL_QUOTA_CHANGED)
    loop_timer_set (gateway->core->loop, &gateway->quota_timer,
                    loop_now (gateway->core->loop));
  if (event->type != KERNEL_MEMBERS_CHANGED || gateway->retry == NULL)
    return;
  retry = node_retry_limits (gateway);
  retry_set_limits (gateway->retry, &retry);
}

static const struct service_ops gateway_ops
    = { gateway_start, gateway_stop, gateway_event };

static void
unref_peer (gpointer peer)
{
  route_engine_unref (peer);
}

struct service *
gateway_new (const struct gateway_options *options)
{
  struct gateway *gateway = g_new0 (struct gateway, 1);

  gateway->service.ops = &gateway_ops;
  gateway->service.name = "gateway";
  gateway->options = *options;
  gateway->usage = usage_new ();
  gateway->fairshare = fairshare_new ();
  TAILQ_INIT (&gateway->waiting);
  TAILQ_INIT (&gateway->waiting_for_quota);
  TAILQ_INIT (&gateway->open_requests);
  gateway->patience
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gateway->returns = returns_new ();
  gateway->durations
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gateway->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, unref_peer);
  gateway->waiting_for
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return &gateway->service;
}

void
gateway_free (struct service *service)
{
  struct gateway *gateway = (struct gateway *)service;

  if (gateway == NULL)
    return;
  gateway_keys_stop (gateway);
  usage_free (gateway->usage);
  fairshare_free (gateway->fairshare);
  membudget_free (gateway->budget);
  pick_free (gateway->pick);
  eject_free (gateway->eject);
  brittle_free (gateway->brittle);
  reach_free (gateway->reach);
  retry_free (gateway->retry);
  g_hash_table_unref (gateway->waiting_for);
  g_hash_table_unref (gateway->patience);
  g_hash_table_unref (gateway->durations);
  returns_free (gateway->returns);
  g_hash_table_unref (gateway->peers);
  if (gateway->services != NULL)
    g_hash_table_unref (gateway->services);
  g_free (gateway);
}

uint16_t
gateway_port (const struct service *service)
{
  return httpd_port (((const struct gateway *)service)->front);
}

void
gateway_end_requests (struct service *service)
{
  forward_end_all ((struct gateway *)service);
}

unsigned
gateway_open_requests (const struct service *service)
{
  return ((const struct gateway *)service)->open;
}

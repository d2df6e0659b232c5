#include "gateway.h"

#include <errno.h>
#include <string.h>
#include "counter.h"
#include "forward.h"
#include "gateway_state.h"
#include "histo.h"
#include "lookup.h"
#include "reject.h"
#include "ts.h"

#define IDLE_S 120           /* longer than any limit that callers are given */
#define BODY_MAX (64u << 20) /* bytes; until a limit is configured */
#define HEAD_MEMORY (96u << 10) /* bytes of a connection, for the head */
#define PUMP_MS 40 /* between chances given to requests that wait */
#define CLEAN_MS 5000
#define KEEP_S 3 /* an idle connection to a server is used again within */
#define SIDE_CONNECTIONS 256u
#define SIDE_IDLE_S 30
#define ADDRESSES_MAX 64 /* that callers look at */
/* A caller that has a second address goes on at once when the first fails;
   it takes any of them, so that one outside its zone takes calls there.  */
#define ADDRESSES_LEAST 2
#define ADDRESSES_MOST 4
/* Of what all nodes together may repeat: each counts on its own, and restarts
   with a full budget.  */
#define RETRY_SAFETY 0.7
/* Parts of the time for a planned stop in which requests are taken and sent:
   callers have looked again by the first, and most answers take less than what
   is left after the second.  */
#define DRAIN_TAKES 0.4
#define DRAIN_SENDS 0.6
#define NODES_LEAST 4 /* assumed before the others are known */

static void
answer_text (struct httpd_request *request, unsigned status, const char *type,
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

static void
on_front_gone (void *user, struct httpd_request *request, bool complete)
{
  struct forward *forward = httpd_get_user (request);

  (void)user;
  (void)complete;
  if (forward != NULL)
    forward_gone (forward);
}

static void
on_front_writable (void *user, struct httpd_request *request)
{
  struct forward *forward = httpd_get_user (request);

  (void)user;
  if (forward != NULL)
    forward_writable (forward);
}

/* Where to connect.  */

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
  count = lookup_nodes (&query, nodes, count, picked, ADDRESSES_MOST);
  count = lookup_answer_size (picked, count, lookup->zone, ADDRESSES_LEAST);
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
on_directory (void *user, struct httpd_request *request)
{
  struct gateway *gateway = user;
  struct caller_lookup lookup = { 0 };
  char *body;

  if (!gateway->options.caller->ops->lookup (gateway->options.caller, request,
                                             &lookup))
    {
      answer_text (request, 404, "text/plain", "no such page\n");
      return;
    }
  body = listing_site (gateway->listing) != NULL
             ? addresses_for (gateway, &lookup)
             : NULL;
  if (body == NULL)
    answer_text (request, 503, "text/plain", "starting\n");
  else
    answer_text (request, 200, "application/json", body);
  g_free (body);
}

static void
on_ready (void *user, struct httpd_request *request)
{
  struct gateway *gateway = user;

  if (!gateway->options.caller->ops->is_ready (gateway->options.caller,
                                               request))
    answer_text (request, 404, "text/plain", "no such page\n");
  else if (is_ready (gateway))
    answer_text (request, 200, "text/plain", "ready\n");
  else
    answer_text (request, 503, "text/plain", "not ready\n");
}

static void
on_metrics (void *user, struct httpd_request *request)
{
  char *counters = counter_text ();
  GString *text = g_string_new (counters);

  (void)user;
  histo_text (text);
  answer_text (request, 200, "text/plain; version=0.0.4", text->str);
  g_string_free (text, TRUE);
  g_free (counters);
}

static void
on_side_gone (void *user, struct httpd_request *request, bool complete)
{
  (void)user;
  (void)request;
  (void)complete;
}

/* Requests that wait.  */

static void
on_pump (struct loop_timer *timer)
{
  struct gateway *gateway
      = (struct gateway *)((char *)timer - offsetof (struct gateway, pump));

  forward_pump (gateway);
  if (!TAILQ_EMPTY (&gateway->waiting))
    loop_timer_set (gateway->core->loop, timer,
                    ts_add_ms (loop_now (gateway->core->loop), PUMP_MS));
}

void
gateway_pump_soon (struct gateway *gateway)
{
  if (!TAILQ_EMPTY (&gateway->waiting))
    loop_timer_set (gateway->core->loop, &gateway->pump,
                    loop_now (gateway->core->loop));
}

void
gateway_pump_later (struct gateway *gateway)
{
  struct loop *loop = gateway->core->loop;

  if (gateway->pump.slot == 0)
    loop_timer_set (loop, &gateway->pump,
                    ts_add_ms (loop_now (loop), PUMP_MS));
}

static bool
within_drain (const struct gateway *gateway, double share)
{
  struct timespec now = clk_now (gateway->core->clk);
  int64_t passed_ms;

  if (!gateway->core->draining)
    return true;
  passed_ms = ts_to_ms (ts_sub (now, gateway->drain_from));
  return (double)passed_ms < share * (double)gateway->options.drain_ms;
}

bool
gateway_takes (const struct gateway *gateway)
{
  return within_drain (gateway, DRAIN_TAKES);
}

bool
gateway_sends (const struct gateway *gateway)
{
  return within_drain (gateway, DRAIN_SENDS);
}

static void
on_clean (struct loop_timer *timer)
{
  struct gateway *gateway
      = (struct gateway *)((char *)timer - offsetof (struct gateway, clean));
  struct timespec now = loop_now (gateway->core->loop);

  eject_clean (gateway->eject, now);
  reach_clean (gateway->reach, now);
  loop_timer_set (gateway->core->loop, timer, ts_add_ms (now, CLEAN_MS));
}

/* The service.  */

static int
listen_front (struct gateway *gateway)
{
  const struct gateway_options *o = &gateway->options;
  struct httpd_options options = { .loop = gateway->core->loop,
                                   .address = o->front.address,
                                   .port = o->front.port,
                                   .max_connections = o->max_connections,
                                   .idle_timeout_s = IDLE_S,
                                   .head_memory = HEAD_MEMORY,
                                   .body_max = BODY_MAX,
                                   .request = on_front,
                                   .gone = on_front_gone,
                                   .writable = on_front_writable,
                                   .rejected = reject_log,
                                   .user = gateway };

  return httpd_new (&options, &gateway->front);
}

static int
listen_side (struct gateway *gateway, const struct gateway_address *at,
             void (*request) (void *user, struct httpd_request *request),
             struct httpd **out)
{
  struct httpd_options options = { .loop = gateway->core->loop,
                                   .address = at->address,
                                   .port = at->port,
                                   .max_connections = SIDE_CONNECTIONS,
                                   .idle_timeout_s = SIDE_IDLE_S,
                                   .request = request,
                                   .gone = on_side_gone,
                                   .user = gateway };

  return at->address != NULL ? httpd_new (&options, out) : 0;
}

static int
listen_all (struct gateway *gateway)
{
  const struct gateway_options *o = &gateway->options;
  int err = listen_front (gateway);

  if (err == 0)
    err = listen_side (gateway, &o->directory, on_directory,
                       &gateway->directory);
  if (err == 0)
    err = listen_side (gateway, &o->ready, on_ready, &gateway->ready);
  if (err == 0)
    err = listen_side (gateway, &o->metrics, on_metrics, &gateway->metrics);
  return err;
}

/* This node's part of the repeats that all may send.  */
static struct retry_options
retry_share (struct gateway *gateway)
{
  const struct gateway_options *o = &gateway->options;
  struct retry_options retry;
  size_t nodes;

  links_members (gateway->links, &nodes);
  retry.percent = (unsigned)(RETRY_SAFETY * 100.0 * o->retry_share);
  retry.burst = (unsigned)(RETRY_SAFETY * o->retry_burst
                           / (double)MAX (nodes, NODES_LEAST));
  return retry;
}

static void
make_deciders (struct gateway *gateway)
{
  const struct gateway_options *o = &gateway->options;
  struct pick_options pick = { .zone = o->zone };
  struct retry_options retry = retry_share (gateway);

  pick.seed = (uint32_t)gateway->core->incarnation;
  gateway->pick = pick_new (&pick);
  gateway->eject = eject_new ();
  gateway->reach = reach_new ();
  gateway->retry = retry_new_per_target (&retry);
}

/* The servers first: what is gone there cancels its calls at the client.  */
static void
gateway_stop (struct service *service)
{
  struct gateway *gateway = (struct gateway *)service;

  httpd_free (gateway->front);
  httpd_free (gateway->directory);
  httpd_free (gateway->ready);
  httpd_free (gateway->metrics);
  httpc_free (gateway->httpc);
  loop_timer_clear (gateway->core->loop, &gateway->pump);
  loop_timer_clear (gateway->core->loop, &gateway->clean);
}

static int
gateway_start (struct service *service, struct kernel *kernel)
{
  struct gateway *gateway = (struct gateway *)service;
  struct httpc_options client = { .max_connection_age_s = KEEP_S };
  int err;

  gateway->core = core_find (kernel);
  gateway->links = links_find (kernel);
  gateway->listing = listing_find (kernel);
  gateway->planners = planners_find (kernel);
  client.loop = gateway->core->loop;
  gateway->httpc = httpc_new (&client);
  if (gateway->httpc == NULL)
    return -ENOMEM;
  make_deciders (gateway);
  gateway->pump.fire = on_pump;
  gateway->clean.fire = on_clean;
  loop_timer_set (gateway->core->loop, &gateway->clean,
                  loop_now (gateway->core->loop));
  err = listen_all (gateway);
  if (err < 0)
    gateway_stop (service);
  return err;
}

static void
take_limits (struct gateway *gateway, const struct site *site)
{
  httpd_set_body_max (gateway->front,
                      site->body_bytes > 0 ? site->body_bytes : BODY_MAX);
}

static void
gateway_event (struct service *service, const struct kernel_event *event)
{
  struct gateway *gateway = (struct gateway *)service;
  struct retry_options retry;

  if (event->type == KERNEL_DRAIN_STARTED)
    gateway->drain_from = clk_now (gateway->core->clk);
  if (event->type == KERNEL_SITE_CHANGED)
    take_limits (gateway, event->data);
  if (event->type == KERNEL_SERVERS_CHANGED
      || event->type == KERNEL_SITE_CHANGED)
    gateway_pump_soon (gateway);
  if (event->type != KERNEL_MEMBERS_CHANGED || gateway->retry == NULL)
    return;
  retry = retry_share (gateway);
  retry_set_limits (gateway->retry, &retry);
}

static const struct service_ops gateway_ops
    = { gateway_start, gateway_stop, gateway_event };

struct service *
gateway_new (const struct gateway_options *options)
{
  struct gateway *gateway = g_new0 (struct gateway, 1);

  gateway->service.ops = &gateway_ops;
  gateway->service.name = "gateway";
  gateway->options = *options;
  TAILQ_INIT (&gateway->waiting);
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
  pick_free (gateway->pick);
  eject_free (gateway->eject);
  reach_free (gateway->reach);
  retry_free (gateway->retry);
  g_hash_table_unref (gateway->waiting_for);
  g_free (gateway);
}

uint16_t
gateway_port (const struct service *service)
{
  return httpd_port (((const struct gateway *)service)->front);
}

unsigned
gateway_open_requests (const struct service *service)
{
  return ((const struct gateway *)service)->open;
}

#include "gate.h"

#include <errno.h>
#include <glib.h>
#include "confpeer.h"
#include "core.h"
#include "links.h"
#include "listing.h"
#include "log.h"
#include "origins.h"
#include "planners.h"
#include "versionlog.h"
#include "quarantines.h"
#include "quotas.h"
#include "ratelimits.h"
#include "ts.h"

#define DRAIN_CHECK_MS 50
#define DRAIN_FLUSH_MS 100 /* to send the last responses */
/* Callers may still connect this long after their lookup answer expired.  */
#define LOOKUP_GRACE_MS 1500

struct gate
{
  struct core core;
  struct gate_options options;
  struct service *links;
  struct service *listing;
  struct service *ratelimits;
  struct service *quotas;
  struct service *confpeer;
  struct service *origins;
  struct service *quarantines;
  struct service *planners;
  struct service *versionlog;
  struct service *gateway;
  struct loop_timer drain_timer;
  struct timespec drain_started_at;
  bool requests_ended; /* at the end of the drain time */
};

static void
create_core (struct gate *gate)
{
  const struct gate_options *options = &gate->options;
  struct core *core = &gate->core;

  core->settings = options->settings;
  core->clk = options->clk;
  core->loop = options->loop;
  core->platform = options->platform;
  core->backend = options->backend;
  core->incarnation = (uint64_t)ts_to_ns (clk_wall (core->clk));
  core->node = g_strdup (options->settings->node);
  core->address = g_strdup_printf ("%s:%u", options->gateway.front.address,
                                   options->gateway.front.port);
  core->rand = g_rand_new_with_seed ((guint32)core->incarnation);
  core->kernel = kernel_new ();
}

static void
register_services (struct gate *gate)
{
  struct kernel *kernel = gate->core.kernel;
  struct listing_options listing = { .catalog = gate->options.catalog };

  core_register (&gate->core);
  kernel_register (kernel, gate->links = links_new ());
  kernel_register (kernel, gate->listing = listing_new (&listing));
  kernel_register (kernel, gate->ratelimits = ratelimits_new ());
  kernel_register (kernel, gate->quotas = quotas_new (&gate->options.quota));
  kernel_register (kernel, gate->confpeer = confpeer_new ());
  kernel_register (kernel, gate->origins = origins_new ());
  kernel_register (kernel, gate->quarantines = quarantines_new ());
  kernel_register (kernel,
                   gate->planners = planners_new (&gate->options.planners));
  kernel_register (kernel, gate->versionlog = versionlog_new ());
  kernel_register (kernel,
                   gate->gateway = gateway_new (&gate->options.gateway));
}

static void
log_started (const struct gate *gate)
{
  const struct settings *settings = gate->core.settings;
  struct log_line line;

  log_begin (&line, EVENT_STARTED);
  log_str (&line, "listen", gate->core.address);
  log_str (&line, "zone", settings->zone);
  log_str (&line, "region", settings->region);
  log_str (&line, "seeds", settings->seeds);
  log_end (&line);
}

static void
on_store_restored (void *user)
{
  const struct gate *gate = user;

  kernel_post (gate->core.kernel, KERNEL_STORE_RESTORED, NULL);
}

int
gate_new (const struct gate_options *options, struct gate **out)
{
  struct gate *gate = g_new0 (struct gate, 1);
  int err;

  gate->options = *options;
  gate->options.gateway.drain_ms = options->drain_ms;
  create_core (gate);
  register_services (gate);
  options->platform->restored = on_store_restored;
  options->platform->restored_user = gate;
  err = kernel_start (gate->core.kernel);
  if (err < 0)
    {
      gate_free (gate);
      return err;
    }
  log_started (gate);
  *out = gate;
  return 0;
}

void
gate_run (struct gate *gate)
{
  loop_run (gate->core.loop);
}

void
gate_stop (struct gate *gate)
{
  loop_stop (gate->core.loop);
}

void
gate_add_seeds (struct gate *gate, const char *seeds)
{
  char **addresses = g_strsplit (seeds, ",", -1);

  for (char **address = addresses; *address != NULL; address++)
    if (**address != '\0')
      links_connect ((struct links *)gate->links, *address, NULL);
  g_strfreev (addresses);
}

uint16_t
gate_port (const struct gate *gate)
{
  return gateway_port (gate->gateway);
}

static void
drain_check (struct loop_timer *timer)
{
  struct gate *gate
      = (struct gate *)((char *)timer - offsetof (struct gate, drain_timer));
  struct timespec now = loop_now (gate->core.loop);
  int64_t lookup_ms = (int64_t)gate->core.settings->entry_ttl_s * TS_MS_PER_S
                      + LOOKUP_GRACE_MS;
  int64_t elapsed_ms = ts_to_ms (ts_sub (now, gate->drain_started_at));
  unsigned open = gateway_open_requests (gate->gateway);

  if (elapsed_ms >= gate->options.drain_ms && !gate->requests_ended)
    {
      gate->requests_ended = true;
      gateway_end_requests (gate->gateway);
      open = gateway_open_requests (gate->gateway);
    }
  if (elapsed_ms >= gate->options.drain_ms + DRAIN_FLUSH_MS
      || (open == 0 && (gate->requests_ended || elapsed_ms >= lookup_ms)))
    gate_stop (gate);
  else
    loop_timer_set (gate->core.loop, timer, ts_add_ms (now, DRAIN_CHECK_MS));
}

void
gate_drain (struct gate *gate)
{
  struct log_line line;

  if (gate->core.draining)
    return;
  gate->core.draining = true;
  log_begin (&line, EVENT_STOPPING);
  log_int (&line, "open", gateway_open_requests (gate->gateway));
  log_end (&line);
  kernel_post (gate->core.kernel, KERNEL_DRAIN_STARTED, NULL);
  gate->drain_started_at = loop_now (gate->core.loop);
  gate->drain_timer.fire = drain_check;
  loop_timer_set (gate->core.loop, &gate->drain_timer, gate->drain_started_at);
}

void
gate_free (struct gate *gate)
{
  struct log_line line;

  log_begin (&line, EVENT_STOPPED);
  log_int (&line, "open", gateway_open_requests (gate->gateway));
  log_end (&line);
  loop_timer_clear (gate->core.loop, &gate->drain_timer);
  /* Before the services stop: callbacks of cancelled calls set timers, which
     the services clear when they stop.  */
  gate->options.close (gate->options.user);
  kernel_stop (gate->core.kernel);
  gateway_free (gate->gateway);
  versionlog_free (gate->versionlog);
  planners_free (gate->planners);
  quarantines_free (gate->quarantines);
  origins_free (gate->origins);
  confpeer_free (gate->confpeer);
  quotas_free (gate->quotas);
  ratelimits_free (gate->ratelimits);
  listing_free (gate->listing);
  links_free (gate->links);
  kernel_free (gate->core.kernel);
  g_rand_free (gate->core.rand);
  g_free (gate->core.node);
  g_free (gate->core.address);
  g_free (gate);
}

struct service *
gate_service (const struct gate *gate, const char *name)
{
  return kernel_find (gate->core.kernel, name);
}

#include "confpeer.h"

#include <glib.h>
#include "confpull.h"
#include "core.h"
#include "links.h"
#include "listing.h"
#include "log.h"
#include "planners.h"
#include "ts.h"

#define CONFPEER_NAME "confpeer"
/* Delay before a node without a configuration requests one from a peer.  The
   platform usually delivers it within a few milliseconds.  */
#define FIRST_REQUEST_DELAY_MS 50

struct confpeer
{
  struct service service; /* must be first: it is cast to this struct */
  struct core *core;
  struct links *links;
  struct listing *listing;
  struct confpull pull;
  struct loop_timer timer;
};

static uint64_t
own_version (const struct confpeer *confpeer)
{
  const struct site *site = listing_site (confpeer->listing);

  return site != NULL ? site->version : 0;
}

static void
set_timer (struct confpeer *confpeer)
{
  struct timespec at;

  if (confpull_next_due (&confpeer->pull, own_version (confpeer), &at))
    loop_timer_set (confpeer->core->loop, &confpeer->timer, at);
  else
    loop_timer_clear (confpeer->core->loop, &confpeer->timer);
}

static void
timer_fire (struct loop_timer *timer)
{
  struct confpeer *confpeer
      = (struct confpeer *)((char *)timer - offsetof (struct confpeer, timer));
  struct timespec now = loop_now (confpeer->core->loop);
  struct peer_msg msg
      = { .type = PEER_CONFIG_REQUEST, .version = own_version (confpeer) };
  const char *node = confpull_due (&confpeer->pull, msg.version, now);

  if (node != NULL)
    {
      links_send (confpeer->links, node, &msg);
      confpull_delay (&confpeer->pull, ts_add_ms (now, CONFPULL_INTERVAL_MS));
    }
  set_timer (confpeer);
}

/* The request is delayed, because usually the platform delivers the version
   first.  */
static void
handle_announcement (struct confpeer *confpeer, const char *from,
                     uint64_t version)
{
  struct timespec now = loop_now (confpeer->core->loop);
  uint64_t own = own_version (confpeer);
  int64_t wait_ms = own == 0 ? FIRST_REQUEST_DELAY_MS : CONFPULL_INTERVAL_MS;

  if (confpull_offered (&confpeer->pull, from, version, own, now))
    confpull_delay (&confpeer->pull, ts_add_ms (now, wait_ms));
  set_timer (confpeer);
}

/* The whole configuration, borrowed from the listing.  */
static struct peer_section
own_section (const struct confpeer *confpeer)
{
  return (struct peer_section){ .team = (char *)"",
                                .text
                                = (char *)listing_config (confpeer->listing),
                                .version = own_version (confpeer) };
}

static void
send_config (struct confpeer *confpeer, const char *to, uint64_t since)
{
  struct peer_section section = own_section (confpeer);
  struct peer_msg msg = { .type = PEER_CONFIG,
                          .version = section.version,
                          .sections = &section,
                          .section_count = 1 };

  if (section.version > since)
    links_send (confpeer->links, to, &msg);
}

/* Announces a new version.  In a large fleet the decider sends the
   configuration itself, so that the other nodes need not all query the store,
   and a node that received it does not announce it.  */
static void
announce (struct confpeer *confpeer)
{
  struct peer_section section = own_section (confpeer);
  struct peer_msg msg
      = { .type = PEER_CONFIG_VERSION, .version = section.version };
  const struct planners *planners = planners_find (confpeer->core->kernel);

  if (!links_has_relays (confpeer->links))
    links_broadcast (confpeer->links, &msg);
  else if (planners != NULL && planners_deciding (planners))
    {
      msg.type = PEER_CONFIG;
      msg.sections = &section;
      msg.section_count = 1;
      links_fan_out (confpeer->links, &msg);
    }
  else if (!listing_config_from_peer (confpeer->listing))
    links_fan_out (confpeer->links, &msg);
}

static void
receive_config (struct confpeer *confpeer, const char *from,
                const struct peer_msg *msg)
{
  struct log_line line;

  if (msg->relay)
    links_relay (confpeer->links, from, msg);
  if (msg->section_count != 1 || msg->sections[0].text == NULL
      || msg->version <= own_version (confpeer))
    return;
  log_begin (&line, EVENT_CONFIG_FROM_PEER);
  log_str (&line, "peer", from);
  log_int (&line, "version", (int64_t)msg->version);
  log_end (&line);
  listing_apply_config (confpeer->listing, msg->sections[0].text);
  set_timer (confpeer);
}

static void
handle_peer_message (struct confpeer *confpeer,
                     const struct links_msg *received)
{
  const struct peer_msg *msg = received->msg;

  if (msg->type == PEER_CONFIG_VERSION)
    handle_announcement (confpeer, received->from, msg->version);
  else if (msg->type == PEER_CONFIG_REQUEST)
    send_config (confpeer, received->from, msg->version);
  else if (msg->type == PEER_CONFIG)
    receive_config (confpeer, received->from, msg);
}

static void
confpeer_event (struct service *service, const struct kernel_event *event)
{
  struct confpeer *confpeer = (struct confpeer *)service;

  if (event->type == KERNEL_PEER_MESSAGE)
    handle_peer_message (confpeer, event->data);
  else if (event->type == KERNEL_SITE_CHANGED)
    {
      announce (confpeer);
      set_timer (confpeer);
    }
}

static int
confpeer_start (struct service *service, struct kernel *kernel)
{
  struct confpeer *confpeer = (struct confpeer *)service;

  confpeer->core = core_find (kernel);
  confpeer->links = links_find (kernel);
  confpeer->listing = listing_find (kernel);
  confpeer->timer.fire = timer_fire;
  return 0;
}

static void
confpeer_stop (struct service *service)
{
  struct confpeer *confpeer = (struct confpeer *)service;

  loop_timer_clear (confpeer->core->loop, &confpeer->timer);
}

static const struct service_ops ops
    = { confpeer_start, confpeer_stop, confpeer_event };

struct service *
confpeer_new (void)
{
  struct confpeer *confpeer = g_new0 (struct confpeer, 1);

  confpeer->service.ops = &ops;
  confpeer->service.name = CONFPEER_NAME;
  return &confpeer->service;
}

void
confpeer_free (struct service *service)
{
  struct confpeer *confpeer = (struct confpeer *)service;

  if (confpeer == NULL)
    return;
  confpull_clear (&confpeer->pull);
  g_free (confpeer);
}

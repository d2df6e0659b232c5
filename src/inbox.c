#include "inbox.h"

#include <sys/epoll.h>
#include <glib.h>
#include "core.h"
#include "traffic.h"
#include "ts.h"

#define POLL_INTERVAL_MS 100 /* maximum delay after a lost wake-up */

struct inbox
{
  struct service service;
  struct core *core;
  struct traffic *traffic;
  struct loop_watch watch;
  struct loop_timer poll_timer;
};

static void
receive_messages (struct inbox *inbox)
{
  struct msg *msg;

  while ((msg = ring_receive (inbox->core->from_traffic)) != NULL)
    {
      kernel_post (inbox->core->kernel, KERNEL_TRAFFIC_MESSAGE, msg);
      msg_free (msg);
    }
}

static void
on_ready (struct loop_watch *watch, uint32_t events)
{
  struct inbox *inbox
      = (struct inbox *)((char *)watch - offsetof (struct inbox, watch));

  (void)events;
  ring_clear_event (inbox->core->from_traffic);
  receive_messages (inbox);
}

static void
on_poll_timer (struct loop_timer *timer)
{
  struct inbox *inbox
      = (struct inbox *)((char *)timer - offsetof (struct inbox, poll_timer));
  struct loop *loop = inbox->core->loop;

  receive_messages (inbox);
  route_reclaim (inbox->core->route);
  loop_timer_set (loop, timer, ts_add_ms (loop_now (loop), POLL_INTERVAL_MS));
}

void
inbox_send (struct inbox *inbox, struct msg *msg)
{
  traffic_send (inbox->traffic, msg->thread, msg);
}

static void
broadcast (struct inbox *inbox, enum msg_type type)
{
  for (unsigned i = 0; i < inbox->core->settings->threads; i++)
    {
      struct msg *msg = msg_new (type);

      msg->thread = i;
      inbox_send (inbox, msg);
    }
}

static void
inbox_event (struct service *service, const struct kernel_event *event)
{
  struct inbox *inbox = (struct inbox *)service;

  if (event->type == KERNEL_ROUTES_PUBLISHED)
    broadcast (inbox, MSG_ROUTES);
  else if (event->type == KERNEL_DRAIN_STARTED)
    traffic_drain (inbox->traffic);
}

static int
inbox_start (struct service *service, struct kernel *kernel)
{
  struct inbox *inbox = (struct inbox *)service;
  int err;

  inbox->core = core_find (kernel);
  inbox->watch.fd = ring_fd (inbox->core->from_traffic);
  inbox->watch.ready = on_ready;
  inbox->poll_timer.fire = on_poll_timer;
  err = loop_watch (inbox->core->loop, &inbox->watch, EPOLLIN);
  if (err < 0)
    return err;
  loop_timer_set (inbox->core->loop, &inbox->poll_timer,
                  loop_now (inbox->core->loop));
  return traffic_start (inbox->traffic);
}

static void
inbox_stop (struct service *service)
{
  struct inbox *inbox = (struct inbox *)service;

  traffic_stop (inbox->traffic);
  receive_messages (inbox);
  loop_timer_clear (inbox->core->loop, &inbox->poll_timer);
  loop_unwatch (inbox->core->loop, &inbox->watch);
}

static const struct service_ops inbox_ops
    = { inbox_start, inbox_stop, inbox_event };

struct service *
inbox_new (struct traffic *traffic)
{
  struct inbox *inbox = g_new0 (struct inbox, 1);

  inbox->service.ops = &inbox_ops;
  inbox->service.name = INBOX_NAME;
  inbox->traffic = traffic;
  return &inbox->service;
}

void
inbox_free (struct service *service)
{
  g_free (service);
}

struct inbox *
inbox_find (struct kernel *kernel)
{
  return (struct inbox *)kernel_find (kernel, INBOX_NAME);
}

#include "probe.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include "ts.h"

void
probe_cancel (struct probe *probe)
{
  if (probe->loop == NULL)
    return;
  loop_timer_clear (probe->loop, &probe->timer);
  if (probe->watch.fd >= 0)
    {
      loop_unwatch (probe->loop, &probe->watch);
      close (probe->watch.fd);
    }
  probe->loop = NULL;
}

static void
finish (struct probe *probe, bool refused)
{
  probe_cancel (probe);
  probe->done (probe, refused);
}

static void
on_timer (struct loop_timer *timer)
{
  struct probe *probe
      = (struct probe *)((char *)timer - offsetof (struct probe, timer));

  finish (probe, false);
}

/* Returns a descriptor that is being connected, or a negative errno.  */
static int
connect_to (const char *address, uint16_t port)
{
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int error;

  if (fd < 0)
    return -errno;
  if (inet_pton (AF_INET, address, &to.sin_addr) == 1
      && (connect (fd, (struct sockaddr *)&to, sizeof to) == 0
          || errno == EINPROGRESS))
    return fd;
  error = errno;
  close (fd);
  return -error;
}

static void try_connection (struct probe *probe);

static void
set_timer (struct probe *probe, int64_t ms)
{
  loop_timer_set (probe->loop, &probe->timer,
                  ts_add_ms (loop_now (probe->loop), ms));
}

static void
on_ready (struct loop_watch *watch, uint32_t events)
{
  struct probe *probe
      = (struct probe *)((char *)watch - offsetof (struct probe, watch));
  int error = 0;
  socklen_t length = sizeof error;

  getsockopt (watch->fd, SOL_SOCKET, SO_ERROR, &error, &length);
  if (error == ECONNREFUSED)
    finish (probe, true);
  else if (error == 0 && (events & (EPOLLIN | EPOLLHUP)) == 0)
    {
      loop_watch (probe->loop, watch, EPOLLIN);
      set_timer (probe, PROBE_SETTLE_MS);
    }
  else if (probe->connections == PROBE_CONNECTIONS_MAX)
    finish (probe, false);
  else
    {
      loop_unwatch (probe->loop, watch);
      close (watch->fd);
      try_connection (probe);
    }
}

/* An error of CONNECT itself is no evidence; the timer reports it.  */
static void
try_connection (struct probe *probe)
{
  probe->connections++;
  probe->watch.fd = connect_to (probe->address, probe->port);
  if (probe->watch.fd >= 0)
    loop_watch (probe->loop, &probe->watch, EPOLLOUT);
  set_timer (probe, probe->watch.fd >= 0 ? PROBE_TIMEOUT_MS : 0);
}

void
probe_start (struct probe *probe, struct loop *loop, const char *address,
             uint16_t port, void (*done) (struct probe *probe, bool refused))
{
  memset (probe, 0, sizeof *probe);
  probe->loop = loop;
  probe->done = done;
  probe->watch.ready = on_ready;
  probe->timer.fire = on_timer;
  snprintf (probe->address, sizeof probe->address, "%s", address);
  probe->port = port;
  try_connection (probe);
}

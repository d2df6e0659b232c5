#include "peerlink.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include "counter.h"

#define READ_BUFFER_BYTES 65536

static void
close_and_notify (struct peerlink *link, const char *why)
{
  if (link->closed)
    return;
  peerlink_close (link);
  link->end (link, why);
}

static void
close_malformed (struct peerlink *link, const char *why)
{
  link->malformed = true;
  close_and_notify (link, why);
}

static size_t
frame_limit (const struct peerlink *link)
{
  return link->authenticated ? FRAME_MAX_BYTES
                             : FRAME_MAX_UNAUTHENTICATED_BYTES;
}

static void
deliver_frame (struct peerlink *link, const char *bytes, size_t length)
{
  struct peer_msg msg;

  if (frame_decode (bytes, length, &msg) < 0)
    close_malformed (link, "malformed frame");
  else
    link->frame (link, &msg);
  peer_msg_clear (&msg);
}

/* Processes all complete frames in the input buffer.  */
static void
process_frames (struct peerlink *link)
{
  size_t used = 0;

  while (!link->closed && link->in->len - used >= FRAME_HEADER_BYTES)
    {
      const char *frame = (const char *)link->in->data + used;
      size_t length = frame_length (frame);

      if (length == 0 || length > frame_limit (link))
        {
          close_malformed (link, "frame length out of bounds");
          return;
        }
      if (link->in->len - used < FRAME_HEADER_BYTES + length)
        break;
      deliver_frame (link, frame + FRAME_HEADER_BYTES, length);
      used += FRAME_HEADER_BYTES + length;
    }
  if (used > 0)
    g_byte_array_remove_range (link->in, 0, (guint)used);
}

static void
read_bytes (struct peerlink *link)
{
  guint8 buffer[READ_BUFFER_BYTES];
  ssize_t n = recv (link->fd, buffer, sizeof buffer, 0);

  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0)
    {
      close_and_notify (link, n == 0 ? NULL : g_strerror (errno));
      return;
    }
  counter_add (COUNTER_PEER_BYTES_IN, n);
  link->received_at = loop_now (link->loop);
  g_byte_array_append (link->in, buffer, (guint)n);
  process_frames (link);
}

static void
update_events (struct peerlink *link)
{
  uint32_t events = EPOLLIN;

  if (link->connecting || link->out->len > 0)
    events |= EPOLLOUT;
  if (events != link->watch.events)
    loop_watch (link->loop, &link->watch, events);
}

static void
write_bytes (struct peerlink *link)
{
  ssize_t n;

  if (link->out->len == 0)
    return;
  n = send (link->fd, link->out->data, link->out->len, MSG_NOSIGNAL);
  if (n < 0 && errno != EAGAIN && errno != EINTR)
    {
      close_and_notify (link, g_strerror (errno));
      return;
    }
  if (n > 0)
    {
      counter_add (COUNTER_PEER_BYTES_OUT, n);
      g_byte_array_remove_range (link->out, 0, (guint)n);
    }
}

static bool
finish_connect (struct peerlink *link)
{
  int error = 0;
  socklen_t size = sizeof error;

  getsockopt (link->fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0)
    {
      close_and_notify (link, g_strerror (error));
      return false;
    }
  link->connecting = false;
  link->received_at = loop_now (link->loop);
  return true;
}

static void
link_ready (struct loop_watch *watch, uint32_t events)
{
  struct peerlink *link
      = (struct peerlink *)((char *)watch - offsetof (struct peerlink, watch));

  if (link->connecting && !finish_connect (link))
    return;
  if (events & EPOLLOUT)
    write_bytes (link);
  if (!link->closed && events & (EPOLLIN | EPOLLHUP | EPOLLERR))
    read_bytes (link);
  if (!link->closed)
    update_events (link);
}

struct peerlink *
peerlink_new (struct peer *peer, struct loop *loop, int fd, bool dialled)
{
  struct peerlink *link = g_new0 (struct peerlink, 1);

  link->peer = peer;
  link->loop = loop;
  link->fd = fd;
  link->dialled = dialled;
  link->connecting = dialled;
  link->in = g_byte_array_new ();
  link->out = g_byte_array_new ();
  link->created_at = loop_now (loop);
  link->received_at = link->created_at;
  link->watch.fd = fd;
  link->watch.ready = link_ready;
  update_events (link);
  return link;
}

void
peerlink_close (struct peerlink *link)
{
  if (link->closed)
    return;
  link->closed = true;
  loop_unwatch (link->loop, &link->watch);
  close (link->fd);
}

void
peerlink_free (struct peerlink *link)
{
  peerlink_close (link);
  g_byte_array_unref (link->in);
  g_byte_array_unref (link->out);
  g_free (link->address);
  g_free (link->node);
  g_free (link->nonce);
  g_free (link->peer_nonce);
  g_free (link);
}

static int
queue_bytes (struct peerlink *link, const void *bytes, size_t length)
{
  if (link->closed)
    return 0;
  if (link->out->len + length > PEERLINK_OUT_MAX_BYTES)
    return -ENOBUFS;
  g_byte_array_append (link->out, bytes, (guint)length);
  link->queued_at = loop_now (link->loop);
  update_events (link);
  return 0;
}

int
peerlink_send_frame (struct peerlink *link, GBytes *frame)
{
  size_t length;
  const void *bytes = g_bytes_get_data (frame, &length);

  return queue_bytes (link, bytes, length);
}

int
peerlink_send (struct peerlink *link, const struct peer_msg *msg)
{
  char *bytes;
  size_t length;
  int error;

  if (link->closed)
    return 0;
  error = frame_encode (msg, &bytes, &length);
  if (error < 0)
    return error;
  error = queue_bytes (link, bytes, length);
  g_free (bytes);
  return error;
}

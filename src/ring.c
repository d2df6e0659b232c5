#include "ring.h"

#include <errno.h>
#include <stdint.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <ck_ring.h>
#include <glib.h>
#include "hb.h"

struct ring
{
  ck_ring_t ring;
  ck_ring_buffer_t *buffer;
  void (*release) (void *message);
  int fd;
};

struct ring *
ring_new (const struct ring_options *options)
{
  int fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  struct ring *ring;

  if (fd < 0)
    return NULL;
  ring = g_aligned_alloc0 (1, sizeof *ring, CK_MD_CACHELINE);
  ring->buffer = g_new0 (ck_ring_buffer_t, options->slots);
  ring->release = options->release;
  ring->fd = fd;
  ck_ring_init (&ring->ring, options->slots);
  return ring;
}

void
ring_free (struct ring *ring)
{
  void *message;

  if (ring == NULL)
    return;
  while ((message = ring_receive (ring)) != NULL)
    if (ring->release != NULL)
      ring->release (message);
  close (ring->fd);
  g_free (ring->buffer);
  g_aligned_free (ring);
}

int
ring_send (struct ring *ring, void *message)
{
  uint64_t one = 1;

  HB_RELEASE (message);
  if (!ck_ring_enqueue_mpsc (&ring->ring, ring->buffer, message))
    return -EAGAIN;
  if (write (ring->fd, &one, sizeof one) < 0 && errno != EAGAIN)
    return 0; /* the receiver also polls on a timer */
  return 0;
}

void *
ring_receive (struct ring *ring)
{
  void *message = NULL;

  if (!ck_ring_dequeue_mpsc (&ring->ring, ring->buffer, &message))
    return NULL;
  HB_ACQUIRE (message);
  return message;
}

int
ring_fd (const struct ring *ring)
{
  return ring->fd;
}

void
ring_clear_event (struct ring *ring)
{
  uint64_t count;

  (void)!read (ring->fd, &count, sizeof count);
}

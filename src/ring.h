/* ring - bounded message queue between threads: many senders, one receiver.

   A ck_ring of pointers, with an eventfd that wakes the receiver.

   Ownership: a message belongs to the receiver once ring_send has returned 0.
   ring_free passes the remaining messages to the release function.  */

#ifndef PARSLEYRILL_RING_H
#define PARSLEYRILL_RING_H

#include <stddef.h>

struct ring;

struct ring_options
{
  unsigned slots;                  /* power of two, at least 4 */
  void (*release) (void *message); /* for messages never received */
};

/* Returns NULL and sets errno when the eventfd cannot be created.  */
struct ring *ring_new (const struct ring_options *options);
void ring_free (struct ring *ring);

/* Any thread.  Returns -EAGAIN when the ring is full; the message then still
   belongs to the caller.  */
int ring_send (struct ring *ring, void *message);

/* Receiver only.  NULL when the ring is empty.  */
void *ring_receive (struct ring *ring);

/* The eventfd, readable while there may be messages.  Call ring_clear_event
   before receiving them, so that no wake-up is lost.  */
int ring_fd (const struct ring *ring);
void ring_clear_event (struct ring *ring);

#endif

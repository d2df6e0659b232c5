/* ring - messages between threads: many senders, one receiver.

   A bounded ck_ring of pointers with an eventfd that wakes the receiver.
   Ownership of a message passes to the receiver when ring_send returns 0.
   ring_free drops what is left through the release function.  */

#ifndef PARSLEYRILL_RING_H
#define PARSLEYRILL_RING_H

#include <stddef.h>

struct ring;

struct ring_options
{
  unsigned slots;                  /* power of two, at least 4 */
  void (*release) (void *message); /* for messages never received */
};

/* NULL when the eventfd cannot be had; errno says why.  */
struct ring *ring_new (const struct ring_options *options);
void ring_free (struct ring *ring);

/* Any thread.  -EAGAIN when the ring is full: the message stays the
   caller's.  */
int ring_send (struct ring *ring, void *message);

/* Receiver only.  NULL when the ring is empty.  */
void *ring_receive (struct ring *ring);

/* Readable while there may be messages; ring_clear_event before draining.  */
int ring_fd (const struct ring *ring);
void ring_clear_event (struct ring *ring);

#endif

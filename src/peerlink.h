/* peerlink - one connection to another node: buffers and framing.

   Part of peer; control thread only.  */

#ifndef PARSLEYRILL_PEERLINK_H
#define PARSLEYRILL_PEERLINK_H

#include <stdbool.h>
#include <stddef.h>
#include <ck_queue.h>
#include <glib.h>
#include "frame.h"
#include "loop.h"

#define PEERLINK_OUT_MAX_BYTES (8u << 20) /* of unsent data */

struct peer;

struct peerlink
{
  CK_LIST_ENTRY (peerlink) link;
  struct peer *peer;
  struct loop *loop;
  struct loop_watch watch;
  int fd;
  bool dialled; /* connected by this node, not accepted */
  bool connecting;
  bool closed;        /* the owner frees it before the loop waits again */
  bool authenticated; /* the peer proved that it knows the token */
  char *address;      /* of the peer, if dialled */
  char *node;         /* id from the peer's hello */
  uint64_t incarnation;
  uint64_t protocol; /* highest version that the peer supports */
  char *nonce;       /* sent by this node */
  char *peer_nonce;  /* NULL until the peer's hello */
  GByteArray *in;
  GByteArray *out;
  struct timespec created_at;
  struct timespec received_at;   /* last data */
  struct timespec queued_at;     /* last frame queued */
  struct timespec interval;      /* of keepalives, as last sent to the peer */
  struct timespec peer_interval; /* the same of the peer; zero: unknown */
  /* Called with each message received.  */
  void (*frame) (struct peerlink *link, const struct peer_msg *msg);
  bool malformed; /* closed because of malformed data */
  /* Called when the link has closed; WHY is NULL if the peer closed it.  */
  void (*end) (struct peerlink *link, const char *why);
};

/* Takes ownership of FD.  */
struct peerlink *peerlink_new (struct peer *peer, struct loop *loop, int fd,
                               bool dialled);
void peerlink_free (struct peerlink *link);

/* Queues MSG.  0, -ENOBUFS or -EMSGSIZE; 0 also if the link is closed.  */
int peerlink_send (struct peerlink *link, const struct peer_msg *msg);

/* The same for an encoded message.  */
int peerlink_send_frame (struct peerlink *link, GBytes *frame);

/* Closes the socket; the link stays allocated.  */
void peerlink_close (struct peerlink *link);

#endif

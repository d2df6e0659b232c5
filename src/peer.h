/* peer - links to the other nodes.

   One TCP connection between two nodes carries messages both ways.  Both
   sides authenticate with an HMAC-SHA256 over both nonces under a shared
   token; no message is delivered before that.  A link without incoming data
   for some time is closed and dialled again with jitter; a malformed frame
   closes its link.  Idle links exchange keepalives, at an interval that grows
   with the number of links and that each keepalive names.

   Control thread only, on its loop.  */

#ifndef PARSLEYRILL_PEER_H
#define PARSLEYRILL_PEER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include "clk.h"
#include "frame.h"
#include "loop.h"

struct peer;

struct peer_options
{
  struct loop *loop;
  const struct clk *clk;
  const char *host; /* address to listen on */
  uint16_t port;    /* 0: chosen by the kernel */
  const char *token;
  const char *node;
  uint64_t incarnation;
  const char *region;
  const char *zone;
  unsigned unauthenticated_max; /* links; 0: 256 */
  struct timespec idle_timeout; /* least time without incoming data after
                                   which a link is closed; zero: 3 s */
  /* FROM and MSG are valid only during the call.  */
  void (*message) (void *user, const char *from, const struct peer_msg *msg);
  void (*up) (void *user, const char *node);   /* may be NULL */
  void (*down) (void *user, const char *node); /* may be NULL */
  void *user;
  GRand *rand; /* borrowed */
};

/* NULL and errno if it cannot listen on the address.  */
struct peer *peer_new (const struct peer_options *options);
void peer_free (struct peer *peer);

/* IP:port that PEER listens on; borrowed.  */
const char *peer_address (const struct peer *peer);

/* Keeps a link to ADDRESS, reconnecting when it breaks; no effect if ADDRESS
   is known already or is this node's.  -EINVAL if ADDRESS is not an IP:port.
 */
int peer_connect (struct peer *peer, const char *address);
/* The same for the address of NODE, whose id is known.  Of two nodes that know
   each other the one with the lower id dials first.  */
int peer_connect_node (struct peer *peer, const char *address,
                       const char *node);
/* Closes the link to ADDRESS and stops reconnecting.  */
void peer_disconnect (struct peer *peer, const char *address);

/* -ENOTCONN if there is no authenticated link to NODE, -ENOBUFS if its send
   buffer is full, -EMSGSIZE if MSG is too long.  */
int peer_send (struct peer *peer, const char *node,
               const struct peer_msg *msg);
/* Sends MSG to each of the COUNT NODES that there is a link to.  */
void peer_send_each (struct peer *peer, const char *const *nodes, size_t count,
                     const struct peer_msg *msg);
/* Sends MSG on all authenticated links; returns their number.  */
unsigned peer_broadcast (struct peer *peer, const struct peer_msg *msg);
bool peer_connected (const struct peer *peer, const char *node);
/* The highest version of the protocol that NODE supports; 0: no link to it. */
uint64_t peer_protocol (const struct peer *peer, const char *node);

#endif

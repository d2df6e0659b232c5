/* links - connects this node to the other nodes.

   A service of the control thread, "links": drives membership (member.h) and
   the connections to peers (peer.h).  It posts KERNEL_MEMBERS_CHANGED when a
   member changes, KERNEL_PEER_CONNECTED when a link is up and
   KERNEL_PEER_MESSAGE for each message other than those of membership.  If the
   service "fleet" runs too, it requests the peer addresses of the nodes in the
   instance list.  */

#ifndef PARSLEYRILL_LINKS_H
#define PARSLEYRILL_LINKS_H

#include <stdbool.h>
#include <stddef.h>
#include "frame.h"
#include "kernel.h"
#include "member.h"
#include "route.h"

#define LINKS_NAME "links"

struct links;

/* The data of KERNEL_PEER_MESSAGE; borrowed.  */
struct links_msg
{
  const char *from;
  const struct peer_msg *msg;
};

struct service *links_new (void);
void links_free (struct service *service);
struct links *links_find (struct kernel *kernel);

/* The nodes that callers may be directed to, sorted by id; free with
   route_nodes_free.  */
struct route_node *links_routable_nodes (struct links *links, size_t *count);

/* All known nodes including this one, sorted by id; borrowed until the next
   event.  */
const struct member_info *const *links_members (struct links *links,
                                                size_t *count);

/* Whether there are other members and none of them is dead.  */
bool links_all_alive (struct links *links);

/* The address that this node listens on for peers; borrowed.  */
const char *links_address (struct links *links);

/* Whether there is a link to NODE.  */
bool links_connected (const struct links *links, const char *node);

/* See peer_protocol.  */
uint64_t links_protocol (const struct links *links, const char *node);

/* -ENOTCONN if there is no link to NODE.  */
int links_send (struct links *links, const char *node,
                const struct peer_msg *msg);
/* Sends MSG to all nodes, in a large fleet through relays, see fanout.h.  A
   node that receives it with MSG->relay set passes it on with links_relay.  */
void links_fan_out (struct links *links, const struct peer_msg *msg);
/* The same with one relay in each zone, another one each time, for messages
   that may be lost.  */
void links_fan_out_lossy (struct links *links, const struct peer_msg *msg);
void links_relay (struct links *links, const char *from,
                  const struct peer_msg *msg);
/* Whether links_fan_out uses relays.  */
bool links_has_relays (struct links *links);

unsigned links_broadcast (struct links *links, const struct peer_msg *msg);

/* Keeps a link to the peer at ADDRESS, IP:port, for a peer that is not found
   through the instance list.  NODE is its id, NULL if unknown.  */
void links_connect (struct links *links, const char *address,
                    const char *node);

/* Exchanges member lists with NODE, to which a link is up.  Needed where there
   is no instance list, from which nodes otherwise learn of each other.  */
void links_add_member (struct links *links, const char *node);

/* Sets the configuration version that is gossiped for this node.  */
void links_set_doc_version (struct links *links, uint64_t version);

#endif

/* links - the other nodes: who is live, and what is said to them.

   A service of the control thread, "links": drives membership and the peer
   links, posts KERNEL_MEMBERS_CHANGED when the live nodes change and
   KERNEL_PEER_MESSAGE for every message that is not membership's own.  Where
   the service "fleet" runs too, nodes of its list are asked where they listen
   for peers.  */

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

/* What KERNEL_PEER_MESSAGE carries; borrowed.  */
struct links_msg
{
  const char *from;
  const struct peer_msg *msg;
};

struct service *links_new (void);
void links_free (struct service *service);
struct links *links_find (struct kernel *kernel);

/* The live nodes that callers may be sent to, sorted by id; the array and
   its strings pass to the caller.  */
struct route_node *links_routable_nodes (struct links *links, size_t *count);

/* All known nodes, this one included, sorted by id; borrowed until the next
   event.  */
const struct member_info *const *links_members (struct links *links,
                                                size_t *count);

/* There are others, and none that is known is held dead.  */
bool links_all_alive (struct links *links);

/* The address that peers connect to; borrowed.  */
const char *links_address (struct links *links);

/* -ENOTCONN when there is no link to NODE.  */
int links_send (struct links *links, const char *node,
                const struct peer_msg *msg);
unsigned links_broadcast (struct links *links, const struct peer_msg *msg);

/* Keeps a link to the peer at ADDRESS, IP:port, as found elsewhere than in
   the list of instances.  */
void links_connect (struct links *links, const char *address);

/* Makes this node and NODE, to which a link is up, members to each other
   where no list of instances does.  */
void links_add_member (struct links *links, const char *node);

/* Own facts, passed on with heartbeats.  */
void links_set_doc_version (struct links *links, uint64_t version);

#endif

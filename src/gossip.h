/* gossip - selects the members whose state is piggybacked on a message.

   Part of member; control thread only.  */

#ifndef PARSLEYRILL_GOSSIP_H
#define PARSLEYRILL_GOSSIP_H

#include "memberset.h"

/* Fills the gossip of ACTION: this node, the receiver's own state if it must
   refute it, the changes that were sent least often, and a few random
   members.  */
void gossip_fill (struct memberset *set, GRand *rand,
                  struct member_action *action);

#endif

/* membermsg - converts membership actions to messages between nodes and
   back.

   Pure functions, control thread.  */

#ifndef PARSLEYRILL_MEMBERMSG_H
#define PARSLEYRILL_MEMBERMSG_H

#include "frame.h"
#include "member.h"

/* Fills *MSG from a MEMBER_PROBE, MEMBER_PROBE_REQUEST or MEMBER_ACK.  It
   borrows the strings of ACTION and is freed with membermsg_clear.  */
void membermsg_from_action (const struct member_action *action,
                            struct peer_msg *msg);
void membermsg_clear (struct peer_msg *msg);

/* Delivers a PEER_PROBE, PEER_PROBE_REQUEST or PEER_PROBE_ACK to MEMBER;
   ignores other messages.  */
void membermsg_deliver (struct member *member, const char *from,
                        const struct peer_msg *msg, struct timespec now,
                        struct action_list *out);

#endif

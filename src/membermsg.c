#include "membermsg.h"

#include <string.h>

static const enum peer_msg_type message_types[]
    = { [MEMBER_PROBE] = PEER_PROBE,
        [MEMBER_PROBE_REQUEST] = PEER_PROBE_REQUEST,
        [MEMBER_ACK] = PEER_PROBE_ACK };

static struct peer_member
to_wire (const struct member_info *info)
{
  struct peer_member wire = { .id = info->id,
                              .address = info->address,
                              .advertised_address = info->advertised_address,
                              .zone = info->zone,
                              .region = info->region,
                              .incarnation = info->incarnation,
                              .state = info->state,
                              .doc_version = info->doc_version,
                              .load = info->load };

  return wire;
}

static struct member_info
from_wire (const struct peer_member *wire)
{
  struct member_info info = { .id = wire->id,
                              .address = wire->address,
                              .advertised_address = wire->advertised_address,
                              .zone = wire->zone,
                              .region = wire->region,
                              .incarnation = wire->incarnation,
                              .doc_version = wire->doc_version,
                              .load = wire->load };

  info.state = wire->state <= MEMBER_DEAD ? (enum member_state)wire->state
                                          : MEMBER_SUSPECT;
  return info;
}

void
membermsg_from_action (const struct member_action *action,
                       struct peer_msg *msg)
{
  memset (msg, 0, sizeof *msg);
  msg->type = message_types[action->action.type];
  msg->id = action->number;
  msg->subject = action->subject;
  msg->member_count = action->gossip_count;
  msg->members = g_new0 (struct peer_member, action->gossip_count);
  for (size_t i = 0; i < action->gossip_count; i++)
    msg->members[i] = to_wire (&action->gossip[i]);
}

void
membermsg_clear (struct peer_msg *msg)
{
  g_free (msg->members);
  memset (msg, 0, sizeof *msg);
}

void
membermsg_deliver (struct member *member, const char *from,
                   const struct peer_msg *msg, struct timespec now,
                   struct action_list *out)
{
  struct member_info gossip[MEMBER_GOSSIP_MAX];
  size_t count = MIN (msg->member_count, MEMBER_GOSSIP_MAX);

  for (size_t i = 0; i < count; i++)
    gossip[i] = from_wire (&msg->members[i]);
  if (msg->type == PEER_PROBE)
    member_receive_probe (member, from, msg->id, gossip, count, now, out);
  else if (msg->type == PEER_PROBE_REQUEST && msg->subject != NULL)
    member_receive_probe_request (member, from, msg->subject, msg->id, gossip,
                                  count, now, out);
  else if (msg->type == PEER_PROBE_ACK)
    member_receive_ack (member, from, msg->subject, msg->id, gossip, count,
                        now, out);
}

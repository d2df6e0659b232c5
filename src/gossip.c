#include "gossip.h"

#define RANDOM_MEMBERS 4 /* sent in each message though unchanged */

static void
add_member (struct memberset *set, struct member_action *action,
            struct member_node *node)
{
  if (action->gossip_count == MEMBER_GOSSIP_MAX
      || node->last_message == set->last_message_number)
    return;
  node->last_message = set->last_message_number;
  member_info_copy (&action->gossip[action->gossip_count++], &node->info);
}

/* The change that was sent least often and is not in this message yet.  */
static struct member_node *
least_sent_change (const struct memberset *set)
{
  struct member_node *best = NULL;

  for (guint i = 0; i < set->nodes->len; i++)
    {
      struct member_node *node = memberset_at (set, i);

      if (node->gossip_remaining > 0
          && node->last_message != set->last_message_number
          && (best == NULL || node->gossip_remaining > best->gossip_remaining))
        best = node;
    }
  return best;
}

static void
add_changes (struct memberset *set, struct member_action *action)
{
  struct member_node *node;

  while (action->gossip_count < MEMBER_GOSSIP_MAX
         && (node = least_sent_change (set)) != NULL)
    {
      node->gossip_remaining--;
      add_member (set, action, node);
    }
}

void
gossip_fill (struct memberset *set, GRand *rand, struct member_action *action)
{
  struct member_node *to = memberset_find (set, action->to);

  set->last_message_number++;
  add_member (set, action, set->self);
  if (to != NULL && to->info.state != MEMBER_LIVE && to->info.incarnation > 0)
    add_member (set, action, to);
  add_changes (set, action);
  for (unsigned i = 0; i < RANDOM_MEMBERS; i++)
    {
      struct member_node *node = memberset_random (set, rand);

      if (node->info.incarnation > 0)
        add_member (set, action, node);
    }
}

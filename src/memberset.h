/* memberset - the members known to a node, sorted by id.

   Part of member; control thread only.  */

#ifndef PARSLEYRILL_MEMBERSET_H
#define PARSLEYRILL_MEMBERSET_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include <glib.h>
#include "member.h"

struct member_node
{
  struct member_info info;
  unsigned gossip_remaining; /* messages that must still carry its change */
  bool listed;               /* in the platform's instance list */
  bool suspected;            /* until DEADLINE */
  struct timespec deadline;
  struct timespec dead_at;
  uint64_t last_message; /* number of the last message that contains it */
};

struct memberset
{
  struct member_node *self;
  GPtrArray *nodes;             /* struct member_node, including SELF */
  GPtrArray *infos;             /* struct member_info, parallel to NODES */
  uint64_t last_message_number; /* of the last message filled */
};

void memberset_init (struct memberset *set);
void memberset_clear (struct memberset *set);
struct member_node *memberset_at (const struct memberset *set, guint i);
struct member_node *memberset_random (const struct memberset *set,
                                      GRand *rand);

/* NULL if not found.  */
struct member_node *memberset_find (const struct memberset *set,
                                    const char *id);

/* Copies INFO, whose id must not be in SET.  */
struct member_node *memberset_add (struct memberset *set,
                                   const struct member_info *info);
void memberset_remove (struct memberset *set, guint i);

#endif

/* pick_state - state of a choice, shared by the modules pick and pick_pace.
   Private to them.  */

#ifndef PARSLEYRILL_PICK_STATE_H
#define PARSLEYRILL_PICK_STATE_H

#include "delay.h"
#include "hints.h"
#include "pick.h"

struct pick
{
  char *zone;
  GRand *rand;
  struct hints *hints;
};

struct score
{
  double load; /* per slot */
  double prefix_trust;
  double bonus;
  double delay_s; /* if the request is BY_DELAY */
  bool full;
  bool home;  /* of the prefix */
  bool quiet; /* preferred for short prompts */
  /* If some replica tells its pace.  */
  double pace;
  double cost;
  struct delay_estimate estimate;
};

/* pick.c */

/* The replica with the highest weight for KEY among the usable ones that are
   neither quiet nor a home, -1 if there is none.  */
ptrdiff_t pick_highest_weight (const struct pick_request *request,
                               uint64_t key, const bool *usable,
                               const struct score *scores);
struct delay_load pick_known_load (const struct route_replica *replica,
                                   struct timespec now);
/* Delay added to a replica for its place.  */
double pick_place_delay_s (const struct pick *pick,
                           const struct pick_request *request,
                           const struct route_replica *replica,
                           const struct score *score);

/* pick_pace.c */

/* Whether some usable replica tells its pace.  */
bool pick_tells_pace (const struct pick_request *request, const bool *usable);
/* Estimates delay and cost of a replica, if some replica tells its pace; that
   of others is taken for the usual one.  */
void pick_estimate_paced (const struct pick *pick,
                          const struct pick_request *request,
                          const struct route_replica *replica,
                          struct timespec now, struct score *score);
/* Marks further homes of the prefix, as long as the last one is busy.  */
void pick_mark_more_homes (struct pick *pick,
                           const struct pick_request *request,
                           struct timespec now, const bool *usable,
                           struct score *scores);
ptrdiff_t pick_choose_paced (struct pick *pick,
                             const struct pick_request *request,
                             const struct score *scores, const bool *usable);

#endif

#include <math.h>
#include <sys/param.h>
#include "pick_state.h"
#include "spread.h"

/* Trust in a prefix at a further home, which has it only if the others were
   busy before.  */
#define FURTHER_HOME_TRUST 0.4
/* With costs of 3 for lateness and pauses, and of 4 for evictions, more
   requests are late at a high load than without paces.

   Costs, in seconds of delay, of each second of lateness, of pauses beyond the
   gap and after the deadline, which make the response worth less; of each
   second that its prompt takes from other requests; and of each second of its
   duration, so that slow servers do not run as many as quick ones.  */
#define LATE_COST 1.0
#define PAUSE_COST 0.3
#define OVERRUN_COST 1.0
#define OTHERS_COST 0.5
#define DURATION_COST 0.05
/* And for each second that its cached part takes to be read again: that part
   then evicts one of other requests, which is read again elsewhere.  Small
   costs let prefixes evict each other until all servers read more than they
   can.  */
#define EVICTION_COST 12.0
/* News of a server's load are up to 0.4 s old.  What other nodes may have sent
   there meanwhile takes about this long; and that share of long delays.  */
#define MARGIN_S 0.25
#define MARGIN_SHARE 0.25

void
pick_estimate_paced (const struct pick *pick,
                     const struct pick_request *request,
                     const struct route_replica *replica, struct timespec now,
                     struct score *score)
{
  struct delay_server server
      = { .load = pick_known_load (replica, now),
          .pace = replica->pace > 0 ? replica->pace : 1,
          .moment = replica->pace_moment,
          .event_pace = replica->pace_events > 0 ? replica->pace_events : 1 };
  struct delay_need need
      = { .read_s = request->read_s,
          .saved_s = MIN (request->prefix_s, request->read_s),
          .trust = score->prefix_trust,
          .objective_s = request->objective_s,
          .gap_s = request->gap_s,
          .events = request->events,
          .event_tokens = request->event_tokens,
          .left_s = request->left_s };
  struct delay_estimate *estimate = &score->estimate;

  /* A server may tell less than this node alone has sent there.  */
  if (replica->inflight_at_report > replica->running + replica->queued)
    server.load.queued = replica->inflight_at_report - replica->running;
  delay_estimate (&server, &need, estimate);
  score->pace = server.pace;
  score->delay_s = estimate->first_s;
  score->cost
      = estimate->first_s + LATE_COST * estimate->late_s
        + PAUSE_COST * estimate->pause_s + OVERRUN_COST * estimate->overrun_s
        + DURATION_COST * request->events * estimate->event_s
        + OTHERS_COST * MAX (estimate->first_s - estimate->backlog_s, 0)
        + EVICTION_COST * (1 - need.trust) * need.saved_s
        + pick_place_delay_s (pick, request, replica, score);
}

bool
pick_tells_pace (const struct pick_request *request, const bool *usable)
{
  for (size_t i = 0; request->by_delay && i < request->count; i++)
    if (usable[i] && request->replicas[i].pace > 0)
      return true;
  return false;
}

/* Whether requests wait at a home of the prefix for longer than its cache
   saves.  */
static bool
is_home_busy (const struct pick_request *request, const struct score *home)
{
  return home->estimate.backlog_s > home->pace * request->prefix_s;
}

void
pick_mark_more_homes (struct pick *pick, const struct pick_request *request,
                      struct timespec now, const bool *usable,
                      struct score *scores)
{
  ptrdiff_t home = -1;

  for (size_t i = 0; request->prefix != 0 && i < request->count; i++)
    if (scores[i].home)
      home = (ptrdiff_t)i;
  while (home >= 0 && is_home_busy (request, &scores[home]))
    {
      home = pick_highest_weight (request, request->prefix, usable, scores);
      if (home < 0)
        return;
      scores[home].home = true;
      scores[home].prefix_trust
          = MAX (scores[home].prefix_trust, FURTHER_HOME_TRUST);
      pick_estimate_paced (pick, request, &request->replicas[home], now,
                           &scores[home]);
    }
}

/* Whether some usable replica has a free slot.  */
static bool
any_free (const struct pick_request *request, const struct score *scores,
          const bool *usable)
{
  for (size_t i = 0; i < request->count; i++)
    if (usable[i] && !scores[i].full)
      return true;
  return false;
}

ptrdiff_t
pick_choose_paced (struct pick *pick, const struct pick_request *request,
                   const struct score *scores, const bool *usable)
{
  struct spread_option *options
      = g_new (struct spread_option, MAX (request->count, 1));
  bool some_free = any_free (request, scores, usable);
  double least_s = INFINITY;
  ptrdiff_t chosen;

  for (size_t i = 0; i < request->count; i++)
    {
      bool excluded = !usable[i] || (some_free && scores[i].full);

      options[i].cost = excluded ? INFINITY : scores[i].cost;
      options[i].capacity
          = excluded ? 0
                     : MAX (request->replicas[i].slots, 1) / scores[i].pace;
      least_s = MIN (least_s, options[i].cost);
    }
  chosen = spread_choose (options, request->count,
                          MAX (MARGIN_S, MARGIN_SHARE * least_s),
                          g_rand_double (pick->rand));
  g_free (options);
  return chosen;
}

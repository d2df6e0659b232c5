#include "pick_state.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>
#include "suspect_pair.h"
#include "ts.h"

/* Maximum load, in requests per slot, of a server that is sent requests.
   Plain services queue a few requests.  Engines get more, because an engine
   orders its queue by urgency over the requests of all nodes, which the queue
   of a single node cannot.  */
#define MAX_LOAD_PLAIN 1.5
#define MAX_LOAD_MODELS 3.0
/* Bonuses, in load per slot.  Their sum stays below 1, so that they never
   outweigh a full replica.  */
#define BONUS_PREFIX 0.5
#define BONUS_ADAPTER 0.4
#define BONUS_ZONE 0.05

#define LOAD_EPSILON 1e-9 /* loads that differ by less are equal */
/* Trust in a prefix at its home replica.  */
#define HOME_TRUST 0.8
/* Delay added to a replica in another zone, so that it is chosen only if the
   others are busier.  */
#define OTHER_ZONE_S 0.002
/* One in this many replicas of a target is quiet.  */
#define REPLICAS_PER_QUIET 4
/* Delay added to a quiet replica for a long prompt, and to any other for a
   short one.  */
#define MIXED_S 0.03

struct pick *
pick_new (const struct pick_options *options)
{
  struct pick *pick = g_new0 (struct pick, 1);

  pick->zone = g_strdup (options->zone);
  pick->rand = g_rand_new_with_seed (options->seed);
  pick->hints = hints_new ();
  return pick;
}

void
pick_free (struct pick *pick)
{
  if (pick == NULL)
    return;
  g_free (pick->zone);
  g_rand_free (pick->rand);
  hints_free (pick->hints);
  g_free (pick);
}

unsigned
pick_load (const struct route_replica *replica)
{
  unsigned own
      = __atomic_load_n (&replica->engine->inflight, __ATOMIC_RELAXED);
  unsigned reported = replica->running + replica->queued;
  unsigned others = reported > replica->inflight_at_report
                        ? reported - replica->inflight_at_report
                        : 0;

  return own + others;
}

unsigned
pick_free_slots (const struct route_replica *replicas, size_t count)
{
  unsigned sum = 0;

  for (size_t i = 0; i < count; i++)
    {
      unsigned load = pick_load (&replicas[i]);

      if (!replicas[i].leaving && load < replicas[i].slots)
        sum += replicas[i].slots - load;
    }
  return sum;
}

unsigned
pick_slots (const struct route_replica *replicas, size_t count)
{
  unsigned sum = 0;

  for (size_t i = 0; i < count; i++)
    if (!replicas[i].leaving)
      sum += replicas[i].slots;
  return sum;
}

uint64_t
pick_prefix (const char *target, const void *body, size_t length)
{
  uint64_t seed = XXH3_64bits (target, strlen (target));
  uint64_t hash;

  if (length == 0)
    return 0;
  hash = XXH3_64bits_withSeed (body, MIN (length, PICK_PREFIX_BYTES), seed);
  return hash != 0 ? hash : 1;
}

void
pick_hint (struct pick *pick, const char *engine, uint64_t prefix,
           bool present, struct timespec at)
{
  const struct hint_source source = { .id = engine };

  hints_put (pick->hints, &source, prefix, present, at);
}

void
pick_cached (struct pick *pick, const struct route_engine *engine,
             uint64_t prefix, struct timespec at)
{
  const struct hint_source source = { .id = engine->id, .born = engine->born };

  hints_put (pick->hints, &source, prefix, true, at);
}

void
pick_gap (struct pick *pick, const char *engine, struct timespec at)
{
  hints_gap (pick->hints, engine, at);
}

void
pick_sent (struct pick *pick, const char *engine, uint64_t tokens,
           uint64_t cached, struct timespec now)
{
  hints_sent (pick->hints, engine, tokens - MIN (cached, tokens), now);
}

static bool
was_tried (const struct pick_request *request, const char *engine)
{
  for (size_t i = 0; i < request->tried_count; i++)
    if (strcmp (request->tried[i], engine) == 0)
      return true;
  return false;
}

static void
mark_designated (const struct pick_request *request, bool *designated)
{
  size_t pair[SUSPECT_PAIR_MAX];
  unsigned n;

  for (size_t i = 0; i < request->count; i++)
    designated[i] = request->fingerprint == 0;
  if (request->fingerprint == 0)
    return;
  n = suspect_pair (request->fingerprint, request->lost, request->replicas,
                    request->count, pair);
  for (unsigned i = 0; i < n; i++)
    designated[pair[i]] = true;
}

/* Marks the usable replicas, ejection not considered, and counts the others by
   cause.  */
static unsigned
mark_usable (const struct pick_request *request, bool *usable,
             struct pick_explanation *why)
{
  unsigned n = 0;

  mark_designated (request, usable);
  for (size_t i = 0; i < request->count; i++)
    {
      const struct route_replica *replica = &request->replicas[i];
      bool tried = was_tried (request, replica->engine->id);

      why->leaving += replica->leaving;
      why->tried += !replica->leaving && tried;
      why->undesignated += !replica->leaving && !tried && !usable[i];
      usable[i] = usable[i] && !replica->leaving && !tried;
      n += usable[i];
    }
  return n;
}

/* Removes ejected replicas from the usable ones, unless none would remain.  */
static unsigned
exclude_ejected (const struct pick_request *request, struct timespec now,
                 bool *usable, unsigned n, struct pick_explanation *why)
{
  bool *ejected = g_new0 (bool, request->count);
  unsigned excluded = 0;

  if (request->eject != NULL)
    eject_mark (request->eject, request->replicas, request->count, now,
                ejected);
  for (size_t i = 0; i < request->count; i++)
    excluded += usable[i] && ejected[i];
  if (excluded < n)
    {
      for (size_t i = 0; i < request->count; i++)
        usable[i] = usable[i] && !ejected[i];
      why->ejected = excluded;
      n -= excluded;
    }
  g_free (ejected);
  return n;
}

ptrdiff_t
pick_highest_weight (const struct pick_request *request, uint64_t key,
                     const bool *usable, const struct score *scores)
{
  ptrdiff_t highest = -1;
  uint64_t highest_weight = 0;

  for (size_t i = 0; i < request->count; i++)
    {
      uint64_t weight = hints_key (request->replicas[i].engine->id, key);

      if (!usable[i] || scores[i].quiet || scores[i].home
          || (highest >= 0 && weight <= highest_weight))
        continue;
      highest = (ptrdiff_t)i;
      highest_weight = weight;
    }
  return highest;
}

/* Marks the quiet replicas and the home of the prefix.  */
static void
mark_roles (const struct pick_request *request, const bool *usable,
            unsigned usable_count, struct score *scores)
{
  unsigned quiet = usable_count / REPLICAS_PER_QUIET;
  ptrdiff_t at;

  for (unsigned i = 0; request->target != 0 && i < quiet; i++)
    if ((at = pick_highest_weight (request, request->target, usable, scores))
        >= 0)
      scores[at].quiet = true;
  if (request->prefix != 0
      && (at = pick_highest_weight (request, request->prefix, usable, scores))
             >= 0)
    scores[at].home = true;
}

struct delay_load
pick_known_load (const struct route_replica *replica, struct timespec now)
{
  unsigned own
      = __atomic_load_n (&replica->engine->inflight, __ATOMIC_RELAXED);

  return (struct delay_load){
    .running = replica->running,
    .queued = replica->queued,
    .sent = own > replica->inflight_at_report
                ? own - replica->inflight_at_report
                : 0,
    .age_s = ts_to_s (ts_sub (now, replica->reported_at)),
  };
}

double
pick_place_delay_s (const struct pick *pick,
                    const struct pick_request *request,
                    const struct route_replica *replica,
                    const struct score *score)
{
  double delay_s = 0;

  if (g_strcmp0 (pick->zone, replica->engine->zone) != 0)
    delay_s += OTHER_ZONE_S;
  if (request->target != 0 && score->quiet != request->short_prompt)
    delay_s += MIXED_S;
  return delay_s;
}

static double
estimate_delay_s (const struct pick *pick, const struct pick_request *request,
                  const struct route_replica *replica, struct timespec now,
                  const struct score *score)
{
  struct delay_load load = pick_known_load (replica, now);

  return delay_backlog_s (&load)
         + (1 - score->prefix_trust) * request->prefix_s
         + pick_place_delay_s (pick, request, replica, score);
}

static void
score_replica (struct pick *pick, const struct pick_request *request,
               const struct route_replica *replica, struct timespec now,
               bool paced, struct score *score)
{
  const struct hint_source source
      = { .id = replica->engine->id, .born = replica->engine->born };
  unsigned load = pick_load (replica);

  score->load = (double)load / MAX (replica->slots, 1);
  score->full = load >= replica->slots;
  score->prefix_trust = hints_trust (pick->hints, &source, request->prefix,
                                     paced ? MAX (request->nodes, 1) : 0, now);
  if (score->home)
    score->prefix_trust = MAX (score->prefix_trust, HOME_TRUST);
  if (paced)
    pick_estimate_paced (pick, request, replica, now, score);
  else if (request->by_delay)
    score->delay_s = estimate_delay_s (pick, request, replica, now, score);
  score->bonus = 0;
  if (score->full || request->suspect)
    return;
  score->bonus += BONUS_PREFIX * score->prefix_trust;
  if (request->adapter && replica->adapter_loaded)
    score->bonus += BONUS_ADAPTER;
  if (g_strcmp0 (pick->zone, replica->engine->zone) == 0)
    score->bonus += BONUS_ZONE;
}

/* Negative when A is better.  */
static int
compare_scores (const struct score *a, const struct score *b, bool by_delay)
{
  double x = by_delay ? a->delay_s : a->load - a->bonus;
  double y = by_delay ? b->delay_s : b->load - b->bonus;

  if (a->full != b->full)
    return a->full ? 1 : -1;
  if (fabs (x - y) < LOAD_EPSILON)
    return 0;
  return x < y ? -1 : 1;
}

static ptrdiff_t
choose_best (struct pick *pick, const struct pick_request *request,
             const struct score *scores, const bool *usable)
{
  ptrdiff_t best = -1;
  int ties = 0;

  for (size_t i = 0; i < request->count; i++)
    {
      int order;

      if (!usable[i])
        continue;
      order = best < 0 ? -1
                       : compare_scores (&scores[i], &scores[best],
                                         request->by_delay);
      ties = order < 0 ? 1 : ties + (order == 0);
      if (order < 0
          || (order == 0 && g_rand_int_range (pick->rand, 0, ties) == 0))
        best = (ptrdiff_t)i;
    }
  return best;
}

static enum pick_reason
choose_reason (const struct pick_explanation *why, const struct score *chosen,
               unsigned least_loaded)
{
  bool unique_least
      = chosen->load <= why->least + LOAD_EPSILON && least_loaded == 1;

  if (why->usable == 1)
    return PICK_ONLY;
  if (chosen->bonus <= 0 || unique_least)
    return PICK_LOAD;
  if (BONUS_PREFIX * chosen->prefix_trust > BONUS_ADAPTER)
    return PICK_PREFIX;
  if (why->adapter_loaded)
    return PICK_ADAPTER;
  return chosen->prefix_trust > 0 ? PICK_PREFIX : PICK_ZONE;
}

/* What estimates at PACE, corrected by what was observed, are multiplied by
   for the pace that was told.  */
static double
told_share (const struct route_replica *replica, double pace)
{
  return replica->pace_told > 0 && pace > 0 ? replica->pace_told / pace : 1;
}

static void
explain (struct pick *pick, const struct pick_request *request,
         const struct score *scores, const bool *usable, ptrdiff_t index,
         struct pick_explanation *why)
{
  const struct route_replica *replica = &request->replicas[index];
  unsigned least_loaded = 0;

  why->least = scores[index].load;
  for (size_t i = 0; i < request->count; i++)
    if (usable[i])
      why->least = MIN (why->least, scores[i].load);
  for (size_t i = 0; i < request->count; i++)
    least_loaded += usable[i] && scores[i].load <= why->least + LOAD_EPSILON;
  why->load = scores[index].load;
  why->delay_s = scores[index].delay_s;
  why->prefix_trust = scores[index].prefix_trust;
  why->same_zone = g_strcmp0 (pick->zone, replica->engine->zone) == 0;
  why->adapter_loaded = request->adapter && replica->adapter_loaded;
  why->free_slot = !scores[index].full;
  if (why->paced)
    {
      why->pace = scores[index].pace;
      why->told_s = why->delay_s * told_share (replica, replica->pace);
      why->event_s = scores[index].estimate.event_s;
      why->stream_s = request->events * why->event_s;
      why->event_told_s
          = why->event_s * told_share (replica, replica->pace_events);
      why->wait_s = scores[index].estimate.backlog_s;
      why->late_s = scores[index].estimate.late_s;
    }
  why->reason = choose_reason (why, &scores[index], least_loaded);
}

ptrdiff_t
pick_replica (struct pick *pick, const struct pick_request *request,
              struct timespec now, struct pick_explanation *why)
{
  bool *usable = g_new0 (bool, request->count);
  struct score *scores = g_new0 (struct score, request->count);
  ptrdiff_t chosen;

  memset (why, 0, sizeof *why);
  why->reason = PICK_NONE;
  why->usable = mark_usable (request, usable, why);
  why->usable = exclude_ejected (request, now, usable, why->usable, why);
  why->paced = pick_tells_pace (request, usable);
  if (request->by_delay)
    mark_roles (request, usable, why->usable, scores);
  for (size_t i = 0; i < request->count; i++)
    if (usable[i])
      score_replica (pick, request, &request->replicas[i], now, why->paced,
                     &scores[i]);
  if (why->paced)
    {
      pick_mark_more_homes (pick, request, now, usable, scores);
      chosen = pick_choose_paced (pick, request, scores, usable);
    }
  else
    chosen = choose_best (pick, request, scores, usable);
  if (chosen >= 0)
    explain (pick, request, scores, usable, chosen, why);
  g_free (usable);
  g_free (scores);
  return chosen;
}

bool
pick_may_send (const struct pick_explanation *why, bool models)
{
  return why->free_slot
         || why->load <= (models ? MAX_LOAD_MODELS : MAX_LOAD_PLAIN);
}

const char *
pick_reason_name (enum pick_reason reason)
{
  static const char *const names[]
      = { "only", "load", "prefix", "adapter", "zone", "none" };

  return names[reason];
}

void
pick_log (const struct pick_explanation *why, struct log_line *line)
{
  log_str (line, "reason", pick_reason_name (why->reason));
  log_double (line, "load", why->load);
  log_double (line, "least", why->least);
  log_double (line, "prefix_trust", why->prefix_trust);
  log_str (line, "same_zone", why->same_zone ? "true" : "false");
  log_str (line, "adapter_loaded", why->adapter_loaded ? "true" : "false");
  log_int (line, "usable", why->usable);
  log_int (line, "leaving", why->leaving);
  log_int (line, "ejected", why->ejected);
  log_int (line, "tried", why->tried);
  log_int (line, "undesignated", why->undesignated);
}

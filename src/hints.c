#include "hints.h"

#include <math.h>
#include <string.h>
#include <glib.h>
#include <xxhash.h>
#include "ts.h"

#define SETS 1024 /* power of two; a set-associative cache */
#define WAYS 4
#define HALF_LIFE_S 60.0 /* of the trust in a hint */
#define TRUST_MIN 0.01   /* hints with less trust are ignored */
#define GAP_TRUST 0.5    /* factor for hints from before a gap */
/* Counts of servers are kept for longer than hints are trusted.  */
#define SENT_SERVERS_MAX 4096
#define SENT_TTL_MS 600000

struct hint
{
  uint64_t key; /* hash of server and prefix; 0: free */
  struct timespec at;
  int64_t born;
  uint64_t sent; /* tokens to the server by then */
  bool present;
};

struct sent
{
  uint64_t tokens;
  struct timespec at;
};

struct hints
{
  GHashTable *gaps; /* server id -> struct timespec of the last gap */
  GHashTable *sent; /* server id -> struct sent */
  struct hint sets[SETS][WAYS];
};

struct hints *
hints_new (void)
{
  struct hints *hints = g_new0 (struct hints, 1);

  hints->gaps
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  hints->sent
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return hints;
}

void
hints_free (struct hints *hints)
{
  if (hints == NULL)
    return;
  g_hash_table_destroy (hints->gaps);
  g_hash_table_destroy (hints->sent);
  g_free (hints);
}

uint64_t
hints_key (const char *id, uint64_t prefix)
{
  uint64_t key = XXH3_64bits_withSeed (id, strlen (id), prefix);

  return key != 0 ? key : 1;
}

/* The entry of KEY in its set, or the oldest entry there, to be replaced.  */
static struct hint *
find_entry (struct hints *hints, uint64_t key)
{
  struct hint *set = hints->sets[key % SETS];
  struct hint *oldest = &set[0];

  for (unsigned i = 0; i < WAYS; i++)
    {
      if (set[i].key == key)
        return &set[i];
      if (ts_before (set[i].at, oldest->at))
        oldest = &set[i];
    }
  return oldest;
}

static uint64_t
sent_tokens (const struct hints *hints, const char *id)
{
  const struct sent *sent = g_hash_table_lookup (hints->sent, id);

  return sent != NULL ? sent->tokens : 0;
}

void
hints_put (struct hints *hints, const struct hint_source *source,
           uint64_t prefix, bool present, struct timespec at)
{
  uint64_t key = hints_key (source->id, prefix);
  struct hint *hint = find_entry (hints, key);

  if (ts_before (at, hint->at))
    return;
  hint->key = key;
  hint->at = at;
  hint->born = source->born;
  hint->sent = sent_tokens (hints, source->id);
  hint->present = present;
}

void
hints_gap (struct hints *hints, const char *id, struct timespec at)
{
  struct timespec *gap = g_new (struct timespec, 1);

  *gap = at;
  g_hash_table_replace (hints->gaps, g_strdup (id), gap);
}

static void
expire_sent (struct hints *hints, struct timespec now)
{
  const struct sent *sent;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, hints->sent);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&sent))
    if (ts_before (ts_add_ms (sent->at, SENT_TTL_MS), now))
      g_hash_table_iter_remove (&iter);
}

void
hints_sent (struct hints *hints, const char *id, uint64_t tokens,
            struct timespec now)
{
  struct sent *sent = g_hash_table_lookup (hints->sent, id);

  if (sent == NULL)
    {
      if (g_hash_table_size (hints->sent) >= SENT_SERVERS_MAX)
        expire_sent (hints, now);
      sent = g_new0 (struct sent, 1);
      g_hash_table_insert (hints->sent, g_strdup (id), sent);
    }
  sent->tokens += tokens;
  sent->at = now;
}

/* The probability that what NODES nodes sent since HINT has not evicted its
   prefix.  */
static double
not_evicted (const struct hints *hints, const struct hint *hint,
             const char *id, size_t nodes)
{
  uint64_t sent = sent_tokens (hints, id);
  double since = sent > hint->sent ? (double)(sent - hint->sent) : 0;

  return exp (-since * (double)nodes / HINTS_CACHE_TOKENS);
}

double
hints_trust (struct hints *hints, const struct hint_source *source,
             uint64_t prefix, size_t nodes, struct timespec now)
{
  uint64_t key = hints_key (source->id, prefix);
  const struct hint *hint = find_entry (hints, key);
  const struct timespec *gap = g_hash_table_lookup (hints->gaps, source->id);
  double age_s;
  double trust;

  if (prefix == 0 || hint->key != key || !hint->present)
    return 0;
  if (nodes > 0 && hint->born != 0 && source->born != 0
      && hint->born != source->born)
    return 0;
  age_s = MAX (ts_to_s (ts_sub (now, hint->at)), 0);
  trust = exp2 (-age_s / HALF_LIFE_S);
  if (gap != NULL && !ts_before (*gap, hint->at))
    trust *= GAP_TRUST;
  if (nodes > 0)
    trust *= not_evicted (hints, hint, source->id, nodes);
  return trust < TRUST_MIN ? 0 : trust;
}

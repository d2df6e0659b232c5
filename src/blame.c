#include "blame.h"

#include <string.h>
#include <glib.h>
#include "ts.h"

struct crash
{
  uint64_t engine;
  struct timespec at;
  GPtrArray *requests; /* GArray of uint64_t: features */
};

struct blame
{
  GPtrArray *crashes;   /* struct crash, by time */
  GHashTable *answered; /* feature -> struct answer */
};

/* The latest answer to a request with some feature.  */
struct answer
{
  struct timespec at;
  struct timespec told_at;    /* the latest one that all nodes know */
  struct timespec checked_at; /* by blame_tell_absolved */
};

/* What speaks against one feature.  */
struct tally
{
  uint64_t feature;
  unsigned crashes;
  unsigned moments;
  const struct crash *last; /* counted */
  struct timespec moment;   /* begin of the last one */
  uint64_t fingerprint;     /* of the first request */
  bool several_requests;
  bool is_part;
  size_t depth; /* position in its request */
};

static void
crash_free (gpointer pointer)
{
  struct crash *crash = pointer;

  g_ptr_array_unref (crash->requests);
  g_free (crash);
}

struct blame *
blame_new (void)
{
  struct blame *blame = g_new0 (struct blame, 1);

  blame->crashes = g_ptr_array_new_with_free_func (crash_free);
  blame->answered
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return blame;
}

void
blame_free (struct blame *blame)
{
  if (blame == NULL)
    return;
  g_ptr_array_unref (blame->crashes);
  g_hash_table_unref (blame->answered);
  g_free (blame);
}

static struct crash *
crash_at (const struct blame *blame, guint i)
{
  return g_ptr_array_index (blame->crashes, i);
}

static const GArray *
request_at (const struct crash *crash, guint i)
{
  return g_ptr_array_index (crash->requests, i);
}

static uint64_t
feature_at (const GArray *request, guint i)
{
  return g_array_index (request, uint64_t, i);
}

static bool
has_feature (const GArray *request, uint64_t feature)
{
  for (guint i = 0; i < request->len; i++)
    if (feature_at (request, i) == feature)
      return true;
  return false;
}

static bool
crash_has_feature (const struct crash *crash, uint64_t feature)
{
  for (guint i = 0; i < crash->requests->len; i++)
    if (has_feature (request_at (crash, i), feature))
      return true;
  return false;
}

static bool
has_request (const struct crash *crash, uint64_t fingerprint)
{
  for (guint i = 0; i < crash->requests->len; i++)
    if (feature_at (request_at (crash, i), 0) == fingerprint)
      return true;
  return false;
}

/* Recording.  */

static struct crash *
find_crash (const struct blame *blame, uint64_t engine, struct timespec at)
{
  for (guint i = blame->crashes->len; i > 0; i--)
    {
      struct crash *crash = crash_at (blame, i - 1);
      int64_t apart_ms = ts_to_ms (ts_sub (at, crash->at));

      if (crash->engine == engine && ABS (apart_ms) < BLAME_SAME_CRASH_MS)
        return crash;
    }
  return NULL;
}

static struct crash *
add_crash (struct blame *blame, uint64_t engine, struct timespec at)
{
  struct crash *crash = g_new0 (struct crash, 1);
  guint i = blame->crashes->len;

  crash->engine = engine;
  crash->at = at;
  crash->requests
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_array_unref);
  while (i > 0 && ts_before (at, crash_at (blame, i - 1)->at))
    i--;
  g_ptr_array_insert (blame->crashes, (gint)i, crash);
  return crash;
}

bool
blame_crash (struct blame *blame, uint64_t engine,
             const struct blame_request *request, struct timespec at)
{
  struct crash *crash = find_crash (blame, engine, at);
  GArray *features;

  if (request->count == 0)
    return false;
  if (crash == NULL)
    crash = add_crash (blame, engine, at);
  if (has_request (crash, request->features[0])
      || crash->requests->len == BLAME_REQUESTS_MAX)
    return false;
  features = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_array_append_vals (features, request->features,
                       (guint)MIN (request->count, BLAME_FEATURES_MAX));
  g_ptr_array_add (crash->requests, features);
  if (blame->crashes->len > BLAME_CRASHES_MAX)
    g_ptr_array_remove_index (blame->crashes, 0);
  return true;
}

/* A server that has crashed is not back within BLAME_CONFIRM_MS; later it may
   have started again under its former id.  */
bool
blame_alive (struct blame *blame, uint64_t engine, struct timespec sent_at,
             struct timespec now)
{
  bool found = false;

  for (guint i = blame->crashes->len; i > 0; i--)
    {
      const struct crash *crash = crash_at (blame, i - 1);

      if (crash->engine != engine || !ts_before (crash->at, sent_at)
          || ts_before (ts_add_ms (crash->at, BLAME_CONFIRM_MS), now))
        continue;
      g_ptr_array_remove_index (blame->crashes, i - 1);
      found = true;
    }
  return found;
}

struct timespec
blame_answered_at (const struct blame *blame, uint64_t feature)
{
  const struct answer *answer
      = g_hash_table_lookup (blame->answered, &feature);

  return answer != NULL ? answer->at : (struct timespec){ 0 };
}

void
blame_answered (struct blame *blame, uint64_t feature, struct timespec at,
                bool told)
{
  struct answer *answer = g_hash_table_lookup (blame->answered, &feature);

  if (answer == NULL)
    {
      if (g_hash_table_size (blame->answered) >= BLAME_ANSWERED_MAX)
        g_hash_table_remove_all (blame->answered);
      answer = g_new0 (struct answer, 1);
      g_hash_table_insert (blame->answered,
                           g_memdup2 (&feature, sizeof feature), answer);
    }
  answer->at = ts_max (answer->at, at);
  if (told)
    answer->told_at = ts_max (answer->told_at, at);
}

bool
blame_suspects (const struct blame *blame, uint64_t feature)
{
  for (guint i = 0; i < blame->crashes->len; i++)
    if (crash_has_feature (crash_at (blame, i), feature))
      return true;
  return false;
}

/* Whether some crash with FEATURE lies after AFTER and not after the answer.
 */
static bool
crashed_between (const struct blame *blame, uint64_t feature,
                 struct timespec after, const struct answer *answer)
{
  for (guint i = blame->crashes->len; i > 0; i--)
    {
      const struct crash *crash = crash_at (blame, i - 1);

      if (!ts_before (after, crash->at))
        return false;
      if (!ts_before (answer->at, crash->at)
          && crash_has_feature (crash, feature))
        return true;
    }
  return false;
}

bool
blame_tell_absolved (struct blame *blame, uint64_t feature)
{
  struct answer *answer = g_hash_table_lookup (blame->answered, &feature);
  bool tell;

  if (answer == NULL)
    return false;
  tell = crashed_between (
      blame, feature, ts_max (answer->told_at, answer->checked_at), answer);
  answer->checked_at = answer->at;
  if (tell)
    answer->told_at = answer->at;
  return tell;
}

bool
blame_tell (struct blame *blame, uint64_t feature)
{
  struct answer *answer = g_hash_table_lookup (blame->answered, &feature);

  if (answer == NULL
      || (!ts_before (ts_add_ms (answer->told_at, BLAME_TELL_MS), answer->at)
          && !crashed_between (blame, feature, answer->told_at, answer)))
    return false;
  answer->told_at = answer->at;
  return true;
}

/* Judging.  */

struct judgment
{
  const struct blame *blame;
  bool (*blamed) (void *user, uint64_t feature);
  void *user;
  GHashTable *tallies; /* feature -> struct tally */
};

/* A part that was blamed explains a crash.  A request that was blamed explains
   it only for features that had been answered before: the others may be what
   the request had in common with further ones.  */
static bool
is_explained (const struct judgment *judgment, const struct crash *crash,
              bool was_answered)
{
  for (guint i = 0; i < crash->requests->len; i++)
    {
      const GArray *request = request_at (crash, i);

      for (guint j = was_answered ? 0 : 1; j < request->len; j++)
        if (judgment->blamed (judgment->user, feature_at (request, j)))
          return true;
    }
  return false;
}

static struct tally *
get_tally (struct judgment *judgment, uint64_t feature, size_t depth)
{
  struct tally *tally = g_hash_table_lookup (judgment->tallies, &feature);

  if (tally == NULL)
    {
      tally = g_new0 (struct tally, 1);
      tally->feature = feature;
      tally->is_part = depth > 0;
      g_hash_table_insert (judgment->tallies, &tally->feature, tally);
    }
  tally->depth = MAX (tally->depth, depth);
  return tally;
}

static void
note_request (struct tally *tally, uint64_t fingerprint)
{
  if (tally->fingerprint == 0)
    tally->fingerprint = fingerprint;
  else if (tally->fingerprint != fingerprint)
    tally->several_requests = true;
}

/* Whether a request with FEATURE went on from BEFORE to the server of CRASH,
   so that one event on the network cannot have broken both connections.  */
static bool
is_sent_on (const struct crash *before, const struct crash *crash,
            uint64_t feature)
{
  for (guint i = 0; i < crash->requests->len; i++)
    {
      const GArray *request = request_at (crash, i);

      if (has_feature (request, feature)
          && has_request (before, feature_at (request, 0)))
        return true;
    }
  return false;
}

static bool
is_new_moment (const struct tally *tally, const struct crash *crash)
{
  return tally->last == NULL
         || !ts_before (crash->at,
                        ts_add_ms (tally->moment, BLAME_SAME_CAUSE_MS))
         || is_sent_on (tally->last, crash, tally->feature);
}

static void
count_feature (struct judgment *judgment, const struct crash *crash,
               const GArray *request, guint position)
{
  uint64_t feature = feature_at (request, position);
  struct timespec answered_at = blame_answered_at (judgment->blame, feature);
  struct tally *tally;

  if (judgment->blamed (judgment->user, feature)
      || !ts_before (answered_at, crash->at)
      || is_explained (judgment, crash, !ts_is_zero (answered_at)))
    return;
  tally = get_tally (judgment, feature, position);
  note_request (tally, feature_at (request, 0));
  if (tally->last == crash)
    return;
  tally->crashes++;
  if (is_new_moment (tally, crash))
    {
      tally->moments++;
      tally->moment = crash->at;
    }
  tally->last = crash;
}

static void
count_crash (struct judgment *judgment, const struct crash *crash)
{
  for (guint i = 0; i < crash->requests->len; i++)
    {
      const GArray *request = request_at (crash, i);

      for (guint j = 0; j < request->len; j++)
        count_feature (judgment, crash, request, j);
    }
}

/* Whether A is to be blamed rather than B: it was answered longer ago, or
   never; it explains more crashes; or fewer requests are likely to have it.
   */
static bool
is_more_suspect (const struct judgment *judgment, const struct tally *a,
                 const struct tally *b)
{
  int order = ts_cmp (blame_answered_at (judgment->blame, a->feature),
                      blame_answered_at (judgment->blame, b->feature));

  if (order != 0)
    return order < 0;
  if (a->crashes != b->crashes)
    return a->crashes > b->crashes;
  if (a->depth != b->depth)
    return a->depth > b->depth;
  return a->feature < b->feature;
}

static bool
is_guilty (const struct judgment *judgment, const struct tally *tally)
{
  struct timespec answered_at
      = blame_answered_at (judgment->blame, tally->feature);

  if (!tally->is_part)
    return tally->crashes >= BLAME_REQUEST_CRASHES;
  if (!tally->several_requests)
    return false;
  return tally->crashes >= BLAME_CRASHES
         || (ts_is_zero (answered_at) && tally->moments >= BLAME_MOMENTS);
}

static uint64_t
most_suspect (const struct judgment *judgment)
{
  const struct tally *worst = NULL;
  const struct tally *tally;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, judgment->tallies);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&tally))
    if (is_guilty (judgment, tally)
        && (worst == NULL || is_more_suspect (judgment, tally, worst)))
      worst = tally;
  return worst != NULL ? worst->feature : 0;
}

static struct timespec
confirmed_at (const struct crash *crash)
{
  return ts_add_ms (crash->at, BLAME_CONFIRM_MS);
}

uint64_t
blame_find (struct blame *blame, bool (*blamed) (void *user, uint64_t feature),
            void *user, struct timespec now)
{
  struct judgment judgment
      = { .blame = blame, .blamed = blamed, .user = user };
  uint64_t feature;

  judgment.tallies
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  for (guint i = 0; i < blame->crashes->len; i++)
    {
      const struct crash *crash = crash_at (blame, i);

      if (!ts_before (now, confirmed_at (crash)))
        count_crash (&judgment, crash);
    }
  feature = most_suspect (&judgment);
  g_hash_table_unref (judgment.tallies);
  return feature;
}

void
blame_forgive (struct blame *blame, uint64_t feature)
{
  for (guint i = blame->crashes->len; i > 0; i--)
    if (crash_has_feature (crash_at (blame, i - 1), feature))
      g_ptr_array_remove_index (blame->crashes, i - 1);
}

size_t
blame_crashes (const struct blame *blame, struct timespec since)
{
  size_t count = 0;

  for (guint i = blame->crashes->len; i > 0; i--)
    count += !ts_before (crash_at (blame, i - 1)->at, since);
  return count;
}

struct timespec
blame_next (const struct blame *blame, struct timespec now)
{
  struct timespec next = { 0 };

  for (guint i = blame->crashes->len; i > 0; i--)
    {
      struct timespec at = confirmed_at (crash_at (blame, i - 1));

      if (!ts_before (now, at))
        break;
      next = at;
    }
  return next;
}

void
blame_each (const struct blame *blame,
            void (*each) (void *user, uint64_t engine,
                          const struct blame_request *request,
                          struct timespec at),
            void *user)
{
  for (guint i = 0; i < blame->crashes->len; i++)
    {
      const struct crash *crash = crash_at (blame, i);

      for (guint j = 0; j < crash->requests->len; j++)
        {
          const GArray *features = request_at (crash, j);
          struct blame_request request
              = { .features = (const uint64_t *)features->data,
                  .count = features->len };

          each (user, crash->engine, &request, crash->at);
        }
    }
}

static gboolean
is_old (gpointer key, gpointer value, gpointer user)
{
  const struct answer *answer = value;
  const struct timespec *now = user;

  (void)key;
  return ts_before (ts_add_ms (answer->at, BLAME_MEMORY_MS), *now);
}

void
blame_expire (struct blame *blame, struct timespec now)
{
  g_hash_table_foreach_remove (blame->answered, is_old, &now);
  while (
      blame->crashes->len > 0
      && ts_before (ts_add_ms (crash_at (blame, 0)->at, BLAME_MEMORY_MS), now))
    g_ptr_array_remove_index (blame->crashes, 0);
}

#include "eject.h"

#include <glib.h>
#include "ts.h"

struct engine_state
{
  unsigned failures;  /* consecutive */
  unsigned ejections; /* consecutive */
  unsigned inflight;  /* dispatches of this thread */
  bool ejected;       /* until a probe succeeds */
  struct timespec ejected_until;
  struct timespec used_at;
};

struct eject
{
  GHashTable *engines; /* id -> struct engine_state, owned */
};

struct eject *
eject_new (void)
{
  struct eject *eject = g_new0 (struct eject, 1);

  eject->engines
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return eject;
}

void
eject_free (struct eject *eject)
{
  if (eject == NULL)
    return;
  g_hash_table_destroy (eject->engines);
  g_free (eject);
}

/* Adds the state of ID when it is missing.  */
static struct engine_state *
get_state (struct eject *eject, const char *id)
{
  struct engine_state *state = g_hash_table_lookup (eject->engines, id);

  if (state == NULL)
    {
      state = g_new0 (struct engine_state, 1);
      g_hash_table_insert (eject->engines, g_strdup (id), state);
    }
  return state;
}

void
eject_begin (struct eject *eject, const char *engine, struct timespec now)
{
  struct engine_state *state = get_state (eject, engine);

  state->inflight++;
  state->used_at = now;
}

static int64_t
ejection_ms (unsigned ejections)
{
  int64_t ms = EJECT_BASE_MS;

  for (unsigned i = 1; i < ejections && ms < EJECT_MAX_MS; i++)
    ms *= 2;
  return MIN (ms, EJECT_MAX_MS);
}

static void
count_ended (struct engine_state *state)
{
  if (state->inflight > 0)
    state->inflight--;
}

/* Returns true if this ejects the engine.  A failure during an ejection is
   attributed to the same fault and does not extend it.  */
static bool
record_failure (struct engine_state *state, struct timespec now)
{
  state->failures++;
  if (state->failures < EJECT_FAILURES)
    return false;
  if (state->ejected && ts_before (now, state->ejected_until))
    return false;
  state->ejected = true;
  state->ejections++;
  state->ejected_until = ts_add_ms (now, ejection_ms (state->ejections));
  return true;
}

bool
eject_end (struct eject *eject, const char *engine, bool ok,
           struct timespec now)
{
  struct engine_state *state = get_state (eject, engine);

  count_ended (state);
  state->used_at = now;
  if (!ok)
    return record_failure (state, now);
  if (state->ejected && ts_before (now, state->ejected_until))
    return false;
  state->failures = 0;
  state->ejections = 0;
  state->ejected = false;
  return false;
}

bool
eject_suspect (struct eject *eject, const char *engine, struct timespec now)
{
  return record_failure (get_state (eject, engine), now);
}

void
eject_abandon (struct eject *eject, const char *engine)
{
  struct engine_state *state = g_hash_table_lookup (eject->engines, engine);

  if (state != NULL)
    count_ended (state);
}

/* An engine whose ejection has expired stays excluded while a request probes
   it.  */
static bool
is_excluded (const struct engine_state *state, struct timespec now)
{
  if (state == NULL || !state->ejected)
    return false;
  return ts_before (now, state->ejected_until) || state->inflight > 0;
}

static unsigned
count_not_leaving (const struct route_replica *replicas, size_t count)
{
  unsigned n = 0;

  for (size_t i = 0; i < count; i++)
    n += !replicas[i].leaving;
  return n;
}

/* Index of the replica in EJECTED whose ejection expires first.  */
static size_t
first_to_expire (struct eject *eject, const struct route_replica *replicas,
                 size_t count, const bool *ejected)
{
  const struct engine_state *first = NULL;
  size_t index = 0;

  for (size_t i = 0; i < count; i++)
    {
      const struct engine_state *state;

      if (!ejected[i])
        continue;
      state = g_hash_table_lookup (eject->engines, replicas[i].engine->id);
      if (first == NULL
          || ts_before (state->ejected_until, first->ejected_until))
        {
          first = state;
          index = i;
        }
    }
  return index;
}

unsigned
eject_mark (struct eject *eject, const struct route_replica *replicas,
            size_t count, struct timespec now, bool *ejected)
{
  unsigned max_ejected
      = count_not_leaving (replicas, count) * EJECT_MAX_PERCENT / 100;
  unsigned n = 0;

  for (size_t i = 0; i < count; i++)
    {
      ejected[i] = !replicas[i].leaving
                   && is_excluded (g_hash_table_lookup (
                                       eject->engines, replicas[i].engine->id),
                                   now);
      n += ejected[i];
    }
  for (; n > max_ejected; n--)
    ejected[first_to_expire (eject, replicas, count, ejected)] = false;
  return n;
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer user)
{
  const struct engine_state *state = value;
  const struct timespec *cutoff = user;

  (void)key;
  return state->inflight == 0 && ts_before (state->used_at, *cutoff);
}

void
eject_clean (struct eject *eject, struct timespec now)
{
  struct timespec cutoff = ts_add_ms (now, -EJECT_EXPIRE_MS);

  g_hash_table_foreach_remove (eject->engines, is_expired, &cutoff);
}

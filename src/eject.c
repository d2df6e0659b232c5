#include "eject.h"

#include <glib.h>
#include "ts.h"

struct engine
{
  unsigned failures;  /* in a row */
  unsigned ejections; /* in a row */
  unsigned running;
  bool ejected; /* until a probe succeeds */
  struct timespec until;
  struct timespec used_at;
};

struct eject
{
  GHashTable *engines; /* id -> struct engine */
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

static struct engine *
engine_get (struct eject *eject, const char *id)
{
  struct engine *engine = g_hash_table_lookup (eject->engines, id);

  if (engine == NULL)
    {
      engine = g_new0 (struct engine, 1);
      g_hash_table_insert (eject->engines, g_strdup (id), engine);
    }
  return engine;
}

void
eject_begin (struct eject *eject, const char *engine, struct timespec now)
{
  struct engine *known = engine_get (eject, engine);

  known->running++;
  known->used_at = now;
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
count_ended (struct engine *engine)
{
  if (engine->running > 0)
    engine->running--;
}

/* Failures of requests that end during the ejection belong to the same fault
   and do not extend it.  */
static bool
record_failure (struct engine *engine, struct timespec now)
{
  engine->failures++;
  if (engine->failures < EJECT_FAILURES)
    return false;
  if (engine->ejected && ts_before (now, engine->until))
    return false;
  engine->ejected = true;
  engine->ejections++;
  engine->until = ts_add_ms (now, ejection_ms (engine->ejections));
  return true;
}

bool
eject_end (struct eject *eject, const char *engine, bool ok,
           struct timespec now)
{
  struct engine *known = engine_get (eject, engine);

  count_ended (known);
  known->used_at = now;
  if (!ok)
    return record_failure (known, now);
  if (known->ejected && ts_before (now, known->until))
    return false;
  known->failures = 0;
  known->ejections = 0;
  known->ejected = false;
  return false;
}

void
eject_abandon (struct eject *eject, const char *engine)
{
  struct engine *known = g_hash_table_lookup (eject->engines, engine);

  if (known != NULL)
    count_ended (known);
}

/* An engine whose ejection has expired stays excluded while a request probes
   it.  */
static bool
is_excluded (const struct engine *engine, struct timespec now)
{
  if (engine == NULL || !engine->ejected)
    return false;
  return ts_before (now, engine->until) || engine->running > 0;
}

static unsigned
count_eligible (const struct route_replica *replicas, size_t count)
{
  unsigned n = 0;

  for (size_t i = 0; i < count; i++)
    n += !replicas[i].leaving;
  return n;
}

/* The marked replica whose ejection expires first.  */
static size_t
first_to_expire (struct eject *eject, const struct route_replica *replicas,
                 size_t count, const bool *out)
{
  const struct engine *best = NULL;
  size_t at = 0;

  for (size_t i = 0; i < count; i++)
    {
      const struct engine *engine;

      if (!out[i])
        continue;
      engine = g_hash_table_lookup (eject->engines, replicas[i].engine->id);
      if (best == NULL || ts_before (engine->until, best->until))
        {
          best = engine;
          at = i;
        }
    }
  return at;
}

unsigned
eject_mark (struct eject *eject, const struct route_replica *replicas,
            size_t count, struct timespec now, bool *out)
{
  unsigned most = count_eligible (replicas, count) * EJECT_MAX_PERCENT / 100;
  unsigned n = 0;

  for (size_t i = 0; i < count; i++)
    {
      out[i] = !replicas[i].leaving
               && is_excluded (g_hash_table_lookup (eject->engines,
                                                    replicas[i].engine->id),
                               now);
      n += out[i];
    }
  for (; n > most; n--)
    out[first_to_expire (eject, replicas, count, out)] = false;
  return n;
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer user)
{
  const struct engine *engine = value;
  const struct timespec *before = user;

  (void)key;
  return engine->running == 0 && ts_before (engine->used_at, *before);
}

void
eject_clean (struct eject *eject, struct timespec now)
{
  struct timespec before = ts_add_ms (now, -EJECT_EXPIRE_MS);

  g_hash_table_foreach_remove (eject->engines, is_expired, &before);
}

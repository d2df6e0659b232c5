#include "confwatch.h"

#include "ts.h"

struct timespec
confwatch_made_at (struct timespec sent_at, int64_t wait_ms,
                   struct timespec now)
{
  return ts_min (now, ts_add_ms (sent_at, wait_ms));
}

void
confwatch_answered (struct confwatch *watch, struct timespec made_at)
{
  watch->known_at = ts_max (watch->known_at, made_at);
}

bool
confwatch_told (struct confwatch *watch, uint64_t version, int64_t age_ms,
                struct timespec now)
{
  bool changed = version != watch->told_version;

  watch->told_at
      = age_ms > 0 ? ts_add_ms (now, -age_ms) : (struct timespec){ 0 };
  if (changed)
    watch->told_from = now;
  watch->told_version = version;
  return changed;
}

void
confwatch_forget (struct confwatch *watch)
{
  watch->told_version = 0;
  watch->told_at = (struct timespec){ 0 };
}

struct timespec
confwatch_expires_at (const struct confwatch *watch)
{
  return ts_add_ms (watch->told_at, CONFWATCH_TTL_MS);
}

bool
confwatch_relies (const struct confwatch *watch, uint64_t version,
                  int64_t push_ms, struct timespec now)
{
  if (ts_is_zero (watch->told_at)
      || !ts_before (now, confwatch_expires_at (watch)))
    return false;
  return (version > 0 && version >= watch->told_version)
         || ts_before (now, ts_add_ms (watch->told_from, push_ms));
}

static bool
is_within (struct timespec at, int64_t ms, struct timespec now)
{
  return !ts_is_zero (at) && !ts_before (ts_add_ms (at, ms), now);
}

static bool
is_confirmed (const struct confwatch *watch, int64_t within_ms,
              struct timespec now)
{
  return is_within (watch->known_at, within_ms, now)
         || is_within (watch->told_at, within_ms, now);
}

bool
confwatch_is_current (const struct confwatch *watch, uint64_t version,
                      int64_t within_ms, struct timespec now)
{
  return version >= watch->told_version
         && is_confirmed (watch, within_ms, now);
}

bool
confwatch_is_outdated (const struct confwatch *watch, uint64_t version,
                       int64_t within_ms, struct timespec woke_at,
                       struct timespec now)
{
  if (version < watch->told_version)
    return !is_within (watch->told_from, within_ms / 2, now);
  return is_within (woke_at, CONFWATCH_WAKE_MS, now)
         && !is_confirmed (watch, within_ms, now);
}

int64_t
confwatch_age_ms (const struct confwatch *watch, struct timespec now)
{
  return ts_to_ms (ts_sub (now, watch->known_at));
}

int64_t
confwatch_told_age_ms (const struct confwatch *watch, struct timespec now)
{
  if (ts_is_zero (watch->told_at))
    return 0;
  return ts_to_ms (ts_sub (now, watch->told_at));
}

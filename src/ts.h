/* ts - arithmetic on struct timespec.

   All times in this library are struct timespec: points in time are read from
   a struct clk, durations are differences of two of them.  The functions are
   pure and may be called from any thread.  */

#ifndef PARSLEYRILL_TS_H
#define PARSLEYRILL_TS_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#define TS_NS_PER_S INT64_C (1000000000)
#define TS_NS_PER_MS INT64_C (1000000)
#define TS_MS_PER_S INT64_C (1000)
#define TS_US_PER_MS INT64_C (1000)

/* Nanoseconds in T; overflows above 292 years.  */
static inline int64_t
ts_to_ns (struct timespec t)
{
  return (int64_t)t.tv_sec * TS_NS_PER_S + t.tv_nsec;
}

/* Whole milliseconds in T, rounded down.  */
static inline int64_t
ts_to_ms (struct timespec t)
{
  return (int64_t)t.tv_sec * TS_MS_PER_S + t.tv_nsec / TS_NS_PER_MS;
}

static inline double
ts_to_s (struct timespec t)
{
  return (double)t.tv_sec + (double)t.tv_nsec / (double)TS_NS_PER_S;
}

static inline struct timespec
ts_from_ns (int64_t ns)
{
  struct timespec t;

  t.tv_sec = (time_t)(ns / TS_NS_PER_S);
  t.tv_nsec = (long)(ns % TS_NS_PER_S);
  if (t.tv_nsec < 0)
    {
      t.tv_nsec += TS_NS_PER_S;
      t.tv_sec -= 1;
    }
  return t;
}

static inline struct timespec
ts_from_ms (int64_t ms)
{
  return ts_from_ns (ms * TS_NS_PER_MS);
}

static inline struct timespec
ts_from_s (double s)
{
  return ts_from_ns ((int64_t)(s * (double)TS_NS_PER_S));
}

static inline struct timespec
ts_add (struct timespec a, struct timespec b)
{
  return ts_from_ns (ts_to_ns (a) + ts_to_ns (b));
}

static inline struct timespec
ts_sub (struct timespec a, struct timespec b)
{
  return ts_from_ns (ts_to_ns (a) - ts_to_ns (b));
}

static inline struct timespec
ts_add_ms (struct timespec a, int64_t ms)
{
  return ts_from_ns (ts_to_ns (a) + ms * TS_NS_PER_MS);
}

/* Negative, zero or positive as A is before, at or after B.  */
static inline int
ts_cmp (struct timespec a, struct timespec b)
{
  int64_t x = ts_to_ns (a);
  int64_t y = ts_to_ns (b);

  return (x > y) - (x < y);
}

static inline bool
ts_before (struct timespec a, struct timespec b)
{
  return ts_cmp (a, b) < 0;
}

static inline bool
ts_is_zero (struct timespec t)
{
  return t.tv_sec == 0 && t.tv_nsec == 0;
}

/* T, or MS milliseconds when T is zero.  */
static inline struct timespec
ts_or_ms (struct timespec t, int64_t ms)
{
  return ts_is_zero (t) ? ts_from_ms (ms) : t;
}

static inline struct timespec
ts_min (struct timespec a, struct timespec b)
{
  return ts_before (b, a) ? b : a;
}

static inline struct timespec
ts_max (struct timespec a, struct timespec b)
{
  return ts_before (a, b) ? b : a;
}

#endif

#include "clk.h"

static struct timespec
monotonic_now (const struct clk *clk)
{
  struct timespec t;

  (void)clk;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return t;
}

static struct timespec
boottime_now (const struct clk *clk)
{
  struct timespec t;

  (void)clk;
  clock_gettime (CLOCK_BOOTTIME, &t);
  return t;
}

static struct timespec
realtime_wall (const struct clk *clk)
{
  struct timespec t;

  (void)clk;
  clock_gettime (CLOCK_REALTIME, &t);
  return t;
}

static struct timespec
manual_now (const struct clk *clk)
{
  return ((const struct clk_manual *)clk)->at;
}

static const struct clk_ops monotonic_ops = { monotonic_now, realtime_wall };
static const struct clk_ops manual_ops = { manual_now, manual_now };
static const struct clk_ops boottime_ops = { boottime_now, realtime_wall };
static const struct clk monotonic_clk = { &monotonic_ops };
static const struct clk boottime_clk = { &boottime_ops };

const struct clk *
clk_monotonic (void)
{
  return &monotonic_clk;
}

const struct clk *
clk_boottime (void)
{
  return &boottime_clk;
}

void
clk_manual_init (struct clk_manual *manual, struct timespec at)
{
  manual->clk.ops = &manual_ops;
  manual->at = at;
}

struct timespec
clk_now (const struct clk *clk)
{
  return clk->ops->now (clk);
}

struct timespec
clk_wall (const struct clk *clk)
{
  return clk->ops->wall (clk);
}

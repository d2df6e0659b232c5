#include "clk.h"

static struct timespec
real_now (const struct clk *clk)
{
  struct timespec t;

  (void)clk;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return t;
}

static struct timespec
boot_now (const struct clk *clk)
{
  struct timespec t;

  (void)clk;
  clock_gettime (CLOCK_BOOTTIME, &t);
  return t;
}

static struct timespec
real_wall (const struct clk *clk)
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

static const struct clk_ops real_ops = { real_now, real_wall };
static const struct clk_ops manual_ops = { manual_now, manual_now };
static const struct clk_ops boot_ops = { boot_now, real_wall };
static const struct clk real_clk = { &real_ops };
static const struct clk boot_clk = { &boot_ops };

const struct clk *
clk_monotonic (void)
{
  return &real_clk;
}

const struct clk *
clk_boottime (void)
{
  return &boot_clk;
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

/* clk - the clock as an interface.

   Decision modules never read a clock: they are given the instant NOW.  Only
   the plumbing holds a struct clk.  A monotonic instant has no meaning in
   another process.  */

#ifndef PARSLEYRILL_CLK_H
#define PARSLEYRILL_CLK_H

#include <time.h>

struct clk;

struct clk_ops
{
  struct timespec (*now) (const struct clk *clk);  /* monotonic */
  struct timespec (*wall) (const struct clk *clk); /* since the Epoch, UTC */
};

struct clk
{
  const struct clk_ops *ops;
};

/* A clock that stands still until it is set.  */
struct clk_manual
{
  struct clk clk;
  struct timespec at;
};

/* The clock of the machine: CLOCK_MONOTONIC and CLOCK_REALTIME.  Shared by
   all threads, never freed.  */
const struct clk *clk_monotonic (void);

/* The same, but time in which the machine was suspended counts too:
   CLOCK_BOOTTIME and CLOCK_REALTIME.  */
const struct clk *clk_boottime (void);

void clk_manual_init (struct clk_manual *manual, struct timespec at);

struct timespec clk_now (const struct clk *clk);
struct timespec clk_wall (const struct clk *clk);

#endif

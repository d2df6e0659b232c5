/* clk - clock interface.

   Decision modules do not read a clock; they are passed the time NOW.  Only
   event loops and I/O code hold a struct clk.  Monotonic times have no meaning
   in another process.  */

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

/* A clock for tests, which returns AT until AT is changed.  */
struct clk_manual
{
  struct clk clk;
  struct timespec at;
};

/* CLOCK_MONOTONIC and CLOCK_REALTIME.  Shared by all threads, never
   freed.  */
const struct clk *clk_monotonic (void);

/* CLOCK_BOOTTIME, which includes the time in which the machine was suspended,
   and CLOCK_REALTIME.  Shared by all threads, never freed.  */
const struct clk *clk_boottime (void);

void clk_manual_init (struct clk_manual *manual, struct timespec at);

struct timespec clk_now (const struct clk *clk);
struct timespec clk_wall (const struct clk *clk);

#endif

/* loop - one epoll loop with timers, run by one thread.

   All calls but loop_stop come from the loop's own thread (or before it
   runs).  A handler may add and remove any watch or timer, its own included.

   Ownership: watches and timers are embedded in the caller's structs and
   borrowed; they are removed before they are freed.  */

#ifndef PARSLEYRILL_LOOP_H
#define PARSLEYRILL_LOOP_H

#include <stdbool.h>
#include <stdint.h>
#include <ck_queue.h>
#include "clk.h"

struct loop;

struct loop_watch
{
  void (*ready) (struct loop_watch *watch, uint32_t events); /* EPOLLIN... */
  int fd;
  uint32_t events; /* owned by the module */
  bool removed;    /* owned by the module */
};

struct loop_timer
{
  void (*fire) (struct loop_timer *timer);
  struct timespec at; /* owned by the module */
  uint64_t serial;    /* owned by the module: order of being set */
  unsigned slot;      /* place in the heap + 1, 0 when not set */
};

/* Called each time before the loop sleeps; may lower the sleep.  Returns the
   milliseconds that it wants the sleep to be at most, -1 for no wish.  */
struct loop_prepare
{
  CK_LIST_ENTRY (loop_prepare) link;
  int (*prepare) (struct loop_prepare *prepare);
};

/* NULL when epoll cannot be had; errno says why.  CLK is borrowed.  */
struct loop *loop_new (const struct clk *clk);
void loop_free (struct loop *loop);

/* Negative errno of epoll_ctl.  EVENTS may be changed by a second call.  */
int loop_watch (struct loop *loop, struct loop_watch *watch, uint32_t events);
void loop_unwatch (struct loop *loop, struct loop_watch *watch);

/* Sets or moves a timer.  One that a timer's handler sets, itself included,
   fires in the next turn at the earliest, so that descriptors are served in
   between.  */
void loop_timer_set (struct loop *loop, struct loop_timer *timer,
                     struct timespec at);
void loop_timer_clear (struct loop *loop, struct loop_timer *timer);

void loop_prepare_add (struct loop *loop, struct loop_prepare *prepare);
void loop_prepare_remove (struct loop_prepare *prepare);

/* The instant of the last wake-up; cheap.  */
struct timespec loop_now (const struct loop *loop);

/* Runs until loop_stop.  */
void loop_run (struct loop *loop);

/* One turn; sleeps at most MAX_MS (-1: until something happens).  */
void loop_run_once (struct loop *loop, int max_ms);

/* Any thread, and signal handlers.  */
void loop_stop (struct loop *loop);

#endif

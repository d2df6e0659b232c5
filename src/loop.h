/* loop - epoll event loop with timers, run by one thread.

   All functions except loop_stop are called from the loop's thread, or before
   it runs.  A handler may add and remove any watch or timer, including its
   own.

   Ownership: watches and timers are embedded in the caller's structs and
   borrowed; they must be removed before they are freed.  */

#ifndef PARSLEYRILL_LOOP_H
#define PARSLEYRILL_LOOP_H

#include <stdbool.h>
#include <stdint.h>
#include <ck_queue.h>
#include "clk.h"

#define LOOP_PAUSE_MS 500

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
  uint64_t serial;    /* owned by the module; higher for a later set */
  unsigned slot;      /* owned by the module; index in the heap + 1; 0: not
                         set */
};

/* Called each time before the loop sleeps.  Returns the longest time to sleep
   in milliseconds, or -1 for no limit.  */
struct loop_prepare
{
  CK_LIST_ENTRY (loop_prepare) link;
  int (*prepare) (struct loop_prepare *prepare);
};

/* Returns NULL and sets errno on failure.  CLK is borrowed.  */
struct loop *loop_new (const struct clk *clk);
void loop_free (struct loop *loop);

/* Returns 0 or the negative errno of epoll_ctl.  For a watch that is already
   added, changes its events.  */
int loop_watch (struct loop *loop, struct loop_watch *watch, uint32_t events);
void loop_unwatch (struct loop *loop, struct loop_watch *watch);

/* Sets or reschedules a timer.  A timer that is set in the handler of a timer,
   including its own, fires in the next iteration at the earliest, so that
   descriptors are served in between.  */
void loop_timer_set (struct loop *loop, struct loop_timer *timer,
                     struct timespec at);
void loop_timer_clear (struct loop *loop, struct loop_timer *timer);

void loop_prepare_add (struct loop *loop, struct loop_prepare *prepare);
void loop_prepare_remove (struct loop_prepare *prepare);

/* The time at which epoll_wait last returned; does not read the clock.  */
struct timespec loop_now (const struct loop *loop);

/* When the thread went on after it had not run for LOOP_PAUSE_MS although a
   timer was due or a handler was running, for example because its process was
   stopped; zero: never.  */
struct timespec loop_woke_at (const struct loop *loop);

/* Runs until loop_stop.  */
void loop_run (struct loop *loop);

/* Runs one iteration; sleeps at most MAX_MS (-1: until an event or timer).  */
void loop_run_once (struct loop *loop, int max_ms);

/* May be called from any thread and from signal handlers.  */
void loop_stop (struct loop *loop);

#endif

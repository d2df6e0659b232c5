#include "loop.h"

#include <errno.h>
#include <limits.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <ck_pr.h>
#include <glib.h>
#include "ts.h"

#define LOOP_POLLS 16 /* max calls of epoll_wait before timers fire */
#define LOOP_BATCH 64 /* max events per epoll_wait */

CK_LIST_HEAD (prepare_list, loop_prepare);

struct loop
{
  const struct clk *clk;
  int epoll_fd;
  struct loop_watch stop_watch;
  unsigned stopping;
  struct timespec now;
  struct timespec woke_at; /* see loop_woke_at */
  uint64_t serial;         /* number of timer settings so far */
  GPtrArray *heap;         /* borrowed timers, a min-heap by time */
  struct prepare_list prepares;
  struct epoll_event batch[LOOP_BATCH]; /* of this iteration */
  int batch_count;
};

static void
on_stop (struct loop_watch *watch, uint32_t events)
{
  uint64_t count;

  (void)events;
  (void)!read (watch->fd, &count, sizeof count);
}

struct loop *
loop_new (const struct clk *clk)
{
  struct loop *loop = g_new0 (struct loop, 1);

  loop->clk = clk;
  loop->now = clk_now (clk);
  loop->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  loop->heap = g_ptr_array_new ();
  CK_LIST_INIT (&loop->prepares);
  loop->stop_watch.ready = on_stop;
  loop->stop_watch.fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (loop->epoll_fd < 0 || loop->stop_watch.fd < 0
      || loop_watch (loop, &loop->stop_watch, EPOLLIN) < 0)
    {
      loop_free (loop);
      return NULL;
    }
  return loop;
}

void
loop_free (struct loop *loop)
{
  if (loop == NULL)
    return;
  if (loop->stop_watch.fd >= 0)
    close (loop->stop_watch.fd);
  if (loop->epoll_fd >= 0)
    close (loop->epoll_fd);
  g_ptr_array_unref (loop->heap);
  g_free (loop);
}

int
loop_watch (struct loop *loop, struct loop_watch *watch, uint32_t events)
{
  struct epoll_event event = { .events = events, .data = { .ptr = watch } };
  int op = watch->events == 0 ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;

  if (epoll_ctl (loop->epoll_fd, op, watch->fd, &event) < 0)
    return -errno;
  watch->events = events;
  watch->removed = false;
  return 0;
}

/* Discards pending events of this iteration for a removed watch.  */
static void
discard_events (struct loop *loop, const struct loop_watch *watch)
{
  for (int i = 0; i < loop->batch_count; i++)
    if (loop->batch[i].data.ptr == watch)
      loop->batch[i].data.ptr = NULL;
}

void
loop_unwatch (struct loop *loop, struct loop_watch *watch)
{
  if (watch->events == 0)
    return;
  epoll_ctl (loop->epoll_fd, EPOLL_CTL_DEL, watch->fd, NULL);
  watch->events = 0;
  watch->removed = true;
  discard_events (loop, watch);
}

static struct loop_timer *
heap_get (const struct loop *loop, guint i)
{
  return g_ptr_array_index (loop->heap, i);
}

static void
heap_set (struct loop *loop, guint i, struct loop_timer *timer)
{
  loop->heap->pdata[i] = timer;
  timer->slot = i + 1;
}

static void
sift_up (struct loop *loop, guint i)
{
  struct loop_timer *timer = heap_get (loop, i);

  while (i > 0 && ts_before (timer->at, heap_get (loop, (i - 1) / 2)->at))
    {
      heap_set (loop, i, heap_get (loop, (i - 1) / 2));
      i = (i - 1) / 2;
    }
  heap_set (loop, i, timer);
}

static guint
earlier_child (const struct loop *loop, guint i)
{
  guint left = 2 * i + 1;

  if (left + 1 < loop->heap->len
      && ts_before (heap_get (loop, left + 1)->at, heap_get (loop, left)->at))
    return left + 1;
  return left;
}

static void
sift_down (struct loop *loop, guint i)
{
  struct loop_timer *timer = heap_get (loop, i);

  while (2 * i + 1 < loop->heap->len)
    {
      guint child = earlier_child (loop, i);

      if (!ts_before (heap_get (loop, child)->at, timer->at))
        break;
      heap_set (loop, i, heap_get (loop, child));
      i = child;
    }
  heap_set (loop, i, timer);
}

void
loop_timer_clear (struct loop *loop, struct loop_timer *timer)
{
  guint i = timer->slot - 1;
  guint last = loop->heap->len - 1;
  struct loop_timer *moved;

  if (timer->slot == 0)
    return;
  moved = heap_get (loop, last);
  g_ptr_array_set_size (loop->heap, (gint)last);
  timer->slot = 0;
  if (moved == timer)
    return;
  heap_set (loop, i, moved);
  sift_up (loop, i);
  sift_down (loop, moved->slot - 1);
}

void
loop_timer_set (struct loop *loop, struct loop_timer *timer,
                struct timespec at)
{
  loop_timer_clear (loop, timer);
  timer->at = at;
  timer->serial = ++loop->serial;
  g_ptr_array_add (loop->heap, timer);
  sift_up (loop, loop->heap->len - 1);
}

void
loop_prepare_add (struct loop *loop, struct loop_prepare *prepare)
{
  CK_LIST_INSERT_HEAD (&loop->prepares, prepare, link);
}

void
loop_prepare_remove (struct loop_prepare *prepare)
{
  CK_LIST_REMOVE (prepare, link);
}

struct timespec
loop_now (const struct loop *loop)
{
  return loop->now;
}

static int
min_timeout (int a, int b)
{
  if (a < 0)
    return b;
  if (b < 0)
    return a;
  return a < b ? a : b;
}

/* Time to sleep until the next timer, rounded up so that the timer is due when
   the sleep ends; -1: no timer.  */
static int
next_timer_ms (const struct loop *loop)
{
  int64_t ns;

  if (loop->heap->len == 0)
    return -1;
  ns = ts_to_ns (ts_sub (heap_get (loop, 0)->at, clk_now (loop->clk)));
  if (ns <= 0)
    return 0;
  if (ns > (int64_t)INT_MAX * TS_NS_PER_MS / 2)
    return INT_MAX / 2;
  return (int)((ns + TS_NS_PER_MS - 1) / TS_NS_PER_MS);
}

static int
run_prepares (struct loop *loop, int sleep_ms)
{
  struct loop_prepare *prepare;
  struct loop_prepare *next;

  CK_LIST_FOREACH_SAFE (prepare, &loop->prepares, link, next)
    {
      sleep_ms = min_timeout (sleep_ms, prepare->prepare (prepare));
    }
  return sleep_ms;
}

static void
dispatch_events (struct loop *loop)
{
  for (int i = 0; i < loop->batch_count; i++)
    {
      struct loop_watch *watch = loop->batch[i].data.ptr;

      if (watch != NULL)
        watch->ready (watch, loop->batch[i].events);
    }
  loop->batch_count = 0;
}

static void
fire_timers (struct loop *loop)
{
  struct timespec due = loop->now;
  uint64_t last = loop->serial;

  while (loop->heap->len > 0 && !ts_before (due, heap_get (loop, 0)->at))
    {
      struct loop_timer *timer = heap_get (loop, 0);

      if (timer->serial > last)
        return;
      loop_timer_clear (loop, timer);
      timer->fire (timer);
    }
}

/* BEFORE: when epoll_wait had returned last.  */
static void
note_pause (struct loop *loop, struct timespec before, int sleep_ms)
{
  if (sleep_ms >= 0
      && ts_before (ts_add_ms (before, (int64_t)sleep_ms + LOOP_PAUSE_MS),
                    loop->now))
    loop->woke_at = loop->now;
}

/* Returns whether more descriptors may be ready.  */
static bool
poll_once (struct loop *loop, int sleep_ms)
{
  struct timespec before = loop->now;
  int n = epoll_wait (loop->epoll_fd, loop->batch, LOOP_BATCH, sleep_ms);

  loop->now = clk_now (loop->clk);
  note_pause (loop, before, sleep_ms);
  loop->batch_count = n > 0 ? n : 0;
  dispatch_events (loop);
  return n == LOOP_BATCH;
}

/* Reads what is ready before timers fire: after the process stood still, idle
   timeouts are due of connections whose bytes wait to be read.  */
void
loop_run_once (struct loop *loop, int max_ms)
{
  int sleep_ms = run_prepares (loop, max_ms);

  sleep_ms = min_timeout (sleep_ms, next_timer_ms (loop));
  for (int i = 0; i < LOOP_POLLS && poll_once (loop, sleep_ms); i++)
    sleep_ms = 0;
  fire_timers (loop);
}

struct timespec
loop_woke_at (const struct loop *loop)
{
  return loop->woke_at;
}

void
loop_run (struct loop *loop)
{
  while (ck_pr_load_uint (&loop->stopping) == 0)
    loop_run_once (loop, -1);
}

void
loop_stop (struct loop *loop)
{
  uint64_t one = 1;

  ck_pr_store_uint (&loop->stopping, 1);
  (void)!write (loop->stop_watch.fd, &one, sizeof one);
}

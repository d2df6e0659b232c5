/* fetch - simulated store with limited start rate and throughput.

   At most RATE fetches start per second.  Up to KNEE concurrent fetches run at
   full speed; more share the throughput of KNEE fetches evenly.  All functions
   are called from the loop's thread.  */

#ifndef STANDIN_FETCH_H
#define STANDIN_FETCH_H

#include <ck_queue.h>
#include "loop.h"

struct fetch
{
  CK_LIST_ENTRY (fetch) link;
  struct loop_timer start; /* fires when RATE allows the fetch to start */
  void (*done) (struct fetch *fetch);
  double remaining_s; /* time to completion at full speed */
  struct fetch_store *store;
  bool running;
};

CK_LIST_HEAD (fetch_list, fetch);

struct fetch_store
{
  struct loop *loop;
  struct loop_timer timer; /* next completion */
  struct fetch_list running;
  unsigned count; /* running */
  unsigned peak;  /* highest COUNT so far */
  unsigned started;
  double rate;                /* starts per second; 0: no limit */
  double knee;                /* maximum number of fetches at full speed */
  struct timespec updated_at; /* time of the last update of REMAINING_S */
  struct timespec next_start; /* earliest start of the next fetch */
};

void fetch_store_init (struct fetch_store *store, struct loop *loop,
                       double rate, double knee);

/* Starts FETCH, embedded in the caller's struct, as soon as RATE allows; it
   takes DURATION_S seconds at full speed.  Calls FETCH's done callback.  */
void fetch_begin (struct fetch_store *store, struct fetch *fetch,
                  double duration_s);

/* Cancels FETCH without calling its done callback.  Does nothing when FETCH
   is already done or is zeroed, that is, was never started.  */
void fetch_cancel (struct fetch *fetch);

#endif

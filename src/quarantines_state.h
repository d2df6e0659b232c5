/* quarantines_state - state shared by the modules quarantines and
   quarantines_table.  Private to them.  */

#ifndef PARSLEYRILL_QUARANTINES_STATE_H
#define PARSLEYRILL_QUARANTINES_STATE_H

#include "core.h"
#include "log.h"
#include "loop.h"
#include "quarantine.h"
#include "quarantines.h"

struct quarantines
{
  struct service service; /* must be first: it is cast to this struct */
  struct core *core;
  struct links *links;
  struct quarantine *quarantine;
  struct loop_timer judge_timer;
  struct loop_timer list_timer;
  struct loop_timer store_timer;
  unsigned store_failures;
  struct timespec judge_at; /* of JUDGE_TIMER; zero: not set */
  bool listed;
  bool listing; /* a list is in progress */
  unsigned list_failures;
};

static inline struct timespec
quarantines_now (const struct quarantines *quarantines)
{
  return loop_now (quarantines->core->loop);
}

/* quarantines.c */

void quarantines_run (struct quarantines *quarantines,
                      struct action_list *list);
/* Takes a judgment over from PEER; "": from the table.  SOURCE is logged.  */
void quarantines_adopt (struct quarantines *quarantines, const char *peer,
                        const struct quarantine_state *state,
                        const char *source);
void quarantines_log (const struct quarantines *quarantines,
                      enum log_event event,
                      const struct quarantine_state *state,
                      const char *source);

/* quarantines_table.c */

/* Reads the rows, again and again while some node is not linked.  */
void quarantines_start_table (struct quarantines *quarantines);
void quarantines_store (struct quarantines *quarantines,
                        const struct quarantine_state *state);
void quarantines_remove (struct quarantines *quarantines,
                         const struct quarantine_state *state);
void quarantines_claim (struct quarantines *quarantines,
                        const struct quarantine_state *state);
void quarantines_store_evidence (struct quarantines *quarantines);

#endif

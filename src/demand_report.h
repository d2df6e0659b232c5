/* want - what the control thread has to hear of the requests that wait.

   Keeps the targets that requests of one traffic thread wait for, and gathers
   changes until demand_report_flush.  One thread.  */

#ifndef PARSLEYRILL_DEMAND_REPORT_H
#define PARSLEYRILL_DEMAND_REPORT_H

#include "admit.h"
#include "msg.h"

struct demand_report;

struct demand_report_options
{
  unsigned thread; /* index, for the messages */
  const struct admit *admit;
  /* Sends MESSAGE, which passes only on 0.  */
  int (*send) (void *user, struct msg *message);
  void *user;
};

struct demand_report *
demand_report_new (const struct demand_report_options *options);
void demand_report_free (struct demand_report *want);

/* The number of those that wait for TARGET may have changed.  SERVICE: it is
   a plain service, which nobody loads: nothing is sent.  */
void demand_report_note (struct demand_report *want, const char *target,
                         unsigned priority, bool service);

/* Calls VISIT with each target that is waited for.  VISIT may note.  */
void demand_report_each (struct demand_report *want,
                         void (*visit) (void *user, const char *target,
                                        bool service),
                         void *user);

/* Sends MSG_WAITING_INCREASED and MSG_WAITING_DECREASED for what changed.
 * Returns how many wait.  */
unsigned demand_report_flush (struct demand_report *want);

#endif

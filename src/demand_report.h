/* demand_report - reports the waiting requests of one traffic thread to the
   control thread.

   Keeps a count of waiting requests for each target, and batches changes until
   demand_report_flush.  One thread.  */

#ifndef PARSLEYRILL_DEMAND_REPORT_H
#define PARSLEYRILL_DEMAND_REPORT_H

#include "admit.h"
#include "msg.h"

struct demand_report;

struct demand_report_options
{
  unsigned thread; /* index, for the messages */
  const struct admit *admit;
  /* Sends MESSAGE; takes ownership of it only if it returns 0.  */
  int (*send) (void *user, struct msg *message);
  void *user;
};

struct demand_report *
demand_report_new (const struct demand_report_options *options);
void demand_report_free (struct demand_report *report);

/* The number of requests that wait for TARGET may have changed.  SERVICE: the
   target is a plain service; it is never loaded, so nothing is sent.  */
void demand_report_note (struct demand_report *report, const char *target,
                         unsigned priority, bool service);

/* Calls VISIT for each target with waiting requests.  VISIT may call
   demand_report_note.  */
void demand_report_each (struct demand_report *report,
                         void (*visit) (void *user, const char *target,
                                        bool service),
                         void *user);

/* Sends MSG_WAITING_INCREASED and MSG_WAITING_DECREASED for each changed
   count.  Returns the number of waiting requests.  */
unsigned demand_report_flush (struct demand_report *report);

#endif

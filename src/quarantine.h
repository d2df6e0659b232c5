/* quarantine - rejects requests with a feature that crashes backend servers.

   The feature is found by blame.h from what all nodes see.  Every node judges
   by itself and adopts the judgment of the others.  A quarantined feature is
   kept in the platform's table, for nodes that start or were cut off.  So is
   the evidence while there are several crashes: all nodes may die before one
   has judged, and nodes without links see only a part of it.

   A feature becomes sound again when a request with it is answered.  Requests
   that were sent before may do that; otherwise single trials, which a node
   claims in the table, so that the fleet makes one at a time.  The pause
   before a trial grows with each.  It starts short for a feature that had been
   answered before, which is more likely to be blamed wrongly.

   A state machine without I/O; one thread.  */

#ifndef PARSLEYRILL_QUARANTINE_H
#define PARSLEYRILL_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include "action.h"
#include "blame.h"

#define QUARANTINE_TRIAL_MS 60000  /* before the first trial */
#define QUARANTINE_RETRIAL_MS 3000 /* the same for one answered before */
#define QUARANTINE_TRIAL_FACTOR 8  /* of one pause to the next */
#define QUARANTINE_TRIAL_MAX_MS 3600000
#define QUARANTINE_CLAIM_MS 500 /* until a claim is decided */
#define QUARANTINE_MAX 4096     /* features */
/* A node that has just started may not know yet what was answered, and adopts
   only the judgment of others.  */
#define QUARANTINE_START_MS 2500
#define QUARANTINE_EVIDENCE_MS 200 /* until evidence is kept */
#define QUARANTINE_EVIDENCE_CRASHES                                           \
  2 /* kept if there were so many, within                                     \
     */
#define QUARANTINE_EVIDENCE_AGE_MS 60000

struct quarantine;

/* How far a quarantined feature got.  */
struct quarantine_state
{
  uint64_t feature;
  uint64_t trials; /* claimed */
  bool known_good; /* it had been answered before */
  int64_t age_ms;  /* since it was blamed, or the last trial */
};

enum quarantine_action_type
{
  QUARANTINE_SEND_CRASH,    /* REQUEST ran on ENGINE, which crashed */
  QUARANTINE_SEND_ALIVE,    /* ENGINE did not crash */
  QUARANTINE_SEND_ANSWERED, /* STATE.feature was answered */
  QUARANTINE_SEND_STATE,    /* a feature is quarantined, or had a trial */
  QUARANTINE_SEND_RELEASE,  /* STATE.feature is sound */
  QUARANTINE_STORE,         /* write a row unless there is one */
  QUARANTINE_CLAIM,         /* STATE.trials to be raised by one in the row, if
                               it has that value */
  QUARANTINE_REMOVE,        /* remove the row */
  QUARANTINE_STORE_EVIDENCE /* write what quarantine_each_crash tells */
};

/* NODE: recipient, "" for all; of the QUARANTINE_SEND_* actions.  */
struct quarantine_action
{
  struct action action;
  char node[64];
  uint64_t engine;
  uint64_t features[BLAME_FEATURES_MAX]; /* QUARANTINE_SEND_CRASH */
  size_t feature_count;
  int64_t age_ms; /* of the crash or answer */
  struct quarantine_state state;
};

struct quarantine *quarantine_new (struct timespec now);
void quarantine_free (struct quarantine *quarantine);

struct quarantine_verdict
{
  int rejected_for; /* index of a feature; -1: the request may be sent */
  bool trial;       /* it may be sent once, as a trial */
  int64_t retry_ms; /* if it is rejected: time until a trial */
};

/* Whether REQUEST may be sent.  Takes the trial, if one was claimed, and has
   one claimed when it is due.  */
struct quarantine_verdict
quarantine_check (struct quarantine *quarantine,
                  const struct blame_request *request, struct timespec now,
                  struct action_list *actions);

/* REQUEST ran on ENGINE, the hash of a server's id, and its connection broke
   before an answer began.  */
void quarantine_crashed (struct quarantine *quarantine, uint64_t engine,
                         const struct blame_request *request,
                         struct timespec now, struct action_list *actions);

/* ENGINE responded to a request that was sent at SENT_AT.  */
void quarantine_alive (struct quarantine *quarantine, uint64_t engine,
                       struct timespec sent_at, struct timespec now,
                       struct action_list *actions);

/* A server began to answer REQUEST.  */
void quarantine_answered (struct quarantine *quarantine,
                          const struct blame_request *request,
                          struct timespec now, struct action_list *actions);

/* Messages from peers, or rows.  */
void quarantine_crash_received (struct quarantine *quarantine, uint64_t engine,
                                const struct blame_request *request,
                                int64_t age_ms, struct timespec now,
                                struct action_list *actions);
void quarantine_alive_received (struct quarantine *quarantine, uint64_t engine,
                                int64_t age_ms, struct timespec now);
void quarantine_answered_received (struct quarantine *quarantine,
                                   uint64_t feature, int64_t age_ms,
                                   struct timespec now);
/* Returns whether this changed anything here.  PEER: that sent it, "" if it
   was read from the table.  */
bool quarantine_state_received (struct quarantine *quarantine,
                                const char *peer,
                                const struct quarantine_state *state,
                                struct timespec now,
                                struct action_list *actions);
/* Returns whether FEATURE was quarantined.  */
bool quarantine_released (struct quarantine *quarantine, uint64_t feature);

/* The claim of a trial was decided.  GRANTED: one request may be sent.  */
void quarantine_claimed (struct quarantine *quarantine, uint64_t feature,
                         bool granted, struct timespec now,
                         struct action_list *actions);

/* Sends all that is known to NODE, a peer that has connected.  */
void quarantine_send_all (struct quarantine *quarantine, const char *node,
                          struct timespec now, struct action_list *actions);

/* The table may have lost the rows: writes them again.  */
void quarantine_store_all (struct quarantine *quarantine,
                           struct action_list *actions);

/* Calls EACH for the requests of recent crashes.  */
void quarantine_each_crash (const struct quarantine *quarantine,
                            void (*each) (void *user, uint64_t engine,
                                          const struct blame_request *request,
                                          struct timespec at),
                            void *user);

/* When FEATURE was answered last, see blame_answered_at.  */
struct timespec quarantine_answered_at (const struct quarantine *quarantine,
                                        uint64_t feature);

/* Number of quarantined features.  */
unsigned quarantine_count (const struct quarantine *quarantine);

/* Judges.  Due when a crash was reported, and at quarantine_next.  */
void quarantine_tick (struct quarantine *quarantine, struct timespec now,
                      struct action_list *actions);
struct timespec quarantine_next (const struct quarantine *quarantine);

#endif

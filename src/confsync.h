/* confsync - keeps the configuration of this node up to date.

   The configuration is one document, made of one section per team.  Row
   config/TEAM holds a section; row config, the version row, holds the
   version of the document, which only increases, and the version at which
   each section changed last.  An edit is one transaction that checks the
   version row.  A node applies only a version higher than its own, whatever
   the source, and only a set of sections that matches the list in the version
   row, so that it never mixes two versions.

   Each version also adds a row history/config/VERSION, from which a node
   learns whether an edit whose response was lost took effect.

   A state machine that does no I/O: see action.h.  Control thread only.  */

#ifndef PARSLEYRILL_CONFSYNC_H
#define PARSLEYRILL_CONFSYNC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>
#include <glib.h>
#include "action.h"
#include "confset.h"
#include "confupdate.h"
#include "finding.h"
#include "platform.h"

#define CONFSYNC_HISTORY "history/config/"  /* followed by 20 digits */
#define CONFSYNC_SNAPSHOT "snapshot/config" /* key in the object store */

struct confsync;

struct confsync_options
{
  const char *node;
  uint64_t incarnation;
  struct timespec poll; /* between reads of the version row; zero: 1 s */
  /* Validates document TEXT; returns a negative errno and adds to FINDINGS if
     it is invalid.  NULL: documents are not validated.  */
  int (*check) (void *user, const char *text, size_t length, uint64_t version,
                struct findings *findings);
  void *user;
  GRand *rand; /* borrowed */
};

enum confsync_action_type
{
  CONFSYNC_POLL,         /* scan PREFIX with LIMIT 1, then confsync_polled */
  CONFSYNC_SCAN,         /* scan PREFIX with LIMIT, then confsync_scanned */
  CONFSYNC_TXN,          /* send TXN, then confsync_txn_done with ATTEMPT */
  CONFSYNC_APPLY,        /* TEXT is the whole document of VERSION */
  CONFSYNC_ANNOUNCE,     /* tell all peers that this node has VERSION */
  CONFSYNC_REQUEST,      /* ask peer NODE for changes since VERSION */
  CONFSYNC_SEND_UPDATE,  /* send UPDATE to peer NODE */
  CONFSYNC_EDIT_DONE,    /* edit EDIT is finished: STATUS, VERSION, TEXT */
  CONFSYNC_SNAPSHOT_GET, /* read the snapshot, then confsync_snapshot_read */
  CONFSYNC_SNAPSHOT_PUT  /* store TEXT as the snapshot */
};

enum confsync_status
{
  CONFSYNC_ACCEPTED,    /* written to the table as VERSION */
  CONFSYNC_CONFLICT,    /* the section has changed; TEXT is the current one */
  CONFSYNC_INVALID,     /* TEXT lists the findings */
  CONFSYNC_UNAVAILABLE, /* certainly not accepted: table unreachable */
  CONFSYNC_IN_DOUBT     /* outcome unknown: read the section again */
};

struct confsync_action
{
  struct action action;
  const char *prefix;
  size_t limit;
  uint64_t attempt;
  struct platform_txn txn; /* borrowed until the next call */
  uint64_t version;
  char *text; /* owned by the action */
  char *node; /* owned by the action */
  uint64_t edit;
  enum confsync_status status;
  struct confupdate update; /* owned by the action */
};

struct confsync *confsync_new (const struct confsync_options *options);
void confsync_free (struct confsync *confsync);

/* Whether this node is one of the few of its zone that poll the table at the
   usual interval.  The others poll it rarely.  */
void confsync_set_poller (struct confsync *confsync, bool poller);

void confsync_tick (struct confsync *confsync, struct timespec now,
                    struct action_list *out);
struct timespec confsync_next_tick (const struct confsync *confsync);

void confsync_polled (struct confsync *confsync, enum platform_status status,
                      const struct platform_rows *rows, struct timespec now,
                      struct action_list *out);
void confsync_scanned (struct confsync *confsync, enum platform_status status,
                       const struct platform_rows *rows, struct timespec now,
                       struct action_list *out);
void confsync_txn_done (struct confsync *confsync, uint64_t attempt,
                        enum platform_status status,
                        const struct platform_rows *rows, struct timespec now,
                        struct action_list *out);
/* BYTES NULL: there is no snapshot, or the store cannot be reached.  */
void confsync_snapshot_read (struct confsync *confsync, const char *bytes,
                             size_t length, struct timespec now,
                             struct action_list *out);

/* Peer NODE has VERSION (announced, or seen in a heartbeat).  */
void confsync_peer_version (struct confsync *confsync, const char *node,
                            uint64_t version, struct timespec now,
                            struct action_list *out);
/* Peer NODE requests the changes since SINCE.  */
void confsync_peer_request (struct confsync *confsync, const char *node,
                            uint64_t since, struct action_list *out);
void confsync_peer_update (struct confsync *confsync, const char *node,
                           const struct confupdate *update,
                           struct timespec now, struct action_list *out);

/* Starts an operator's edit: TEXT replaces TEAM's section (NULL removes it) if
   that still has version BASE (0: there is none).  EDIT is a number chosen by
   the caller; exactly one CONFSYNC_EDIT_DONE returns it.  */
void confsync_edit (struct confsync *confsync, uint64_t edit, const char *team,
                    const char *text, uint64_t base, struct timespec now,
                    struct action_list *out);

uint64_t confsync_version (const struct confsync *confsync); /* 0: none */
/* TEAM's section in the applied version; NULL if there is none.  */
const struct confsync_section *
confsync_section (const struct confsync *confsync, const char *team);

#endif

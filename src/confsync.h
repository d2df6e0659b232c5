/* confsync - which version of the configuration is in force at this node.

   Rows: config/TEAM holds a section, config holds the document's version,
   which only grows, and the version at which each section changed last.  An
   edit is one transaction that checks both rows.  A node applies only a
   version higher than its own, wherever it comes from, and only a set of
   sections that agrees with the list in the version row, so that it never
   mixes two versions.

   Each version leaves a row history/config/VERSION, which also tells whether
   an edit whose answer was lost took effect.

   Pure decider: see action.h.  Control thread only.  */

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

#define CONFSYNC_HISTORY "history/config/"  /* and 20 digits */
#define CONFSYNC_SNAPSHOT "snapshot/config" /* key in the object store */

struct confsync;

struct confsync_options
{
  const char *node;
  uint64_t incarnation;
  struct timespec poll; /* zero: 1 s; between reads of the version row */
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
  CONFSYNC_TELL,         /* peers: this node has VERSION */
  CONFSYNC_ASK,          /* peer NODE: send what is newer than VERSION */
  CONFSYNC_SEND,         /* peer NODE: UPDATE */
  CONFSYNC_ANSWER,       /* an edit is over: EDIT, STATUS, VERSION, TEXT */
  CONFSYNC_SNAPSHOT_GET, /* read the snapshot, then confsync_snapshot */
  CONFSYNC_SNAPSHOT_PUT  /* store TEXT as the snapshot */
};

enum confsync_status
{
  CONFSYNC_ACCEPTED, /* in the table; VERSION */
  CONFSYNC_CONFLICT, /* the section changed since; TEXT says what is there */
  CONFSYNC_INVALID,  /* TEXT lists the findings */
  CONFSYNC_UNAVAILABLE, /* surely not accepted: the table cannot be asked */
  CONFSYNC_IN_DOUBT     /* the table went away meanwhile: read the section */
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
  struct confsync_update update; /* owned by the action */
};

struct confsync *confsync_new (const struct confsync_options *options);
void confsync_free (struct confsync *confsync);

/* Whether this node is one of the few of its zone that read the table all
   the time.  The others read it rarely.  */
void confsync_set_poller (struct confsync *confsync, bool poller);

void confsync_tick (struct confsync *confsync, struct timespec now,
                    struct action_list *out);
struct timespec confsync_next (const struct confsync *confsync);

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
/* BYTES NULL: there is none, or the store is away.  */
void confsync_snapshot (struct confsync *confsync, const char *bytes,
                        size_t length, struct timespec now,
                        struct action_list *out);

/* Peer NODE has VERSION (told, or seen in a heartbeat).  */
void confsync_peer_version (struct confsync *confsync, const char *node,
                            uint64_t version, struct timespec now,
                            struct action_list *out);
/* Peer NODE asks for what is newer than SINCE.  */
void confsync_peer_ask (struct confsync *confsync, const char *node,
                        uint64_t since, struct action_list *out);
void confsync_peer_update (struct confsync *confsync, const char *node,
                           const struct confsync_update *update,
                           struct timespec now, struct action_list *out);

/* An operator's edit: TEXT replaces TEAM's section (NULL removes it) if that
   is still of version BASE (0: there is none).  EDIT is the caller's number,
   given back with CONFSYNC_ANSWER, exactly once.  */
void confsync_edit (struct confsync *confsync, uint64_t edit, const char *team,
                    const char *text, uint64_t base, struct timespec now,
                    struct action_list *out);

uint64_t confsync_version (const struct confsync *confsync); /* 0: none */
/* The section in force; NULL: none.  */
const struct confsync_section *
confsync_section (const struct confsync *confsync, const char *team);

#endif

/* confedit - an operator's edit of a section, being written to the table.

   Part of confsync; control thread only.  */

#ifndef PARSLEYRILL_CONFEDIT_H
#define PARSLEYRILL_CONFEDIT_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include <ck_queue.h>
#include "confset.h"
#include "platform.h"

/* Key prefix of the history rows; the version follows as 20 digits.  */
#define CONFEDIT_HISTORY "history/config/"

enum confedit_state
{
  CONFEDIT_READING,  /* reading the current rows */
  CONFEDIT_WRITING,  /* the transaction is in flight */
  CONFEDIT_VERIFYING /* reading the history row to learn the outcome */
};

struct confedit
{
  CK_STAILQ_ENTRY (confedit) link;
  uint64_t number; /* identifies the edit */
  char *team;
  char *text;
  uint64_t base; /* section version that the edit replaces; 0: none */
  enum confedit_state state;
  struct timespec started_at;
  struct confset *set; /* the configuration with the edit applied */
  uint64_t attempt;    /* number of the latest platform call for the edit */
  bool sent;           /* the current transaction has been sent */
  bool in_doubt;       /* the transaction may or may not have taken effect */
  char *token;
  char *history_key;
  char *version_row;
  char *section_key;
  char *section;
  char *history;
  struct platform_check check;
  struct platform_write writes[3];
};

void confedit_free (struct confedit *edit);

/* Discards the transaction and keeps the operator's request, for another
   attempt.  */
void confedit_reset (struct confedit *edit);

/* Prepares the transaction that writes edit->set if the version row still has
   ROW_VERSION.  Takes ownership of TOKEN.  */
void confedit_prepare (struct confedit *edit, uint64_t row_version,
                       char *token);

#endif

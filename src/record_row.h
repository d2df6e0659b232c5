/* record_row - keys and JSON encoding of the rows of record.h.  */

#ifndef PARSLEYRILL_RECORD_ROW_H
#define PARSLEYRILL_RECORD_ROW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RECORD_ROW_PREFIX "record/"

enum record_row_state
{
  RECORD_ROW_RUNNING, /* claimed; no outcome yet */
  RECORD_ROW_DONE,    /* has a recorded response */
  RECORD_ROW_UNKNOWN, /* ended with an unknown outcome */
  RECORD_ROW_FREE     /* did not run: may be claimed again */
};

/* A parsed struct owns its strings; free them with record_row_clear.  */
struct record_row
{
  enum record_row_state state;
  uint64_t fingerprint;
  char *claim;  /* unique to one insertion */
  int64_t at_s; /* insertion time, UTC seconds */
  unsigned status;
  char *content_type;
  char *body; /* NULL when empty or in the object store */
  size_t length;
  char *object; /* key in the object store, or NULL */
};

/* Key of the row: record/HASH/TARGET/KEY, with the hash of TARGET/KEY as 16
   hexadecimal digits and both names percent-encoded.  Free with g_free.  */
char *record_row_key (const char *target, const char *key);

/* JSON text of ROW; NULL when the body is not valid UTF-8.  Free with
   g_free.  */
char *record_row_text (const struct record_row *row);

/* The node that created CLAIM, which has the form NODE-START-NUMBER.  Free
   with g_free.  */
char *record_row_node (const char *claim);

/* -EINVAL when TEXT is not a valid row.  */
int record_row_parse (const char *text, struct record_row *row);
void record_row_clear (struct record_row *row);

#endif

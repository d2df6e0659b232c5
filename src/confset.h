/* confset - one version of the configuration: a set of sections.

   Control thread only.  */

#ifndef PARSLEYRILL_CONFSET_H
#define PARSLEYRILL_CONFSET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include "platform.h"

#define CONFSET_ROW "config"     /* key of the version row */
#define CONFSET_PREFIX "config/" /* key prefix of the section rows */

struct confsync_section
{
  char *team;
  char *text;       /* JSON text of the section */
  uint64_t version; /* of the document that changed the section last */
};

struct confset
{
  uint64_t version;    /* 0: no configuration */
  GPtrArray *sections; /* struct confsync_section, sorted by team */
};

struct confset *confset_new (void);
void confset_free (struct confset *set);
struct confset *confset_copy (const struct confset *set);

struct confsync_section *confset_find (const struct confset *set,
                                       const char *team);

/* Sets TEAM's section; TEXT NULL removes it.  */
void confset_put (struct confset *set, const char *team, const char *text,
                  uint64_t version);

/* The set stored in ROWS; NULL if the sections do not match the list in the
   version row.  Without a version row: the empty set of version 0.  */
struct confset *confset_from_rows (const struct platform_rows *rows);

/* Version in VALUE, the text of a version row; 0 if it is invalid.  */
uint64_t confset_row_version (const char *value);

/* Texts of the version row and of a section's row; free with g_free.  */
char *confset_version_row_text (const struct confset *set);
char *confset_section_row_text (const struct confsync_section *section);

/* Text of the history row of a change; SECTION NULL: removed.  Free with
   g_free.  */
char *confset_history_row_text (const char *team,
                                const struct confsync_section *section);

/* Whether A and B are the same JSON value, whatever their formatting.  */
bool confset_same_section (const char *a, const char *b);

/* The whole document as JSON; free with g_free.  */
char *confset_document (const struct confset *set);

/* Converts the set to one JSON text, freed with g_free, and back; NULL if
   BYTES are not a valid snapshot.  */
char *confset_snapshot (const struct confset *set);
struct confset *confset_from_snapshot (const char *bytes, size_t length);

#endif

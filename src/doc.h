/* doc - the operators' configuration document, parsed and validated.

   The document is one JSON object; each of its "sections" is owned by a team.
   A struct doc is immutable and reference-counted; doc_ref and doc_unref may
   be called from any thread.

   Names end in their units: _mb is 2^20 bytes, _ms milliseconds.  */

#ifndef PARSLEYRILL_DOC_H
#define PARSLEYRILL_DOC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "finding.h"

enum doc_pool_kind
{
  DOC_POOL_ENGINES, /* model engines */
  DOC_POOL_SERVICES /* plain services */
};

struct doc_team
{
  char *name;
  double cold_weight;   /* 0: minimize only idle accelerator hours, 1: only
                           tail cold-start time */
  unsigned max_waiting; /* requests of the team queued at one node */
};

struct doc_pool
{
  char *name; /* as in the instance list */
  char *team;
  enum doc_pool_kind kind;
  bool checks_fence; /* its engines reject old fencing tokens */
};

struct doc_model
{
  char *name;
  char *team;
  char *pool;
  char *version;
  uint64_t memory_mb;
  uint64_t kv_reserve_mb; /* kept free beside each replica for its KV cache */
  unsigned max_replicas;
  unsigned min_replicas; /* kept loaded; usually 0 */
  unsigned priority;     /* 0 lowest to 9 highest */
  unsigned max_waiting;  /* requests queued at one node */
  bool non_idempotent;   /* a completion has side effects: run at most once */
};

struct doc_adapter
{
  char *name;
  char *team;
  char *model; /* base model */
  char *version;
  uint64_t memory_mb;
  unsigned priority;
  bool non_idempotent;
};

/* Matches requests to a service that must not be repeated: METHOD ("*": any)
   and a prefix of the path after /v1/services/NAME.  */
struct doc_rule
{
  char *method;
  char *path_prefix;
};

struct doc_service
{
  char *name;
  char *team;
  char *pool;
  unsigned priority;
  struct doc_rule *non_idempotent;
  size_t rule_count;
};

/* All arrays are sorted by name.  */
struct doc
{
  uint64_t version; /* of the whole document; 0 when read from a file */
  unsigned refs;
  struct doc_team *teams;
  size_t team_count;
  struct doc_pool *pools;
  size_t pool_count;
  struct doc_model *models;
  size_t model_count;
  struct doc_adapter *adapters;
  size_t adapter_count;
  struct doc_service *services;
  size_t service_count;
  char *text; /* the document as canonical JSON: compact, keys sorted */
};

/* Parses and validates a document and adds every finding, each with its JSON
   pointer (or line:column for a syntax error).  0 and *OUT, or -EINVAL.  */
int doc_parse (const char *text, size_t length, uint64_t version,
               struct doc **out, struct findings *findings);

struct doc *doc_ref (struct doc *doc);
void doc_unref (struct doc *doc);

/* One team's section as JSON text.  */
struct doc_section
{
  const char *team;
  const char *text;
};

/* Builds the text of a document from SECTIONS.  Checks only that each section
   is valid JSON.  0 and *TEXT, freed with g_free, or -EINVAL and findings
   under TEAM:line:column.  */
int doc_assemble (const struct doc_section *sections, size_t count,
                  char **text, struct findings *findings);

/* The canonical text of TEAM's section, freed with g_free; NULL if there is
   none.  */
char *doc_section_text (const struct doc *doc, const char *team);

/* Find an entry by name; NULL if there is none.  */
const struct doc_team *doc_team (const struct doc *doc, const char *name);
const struct doc_pool *doc_pool (const struct doc *doc, const char *name);
const struct doc_model *doc_model (const struct doc *doc, const char *name);
const struct doc_adapter *doc_adapter (const struct doc *doc,
                                       const char *name);
const struct doc_service *doc_service (const struct doc *doc,
                                       const char *name);

/* Whether METHOD on PATH of SERVICE must not be repeated.  A PATH with empty,
   "." or ".." segments, or with "%", matches every prefix.  */
bool doc_service_non_idempotent (const struct doc_service *service,
                                 const char *method, const char *path);

#endif

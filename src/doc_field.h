/* doc_field - reads the fields of a JSON object into a struct, as described by
   a table.

   A field that is missing, of the wrong type, out of range or unknown adds a
   finding with its JSON pointer; the other fields are read nevertheless.  */

#ifndef PARSLEYRILL_DOC_FIELD_H
#define PARSLEYRILL_DOC_FIELD_H

#include <stdbool.h>
#include <stddef.h>
#include <jansson.h>
#include "finding.h"

enum doc_field_kind
{
  DOC_FIELD_UNSIGNED, /* unsigned */
  DOC_FIELD_U64,      /* uint64_t */
  DOC_FIELD_REAL,     /* double */
  DOC_FIELD_BOOL,     /* bool */
  DOC_FIELD_NAME,     /* char *, a valid name, see doc_field_is_name */
  DOC_FIELD_OTHER     /* known, but read by the caller */
};

struct doc_field
{
  const char *name; /* NULL ends a table */
  enum doc_field_kind kind;
  bool required;
  size_t offset; /* of the member in the struct */
  double min;
  double max;
  double default_value; /* value of a number or bool that is missing */
};

#define DOC_NAME_MAX 64 /* bytes */

/* Whether TEXT is 1 to DOC_NAME_MAX letters, digits, '.', '_' and '-' and
   begins with a letter or digit.  */
bool doc_field_is_name (const char *text);

/* POINTER/KEY with KEY escaped as in RFC 6901; free with g_free.  */
char *doc_field_pointer (const char *pointer, const char *key);

/* Reads OBJECT into the zeroed struct INTO; names are newly allocated.  */
void doc_field_read (const struct doc_field *fields, const json_t *object,
                     const char *pointer, void *into,
                     struct findings *findings);

/* Whether JSON is an object; adds a finding if not.  */
bool doc_field_object (const json_t *json, const char *pointer,
                       struct findings *findings);

#endif

#include "doc_field.h"

#include <stdarg.h>
#include <stdint.h>
#include <string.h>
#include <glib.h>

bool
doc_field_is_name (const char *text)
{
  size_t length = strlen (text);

  if (length == 0 || length > DOC_NAME_MAX || !g_ascii_isalnum (*text))
    return false;
  for (; *text != '\0'; text++)
    {
      if (!g_ascii_isalnum (*text) && strchr ("._-", *text) == NULL)
        return false;
    }
  return true;
}

char *
doc_field_pointer (const char *pointer, const char *key)
{
  GString *text = g_string_new (pointer);

  g_string_append_c (text, '/');
  for (; *key != '\0'; key++)
    {
      if (*key == '~')
        g_string_append (text, "~0");
      else if (*key == '/')
        g_string_append (text, "~1");
      else
        g_string_append_c (text, *key);
    }
  return g_string_free (text, FALSE);
}

bool
doc_field_object (const json_t *json, const char *pointer,
                  struct findings *findings)
{
  if (json_is_object (json))
    return true;
  findings_add (findings, pointer, "must be an object");
  return false;
}

/* Adds a finding for KEY of the object at POINTER.  */
static void __attribute__ ((format (printf, 4, 5)))
add_field_finding (struct findings *findings, const char *pointer,
                   const char *key, const char *format, ...)
{
  char *place = doc_field_pointer (pointer, key);
  va_list ap;
  char *text;

  va_start (ap, format);
  text = g_strdup_vprintf (format, ap);
  va_end (ap);
  findings_add (findings, place, "%s", text);
  g_free (text);
  g_free (place);
}

static void
store_number (const struct doc_field *field, double value, void *target)
{
  if (field->kind == DOC_FIELD_UNSIGNED)
    *(unsigned *)target = (unsigned)value;
  else if (field->kind == DOC_FIELD_U64)
    *(uint64_t *)target = (uint64_t)value;
  else if (field->kind == DOC_FIELD_REAL)
    *(double *)target = value;
  else if (field->kind == DOC_FIELD_BOOL)
    *(bool *)target = value != 0;
}

static void
read_number (const struct doc_field *field, const json_t *value,
             const char *pointer, void *target, struct findings *findings)
{
  bool real = field->kind == DOC_FIELD_REAL;
  double number = json_number_value (value);

  if (!json_is_number (value) || (!real && !json_is_integer (value)))
    add_field_finding (findings, pointer, field->name, "must be %s",
                       real ? "a number" : "an integer");
  else if (!(number >= field->min && number <= field->max))
    add_field_finding (findings, pointer, field->name,
                       "must be in the range %g to %.15g", field->min,
                       field->max);
  else
    store_number (field, number, target);
}

static void
read_name (const struct doc_field *field, const json_t *value,
           const char *pointer, char **target, struct findings *findings)
{
  if (!json_is_string (value))
    add_field_finding (findings, pointer, field->name, "must be a string");
  else if (!doc_field_is_name (json_string_value (value)))
    add_field_finding (
        findings, pointer, field->name,
        "must be 1 to %d letters, digits, '.', '_' or '-', starting with a "
        "letter or digit",
        DOC_NAME_MAX);
  else
    *target = g_strdup (json_string_value (value));
}

static void
read_bool (const struct doc_field *field, const json_t *value,
           const char *pointer, bool *target, struct findings *findings)
{
  if (!json_is_boolean (value))
    add_field_finding (findings, pointer, field->name, "must be a boolean");
  else
    *target = json_is_true (value);
}

static void
read_value (const struct doc_field *field, const json_t *value,
            const char *pointer, void *target, struct findings *findings)
{
  if (field->kind == DOC_FIELD_BOOL)
    read_bool (field, value, pointer, target, findings);
  else if (field->kind == DOC_FIELD_NAME)
    read_name (field, value, pointer, target, findings);
  else if (field->kind != DOC_FIELD_OTHER)
    read_number (field, value, pointer, target, findings);
}

static void
read_field (const struct doc_field *field, const json_t *object,
            const char *pointer, void *into, struct findings *findings)
{
  const json_t *value = json_object_get (object, field->name);
  void *target = (char *)into + field->offset;

  store_number (field, field->default_value, target);
  if (value != NULL)
    read_value (field, value, pointer, target, findings);
  else if (field->required)
    add_field_finding (findings, pointer, field->name, "is missing");
}

static bool
is_known (const struct doc_field *fields, const char *name)
{
  for (; fields->name != NULL; fields++)
    {
      if (strcmp (fields->name, name) == 0)
        return true;
    }
  return false;
}

void
doc_field_read (const struct doc_field *fields, const json_t *object,
                const char *pointer, void *into, struct findings *findings)
{
  const char *key;
  json_t *value;

  for (const struct doc_field *field = fields; field->name != NULL; field++)
    read_field (field, object, pointer, into, findings);
  json_object_foreach ((json_t *)object, key, value)
    {
      if (!is_known (fields, key))
        add_field_finding (findings, pointer, key, "is an unknown field");
    }
}

#include "field.h"

#include <string.h>
#include <glib.h>

#define LENGTH_DIGITS_MAX 18

bool
field_is_token (const char *text, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (!g_ascii_isalnum (text[i])
        && (text[i] == '\0' || strchr ("!#$%&'*+-.^_`|~", text[i]) == NULL))
      return false;
  return length > 0;
}

bool
field_has_control (const char *text, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (g_ascii_iscntrl (text[i]) && text[i] != '\t')
      return true;
  return false;
}

bool
field_is_length (const char *text, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (!g_ascii_isdigit (text[i]))
      return false;
  return length > 0 && length <= LENGTH_DIGITS_MAX;
}

bool
field_equals (const char *text, size_t length, const char *name)
{
  return length == strlen (name)
         && g_ascii_strncasecmp (text, name, length) == 0;
}

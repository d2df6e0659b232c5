#include "api_skim.h"

#include <stdbool.h>
#include <string.h>
#include <glib.h>

struct skim
{
  const char *at;
  const char *end;
};

static void
skip_space (struct skim *skim)
{
  while (skim->at < skim->end && *skim->at != '\0'
         && strchr (" \t\r\n", *skim->at) != NULL)
    skim->at++;
}

static bool
skip_byte (struct skim *skim, char byte)
{
  skip_space (skim);
  if (skim->at == skim->end || *skim->at != byte)
    return false;
  skim->at++;
  return true;
}

static bool
skip_escape (struct skim *skim)
{
  if (skim->at == skim->end)
    return false;
  if (*skim->at != 'u')
    return *skim->at != '\0' && strchr ("\"\\/bfnrt", *skim->at++) != NULL;
  skim->at++;
  for (int i = 0; i < 4; i++, skim->at++)
    if (skim->at == skim->end || !g_ascii_isxdigit (*skim->at))
      return false;
  return true;
}

static bool
skip_string (struct skim *skim)
{
  if (!skip_byte (skim, '"'))
    return false;
  while (skim->at < skim->end)
    {
      unsigned char c = (unsigned char)*skim->at++;

      if (c == '"')
        return true;
      if (c < ' ' || (c == '\\' && !skip_escape (skim)))
        return false;
    }
  return false;
}

static bool
skip_digits (struct skim *skim)
{
  const char *from = skim->at;

  while (skim->at < skim->end && g_ascii_isdigit (*skim->at))
    skim->at++;
  return skim->at > from;
}

static bool
skip_number (struct skim *skim)
{
  if (*skim->at == '-')
    skim->at++;
  if (skim->at < skim->end && *skim->at == '0')
    skim->at++;
  else if (!skip_digits (skim))
    return false;
  if (skim->at < skim->end && *skim->at == '.')
    {
      skim->at++;
      if (!skip_digits (skim))
        return false;
    }
  if (skim->at == skim->end || (*skim->at != 'e' && *skim->at != 'E'))
    return true;
  skim->at++;
  if (skim->at < skim->end && (*skim->at == '+' || *skim->at == '-'))
    skim->at++;
  return skip_digits (skim);
}

static bool
skip_word (struct skim *skim)
{
  static const char *const words[] = { "true", "false", "null" };

  for (size_t i = 0; i < G_N_ELEMENTS (words); i++)
    {
      size_t n = strlen (words[i]);

      if ((size_t)(skim->end - skim->at) >= n
          && memcmp (skim->at, words[i], n) == 0)
        {
          skim->at += n;
          return true;
        }
    }
  return false;
}

static bool
skip_scalar (struct skim *skim)
{
  skip_space (skim);
  if (skim->at == skim->end)
    return false;
  if (*skim->at == '"')
    return skip_string (skim);
  if (*skim->at == '-' || g_ascii_isdigit (*skim->at))
    return skip_number (skim);
  return skip_word (skim);
}

static bool
skip_name (struct skim *skim)
{
  return skip_string (skim) && skip_byte (skim, ':');
}

/* Skips what closes containers, and what separates two values.  Returns
   whether the text is valid; *DEPTH may become 0.  */
static bool
skip_to_next (struct skim *skim, const char *closers, size_t *depth)
{
  while (*depth > 0 && skip_byte (skim, closers[*depth - 1]))
    (*depth)--;
  if (*depth == 0)
    return true;
  return skip_byte (skim, ',')
         && (closers[*depth - 1] == ']' || skip_name (skim));
}

/* Skips an array or object.  */
static bool
skip_container (struct skim *skim)
{
  char closers[API_SKIM_DEPTH_MAX];
  size_t depth = 0;

  do
    {
      bool is_array = skip_byte (skim, '[');
      bool is_object = !is_array && skip_byte (skim, '{');

      if ((is_array || is_object) && depth == API_SKIM_DEPTH_MAX)
        return false;
      if (is_array || is_object)
        closers[depth++] = is_array ? ']' : '}';
      else if (!skip_scalar (skim))
        return false;
      if ((is_array || is_object) && !skip_byte (skim, closers[depth - 1]))
        {
          if (is_object && !skip_name (skim))
            return false;
          continue;
        }
      if (is_array || is_object)
        depth--;
      if (!skip_to_next (skim, closers, &depth))
        return false;
    }
  while (depth > 0);
  return true;
}

static bool
skip_value (struct skim *skim)
{
  skip_space (skim);
  if (skim->at < skim->end && (*skim->at == '[' || *skim->at == '{'))
    return skip_container (skim);
  return skip_scalar (skim);
}

/* Appends the outline of one member's value.  */
static bool
skim_value (struct skim *skim, GString *out)
{
  const char *from;

  skip_space (skim);
  from = skim->at;
  if (from == skim->end || (*from != '[' && *from != '{'))
    {
      bool valid = skip_scalar (skim);

      g_string_append_len (out, from, skim->at - from);
      return valid;
    }
  if (!skip_container (skim))
    return false;
  if (*from == '{')
    g_string_append (out, "{}");
  else
    {
      struct skim first = { .at = from + 1, .end = skim->end };

      g_string_append (out, skip_byte (&first, ']') ? "[]" : "[0]");
    }
  return true;
}

/* Whether the member whose name is in the N bytes at NAME, with its quotes and
   what follows up to the value, matters.  */
static bool
matters (const char *name, size_t n, const char *const *names)
{
  if (names == NULL || memchr (name, '\\', n) != NULL)
    return true;
  for (; *names != NULL; names++)
    {
      size_t length = strlen (*names);

      if (n > length + 1 && memcmp (name + 1, *names, length) == 0
          && name[length + 1] == '"')
        return true;
    }
  return false;
}

static bool
skim_member (struct skim *skim, const char *const *names, GString *out,
             unsigned *count)
{
  gsize before = out->len;
  const char *name;

  skip_space (skim);
  name = skim->at;
  if (!skip_name (skim))
    return false;
  if (*count > 0)
    g_string_append_c (out, ',');
  g_string_append_len (out, name, skim->at - name);
  if (!matters (name, (size_t)(skim->at - name), names))
    {
      g_string_truncate (out, before);
      return skip_value (skim);
    }
  return ++*count <= API_SKIM_MEMBERS_MAX && skim_value (skim, out);
}

static bool
skim_members (struct skim *skim, const char *const *names, GString *out)
{
  unsigned count = 0;

  do
    if (!skim_member (skim, names, out, &count))
      return false;
  while (skip_byte (skim, ','));
  return skip_byte (skim, '}');
}

char *
api_skim (const char *text, size_t length, const char *const *names)
{
  struct skim skim = { .at = text, .end = text + length };
  GString *out;
  bool valid;

  if (!g_utf8_validate (text, (gssize)length, NULL) || !skip_byte (&skim, '{'))
    return NULL;
  out = g_string_new ("{");
  valid = skip_byte (&skim, '}') || skim_members (&skim, names, out);
  skip_space (&skim);
  g_string_append_c (out, '}');
  return g_string_free (out, !valid || skim.at != skim.end);
}

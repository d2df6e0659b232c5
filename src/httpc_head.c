#include "httpc_head.h"

#include <string.h>
#include "field.h"

#define STATUS_LINE_BEGIN "HTTP/"
#define INTERIM_STATUS_BEGIN " 1"

static bool
check_framing (struct httpc_head *head, const char *line, size_t name_length,
               const char *value, size_t length)
{
  if (field_equals (line, name_length, "Content-Length"))
    {
      head->lengths++;
      if (!field_is_length (value, length))
        return false;
    }
  else if (field_equals (line, name_length, "Transfer-Encoding"))
    {
      head->codings++;
      if (!field_equals (value, length, "chunked"))
        return false;
    }
  return head->lengths + head->codings <= 1;
}

static void
begin_head (struct httpc_head *head, const char *line, size_t length)
{
  const char *status = memchr (line, ' ', length);
  size_t n = strlen (INTERIM_STATUS_BEGIN);

  *head = (struct httpc_head){ .begun = true };
  head->interim = status != NULL && (size_t)(line + length - status) > n
                  && memcmp (status, INTERIM_STATUS_BEGIN, n) == 0;
}

bool
httpc_head_line (struct httpc_head *head, const char *line, size_t length)
{
  const char *end = line + length - 2;
  const char *value;
  const char *colon;

  if (length < 2 || memcmp (end, "\r\n", 2) != 0
      || field_has_control (line, length - 2))
    return false;
  if (end == line)
    {
      head->begun = false;
      head->ended = !head->interim;
      return true;
    }
  if (!head->begun && !head->ended && length > strlen (STATUS_LINE_BEGIN)
      && memcmp (line, STATUS_LINE_BEGIN, strlen (STATUS_LINE_BEGIN)) == 0)
    {
      begin_head (head, line, length);
      return true;
    }
  colon = memchr (line, ':', (size_t)(end - line));
  if (colon == NULL || !field_is_token (line, (size_t)(colon - line)))
    return false;
  for (value = colon + 1; value < end && (*value == ' ' || *value == '\t');)
    value++;
  while (end > value && (end[-1] == ' ' || end[-1] == '\t'))
    end--;
  return check_framing (head, line, (size_t)(colon - line), value,
                        (size_t)(end - value));
}

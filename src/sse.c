#include "sse.h"

#include <errno.h>
#include <string.h>

#define DONE_EVENT "data: [DONE]"
#define EVENT_STREAM "text/event-stream"

void
sse_init (struct sse *sse, bool has_closing_event)
{
  memset (sse, 0, sizeof *sse);
  sse->has_closing_event = has_closing_event;
}

void
sse_continue (struct sse *sse, uint64_t last_id)
{
  sse->continues = true;
  sse->has_id = true;
  sse->last_id = last_id;
}

bool
sse_is_stream (const char *content_type)
{
  return g_ascii_strncasecmp (content_type, EVENT_STREAM,
                              sizeof EVENT_STREAM - 1)
         == 0;
}

bool
sse_is_truncated (const char *rest, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (rest[i] != '\r' && rest[i] != '\n')
      return true;
  return false;
}

/* Length of the event at BYTES, including its empty line; 0 if incomplete.  */
static size_t
event_length (const char *bytes, size_t length, size_t from)
{
  const char *at = bytes + from;
  const char *end = bytes + length;

  while ((at = memchr (at, '\n', (size_t)(end - at))) != NULL)
    {
      at++;
      if (at < end && *at == '\n')
        return (size_t)(at + 1 - bytes);
      if (at + 1 < end && at[0] == '\r' && at[1] == '\n')
        return (size_t)(at + 2 - bytes);
    }
  return 0;
}

static bool
is_done_event (const char *event, size_t length)
{
  size_t n = sizeof DONE_EVENT - 1;

  return length > n && memcmp (event, DONE_EVENT, n) == 0
         && (event[n] == '\n' || event[n] == '\r');
}

/* Parses the value of an id field.  */
static bool
parse_id (const char *value, const char *end, uint64_t *id)
{
  const char *at = value;

  while (at < end && *at == ' ')
    at++;
  value = at;
  while (at < end && g_ascii_isdigit (*at))
    at++;
  if (at == value || (at < end && *at != '\r' && *at != '\n'))
    return false;
  *id = g_ascii_strtoull (value, NULL, 10);
  return true;
}

/* Remembers the id of the event; a client sends the last one to resume the
   stream.  Lines that begin with a colon are comments.  */
static int
note_event (struct sse *sse, const char *event, size_t length)
{
  const char *line = event;
  const char *end = event + length;
  bool is_comment = true;
  bool has_id = false;
  uint64_t id = 0;

  while (line < end)
    {
      const char *next = memchr (line, '\n', (size_t)(end - line));

      if (*line != ':' && *line != '\r' && *line != '\n')
        is_comment = false;
      if (end - line > 3 && memcmp (line, "id:", 3) == 0)
        has_id = parse_id (line + 3, end, &id);
      line = next != NULL ? next + 1 : end;
    }
  if (is_comment)
    return 0;
  if (sse->continues && (!has_id || id <= sse->last_id))
    return -EPROTO;
  sse->has_id = has_id;
  if (has_id)
    sse->last_id = id;
  return 0;
}

/* The bytes kept from before contain no complete event, but may end within
   an empty line.  */
static size_t
scan_from (const struct sse *sse)
{
  return sse->partial > 3 ? sse->partial - 3 : 0;
}

int64_t
sse_scan (struct sse *sse, const char *bytes, size_t length)
{
  size_t from = scan_from (sse);
  size_t passed = 0;
  size_t n;

  while ((n = event_length (bytes + passed, length - passed, from)) > 0)
    {
      if (sse->complete)
        return -EPROTO;
      if (sse->has_closing_event && is_done_event (bytes + passed, n))
        sse->complete = true;
      else if (note_event (sse, bytes + passed, n) < 0)
        return -EPROTO;
      else
        sse->events++;
      passed += n;
      from = 0;
    }
  sse->partial = length - passed;
  if (sse->complete && sse->partial > 0)
    return -EPROTO;
  return sse->partial > SSE_EVENT_MAX ? -EMSGSIZE : (int64_t)passed;
}

int
sse_forward (struct sse *sse, GString *partial, const char *bytes, size_t n,
             int (*sink) (void *user, const char *bytes, size_t n), void *user)
{
  size_t before = partial->len;
  struct sse after = *sse;
  int64_t passed;
  int err = 0;

  g_string_append_len (partial, bytes, (gssize)n);
  passed = sse_scan (&after, partial->str, partial->len);
  if (passed < 0)
    return (int)passed;
  if (passed > 0)
    err = sink (user, partial->str, (size_t)passed);
  if (err < 0)
    {
      g_string_truncate (partial, before);
      return err;
    }
  g_string_erase (partial, 0, (gssize)passed);
  *sse = after;
  return 0;
}

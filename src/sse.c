#include "sse.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define DONE_EVENT "data: [DONE]"
#define EVENT_STREAM "text/event-stream"

void
sse_init (struct sse *sse, bool has_closing_event)
{
  memset (sse, 0, sizeof *sse);
  sse->has_closing_event = has_closing_event;
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

/* Remembers the id of the last event that has a numeric one; a client
   sends it to resume the stream.  */
static void
note_id (struct sse *sse, const char *event, size_t length)
{
  const char *line = event;
  const char *end = event + length;

  while (line < end)
    {
      const char *next = memchr (line, '\n', (size_t)(end - line));
      char *rest;
      uint64_t id;

      if (end - line > 3 && memcmp (line, "id:", 3) == 0)
        {
          id = strtoull (line + 3, &rest, 10);
          sse->has_id = sse->has_id || rest > line + 3;
          if (rest > line + 3)
            sse->last_id = id;
        }
      line = next != NULL ? next + 1 : end;
    }
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
      else
        {
          sse->events++;
          note_id (sse, bytes + passed, n);
        }
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

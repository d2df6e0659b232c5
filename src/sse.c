#include "sse.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define CLOSING "data: [DONE]"

void
relay_init (struct relay *relay)
{
  memset (relay, 0, sizeof *relay);
}

/* Length of the event at BYTES with its empty line; 0: not whole.  */
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
is_closing (const char *event, size_t length)
{
  size_t n = sizeof CLOSING - 1;

  return length > n && memcmp (event, CLOSING, n) == 0
         && (event[n] == '\n' || event[n] == '\r');
}

/* The id of the last event that has one: a client gives it to go on.  */
static void
note_id (struct relay *relay, const char *event, size_t length)
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
          relay->has_id = relay->has_id || rest > line + 3;
          if (rest > line + 3)
            relay->last_id = id;
        }
      line = next != NULL ? next + 1 : end;
    }
}

/* What was held has no whole event, but may end within an empty line.  */
static size_t
scan_from (const struct relay *relay)
{
  return relay->held > 3 ? relay->held - 3 : 0;
}

int64_t
relay_scan (struct relay *relay, const char *bytes, size_t length)
{
  size_t from = scan_from (relay);
  size_t passed = 0;
  size_t n;

  while ((n = event_length (bytes + passed, length - passed, from)) > 0)
    {
      if (relay->whole)
        return -EPROTO;
      if (is_closing (bytes + passed, n))
        relay->whole = true;
      else
        {
          relay->events++;
          note_id (relay, bytes + passed, n);
        }
      passed += n;
      from = 0;
    }
  relay->held = length - passed;
  if (relay->whole && relay->held > 0)
    return -EPROTO;
  return relay->held > RELAY_EVENT_MAX ? -EMSGSIZE : (int64_t)passed;
}

int
relay_pass (struct relay *relay, GString *held, const char *bytes, size_t n,
            int (*sink) (void *user, const char *bytes, size_t n), void *user)
{
  size_t before = held->len;
  struct relay after = *relay;
  int64_t passed;
  int err = 0;

  g_string_append_len (held, bytes, (gssize)n);
  passed = relay_scan (&after, held->str, held->len);
  if (passed < 0)
    return (int)passed;
  if (passed > 0)
    err = sink (user, held->str, (size_t)passed);
  if (err < 0)
    {
      g_string_truncate (held, before);
      return err;
    }
  g_string_erase (held, 0, (gssize)passed);
  *relay = after;
  return 0;
}

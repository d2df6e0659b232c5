/* relay - whether the answer of a backend server is whole.

   Scans server-sent events as they pass: bytes are let through in whole
   events only, so that a cut stream ends between two events, and the stream
   is whole when its last event is "data: [DONE]".  Does no I/O.  */

#ifndef PARSLEYRILL_RELAY_H
#define PARSLEYRILL_RELAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

#define RELAY_EVENT_MAX (1u << 20) /* bytes of one event */

struct relay
{
  uint64_t events; /* let through, the closing one not counted */
  bool whole;      /* the closing event was seen */
  size_t held;     /* bytes at the end that are no whole event yet */
  bool has_id;     /* an event let through had a number as its id */
  uint64_t last_id;
};

void relay_init (struct relay *relay);

/* BYTES are what was held before plus what came now.  Returns how many of
   them to let through; the rest is to be held and given again.  -EMSGSIZE
   when an event is too long, -EPROTO when bytes follow the closing event.  */
int64_t relay_scan (struct relay *relay, const char *bytes, size_t length);

/* Takes N bytes that came: HELD and they are scanned, SINK is given what may
   be let through, and HELD keeps the rest.  When SINK fails, nothing has been
   taken and its negative errno is returned.  */
int relay_pass (struct relay *relay, GString *held, const char *bytes,
                size_t n,
                int (*sink) (void *user, const char *bytes, size_t n),
                void *user);

#endif

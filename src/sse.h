/* sse - checks that a stream of server-sent events is complete.

   Bytes are passed on in complete events only, so that a truncated stream
   ends between two events.  Where the protocol has a closing event, a stream
   is complete when its last event is "data: [DONE]".  Does no I/O.  */

#ifndef PARSLEYRILL_SSE_H
#define PARSLEYRILL_SSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

#define SSE_EVENT_MAX (1u << 20) /* bytes of one event */

struct sse
{
  bool has_closing_event;
  uint64_t events; /* passed on, not counting the closing one */
  bool complete;   /* the closing event was received */
  size_t partial;  /* bytes of an incomplete event at the end */
  bool has_id;     /* the last event, comments aside, has a numeric id */
  bool continues;  /* see sse_continue */
  uint64_t last_id;
};

void sse_init (struct sse *sse, bool has_closing_event);

/* The stream continues one that has been passed on up to the event LAST_ID.
   Each of its events must have a higher id than the one before; comments need
   none.  */
void sse_continue (struct sse *sse, uint64_t last_id);

/* Whether CONTENT_TYPE is that of a stream of events.  */
bool sse_is_stream (const char *content_type);

/* Whether a stream that ends with REST, the bytes behind its last complete
   event, was truncated.  Empty lines belong to no event.  */
bool sse_is_truncated (const char *rest, size_t length);

/* BYTES are the bytes kept from before followed by new ones.  Returns how
   many of them to pass on; the caller keeps the rest and supplies it
   again.  -EMSGSIZE when an event is too long, -EPROTO when bytes follow
   the closing event, or when an event does not continue the stream.  */
int64_t sse_scan (struct sse *sse, const char *bytes, size_t length);

/* Processes N new bytes: scans PARTIAL followed by them, passes complete
   events to SINK, and keeps the rest in PARTIAL.  When SINK fails, no
   input is consumed and its negative errno is returned.  */
int sse_forward (struct sse *sse, GString *partial, const char *bytes,
                 size_t n,
                 int (*sink) (void *user, const char *bytes, size_t n),
                 void *user);

#endif

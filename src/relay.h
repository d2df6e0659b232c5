/* relay - the value of CALLER_RELAY_HEADER (caller.h): what nodes tell each
   other of a request that one has passed on.

   Both nodes must judge the request by the same version of the configuration.
   The first node owns the attempts of the request.  It tells the second one
   how many may run there, how often the request was sent before and which
   servers failed it; the second one tells the same of itself.  Nodes of peer
   protocol 1 (frame.h) put their id alone into a request, and at most
   "unreached" into a response; unknown fields are ignored.

   Pure functions, any thread.  */

#ifndef PARSLEYRILL_RELAY_H
#define PARSLEYRILL_RELAY_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#define RELAY_PROTOCOL 2   /* of a node that counts attempts, see frame.h */
#define RELAY_TRIED_MAX 16 /* servers that are told */

struct relay_note
{
  char *node;        /* the first node; NULL in a response */
  uint64_t config;   /* version by which the first node has judged the
                        request; 0: not told */
  bool unreached;    /* the second node does not reach the servers either */
  bool counts;       /* the fields below are known */
  unsigned attempts; /* to a node: that may run there; from it: that may have
                        run there */
  unsigned sendings; /* rejected ones too, that the sender knows of */
  GPtrArray *tried;  /* ids of servers, owned; NULL: none */
  /* Of a response: version of the software of the server that made it, ""
     where the platform tells none; NULL: not told.  */
  char *software;
};

/* Freed with g_free.  */
char *relay_format (const struct relay_note *note);

/* Sets *NOTE, to be cleared, from TEXT, which may be NULL.  What cannot be
   read is left out.  */
void relay_parse (const char *text, struct relay_note *note);

void relay_clear (struct relay_note *note);

/* Adds a copy of ID to *TRIED, which is created when first needed, unless it
   is there.  */
void relay_add_tried (GPtrArray **tried, const char *id);

#endif

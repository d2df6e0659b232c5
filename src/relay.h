/* relay - the value of CALLER_RELAY_HEADER (caller.h): what nodes tell each
   other of a request that one has passed on.

   Both nodes must judge the request by the same version of the configuration.
   The first node owns the attempts of the request.  It tells the second one
   how many may run there, how often the request was sent before and which
   servers failed it; the second one tells the same of itself.  Nodes of peer
   protocol 1 (frame.h) put their id alone into a request, and at most
   "unreached" into a response; unknown fields are ignored.

   The second node does not get the key of the request.  It takes the first
   one's word for the customer if that comes with a message authentication code
   under the secret that the nodes share, so that no caller can claim to be
   one.

   Pure functions, any thread.  */

#ifndef PARSLEYRILL_RELAY_H
#define PARSLEYRILL_RELAY_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#define RELAY_PROTOCOL 2 /* of a node that counts attempts, see frame.h */
#define RELAY_CUSTOMER_PROTOCOL 3 /* of a node that reads the customer */
#define RELAY_TRIED_MAX 16        /* servers that are told */

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
  /* To a node: the customer that the request belongs to, and the code by which
     the first node proves that it has found that; NULL: none.  */
  char *customer;
  char *code;
};

/* Freed with g_free.  */
char *relay_format (const struct relay_note *note);

/* Sets *NOTE, to be cleared, from TEXT, which may be NULL.  What cannot be
   read is left out.  */
void relay_parse (const char *text, struct relay_note *note);

/* The code for the node, the configuration and the customer of NOTE, which
   must be set, and the request with id REQUEST.  TOKEN: the shared secret of
   the nodes.  Freed with g_free.  */
char *relay_code (const struct relay_note *note, const char *request,
                  const char *token);

/* Whether NOTE names a customer and has the right code.  */
bool relay_is_proven (const struct relay_note *note, const char *request,
                      const char *token);

void relay_clear (struct relay_note *note);

/* Adds a copy of ID to *TRIED, which is created when first needed, unless it
   is there.  */
void relay_add_tried (GPtrArray **tried, const char *id);

#endif

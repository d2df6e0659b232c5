/* caller - the protocol that callers and backend servers speak, as an
   interface: what a request asks for, the head it is sent on with, what the
   head of an answer says, and the answers about this node itself.

   The vtable is the border: the daemon puts the platform's protocol behind
   it, tests one of their own.  It decides nothing.

   All calls come from one thread.  Ownership: a struct caller_request owns
   its strings until caller_request_clear; all else is borrowed for the
   call.  */

#ifndef PARSLEYRILL_CALLER_H
#define PARSLEYRILL_CALLER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include "httpc.h"
#include "httpd.h"

#define CALLER_PARTS_MAX 8 /* of a prompt that are looked at */

struct caller;

struct caller_request
{
  char *id;      /* of this attempt of the caller */
  char *model;   /* NULL: none is named */
  char *adapter; /* NULL: the model alone */
  uint64_t prompt_tokens;
  uint64_t answer_tokens; /* at most */
  int64_t deadline_ms;    /* that the caller will wait; 0: not told */
  uint64_t parts[CALLER_PARTS_MAX]; /* identity of the prompt up to the end of
                                   each of its first parts */
  size_t part_count;
  bool resumes; /* goes on behind RESUME_AFTER */
  uint64_t resume_after;
};

void caller_request_clear (struct caller_request *request);

/* One sending of a request to a backend server.  */
struct caller_backend_request
{
  const struct caller_request *request;
  const struct httpd_request *from;
  const char *server; /* id that must be found at the address */
  int64_t left_ms;    /* until the answer is of no use */
  unsigned urgency;   /* 0 goes first, 9 last */
  bool resumes;
  uint64_t resume_after;
};

struct caller_response
{
  bool signed_by_server; /* an answer of a backend server's own */
  bool mine;             /* to this request, as far as it says */
  bool not_run;          /* the server did not run it and never will */
  bool lacks;            /* because the server or what it holds is another */
  bool has_load;
  unsigned running; /* at the server, all callers' requests */
  unsigned queued;
};

/* A question where to connect.  */
struct caller_lookup
{
  const char *host;
  const char *region; /* of the caller; NULL: not told */
  const char *zone;
};

struct caller_ops
{
  /* 0; or -EINVAL and *WHY, a constant text.  */
  int (*read) (const struct caller *caller,
               const struct httpd_request *request, struct caller_request *out,
               const char **why);
  /* Appends "Name: value" lines that are freed with g_free.  */
  void (*head) (const struct caller *caller,
                const struct caller_backend_request *send, GPtrArray *headers);
  void (*judge) (const struct caller *caller, const struct httpc_call *call,
                 long status, const struct caller_request *request,
                 struct caller_response *answer);
  /* May this header of a server's answer go to the caller?  */
  bool (*passes) (const struct caller *caller, const char *name);
  /* False when REQUEST is no such question.  */
  bool (*lookup) (const struct caller *caller,
                  const struct httpd_request *request,
                  struct caller_lookup *out);
  bool (*is_ready) (const struct caller *caller,
                    const struct httpd_request *request);
  /* The body that tells addresses; freed with g_free.  */
  char *(*addresses) (const struct caller *caller,
                      const char *const *addresses, size_t count,
                      unsigned ttl_s);
};

struct caller
{
  const struct caller_ops *ops;
};

#endif

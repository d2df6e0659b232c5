/* api - what callers ask for, and the errors that they are given.

   Reads heads and bodies of callers' requests into struct api_request and
   writes error objects.  Does no I/O.

   Ownership: a struct api_request owns its strings until api_request_clear. */

#ifndef PARSLEYRILL_API_H
#define PARSLEYRILL_API_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define API_PRIORITY_MAX 9
#define API_PRIORITY_UNSET (-1)
#define API_KEY_MAX 200u            /* bytes of an idempotency key */
#define API_DEADLINE_MAX_MS 3600000 /* an hour */

/* Header values as they came; NULL when absent.  */
struct api_headers
{
  const char *key;      /* Idempotency-Key */
  const char *deadline; /* X-Deadline-Ms */
  const char *priority; /* X-Priority */
};

enum api_kind
{
  API_COMPLETION,
  API_SERVICE
};

struct api_request
{
  enum api_kind kind;
  char *target; /* model, adapter or service */
  char *path;   /* path and query for the backend server */
  char *key;    /* NULL: none */
  bool stream;
  uint64_t max_tokens;  /* 0: not given */
  int64_t deadline_ms;  /* from now; 0: not given */
  int priority;         /* API_PRIORITY_UNSET, or 0 to 9 */
  uint64_t fingerprint; /* of method, target, path and body; never 0 */
};

/* A completion: POST of BODY to URI.  0, or -EINVAL and *WHY, a constant
   text.  */
int api_read_completion (const char *uri, const struct api_headers *head,
                         const char *body, size_t length,
                         struct api_request *request, const char **why);

/* A call of a plain service: METHOD on /v1/services/NAME/PATH.  */
int api_read_service (const char *method, const char *uri,
                      const struct api_headers *head, const char *body,
                      size_t length, struct api_request *request,
                      const char **why);

void api_request_clear (struct api_request *request);

/* Whether VALUE is "Bearer TOKEN"; takes the same time wherever they
   differ.  False when TOKEN is NULL or empty.  */
bool api_token_matches (const char *value, const char *token);

/* The JSON of an error.  RETRY_AFTER_S 0: left out.  The caller frees with
   g_free.  */
char *api_error (const char *type, const char *message, bool not_run,
                 unsigned retry_after_s);

#endif

/* api - parses callers' requests and formats error responses.

   Fills struct api_request from the headers and body of a request.  Does no
   I/O.

   Ownership: the strings of a struct api_request belong to it until
   api_request_clear.  */

#ifndef PARSLEYRILL_API_H
#define PARSLEYRILL_API_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define API_PRIORITY_MAX 9
#define API_PRIORITY_UNSET (-1)
#define API_KEY_MAX 200u            /* length of an idempotency key, bytes */
#define API_DEADLINE_MAX_MS 3600000 /* one hour */

/* Raw header values; NULL when absent.  */
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
  char *path;   /* path and query sent to the backend server */
  char *key;    /* NULL: none */
  bool stream;
  uint64_t max_tokens;  /* 0: not set */
  int64_t deadline_ms;  /* relative to now; 0: not set */
  int priority;         /* API_PRIORITY_UNSET, or 0 to 9 */
  uint64_t fingerprint; /* of method, target, path and body; never 0 */
};

/* Parses a completion request, POST of BODY to URI.  Returns 0, or -EINVAL
   with a string constant in *WHY.  */
int api_read_completion (const char *uri, const struct api_headers *headers,
                         const char *body, size_t length,
                         struct api_request *request, const char **why);

/* Parses a request to a plain service, METHOD on
   /v1/services/NAME/PATH.  */
int api_read_service (const char *method, const char *uri,
                      const struct api_headers *headers, const char *body,
                      size_t length, struct api_request *request,
                      const char **why);

void api_request_clear (struct api_request *request);

/* Whether VALUE is "Bearer TOKEN"; false when TOKEN is NULL or empty.  The
   time taken does not depend on where the two differ, which prevents timing
   attacks.  */
bool api_token_matches (const char *value, const char *token);

/* Formats an error object as JSON.  RETRY_AFTER_S is omitted when 0.  Freed
   with g_free.  */
char *api_error (const char *type, const char *message, bool not_run,
                 unsigned retry_after_s);

#endif

#include <errno.h>
#include <string.h>
#include <xxhash.h>
#include "forward_state.h"

static uint64_t
hash_text (const char *text, uint64_t seed)
{
  return text != NULL ? XXH3_64bits_withSeed (text, strlen (text), seed)
                      : seed;
}

/* Of all that a caller repeats when it sends a request again, with the query
   or without.  The id, the deadline and how the body is framed differ.  */
static uint64_t
hash_request (const struct forward *forward, bool with_query)
{
  const struct httpd_request *request = forward->request;
  const char *uri = httpd_uri (request);
  size_t uri_length = with_query ? strlen (uri) : strcspn (uri, "?");
  size_t length;
  const void *body = httpd_body (request, &length);
  uint64_t hash = hash_text (httpd_method (request), forward->parsed.prompt);

  hash = hash_text (httpd_header (request, "Host"), hash);
  hash = XXH3_64bits_withSeed (uri, uri_length, hash);
  hash = hash_text (forward->target, hash);
  return XXH3_64bits_withSeed (body, length, hash) | 1;
}

void
forward_set_features (struct forward *forward)
{
  char **part = forward->parsed.shared_parts;
  uint64_t feature = hash_request (forward, true);

  forward->features = g_array_new (FALSE, FALSE, sizeof feature);
  forward->whole_features = 1;
  g_array_append_val (forward->features, feature);
  if (strchr (httpd_uri (forward->request), '?') != NULL)
    {
      feature = hash_request (forward, false);
      g_array_append_val (forward->features, feature);
      forward->whole_features++;
    }
  for (; part != NULL && *part != NULL
         && forward->features->len < BLAME_FEATURES_MAX;
       part++)
    {
      feature = hash_text (*part, 0) | 1;
      g_array_append_val (forward->features, feature);
    }
}

uint64_t
forward_fingerprint (const struct forward *forward)
{
  return g_array_index (forward->features, uint64_t, 0);
}

static struct blame_request
request_features (const struct forward *forward)
{
  return (struct blame_request){ .features
                                 = (const uint64_t *)forward->features->data,
                                 .count = forward->features->len };
}

bool
forward_reject_quarantined (struct forward *forward)
{
  struct blame_request request = request_features (forward);
  struct quarantine_verdict verdict;
  char *why;

  if (forward->on_trial)
    return false;
  verdict = quarantines_check (forward->gateway->quarantines, &request);
  forward->on_trial = verdict.trial;
  if (verdict.rejected_for < 0)
    return false;
  why = verdict.rejected_for < forward->whole_features
            ? g_strdup ("the request crashes servers")
            : g_strdup_printf ("part %d of the prompt crashes servers",
                               verdict.rejected_for - forward->whole_features
                                   + 1);
  forward_fail (forward, why, verdict.retry_ms);
  g_free (why);
  return true;
}

/* Whether the server may have crashed because of the request, which it has not
   begun to answer.  When a reused connection breaks, libcurl opens another
   one, which a server that has crashed refuses.  */
static bool
may_have_crashed (const struct forward *forward,
                  const struct httpc_result *result)
{
  return (result->error == -ECONNRESET || result->error == -EPIPE
          || result->error == -ECONNREFUSED)
         && result->phase != HTTPC_UNSENT && forward->replacement == NULL
         && forward->sse.events == 0;
}

/* A server that answers with an error may fail before it gets to what crashes
   the others.  */
static bool
was_answered (const struct forward *forward, const struct httpc_result *result,
              bool refusal)
{
  return result->error == 0 && !refusal
         && result->status < FORWARD_SERVER_ERROR && forward->answer.id_matches
         && forward->answer.signed_by_server;
}

void
forward_note_end (struct forward *forward, const struct httpc_result *result,
                  bool refusal)
{
  struct blame_request request = request_features (forward);

  if (may_have_crashed (forward, result))
    quarantines_crashed (forward->gateway->quarantines, forward->engine->id,
                         &request);
  else if (was_answered (forward, result, refusal))
    quarantines_answered (forward->gateway->quarantines, &request);
}

void
forward_note_alive (struct forward *forward)
{
  if (forward->answer.id_matches && !forward->answer.not_available)
    quarantines_alive (forward->gateway->quarantines, forward->engine->id,
                       forward->sent_at);
}

void
forward_note_answer (struct forward *forward)
{
  struct blame_request request = request_features (forward);

  quarantines_answered (forward->gateway->quarantines, &request);
}

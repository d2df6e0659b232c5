#include "api.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include <jansson.h>
#include <xxhash.h>
#include "api_skim.h"

#define SERVICE_PATH_PREFIX "/v1/services/"
#define BEARER_PREFIX "Bearer "
#define SKIM_MIN_BYTES (64u << 10) /* larger bodies are not parsed whole */
#define NAME_MAX_BYTES 255u

static int
reject (const char **why, const char *text)
{
  *why = text;
  return -EINVAL;
}

/* Parses an unsigned decimal integer of at most MAX; rejects signs and white
   space.  */
static int
read_number (const char *text, int64_t max, int64_t *out)
{
  char *end = NULL;
  long long value;

  if (!g_ascii_isdigit (*text))
    return -EINVAL;
  errno = 0;
  value = strtoll (text, &end, 10);
  if (errno != 0 || *end != '\0' || value > max)
    return -EINVAL;
  *out = value;
  return 0;
}

static bool
is_valid_key (const char *key)
{
  size_t n = strlen (key);

  if (n == 0 || n > API_KEY_MAX)
    return false;
  for (const char *c = key; *c != '\0'; c++)
    if (!g_ascii_isgraph (*c))
      return false;
  return true;
}

static int
read_headers (const struct api_headers *headers, struct api_request *request,
              const char **why)
{
  int64_t value = API_PRIORITY_UNSET;

  if (headers->priority != NULL
      && read_number (headers->priority, API_PRIORITY_MAX, &value) < 0)
    return reject (why, "X-Priority must be an integer from 0 to 9");
  request->priority = (int)value;
  if (headers->deadline != NULL
      && (read_number (headers->deadline, API_DEADLINE_MAX_MS,
                       &request->deadline_ms)
              < 0
          || request->deadline_ms == 0))
    return reject (why, "X-Deadline-Ms must be an integer from 1 to 3600000");
  if (headers->key != NULL && !is_valid_key (headers->key))
    return reject (
        why, "Idempotency-Key must be 1 to 200 printable ASCII characters "
             "without spaces");
  request->key = g_strdup (headers->key);
  return 0;
}

static uint64_t
hash_text (uint64_t seed, const char *text)
{
  return XXH3_64bits_withSeed (text, strlen (text) + 1, seed);
}

static uint64_t
fingerprint (const char *method, const struct api_request *request,
             const char *body, size_t length)
{
  uint64_t hash = hash_text (0, method);

  hash = hash_text (hash, request->target);
  hash = hash_text (hash, request->path);
  hash = XXH3_64bits_withSeed (body, length, hash);
  return hash != 0 ? hash : 1;
}

static int
read_model (const json_t *json, struct api_request *request, const char **why)
{
  const json_t *model = json_object_get (json, "model");

  if (!json_is_string (model) || json_string_length (model) == 0
      || json_string_length (model) > NAME_MAX_BYTES)
    return reject (why, "\"model\" must be a string of 1 to 255 bytes");
  request->target = g_strdup (json_string_value (model));
  return 0;
}

static int
read_input (const json_t *json, struct api_request *request, const char **why)
{
  const json_t *prompt = json_object_get (json, "prompt");
  const json_t *messages = json_object_get (json, "messages");

  if (g_str_has_prefix (request->path, "/v1/chat/"))
    {
      if (!json_is_array (messages) || json_array_size (messages) == 0)
        return reject (why, "\"messages\" must be a non-empty array");
      return 0;
    }
  if (!json_is_string (prompt) && !json_is_array (prompt))
    return reject (why, "\"prompt\" must be a string or an array");
  return 0;
}

static int
read_limits (const json_t *json, struct api_request *request, const char **why)
{
  const json_t *stream = json_object_get (json, "stream");
  const json_t *tokens = json_object_get (json, "max_tokens");

  if (stream != NULL && !json_is_boolean (stream) && !json_is_null (stream))
    return reject (why, "\"stream\" must be a boolean");
  request->stream = json_is_true (stream);
  if (tokens == NULL || json_is_null (tokens))
    return 0;
  if (!json_is_integer (tokens) || json_integer_value (tokens) < 1)
    return reject (why, "\"max_tokens\" must be a positive integer");
  request->max_tokens = (uint64_t)json_integer_value (tokens);
  return 0;
}

static int
read_body (const json_t *json, struct api_request *request, const char **why)
{
  int err;

  if (!json_is_object (json))
    return reject (why, "request body must be a JSON object");
  err = read_model (json, request, why);
  if (err == 0)
    err = read_input (json, request, why);
  if (err == 0)
    err = read_limits (json, request, why);
  return err;
}

static json_t *
parse_body (const char *body, size_t length)
{
  static const char *const names[]
      = { "model", "prompt", "messages", "stream", "max_tokens", NULL };
  char *outline;
  json_t *json;

  if (length < SKIM_MIN_BYTES)
    return json_loadb (body, length, JSON_REJECT_DUPLICATES, NULL);
  outline = api_skim (body, length, names);
  json = outline != NULL ? json_loads (outline, JSON_REJECT_DUPLICATES, NULL)
                         : NULL;
  g_free (outline);
  return json;
}

int
api_read_completion (const char *uri, const struct api_headers *headers,
                     const char *body, size_t length,
                     struct api_request *request, const char **why)
{
  json_t *json;
  int err;

  memset (request, 0, sizeof *request);
  request->kind = API_COMPLETION;
  request->path = g_strdup (uri);
  err = read_headers (headers, request, why);
  if (err < 0)
    return err;
  json = parse_body (body, length);
  err = read_body (json, request, why);
  json_decref (json);
  if (err < 0)
    return err;
  request->fingerprint = fingerprint ("POST", request, body, length);
  return 0;
}

int
api_read_service (const char *method, const char *uri,
                  const struct api_headers *headers, const char *body,
                  size_t length, struct api_request *request, const char **why)
{
  const char *name = uri + strlen (SERVICE_PATH_PREFIX);
  size_t n;
  int err;

  memset (request, 0, sizeof *request);
  request->kind = API_SERVICE;
  if (!g_str_has_prefix (uri, SERVICE_PATH_PREFIX))
    return reject (why, "path must be /v1/services/NAME/...");
  n = strcspn (name, "/?");
  if (n == 0 || n > NAME_MAX_BYTES)
    return reject (why, "path must be /v1/services/NAME/...");
  request->target = g_strndup (name, n);
  request->path = name[n] == '/' ? g_strdup (name + n)
                                 : g_strconcat ("/", name + n, NULL);
  err = read_headers (headers, request, why);
  if (err < 0)
    return err;
  request->fingerprint = fingerprint (method, request, body, length);
  return 0;
}

void
api_request_clear (struct api_request *request)
{
  g_free (request->target);
  g_free (request->path);
  g_free (request->key);
  memset (request, 0, sizeof *request);
}

bool
api_token_matches (const char *value, const char *token)
{
  size_t token_length;
  size_t value_length;
  unsigned char difference;

  if (token == NULL || *token == '\0' || value == NULL
      || !g_str_has_prefix (value, BEARER_PREFIX))
    return false;
  value += strlen (BEARER_PREFIX);
  value_length = strlen (value);
  token_length = strlen (token);
  difference = value_length != token_length;
  for (size_t i = 0; i < value_length; i++)
    difference |= (unsigned char)(value[i] ^ token[i % token_length]);
  return difference == 0;
}

char *
api_error (const char *type, const char *message, bool not_run,
           unsigned retry_after_s)
{
  json_t *error = json_pack ("{s:s, s:s, s:b}", "type", type, "message",
                             message, "not_run", (int)not_run);
  json_t *json = json_pack ("{s:o}", "error", error);
  char *text;

  if (retry_after_s > 0)
    json_object_set_new (error, "retry_after_s",
                         json_integer ((json_int_t)retry_after_s));
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  return text;
}

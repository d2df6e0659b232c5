#include "engine.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>
#include "ts.h"

#define DEFAULT_MAX_TOKENS 16
#define PREFIX_BYTES 256u /* of the prompt, key of the prefix cache */
#define MAX_PREFIXES 64u
#define MAX_CACHE_EVENTS 256u
#define TOKEN_SIZE 16 /* bytes, including NUL */
#define DEFAULT_PRIORITY 5u
#define EXIT_CRASH 70
/* The event loop must run between two steps, also when token_ms is 0.  */
#define MIN_STEP_NS 1000
#define HASH_HEX_SIZE 17 /* bytes, including NUL */

/* Token INDEX of an answer: 24 bits of a hash of SEED and INDEX, in hex.  */
static void
token_text (uint64_t seed, int64_t index, char text[TOKEN_SIZE])
{
  uint64_t hash = XXH3_64bits_withSeed (&index, sizeof index, seed);

  g_snprintf (text, TOKEN_SIZE, " %06x", (unsigned)(hash & 0xffffffu));
}

static void
append_sse_event (struct completion *completion, GString *out)
{
  const char *finish
      = completion->position + 1 == completion->end ? "\"length\"" : "null";
  char token[TOKEN_SIZE];

  token_text (completion->seed, completion->position, token);
  g_string_append_printf (
      out,
      "data: {\"id\":\"cmpl-%016" PRIx64 "\",\"object\":\"%s\",\"model\":%s,"
      "\"choices\":[{\"index\":0,%s\"%s\"%s,\"finish_reason\":%s}]}\n\n",
      completion->seed,
      completion->chat ? "chat.completion.chunk" : "text_completion",
      completion->model_json,
      completion->chat ? "\"delta\":{\"content\":" : "\"text\":", token,
      completion->chat ? "}" : "", finish);
}

static void
append_token (struct completion *completion)
{
  char token[TOKEN_SIZE];

  token_text (completion->seed, completion->position, token);
  g_string_append (completion->text, token);
}

static const char *const *
request_id_header (const struct completion *completion, const char *headers[3])
{
  headers[0] = "X-Request-Id";
  headers[1] = httpd_header (completion->call->request, "X-Request-Id");
  headers[2] = NULL;
  return headers[1] != NULL ? headers : NULL;
}

static void
send_response (struct completion *completion)
{
  const char *headers[3];
  const char *kind = completion->chat ? "chat.completion" : "text_completion";
  GString *out = g_string_new (NULL);

  g_string_printf (
      out,
      "{\"id\":\"cmpl-%016" PRIx64 "\",\"object\":\"%s\",\"model\":%s,"
      "\"choices\":[{\"index\":0,%s\"%s\"%s,\"finish_reason\":\"length\"}],"
      "\"usage\":{\"completion_tokens\":%" PRId64 "}}\n",
      completion->seed, kind, completion->model_json,
      completion->chat ? "\"message\":{\"role\":\"assistant\",\"content\":"
                       : "\"text\":",
      completion->text->str, completion->chat ? "}" : "", completion->end);
  if (standin_drops_response (completion->call))
    httpd_drop (completion->call->request);
  else
    httpd_respond (completion->call->request, 200, "application/json",
                   request_id_header (completion, headers), out->str,
                   out->len);
  g_string_free (out, TRUE);
}

static void
begin_stream (struct completion *completion)
{
  const char *headers[3];

  completion->stream_begun = true;
  httpd_stream_begin (completion->call->request, 200, "text/event-stream",
                      request_id_header (completion, headers));
}

/* Frees COMPLETION and its slot or place in the queue.  The call remains valid
   until its gone callback.  */
static void
completion_free (struct engine_role *role, struct completion *completion)
{
  if (completion->waiting)
    g_queue_remove (role->queue, completion);
  else
    {
      CK_LIST_REMOVE (completion, link);
      role->running--;
    }
  completion->model->active--;
  if (completion->adapter != NULL)
    completion->adapter->active--;
  completion->call->role = NULL;
  g_string_free (completion->text, TRUE);
  g_free (completion->model_json);
  g_free (completion);
}

/* The cache_event_gap fault: every Nth event is missing from the reports.  */
static bool
is_event_lost (const struct engine_role *role)
{
  int64_t interval = standin_fault_int (&role->standin, "cache_event_gap");

  return interval > 0 && role->cache_seq % (uint64_t)interval == 0;
}

static void
add_cache_event (struct engine_role *role, guint64 prefix, const char *op)
{
  json_t *event;
  char text[HASH_HEX_SIZE];

  g_snprintf (text, sizeof text, "%016" PRIx64, prefix);
  event = json_pack ("{s:I,s:s,s:s}", "seq", (json_int_t)++role->cache_seq,
                     "prefix", text, "op", op);
  if (is_event_lost (role))
    {
      json_decref (event);
      return;
    }
  g_queue_push_tail (role->cache_events, event);
  if (g_queue_get_length (role->cache_events) > MAX_CACHE_EVENTS)
    json_decref (g_queue_pop_head (role->cache_events));
}

static void
store_prefix (struct engine_role *role, guint64 hash)
{
  GHashTableIter iter;
  gpointer key;

  if (g_hash_table_size (role->prefixes) >= MAX_PREFIXES)
    {
      g_hash_table_iter_init (&iter, role->prefixes);
      g_hash_table_iter_next (&iter, &key, NULL);
      add_cache_event (role, *(guint64 *)key, "removed");
      g_hash_table_iter_remove (&iter);
    }
  g_hash_table_add (role->prefixes, g_memdup2 (&hash, sizeof hash));
  add_cache_event (role, hash, "stored");
}

/* Whether the beginning of PROMPT is in the prefix cache; adds it if not.  */
static bool
is_prefix_cached (struct engine_role *role, const char *name,
                  const char *prompt)
{
  guint64 hash = XXH3_64bits_withSeed (prompt, strnlen (prompt, PREFIX_BYTES),
                                       XXH3_64bits (name, strlen (name)));

  if (g_hash_table_contains (role->prefixes, &hash))
    return true;
  store_prefix (role, hash);
  return false;
}

static struct timespec
step_interval (const struct engine_role *role)
{
  double ms = engine_fault_ms (role, "token_ms", role->options.token_ms);

  return ts_max (
      ts_from_s (ms * (double)role->options.batch / (double)TS_MS_PER_S),
      ts_from_ns (MIN_STEP_NS));
}

static void
start_completion (struct engine_role *role, struct completion *completion)
{
  struct loop *loop = role->standin.loop;

  completion->waiting = false;
  CK_LIST_INSERT_HEAD (&role->completions, completion, link);
  if (role->running++ == 0)
    loop_timer_set (loop, &role->step_timer,
                    ts_add (loop_now (loop), step_interval (role)));
}

static void
fill_slots (struct engine_role *role)
{
  while (role->running < role->options.slots
         && !g_queue_is_empty (role->queue))
    start_completion (role, g_queue_pop_head (role->queue));
}

static void
finish_completion (struct engine_role *role, struct completion *completion)
{
  static const char done[] = "data: [DONE]\n\n";
  struct httpd_request *request = completion->call->request;

  if (completion->stream)
    {
      httpd_stream_write (request, done, sizeof done - 1);
      httpd_stream_end (request);
    }
  else
    send_response (completion);
  completion_free (role, completion);
}

/* Writes up to a batch of tokens.  Returns false and keeps the position when
   the client is too slow and the stream's buffer is full.  */
static bool
step_stream (struct engine_role *role, struct completion *completion,
             GString *out)
{
  int64_t before = completion->position;

  g_string_truncate (out, 0);
  for (; completion->position < completion->end
         && completion->position < before + role->options.batch;
       completion->position++)
    append_sse_event (completion, out);
  if (!completion->stream_begun)
    begin_stream (completion);
  if (httpd_stream_write (completion->call->request, out->str, out->len) == 0)
    return true;
  completion->position = before;
  return false;
}

/* The cut_after fault.  Resumed streams are not truncated, so that a client
   that resumes gets the rest of the answer.  */
static bool
is_truncated (const struct engine_role *role,
              const struct completion *completion)
{
  int64_t after = standin_fault_int (&role->standin, "cut_after");

  return completion->stream && after > 0 && completion->resume_from == 0
         && completion->position >= after;
}

static void
step_completion (struct engine_role *role, struct completion *completion,
                 GString *out)
{
  int64_t last
      = MIN (completion->position + role->options.batch, completion->end);

  if (standin_is_silent (completion->call))
    return;
  if (completion->stream && !step_stream (role, completion, out))
    return;
  for (; !completion->stream && completion->position < last;
       completion->position++)
    append_token (completion);
  if (completion->position >= completion->end)
    finish_completion (role, completion);
  else if (is_truncated (role, completion))
    {
      httpd_stream_abort (completion->call->request);
      completion_free (role, completion);
    }
}

void
engine_step (struct loop_timer *timer)
{
  struct engine_role *role
      = (struct engine_role *)((char *)timer
                               - offsetof (struct engine_role, step_timer));
  struct loop *loop = role->standin.loop;
  struct timespec now = loop_now (loop);
  GString *out = g_string_sized_new (4096);
  struct completion *completion;
  struct completion *next;

  CK_LIST_FOREACH_SAFE (completion, &role->completions, link, next)
    {
      if (!json_is_true (json_object_get (role->standin.faults, "freeze"))
          && !ts_before (now, completion->first_token_at))
        step_completion (role, completion, out);
    }
  g_string_free (out, TRUE);
  fill_slots (role);
  if (role->running > 0)
    loop_timer_set (loop, timer,
                    ts_max (ts_add (now, ts_from_ns (MIN_STEP_NS)),
                            ts_add (timer->at, step_interval (role))));
}

/* Sets *ADAPTER to the adapter called NAME or NULL, and *MODEL to its base
   model or the model called NAME; NULL unless all of them are loaded.  */
static void
find_loaded (struct engine_role *role, const char *name, struct copy **model,
             struct copy **adapter)
{
  *adapter = engine_find_copy (role, name, true);
  *model = engine_find_copy (role, *adapter != NULL ? (*adapter)->model : name,
                             false);
  if (*adapter != NULL && (*adapter)->state != COPY_LOADED)
    *model = NULL;
  if (*model != NULL && (*model)->state != COPY_LOADED)
    *model = NULL;
}

static char *
prompt_json (const json_t *body, bool chat)
{
  const json_t *prompt = json_object_get (body, chat ? "messages" : "prompt");

  if (prompt == NULL)
    return NULL;
  return json_dumps (prompt, JSON_COMPACT | JSON_ENCODE_ANY | JSON_SORT_KEYS);
}

static int64_t
int_or_default (const json_t *body, const char *key, int64_t fallback)
{
  const json_t *value = json_object_get (body, key);

  return json_is_integer (value) ? json_integer_value (value) : fallback;
}

static gint
compare_priority (gconstpointer a, gconstpointer b, gpointer user)
{
  const struct completion *x = a;
  const struct completion *y = b;

  (void)user;
  return x->priority >= y->priority ? -1 : 1;
}

static void
enqueue (struct engine_role *role, struct completion *completion)
{
  GList *node = role->queue->tail;

  while (node != NULL && compare_priority (node->data, completion, NULL) > 0)
    node = node->prev;
  g_queue_insert_after (role->queue, node, completion);
}

static struct completion *
completion_new (struct engine_role *role, struct standin_call *call,
                const json_t *body, const char *prompt, bool chat)
{
  const char *name = json_string_value (json_object_get (body, "model"));
  const char *priority = httpd_header (call->request, "X-Priority");
  struct completion *completion = g_new0 (struct completion, 1);
  double wait_ms = role->options.prefill_ms;

  completion->call = call;
  completion->chat = chat;
  completion->stream = json_is_true (json_object_get (body, "stream"));
  completion->end = int_or_default (body, "max_tokens", DEFAULT_MAX_TOKENS);
  completion->resume_from
      = MIN (int_or_default (body, "resume_from", 0), completion->end);
  completion->position = completion->resume_from;
  completion->seed = XXH3_64bits_withSeed (prompt, strlen (prompt),
                                           XXH3_64bits (name, strlen (name)));
  completion->model_json
      = json_dumps (json_object_get (body, "model"), JSON_ENCODE_ANY);
  completion->text = g_string_new (NULL);
  completion->priority
      = priority != NULL ? (unsigned)atoi (priority) : DEFAULT_PRIORITY;
  if (is_prefix_cached (role, name, prompt))
    wait_ms = 0;
  completion->first_token_at
      = ts_add (loop_now (role->standin.loop),
                ts_from_s (wait_ms / (double)TS_MS_PER_S));
  return completion;
}

/* Returns true when the request was rejected before anything was executed.  */
static bool
reject_request (struct engine_role *role, struct standin_call *call,
                const struct copy *model)
{
  if (role->leaving)
    standin_error (call, 503, "leaving", "engine is shutting down", true);
  else if (model == NULL)
    standin_error (call, 404, "model_not_loaded", "model not loaded", true);
  else if (g_queue_get_length (role->queue) >= role->options.queue
           && role->running >= role->options.slots)
    standin_error (call, 429, "no_slot", "all slots busy and queue full",
                   true);
  else
    return false;
  return true;
}

static void
crash_if_marked (const struct engine_role *role,
                 const struct standin_call *call)
{
  const char *marker = standin_fault_str (&role->standin, "crash_marker");

  if (*marker != '\0'
      && strstr (httpd_body (call->request, NULL), marker) != NULL)
    _exit (EXIT_CRASH);
}

static void
enqueue_request (struct engine_role *role, struct standin_call *call,
                 const json_t *body, const char *prompt, bool chat)
{
  struct copy *model;
  struct copy *adapter;
  struct completion *completion;

  find_loaded (role, json_string_value (json_object_get (body, "model")),
               &model, &adapter);
  if (reject_request (role, call, model))
    return;
  crash_if_marked (role, call);
  standin_count_request (role->run_counts, call, body);
  completion = completion_new (role, call, body, prompt, chat);
  completion->model = model;
  completion->adapter = adapter;
  model->active++;
  if (adapter != NULL)
    adapter->active++;
  call->role = completion;
  completion->waiting = true;
  enqueue (role, completion);
  fill_slots (role);
}

void
engine_handle_completion (struct engine_role *role, struct standin_call *call,
                          bool chat)
{
  json_t *body = standin_parse_body (call);
  char *prompt;

  if (body == NULL)
    return;
  prompt = prompt_json (body, chat);
  if (prompt == NULL || !json_is_string (json_object_get (body, "model")))
    standin_error (call, 400, "bad_request", "model or prompt missing", true);
  else
    enqueue_request (role, call, body, prompt, chat);
  free (prompt);
  json_decref (body);
}

void
engine_request_gone (struct engine_role *role, struct standin_call *call)
{
  if (call->role == NULL)
    return;
  completion_free (role, call->role);
  fill_slots (role);
}

static void
import_prefixes (struct engine_role *role, const json_t *list)
{
  size_t i;
  json_t *item;

  json_array_foreach (list, i, item)
    {
      const char *text = json_string_value (item);
      guint64 hash = text != NULL ? g_ascii_strtoull (text, NULL, 16) : 0;

      if (hash != 0 && !g_hash_table_contains (role->prefixes, &hash))
        store_prefix (role, hash);
    }
}

static json_t *
export_prefixes (const struct engine_role *role)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer key;

  g_hash_table_iter_init (&iter, role->prefixes);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      char text[HASH_HEX_SIZE];

      g_snprintf (text, sizeof text, "%016" PRIx64, *(guint64 *)key);
      json_array_append_new (list, json_string (text));
    }
  return json_pack ("{s:o}", "prefixes", list);
}

void
engine_handle_prefixes (struct engine_role *role, struct standin_call *call)
{
  json_t *body;

  if (strcmp (httpd_method (call->request), "GET") == 0)
    {
      standin_respond (call, 200, export_prefixes (role));
      return;
    }
  body = standin_parse_body (call);
  if (body == NULL)
    return;
  import_prefixes (role, json_object_get (body, "prefixes"));
  json_decref (body);
  standin_respond (call, 200, json_object ());
}

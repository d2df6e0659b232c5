#include "engine.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>
#include "ts.h"

#define DEFAULT_MAX_TOKENS 16
#define PREFIX_BYTES 256u /* of a prompt, what the prefix cache looks at */
#define PREFIXES_KEPT 64u
#define CACHE_EVENTS_KEPT 256u
#define TOKEN_MAX 16 /* bytes of a token's text */
#define DEFAULT_PRIORITY 5u
#define EXIT_CRASH 70
#define LEAST_STEP_NS 1000 /* lets the loop turn between two steps */
#define HASH_TEXT 17       /* bytes of a hash in hexadecimal */

/* A token is one of sixteen million words, chosen by the seed.  */
static void
token_text (uint64_t seed, int64_t at, char text[TOKEN_MAX])
{
  uint64_t hash = XXH3_64bits_withSeed (&at, sizeof at, seed);

  g_snprintf (text, TOKEN_MAX, " %06x", (unsigned)(hash & 0xffffffu));
}

static void
append_event (struct run *run, GString *out)
{
  const char *finish = run->at + 1 == run->end ? "\"length\"" : "null";
  char token[TOKEN_MAX];

  token_text (run->seed, run->at, token);
  g_string_append_printf (
      out,
      "data: {\"id\":\"cmpl-%016" PRIx64 "\",\"object\":\"%s\",\"model\":%s,"
      "\"choices\":[{\"index\":0,%s\"%s\"%s,\"finish_reason\":%s}]}\n\n",
      run->seed, run->chat ? "chat.completion.chunk" : "text_completion",
      run->name, run->chat ? "\"delta\":{\"content\":" : "\"text\":", token,
      run->chat ? "}" : "", finish);
}

static void
append_token (struct run *run)
{
  char token[TOKEN_MAX];

  token_text (run->seed, run->at, token);
  g_string_append (run->text, token);
}

static const char *const *
id_headers (const struct run *run, const char *headers[3])
{
  headers[0] = "X-Request-Id";
  headers[1] = httpd_header (run->call->request, "X-Request-Id");
  headers[2] = NULL;
  return headers[1] != NULL ? headers : NULL;
}

static void
answer_whole (struct run *run)
{
  const char *headers[3];
  const char *kind = run->chat ? "chat.completion" : "text_completion";
  GString *out = g_string_new (NULL);

  g_string_printf (
      out,
      "{\"id\":\"cmpl-%016" PRIx64 "\",\"object\":\"%s\",\"model\":%s,"
      "\"choices\":[{\"index\":0,%s\"%s\"%s,\"finish_reason\":\"length\"}],"
      "\"usage\":{\"completion_tokens\":%" PRId64 "}}\n",
      run->seed, kind, run->name,
      run->chat ? "\"message\":{\"role\":\"assistant\",\"content\":"
                : "\"text\":",
      run->text->str, run->chat ? "}" : "", run->end);
  if (standin_drops_response (run->call))
    httpd_drop (run->call->request);
  else
    httpd_respond (run->call->request, 200, "application/json",
                   id_headers (run, headers), out->str, out->len);
  g_string_free (out, TRUE);
}

static void
begin_stream (struct run *run)
{
  const char *headers[3];

  run->begun = true;
  httpd_stream_begin (run->call->request, 200, "text/event-stream",
                      id_headers (run, headers));
}

/* Frees the slot; the call itself lives until it is gone.  */
static void
release_slot (struct engine_role *role, struct run *run)
{
  if (run->waiting)
    g_queue_remove (role->queue, run);
  else
    {
      CK_LIST_REMOVE (run, link);
      role->running--;
    }
  run->model->active--;
  if (run->adapter != NULL)
    run->adapter->active--;
  run->call->role = NULL;
  g_string_free (run->text, TRUE);
  g_free (run->name);
  g_free (run);
}

/* Every so many events one is missing from the reports.  */
static bool
lose_event (const struct engine_role *role)
{
  int64_t gap = standin_fault_int (&role->standin, "cache_event_gap");

  return gap > 0 && role->cache_seq % (uint64_t)gap == 0;
}

static void
cache_event (struct engine_role *role, guint64 prefix, const char *op)
{
  json_t *event;
  char text[HASH_TEXT];

  g_snprintf (text, sizeof text, "%016" PRIx64, prefix);
  event = json_pack ("{s:I,s:s,s:s}", "seq", (json_int_t)++role->cache_seq,
                     "prefix", text, "op", op);
  if (lose_event (role))
    {
      json_decref (event);
      return;
    }
  g_queue_push_tail (role->cache_events, event);
  if (g_queue_get_length (role->cache_events) > CACHE_EVENTS_KEPT)
    json_decref (g_queue_pop_head (role->cache_events));
}

static void
store_prefix (struct engine_role *role, guint64 hash)
{
  GHashTableIter iter;
  gpointer any;

  if (g_hash_table_size (role->prefixes) >= PREFIXES_KEPT)
    {
      g_hash_table_iter_init (&iter, role->prefixes);
      g_hash_table_iter_next (&iter, &any, NULL);
      cache_event (role, *(guint64 *)any, "removed");
      g_hash_table_iter_remove (&iter);
    }
  g_hash_table_add (role->prefixes, g_memdup2 (&hash, sizeof hash));
  cache_event (role, hash, "stored");
}

/* True when the beginning of the prompt was seen lately.  */
static bool
prefix_cached (struct engine_role *role, const char *name, const char *prompt)
{
  guint64 hash = XXH3_64bits_withSeed (prompt, strnlen (prompt, PREFIX_BYTES),
                                       XXH3_64bits (name, strlen (name)));

  if (g_hash_table_contains (role->prefixes, &hash))
    return true;
  store_prefix (role, hash);
  return false;
}

static struct timespec
token_step (const struct engine_role *role)
{
  double ms = engine_fault_ms (role, "token_ms", role->options.token_ms);

  return ts_max (
      ts_from_s (ms * (double)role->options.batch / (double)TS_MS_PER_S),
      ts_from_ns (LEAST_STEP_NS));
}

static void
start_run (struct engine_role *role, struct run *run)
{
  struct loop *loop = role->standin.loop;

  run->waiting = false;
  CK_LIST_INSERT_HEAD (&role->runs, run, link);
  if (role->running++ == 0)
    loop_timer_set (loop, &role->tick,
                    ts_add (loop_now (loop), token_step (role)));
}

static void
fill_slots (struct engine_role *role)
{
  while (role->running < role->options.slots
         && !g_queue_is_empty (role->queue))
    start_run (role, g_queue_pop_head (role->queue));
}

static void
finish_run (struct engine_role *role, struct run *run)
{
  static const char done[] = "data: [DONE]\n\n";
  struct httpd_request *request = run->call->request;

  if (run->stream)
    {
      httpd_stream_write (request, done, sizeof done - 1);
      httpd_stream_end (request);
    }
  else
    answer_whole (run);
  release_slot (role, run);
}

/* One step of the batch for one run; false while its reader is behind.  */
static bool
step_stream (struct engine_role *role, struct run *run, GString *out)
{
  int64_t before = run->at;

  g_string_truncate (out, 0);
  for (; run->at < run->end && run->at < before + role->options.batch;
       run->at++)
    append_event (run, out);
  if (!run->begun)
    begin_stream (run);
  if (httpd_stream_write (run->call->request, out->str, out->len) == 0)
    return true;
  run->at = before;
  return false;
}

/* Only a stream from the beginning is cut, so that it can be resumed.  */
static bool
is_cut (const struct engine_role *role, const struct run *run)
{
  int64_t after = standin_fault_int (&role->standin, "cut_after");

  return run->stream && after > 0 && run->from == 0 && run->at >= after;
}

static void
step_run (struct engine_role *role, struct run *run, GString *out)
{
  int64_t last = MIN (run->at + role->options.batch, run->end);

  if (standin_is_silent (run->call))
    return;
  if (run->stream && !step_stream (role, run, out))
    return;
  for (; !run->stream && run->at < last; run->at++)
    append_token (run);
  if (run->at >= run->end)
    finish_run (role, run);
  else if (is_cut (role, run))
    {
      httpd_stream_abort (run->call->request);
      release_slot (role, run);
    }
}

void
engine_tick (struct loop_timer *timer)
{
  struct engine_role *role
      = (struct engine_role *)((char *)timer
                               - offsetof (struct engine_role, tick));
  struct loop *loop = role->standin.loop;
  struct timespec now = loop_now (loop);
  GString *out = g_string_sized_new (4096);
  struct run *run;
  struct run *next;

  CK_LIST_FOREACH_SAFE (run, &role->runs, link, next)
    {
      if (!json_is_true (json_object_get (role->standin.faults, "freeze"))
          && !ts_before (now, run->first_at))
        step_run (role, run, out);
    }
  g_string_free (out, TRUE);
  fill_slots (role);
  if (role->running > 0)
    loop_timer_set (loop, timer,
                    ts_max (ts_add (now, ts_from_ns (LEAST_STEP_NS)),
                            ts_add (timer->at, token_step (role))));
}

static void
resolve (struct engine_role *role, const char *name, struct copy **model,
         struct copy **adapter)
{
  *adapter = engine_find (role, name, true);
  *model
      = engine_find (role, *adapter != NULL ? (*adapter)->model : name, false);
  if (*adapter != NULL && (*adapter)->state != COPY_LOADED)
    *model = NULL;
  if (*model != NULL && (*model)->state != COPY_LOADED)
    *model = NULL;
}

static char *
prompt_of (const json_t *body, bool chat)
{
  const json_t *prompt = json_object_get (body, chat ? "messages" : "prompt");

  if (prompt == NULL)
    return NULL;
  return json_dumps (prompt, JSON_COMPACT | JSON_ENCODE_ANY | JSON_SORT_KEYS);
}

static int64_t
int_or (const json_t *body, const char *key, int64_t otherwise)
{
  const json_t *value = json_object_get (body, key);

  return json_is_integer (value) ? json_integer_value (value) : otherwise;
}

static gint
by_priority (gconstpointer a, gconstpointer b, gpointer user)
{
  const struct run *x = a;
  const struct run *y = b;

  (void)user;
  return x->priority >= y->priority ? -1 : 1;
}

static void
enqueue (struct engine_role *role, struct run *run)
{
  GList *at = role->queue->tail;

  while (at != NULL && by_priority (at->data, run, NULL) > 0)
    at = at->prev;
  g_queue_insert_after (role->queue, at, run);
}

static struct run *
run_new (struct engine_role *role, struct standin_call *call,
         const json_t *body, const char *prompt, bool chat)
{
  const char *name = json_string_value (json_object_get (body, "model"));
  const char *priority = httpd_header (call->request, "X-Priority");
  struct run *run = g_new0 (struct run, 1);
  double wait_ms = role->options.prefill_ms;

  run->call = call;
  run->chat = chat;
  run->stream = json_is_true (json_object_get (body, "stream"));
  run->end = int_or (body, "max_tokens", DEFAULT_MAX_TOKENS);
  run->from = MIN (int_or (body, "resume_from", 0), run->end);
  run->at = run->from;
  run->seed = XXH3_64bits_withSeed (prompt, strlen (prompt),
                                    XXH3_64bits (name, strlen (name)));
  run->name = json_dumps (json_object_get (body, "model"), JSON_ENCODE_ANY);
  run->text = g_string_new (NULL);
  run->priority
      = priority != NULL ? (unsigned)atoi (priority) : DEFAULT_PRIORITY;
  if (prefix_cached (role, name, prompt))
    wait_ms = 0;
  run->first_at = ts_add (loop_now (role->standin.loop),
                          ts_from_s (wait_ms / (double)TS_MS_PER_S));
  return run;
}

/* Refusals made before anything runs; true when the call was answered.  */
static bool
refused (struct engine_role *role, struct standin_call *call,
         const struct copy *model)
{
  if (role->leaving)
    standin_error (call, 503, "leaving", "engine is leaving", true);
  else if (model == NULL)
    standin_error (call, 404, "model_not_loaded", "model not loaded", true);
  else if (g_queue_get_length (role->queue) >= role->options.queue
           && role->running >= role->options.slots)
    standin_error (call, 429, "no_slot", "no slot and no queue", true);
  else
    return false;
  return true;
}

static void
maybe_crash (const struct engine_role *role, const struct standin_call *call)
{
  const char *marker = standin_fault_str (&role->standin, "crash_marker");

  if (*marker != '\0'
      && strstr (httpd_body (call->request, NULL), marker) != NULL)
    _exit (EXIT_CRASH);
}

static void
begin (struct engine_role *role, struct standin_call *call, const json_t *body,
       const char *prompt, bool chat)
{
  struct copy *model;
  struct copy *adapter;
  struct run *run;

  resolve (role, json_string_value (json_object_get (body, "model")), &model,
           &adapter);
  if (refused (role, call, model))
    return;
  maybe_crash (role, call);
  standin_count_request (role->run_counts, call, body);
  run = run_new (role, call, body, prompt, chat);
  run->model = model;
  run->adapter = adapter;
  model->active++;
  if (adapter != NULL)
    adapter->active++;
  call->role = run;
  run->waiting = true;
  enqueue (role, run);
  fill_slots (role);
}

void
engine_complete (struct engine_role *role, struct standin_call *call,
                 bool chat)
{
  json_t *body = standin_parse_body (call);
  char *prompt;

  if (body == NULL)
    return;
  prompt = prompt_of (body, chat);
  if (prompt == NULL || !json_is_string (json_object_get (body, "model")))
    standin_error (call, 400, "bad_request", "no model or prompt", true);
  else
    begin (role, call, body, prompt, chat);
  free (prompt);
  json_decref (body);
}

void
engine_gone (struct engine_role *role, struct standin_call *call)
{
  if (call->role == NULL)
    return;
  release_slot (role, call->role);
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
      char text[HASH_TEXT];

      g_snprintf (text, sizeof text, "%016" PRIx64, *(guint64 *)key);
      json_array_append_new (list, json_string (text));
    }
  return json_pack ("{s:o}", "prefixes", list);
}

void
engine_prefixes (struct engine_role *role, struct standin_call *call)
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

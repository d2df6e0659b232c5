#include "exchange.h"

#include <errno.h>
#include <string.h>
#include <ck_pr.h>
#include <glib.h>
#include "attempt.h"
#include "sse.h"
#include "ts.h"

#define ID_HEADER "X-Request-Id" /* of the attempt */

struct exchange
{
  const struct exchange_ops *ops;
  void *user;
  struct worker *worker;
  struct route_engine *engine;
  struct httpc_call *http;
  char *id;
  struct sse sse;
  GString *buffer; /* an incomplete event */
  bool expects_done_event;
  bool streaming;
  bool wrong_id;      /* the response belongs to another attempt */
  GPtrArray *headers; /* of the response: name, value, ..., NULL */
  struct timespec started;
  struct timespec heard_at; /* latest byte, or the start */
  struct timespec head_at;  /* response head received; zero: not yet */
};

/* Response headers that are not passed on: hop-by-hop headers and those that
   this node sets itself.  */
static const char *const excluded_headers[] = { "Connection",
                                                "Content-Length",
                                                "Content-Type",
                                                "Date",
                                                "Keep-Alive",
                                                "Proxy-Authenticate",
                                                "Proxy-Authorization",
                                                "TE",
                                                "Trailer",
                                                "Transfer-Encoding",
                                                "Upgrade" };

static void
exchange_free (struct exchange *exchange)
{
  route_engine_unref (exchange->engine);
  g_string_free (exchange->buffer, TRUE);
  g_ptr_array_unref (exchange->headers);
  g_free (exchange->id);
  g_free (exchange);
}

static bool
has_id (const struct exchange *exchange)
{
  const char *echo = httpc_response_header (exchange->http, ID_HEADER);

  return echo != NULL && strcmp (echo, exchange->id) == 0
         && httpc_response_header_count (exchange->http, ID_HEADER) == 1;
}

/* A successful response must echo the attempt id.  An error response may
   omit it.  Neither may carry another id.  */
static bool
id_matches (const struct exchange *exchange, long status)
{
  if (!exchange->expects_done_event)
    return true;
  if (httpc_response_header_count (exchange->http, ID_HEADER) == 0)
    return status != 200;
  return has_id (exchange);
}

/* A late copy of a refusal without an id would be taken for the response to
   the next request on its connection.  Plain services never tell ids.  */
static bool
may_reuse (void *user, long status)
{
  const struct exchange *exchange = user;

  return exchange->expects_done_event ? has_id (exchange)
                                      : !attempt_may_be_refusal (status);
}

static void
add_response_header (void *user, const char *name, const char *value)
{
  struct exchange *exchange = user;

  for (size_t i = 0; i < G_N_ELEMENTS (excluded_headers); i++)
    if (g_ascii_strcasecmp (excluded_headers[i], name) == 0)
      return;
  g_ptr_array_add (exchange->headers, g_strdup (name));
  g_ptr_array_add (exchange->headers, g_strdup (value));
}

static int64_t
on_silent (void *user)
{
  struct exchange *exchange = user;
  struct timespec now = clk_now (exchange->worker->options->clk);

  return exchange->ops->silent (exchange->user,
                                ts_sub (now, exchange->heard_at));
}

static const char *const *
get_response_headers (struct exchange *exchange)
{
  if (exchange->headers->len == 0)
    {
      httpc_each_header (exchange->http, add_response_header, exchange);
      g_ptr_array_add (exchange->headers, NULL);
    }
  return (const char *const *)exchange->headers->pdata;
}

static bool
on_head (void *user, long status, const char *content_type)
{
  struct exchange *exchange = user;
  struct exchange_result result
      = { .http = { .status = status, .content_type = content_type } };

  exchange->head_at = clk_now (exchange->worker->options->clk);
  exchange->heard_at = exchange->head_at;
  exchange->wrong_id = !id_matches (exchange, status);
  if (exchange->wrong_id)
    return true;
  if (status != 200 || !sse_is_stream (content_type))
    return false;
  exchange->streaming = true;
  result.headers = get_response_headers (exchange);
  exchange->ops->begin (exchange->user, &result);
  return true;
}

static int
on_bytes (void *user, const char *bytes, size_t n)
{
  struct exchange *exchange = user;

  exchange->heard_at = clk_now (exchange->worker->options->clk);
  if (exchange->wrong_id)
    return -ECANCELED;
  return sse_forward (&exchange->sse, exchange->buffer, bytes, n,
                      exchange->ops->bytes, exchange->user);
}

/* Nothing that follows the closing event belongs to the stream.  */
static bool
has_closed (const struct exchange *exchange, const struct httpc_result *result)
{
  return exchange->streaming && exchange->sse.complete
         && result->error != -ECANCELED;
}

static int
result_error (const struct exchange *exchange,
              const struct httpc_result *result)
{
  if (exchange->wrong_id)
    return -EBADMSG;
  if (has_closed (exchange, result))
    return 0;
  if (result->error < 0)
    return result->error;
  if (exchange->streaming && exchange->expects_done_event)
    return -EPIPE;
  if (sse_is_truncated (exchange->buffer->str, exchange->buffer->len))
    return -EPIPE;
  /* The protocol of these servers asks for a length or chunks.  */
  return result->until_close ? -EPIPE : 0;
}

static void
fill_result (struct exchange *exchange, const struct httpc_result *http,
             struct exchange_result *result)
{
  result->http = *http;
  result->http.error = result_error (exchange, http);
  if (result->http.error == 0)
    result->http.phase = HTTPC_COMPLETE;
  result->headers = get_response_headers (exchange);
  result->streamed = exchange->streaming;
  result->events = exchange->sse.events;
  if (!ts_is_zero (exchange->head_at))
    result->first_byte = ts_sub (exchange->head_at, exchange->started);
  result->duration
      = ts_sub (clk_now (exchange->worker->options->clk), exchange->started);
}

static void
on_done (void *user, const struct httpc_result *http)
{
  struct exchange *exchange = user;
  struct exchange_result result = { 0 };

  if (http->status != 0 && !exchange->wrong_id)
    exchange->wrong_id = !id_matches (exchange, http->status);
  fill_result (exchange, http, &result);
  ck_pr_dec_uint (&exchange->engine->inflight);
  exchange->ops->end (exchange->user, &result);
  exchange_free (exchange);
}

static char *
build_url (const struct exchange_options *options)
{
  return g_strconcat ("http://", options->engine->address, options->path,
                      NULL);
}

static struct exchange *
exchange_new (const struct exchange_options *options)
{
  struct exchange *exchange = g_new0 (struct exchange, 1);

  exchange->ops = options->ops;
  exchange->user = options->user;
  exchange->worker = options->worker;
  exchange->engine = route_engine_ref (options->engine);
  exchange->id = g_strdup (options->id);
  exchange->buffer = g_string_new (NULL);
  exchange->headers = g_ptr_array_new_with_free_func (g_free);
  exchange->expects_done_event = options->expects_done_event;
  exchange->started = clk_now (options->worker->options->clk);
  exchange->heard_at = exchange->started;
  sse_init (&exchange->sse, options->expects_done_event);
  ck_pr_inc_uint (&exchange->engine->inflight);
  return exchange;
}

struct exchange *
exchange_start (const struct exchange_options *options)
{
  struct exchange *exchange = exchange_new (options);
  char *url = build_url (options);
  struct httpc_request request
      = { .method = options->method,
          .url = url,
          .body = options->length > 0 ? options->body : NULL,
          .length = options->length,
          .headers = options->headers,
          .timeout_ms = options->timeout_ms,
          .idle_timeout_ms = options->idle_timeout_ms,
          .reused_idle_timeout_ms = options->reused_idle_timeout_ms,
          .body_idle_timeout_ms = options->body_idle_timeout_ms,
          .fresh_connection = options->new_connection,
          .silent = on_silent,
          .reusable = may_reuse,
          .head = on_head,
          .body_cb = on_bytes,
          .done = on_done,
          .user = exchange };

  exchange->http = httpc_start (options->worker->httpc, &request);
  g_free (url);
  if (exchange->http == NULL)
    {
      ck_pr_dec_uint (&exchange->engine->inflight);
      exchange_free (exchange);
      return NULL;
    }
  return exchange;
}

void
exchange_resume (struct exchange *exchange)
{
  httpc_unpause (exchange->http);
}

void
exchange_cancel (struct exchange *exchange)
{
  httpc_cancel (exchange->http);
  ck_pr_dec_uint (&exchange->engine->inflight);
  exchange_free (exchange);
}

enum httpc_phase
exchange_phase (const struct exchange *exchange)
{
  return httpc_phase (exchange->http);
}

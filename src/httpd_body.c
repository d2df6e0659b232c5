#include "httpd_body.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include "httpd_conn.h"
#include "httpd_reject.h"
#include "httpd_state.h"

#define COPIES 2               /* the body, and the one sent to a server */
#define DROP_SMALL (64u << 10) /* bytes of a body that is read in vain */
#define HOLD_STEP (16u << 10)  /* bytes */
/* libmicrohttpd needs about a millisecond for a hundred chunks, so only a few
   such bodies are read at once.  */
#define TINY_BYTES 64   /* mean of a chunk */
#define TINY_PIECES 512 /* chunks from which the mean counts */
#define TINY_UPLOADS_MAX 4

bool
httpd_hold (struct httpd_request *request)
{
  size_t body = MAX (COPIES * request->announced,
                     COPIES * (request->body->len & ~(size_t)(HOLD_STEP - 1)));
  size_t out = request->out->allocated_len & ~(size_t)(HOLD_STEP - 1);

  return membudget_hold (&request->conn->account,
                         body + out + request->response_bytes,
                         loop_now (request->httpd->options.loop));
}

/* libmicrohttpd reads nothing more after an early response to these only.  */
static bool
allows_early_response (const struct httpd_request *request)
{
  return strcmp (request->method, MHD_HTTP_METHOD_POST) == 0
         || strcmp (request->method, MHD_HTTP_METHOD_PUT) == 0;
}

static bool
has_expectation (const struct httpd_request *request)
{
  return httpd_header (request, MHD_HTTP_HEADER_EXPECT) != NULL;
}

static enum MHD_Result
begin_unwanted (struct httpd_request *request, uint64_t length)
{
  bool is_short = !request->chunked && length <= DROP_SMALL
                  && !has_expectation (request);

  request->unwanted = true;
  if (!is_short && allows_early_response (request))
    {
      request->closes = true;
      return httpd_dispatch (request);
    }
  return MHD_YES;
}

enum MHD_Result
httpd_body_begin (struct httpd_request *request)
{
  const struct httpd_options *options = &request->httpd->options;
  const char *text = httpd_header (request, MHD_HTTP_HEADER_CONTENT_LENGTH);
  uint64_t length = text != NULL ? strtoull (text, NULL, 10) : 0;

  httpd_conn_head_ended (request->conn);
  if (length == 0 && !request->chunked)
    return MHD_YES;
  if (length > options->body_max && allows_early_response (request)
      && (has_expectation (request)
          || length > options->body_max + HTTPD_DISCARD_MAX))
    return httpd_reject_large_body (request);
  if (options->wants_body != NULL
      && !options->wants_body (options->user, request))
    return begin_unwanted (request, length);
  if (length > options->body_max)
    return MHD_YES;
  request->announced = length;
  if (httpd_hold (request) || length <= MEMBUDGET_SMALL)
    return MHD_YES;
  return allows_early_response (request)
             ? httpd_reject_busy (request)
             : httpd_conn_refuse (request->conn, HTTPD_REJECT_BUSY);
}

static enum MHD_Result
drop_body (struct httpd_request *request, size_t n)
{
  request->discarded += n;
  if (request->discarded <= HTTPD_DISCARD_MAX)
    return MHD_YES;
  if (request->too_large)
    return httpd_conn_refuse (request->conn, HTTPD_REJECT_BODY_TOO_LARGE);
  return httpd_conn_refuse (request->conn, HTTPD_REJECT_UNWANTED_BODY);
}

/* Whether the body comes in chunks so small that others have to wait.  */
static bool
has_tiny_chunks (struct httpd_request *request)
{
  struct httpd *httpd = request->httpd;

  if (request->tiny_chunks || !request->chunked
      || request->pieces < TINY_PIECES
      || request->body->len / request->pieces >= TINY_BYTES)
    return false;
  request->tiny_chunks = true;
  httpd->tiny_uploads++;
  return httpd->tiny_uploads > TINY_UPLOADS_MAX
         && httpd->options.budget != NULL;
}

enum MHD_Result
httpd_body_append (struct httpd_request *request, const char *data, size_t n)
{
  struct httpd_conn *conn = request->conn;

  httpd_conn_received (conn, n);
  request->pieces++;
  if (request->unwanted)
    return drop_body (request, n);
  if (request->too_large
      || request->body->len + n > request->httpd->options.body_max)
    {
      request->too_large = true;
      return drop_body (request, n);
    }
  if (has_tiny_chunks (request))
    return httpd_conn_refuse (conn, HTTPD_REJECT_BUSY);
  g_string_append_len (request->body, data, (gssize)n);
  if (request->chunked && !httpd_hold (request)
      && request->body->len > MEMBUDGET_SMALL)
    return httpd_conn_refuse (conn, HTTPD_REJECT_BUSY);
  return conn->account.closing ? MHD_NO : MHD_YES;
}

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include "httpd_conn.h"
#include "httpd_state.h"

#define STREAM_BLOCK_BYTES (16u << 10) /* passed to libmicrohttpd at once */

static size_t
buffered_bytes (const struct httpd_request *request)
{
  return request->out->len - request->out_offset;
}

static void
discard_read_bytes (struct httpd_request *request)
{
  if (request->out_offset == request->out->len)
    g_string_truncate (request->out, 0);
  else if (request->out_offset > HTTPD_STREAM_BUFFER)
    g_string_erase (request->out, 0, (gssize)request->out_offset);
  else
    return;
  request->out_offset = 0;
}

static void
notify_writable (struct httpd_request *request)
{
  struct httpd *httpd = request->httpd;

  if (!request->stalled || buffered_bytes (request) > HTTPD_STREAM_BUFFER / 2)
    return;
  request->stalled = false;
  if (httpd->options.writable != NULL)
    httpd->options.writable (httpd->options.user, request);
}

/* Without chunks a regular end of the connection ends the response, so a
   truncated one needs a reset.  SO_LINGER would not do: libmicrohttpd shuts
   sockets down before it closes them.  */
static void
reset_connection (int fd)
{
  const struct sockaddr none = { .sa_family = AF_UNSPEC };

  if (connect (fd, &none, sizeof none) < 0)
    shutdown (fd, SHUT_RDWR);
}

/* libmicrohttpd handles the error only at the next event of the socket; the
   shutdown causes one.  */
static ssize_t
abort_stream (const struct httpd_request *request)
{
  if (request->has_chunks)
    shutdown (request->disconnect.fd, SHUT_RDWR);
  else
    reset_connection (request->disconnect.fd);
  return MHD_CONTENT_READER_END_WITH_ERROR;
}

static ssize_t
read_stream (void *cls, uint64_t pos, char *buffer, size_t max)
{
  struct httpd_request *request = cls;
  size_t n = buffered_bytes (request);

  (void)pos;
  if (request->aborted || (n == 0 && request->truncated))
    return abort_stream (request);
  if (n == 0 && request->ended)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (n == 0)
    {
      httpd_suspend (request);
      return 0;
    }
  if (n > max)
    n = max;
  memcpy (buffer, request->out->str + request->out_offset, n);
  request->out_offset += n;
  discard_read_bytes (request);
  notify_writable (request);
  return (ssize_t)n;
}

void
httpd_stream_begin (struct httpd_request *request, unsigned status,
                    const char *content_type, const char *const *headers)
{
  struct MHD_Response *response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_stream, request, NULL);

  request->streaming = true;
  httpd_send_response (request, response, status, content_type, headers);
}

int
httpd_stream_write (struct httpd_request *request, const void *bytes,
                    size_t length)
{
  if (buffered_bytes (request) > HTTPD_STREAM_BUFFER)
    {
      request->stalled = true;
      return -EAGAIN;
    }
  g_string_append_len (request->out, bytes, (gssize)length);
  httpd_hold (request);
  httpd_resume (request);
  return 0;
}

void
httpd_stream_end (struct httpd_request *request)
{
  request->ended = true;
  httpd_resume (request);
}

void
httpd_stream_abort (struct httpd_request *request)
{
  request->truncated = true;
  httpd_resume (request);
}

#include "httpd_reject.h"

#include <string.h>
#include <sys/socket.h>
#include <glib.h>
#include "httpd_state.h"

#define DISCARD_BLOCK_BYTES 4096
#define DISCARD_UNREAD_MAX (256u << 10) /* bytes */
#define BUSY "{\"error\":{\"type\":\"busy\",\"not_run\":true}}\n"
#define TOO_LARGE                                                             \
  "{\"error\":{\"type\":\"body_too_large\",\"not_run\":true}}\n"
#define RETRY_AFTER_S "0.5"

void
httpd_report_rejection (const struct httpd *httpd, enum httpd_reject why,
                        const char *fault)
{
  if (httpd->options.rejected != NULL)
    httpd->options.rejected (httpd->options.user, why, fault);
}

static enum MHD_Result
reject_with (struct httpd_request *request, unsigned status,
             struct MHD_Response *response)
{
  enum MHD_Result result;

  request->closes = true;
  request->rejected = true;
  request->announced = 0;
  g_string_truncate (request->body, 0);
  httpd_hold (request);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           "application/json");
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  result = MHD_queue_response (request->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

enum MHD_Result
httpd_reject_large_body (struct httpd_request *request)
{
  static const char text[] = TOO_LARGE;

  httpd_report_rejection (request->httpd, HTTPD_REJECT_BODY_TOO_LARGE, NULL);
  return reject_with (
      request, MHD_HTTP_CONTENT_TOO_LARGE,
      MHD_create_response_from_buffer (sizeof text - 1, (void *)text,
                                       MHD_RESPMEM_PERSISTENT));
}

enum MHD_Result
httpd_reject_busy (struct httpd_request *request)
{
  static const char text[] = BUSY;
  struct MHD_Response *response = MHD_create_response_from_buffer (
      sizeof text - 1, (void *)text, MHD_RESPMEM_PERSISTENT);

  MHD_add_response_header (response, MHD_HTTP_HEADER_RETRY_AFTER,
                           RETRY_AFTER_S);
  httpd_report_rejection (request->httpd, HTTPD_REJECT_BUSY, NULL);
  return reject_with (request, MHD_HTTP_SERVICE_UNAVAILABLE, response);
}

/* Nobody can tell where the request ends, so its connection is closed.  */
enum MHD_Result
httpd_reject_malformed (struct httpd_request *request, const char *fault)
{
  char *text = g_strdup_printf ("{\"error\":{\"type\":\"malformed_request\","
                                "\"message\":\"%s\",\"not_run\":true}}\n",
                                fault);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_COPY);

  g_free (text);
  httpd_report_rejection (request->httpd, HTTPD_REJECT_MALFORMED, fault);
  return reject_with (request, MHD_HTTP_BAD_REQUEST, response);
}

void
httpd_report_unparsed (const struct httpd_request *request)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      request->connection, MHD_CONNECTION_INFO_HTTP_STATUS);

  if (info != NULL && info->http_status >= MHD_HTTP_BAD_REQUEST)
    httpd_report_rejection (request->httpd, HTTPD_REJECT_UNPARSED,
                            MHD_get_reason_phrase_for (info->http_status));
}

/* Bytes that are unread when a connection is closed cause a reset, which may
   overtake the response.  */
static void
discard_from (int fd)
{
  char bytes[DISCARD_BLOCK_BYTES];
  size_t left = DISCARD_UNREAD_MAX;
  ssize_t n;

  do
    {
      n = recv (fd, bytes, sizeof bytes, MSG_DONTWAIT);
      left -= n > 0 ? (size_t)n : 0;
    }
  while (n > 0 && left >= sizeof bytes);
}

void
httpd_discard_unread (const struct httpd_request *request)
{
  discard_from (MHD_get_connection_info (request->connection,
                                         MHD_CONNECTION_INFO_CONNECTION_FD)
                    ->connect_fd);
}

void
httpd_send_refusal (int fd, enum httpd_reject why)
{
  bool too_large = why == HTTPD_REJECT_BODY_TOO_LARGE
                   || why == HTTPD_REJECT_UNWANTED_BODY;
  const char *body = too_large ? TOO_LARGE : BUSY;
  char text[512];
  int n = g_snprintf (text, sizeof text,
                      "HTTP/1.1 %s\r\nConnection: close\r\n%s"
                      "Content-Type: application/json\r\n"
                      "Content-Length: %zu\r\n\r\n%s",
                      too_large ? "413 Content Too Large"
                                : "503 Service Unavailable",
                      too_large ? "" : "Retry-After: " RETRY_AFTER_S "\r\n",
                      strlen (body), body);

  send (fd, text, (size_t)n, MSG_DONTWAIT | MSG_NOSIGNAL);
  discard_from (fd);
}

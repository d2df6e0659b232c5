#include "httpd.h"

#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <microhttpd.h>
#include <glib.h>
#include "httpd_body.h"
#include "httpd_conn.h"
#include "httpd_head.h"
#include "httpd_reject.h"
#include "httpd_state.h"
#include "listen.h"
#include "ts.h"

#define DEFAULT_MAX_CONNECTIONS 4096u
#define DEFAULT_IDLE_TIMEOUT_S 30u
#define DEFAULT_HEAD_TIMEOUT_MS 5000
#define CONNECTION_CHECK_MS 250
#define STUCK_CHECK_MS 50
#define STUCK_CHECKS 2 /* in succession, until a connection is closed */

void
httpd_resume (struct httpd_request *request)
{
  if (!request->suspended)
    return;
  request->suspended = false;
  request->httpd->run_pending = true;
  MHD_resume_connection (request->connection);
}

void
httpd_suspend (struct httpd_request *request)
{
  request->suspended = true;
  MHD_suspend_connection (request->connection);
}

static void
request_free (struct httpd_request *request)
{
  loop_unwatch (request->httpd->options.loop, &request->disconnect);
  CK_LIST_REMOVE (request, link);
  if (request->tiny_chunks)
    request->httpd->tiny_uploads--;
  if (request->response != NULL)
    MHD_destroy_response (request->response);
  g_string_free (request->body, TRUE);
  g_string_free (request->out, TRUE);
  g_free (request->method);
  g_free (request->path);
  g_free (request->uri);
  g_free (request);
}

/* Called first for each request, with the raw request target.  */
static void *
on_uri (void *cls, const char *uri, struct MHD_Connection *connection)
{
  struct httpd *httpd = cls;
  struct httpd_request *request = g_new0 (struct httpd_request, 1);

  request->httpd = httpd;
  request->connection = connection;
  request->uri = g_strdup (uri);
  request->body = g_string_new (NULL);
  request->conn = httpd_conn_of (connection);
  request->conn->request = request;
  request->out = g_string_new (NULL);
  CK_LIST_INSERT_HEAD (&httpd->requests, request, link);
  return request;
}

struct httpd_conn *
httpd_conn_of (struct MHD_Connection *connection)
{
  return MHD_get_connection_info (connection,
                                  MHD_CONNECTION_INFO_SOCKET_CONTEXT)
      ->socket_context;
}

static void
on_disconnect (struct loop_watch *watch, uint32_t events)
{
  struct httpd_request *request
      = (struct httpd_request *)((char *)watch
                                 - offsetof (struct httpd_request,
                                             disconnect));

  (void)events;
  loop_unwatch (request->httpd->options.loop, watch);
  request->aborted = true;
  httpd_resume (request);
}

static void
watch_disconnect (struct httpd_request *request)
{
  request->disconnect.ready = on_disconnect;
  request->disconnect.fd
      = MHD_get_connection_info (request->connection,
                                 MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
  loop_watch (request->httpd->options.loop, &request->disconnect, EPOLLRDHUP);
}

/* Suspends the connection before the request callback, so that an immediate
   response takes the same path as a later one.  */
enum MHD_Result
httpd_dispatch (struct httpd_request *request)
{
  struct httpd *httpd = request->httpd;

  if (!membudget_may_call (httpd->options.budget))
    return httpd_reject_busy (request);
  request->stage = STAGE_DISPATCHED;
  httpd->open_requests++;
  httpd_suspend (request);
  httpd_conn_stop_timer (request->conn);
  httpd_conn_set_state (request->conn, MEMBUDGET_RUNNING);
  watch_disconnect (request);
  httpd->options.request (httpd->options.user, request);
  return MHD_YES;
}

static enum MHD_Result
queue_response (struct httpd_request *request)
{
  enum MHD_Result result = MHD_queue_response (
      request->connection, request->status, request->response);

  request->stage = STAGE_RESPONDED;
  httpd_conn_set_state (request->conn, MEMBUDGET_SENDING);
  MHD_destroy_response (request->response);
  request->response = NULL;
  return result;
}

/* Removes scheme and host, which equal the header Host.  */
static void
strip_target (struct httpd_request *request)
{
  size_t prefix = httpd_head_prefix (request->uri);
  const char *rest = request->uri + prefix;
  char *uri;

  if (prefix == 0)
    return;
  uri = g_strconcat (*rest == '/' ? "" : "/", rest, NULL);
  g_free (request->uri);
  request->uri = uri;
}

static enum MHD_Result
accept_head (struct httpd_request *request, const struct httpd_head_line *line)
{
  const char *fault = httpd_head_fault (request->connection, line);
  const char *path;

  if (fault != NULL)
    return httpd_reject_malformed (request, fault);
  request->has_chunks = strcmp (line->version, MHD_HTTP_VERSION_1_0) != 0;
  request->chunked = httpd_header (request, "Transfer-Encoding") != NULL;
  request->closes = request->chunked;
  path = line->path + httpd_head_prefix (request->uri);
  request->path = g_strdup (*path != '\0' ? path : "/");
  strip_target (request);
  request->method = g_strdup (line->method);
  request->stage = STAGE_BODY;
  return httpd_body_begin (request);
}

static enum MHD_Result
end_body (struct httpd_request *request)
{
  const char *fault = request->chunked
                          ? httpd_head_trailer_fault (request->connection)
                          : NULL;

  if (fault != NULL)
    return httpd_reject_malformed (request, fault);
  if (request->too_large)
    return httpd_reject_large_body (request);
  return httpd_dispatch (request);
}

static enum MHD_Result
on_access (void *cls, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *size, void **con_cls)
{
  struct httpd_request *request = *con_cls;

  (void)cls;
  (void)connection;
  if (request->stage == STAGE_HEAD)
    {
      const struct httpd_head_line line = { .method = method,
                                            .path = url,
                                            .target = request->uri,
                                            .version = version };

      return accept_head (request, &line);
    }
  if (request->conn->account.closing)
    return MHD_NO;
  if (request->stage == STAGE_BODY && *size > 0)
    {
      size_t n = *size;

      *size = 0;
      request->stuck = 0;
      return httpd_body_append (request, data, n);
    }
  if (request->stage == STAGE_BODY)
    return end_body (request);
  if (request->aborted)
    return MHD_NO;
  if (request->stage == STAGE_DISPATCHED && request->response != NULL)
    return queue_response (request);
  return MHD_YES;
}

static void
on_completed (void *cls, struct MHD_Connection *connection, void **con_cls,
              enum MHD_RequestTerminationCode code)
{
  struct httpd *httpd = cls;
  struct httpd_request *request = *con_cls;
  bool complete = code == MHD_REQUEST_TERMINATED_COMPLETED_OK;

  (void)connection;
  if (request == NULL)
    return;
  *con_cls = NULL;
  if (request->stage <= STAGE_BODY && !request->rejected)
    httpd_report_unparsed (request);
  if (request->closes && complete)
    httpd_discard_unread (request);
  httpd_conn_start_timer (request->conn);
  httpd_conn_request_ended (request->conn);
  if (request->stage > STAGE_BODY)
    {
      httpd->open_requests--;
      httpd->options.gone (httpd->options.user, request, complete);
    }
  request_free (request);
}

static void
on_daemon_ready (struct loop_watch *watch, uint32_t events)
{
  struct httpd *httpd
      = (struct httpd *)((char *)watch - offsetof (struct httpd, watch));

  (void)events;
  MHD_run (httpd->daemon);
}

static bool
has_unread_bytes (const struct httpd_request *request)
{
  int fd = MHD_get_connection_info (request->connection,
                                    MHD_CONNECTION_INFO_CONNECTION_FD)
               ->connect_fd;
  int n = 0;

  return ioctl (fd, FIONREAD, &n) == 0 && n > 0;
}

static void
close_connection (const struct httpd_request *request)
{
  shutdown (MHD_get_connection_info (request->connection,
                                     MHD_CONNECTION_INFO_CONNECTION_FD)
                ->connect_fd,
            SHUT_RDWR);
}

/* Closes connections that libmicrohttpd does not read from although a body is
   expected and bytes have come.  A chunk extension that fills the memory of
   its connection has this effect; libmicrohttpd then asks to be run again at
   once, until the time limit of the request.  */
static void
close_stuck_connections (struct httpd *httpd)
{
  struct timespec now = loop_now (httpd->options.loop);
  struct httpd_request *request;

  if (ts_before (now, ts_add_ms (httpd->stuck_checked_at, STUCK_CHECK_MS)))
    return;
  httpd->stuck_checked_at = now;
  CK_LIST_FOREACH (request, &httpd->requests, link)
    {
      if (request->stage != STAGE_BODY || !has_unread_bytes (request))
        request->stuck = 0;
      else if (++request->stuck >= STUCK_CHECKS)
        close_connection (request);
    }
}

/* No descriptor becomes ready for resumed connections and for timeouts of
   libmicrohttpd, so it also runs before the loop sleeps.  */
static int
run_before_sleep (struct loop_prepare *prepare)
{
  struct httpd *httpd
      = (struct httpd *)((char *)prepare - offsetof (struct httpd, prepare));
  MHD_UNSIGNED_LONG_LONG ms;

  while (httpd->run_pending)
    {
      httpd->run_pending = false;
      MHD_run (httpd->daemon);
    }
  if (MHD_get_timeout (httpd->daemon, &ms) != MHD_YES)
    return -1;
  if (ms == 0)
    {
      httpd->run_pending = true;
      close_stuck_connections (httpd);
    }
  return ms > 1000 ? 1000 : (int)ms;
}

static void
on_connection (void *cls, struct MHD_Connection *connection, void **context,
               enum MHD_ConnectionNotificationCode code)
{
  struct httpd *httpd = cls;

  if (code == MHD_CONNECTION_NOTIFY_CLOSED)
    {
      /* At its limit libmicrohttpd accepts again only in its next run.  */
      if (httpd->connections-- >= httpd->options.max_connections)
        httpd->run_pending = true;
      httpd_conn_free (*context);
      *context = NULL;
      return;
    }
  httpd->connections++;
  *context = httpd_conn_new (httpd, connection);
}

static void
on_check_timer (struct loop_timer *timer)
{
  struct httpd *httpd
      = (struct httpd *)((char *)timer - offsetof (struct httpd, check_timer));
  struct timespec now = loop_now (httpd->options.loop);

  httpd_conn_check_all (httpd, now);
  membudget_relieve (httpd->options.budget, now);
  loop_timer_set (httpd->options.loop, timer,
                  ts_add_ms (now, CONNECTION_CHECK_MS));
}

static struct MHD_Daemon *
start_daemon (struct httpd *httpd, int fd)
{
  const struct httpd_options *settings = &httpd->options;
  unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_TURBO;

  return MHD_start_daemon (
      flags, 0, NULL, NULL, on_access, httpd, MHD_OPTION_LISTEN_SOCKET, fd,
      MHD_OPTION_CONNECTION_LIMIT, settings->max_connections,
      MHD_OPTION_CONNECTION_TIMEOUT, settings->idle_timeout_s,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, settings->head_memory,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, httpd,
      MHD_OPTION_URI_LOG_CALLBACK, on_uri, httpd, MHD_OPTION_NOTIFY_COMPLETED,
      on_completed, httpd, MHD_OPTION_END);
}

static void
fill_defaults (struct httpd_options *options)
{
  if (options->max_connections == 0)
    options->max_connections = DEFAULT_MAX_CONNECTIONS;
  if (options->idle_timeout_s == 0)
    options->idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S;
  if (options->body_max == 0)
    options->body_max = HTTPD_BODY_MAX;
  if (options->head_timeout_ms == 0)
    options->head_timeout_ms = DEFAULT_HEAD_TIMEOUT_MS;
  if (options->idle_ms == 0)
    options->idle_ms = (int64_t)options->idle_timeout_s * TS_MS_PER_S;
  if (options->head_memory == 0)
    options->head_memory = HTTPD_HEAD_MEMORY;
}

int
httpd_new (const struct httpd_options *options, struct httpd **out)
{
  struct httpd *httpd = g_new0 (struct httpd, 1);
  int fd;
  int err;

  httpd->options = *options;
  CK_LIST_INIT (&httpd->requests);
  TAILQ_INIT (&httpd->conns);
  fill_defaults (&httpd->options);
  httpd->port = options->port;
  httpd->group.limit = httpd->options.max_connections;
  httpd->group.base = httpd->options.head_memory;
  fd = listen_tcp (options->address, &httpd->port, options->share_port);
  if (fd < 0)
    {
      g_free (httpd);
      return fd;
    }
  httpd->daemon = start_daemon (httpd, fd);
  if (httpd->daemon == NULL)
    {
      close (fd);
      g_free (httpd);
      return -ENOMEM;
    }
  httpd->watch.fd
      = MHD_get_daemon_info (httpd->daemon, MHD_DAEMON_INFO_EPOLL_FD)
            ->epoll_fd;
  httpd->watch.ready = on_daemon_ready;
  httpd->prepare.prepare = run_before_sleep;
  err = loop_watch (options->loop, &httpd->watch, EPOLLIN);
  loop_prepare_add (options->loop, &httpd->prepare);
  httpd->check_timer.fire = on_check_timer;
  loop_timer_set (options->loop, &httpd->check_timer,
                  ts_add_ms (loop_now (options->loop), CONNECTION_CHECK_MS));
  if (err < 0)
    {
      httpd_free (httpd);
      return err;
    }
  *out = httpd;
  return 0;
}

/* MHD_stop_daemon requires that no connection is suspended.  */
static void
abort_all (struct httpd *httpd)
{
  struct httpd_request *request;

  CK_LIST_FOREACH (request, &httpd->requests, link)
    {
      request->aborted = true;
      httpd_resume (request);
    }
}

void
httpd_free (struct httpd *httpd)
{
  if (httpd == NULL)
    return;
  abort_all (httpd);
  loop_unwatch (httpd->options.loop, &httpd->watch);
  loop_prepare_remove (&httpd->prepare);
  loop_timer_clear (httpd->options.loop, &httpd->check_timer);
  MHD_stop_daemon (httpd->daemon);
  g_free (httpd);
}

uint16_t
httpd_port (const struct httpd *httpd)
{
  return httpd->port;
}

void
httpd_set_body_max (struct httpd *httpd, size_t bytes)
{
  httpd->options.body_max = bytes;
}

void
httpd_set_timeouts (struct httpd *httpd, int64_t head_ms, int64_t idle_ms)
{
  httpd->options.head_timeout_ms = head_ms;
  httpd->options.idle_ms = idle_ms;
  fill_defaults (&httpd->options);
}

void
httpd_quiesce (struct httpd *httpd)
{
  int fd = MHD_quiesce_daemon (httpd->daemon);

  if (fd >= 0)
    close (fd);
}

unsigned
httpd_open_requests (const struct httpd *httpd)
{
  return httpd->open_requests;
}

void
httpd_send_response (struct httpd_request *request,
                     struct MHD_Response *response, unsigned status,
                     const char *content_type, const char *const *headers)
{
  if (content_type != NULL && *content_type != '\0')
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                             content_type);
  for (; headers != NULL && headers[0] != NULL; headers += 2)
    MHD_add_response_header (response, headers[0], headers[1]);
  if (request->closes)
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  request->response = response;
  request->status = status;
  httpd_hold (request);
  httpd_resume (request);
}

void
httpd_respond (struct httpd_request *request, unsigned status,
               const char *content_type, const char *const *headers,
               const void *body, size_t length)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      length, (void *)body, MHD_RESPMEM_MUST_COPY);

  request->response_bytes = length;
  httpd_send_response (request, response, status, content_type, headers);
}

void
httpd_drop (struct httpd_request *request)
{
  request->aborted = true;
  httpd_resume (request);
}

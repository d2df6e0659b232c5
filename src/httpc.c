#include "httpc.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <curl/curl.h>
#include <glib.h>
#include "httpc_head.h"
#include "membudget.h"
#include "probe.h"
#include "ts.h"

#define DEFAULT_MAX_CONNECTIONS 256L
#define DEFAULT_MAX_AGE_S 60L
#define TCP_USER_TIMEOUT_MS 4000u
#define KEEPALIVE_IDLE_S 2 /* idle time before the first probe */
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 3
#define DRAIN_BYTES (16u << 10) /* read at once */
/* libcurl reads up to 100 times before it returns to the loop.  */
#define READ_BYTES 2048L
#define HEAD_LINE_OVERHEAD 32 /* bytes, as in RFC 9113, section 6.5.2 */

CK_LIST_HEAD (call_list, httpc_call);

struct socket_watch
{
  struct loop_watch watch;
  struct httpc *httpc;
  struct httpc_call *call; /* that uses the socket; NULL: idle */
  bool is_connection;      /* owned by httpc->connections */
  char *path;              /* connection_path; NULL until the first request */
};

struct httpc
{
  struct loop *loop;
  CURLM *multi;
  struct loop_timer timer;
  struct call_list calls;
  GHashTable *connections; /* descriptor to struct socket_watch */
  GHashTable *broken; /* set of paths of connections that must not be used */
  struct socket_watch *serving; /* in read_socket, unless removed */
  long max_age_s;
  struct membudget *budget; /* NULL: none */
  size_t collected_max;     /* bytes */
  size_t collected;         /* bytes of all calls */
};

struct httpc_call
{
  CK_LIST_ENTRY (httpc_call) link;
  struct httpc *httpc;
  CURL *easy;
  struct socket_watch *connection; /* NULL: none */
  int connection_fd;               /* of CONNECTION */
  struct curl_slist *headers;
  struct httpc_request request;
  struct loop_timer idle_timer;
  struct probe probe; /* of the server, after a body without a length */
  char *body;
  GString *collected;
  enum httpc_phase phase;
  size_t head_bytes;      /* received so far, see httpc_request.head_max */
  struct httpc_head head; /* of the response */
  bool ambiguous;         /* the head can be read in two ways */
  int body_error;         /* negative errno from the body callback */
  bool too_large;         /* the response is over a limit of the request */
  size_t silent_bytes;    /* read since the last callback, at least */
  bool delivered;         /* the last read of the socket made a callback */
  bool body_started;
  bool passed_on; /* the body goes to body_cb */
  bool idle_timed_out;
  bool reused;
  bool broken; /* the connection chosen for reuse is not to be used */
  bool resend_attempted; /* curl tried to send the request again */
};

/* A connection that a call leaves open is watched: its server has nothing to
   send until the next request.  Another call may have taken it over, or curl
   closed it for that one, before this call ends.  */
static void
release_connection (struct httpc_call *call)
{
  struct socket_watch *connection = g_hash_table_lookup (
      call->httpc->connections, GINT_TO_POINTER (call->connection_fd));

  if (connection == NULL || connection != call->connection
      || connection->call != call)
    return;
  connection->call = NULL;
  loop_watch (call->httpc->loop, &connection->watch, EPOLLIN);
}

static void
call_free (struct httpc_call *call)
{
  loop_timer_clear (call->httpc->loop, &call->idle_timer);
  probe_cancel (&call->probe);
  CK_LIST_REMOVE (call, link);
  curl_multi_remove_handle (call->httpc->multi, call->easy);
  curl_easy_cleanup (call->easy);
  release_connection (call);
  curl_slist_free_all (call->headers);
  call->httpc->collected -= call->collected->len;
  membudget_add (call->httpc->budget, -(int64_t)call->collected->len);
  membudget_add_call (call->httpc->budget, -1);
  g_string_free (call->collected, TRUE);
  g_free (call->body);
  g_free (call);
}

static int
curl_code_to_errno (CURLcode code)
{
  switch (code)
    {
    case CURLE_OK:
      return 0;
    case CURLE_OPERATION_TIMEDOUT:
      return -ETIMEDOUT;
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
      return -EINVAL;
    case CURLE_UNSUPPORTED_PROTOCOL: /* the response is not HTTP/1 */
    case CURLE_WEIRD_SERVER_REPLY:
      return -EPROTO;
    case CURLE_GOT_NOTHING:
    case CURLE_RECV_ERROR:
    case CURLE_SEND_ERROR:
      return -ECONNRESET;
    case CURLE_PARTIAL_FILE:
      return -EPIPE;
    case CURLE_OUT_OF_MEMORY: /* a line is over libcurl's own limit */
      return -EMSGSIZE;
    default:
      return -EIO;
    }
}

/* The errno of connect, which tells a refused connection from an unreachable
   host.  */
static int
connect_error (CURL *easy)
{
  long os_error = 0;

  curl_easy_getinfo (easy, CURLINFO_OS_ERRNO, &os_error);
  return os_error != 0 ? -(int)os_error : -EHOSTUNREACH;
}

static bool
is_chunked (const char *coding)
{
  const char *last = coding != NULL ? strrchr (coding, ',') : NULL;
  char *name = g_strdup (last != NULL ? last + 1 : coding);
  bool chunked
      = name != NULL && g_ascii_strcasecmp (g_strstrip (name), "chunked") == 0;

  g_free (name);
  return chunked;
}

/* Whether nothing in the response told the length of its body, so that it
   ended with the connection, see RFC 9112, section 6.3.  */
static bool
has_body_until_close (const struct httpc_call *call)
{
  const char *method = call->request.method;
  curl_off_t length = -1;
  long status = 0;

  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  if (status < 200 || status == 204 || status == 304
      || (method != NULL && strcmp (method, "HEAD") == 0))
    return false;
  curl_easy_getinfo (call->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
  return length < 0
         && !is_chunked (httpc_response_header (call, "Transfer-Encoding"));
}

/* libcurl ignores a length that it cannot represent.  */
static bool
is_length_ignored (const struct httpc_call *call)
{
  return has_body_until_close (call)
         && httpc_response_header (call, "Content-Length") != NULL;
}

/* libcurl takes the end of the connection within the head, or between an
   interim response and the final one, for the end of an empty response.  */
static bool
is_head_truncated (const struct httpc_call *call, CURLcode code)
{
  return code == CURLE_OK && !call->request.connect_only && !call->head.ended;
}

static int
call_error (const struct httpc_call *call, CURLcode code)
{
  if (code == CURLE_COULDNT_CONNECT)
    return connect_error (call->easy);
  if (call->too_large)
    return -EMSGSIZE;
  if (call->ambiguous)
    return -EPROTO;
  if (call->body_error != 0)
    return call->body_error;
  if (call->idle_timed_out)
    return -ETIMEDOUT;
  if (call->resend_attempted)
    return -ECONNRESET;
  if (is_head_truncated (call, code))
    return -EPIPE;
  if (code == CURLE_OK && is_length_ignored (call))
    return -EPROTO;
  return curl_code_to_errno (code);
}

static void
fill_result (struct httpc_call *call, CURLcode code,
             struct httpc_result *result)
{
  char *type = NULL;
  curl_off_t retry_after = 0;

  result->error = call_error (call, code);
  if (result->error == 0 && call->phase >= HTTPC_SENT)
    call->phase = HTTPC_COMPLETE;
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &result->status);
  curl_easy_getinfo (call->easy, CURLINFO_CONTENT_TYPE, &type);
  curl_easy_getinfo (call->easy, CURLINFO_CONNECT_TIME, &result->connect_s);
  curl_easy_getinfo (call->easy, CURLINFO_RETRY_AFTER, &retry_after);
  result->retry_after_s = (long)retry_after;
  result->content_type = type != NULL ? type : "";
  result->phase = call->phase;
  result->reused = call->reused;
  result->until_close = has_body_until_close (call);
  result->head_ended = call->head.ended;
  result->body = call->passed_on ? NULL : call->collected->str;
  result->length = call->collected->len;
}

static void
finish (struct httpc_call *call, CURLcode code)
{
  struct httpc_result result = { 0 };

  fill_result (call, code, &result);
  if (call->request.done != NULL)
    call->request.done (call->request.user, &result);
  call_free (call);
}

/* Nothing was sent on the connection that was chosen.  */
static void
restart_on_new_connection (struct httpc_call *call)
{
  CURLM *multi = call->httpc->multi;

  call->broken = false;
  curl_multi_remove_handle (multi, call->easy);
  curl_easy_setopt (call->easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_multi_add_handle (multi, call->easy);
}

static void
on_probed (struct probe *probe, bool refused)
{
  struct httpc_call *call
      = (struct httpc_call *)((char *)probe
                              - offsetof (struct httpc_call, probe));

  finish (call, refused ? CURLE_RECV_ERROR : CURLE_OK);
}

/* The kernel also ends the connections of a process that dies, so such a body
   is complete only if its server is still there.  */
static void
probe_server (struct httpc_call *call)
{
  struct loop *loop = call->httpc->loop;
  char *address = NULL;
  long port = 0;

  loop_timer_clear (loop, &call->idle_timer);
  curl_easy_getinfo (call->easy, CURLINFO_PRIMARY_IP, &address);
  curl_easy_getinfo (call->easy, CURLINFO_PRIMARY_PORT, &port);
  probe_start (&call->probe, loop, address != NULL ? address : "",
               (uint16_t)port, on_probed);
}

static void
finish_completed (struct httpc *httpc)
{
  CURLMsg *msg;
  int remaining;

  while ((msg = curl_multi_info_read (httpc->multi, &remaining)) != NULL)
    {
      struct httpc_call *call = NULL;
      CURLcode code = msg->data.result;

      if (msg->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (msg->easy_handle, CURLINFO_PRIVATE, &call);
      if (call->broken)
        restart_on_new_connection (call);
      else if (code == CURLE_OK && call->head.ended
               && has_body_until_close (call))
        probe_server (call);
      else
        finish (call, code);
    }
}

static size_t
queued_bytes (int fd)
{
  int n = 0;

  return ioctl (fd, FIONREAD, &n) == 0 && n > 0 ? (size_t)n : 1;
}

static void
act_on_socket (struct httpc *httpc, int fd, uint32_t events)
{
  int flags = 0;
  int running;

  if (events & EPOLLIN)
    flags |= CURL_CSELECT_IN;
  if (events & EPOLLOUT)
    flags |= CURL_CSELECT_OUT;
  if (events & (EPOLLERR | EPOLLHUP))
    flags |= CURL_CSELECT_ERR;
  curl_multi_socket_action (httpc->multi, fd, flags, &running);
}

/* libcurl skips chunk extensions and surplus CRs between chunks without a
   callback and without a limit.  The queued bytes are asked for only after a
   read without a callback.  */
static void
read_socket (struct httpc *httpc, struct socket_watch *socket_watch,
             uint32_t events)
{
  struct httpc_call *call = socket_watch->call;
  int fd = socket_watch->watch.fd;
  size_t n = call->delivered ? 0 : queued_bytes (fd);

  call->delivered = false;
  httpc->serving = socket_watch;
  act_on_socket (httpc, fd, events);
  if (httpc->serving == NULL)
    return;
  httpc->serving = NULL;
  call->silent_bytes = call->delivered ? 0 : call->silent_bytes + n;
  if (call->silent_bytes <= call->request.head_max)
    return;
  call->too_large = true;
  finish (call, CURLE_RECV_ERROR);
}

/* The server has closed an idle connection, or sent bytes that belong to no
   request and would be taken for the next response.  libcurl notices neither
   such bytes nor a reset before it uses the connection.  */
static void
shut_down_idle (struct socket_watch *connection)
{
  struct httpc *httpc = connection->httpc;
  char bytes[DRAIN_BYTES];
  int fd = connection->watch.fd;

  loop_unwatch (httpc->loop, &connection->watch);
  shutdown (fd, SHUT_RDWR);
  while (recv (fd, bytes, sizeof bytes, MSG_DONTWAIT) > 0)
    ;
  if (connection->path != NULL)
    g_hash_table_add (httpc->broken, g_strdup (connection->path));
}

static void
on_socket_ready (struct loop_watch *watch, uint32_t events)
{
  struct socket_watch *socket_watch = (struct socket_watch *)watch;
  struct httpc *httpc = socket_watch->httpc;

  if (socket_watch->call == NULL)
    {
      shut_down_idle (socket_watch);
      return;
    }
  if (events & EPOLLIN)
    read_socket (httpc, socket_watch, events);
  else
    act_on_socket (httpc, watch->fd, events);
  finish_completed (httpc);
}

static uint32_t
epoll_events (int what)
{
  uint32_t events = 0;

  if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
    events |= EPOLLIN;
  if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
    events |= EPOLLOUT;
  return events;
}

static struct socket_watch *
socket_watch_new (struct httpc *httpc, int fd)
{
  struct socket_watch *socket_watch = g_new0 (struct socket_watch, 1);

  socket_watch->httpc = httpc;
  socket_watch->watch.fd = fd;
  socket_watch->watch.ready = on_socket_ready;
  return socket_watch;
}

static void
connection_free (gpointer data)
{
  struct socket_watch *connection = data;

  loop_unwatch (connection->httpc->loop, &connection->watch);
  if (connection->call != NULL && connection->call->connection == connection)
    connection->call->connection = NULL;
  if (connection->path != NULL)
    g_hash_table_remove (connection->httpc->broken, connection->path);
  g_free (connection->path);
  g_free (connection);
}

static void
stop_watching (struct httpc *httpc, struct socket_watch *socket_watch)
{
  if (socket_watch == NULL)
    return;
  loop_unwatch (httpc->loop, &socket_watch->watch);
  if (httpc->serving == socket_watch)
    httpc->serving = NULL;
  if (!socket_watch->is_connection)
    g_free (socket_watch);
}

static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *user,
           void *socket_data)
{
  struct httpc *httpc = user;
  struct socket_watch *socket_watch = socket_data;

  if (what == CURL_POLL_REMOVE)
    {
      stop_watching (httpc, socket_watch);
      return 0;
    }
  if (socket_watch == NULL)
    {
      socket_watch
          = g_hash_table_lookup (httpc->connections, GINT_TO_POINTER (fd));
      if (socket_watch == NULL)
        socket_watch = socket_watch_new (httpc, fd);
      curl_multi_assign (httpc->multi, fd, socket_watch);
    }
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &socket_watch->call);
  if (socket_watch->is_connection)
    {
      socket_watch->call->connection = socket_watch;
      socket_watch->call->connection_fd = fd;
    }
  loop_watch (httpc->loop, &socket_watch->watch, epoll_events (what));
  return 0;
}

static void
on_multi_timer (struct loop_timer *timer)
{
  struct httpc *httpc
      = (struct httpc *)((char *)timer - offsetof (struct httpc, timer));
  int running;

  curl_multi_socket_action (httpc->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  finish_completed (httpc);
}

static int
set_multi_timer (CURLM *multi, long ms, void *user)
{
  struct httpc *httpc = user;

  (void)multi;
  if (ms < 0)
    loop_timer_clear (httpc->loop, &httpc->timer);
  else
    loop_timer_set (httpc->loop, &httpc->timer,
                    ts_add_ms (loop_now (httpc->loop), ms));
  return 0;
}

struct httpc *
httpc_new (const struct httpc_options *options)
{
  struct httpc *httpc = g_new0 (struct httpc, 1);
  long max_connections = options->max_connections;

  httpc->loop = options->loop;
  httpc->budget = options->budget;
  httpc->max_age_s = options->max_connection_age_s;
  if (httpc->max_age_s == 0)
    httpc->max_age_s = DEFAULT_MAX_AGE_S;
  httpc->collected_max = options->collected_max;
  if (httpc->collected_max == 0)
    httpc->collected_max = HTTPC_COLLECTED_MAX;
  httpc->timer.fire = on_multi_timer;
  CK_LIST_INIT (&httpc->calls);
  httpc->connections = g_hash_table_new_full (g_direct_hash, g_direct_equal,
                                              NULL, connection_free);
  httpc->broken
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  httpc->multi = curl_multi_init ();
  if (httpc->multi == NULL)
    {
      g_hash_table_unref (httpc->connections);
      g_hash_table_unref (httpc->broken);
      g_free (httpc);
      return NULL;
    }
  curl_multi_setopt (httpc->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (httpc->multi, CURLMOPT_SOCKETDATA, httpc);
  curl_multi_setopt (httpc->multi, CURLMOPT_TIMERFUNCTION, set_multi_timer);
  curl_multi_setopt (httpc->multi, CURLMOPT_TIMERDATA, httpc);
  curl_multi_setopt (httpc->multi, CURLMOPT_MAXCONNECTS,
                     max_connections != 0 ? max_connections
                                          : DEFAULT_MAX_CONNECTIONS);
  curl_multi_setopt (httpc->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  return httpc;
}

static void
finish_cancelled (struct httpc_call *call)
{
  struct httpc_result result
      = { .error = -ECANCELED, .phase = call->phase, .content_type = "" };

  if (call->request.done != NULL)
    call->request.done (call->request.user, &result);
}

void
httpc_free (struct httpc *httpc)
{
  struct httpc_call *call;

  if (httpc == NULL)
    return;
  while ((call = CK_LIST_FIRST (&httpc->calls)) != NULL)
    {
      finish_cancelled (call);
      call_free (call);
    }
  curl_multi_cleanup (httpc->multi);
  g_hash_table_unref (httpc->connections);
  g_hash_table_unref (httpc->broken);
  loop_timer_clear (httpc->loop, &httpc->timer);
  g_free (httpc);
}

static int64_t
idle_timeout (const struct httpc_call *call)
{
  const struct httpc_request *request = &call->request;

  if (call->body_started && request->body_idle_timeout_ms > 0)
    return request->body_idle_timeout_ms;
  if (call->phase == HTTPC_SENT && call->reused
      && request->reused_idle_timeout_ms > 0)
    return request->reused_idle_timeout_ms;
  return request->idle_timeout_ms;
}

static void
restart_idle_timer (struct httpc_call *call)
{
  struct loop *loop = call->httpc->loop;
  int64_t ms = idle_timeout (call);

  if (ms > 0)
    loop_timer_set (loop, &call->idle_timer, ts_add_ms (loop_now (loop), ms));
  else
    loop_timer_clear (loop, &call->idle_timer);
}

static void
on_idle_timer (struct loop_timer *timer)
{
  struct httpc_call *call
      = (struct httpc_call *)((char *)timer
                              - offsetof (struct httpc_call, idle_timer));
  struct loop *loop = call->httpc->loop;
  int64_t wait_ms = call->request.silent != NULL
                        ? call->request.silent (call->request.user)
                        : 0;

  if (wait_ms > 0)
    {
      loop_timer_set (loop, timer, ts_add_ms (loop_now (loop), wait_ms));
      return;
    }
  call->idle_timed_out = true;
  finish (call, CURLE_OPERATION_TIMEDOUT);
}

/* Identifies a connection.  */
static char *
connection_path (const char *peer, int peer_port, int local_port)
{
  return g_strdup_printf ("%s:%d:%d", peer, peer_port, local_port);
}

static void
note_path (struct httpc_call *call, char *path)
{
  struct socket_watch *connection = call->connection;

  if (connection == NULL)
    {
      g_free (path);
      return;
    }
  g_free (connection->path);
  connection->path = path;
}

static bool
is_broken (const struct httpc *httpc, char *path)
{
  bool broken = g_hash_table_contains (httpc->broken, path);

  g_free (path);
  return broken;
}

/* curl resends a request by itself when a reused connection breaks before the
   first byte of the response, whatever the method.  Only the caller knows
   whether a retry is safe, so the second attempt is aborted here.  */
static int
on_prereq (void *user, char *peer, char *local, int peer_port, int local_port)
{
  struct httpc_call *call = user;
  long connects = 0;

  (void)local;
  if (call->phase != HTTPC_UNSENT)
    {
      call->resend_attempted = true;
      return CURL_PREREQFUNC_ABORT;
    }
  curl_easy_getinfo (call->easy, CURLINFO_NUM_CONNECTS, &connects);
  call->reused = connects == 0;
  if (!call->reused)
    note_path (call, connection_path (peer, peer_port, local_port));
  else if (g_hash_table_size (call->httpc->broken) > 0)
    call->broken = is_broken (call->httpc,
                              connection_path (peer, peer_port, local_port));
  if (call->broken)
    return CURL_PREREQFUNC_ABORT;
  call->phase = HTTPC_SENT;
  if (call->reused && call->request.reused_idle_timeout_ms > 0)
    restart_idle_timer (call);
  return CURL_PREREQFUNC_OK;
}

static void
check_reusable (struct httpc_call *call)
{
  long status = 0;

  if (call->request.reusable == NULL)
    return;
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  if (status >= 200 && !call->request.reusable (call->request.user, status))
    curl_easy_setopt (call->easy, CURLOPT_FORBID_REUSE, 1L);
}

/* Called for the lines of the head, of interim responses and of trailers.  */
static size_t
on_header (char *bytes, size_t size, size_t n, void *user)
{
  struct httpc_call *call = user;

  call->phase = HTTPC_RESPONDING;
  call->delivered = true;
  restart_idle_timer (call);
  call->head_bytes += size * n + HEAD_LINE_OVERHEAD;
  call->too_large = call->head_bytes > call->request.head_max;
  call->ambiguous = !httpc_head_line (&call->head, bytes, size * n);
  if (call->too_large || call->ambiguous)
    return 0;
  if (size * n > 0 && (*bytes == '\r' || *bytes == '\n'))
    check_reusable (call);
  return size * n;
}

static void
deliver_head (struct httpc_call *call)
{
  long status = 0;
  char *type = NULL;

  if (call->body_started)
    return;
  call->body_started = true;
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (call->easy, CURLINFO_CONTENT_TYPE, &type);
  if (call->request.head != NULL)
    call->passed_on = call->request.head (call->request.user, status,
                                          type != NULL ? type : "");
}

/* A call may collect as much as is free after it, so that many large bodies
   leave room for small ones (dynamic thresholds, Choudhury and Hahne).  */
static size_t
collect (struct httpc_call *call, const char *bytes, size_t n)
{
  struct httpc *httpc = call->httpc;
  size_t length = call->collected->len + n;

  call->too_large = length > call->request.body_max
                    || length > httpc->collected_max - httpc->collected;
  if (call->too_large)
    return 0;
  httpc->collected += n;
  membudget_add (httpc->budget, (int64_t)n);
  g_string_append_len (call->collected, bytes, (gssize)n);
  return n;
}

/* While the body callback has paused the call, the idle timer is stopped: it
   is not the server that delays the bytes.  */
static size_t
deliver_body (struct httpc_call *call, const char *bytes, size_t n)
{
  int err = call->request.body_cb (call->request.user, bytes, n);

  if (err == -EAGAIN)
    {
      loop_timer_clear (call->httpc->loop, &call->idle_timer);
      return CURL_WRITEFUNC_PAUSE;
    }
  if (err < 0)
    {
      call->body_error = err;
      return 0;
    }
  return n;
}

static size_t
on_body (char *bytes, size_t size, size_t n, void *user)
{
  struct httpc_call *call = user;

  call->delivered = true;
  deliver_head (call);
  restart_idle_timer (call);
  if (call->request.received != NULL)
    call->request.received (call->request.user);
  if (!call->passed_on)
    return collect (call, bytes, size * n);
  return deliver_body (call, bytes, size * n);
}

static void
set_headers (struct httpc_call *call)
{
  const char *const *header = call->request.headers;

  call->headers = curl_slist_append (NULL, "Expect:");
  for (; header != NULL && *header != NULL; header++)
    call->headers = curl_slist_append (call->headers, *header);
  curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->headers);
}

static void
set_body (struct httpc_call *call)
{
  const struct httpc_request *request = &call->request;

  if (request->body != NULL)
    {
      call->body = g_memdup2 (request->body, request->length);
      curl_easy_setopt (call->easy, CURLOPT_POSTFIELDSIZE,
                        (long)request->length);
      curl_easy_setopt (call->easy, CURLOPT_POSTFIELDS, call->body);
    }
  if (request->method != NULL)
    curl_easy_setopt (call->easy, CURLOPT_CUSTOMREQUEST, request->method);
  if (request->method != NULL && strcmp (request->method, "HEAD") == 0)
    curl_easy_setopt (call->easy, CURLOPT_NOBODY, 1L);
}

/* Has the kernel close the connection within seconds when data or keepalive
   probes are not acknowledged, for example because a device on the path has
   lost the connection's state.  */
static int
on_sockopt (void *user, curl_socket_t fd, curlsocktype type)
{
  const unsigned user_timeout_ms = TCP_USER_TIMEOUT_MS;
  const int idle_s = KEEPALIVE_IDLE_S;
  const int interval_s = KEEPALIVE_INTERVAL_S;
  const int probes = KEEPALIVE_PROBES;
  const int one = 1;
  struct httpc_call *call = user;
  struct socket_watch *connection;

  if (type != CURLSOCKTYPE_IPCXN)
    return CURL_SOCKOPT_OK;
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
              sizeof user_timeout_ms);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  connection = socket_watch_new (call->httpc, fd);
  connection->is_connection = true;
  connection->call = call;
  call->connection = connection;
  call->connection_fd = fd;
  g_hash_table_replace (call->httpc->connections, GINT_TO_POINTER (fd),
                        connection);
  return CURL_SOCKOPT_OK;
}

static int
on_close_socket (void *user, curl_socket_t fd)
{
  struct httpc *httpc = user;

  g_hash_table_remove (httpc->connections, GINT_TO_POINTER (fd));
  return close (fd);
}

static void
set_limits (struct httpc_call *call)
{
  const struct httpc_request *request = &call->request;
  int64_t connect_ms = request->connect_timeout_ms;

  if (connect_ms == 0)
    connect_ms = HTTPC_CONNECT_TIMEOUT_MS;
  curl_easy_setopt (call->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)connect_ms);
  curl_easy_setopt (call->easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
  curl_easy_setopt (call->easy, CURLOPT_MAXAGE_CONN,
                    request->max_connection_age_s > 0
                        ? request->max_connection_age_s
                        : call->httpc->max_age_s);
  curl_easy_setopt (call->easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (call->easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (call->easy, CURLOPT_BUFFERSIZE, READ_BYTES);
  curl_easy_setopt (call->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (call->easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (call->easy, CURLOPT_HTTP_VERSION,
                    (long)CURL_HTTP_VERSION_1_1);
  if (request->fresh_connection)
    curl_easy_setopt (call->easy, CURLOPT_FRESH_CONNECT, 1L);
  if (request->connect_only)
    curl_easy_setopt (call->easy, CURLOPT_CONNECT_ONLY, 1L);
}

static void
set_callbacks (struct httpc_call *call)
{
  curl_easy_setopt (call->easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (call->easy, CURLOPT_SOCKOPTFUNCTION, on_sockopt);
  curl_easy_setopt (call->easy, CURLOPT_SOCKOPTDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_CLOSESOCKETFUNCTION, on_close_socket);
  curl_easy_setopt (call->easy, CURLOPT_CLOSESOCKETDATA, call->httpc);
  curl_easy_setopt (call->easy, CURLOPT_PREREQFUNCTION, on_prereq);
  curl_easy_setopt (call->easy, CURLOPT_PREREQDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (call->easy, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (call->easy, CURLOPT_WRITEDATA, call);
}

struct timespec
httpc_now (const struct httpc *httpc)
{
  return loop_now (httpc->loop);
}

struct httpc_call *
httpc_start (struct httpc *httpc, const struct httpc_request *request)
{
  struct httpc_call *call;
  CURL *easy = curl_easy_init ();

  if (easy == NULL)
    return NULL;
  call = g_new0 (struct httpc_call, 1);
  call->httpc = httpc;
  call->easy = easy;
  call->request = *request;
  if (call->request.body_max == 0)
    call->request.body_max = HTTPC_BODY_MAX;
  if (call->request.head_max == 0)
    call->request.head_max = HTTPC_HEAD_MAX;
  call->collected = g_string_new (NULL);
  call->delivered = true;
  call->passed_on = request->body_cb != NULL && request->head == NULL;
  call->idle_timer.fire = on_idle_timer;
  curl_easy_setopt (easy, CURLOPT_URL, request->url);
  if (request->target != NULL)
    curl_easy_setopt (easy, CURLOPT_REQUEST_TARGET, request->target);
  set_headers (call);
  set_body (call);
  set_limits (call);
  set_callbacks (call);
  CK_LIST_INSERT_HEAD (&httpc->calls, call, link);
  membudget_add_call (httpc->budget, 1);
  restart_idle_timer (call);
  curl_multi_add_handle (httpc->multi, easy);
  return call;
}

void
httpc_unpause (struct httpc_call *call)
{
  restart_idle_timer (call);
  curl_easy_pause (call->easy, CURLPAUSE_CONT);
}

void
httpc_cancel (struct httpc_call *call)
{
  call_free (call);
}

enum httpc_phase
httpc_phase (const struct httpc_call *call)
{
  return call->phase;
}

const char *
httpc_response_header (const struct httpc_call *call, const char *name)
{
  struct curl_header *header = NULL;

  if (curl_easy_header (call->easy, name, 0, CURLH_HEADER, -1, &header)
      != CURLHE_OK)
    return NULL;
  return header->value;
}

size_t
httpc_response_header_count (const struct httpc_call *call, const char *name)
{
  struct curl_header *header = NULL;

  if (curl_easy_header (call->easy, name, 0, CURLH_HEADER, -1, &header)
      != CURLHE_OK)
    return 0;
  return header->amount;
}

void
httpc_each_header (const struct httpc_call *call,
                   void (*visit) (void *user, const char *name,
                                  const char *value),
                   void *user)
{
  struct curl_header *header = NULL;

  while ((header = curl_easy_nextheader (call->easy, CURLH_HEADER, -1, header))
         != NULL)
    visit (user, header->name, header->value);
}

#include "httpc.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <curl/curl.h>
#include <glib.h>
#include "ts.h"

#define DEFAULT_MAX_CONNECTIONS 256L
#define DEFAULT_MAX_AGE_S 60L
#define TCP_USER_TIMEOUT_MS 4000u
#define KEEPALIVE_IDLE_S 2 /* idle time before the first probe */
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 3

CK_LIST_HEAD (call_list, httpc_call);

struct httpc
{
  struct loop *loop;
  CURLM *multi;
  struct loop_timer timer;
  struct call_list calls;
  long max_age_s;
};

struct httpc_call
{
  CK_LIST_ENTRY (httpc_call) link;
  struct httpc *httpc;
  CURL *easy;
  struct curl_slist *headers;
  struct httpc_request request;
  struct loop_timer idle_timer;
  char *body;
  GString *collected;
  enum httpc_phase phase;
  int body_error; /* negative errno from the body callback */
  bool body_started;
  bool idle_timed_out;
  bool reused;
  bool resend_attempted; /* curl tried to send the request again */
};

struct socket_watch
{
  struct loop_watch watch;
  struct httpc *httpc;
};

static void
call_free (struct httpc_call *call)
{
  loop_timer_clear (call->httpc->loop, &call->idle_timer);
  CK_LIST_REMOVE (call, link);
  curl_multi_remove_handle (call->httpc->multi, call->easy);
  curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->headers);
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
    case CURLE_UNSUPPORTED_PROTOCOL:
      return -EINVAL;
    case CURLE_GOT_NOTHING:
    case CURLE_RECV_ERROR:
    case CURLE_SEND_ERROR:
      return -ECONNRESET;
    case CURLE_PARTIAL_FILE:
      return -EPIPE;
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

static int
call_error (const struct httpc_call *call, CURLcode code)
{
  if (code == CURLE_COULDNT_CONNECT)
    return connect_error (call->easy);
  if (call->body_error != 0)
    return call->body_error;
  if (call->idle_timed_out)
    return -ETIMEDOUT;
  if (call->resend_attempted)
    return -ECONNRESET;
  return curl_code_to_errno (code);
}

static void
fill_result (struct httpc_call *call, CURLcode code,
             struct httpc_result *result)
{
  char *type = NULL;
  curl_off_t retry_after = 0;

  if (code == CURLE_OK && call->phase >= HTTPC_SENT)
    call->phase = HTTPC_COMPLETE;
  result->error = call_error (call, code);
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &result->status);
  curl_easy_getinfo (call->easy, CURLINFO_CONTENT_TYPE, &type);
  curl_easy_getinfo (call->easy, CURLINFO_CONNECT_TIME, &result->connect_s);
  curl_easy_getinfo (call->easy, CURLINFO_RETRY_AFTER, &retry_after);
  result->retry_after_s = (long)retry_after;
  result->content_type = type != NULL ? type : "";
  result->phase = call->phase;
  result->reused = call->reused;
  result->body = call->request.body_cb == NULL ? call->collected->str : NULL;
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
      finish (call, code);
    }
}

static void
on_socket_ready (struct loop_watch *watch, uint32_t events)
{
  struct socket_watch *socket_watch = (struct socket_watch *)watch;
  struct httpc *httpc = socket_watch->httpc;
  int flags = 0;
  int running;

  if (events & EPOLLIN)
    flags |= CURL_CSELECT_IN;
  if (events & EPOLLOUT)
    flags |= CURL_CSELECT_OUT;
  if (events & (EPOLLERR | EPOLLHUP))
    flags |= CURL_CSELECT_ERR;
  curl_multi_socket_action (httpc->multi, watch->fd, flags, &running);
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

static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *user,
           void *socket_data)
{
  struct httpc *httpc = user;
  struct socket_watch *socket_watch = socket_data;

  (void)easy;
  if (what == CURL_POLL_REMOVE)
    {
      if (socket_watch != NULL)
        loop_unwatch (httpc->loop, &socket_watch->watch);
      g_free (socket_watch);
      return 0;
    }
  if (socket_watch == NULL)
    {
      socket_watch = g_new0 (struct socket_watch, 1);
      socket_watch->httpc = httpc;
      socket_watch->watch.fd = fd;
      socket_watch->watch.ready = on_socket_ready;
      curl_multi_assign (httpc->multi, fd, socket_watch);
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
  httpc->max_age_s = options->max_connection_age_s;
  if (httpc->max_age_s == 0)
    httpc->max_age_s = DEFAULT_MAX_AGE_S;
  httpc->timer.fire = on_multi_timer;
  CK_LIST_INIT (&httpc->calls);
  httpc->multi = curl_multi_init ();
  if (httpc->multi == NULL)
    {
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

  if (call->request.silent != NULL
      && !call->request.silent (call->request.user))
    {
      restart_idle_timer (call);
      return;
    }
  call->idle_timed_out = true;
  finish (call, CURLE_OPERATION_TIMEDOUT);
}

/* curl resends a request by itself when a reused connection breaks before the
   first byte of the response, whatever the method.  Only the caller knows
   whether a retry is safe, so the second attempt is aborted here.  */
static int
on_prereq (void *user, char *peer, char *local, int peer_port, int local_port)
{
  struct httpc_call *call = user;
  long connects = 0;

  (void)peer;
  (void)local;
  (void)peer_port;
  (void)local_port;
  if (call->phase != HTTPC_UNSENT)
    {
      call->resend_attempted = true;
      return CURL_PREREQFUNC_ABORT;
    }
  call->phase = HTTPC_SENT;
  curl_easy_getinfo (call->easy, CURLINFO_NUM_CONNECTS, &connects);
  call->reused = connects == 0;
  if (call->reused && call->request.reused_idle_timeout_ms > 0)
    restart_idle_timer (call);
  return CURL_PREREQFUNC_OK;
}

static size_t
on_header (char *bytes, size_t size, size_t n, void *user)
{
  struct httpc_call *call = user;

  (void)bytes;
  call->phase = HTTPC_RESPONDING;
  restart_idle_timer (call);
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
    call->request.head (call->request.user, status, type != NULL ? type : "");
}

static size_t
collect (struct httpc_call *call, const char *bytes, size_t n)
{
  if (call->collected->len + n > call->request.body_max)
    {
      call->body_error = -EMSGSIZE;
      return 0;
    }
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

  deliver_head (call);
  restart_idle_timer (call);
  if (call->request.body_cb == NULL)
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

  (void)user;
  if (type != CURLSOCKTYPE_IPCXN)
    return CURL_SOCKOPT_OK;
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
              sizeof user_timeout_ms);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof one);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  return CURL_SOCKOPT_OK;
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
  curl_easy_setopt (call->easy, CURLOPT_MAXAGE_CONN, call->httpc->max_age_s);
  curl_easy_setopt (call->easy, CURLOPT_SOCKOPTFUNCTION, on_sockopt);
  curl_easy_setopt (call->easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (call->easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (call->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (call->easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (call->easy, CURLOPT_HTTP_VERSION,
                    (long)CURL_HTTP_VERSION_1_1);
  if (request->fresh_connection)
    curl_easy_setopt (call->easy, CURLOPT_FRESH_CONNECT, 1L);
}

static void
set_callbacks (struct httpc_call *call)
{
  curl_easy_setopt (call->easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (call->easy, CURLOPT_PREREQFUNCTION, on_prereq);
  curl_easy_setopt (call->easy, CURLOPT_PREREQDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (call->easy, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (call->easy, CURLOPT_WRITEDATA, call);
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
  call->collected = g_string_new (NULL);
  call->idle_timer.fire = on_idle_timer;
  curl_easy_setopt (easy, CURLOPT_URL, request->url);
  if (request->target != NULL)
    curl_easy_setopt (easy, CURLOPT_REQUEST_TARGET, request->target);
  set_headers (call);
  set_body (call);
  set_limits (call);
  set_callbacks (call);
  CK_LIST_INSERT_HEAD (&httpc->calls, call, link);
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

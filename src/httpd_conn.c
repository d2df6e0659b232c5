#include "httpd_conn.h"

#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <glib.h>
#include "httpd_reject.h"
#include "httpd_state.h"
#include "ts.h"

/* Fewer bytes are no progress of an account: clients that hold memory could
   keep it with a byte now and then.  */
#define PROGRESS_BYTES 8192
#define REQUEST_TIMEOUT_FACTOR 2 /* times the idle timeout */

/* libmicrohttpd reads end-of-file then and closes the connection.  */
static void
shut_down (const struct httpd_conn *conn)
{
  shutdown (conn->fd, SHUT_RDWR);
}

static void
on_timeout (struct loop_timer *timer)
{
  const struct httpd_conn *conn
      = (const struct httpd_conn *)((const char *)timer
                                    - offsetof (struct httpd_conn, timer));

  shut_down (conn);
}

static bool
is_in_body (const struct httpd_conn *conn)
{
  return conn->request != NULL && conn->request->stage == STAGE_BODY
         && !conn->request->rejected;
}

static void
drop_buffers (struct httpd_request *request)
{
  g_string_free (request->body, TRUE);
  request->body = g_string_new (NULL);
}

static void
on_over_budget (struct membudget_account *account, enum membudget_lack lack)
{
  struct httpd_conn *conn = (struct httpd_conn *)account;
  enum httpd_reject why = lack == MEMBUDGET_BYTES ? HTTPD_REJECT_MEMORY
                                                  : HTTPD_REJECT_CONNECTIONS;

  httpd_report_rejection (conn->httpd, why, NULL);
  if (is_in_body (conn))
    {
      httpd_send_refusal (conn->fd, HTTPD_REJECT_BUSY);
      drop_buffers (conn->request);
      conn->request->rejected = true;
    }
  shut_down (conn);
}

static uint32_t
source_of (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  const struct sockaddr *address = info != NULL ? info->client_addr : NULL;

  return address != NULL && address->sa_family == AF_INET
             ? ((const struct sockaddr_in *)address)->sin_addr.s_addr
             : 0;
}

struct httpd_conn *
httpd_conn_new (struct httpd *httpd, struct MHD_Connection *connection)
{
  struct httpd_conn *conn = g_new0 (struct httpd_conn, 1);
  struct timespec now = loop_now (httpd->options.loop);

  conn->httpd = httpd;
  conn->fd
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
  conn->timer.fire = on_timeout;
  conn->account.close = on_over_budget;
  conn->account.state = MEMBUDGET_RECEIVING;
  conn->byte_at = now;
  TAILQ_INSERT_TAIL (&httpd->conns, conn, link);
  httpd_conn_start_timer (conn);
  membudget_join (httpd->options.budget, &httpd->group, &conn->account,
                  source_of (connection), now);
  return conn;
}

void
httpd_conn_free (struct httpd_conn *conn)
{
  if (conn == NULL)
    return;
  membudget_leave (&conn->account);
  TAILQ_REMOVE (&conn->httpd->conns, conn, link);
  httpd_conn_stop_timer (conn);
  g_free (conn);
}

void
httpd_conn_stop_timer (struct httpd_conn *conn)
{
  loop_timer_clear (conn->httpd->options.loop, &conn->timer);
}

void
httpd_conn_start_timer (struct httpd_conn *conn)
{
  struct loop *loop = conn->httpd->options.loop;
  int64_t ms = (int64_t)conn->httpd->options.idle_timeout_s
               * REQUEST_TIMEOUT_FACTOR * TS_MS_PER_S;

  loop_timer_set (loop, &conn->timer, ts_add_ms (loop_now (loop), ms));
}

void
httpd_conn_set_state (struct httpd_conn *conn, enum membudget_state state)
{
  struct timespec now = loop_now (conn->httpd->options.loop);

  conn->account.state = state;
  conn->account.progress = now;
  conn->account.since = now;
  conn->byte_at = now;
}

void
httpd_conn_received (struct httpd_conn *conn, size_t n)
{
  conn->byte_at = loop_now (conn->httpd->options.loop);
  conn->came += n;
  if (conn->came < PROGRESS_BYTES)
    return;
  conn->came = 0;
  conn->account.progress = conn->byte_at;
}

void
httpd_conn_head_ended (struct httpd_conn *conn)
{
  conn->in_head = false;
  httpd_conn_set_state (conn, MEMBUDGET_RECEIVING);
}

void
httpd_conn_request_ended (struct httpd_conn *conn)
{
  conn->request = NULL;
  conn->in_head = false;
  conn->ended = true;
  membudget_hold (&conn->account, 0, loop_now (conn->httpd->options.loop));
  httpd_conn_set_state (conn, MEMBUDGET_IDLE);
}

static void
close_for (struct httpd_conn *conn, enum httpd_reject why)
{
  httpd_report_rejection (conn->httpd, why, NULL);
  shut_down (conn);
}

static bool
has_untaken_bytes (const struct httpd_conn *conn)
{
  int n = 0;

  return ioctl (conn->fd, SIOCOUTQ, &n) == 0 && n > 0;
}

/* The head of the next request may come as long as none has begun.  */
static void
check_head (struct httpd_conn *conn, bool came, struct timespec now)
{
  const struct httpd_options *options = &conn->httpd->options;
  struct timespec idle_until = ts_add_ms (conn->byte_at, options->idle_ms);
  struct timespec woke = loop_woke_at (options->loop);

  if (came && !conn->in_head)
    {
      conn->in_head = true;
      conn->head_since = now;
    }
  else if (conn->in_head
           && !ts_before (now, ts_add_ms (ts_max (conn->head_since, woke),
                                          options->head_timeout_ms)))
    close_for (conn, HTTPD_REJECT_SLOW_HEAD);
  else if (!conn->in_head && !ts_before (now, idle_until))
    shut_down (conn);
}

static void
note_taken (struct httpd_conn *conn, uint64_t bytes, struct timespec now)
{
  if (bytes != conn->taken_now)
    conn->byte_at = now;
  conn->taken_now = bytes;
  if (bytes - conn->taken < PROGRESS_BYTES)
    return;
  conn->taken = bytes;
  conn->account.progress = now;
}

/* A client that has taken all that there is does not lag behind, however
   slowly the response is made.  */
static void
note_empty (struct httpd_conn *conn, struct timespec now)
{
  if (has_untaken_bytes (conn))
    return;
  conn->byte_at = now;
  conn->account.progress = now;
}

static void
check_conn (struct httpd_conn *conn, struct timespec now)
{
  const struct httpd_options *options = &conn->httpd->options;
  struct tcp_info info = { 0 };
  socklen_t size = sizeof info;
  bool came;
  bool late;

  if (conn->account.state == MEMBUDGET_RUNNING)
    return;
  if (getsockopt (conn->fd, IPPROTO_TCP, TCP_INFO, &info, &size) < 0)
    {
      conn->account.progress = now;
      return;
    }
  came = info.tcpi_bytes_received != conn->received && !conn->ended;
  if (conn->account.state == MEMBUDGET_SENDING)
    {
      note_taken (conn, info.tcpi_bytes_acked, now);
      note_empty (conn, now);
    }
  conn->received = info.tcpi_bytes_received;
  conn->ended = false;
  late = !ts_before (
      now, ts_add_ms (ts_max (conn->byte_at, loop_woke_at (options->loop)),
                      options->idle_ms));
  if (conn->request == NULL || conn->request->stage == STAGE_HEAD)
    check_head (conn, came, now);
  else if (is_in_body (conn) && late)
    close_for (conn, HTTPD_REJECT_SLOW_BODY);
  else if (conn->account.state == MEMBUDGET_SENDING && late
           && has_untaken_bytes (conn))
    close_for (conn, HTTPD_REJECT_SLOW_READER);
}

void
httpd_conn_check_all (struct httpd *httpd, struct timespec now)
{
  struct httpd_conn *conn;

  TAILQ_FOREACH (conn, &httpd->conns, link)
    {
      if (!conn->account.closing)
        check_conn (conn, now);
    }
}

enum MHD_Result
httpd_conn_refuse (struct httpd_conn *conn, enum httpd_reject why)
{
  httpd_report_rejection (conn->httpd, why, NULL);
  httpd_send_refusal (conn->fd, why);
  conn->request->rejected = true;
  drop_buffers (conn->request);
  membudget_hold (&conn->account, 0, conn->account.progress);
  return MHD_NO;
}

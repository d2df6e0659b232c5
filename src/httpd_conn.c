#include "httpd_conn.h"

#include <sys/socket.h>
#include <glib.h>
#include "ts.h"

struct httpd_conn
{
  struct loop_timer timer; /* first: on_timeout casts it */
  struct loop *loop;
  int fd;
  int64_t request_timeout_ms;
};

/* Shuts the socket down; libmicrohttpd then reads end-of-file and closes the
   connection.  */
static void
on_timeout (struct loop_timer *timer)
{
  const struct httpd_conn *conn = (const struct httpd_conn *)timer;

  shutdown (conn->fd, SHUT_RDWR);
}

struct httpd_conn *
httpd_conn_new (struct loop *loop, int fd, int64_t request_timeout_ms)
{
  struct httpd_conn *conn = g_new0 (struct httpd_conn, 1);

  conn->timer.fire = on_timeout;
  conn->loop = loop;
  conn->fd = fd;
  conn->request_timeout_ms = request_timeout_ms;
  httpd_conn_start_timer (conn);
  return conn;
}

void
httpd_conn_free (struct httpd_conn *conn)
{
  if (conn == NULL)
    return;
  httpd_conn_stop_timer (conn);
  g_free (conn);
}

void
httpd_conn_stop_timer (struct httpd_conn *conn)
{
  loop_timer_clear (conn->loop, &conn->timer);
}

void
httpd_conn_start_timer (struct httpd_conn *conn)
{
  loop_timer_set (conn->loop, &conn->timer,
                  ts_add_ms (loop_now (conn->loop), conn->request_timeout_ms));
}

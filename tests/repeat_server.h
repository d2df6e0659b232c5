/* repeat_server - an HTTP server that writes a refusal which names no request
   once more, where the next response on its connection is due.

   A request with "full" in it is refused the first time.  Each connection has
   a thread.  */

#ifndef REPEAT_SERVER_H
#define REPEAT_SERVER_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <glib.h>

#define REPEAT_REQUEST_MAX 16384u /* bytes */
#define REPEAT_DELAY_MS 30        /* between the copy and the response */

struct repeat_server
{
  /* Set before the start.  */
  const char *id_header; /* echoed in responses, with ": " */
  const char *answer;    /* header lines and body of other responses */
  const char *refusal;   /* the whole response */
  int fd;
  uint16_t port; /* host order */
  GThread *acceptor;
  GPtrArray *threads; /* GThread */
  gint refused;       /* atomic: requests */
  gint run;           /* atomic: requests */
  gint copies;        /* atomic: refusals written once more */
};

struct repeat_connection
{
  struct repeat_server *server;
  int fd;
};

/* Reads a request with a length or without a body.  */
static bool
repeat_read (int fd, char *text)
{
  size_t n = 0;

  while (n < REPEAT_REQUEST_MAX - 1)
    {
      ssize_t got = recv (fd, text + n, REPEAT_REQUEST_MAX - 1 - n, 0);
      const char *end;
      const char *length;

      if (got <= 0)
        return false;
      n += (size_t)got;
      text[n] = '\0';
      end = strstr (text, "\r\n\r\n");
      if (end == NULL)
        continue;
      length = strstr (text, "\r\nContent-Length: ");
      if (length == NULL
          || n - (size_t)(end + 4 - text) >= strtoul (
                 length + strlen ("\r\nContent-Length: "), NULL, 10))
        return true;
    }
  return false;
}

static void
repeat_send (int fd, const char *text)
{
  send (fd, text, strlen (text), MSG_NOSIGNAL);
}

static void
repeat_answer (struct repeat_connection *connection, const char *request)
{
  const struct repeat_server *server = connection->server;
  const char *id = strstr (request, server->id_header);
  char *text = g_strdup_printf ("HTTP/1.1 200 OK\r\n%.*s\r\n%s",
                                (int)strcspn (id, "\r"), id, server->answer);

  repeat_send (connection->fd, text);
  g_free (text);
}

static gpointer
repeat_connection_run (gpointer data)
{
  struct repeat_connection *connection = data;
  struct repeat_server *server = connection->server;
  char request[REPEAT_REQUEST_MAX];
  bool has_refused = false;

  while (repeat_read (connection->fd, request))
    if (strstr (request, "full") != NULL
        && g_atomic_int_add (&server->refused, 1) == 0)
      {
        has_refused = true;
        repeat_send (connection->fd, server->refusal);
      }
    else
      {
        g_atomic_int_inc (&server->run);
        if (has_refused)
          {
            g_atomic_int_inc (&server->copies);
            repeat_send (connection->fd, server->refusal);
            g_usleep (REPEAT_DELAY_MS * 1000);
          }
        has_refused = false;
        repeat_answer (connection, request);
      }
  close (connection->fd);
  g_free (connection);
  return NULL;
}

static gpointer
repeat_accept_run (gpointer data)
{
  struct repeat_server *server = data;
  int fd;

  while ((fd = accept (server->fd, NULL, NULL)) >= 0)
    {
      struct repeat_connection *connection
          = g_new0 (struct repeat_connection, 1);

      connection->server = server;
      connection->fd = fd;
      g_ptr_array_add (
          server->threads,
          g_thread_new ("repeat", repeat_connection_run, connection));
    }
  return NULL;
}

static void
repeat_server_start (struct repeat_server *server)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  server->fd = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (
      bind (server->fd, (struct sockaddr *)&address, sizeof address), ==, 0);
  g_assert_cmpint (listen (server->fd, 128), ==, 0);
  g_assert_cmpint (
      getsockname (server->fd, (struct sockaddr *)&address, &length), ==, 0);
  server->port = ntohs (address.sin_port);
  server->threads = g_ptr_array_new ();
  server->acceptor = g_thread_new ("accept", repeat_accept_run, server);
}

/* The clients must have closed their connections.  */
static void
repeat_server_stop (struct repeat_server *server)
{
  shutdown (server->fd, SHUT_RDWR);
  g_thread_join (server->acceptor);
  for (guint i = 0; i < server->threads->len; i++)
    g_thread_join (g_ptr_array_index (server->threads, i));
  g_ptr_array_unref (server->threads);
  close (server->fd);
}

#endif

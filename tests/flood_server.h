/* flood_server - an HTTP server that answers with bytes without end.

   The last component of a request's path names the response, see floods[].
   Each connection has a thread, which sends until the client closes the
   connection.  After the maximum number of bytes it only waits for that, which
   bounds the memory of a client that accepts everything.  */

#ifndef FLOOD_SERVER_H
#define FLOOD_SERVER_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <glib.h>

#define FLOOD_BYTES_MAX                                                       \
  (48u << 20)              /* bytes sent on one connection, by default */
#define FLOOD_BLOCK 65536u /* bytes sent at once, at least */
#define FLOOD_RESET_MS 20
#define FLOOD_REQUEST_MAX 16384u /* bytes of a request's head */

struct flood
{
  const char *name;
  const char *begin;  /* IDENTITY stands for the headers of the attempt */
  const char *repeat; /* sent again and again; "": the connection is closed
                         instead; NULL: it is reset after FLOOD_RESET_MS */
};

#define IDENTITY "@"
#define FLOOD_OK(version) "HTTP/" version " 200 OK\r\n" IDENTITY
#define FLOOD_EVENTS "Content-Type: text/event-stream\r\n"
#define FLOOD_WHOLE "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\nid: 3\ndata: x3\n\n"
#define FLOOD_PARTIAL "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\nid: 3\ndata: x"
#define FLOOD_LINE                                                            \
  "X-Line: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n"

static const struct flood floods[] = {
  { "header-lines", "HTTP/1.1 200 OK\r\n", FLOOD_LINE },
  { "header-line", "HTTP/1.1 200 OK\r\nX-Line: ", "xxxxxxxx" },
  { "status-line", "HTTP/1.1 200 ", "xxxxxxxx" },
  { "no-http", "", "xxxxxxxx" },
  { "no-http-lines", "", "xxxxxx\r\n" },
  { "control", "", "\x01\x01\x01\x01" },
  { "interim", "", "HTTP/1.1 103 Early Hints\r\nX-Line: x\r\n\r\n" },
  { "body", "HTTP/1.1 200 OK\r\n" IDENTITY "\r\n", "xxxxxxxx" },
  { "chunks",
    "HTTP/1.1 200 OK\r\n" IDENTITY "Transfer-Encoding: chunked\r\n\r\n",
    "8\r\nxxxxxxxx\r\n" },
  { "chunk-extension",
    "HTTP/1.1 200 OK\r\n" IDENTITY "Transfer-Encoding: chunked\r\n\r\n1;",
    "xxxxxxxx" },
  { "chunk-end",
    "HTTP/1.1 200 OK\r\n" IDENTITY "Transfer-Encoding: chunked\r\n\r\n1\r\nx",
    "\r\r\r\r" },
  { "trailers",
    "HTTP/1.1 200 OK\r\n" IDENTITY
    "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
    FLOOD_LINE },
  { "trailer-line",
    "HTTP/1.1 200 OK\r\n" IDENTITY
    "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Line: ",
    "xxxxxxxx" },
  { "event",
    "HTTP/1.1 200 OK\r\n" IDENTITY "Content-Type: text/event-stream\r\n\r\n"
    "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\nid: 3\ndata: ",
    "xxxxxxxx" },
  { "event-chunk-extension",
    "HTTP/1.1 200 OK\r\n" IDENTITY "Content-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
    "10\r\nid: 1\ndata: x1\n\n\r\n10\r\nid: 2\ndata: x2\n\n\r\n1;",
    "xxxxxxxx" },
  { "event-trailers",
    "HTTP/1.1 200 OK\r\n" IDENTITY "Content-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
    "10\r\nid: 1\ndata: x1\n\n\r\n10\r\nid: 2\ndata: x2\n\n\r\n0\r\n",
    FLOOD_LINE },
  { "after-answer",
    "HTTP/1.1 200 OK\r\n" IDENTITY "Content-Length: 5\r\n\r\nhello",
    "xxxxxxxx" },
  { "reset-after-answer",
    "HTTP/1.1 200 OK\r\n" IDENTITY "Content-Length: 5\r\n\r\nhello", NULL },
  { "whole", FLOOD_OK ("1.1") FLOOD_EVENTS "\r\n" FLOOD_WHOLE, "" },
  { "whole-1.0", FLOOD_OK ("1.0") FLOOD_EVENTS "\r\n" FLOOD_WHOLE, "" },
  { "partial", FLOOD_OK ("1.1") FLOOD_EVENTS "\r\n" FLOOD_PARTIAL, "" },
  { "partial-1.0", FLOOD_OK ("1.0") FLOOD_EVENTS "\r\n" FLOOD_PARTIAL, "" },
  { "partial-type",
    FLOOD_OK ("1.1") "Content-Type: Text/Event-Stream\r\n\r\n" FLOOD_PARTIAL,
    "" },
  { "partial-length",
    FLOOD_OK ("1.1") FLOOD_EVENTS "Content-Length: 45\r\n\r\n" FLOOD_PARTIAL,
    "" },
  { "partial-chunks",
    FLOOD_OK ("1.1") FLOOD_EVENTS
    "Transfer-Encoding: chunked\r\n\r\n2d\r\n" FLOOD_PARTIAL "\r\n0\r\n\r\n",
    "" },
  { "between",
    FLOOD_OK ("1.1") FLOOD_EVENTS "\r\nid: 1\ndata: x1\n\nid: 2\ndata: x2\n\n",
    "" },
  { "text-begun", FLOOD_OK ("1.1") "\r\nhe", "" },
  { "no-event", FLOOD_OK ("1.1") FLOOD_EVENTS "\r\n", "" },
  { "text", FLOOD_OK ("1.1") "\r\nhello", "" },
  { "text-1.0", FLOOD_OK ("1.0") "\r\nhello", "" },
  { "text-reset", FLOOD_OK ("1.1") "\r\nhe", NULL },
  { "text-short", FLOOD_OK ("1.1") "Content-Length: 5\r\n\r\nhe", "" },
  { "text-chunks",
    FLOOD_OK ("1.1") "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n", "" },
  { "text-length",
    FLOOD_OK ("1.1") "Content-Length: 99999999999999999999\r\n\r\nhe", "" },
  { "head-status", "HTTP/1.1 200 OK\r\n", "" },
  { "head-identity", FLOOD_OK ("1.1"), "" },
  { "head-in-length", FLOOD_OK ("1.1") "Content-Length: 5", "" },
  { "head-length", FLOOD_OK ("1.1") "Content-Length: 5\r\n", "" },
  { "head-in-type", FLOOD_OK ("1.1") "Content-Type: text/event", "" },
  { "head-type", FLOOD_OK ("1.1") FLOOD_EVENTS, "" },
  { "head-in-end", FLOOD_OK ("1.1") "\r", "" },
  { "head-no-content", "HTTP/1.1 204 No Content\r\n" IDENTITY, "" },
  { "head-interim", "HTTP/1.1 103 Early Hints\r\n" IDENTITY "\r\n", "" },
  { "head-not-run",
    "HTTP/1.1 503 Full\r\n" IDENTITY "Parsleyrill-Not-Executed: 1\r\n", "" },
  { "head-reset", FLOOD_OK ("1.1"), NULL },
  { "two-lengths",
    FLOOD_OK ("1.1") "Content-Length: 5\r\nContent-Length: 2\r\n\r\nhe", "" },
  { "same-lengths",
    FLOOD_OK ("1.1") "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhe", "" },
  { "length-list", FLOOD_OK ("1.1") "Content-Length: 2, 2\r\n\r\nhe", "" },
  { "length-and-chunks",
    FLOOD_OK ("1.1") "Content-Length: 9\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n"
                     "2\r\nhe\r\n0\r\n\r\n",
    "" },
  { "unknown-coding", FLOOD_OK ("1.1") "Transfer-Encoding: xchunked\r\n\r\nhe",
    "" },
  { "space-before-colon", FLOOD_OK ("1.1") "Content-Length : 2\r\n\r\nhe",
    "" },
  { "folded-line",
    FLOOD_OK ("1.1") "X: y\r\n z\r\nContent-Length: 2\r\n\r\nhe", "" },
  { "lf-alone", FLOOD_OK ("1.1") "X: y\nContent-Length: 2\r\n\r\nhe", "" },
  { "cr-alone", FLOOD_OK ("1.1") "X: y\rz\r\nContent-Length: 2\r\n\r\nhe",
    "" },
  { "length-in-trailers",
    FLOOD_OK ("1.1") "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n0\r\n"
                     "Content-Length: 9\r\n\r\n",
    "" },
};

struct flood_server
{
  int fd;
  uint16_t port; /* host order */
  GThread *acceptor;
  GPtrArray *threads; /* GThread */
  size_t bytes_max;   /* sent on one connection */
  bool dies;          /* it listens no more when it has read a request */
  /* Sent in answer to any path, before the connection is closed; NULL: the
     response that the path names.  */
  const char *response;
  size_t response_length;
  gint requests;  /* atomic */
  gint exhausted; /* atomic: connections on which all bytes were sent */
};

struct flood_connection
{
  struct flood_server *server;
  int fd;
};

static const struct flood *
flood_find (const char *path)
{
  const char *end = strpbrk (path, " ?");
  const char *name = path;

  for (const char *at = path; at < end; at++)
    if (*at == '/')
      name = at + 1;
  for (size_t i = 0; i < G_N_ELEMENTS (floods); i++)
    if (strlen (floods[i].name) == (size_t)(end - name)
        && memcmp (floods[i].name, name, (size_t)(end - name)) == 0)
      return &floods[i];
  g_error ("no flood named %.*s", (int)(end - name), name);
}

/* Reads the head of a request; the body, if any, is left unread.  */
static bool
flood_read_head (int fd, char *head)
{
  size_t n = 0;

  while (n < FLOOD_REQUEST_MAX - 1)
    {
      ssize_t got = recv (fd, head + n, FLOOD_REQUEST_MAX - 1 - n, 0);

      if (got <= 0)
        return false;
      n += (size_t)got;
      head[n] = '\0';
      if (strstr (head, "\r\n\r\n") != NULL)
        return true;
    }
  return false;
}

/* The response headers that make the answer one to this request.  */
static char *
flood_identity (const char *head)
{
  const char *id = strstr (head, "Parsleyrill-Request-Id: ");

  if (id == NULL)
    return g_strdup ("");
  return g_strdup_printf ("%.*s\r\nParsleyrill-Response-Seal: seal\r\n",
                          (int)strcspn (id, "\r"), id);
}

static bool
flood_send (int fd, const char *bytes, size_t n)
{
  while (n > 0)
    {
      ssize_t sent = send (fd, bytes, n, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      bytes += sent;
      n -= (size_t)sent;
    }
  return true;
}

static bool
flood_begin (int fd, const struct flood *flood, const char *head)
{
  char *identity = flood_identity (head);
  char **parts = g_strsplit (flood->begin, IDENTITY, 2);
  char *begin = g_strjoinv (identity, parts);
  bool ok = flood_send (fd, begin, strlen (begin));

  g_strfreev (parts);
  g_free (begin);
  g_free (identity);
  return ok;
}

static void
flood_repeat (struct flood_connection *connection, const char *repeat)
{
  size_t max = connection->server->bytes_max;
  GString *block = g_string_new (NULL);
  size_t sent = 0;
  char byte;

  while (block->len < FLOOD_BLOCK)
    g_string_append (block, repeat);
  while (sent < max && flood_send (connection->fd, block->str, block->len))
    sent += block->len;
  g_string_free (block, TRUE);
  if (sent < max)
    return;
  g_atomic_int_inc (&connection->server->exhausted);
  while (recv (connection->fd, &byte, 1, 0) > 0)
    ;
}

static void
flood_reset (int fd)
{
  const struct linger linger = { .l_onoff = 1 };

  g_usleep (FLOOD_RESET_MS * 1000);
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

static gpointer
flood_connection_run (gpointer data)
{
  struct flood_connection *connection = data;
  char head[FLOOD_REQUEST_MAX] = "";

  if (flood_read_head (connection->fd, head)
      && connection->server->response != NULL)
    {
      g_atomic_int_inc (&connection->server->requests);
      flood_send (connection->fd, connection->server->response,
                  connection->server->response_length);
    }
  else if (*head != '\0')
    {
      const struct flood *flood = flood_find (strchr (head, ' ') + 1);

      g_atomic_int_inc (&connection->server->requests);
      if (connection->server->dies)
        shutdown (connection->server->fd, SHUT_RDWR);
      if (!flood_begin (connection->fd, flood, head))
        ;
      else if (flood->repeat != NULL && *flood->repeat != '\0')
        flood_repeat (connection, flood->repeat);
      else if (flood->repeat == NULL)
        flood_reset (connection->fd);
    }
  close (connection->fd);
  g_free (connection);
  return NULL;
}

static gpointer
flood_accept_run (gpointer data)
{
  struct flood_server *server = data;
  int fd;

  while ((fd = accept (server->fd, NULL, NULL)) >= 0)
    {
      struct flood_connection *connection
          = g_new0 (struct flood_connection, 1);

      connection->server = server;
      connection->fd = fd;
      g_ptr_array_add (
          server->threads,
          g_thread_new ("flood", flood_connection_run, connection));
    }
  return NULL;
}

static void
flood_server_start (struct flood_server *server)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;

  memset (server, 0, sizeof *server);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  server->fd = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (
      bind (server->fd, (struct sockaddr *)&address, sizeof address), ==, 0);
  g_assert_cmpint (listen (server->fd, 128), ==, 0);
  g_assert_cmpint (
      getsockname (server->fd, (struct sockaddr *)&address, &length), ==, 0);
  server->port = ntohs (address.sin_port);
  server->bytes_max = FLOOD_BYTES_MAX;
  server->threads = g_ptr_array_new ();
  server->acceptor = g_thread_new ("accept", flood_accept_run, server);
}

/* The clients must have closed their connections.  */
static void
flood_server_stop (struct flood_server *server)
{
  shutdown (server->fd, SHUT_RDWR);
  g_thread_join (server->acceptor);
  for (guint i = 0; i < server->threads->len; i++)
    g_thread_join (g_ptr_array_index (server->threads, i));
  g_ptr_array_unref (server->threads);
  close (server->fd);
}

#endif

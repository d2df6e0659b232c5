/* script_server - an HTTP server that plays a list of broken responses, and
   continues a stream properly after them.

   The n-th request gets the n-th answer of the list, whichever address of the
   loopback network it came to.  Each connection serves one request.  */

#ifndef SCRIPT_SERVER_H
#define SCRIPT_SERVER_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <glib.h>

#define SCRIPT_REQUEST_MAX 16384u
#define SCRIPT_ANSWERS_MAX 4
#define SCRIPT_PAUSE_US 5000

enum script_framing
{
  SCRIPT_LENGTH,
  SCRIPT_CHUNKS, /* one a byte up to a third, and one with the rest */
  SCRIPT_UNTIL_CLOSE,
  SCRIPT_FRAMINGS
};

struct script_answer
{
  unsigned status;
  const char *type; /* NULL: none */
  bool named;       /* has the headers that name the request */
  const char *headers;
  const char *body;
  enum script_framing framing;
  size_t keep;         /* bytes sent, of the whole response; 0: all */
  size_t pause;        /* after this many bytes; 0: none */
  bool reset;          /* instead of closed */
  const char *surplus; /* sent after the response */
};

struct script_server
{
  int fd;
  uint16_t port; /* host order */
  GThread *acceptor;
  GPtrArray *threads; /* GThread */
  struct script_answer answers[SCRIPT_ANSWERS_MAX];
  gint count;    /* of ANSWERS */
  gint requests; /* atomic */
};

struct script_connection
{
  struct script_server *server;
  int fd;
};

/* Defined by the test program.  The headers that name REQUEST, and, after the
   list, the answer to it.  */
static char *script_identity (const char *request);
static bool script_is_counted (const char *request);
static struct script_answer script_proper (const char *request);

static bool
script_read (int fd, char *request)
{
  size_t n = 0;

  while (n < SCRIPT_REQUEST_MAX - 1)
    {
      ssize_t got = recv (fd, request + n, SCRIPT_REQUEST_MAX - 1 - n, 0);
      const char *end;
      const char *length;

      if (got <= 0)
        return false;
      n += (size_t)got;
      request[n] = '\0';
      end = strstr (request, "\r\n\r\n");
      length = strstr (request, "Content-Length: ");
      if (end != NULL
          && (length == NULL
              || strlen (end + 4) >= g_ascii_strtoull (length + 16, NULL, 10)))
        return true;
    }
  return false;
}

/* The value of header NAME, which ends with ": ", of REQUEST, or "".  */
static char *
script_header (const char *request, const char *name)
{
  const char *at = strstr (request, name);

  if (at == NULL)
    return g_strdup ("");
  at += strlen (name);
  return g_strndup (at, strcspn (at, "\r"));
}

static GString *
script_format (const struct script_answer *answer, const char *request)
{
  GString *out = g_string_new (NULL);
  char *identity = script_identity (request);
  size_t length = strlen (answer->body);
  size_t piece = length / 3;

  g_string_printf (out, "HTTP/1.1 %u X\r\nConnection: close\r\n%s%s",
                   answer->status, answer->named ? identity : "",
                   answer->headers != NULL ? answer->headers : "");
  g_free (identity);
  if (answer->type != NULL)
    g_string_append_printf (out, "Content-Type: %s\r\n", answer->type);
  if (answer->framing == SCRIPT_LENGTH)
    g_string_append_printf (out, "Content-Length: %zu\r\n\r\n%s", length,
                            answer->body);
  else if (answer->framing == SCRIPT_UNTIL_CLOSE)
    g_string_append_printf (out, "\r\n%s", answer->body);
  else
    {
      g_string_append (out, "Transfer-Encoding: chunked\r\n\r\n");
      for (size_t i = 0; i < piece; i++)
        g_string_append_printf (out, "1\r\n%c\r\n", answer->body[i]);
      if (length > piece)
        g_string_append_printf (out, "%zx\r\n%s\r\n", length - piece,
                                answer->body + piece);
      g_string_append (out, "0\r\n\r\n");
    }
  if (answer->keep > 0 && answer->keep < out->len)
    g_string_truncate (out, answer->keep);
  if (answer->surplus != NULL)
    g_string_append (out, answer->surplus);
  return out;
}

static void
script_send (int fd, const struct script_answer *answer, const char *request)
{
  const struct linger linger = { .l_onoff = 1 };
  GString *out = script_format (answer, request);
  size_t first = MIN (answer->pause, out->len);

  send (fd, out->str, first, MSG_NOSIGNAL);
  if (first > 0)
    g_usleep (SCRIPT_PAUSE_US);
  send (fd, out->str + first, out->len - first, MSG_NOSIGNAL);
  g_string_free (out, TRUE);
  if (!answer->reset)
    return;
  g_usleep (SCRIPT_PAUSE_US);
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

static gpointer
script_connection_run (gpointer data)
{
  struct script_connection *connection = data;
  struct script_server *server = connection->server;
  char request[SCRIPT_REQUEST_MAX] = "";

  if (script_read (connection->fd, request))
    {
      struct script_answer answer = script_proper (request);

      if (script_is_counted (request))
        {
          gint n = g_atomic_int_add (&server->requests, 1);

          if (n < server->count)
            answer = server->answers[n];
        }
      script_send (connection->fd, &answer, request);
    }
  close (connection->fd);
  g_free (connection);
  return NULL;
}

static gpointer
script_accept_run (gpointer data)
{
  struct script_server *server = data;
  int fd;

  while ((fd = accept (server->fd, NULL, NULL)) >= 0)
    {
      struct script_connection *connection
          = g_new0 (struct script_connection, 1);

      connection->server = server;
      connection->fd = fd;
      g_ptr_array_add (
          server->threads,
          g_thread_new ("script", script_connection_run, connection));
    }
  return NULL;
}

static void
script_server_start (struct script_server *server)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;

  memset (server, 0, sizeof *server);
  server->fd = socket (AF_INET, SOCK_STREAM, 0);
  address.sin_addr.s_addr = htonl (INADDR_ANY);
  g_assert_cmpint (
      bind (server->fd, (struct sockaddr *)&address, sizeof address), ==, 0);
  g_assert_cmpint (listen (server->fd, 128), ==, 0);
  g_assert_cmpint (
      getsockname (server->fd, (struct sockaddr *)&address, &length), ==, 0);
  server->port = ntohs (address.sin_port);
  server->threads = g_ptr_array_new ();
  server->acceptor = g_thread_new ("accept", script_accept_run, server);
}

/* The clients must have closed their connections.  */
static void
script_server_stop (struct script_server *server)
{
  shutdown (server->fd, SHUT_RDWR);
  g_thread_join (server->acceptor);
  for (guint i = 0; i < server->threads->len; i++)
    g_thread_join (g_ptr_array_index (server->threads, i));
  g_ptr_array_unref (server->threads);
  close (server->fd);
}

#endif

/* proper_requests - requests that the protocol lets callers send, sent to the
   gate of gate_fixture.h in pieces of any length.  */

#ifndef PROPER_REQUESTS_H
#define PROPER_REQUESTS_H

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>
#include "gate_fixture.h"

#define HEAD_MAX 16384 /* MaxHeaderBytes of the users' sites */
#define FIELDS "Host: h.example\r\n" ID ": r1\r\n"
#define GET "GET /safe/x HTTP/1.1\r\n" FIELDS
#define POST "POST /safe/x HTTP/1.1\r\n" FIELDS
#define CHUNKED POST "Transfer-Encoding: chunked\r\n\r\n"
#define PLAIN GET "\r\n"
#define STUCK_MS 5000 /* without a response: there will be none */

static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  (void)f;
  answer (request, 200, "hello");
}

struct client
{
  struct fixture *f;
  uint16_t port;
  int fd;
  GString *got;
};

static void
client_connect (struct client *client)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  const int one = 1;

  client->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  address.sin_port = htons (client->port);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (
      connect (client->fd, (struct sockaddr *)&address, sizeof address), ==,
      0);
  setsockopt (client->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

/* Returns whether the connection is still open.  */
static bool
client_receive (struct client *client)
{
  char bytes[4096];
  ssize_t n = recv (client->fd, bytes, sizeof bytes, MSG_DONTWAIT);

  if (n > 0)
    g_string_append_len (client->got, bytes, n);
  return n > 0 || (n < 0 && errno == EAGAIN);
}

static void
client_send (struct client *client, const char *text, size_t length)
{
  size_t sent = 0;

  while (sent < length)
    {
      ssize_t n = send (client->fd, text + sent, length - sent,
                        MSG_NOSIGNAL | MSG_DONTWAIT);

      if (n < 0 && errno != EAGAIN)
        return;
      sent += n > 0 ? (size_t)n : 0;
      loop_run_once (client->f->loop, 0);
      client_receive (client);
    }
}

/* The final response, without interim ones.  */
static const char *
client_response (const struct client *client)
{
  static const char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
  const char *text = client->got->str;

  while (g_str_has_prefix (text, interim))
    text += sizeof interim - 1;
  return text;
}

static bool
has_response (const struct client *client)
{
  const char *text = client_response (client);
  const char *end = strstr (text, "\r\n\r\n");

  return end != NULL
         && (!g_str_has_prefix (text, "HTTP/1.1 200")
             || g_str_has_suffix (end, "hello"));
}

/* Waits for the response, or for the end of the connection.  */
static void
client_await (struct client *client)
{
  struct timespec end = ts_add_ms (clk_now (clk_monotonic ()), STUCK_MS);
  bool open = true;

  while (open && !has_response (client)
         && ts_before (clk_now (clk_monotonic ()), end))
    {
      run_once (client->f);
      open = client_receive (client);
    }
}

/* Returns whether the server's answer came.  */
static bool
check_served (struct client *client, const char *name)
{
  const char *text;
  bool served;

  client_await (client);
  text = client_response (client);
  served = g_regex_match_simple ("^HTTP/1\\.[01] 200 ", text, 0, 0)
           && strstr (text, SEAL) != NULL;
  if (!served)
    {
      g_test_message ("%s: answered with \"%.200s\"", name, text);
      g_test_fail ();
    }
  g_string_truncate (client->got, 0);
  return served;
}

/* Sends the request in pieces that begin at multiples of STEP after FIRST
   bytes, and then another one if the connection is kept.  */
static bool
check_pieces (struct client *client, const char *name, const GString *request,
              size_t first, size_t step)
{
  bool served;
  bool closes;

  client_connect (client);
  client_send (client, request->str, first);
  for (size_t i = first; i < request->len; i += step)
    client_send (client, request->str + i, MIN (step, request->len - i));
  client_await (client);
  closes = strcasestr (client->got->str, "Connection: close") != NULL
           || strstr (request->str, "HTTP/1.0") != NULL;
  served = check_served (client, name);
  if (served && !closes)
    {
      client_send (client, PLAIN, sizeof PLAIN - 1);
      served = check_served (client, name);
    }
  close (client->fd);
  return served;
}

struct form
{
  const char *name;
  const char *text;
};

/* Sends each of FORMS whole, byte by byte and split at each byte.  */
static inline void
check_forms (const struct form *forms, size_t count)
{
  struct fixture f;
  struct client client = { .f = &f, .got = g_string_new (NULL) };

  set_up (&f);
  wait_until_serving (&f);
  client.port = gate_port (f.gate);
  for (size_t i = 0; i < count; i++)
    {
      GString *request = g_string_new (forms[i].text);

      bool served = check_pieces (&client, forms[i].name, request, 0, 1);

      for (size_t first = 0; served && first < request->len; first++)
        served = check_pieces (&client, forms[i].name, request, first,
                               request->len);
      g_string_free (request, TRUE);
    }
  tear_down (&f);
  g_string_free (client.got, TRUE);
}

#define TARGET_END " HTTP/1.1\r\n" FIELDS "\r\n"

/* Requests with a head of just HEAD_MAX bytes.  */
struct large_head
{
  const char *name;
  const char *begin;  /* with the request line */
  const char *repeat; /* as often as there is room */
  const char *fill;   /* one byte, repeated in the rest */
  const char *end;
};

static GString *
make_large_head (const struct large_head *head, size_t size)
{
  GString *text = g_string_new (head->begin);
  size_t end = strlen (head->end) + 1; /* at least one byte is filled in */
  size_t repeat = strlen (head->repeat);

  while (repeat > 0 && text->len + repeat + end <= size)
    g_string_append (text, head->repeat);
  while (text->len + end <= size)
    g_string_append (text, head->fill);
  g_string_append (text, head->end);
  g_assert_cmpuint (text->len, ==, size);
  return text;
}

static inline void
check_large_heads (const struct large_head *heads, size_t count)
{
  struct fixture f;
  struct client client = { .f = &f, .got = g_string_new (NULL) };

  set_up (&f);
  wait_until_serving (&f);
  client.port = gate_port (f.gate);
  for (size_t i = 0; i < count; i++)
    {
      GString *request = make_large_head (&heads[i], HEAD_MAX);

      const char *name = heads[i].name;

      check_pieces (&client, name, request, 0, request->len);
      check_pieces (&client, name, request, 0, 1000);
      check_pieces (&client, name, request, 0, 1);
      g_string_free (request, TRUE);
    }
  tear_down (&f);
  g_string_free (client.got, TRUE);
}

#endif

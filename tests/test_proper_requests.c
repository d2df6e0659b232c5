/* Tests that a gate passes on whatever the protocol lets callers send: in all
   forms, up to the limits of the configuration and split at any byte.  Rare
   forms that it rejects are in test_rare_requests.c.  */

#include "proper_requests.h"

#define BODY_MAX 4096 /* MaxBodyBytes of the fixture */

static const struct form forms[] = {
  { "no body", PLAIN },
  { "a length", POST "Content-Length: 2\r\n\r\nhi" },
  { "an empty body", POST "Content-Length: 0\r\n\r\n" },
  { "a length with zeros", POST "Content-Length: 0002\r\n\r\nhi" },
  { "chunks", CHUNKED "1\r\nh\r\n1\r\ni\r\n0\r\n\r\n" },
  { "sizes in capitals and with zeros",
    CHUNKED "00A\r\n0123456789\r\n0\r\n\r\n" },
  { "an empty chunked body", CHUNKED "0\r\n\r\n" },
  { "chunk extensions", CHUNKED "2;a=\"b\"\r\nhi\r\n0;c\r\n\r\n" },
  { "a trailer", CHUNKED "2\r\nhi\r\n0\r\nX-Sum: y\r\n\r\n" },
  { "a coding in capitals",
    POST "TRANSFER-ENCODING: Chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n" },
  { "names in capitals",
    "GET /safe/x HTTP/1.1\r\nHOST: h.example\r\n"
    "PARSLEYRILL-REQUEST-ID: r1\r\nPARSLEYRILL-DEADLINE-MS: 9000\r\n\r\n" },
  { "names in small letters",
    "GET /safe/x HTTP/1.1\r\nhost: h.example\r\n"
    "parsleyrill-request-id: r1\r\nparsleyrill-deadline-ms: 9000\r\n\r\n" },
  { "no spaces before values",
    "GET /safe/x HTTP/1.1\r\nHost:h.example\r\n" ID ":r1\r\n\r\n" },
  { "the host in capitals",
    "GET /safe/x HTTP/1.1\r\nHost: H.EXAMPLE\r\n" ID ": r1\r\n\r\n" },
  { "a port",
    "GET /safe/x HTTP/1.1\r\nHost: h.example:8149\r\n" ID ": r1\r\n\r\n" },
  { "the whole address",
    "GET http://h.example/safe/x?a=1 HTTP/1.1\r\n" FIELDS "\r\n" },
  { "the whole address in capitals",
    "GET HTTP://h.example:8149/safe/x HTTP/1.1\r\n"
    "Host: H.EXAMPLE:8149\r\n" ID ": r1\r\n\r\n" },
  { "a query",
    "GET /safe/x?a=1&b=x-y&c&=d&&e=%26+f HTTP/1.1\r\n" FIELDS "\r\n" },
  { "an address in the query",
    "GET /safe/x?to=http://other.example/y HTTP/1.1\r\n" FIELDS "\r\n" },
  { "an empty query", "GET /safe/x? HTTP/1.1\r\n" FIELDS "\r\n" },
  { "escapes",
    "GET /safe/%41%2f%00%zz/x;v=1,2/~!$'()*:@ HTTP/1.1\r\n" FIELDS "\r\n" },
  { "the prefix alone", "GET /safe/ HTTP/1.1\r\n" FIELDS "\r\n" },
  { "empty segments", "GET /safe//x//../y/ HTTP/1.1\r\n" FIELDS "\r\n" },
  { "an empty line before", "\r\n" PLAIN },
  { "an empty header", GET "X:\r\n\r\n" },
  { "bytes above 127", GET "X: \xc3\xa9\xff\r\n\r\n" },
  { "a header twice", GET "X: a\r\nX: b\r\n\r\n" },
  { "cookies", GET "Cookie: a=b; c=\"d\"; e;f ,=;\r\n\r\n" },
  { "Expect", POST "Content-Length: 2\r\nExpect: 100-continue\r\n\r\nhi" },
  { "headers of the connection", GET
    "Connection: keep-alive, TE\r\nTE: trailers\r\nKeep-Alive: 5\r\n\r\n" },
  { "the last one", GET "Connection: close\r\n\r\n" },
  { "headers of models",
    POST "Last-Event-Id: 12\r\nParsleyrill-Model: m/a1\r\n"
         "Parsleyrill-Token-Usage: 1460,80\r\n"
         "Parsleyrill-Prompt-Prefix: 5c1e:800,91bd:410\r\n"
         "Parsleyrill-Length-Hint: 7\r\nContent-Length: 2\r\n\r\nhi" },
  { "PUT", "PUT /safe/x HTTP/1.1\r\n" FIELDS "Content-Length: 2\r\n\r\nhi" },
  { "PATCH",
    "PATCH /safe/x HTTP/1.1\r\n" FIELDS "Content-Length: 2\r\n\r\nhi" },
  { "DELETE", "DELETE /safe/x HTTP/1.1\r\n" FIELDS "\r\n" },
  { "DELETE with a body",
    "DELETE /safe/x HTTP/1.1\r\n" FIELDS "Content-Length: 2\r\n\r\nhi" },
  { "OPTIONS", "OPTIONS /safe/x HTTP/1.1\r\n" FIELDS "\r\n" },
  { "GET with a body", GET "Content-Length: 2\r\n\r\nhi" },
  { "HTTP/1.0", "GET /safe/x HTTP/1.0\r\n" FIELDS "\r\n" },
};

/* Proper requests were answered with 4xx for their form, or for where the
   network had split them.  */
static void
test_forms (void)
{
  check_forms (forms, G_N_ELEMENTS (forms));
}

static const struct large_head large_heads[] = {
  { "one header", GET "X: ", "", "a", "\r\n\r\n" },
  { "headers of 100 bytes", GET,
    "X-Header: 0123456789012345678901234567890123456789012345678901234567"
    "89012345678901234567890123456789\r\n",
    "a", ": b\r\n\r\n" },
  { "a cookie", GET "Cookie: a=", "", "b", "\r\n\r\n" },
  { "a path", "GET /safe/", "", "a", TARGET_END },
  { "a query", "GET /safe/x?a=", "", "b", TARGET_END },
  { "parts of the prompt", GET "Parsleyrill-Prompt-Prefix: 1:1",
    ",5c1e07a2:800", "0", "\r\n\r\n" },
};

/* Heads within MaxHeaderBytes were answered with 431.  */
static void
test_large_heads (void)
{
  check_large_heads (large_heads, G_N_ELEMENTS (large_heads));
}

static GString *
make_body (size_t length, size_t chunk)
{
  GString *text = g_string_new (POST);

  if (chunk == 0)
    g_string_append_printf (text, "Content-Length: %zu\r\n\r\n", length);
  else
    g_string_append (text, "Transfer-Encoding: chunked\r\n\r\n");
  for (size_t i = 0; i < length; i++)
    {
      if (chunk > 0 && i % chunk == 0)
        g_string_append_printf (text, "%s%zx\r\n", i > 0 ? "\r\n" : "",
                                MIN (chunk, length - i));
      g_string_append_c (text, 'b');
    }
  if (chunk > 0)
    g_string_append (text, "\r\n0\r\n\r\n");
  return text;
}

/* Bodies of just MaxBodyBytes were answered with 413.  */
static void
test_large_bodies (void)
{
  static const size_t chunks[] = { 0, 1, 7, 1000, BODY_MAX };
  struct fixture f;
  struct client client = { .f = &f, .got = g_string_new (NULL) };

  set_up (&f);
  wait_until_serving (&f);
  client.port = gate_port (f.gate);
  for (size_t i = 0; i < G_N_ELEMENTS (chunks); i++)
    {
      GString *request = make_body (BODY_MAX, chunks[i]);

      check_pieces (&client, "a body", request, 0, request->len);
      check_pieces (&client, "a body", request, 0, 100);
      check_pieces (&client, "a body", request, 0, 1);
      g_string_free (request, TRUE);
    }
  tear_down (&f);
  g_string_free (client.got, TRUE);
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/proper-requests/forms", test_forms);
  g_test_add_func ("/proper-requests/large-heads", test_large_heads);
  g_test_add_func ("/proper-requests/large-bodies", test_large_bodies);
  return g_test_run ();
}

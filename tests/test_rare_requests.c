/* Proper requests of rare forms that a gate rejects, see KNOWN-RED.txt.  */

#include "proper_requests.h"

static const struct form forms[] = {
  { "spaces around the coding",
    POST "Transfer-Encoding: \t chunked \t\r\n\r\n2\r\nhi\r\n0\r\n\r\n" },
  { "spaces around the length", POST "Content-Length:\t 2 \t\r\n\r\nhi" },
  { "spaces around the host",
    "GET /safe/x HTTP/1.1\r\nHost: \th.example \r\n" ID ": r1\r\n\r\n" },
};

/* Guards against 400 for spaces behind a header's value.  */
static void
test_spaces (void)
{
  check_forms (forms, G_N_ELEMENTS (forms));
}

static const struct large_head large_heads[] = {
  { "the shortest headers", GET, "a:\r\n", "a", ": b\r\n\r\n" },
  { "many cookies", GET "Cookie: a", ";b", "c", "\r\n\r\n" },
  { "many arguments", "GET /safe/x?a", "&b", "c", TARGET_END },
};

/* Guards against 431, and against no response at all, to heads within
   MaxHeaderBytes that have some thousand parts.  */
static void
test_many_lines (void)
{
  check_large_heads (large_heads, G_N_ELEMENTS (large_heads));
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rare-requests/spaces", test_spaces);
  g_test_add_func ("/rare-requests/many-lines", test_many_lines);
  return g_test_run ();
}

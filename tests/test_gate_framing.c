/* Tests which responses of backend servers a gate takes as complete.  */

#include <errno.h>
#include "flood_fixture.h"

static const char events[] = EVENT (1) EVENT (2) EVENT (3);

struct framing_case
{
  const char *route;
  const char *name; /* of the response, see floods[] */
  int error;        /* the caller's */
  long status;
  const char *body;      /* received by the caller */
  unsigned other_server; /* requests sent to the other server instead */
};

static void
check_framing (const struct framing_case *c, bool dies)
{
  struct fixture f;
  struct flood_server server;
  const char *whole
      = strcmp (c->route, "safe") == 0 || strcmp (c->route, "once") == 0
            ? "hello"
            : events;
  unsigned before;

  g_test_message ("/%s/%s", c->route, c->name);
  set_up_servers (&f, &server);
  server.dies = dies;
  before = reach_flood (&f, &server, c->route, c->name, whole);
  g_assert_cmpint (f.error, ==, c->error);
  g_assert_cmpint (f.status, ==, c->status);
  if (c->body != NULL)
    g_assert_cmpstr (f.received->str, ==, c->body);
  g_assert_cmpuint (f.at_server - before, ==, c->other_server);
  tear_down (&f);
  flood_server_stop (&server);
}

#define CHECK_FRAMING(cases)                                                  \
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)                           \
  check_framing (&cases[i], false)

/* A stream that ended inside an event was passed on as complete.  */
static void
test_inside_event (void)
{
  static const char begun[] = EVENT (1) EVENT (2);
  static const struct framing_case cases[] = {
    { "cut", "partial", -EPIPE, 200, begun, 0 },
    { "cut", "partial-1.0", -EPIPE, 200, begun, 0 },
    { "cut", "partial-type", -EPIPE, 200, begun, 0 },
    { "cut", "partial-length", -EPIPE, 200, begun, 0 },
    { "cut", "partial-chunks", -EPIPE, 200, begun, 0 },
  };

  CHECK_FRAMING (cases);
}

/* A stream that ended inside an event did not go on at another server.  */
static void
test_continued (void)
{
  static const struct framing_case cases[] = {
    { "long", "partial", 0, 200, events, 1 },
    { "long", "partial-1.0", 0, 200, events, 1 },
    { "long", "partial-type", 0, 200, events, 1 },
    { "long", "partial-length", 0, 200, events, 1 },
    { "long", "partial-chunks", 0, 200, events, 1 },
  };

  CHECK_FRAMING (cases);
}

/* A stream without length and chunks of which nothing but the head came was
   passed on as complete.  */
static void
test_no_event (void)
{
  static const struct framing_case cases[] = {
    { "long", "no-event", 0, 200, events, 1 },
    { "cut", "no-event", 0, 502, NULL, 0 },
  };

  CHECK_FRAMING (cases);
}

/* A body whose length is too large for libcurl was passed on as complete where
   its connection ended.  */
static void
test_length_overflow (void)
{
  static const struct framing_case cases[] = {
    { "safe", "text-length", 0, 200, "hello", 1 },
    { "once", "text-length", 0, 502, NULL, 0 },
  };

  CHECK_FRAMING (cases);
}

/* A response that ended in its head was passed on as complete, with an empty
   body and a length; a stream too, if its type had not come.  */
static void
test_inside_head (void)
{
  static const char *const names[]
      = { "head-status",  "head-identity", "head-in-length",
          "head-length",  "head-in-end",   "head-no-content",
          "head-interim", "head-not-run",  "head-reset" };
  static const char *const stream_names[]
      = { "head-identity", "head-in-type", "head-type", "head-in-end" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      const struct framing_case safe
          = { "safe", names[i], 0, 200, "hello", 1 };
      const struct framing_case once = { "once", names[i], 0, 502, NULL, 0 };

      check_framing (&safe, false);
      check_framing (&once, false);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (stream_names); i++)
    {
      const struct framing_case resumable
          = { "long", stream_names[i], 0, 200, events, 1 };
      const struct framing_case cut
          = { "cut", stream_names[i], 0, 502, NULL, 0 };

      check_framing (&resumable, false);
      check_framing (&cut, false);
    }
}

/* A response that another reader would frame differently was passed on as
   complete, and what follows it was left to the next request.  */
static void
test_ambiguous_head (void)
{
  static const char *const names[]
      = { "two-lengths",       "same-lengths",   "length-list",
          "length-and-chunks", "unknown-coding", "space-before-colon",
          "folded-line",       "lf-alone",       "cr-alone",
          "length-in-trailers" };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      const struct framing_case safe
          = { "safe", names[i], 0, 200, "hello", 1 };
      const struct framing_case once = { "once", names[i], 0, 502, NULL, 0 };

      check_framing (&safe, false);
      check_framing (&once, false);
    }
}

/* Guards against taking sound responses that end with their connection for
   broken ones, and broken ones for sound.  */
static void
test_until_close (void)
{
  static const struct framing_case cases[] = {
    { "cut", "whole", 0, 200, events, 0 },
    { "long", "whole", 0, 200, events, 0 },
    { "long", "whole-1.0", 0, 200, events, 0 },
    { "safe", "text", 0, 200, "hello", 0 },
    { "once", "text", 0, 200, "hello", 0 },
    { "once", "text-1.0", 0, 200, "hello", 0 },
    { "safe", "text-reset", 0, 200, "hello", 1 },
    { "once", "text-reset", 0, 502, NULL, 0 },
    { "safe", "text-short", 0, 200, "hello", 1 },
    { "safe", "text-chunks", 0, 200, "hello", 1 },
  };

  CHECK_FRAMING (cases);
}

/* A body without length and chunks was passed on as complete when its server
   died: the kernel ends the connection then.  */
static void
test_server_died (void)
{
  static const char begun[] = EVENT (1) EVENT (2);
  static const struct framing_case cases[] = {
    { "long", "between", 0, 200, events, 1 },
    { "cut", "between", -EPIPE, 200, begun, 0 },
    { "safe", "text-begun", 0, 200, "hello", 1 },
    { "once", "text-begun", 0, 502, NULL, 0 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    check_framing (&cases[i], true);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gate-framing/inside-event", test_inside_event);
  g_test_add_func ("/gate-framing/continued", test_continued);
  g_test_add_func ("/gate-framing/no-event", test_no_event);
  g_test_add_func ("/gate-framing/length-overflow", test_length_overflow);
  g_test_add_func ("/gate-framing/inside-head", test_inside_head);
  g_test_add_func ("/gate-framing/ambiguous-head", test_ambiguous_head);
  g_test_add_func ("/gate-framing/until-close", test_until_close);
  g_test_add_func ("/gate-framing/server-died", test_server_died);
  return g_test_run ();
}

/* Tests what may follow the beginning of a stream whose server broke off.  */

#include "traffic_fixture.h"
#include "script_server.h"

#define PIECE(n) "data: {\"t\":" #n "}\n\n"
#define WHOLE PIECE (1) PIECE (2) PIECE (3) "data: [DONE]\n\n"
#define STREAM_TYPE "text/event-stream"
#define RANDOM_CASES 60

static void
on_engine (struct fixture *f, struct httpd_request *request, const char *body)
{
  (void)f;
  (void)body;
  httpd_drop (request);
}

static void
on_engine_writable (struct fixture *f, struct httpd_request *request)
{
  (void)f;
  (void)request;
}

static char *
script_identity (const char *request)
{
  char *id = script_header (request, "X-Request-Id: ");
  char *line = g_strdup_printf ("X-Request-Id: %s\r\n", id);

  g_free (id);
  return line;
}

static bool
script_is_counted (const char *request)
{
  (void)request;
  return true;
}

static struct script_answer
script_proper (const char *request)
{
  struct script_answer answer = {
    .status = 200, .type = STREAM_TYPE, .named = true, .framing = SCRIPT_CHUNKS
  };
  const char *from = strstr (request, "\"resume_from\":");
  uint64_t events
      = from != NULL ? g_ascii_strtoull (strchr (from, ':') + 1, NULL, 10) : 0;

  answer.body = WHOLE + events * strlen (PIECE (1));
  return answer;
}

/* Sends a stream request, which gets the COUNT answers first.  */
static void
request_stream (struct fixture *f, struct script_server *server,
                const struct script_answer *answers, gint count)
{
  char *address;

  set_up (f);
  script_server_start (server);
  memcpy (server->answers, answers, sizeof *answers * (size_t)count);
  server->count = count;
  address = g_strdup_printf ("127.0.0.1:%u", server->port);
  route_engine_unref (f->replica);
  f->replica = route_engine_new ("e1", address, "erie", "pool");
  g_free (address);
  publish (f, ROUTE_READY, false);
  request_and_wait (f, "/v1/completions", BODY, NULL);
}

/* Passed on are whole events in order, each once, and the end is that of a
   complete response only behind the closing event.  */
static void
check_stream (const struct fixture *f, const char *what)
{
  const char *body = f->response_body->str;

  if (f->status != 200)
    return;
  if ((f->error == 0) != (strcmp (body, WHOLE) == 0)
      || !g_str_has_prefix (WHOLE, body)
      || (*body != '\0' && !g_str_has_suffix (body, "\n\n")))
    g_error ("%s: error %d, \"%s\"", what, f->error, body);
}

static void
end (struct fixture *f, struct script_server *server)
{
  tear_down (f);
  script_server_stop (server);
}

static const unsigned statuses[]
    = { 200, 201, 204, 206, 302, 400, 404, 408, 421, 429, 500, 502, 503, 504 };

#define ERROR_BODY "{\"error\":{\"type\":\"failed\"}}"

/* Two events and the beginning of the third.  */
static const struct script_answer broken
    = { .status = 200,
        .type = STREAM_TYPE,
        .named = true,
        .headers = "Transfer-Encoding: chunked\r\n",
        .framing = SCRIPT_UNTIL_CLOSE,
        .body = "1e\r\n" PIECE (1) PIECE (2) "\r\n7\r\ndata: {" };

/* A stream that was resumed at a server which answered with an error, or with
   anything but a stream, ended as if it were complete.  */
static void
test_errors (void)
{
  struct script_answer answers[2] = { broken };

  for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++)
    for (unsigned bits = 0; bits < 8; bits++)
      {
        struct fixture f;
        struct script_server server;
        char what[32];

        if (statuses[i] == 200 && (bits & 2) != 0)
          continue;
        g_snprintf (what, sizeof what, "%u/%u", statuses[i], bits);
        answers[1] = (struct script_answer){
          .status = statuses[i],
          .named = (bits & 1) != 0,
          .type = (bits & 2) != 0 ? STREAM_TYPE : "application/json",
          .body = (bits & 4) != 0 && statuses[i] != 204 ? ERROR_BODY : ""
        };
        request_stream (&f, &server, answers, 2);
        g_assert_cmpint (f.status, ==, 200);
        check_stream (&f, what);
        end (&f, &server);
      }
}

/* A stream whose closing event had been passed on was resumed when its
   connection failed: the event came twice.  */
static void
test_failed_after_end (void)
{
  struct fixture f;
  struct script_server server;
  struct script_answer answers[] = {
    { .status = 200,
      .type = STREAM_TYPE,
      .named = true,
      .headers = "Transfer-Encoding: chunked\r\n",
      .framing = SCRIPT_UNTIL_CLOSE,
      .body = "3b\r\n" WHOLE "\r\n" },
  };

  request_stream (&f, &server, answers, 1);
  g_assert_cmpint (f.error, ==, 0);
  g_assert_cmpstr (f.response_body->str, ==, WHOLE);
  g_assert_cmpint (g_atomic_int_get (&server.requests), ==, 1);
  end (&f, &server);
}

/* Cut at any byte, in pieces, with any framing, status and body.  */
static struct script_answer
draw_answer (bool first)
{
  static const unsigned drawn[] = { 200, 200, 206, 404, 500, 503 };
  static const char *const bodies[]
      = { ERROR_BODY, ERROR_BODY "\n\n", PIECE (3), "data: [DONE]\n\n", "" };
  struct script_answer answer
      = { .status = 200,
          .type = STREAM_TYPE,
          .named = true,
          .body = first ? WHOLE : PIECE (3) "data: [DONE]\n\n",
          .framing = (enum script_framing)g_test_rand_int_range (0, 2),
          .keep = (size_t)g_test_rand_int_range (1, 250),
          .pause = (size_t)g_test_rand_int_range (0, 250),
          .reset = g_test_rand_int_range (0, 3) == 0 };

  if (first)
    return answer;
  answer.status = drawn[g_test_rand_int_range (0, G_N_ELEMENTS (drawn))];
  if (answer.status != 200)
    answer.body = bodies[g_test_rand_int_range (0, G_N_ELEMENTS (bodies))];
  else
    answer.type = "application/json";
  if (g_test_rand_int_range (0, 2) == 0)
    answer.keep = 0;
  return answer;
}

/* Whatever the servers send, the caller gets whole events in order, each once.
 */
static void
test_random (void)
{
  struct fixture f;
  struct script_server server;

  for (int i = 0; i < RANDOM_CASES; i++)
    {
      struct script_answer answers[]
          = { draw_answer (true), draw_answer (false) };
      char *what = g_strdup_printf ("%d: %d %zu %zu, then %u %d %zu %zu %s", i,
                                    answers[0].framing, answers[0].keep,
                                    answers[0].pause, answers[1].status,
                                    answers[1].framing, answers[1].keep,
                                    answers[1].pause, answers[1].body);

      request_stream (&f, &server, answers, G_N_ELEMENTS (answers));
      if (g_str_has_prefix (f.response_body->str, PIECE (1)))
        check_stream (&f, what);
      end (&f, &server);
      g_free (what);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/traffic-continued/errors", test_errors);
  g_test_add_func ("/traffic-continued/failed-after-end",
                   test_failed_after_end);
  g_test_add_func ("/traffic-continued/random", test_random);
  return g_test_run ();
}

/* Tests what may follow the beginning of a stream whose server broke off.  */

#include <errno.h>
#include "gate_fixture.h"
#include "script_server.h"

#define EVENT(n) "id: " #n "\ndata: x" #n "\n\n"
#define BEGUN EVENT (1) EVENT (2)
#define WHOLE BEGUN EVENT (3) EVENT (4)
#define EVENT_LENGTH (sizeof EVENT (1) - 1)
#define STREAM_TYPE "text/event-stream"
#define ERROR_TEXT "{\"error\":\"overloaded\"}"
#define WARM_REQUESTS 4 /* fill the retry budget */
#define RANDOM_CASES 150

static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  (void)f;
  answer (request, 200, "hello");
}

static char *
script_identity (const char *request)
{
  char *id = script_header (request, ID ": ");
  char *lines = g_strdup_printf (ID ": %s\r\n" SEAL ": seal\r\n", id);

  g_free (id);
  return lines;
}

static bool
script_is_counted (const char *request)
{
  return g_str_has_prefix (request, "GET /long/");
}

static struct script_answer
script_proper (const char *request)
{
  char *id = script_header (request, "Last-Event-Id: ");
  struct script_answer answer = {
    .status = 200, .type = STREAM_TYPE, .named = true, .framing = SCRIPT_CHUNKS
  };

  answer.body = WHOLE + g_ascii_strtoull (id, NULL, 10) * EVENT_LENGTH;
  g_free (id);
  return answer;
}

/* Two servers, at two addresses.  */
static void
list_servers (struct fixture *f, const struct script_server *server)
{
  for (unsigned i = 1; i <= 2; i++)
    {
      char *name = g_strdup_printf ("servers/i-%u", i);
      char *text = g_strdup_printf (
          "{\"Service\":\"app\",\"Address\":\"127.0.0.%u:%u\",\"Zone\":\"z\","
          "\"Slots\":8,\"State\":\"ready\",\"Sequence\":1}",
          i, server->port);

      put_row (f, name, text);
      g_free (text);
      g_free (name);
    }
}

/* Sends a stream request, which gets the COUNT answers first.  */
static void
request_stream (struct fixture *f, struct script_server *server,
                const struct script_answer *answers, gint count)
{
  set_up (f);
  script_server_start (server);
  put_config (f, 1);
  list_servers (f, server);
  for (unsigned served = 0; served < WARM_REQUESTS; served += f->status == 200)
    request_and_wait (f, "GET", "/safe/warm", NULL);
  memcpy (server->answers, answers, sizeof *answers * (size_t)count);
  server->count = count;
  request_and_wait (f, "GET", "/long/x", NULL);
}

static void
end (struct fixture *f, struct script_server *server)
{
  tear_down (f);
  script_server_stop (server);
}

/* Passed on are whole events of WHOLE in order, each once, and the end is that
   of a complete response only behind the last one.  */
static void
check_stream (const struct fixture *f, const char *whole, const char *what)
{
  const char *body = f->received->str;
  bool is_whole = strcmp (body, whole) == 0;

  if (f->status != 200)
    return;
  if ((f->error == 0 && !is_whole) || !g_str_has_prefix (whole, body)
      || (*body != '\0' && !is_whole && !g_str_has_suffix (body, "\n\n")))
    g_error ("%s: error %d, \"%s\"", what, f->error, body);
}

/* Two events and the beginning of the third.  */
static const struct script_answer broken = { .status = 200,
                                             .type = STREAM_TYPE,
                                             .named = true,
                                             .framing = SCRIPT_UNTIL_CLOSE,
                                             .body = BEGUN "id: 3\ndata" };

static void
check_continuation (const struct script_answer *second, const char *what)
{
  struct script_answer answers[] = { broken, *second };
  struct fixture f;
  struct script_server server;

  g_test_message ("%s", what);
  request_stream (&f, &server, answers, G_N_ELEMENTS (answers));
  g_assert_cmpint (f.status, ==, 200);
  g_assert_cmpint (g_atomic_int_get (&server.requests), >=, 2);
  check_stream (&f, WHOLE, what);
  end (&f, &server);
}

/* The text of an error, or its head, was passed on in the middle of a stream,
   or the stream ended as if it were complete.  */
static void
test_errors (void)
{
  static const unsigned statuses[]
      = { 200, 201, 206, 302, 400, 404, 421, 429, 500, 503, 504 };

  for (size_t i = 0; i < G_N_ELEMENTS (statuses); i++)
    for (unsigned bits = 0; bits < 4; bits++)
      {
        struct script_answer second
            = { .status = statuses[i],
                .named = (bits & 1) != 0,
                .type = (bits & 2) != 0 ? STREAM_TYPE : "application/json",
                .framing = (enum script_framing) (i % SCRIPT_FRAMINGS),
                .body = statuses[i] == 200 && bits == 3 ? ERROR_TEXT
                                                        : ERROR_TEXT "\n\n" };
        char *what = g_strdup_printf ("%u/%u", statuses[i], bits);

        check_continuation (&second, what);
        g_free (what);
      }
}

/* A response with the status and type of a stream was taken for the rest of
   the one that had begun, whatever its events.  */
static void
test_other_events (void)
{
  static const char *const bodies[]
      = { "event: error\ndata: overloaded\n\n",
          ERROR_TEXT "\n\n",
          "HTTP/1.1 500 X\r\nContent-Length: 2\r\n\r\n{}",
          WHOLE,
          EVENT (2) EVENT (3) EVENT (4),
          "data: x3\n\ndata: x4\n\n",
          EVENT (3) EVENT (2) EVENT (4),
          EVENT (3) "data: x4\n\n",
          EVENT (3) "id: 4x\ndata: x4\n\n",
          EVENT (3) "id:\n4\ndata: x4\n\n",
          "" };
  struct script_answer second
      = { .status = 200, .type = STREAM_TYPE, .named = true };

  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    for (int framing = 0; framing < SCRIPT_FRAMINGS; framing++)
      {
        second.framing = (enum script_framing)framing;
        second.body = bodies[i];
        check_continuation (&second, bodies[i]);
      }
}

/* An event without an id, which the server would send again, was followed by a
   continuation: it came twice.  */
static void
test_no_id (void)
{
  struct script_answer first = broken;
  struct fixture f;
  struct script_server server;

  first.body = BEGUN "data: y\n\n: comment\n\nid: 3\n";
  request_stream (&f, &server, &first, 1);
  g_assert_cmpint (f.status, ==, 200);
  g_assert_cmpint (f.error, <, 0);
  g_assert_cmpstr (f.received->str, ==, BEGUN "data: y\n\n: comment\n\n");
  end (&f, &server);
}

/* Comments need no id, and lines may end with CR LF.  */
static void
test_sound (void)
{
  static const char first_body[] = BEGUN ": a\n\nid:";
  static const char second_body[] = ": b\r\n\r\nid: 3\r\ndata: x3\r\n\r\n\r\n";
  struct script_answer answers[] = { broken, broken };
  struct fixture f;
  struct script_server server;

  answers[0].body = first_body;
  answers[1].body = second_body;
  answers[1].framing = SCRIPT_CHUNKS;
  answers[1].pause = strlen (second_body);
  request_stream (&f, &server, answers, G_N_ELEMENTS (answers));
  g_assert_cmpint (f.error, ==, 0);
  g_assert_true (g_str_has_prefix (f.received->str, BEGUN ": a\n\n"));
  g_assert_true (g_str_has_suffix (f.received->str, second_body));
  end (&f, &server);
}

/* The bytes of a response of a server that fails, drawn at random: cut at any
   byte, in pieces, with any framing, status and events.  */
static struct script_answer
draw_answer (bool first)
{
  static const unsigned statuses[]
      = { 200, 200, 200, 200, 206, 404, 500, 503 };
  static const char *const bodies[]
      = { ERROR_TEXT,     "event: error\ndata: " ERROR_TEXT "\n\n",
          WHOLE,          EVENT (2) EVENT (3) EVENT (4),
          "data: x3\n\n", "" };
  struct script_answer answer
      = { .type = STREAM_TYPE,
          .named = true,
          .framing = (enum script_framing)g_test_rand_int_range (0, 2),
          .keep = (size_t)g_test_rand_int_range (1, 250),
          .pause = (size_t)g_test_rand_int_range (0, 250),
          .reset = g_test_rand_int_range (0, 3) == 0,
          .body = WHOLE,
          .status = 200 };

  if (first)
    return answer;
  answer.status = statuses[g_test_rand_int_range (0, G_N_ELEMENTS (statuses))];
  answer.body = bodies[g_test_rand_int_range (0, G_N_ELEMENTS (bodies))];
  answer.named = g_test_rand_int_range (0, 5) != 0;
  if (g_test_rand_int_range (0, 5) == 0)
    answer.type = "application/json";
  if (g_test_rand_int_range (0, 2) == 0)
    answer.keep = 0;
  return answer;
}

/* Otherwise the first server failed before its first event, and what the
   caller got, if anything, is of the second's response.  */
static bool
has_begun (const struct fixture *f)
{
  return (f->error != 0 && f->received->len == 0)
         || g_str_has_prefix (f->received->str, EVENT (1));
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
      check_stream (&f, has_begun (&f) ? WHOLE : answers[1].body, what);
      end (&f, &server);
      g_free (what);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gate-continued/errors", test_errors);
  g_test_add_func ("/gate-continued/other-events", test_other_events);
  g_test_add_func ("/gate-continued/no-id", test_no_id);
  g_test_add_func ("/gate-continued/sound", test_sound);
  g_test_add_func ("/gate-continued/random", test_random);
  return g_test_run ();
}

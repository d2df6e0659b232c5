/* Tests what a gate takes for a backend server's word that a request did not
   run.  */

#include "gate_fixture.h"
#include "repeat_server.h"

#define NOT_RUN "Parsleyrill-Not-Executed: 1\r\n"
#define NO_BODY "Content-Length: 0\r\n\r\n"

static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  (void)f;
  answer (request, 200, "hello");
}

static void
list_repeat_server (struct fixture *f, const struct repeat_server *server)
{
  char *text = g_strdup_printf (
      "{\"Service\":\"app\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"z\","
      "\"Slots\":8,\"State\":\"ready\",\"Sequence\":1}",
      server->port);

  put_row (f, "servers/i-1", text);
  g_free (text);
}

/* A late copy of a refusal that names no request was taken for the answer to
   the next one, which ran: its caller was told that it had not.  */
static void
check_late_copy (const char *refusal)
{
  struct repeat_server server = { .id_header = ID ": ",
                                  .answer = SEAL ": seal\r\n"
                                                 "Content-Length: 2\r\n\r\n"
                                                 "ok",
                                  .refusal = refusal };
  struct fixture f;

  set_up (&f);
  repeat_server_start (&server);
  put_config (&f, 1);
  list_repeat_server (&f, &server);
  do
    request_and_wait (&f, "POST", "/once/warm", NULL);
  while (f.status != 200);
  g_atomic_int_set (&server.run, 0);
  f.id = "r-refused";
  request_and_wait (&f, "POST", "/once/full", NULL);
  g_assert_cmpint (g_atomic_int_get (&server.refused), >=, 1);
  for (int i = 0; i < 3; i++)
    {
      f.id = "r-next";
      g_atomic_int_set (&server.run, 0);
      request_and_wait (&f, "POST", "/once/x", NULL);
      g_assert_cmpint (f.status, ==, 200);
      g_assert_cmpint (g_atomic_int_get (&server.run), ==, 1);
    }
  tear_down (&f);
  repeat_server_stop (&server);
}

static void
test_late_copy (void)
{
  check_late_copy ("HTTP/1.1 503 Full\r\n" NOT_RUN NO_BODY);
  check_late_copy ("HTTP/1.1 429 Full\r\n" NOT_RUN NO_BODY);
  check_late_copy ("HTTP/1.1 421 Other\r\n" NO_BODY);
}

/* Refusals that belong to no request or to another one than this were taken
   for refusals of this one.  */
static void
test_wrong_names (void)
{
  check_late_copy ("HTTP/1.1 503 Full\r\n" NOT_RUN ID ": another\r\n" NO_BODY);
  check_late_copy ("HTTP/1.1 503 Full\r\n" NOT_RUN ID ":\r\n" NO_BODY);
  check_late_copy ("HTTP/1.1 503 Full\r\n" NOT_RUN ID ": r-next\r\n" ID
                   ": another\r\n" NO_BODY);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gate-refusal/late-copy", test_late_copy);
  g_test_add_func ("/gate-refusal/wrong-names", test_wrong_names);
  return g_test_run ();
}

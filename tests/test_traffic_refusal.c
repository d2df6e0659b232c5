/* Tests what a traffic thread takes for a backend server's word that a request
   did not run.  */

#include <stddef.h>
#include "traffic_fixture.h"
#include "repeat_server.h"

#define REFUSAL_BODY "{\"error\":{\"not_run\":true}}"
#define FULL_BODY "{\"model\":\"m\",\"prompt\":\"full\",\"stream\":true}"
#define ANSWER                                                                \
  "Content-Type: text/event-stream\r\nContent-Length: 14\r\n\r\n"             \
  "data: [DONE]\n\n"

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

/* A late copy of a refusal that names no attempt was taken for the response to
   the next one, which ran and was sent once more.  */
static void
test_late_copy (void)
{
  char *refusal
      = g_strdup_printf ("HTTP/1.1 503 Full\r\nContent-Length: %zu\r\n\r\n%s",
                         strlen (REFUSAL_BODY), REFUSAL_BODY);
  struct repeat_server server = {
    .id_header = "X-Request-Id: ", .answer = ANSWER, .refusal = refusal
  };
  struct fixture f;
  char *address;

  set_up (&f);
  repeat_server_start (&server);
  address = g_strdup_printf ("127.0.0.1:%u", server.port);
  route_engine_unref (f.replica);
  f.replica = route_engine_new ("e1", address, "erie", "pool");
  publish (&f, ROUTE_READY, false);
  request_and_wait (&f, "/v1/completions", FULL_BODY, NULL);
  g_assert_cmpint (g_atomic_int_get (&server.refused), >=, 1);
  for (int i = 0; i < 3; i++)
    {
      g_atomic_int_set (&server.run, 0);
      request_and_wait (&f, "/v1/completions", BODY, NULL);
      g_assert_cmpint (f.status, ==, 200);
      g_assert_cmpint (g_atomic_int_get (&server.run), ==, 1);
    }
  g_assert_cmpint (g_atomic_int_get (&server.copies), ==, 0);
  tear_down (&f);
  repeat_server_stop (&server);
  g_free (address);
  g_free (refusal);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/traffic-refusal/late-copy", test_late_copy);
  return g_test_run ();
}

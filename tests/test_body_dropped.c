/* Guards against passing a request on without its body: the route of a request
   comes into force between its head, when the body was not wanted, and the end
   of its body.  */

#pragma GCC diagnostic ignored "-Wunused-function"
#include "proper_requests.h"
#include "listing.h"

static const char with_route[]
    = "{\"Version\":2,\"Routes\":["
      "{\"Name\":\"late\",\"Hostname\":\"h.example\",\"Prefix\":\"/late/\","
      "\"Kind\":\"safe\",\"TimeoutMs\":1000,\"Service\":\"app\"}],"
      "\"Services\":[{\"Name\":\"app\"}]}";

static void
test_route_comes (void)
{
  static const char head[]
      = "POST /late/x HTTP/1.1\r\n" FIELDS "Content-Length: 6\r\n\r\nabc";
  struct fixture f;
  struct client client = { .f = &f, .got = g_string_new (NULL) };

  set_up (&f);
  wait_until_serving (&f);
  client.port = gate_port (f.gate);
  client_connect (&client);
  client_send (&client, head, sizeof head - 1);
  for (int i = 0; i < 20; i++)
    run_once (&f);
  put_row (&f, "op/config", with_route);
  RUN_UNTIL (
      &f, listing_site ((struct listing *)gate_service (f.gate, LISTING_NAME))
                  ->version
              == 2);
  client_send (&client, "def", 3);
  client_await (&client);
  g_assert_true (g_str_has_prefix (client.got->str, "HTTP/1.1 503 "));
  g_assert_nonnull (strstr (client.got->str, "Retry-After: "));
  g_assert_cmpuint (f.at_server, ==, 0);
  g_string_truncate (client.got, 0);
  client_send (&client, head, sizeof head - 1);
  client_send (&client, "def", 3);
  check_served (&client, "once more");
  close (client.fd);
  g_string_free (client.got, TRUE);
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/body-dropped/route-comes", test_route_comes);
  return g_test_run ();
}

/* A gate beside an engine that tells its pace.  */

#include "gate_fixture.h"
#include "counter.h"

#define EVENT "data: x\n\n"

static const char *load; /* that the engine tells; NULL: none */

static const char engine_config[]
    = "{\"Version\":1,\"Routes\":[{\"Name\":\"r\",\"Hostname\":"
      "\"h.example\",\"Prefix\":\"/m/\",\"Kind\":\"streaming\","
      "\"TimeoutMs\":20000,\"Service\":\"app\",\"MaxAttempts\":2,"
      "\"Resumable\":true,\"GapAimMs\":5000}],\"Services\":[{\"Name\":"
      "\"app\",\"Engine\":{\"Slots\":8,\"WeightsMb\":1000,"
      "\"AdapterSlots\":4,\"LoadsPerS\":1,\"Models\":[{\"Name\":\"m\","
      "\"WeightsMb\":10,\"LoadS\":1,\"Adapters\":1,\"AdapterMb\":1}]}}]}";

static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  const char *headers[]
      = { ID, httpd_header (request, ID), SEAL, "seal", NULL, NULL, NULL };

  (void)f;
  if (strcmp (httpd_path (request), "/m/x") != 0)
    {
      answer (request, 404, "no reports");
      return;
    }
  if (load != NULL)
    {
      headers[4] = "Parsleyrill-Server-Load";
      headers[5] = load;
    }
  httpd_stream_begin (request, 200, "text/event-stream", headers);
  httpd_stream_write (request, EVENT EVENT, strlen (EVENT EVENT));
  httpd_stream_end (request);
}

static void
send_request (struct fixture *f)
{
  static const char *const headers[]
      = { "Parsleyrill-Model: m", "Parsleyrill-Token-Usage: 9190,60",
          "Parsleyrill-Prompt-Prefix: a:6300,b:2890", NULL };

  request_and_wait (f, "GET", "/m/x", headers);
}

static void
start (struct fixture *f)
{
  char *text;

  set_up (f);
  put_row (f, "op/config", engine_config);
  text = g_strdup_printf (
      "{\"Service\":\"app\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"z\","
      "\"Slots\":8,\"State\":\"ready\",\"Sequence\":1,\"born\":1000,"
      "\"Models\":[{\"Name\":\"m\"}]}",
      httpd_port (f->server));
  put_row (f, "servers/i-1", text);
  g_free (text);
}

/* Requests that this load of the engine makes the gate send by the estimate
   at its pace.  */
static int64_t
sent_by_pace (struct fixture *f, const char *told)
{
  int64_t before;

  load = told;
  do
    send_request (f);
  while (f->status != 200);
  before = counter_get (COUNTER_CACHED);
  send_request (f);
  g_assert_cmpint (f->status, ==, 200);
  return counter_get (COUNTER_CACHED) - before;
}

/* Without a fourth figure, or with a malformed header, nothing changes.  */
static void
test_told (void)
{
  static const char *const others[]
      = { NULL,        "1,0,8",       "1,0,8,0",          "1,0,8,-100",
          "1,0,8,nan", "1,0,8,100,1", "1,0,8,99999999999" };
  struct fixture f;

  start (&f);
  for (size_t i = 0; i < G_N_ELEMENTS (others); i++)
    g_assert_cmpint (sent_by_pace (&f, others[i]), ==, 0);
  g_assert_cmpint (sent_by_pace (&f, "1,0,8,120"), ==, 1);
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/gate-pace/told", test_told);
  return g_test_run ();
}

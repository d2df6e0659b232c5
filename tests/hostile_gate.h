/* hostile_gate - a gate as a process of its own, with little memory and few
   descriptors, and crowds of hostile clients at its ports.

   The forms of a table of hostile_forms.h, at each path of each port: the gate
   lives, stays within MemoryMb and FdLimit and serves an ordinary caller while
   the crowd is still connected; a request that it says has not run has not
   run.  Not to be run beside other tests.  HOSTILE_KEEP keeps the logs.  */

#ifndef HOSTILE_GATE_H
#define HOSTILE_GATE_H

#include <signal.h>
#pragma GCC diagnostic ignored "-Wunused-function"
#pragma GCC diagnostic ignored "-Wunused-variable"
#include "gate_fixture.h"
#undef FIELDS
#undef GET
#undef POST
#include "hostile_process.h"

#define FRONT_PORT 8149
#define READY_PORT 8141
#define CONTROL_PORT 8144
#define DIRECTORY_PORT 8143
#define METRICS_PORT 8145
#define STORE_PORT 8142
#define LARGE_BYTES (8u << 20) /* of a response */

static const char *program;

/* The process of the store and the backend server.  */

static const char *record_path;

static void
answer_large (struct httpd_request *request, const char *type)
{
  const char *headers[]
      = { ID, httpd_header (request, ID), SEAL, "seal", NULL };
  GString *text = g_string_new (NULL);

  for (unsigned i = 1; text->len < LARGE_BYTES; i++)
    g_string_append_printf (text, "id: %u\ndata: %0500d\n\n", i, 1);
  httpd_respond (request, 200, type, headers, text->str, text->len);
  g_string_free (text, TRUE);
}

static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  const char *large = httpd_header (request, "X-Large");
  FILE *record = fopen (record_path, "a");

  (void)f;
  fprintf (record, "%s\n", httpd_header (request, ID));
  fclose (record);
  if (large == NULL)
    answer (request, 200, "hello");
  else
    answer_large (request, *large == '2' ? "text/event-stream" : "text/plain");
}

static struct httpd *
listen_for (struct fixture *f, const char *address, int port,
            void (*request) (void *user, struct httpd_request *request),
            void (*gone) (void *user, struct httpd_request *request,
                          bool complete))
{
  struct httpd_options options = { .loop = f->loop,
                                   .address = address,
                                   .port = (uint16_t)port,
                                   .head_memory = SERVER_HEAD_MEMORY,
                                   .request = request,
                                   .gone = gone,
                                   .user = f };
  struct httpd *httpd = NULL;

  if (httpd_new (&options, &httpd) < 0)
    abort ();
  return httpd;
}

static void
servers_main (char **argv)
{
  struct fixture f = { 0 };

  f.loop = loop_new (clk_monotonic ());
  f.rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free);
  f.waiting_feeds = g_ptr_array_new ();
  f.last_request = g_string_new (NULL);
  record_path = argv[1];
  f.store = listen_for (&f, argv[0], STORE_PORT, on_store, on_store_finished);
  f.server = listen_for (&f, argv[0], STORE_PORT + 1, on_server,
                         on_server_finished);
  put_row (&f, "op/config",
           "{\"Version\":1,\"Routes\":["
           "{\"Name\":\"safe\",\"Hostname\":\"h.example\","
           "\"Prefix\":\"/safe/\",\"Kind\":\"safe\",\"TimeoutMs\":20000,"
           "\"Service\":\"app\",\"MaxAttempts\":2},"
           "{\"Name\":\"long\",\"Hostname\":\"h.example\","
           "\"Prefix\":\"/long/\",\"Kind\":\"streaming\",\"TimeoutMs\":20000,"
           "\"Service\":\"app\",\"MaxAttempts\":2}],"
           "\"Services\":[{\"Name\":\"app\"}],\"Limits\":{"
           "\"MaxBodyBytes\":" BODY_MAX_TEXT ",\"MaxHeaderBytes\":16384,"
           "\"HeaderTimeoutMs\":1000,\"IdleTimeoutMs\":5000}}");
  put_row (&f, "servers/i-1", argv[2]);
  for (;;)
    {
      loop_run_once (f.loop, 20);
      end_feeds (&f);
    }
}

/* The gate.  */

struct gate_run
{
  struct victim victim; /* first: callbacks cast it */
  pid_t servers;
  char servers_address[32];
  char *record;
  unsigned calls;
};

static bool
call_gate (struct victim *victim)
{
  struct gate_run *run = (struct gate_run *)victim;
  char *input = g_malloc (RESPONSE_MAX);
  char *text = g_strdup_printf (
      "GET /safe/x HTTP/1.1\r\nHost: h.example\r\n" ID ": call-%u\r\n\r\n",
      run->calls++);
  bool served = victim_exchange (victim, victim->address, FRONT_PORT, text,
                                 strlen (text), input)
                == 200;

  g_free (text);
  g_free (input);
  return served;
}

/* 429 and 503 guarantee that the request has not run.  */
static void
check_refusals (struct victim *victim, const struct crowd *crowd)
{
  const struct gate_run *run = (const struct gate_run *)victim;
  char *record = NULL;

  g_file_get_contents (run->record, &record, NULL, NULL);
  for (int i = 0; crowd->form->reads && i < crowd->form->clients; i++)
    {
      const struct crowd_client *client = &crowd->clients[i];
      const char *got = client->got->str;
      char *line = g_strdup_printf ("%s\n", client->id);

      if ((strstr (got, "HTTP/1.1 503") != NULL
           || strstr (got, "HTTP/1.1 429") != NULL)
          && record != NULL && strstr (record, line) != NULL)
        {
          g_test_message ("%s ran and was refused: %s", client->id, got);
          g_test_fail ();
        }
      g_free (line);
    }
  g_free (record);
  remove (run->record);
}

static void
start_servers (struct gate_run *run)
{
  char *row = g_strdup_printf (
      "{\"Service\":\"app\",\"Address\":\"%s:%d\",\"Zone\":\"z\","
      "\"Slots\":1000,\"State\":\"ready\",\"Sequence\":1}",
      run->servers_address, STORE_PORT + 1);
  char *argv[] = { (char *)program,
                   (char *)"servers",
                   run->servers_address,
                   run->record,
                   row,
                   NULL };

  run->servers = victim_start_process (&run->victim, argv, "servers.log");
  g_free (row);
}

static void
start_gate_process (struct gate_run *run)
{
  const char *ip = run->victim.address;
  char *settings = g_build_filename (run->victim.dir, "gate.json", NULL);
  char *dir = g_path_get_dirname (program);
  char *gate = g_build_filename (dir, "..", "parsley-gate", NULL);
  char *text = g_strdup_printf (
      "{\"NodeName\":\"n1\",\"Zone\":\"z\",\"Region\":\"r\","
      "\"Listen\":{\"Front\":\"%s:%d\",\"Ready\":\"%s:%d\","
      "\"Control\":\"%s:%d\",\"Directory\":\"%s:%d\"},"
      "\"Limits\":{\"FdLimit\":%d,\"MemoryMb\":%d},"
      "\"Platform\":{\"Address\":\"%s:%d\"}}",
      ip, FRONT_PORT, ip, READY_PORT, ip, CONTROL_PORT, ip, DIRECTORY_PORT,
      FD_LIMIT, MEMORY_MB, run->servers_address, STORE_PORT);
  char *argv[] = { gate, (char *)"--settings", settings, NULL };

  g_assert_true (g_file_set_contents (settings, text, -1, NULL));
  run->victim.pid = victim_start_process (&run->victim, argv, "gate.log");
  g_free (text);
  g_free (gate);
  g_free (dir);
  g_free (settings);
}

static const char *const gate_environment[]
    = { "PARSLEY_PEER_TOKEN=secret-of-nodes",
        "PARSLEY_METRICS_PORT=" G_STRINGIFY (METRICS_PORT),
        "ASAN_OPTIONS=quarantine_size_mb=8", NULL };

static struct gate_run *
start_run (void)
{
  struct gate_run *run = g_new0 (struct gate_run, 1);

  run->victim.dir = g_dir_make_tmp ("hostile-XXXXXX", NULL);
  run->victim.environment = gate_environment;
  run->victim.call = call_gate;
  run->victim.check = check_refusals;
  run->record = g_build_filename (run->victim.dir, "record", NULL);
  victim_addresses (&run->victim);
  g_strlcpy (run->servers_address, run->victim.address,
             sizeof run->servers_address);
  *strrchr (run->servers_address, '.') = '\0';
  g_strlcat (run->servers_address, ".1", sizeof run->servers_address);
  start_servers (run);
  start_gate_process (run);
  return run;
}

static void
end_run (struct gate_run *run)
{
  char *command = g_strdup_printf ("rm -rf '%s'", run->victim.dir);

  kill_process (run->victim.pid);
  kill_process (run->servers);
  if (g_getenv ("HOSTILE_KEEP") != NULL)
    g_test_message ("kept %s", run->victim.dir);
  else if (system (command) != 0)
    g_test_message ("not removed: %s", run->victim.dir);
  g_free (command);
  g_free (run->victim.dir);
  g_free (run->record);
  g_free (run);
}

static void
test_form (gconstpointer form)
{
  struct gate_run *run = start_run ();
  const char *ip = run->victim.address;
  const struct crowd_door doors[] = {
    { "a route", ip, FRONT_PORT, "/safe/x" },
    { "a streaming route", ip, FRONT_PORT, "/long/x" },
    { "an unknown path", ip, FRONT_PORT, "/nowhere/x" },
    { "readiness", ip, READY_PORT, "/v1/ready" },
    { "lookup", ip, DIRECTORY_PORT, "/v1/resolve?Name=h.example" },
    { "metrics", ip, METRICS_PORT, "/metrics" },
    { "the nodes' port", ip, CONTROL_PORT, "/" },
  };

  run->victim.doors = doors;
  run->victim.door_count = G_N_ELEMENTS (doors);
  attack (&run->victim, form);
  end_run (run);
}

/* Guards against limits that reject what the protocol allows.  */
static void
test_largest_request (void)
{
  struct gate_run *run = start_run ();
  GString *text
      = largest_request ("/safe/x", ID ": largest\r\n", HEAD_MAX_BYTES);
  char *input = g_malloc (RESPONSE_MAX);

  g_assert_true (victim_serves (&run->victim));
  for (int i = 0; i < 4; i++)
    g_assert_cmpint (victim_exchange (&run->victim, run->victim.address,
                                      FRONT_PORT, text->str, text->len, input),
                     ==, 200);
  g_assert_cmpint (process_peak_kb (run->victim.pid), <=, PEAK_MAX_KB);
  g_free (input);
  g_string_free (text, TRUE);
  end_run (run);
}

static int
hostile_gate_main (int argc, char **argv, const struct crowd_form *form,
                   size_t count)
{
  program = argv[0];
  if (argc > 4 && strcmp (argv[1], "servers") == 0)
    servers_main (argv + 2);
  signal (SIGPIPE, SIG_IGN);
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/hostile-gate/largest-request", test_largest_request);
  for (; count > 0; count--, form++)
    {
      char *path = g_strdup_printf ("/hostile-gate/%s", form->name);

      g_test_add_data_func (path, form, test_form);
      g_free (path);
    }
  return g_test_run ();
}

#endif

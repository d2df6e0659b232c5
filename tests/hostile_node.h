/* hostile_node - parsleyd as a process of its own, with little memory and few
   descriptors, beside stand-ins, and crowds of hostile clients at its ports;
   see hostile_gate.h.  */

#ifndef HOSTILE_NODE_H
#define HOSTILE_NODE_H

#include "hostile_process.h"

#define LISTEN_PORT 8149
#define PEER_PORT 8144
#define PLATFORM_PORT 8142
#define SERVICE_PORT 8400

struct node_run
{
  struct victim victim; /* first: callbacks cast it */
  pid_t platform;
  pid_t service;
  char others[32]; /* address of the stand-ins */
  bool configured;
};

static const char *programs; /* their directory */

static pid_t
start_standin (struct node_run *run, const char *role, int port)
{
  char *path = g_build_filename (programs, "parsley-standin", NULL);
  char *listen = g_strdup_printf ("%s:%d", run->others, port);
  char *log = g_strconcat (role, ".log", NULL);
  char *argv[] = { path,
                   (char *)role,
                   (char *)"--listen",
                   listen,
                   (char *)"--id",
                   (char *)"service-1",
                   (char *)"--zone",
                   (char *)"z",
                   (char *)"--pool",
                   (char *)"ledger-app",
                   NULL };
  pid_t pid;

  if (strcmp (role, "platform") == 0)
    argv[4] = NULL;
  pid = victim_start_process (&run->victim, argv, log);
  g_free (log);
  g_free (listen);
  g_free (path);
  return pid;
}

static void
start_node_process (struct node_run *run)
{
  char *path = g_build_filename (programs, "parsleyd", NULL);
  char *listen = g_strdup_printf ("%s:%d", run->victim.address, LISTEN_PORT);
  char *peer = g_strdup_printf ("%s:%d", run->victim.address, PEER_PORT);
  char *platform = g_strdup_printf ("%s:%d", run->others, PLATFORM_PORT);
  char *argv[] = { path,
                   (char *)"--node",
                   (char *)"node-1",
                   (char *)"--region",
                   (char *)"r",
                   (char *)"--zone",
                   (char *)"z",
                   (char *)"--threads",
                   (char *)"2",
                   (char *)"--listen",
                   listen,
                   (char *)"--peer-listen",
                   peer,
                   (char *)"--platform",
                   platform,
                   NULL };

  run->victim.pid = victim_start_process (&run->victim, argv, "node.log");
  g_free (platform);
  g_free (peer);
  g_free (listen);
  g_free (path);
}

static bool
node_exchange (struct node_run *run, const char *address, int port,
               const char *line, const char *body)
{
  char *input = g_malloc (RESPONSE_MAX);
  char *text = g_strdup_printf (
      "%s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer operator-secret\r\n"
      "Content-Length: %zu\r\n\r\n%s",
      line, strlen (body), body);
  int status = victim_exchange (&run->victim, address, port, text,
                                strlen (text), input);

  g_free (text);
  g_free (input);
  return status == 200;
}

/* Lists the stand-ins and uploads a configuration.  */
static bool
configure (struct node_run *run)
{
  char *instances = g_strdup_printf (
      "{\"instances\":[{\"id\":\"service-1\",\"address\":\"%s:%d\","
      "\"zone\":\"z\",\"region\":\"r\",\"pool\":\"ledger-app\","
      "\"leaving\":false}]}",
      run->others, SERVICE_PORT);
  bool done = node_exchange (run, run->others, PLATFORM_PORT,
                             "POST /instances", instances)
              && node_exchange (
                  run, run->victim.address, LISTEN_PORT,
                  "PUT /admin/config/town?version=0",
                  "{\"pools\":{\"ledger-app\":{\"kind\":\"services\"}},"
                  "\"services\":{\"ledger\":{\"pool\":\"ledger-app\"}}}");

  g_free (instances);
  return done;
}

static bool
call_node (struct victim *victim)
{
  struct node_run *run = (struct node_run *)victim;

  if (!run->configured)
    run->configured = configure (run);
  return run->configured
         && node_exchange (run, victim->address, LISTEN_PORT,
                           "GET /v1/services/ledger/hydrants/7", "");
}

static const char *const node_environment[]
    = { "PARSLEY_PEER_TOKEN=secret-of-nodes",
        "PARSLEY_OPERATOR_TOKEN=operator-secret",
        "PARSLEY_MEMORY_MB=" G_STRINGIFY (MEMORY_MB),
        "PARSLEY_FD_LIMIT=" G_STRINGIFY (FD_LIMIT),
        "ASAN_OPTIONS=quarantine_size_mb=8",
        NULL };

static struct node_run *
start_node_run (void)
{
  struct node_run *run = g_new0 (struct node_run, 1);

  run->victim.dir = g_dir_make_tmp ("hostile-XXXXXX", NULL);
  run->victim.environment = node_environment;
  run->victim.call = call_node;
  victim_addresses (&run->victim);
  g_strlcpy (run->others, run->victim.address, sizeof run->others);
  *strrchr (run->others, '.') = '\0';
  g_strlcat (run->others, ".1", sizeof run->others);
  run->platform = start_standin (run, "platform", PLATFORM_PORT);
  run->service = start_standin (run, "service", SERVICE_PORT);
  start_node_process (run);
  return run;
}

static void
end_node_run (struct node_run *run)
{
  char *command = g_strdup_printf ("rm -rf '%s'", run->victim.dir);

  kill_process (run->victim.pid);
  kill_process (run->service);
  kill_process (run->platform);
  if (g_getenv ("HOSTILE_KEEP") != NULL)
    g_test_message ("kept %s", run->victim.dir);
  else if (system (command) != 0)
    g_test_message ("not removed: %s", run->victim.dir);
  g_free (command);
  g_free (run->victim.dir);
  g_free (run);
}

static void
test_node_form (gconstpointer form)
{
  struct node_run *run = start_node_run ();
  const char *ip = run->victim.address;
  const struct crowd_door doors[] = {
    { "completions", ip, LISTEN_PORT, "/v1/completions" },
    { "a service", ip, LISTEN_PORT, "/v1/services/ledger/x" },
    { "an unknown path", ip, LISTEN_PORT, "/nowhere/x" },
    { "readiness", ip, LISTEN_PORT, "/readyz" },
    { "lookup", ip, LISTEN_PORT, "/v1/entry?model=m" },
    { "metrics", ip, LISTEN_PORT, "/metrics" },
    { "the operators' path", ip, LISTEN_PORT, "/admin/config/town" },
    { "the nodes' port", ip, PEER_PORT, "/" },
  };

  run->victim.doors = doors;
  run->victim.door_count = G_N_ELEMENTS (doors);
  attack (&run->victim, form);
  end_node_run (run);
}

/* Guards against limits that reject what the protocol allows.  */
static void
test_largest_node_request (void)
{
  struct node_run *run = start_node_run ();
  GString *text
      = largest_request ("/v1/services/ledger/x", "", HEAD_MAX_BYTES / 2);
  char *input = g_malloc (RESPONSE_MAX);

  g_assert_true (victim_serves (&run->victim));
  for (int i = 0; i < 4; i++)
    g_assert_cmpint (victim_exchange (&run->victim, run->victim.address,
                                      LISTEN_PORT, text->str, text->len,
                                      input),
                     ==, 200);
  g_assert_cmpint (process_peak_kb (run->victim.pid), <=, PEAK_MAX_KB);
  g_free (input);
  g_string_free (text, TRUE);
  end_node_run (run);
}

static int
hostile_node_main (int argc, char **argv, const struct crowd_form *form,
                   size_t count)
{
  char *dir = g_path_get_dirname (argv[0]);
  int result;

  programs = g_build_filename (dir, "..", NULL);
  signal (SIGPIPE, SIG_IGN);
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/hostile-node/largest-request", test_largest_node_request);
  for (; count > 0; count--, form++)
    {
      char *path = g_strdup_printf ("/hostile-node/%s", form->name);

      g_test_add_data_func (path, form, test_node_form);
      g_free (path);
    }
  result = g_test_run ();
  g_free ((char *)programs);
  g_free (dir);
  return result;
}

#endif

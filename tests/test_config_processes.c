/* Gates, a store and a backend server as processes of their own, while the
   operator adds routes: each route is served within ConfigMs of the store's
   acknowledgement at every gate that runs, and none that was served is refused
   later.

   CONFIG_SEEDS sets the number of seeds of /config-processes/many, 0 by
   default; CONFIG_GATES the number of gates there, CONFIG_DELAY_MS the longest
   time that a process is kept from running.  */

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#pragma GCC diagnostic ignored "-Wunused-function"
#include "gate_fixture.h"
#include "process_engine.h"

#define GATES_MAX 60
#define VERSIONS_MAX 200
#define FRONT_PORT 8149
#define READY_PORT 8141
#define CONTROL_PORT 8144
#define DIRECTORY_PORT 8143
#define STORE_PORT 8142
#define ENGINE_PORT 8400
#define STORE_HOST 1
#define ENGINE_HOST 2
#define GATE_HOST(i) (10 + (i))
#define CONFIG_MS 2000
#define BACK_MS 250
#define STABILITY_MS 3000
#define VERSION_INTERVAL_MS 3000
#define PROBE_INTERVAL_MS 50
#define TICK_MS 10
#define START_MS 3000

struct config_case
{
  int gates;
  int run_ms;
  /* The decider is stopped for so long just before each change; 0: never.  */
  int stop_decider_ms;
  /* Part in 1000 of the ticks in which a process is kept from running, and the
     longest time of that.  Such a process counts as in touch.  */
  int delay_rate;
  int delay_ms;
};

struct child
{
  pid_t pid;
  int64_t resume_at; /* 0: not stopped */
  _Atomic int64_t in_touch_from;
};

struct run
{
  const struct config_case *options;
  GRand *rand;
  char *dir;
  char address[32]; /* without the last number */
  struct child store;
  struct child engine;
  struct child gates[GATES_MAX];
  _Atomic int64_t acked_at[VERSIONS_MAX]; /* ms; 0: not acknowledged */
  atomic_int version;                     /* newest acknowledged */
  atomic_bool stopping;
  atomic_uint late;
  atomic_uint back;
  atomic_uint probes;
  _Atomic int64_t latest_ms; /* longest time until a route was served */
};

struct prober
{
  struct run *run;
  pthread_t thread;
  int gate;
  int fd;
  int64_t served_at[VERSIONS_MAX]; /* 0: not served yet */
};

static const char *program;

/* The store process.  */

static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  (void)f;
  httpd_drop (request);
}

static int
store_main (char **argv)
{
  struct fixture f = { 0 };
  struct httpd_options options = { .address = argv[0],
                                   .port = STORE_PORT,
                                   .request = on_store,
                                   .gone = on_store_finished,
                                   .user = &f };

  f.loop = loop_new (clk_monotonic ());
  f.rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free);
  f.waiting_feeds = g_ptr_array_new ();
  options.loop = f.loop;
  if (httpd_new (&options, &f.store) < 0)
    return 1;
  for (;;)
    {
      loop_run_once (f.loop, 20);
      end_feeds (&f);
    }
}

/* Calls.  */

static char *
address_of (const struct run *run, int host)
{
  return g_strdup_printf ("%s%d", run->address, host);
}

static int
connect_to (const struct run *run, int host, int port)
{
  struct sockaddr_in sin = { .sin_family = AF_INET };
  struct timeval limit = { .tv_sec = 1 };
  char *address = address_of (run, host);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  sin.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, address, &sin.sin_addr);
  g_free (address);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *)&sin, sizeof sin) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Sends TEXT on FD, which may be -1, and reads the response into INPUT, of
   SIZE bytes.  Returns its status, 0 without one.  */
static int
exchange (int fd, const char *text, char *input, size_t size)
{
  size_t length = 0;
  size_t end;

  g_assert_cmpuint (size, >=, HEAD_MAX);
  if (fd < 0 || !send_all (fd, text, strlen (text))
      || !read_message (fd, input, &length, &end))
    return 0;
  return atoi (input + strlen ("HTTP/1.1 "));
}

static bool
write_row (struct run *run, const char *table, const char *key,
           const char *value)
{
  char *encoded = g_base64_encode ((const guchar *)value, strlen (value));
  char *body = g_strdup_printf ("{\"SetKeys\":[{\"Table\":\"%s\",\"Key\":"
                                "\"%s\",\"Value\":\"%s\"}]}",
                                table, key, encoded);
  char *text = g_strdup_printf ("POST /v1/rows-tx HTTP/1.1\r\nHost: s\r\n"
                                "Content-Length: %zu\r\n\r\n%s",
                                strlen (body), body);
  char input[HEAD_MAX];
  int fd = connect_to (run, STORE_HOST, STORE_PORT);
  int status = exchange (fd, text, input, sizeof input);

  if (fd >= 0)
    close (fd);
  g_free (text);
  g_free (body);
  g_free (encoded);
  return status == 200;
}

/* Version N has the routes 1 to N.  */
static void
put_version (struct run *run, int n)
{
  GString *text = g_string_new (NULL);

  g_string_printf (text, "{\"Version\":%d,\"Routes\":[", n);
  for (int i = 1; i <= n; i++)
    g_string_append_printf (
        text,
        "%s{\"Name\":\"r%d\",\"Hostname\":\"h.example\",\"Prefix\":\"/r%d/\","
        "\"Kind\":\"safe\",\"TimeoutMs\":5000,\"Service\":\"app\","
        "\"MaxAttempts\":2}",
        i > 1 ? "," : "", i, i);
  g_string_append (text, "],\"Services\":[{\"Name\":\"app\"}]}");
  while (!write_row (run, "op", "config", text->str))
    sleep_ms (10);
  atomic_store (&run->acked_at[n], process_now_ms ());
  atomic_store (&run->version, n);
  g_string_free (text, TRUE);
}

/* The gate that holds the lease, from its row; -1: none.  */
static int
find_decider (struct run *run)
{
  static const char text[]
      = "GET /v1/rows-get?Table=cell HTTP/1.1\r\nHost: s\r\n\r\n";
  char input[HEAD_MAX];
  int fd = connect_to (run, STORE_HOST, STORE_PORT);
  int decider = -1;

  if (exchange (fd, text, input, sizeof input) == 200)
    {
      const char *at = strstr (input, "\"Value\"");
      char **parts = g_strsplit (at != NULL ? at : "", "\"", 5);

      if (g_strv_length (parts) == 5)
        {
          gsize n;
          char *value = (char *)g_base64_decode (parts[3], &n);
          const char *holder = g_strstr_len (value, (gssize)n, "\"holder\":");

          if (holder != NULL)
            sscanf (holder, "\"holder\":\"n%d\"", &decider);
          g_free (value);
        }
      g_strfreev (parts);
    }
  if (fd >= 0)
    close (fd);
  return decider;
}

/* Processes.  */

static pid_t
start_process (struct run *run, char *const *argv, const char *log_name)
{
  char *log = g_build_filename (run->dir, log_name, NULL);
  char *environment[] = { (char *)"PARSLEY_PEER_TOKEN=secret-of-nodes", NULL };
  pid_t pid = fork ();

  if (pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      execve (argv[0], argv, environment);
      _exit (127);
    }
  g_free (log);
  return pid;
}

static void
start_store (struct run *run)
{
  char *address = address_of (run, STORE_HOST);
  char *argv[] = { (char *)program, (char *)"store", address, NULL };

  run->store.pid = start_process (run, argv, "store.log");
  put_version (run, 1);
  g_free (address);
}

static void
start_engine (struct run *run)
{
  char *address = address_of (run, ENGINE_HOST);
  char *port = g_strdup_printf ("%d", ENGINE_PORT);
  char *value = g_strdup_printf (
      "{\"Service\":\"app\",\"Address\":\"%s:%d\",\"Zone\":\"z\","
      "\"Slots\":1000,\"State\":\"ready\",\"Sequence\":1}",
      address, ENGINE_PORT);
  char *argv[] = { (char *)program,
                   (char *)"engine",
                   address,
                   port,
                   (char *)"i-1",
                   (char *)"/dev/null",
                   (char *)"1000",
                   (char *)"1",
                   (char *)"0,0,0,0,0,0,0,0,0,0,0,0,0",
                   NULL };

  run->engine.pid = start_process (run, argv, "engine.log");
  g_assert_true (write_row (run, "servers", "i-1", value));
  g_free (value);
  g_free (port);
  g_free (address);
}

static void
start_gate_process (struct run *run, int i)
{
  char *name = g_strdup_printf ("gate-%d.json", i);
  char *log = g_strdup_printf ("gate-%d.log", i);
  char *settings = g_build_filename (run->dir, name, NULL);
  char *dir = g_path_get_dirname (program);
  char *gate = g_build_filename (dir, "..", "parsley-gate", NULL);
  char *ip = address_of (run, GATE_HOST (i));
  char *text = g_strdup_printf (
      "{\"NodeName\":\"n%d\",\"Zone\":\"z%d\",\"Region\":\"r\","
      "\"Listen\":{\"Front\":\"%s:%d\",\"Ready\":\"%s:%d\","
      "\"Control\":\"%s:%d\",\"Directory\":\"%s:%d\"},"
      "\"Seeds\":[\"%s%d:%d\"],\"Limits\":{\"FdLimit\":2000},"
      "\"Bounds\":{\"GraceS\":2},\"Platform\":{\"Address\":\"%s%d:%d\"}}",
      i, i % 3, ip, FRONT_PORT, ip, READY_PORT, ip, CONTROL_PORT, ip,
      DIRECTORY_PORT, run->address, GATE_HOST (0), CONTROL_PORT, run->address,
      STORE_HOST, STORE_PORT);
  char *argv[] = { gate, (char *)"--settings", settings, NULL };

  g_assert_true (g_file_set_contents (settings, text, -1, NULL));
  run->gates[i].pid = start_process (run, argv, log);
  g_free (text);
  g_free (ip);
  g_free (gate);
  g_free (dir);
  g_free (settings);
  g_free (log);
  g_free (name);
}

static void
kill_child (struct child *child)
{
  kill (child->pid, SIGKILL);
  waitpid (child->pid, NULL, 0);
}

static void
stop_child (struct child *child, int ms)
{
  if (child->resume_at != 0)
    return;
  kill (child->pid, SIGSTOP);
  child->resume_at = process_now_ms () + ms;
}

static void
resume_child (struct child *child, int64_t now)
{
  if (child->resume_at == 0 || now < child->resume_at)
    return;
  kill (child->pid, SIGCONT);
  child->resume_at = 0;
}

/* Probes: requests for the newest routes, one after the other.  */

/* Sends a request for route N; returns its status.  */
static int
probe_route (struct prober *prober, int n)
{
  char text[160];
  char input[HEAD_MAX];
  int status;

  g_snprintf (text, sizeof text,
              "GET /r%d/x HTTP/1.1\r\nHost: h.example\r\n"
              "Parsleyrill-Request-Id: p%d-%u\r\n\r\n",
              n, prober->gate, atomic_fetch_add (&prober->run->probes, 1));
  if (prober->fd < 0)
    prober->fd
        = connect_to (prober->run, GATE_HOST (prober->gate), FRONT_PORT);
  status = exchange (prober->fd, text, input, sizeof input);
  if (status == 0 && prober->fd >= 0)
    {
      close (prober->fd);
      prober->fd = -1;
    }
  return status;
}

static void
note_served (struct prober *prober, int n, int64_t now)
{
  struct run *run = prober->run;
  int64_t ms = now - atomic_load (&run->acked_at[n]);

  if (prober->served_at[n] != 0)
    return;
  prober->served_at[n] = now;
  if (now > atomic_load (&run->gates[prober->gate].in_touch_from)
      && ms > atomic_load (&run->latest_ms))
    atomic_store (&run->latest_ms, ms);
}

static void
note_refused (struct prober *prober, int n, int64_t sent_at)
{
  struct run *run = prober->run;
  int64_t age = sent_at - atomic_load (&run->acked_at[n]);

  if (sent_at < atomic_load (&run->gates[prober->gate].in_touch_from))
    return;
  if (prober->served_at[n] != 0 && sent_at > prober->served_at[n] + BACK_MS)
    atomic_fetch_add (&run->back, 1);
  if (age <= CONFIG_MS)
    return;
  atomic_fetch_add (&run->late, 1);
  g_printerr ("# gate %d: route %d refused %lld ms after its "
              "acknowledgement\n",
              prober->gate, n, (long long)age);
}

static void *
run_prober (void *user)
{
  struct prober *prober = user;

  while (!atomic_load (&prober->run->stopping))
    {
      int n = atomic_load (&prober->run->version);
      int64_t sent_at = process_now_ms ();
      int status = probe_route (prober, n);

      if (status == 200)
        note_served (prober, n, process_now_ms ());
      else if (status == 404)
        note_refused (prober, n, sent_at);
      sleep_ms (PROBE_INTERVAL_MS);
    }
  if (prober->fd >= 0)
    close (prober->fd);
  return NULL;
}

/* A run.  */

static void
delay_processes (struct run *run)
{
  const struct config_case *options = run->options;

  for (int i = -1; i < options->gates; i++)
    {
      struct child *child = i < 0 ? &run->store : &run->gates[i];

      if (g_rand_int_range (run->rand, 0, 1000) < options->delay_rate)
        stop_child (child,
                    g_rand_int_range (run->rand, 1, options->delay_ms + 1));
      resume_child (child, process_now_ms ());
    }
}

static void
stop_decider (struct run *run)
{
  int ms = run->options->stop_decider_ms;
  int decider = find_decider (run);

  if (ms == 0 || decider < 0 || run->gates[decider].resume_at != 0)
    return;
  atomic_store (&run->gates[decider].in_touch_from,
                process_now_ms () + ms + STABILITY_MS);
  stop_child (&run->gates[decider], ms);
}

static void
run_faults (struct run *run)
{
  int64_t end = process_now_ms () + run->options->run_ms;
  int64_t next = process_now_ms () + START_MS;
  int n = 1;

  while (process_now_ms () < end && n + 1 < VERSIONS_MAX)
    {
      if (process_now_ms () >= next && next + CONFIG_MS < end)
        {
          resume_child (&run->store, INT64_MAX);
          stop_decider (run);
          put_version (run, ++n);
          next += VERSION_INTERVAL_MS
                  + g_rand_int_range (run->rand, 0, VERSION_INTERVAL_MS);
        }
      delay_processes (run);
      sleep_ms (TICK_MS);
    }
}

static void
start_all (struct run *run)
{
  pid_t pid = getpid ();

  run->dir = g_dir_make_tmp ("config-XXXXXX", NULL);
  g_snprintf (run->address, sizeof run->address, "127.%d.%d.",
              1 + (pid >> 8) % 200, pid & 255);
  start_store (run);
  start_engine (run);
  for (int i = 0; i < run->options->gates; i++)
    start_gate_process (run, i);
}

static void
stop_all (struct run *run)
{
  char *command = g_strdup_printf ("rm -rf '%s'", run->dir);

  for (int i = 0; i < run->options->gates; i++)
    kill_child (&run->gates[i]);
  kill_child (&run->engine);
  kill_child (&run->store);
  if (g_getenv ("CONFIG_KEEP") != NULL)
    g_test_message ("kept %s", run->dir);
  else if (system (command) != 0)
    g_test_message ("not removed: %s", run->dir);
  g_free (command);
  g_free (run->dir);
  g_rand_free (run->rand);
}

static void
run_case (const struct config_case *options, unsigned seed)
{
  struct run *run = g_new0 (struct run, 1);
  struct prober *probers = g_new0 (struct prober, (gsize)options->gates);

  run->options = options;
  run->rand = g_rand_new_with_seed (seed);
  start_all (run);
  for (int i = 0; i < options->gates; i++)
    {
      probers[i] = (struct prober){ .run = run, .gate = i, .fd = -1 };
      while (probe_route (&probers[i], 1) != 200)
        sleep_ms (20);
      g_assert_cmpint (
          pthread_create (&probers[i].thread, NULL, run_prober, &probers[i]),
          ==, 0);
    }
  run_faults (run);
  atomic_store (&run->stopping, true);
  for (int i = 0; i < options->gates; i++)
    {
      kill (run->gates[i].pid, SIGCONT);
      pthread_join (probers[i].thread, NULL);
    }
  kill (run->store.pid, SIGCONT);
  stop_all (run);
  g_test_message ("seed %u: %u probes, %d versions, late %u, back %u, "
                  "latest after %lld ms",
                  seed, run->probes, run->version, run->late, run->back,
                  (long long)run->latest_ms);
  g_assert_cmpuint (run->late, ==, 0);
  g_assert_cmpuint (run->back, ==, 0);
  g_free (probers);
  g_free (run);
}

/* Guards against nodes that rely for too long on the word of a decider that
   has stopped: no time is left to ask the store.  */
static void
test_decider_stopped (void)
{
  static const struct config_case options = { .gates = 12,
                                              .run_ms = 20000,
                                              .stop_decider_ms = 2500,
                                              .delay_rate = 10,
                                              .delay_ms = 500 };

  run_case (&options, 1);
}

/* For runs by hand.  */
static void
test_many (void)
{
  struct config_case options = { .gates = 40,
                                 .run_ms = 40000,
                                 .stop_decider_ms = 2500,
                                 .delay_rate = 10,
                                 .delay_ms = 200 };
  const char *seeds = g_getenv ("CONFIG_SEEDS");
  const char *gates = g_getenv ("CONFIG_GATES");
  const char *delay = g_getenv ("CONFIG_DELAY_MS");
  unsigned count = seeds != NULL ? (unsigned)atoi (seeds) : 0;

  if (delay != NULL)
    options.delay_ms = MAX (atoi (delay), 1);
  if (gates != NULL)
    options.gates = CLAMP (atoi (gates), 1, GATES_MAX);
  for (unsigned seed = 1; seed <= count; seed++)
    run_case (&options, 100 + seed);
}

int
main (int argc, char **argv)
{
  program = argv[0];
  if (argc > 2 && strcmp (argv[1], "engine") == 0)
    return engine_main (argv + 2);
  if (argc > 2 && strcmp (argv[1], "store") == 0)
    return store_main (argv + 2);
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/config-processes/decider-stopped", test_decider_stopped);
  g_test_add_func ("/config-processes/many", test_many);
  return g_test_run ();
}

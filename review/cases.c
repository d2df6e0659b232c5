/* The cases of the review that are scripts: each starts a small deployment on
   loopback addresses, real gates among stand-ins, and checks one rule.

   `stand case N FOLDER` exits with 1 if the rule was broken, 0 if it held, and
   2 if the case could not run.  TROUBLE=0 leaves the disruption out.  */

#include "stand.h"

#define STORE_PORT 8142
#define FRONT_PORT 8149
#define READY_PORT 8141
#define CONTROL_PORT 8144
#define DIRECTORY_PORT 8143
#define ENGINE_PORT 8400
#define PROXY_PORT 8500
#define GATES_MAX 3
#define START_MS 15000
#define GATE_PROGRAM "target/parsley-gate"
#define STAND_PROGRAM "target/review/stand"

static char net[32]; /* "127.X.Y." */
static char dir[64]; /* temporary folder */
static char record_path[512];
static bool trouble;
static pid_t store_pid;
static pid_t gate_pids[GATES_MAX];
static pid_t engine_pids[8];
static pid_t proxy_pid;

static const char *
address (int host)
{
  static _Thread_local char text[16][48];
  static _Thread_local unsigned at;

  at = (at + 1) % 16;
  snprintf (text[at], sizeof text[0], "%s%d", net, host);
  return text[at];
}

#define STORE_HOST 1
#define GATE_HOST(i) (10 + (i))
#define ENGINE_HOST(i) (100 + (i))
#define PROXY_HOST 200

static void
end_all (void)
{
  for (int i = 0; i < GATES_MAX; i++)
    signal_child (gate_pids[i], SIGKILL);
  for (int i = 0; i < 8; i++)
    signal_child (engine_pids[i], SIGKILL);
  signal_child (proxy_pid, SIGKILL);
  signal_child (store_pid, SIGKILL);
}

static void
remove_folder (void)
{
  static const char *const names[]
      = { "gate-0.json", "gate-1.json", "gate-2.json", "gate-0.log",
          "gate-1.log",  "gate-2.log",  "stand.log",   "armed" };
  char path[128];

  if (getenv ("KEEP") != NULL)
    {
      fprintf (stderr, "kept: %s\n", dir);
      return;
    }
  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    {
      snprintf (path, sizeof path, "%s/%s", dir, names[i]);
      unlink (path);
    }
  rmdir (dir);
}

static void __attribute__ ((noreturn)) finish (int status, const char *why)
{
  end_all ();
  remove_folder ();
  record ("RESULT %d %s", status, why);
  printf ("%s: %s\n",
          status == 0   ? "held"
          : status == 1 ? "broken"
                        : "could not run",
          why);
  exit (status);
}

static const char *
in_folder (const char *name)
{
  static char path[4][128];
  static unsigned at;

  at = (at + 1) % 4;
  snprintf (path[at], sizeof path[0], "%s/%s", dir, name);
  return path[at];
}

static pid_t
start_stand (char **argv)
{
  return start_program (in_folder ("stand.log"), argv, NULL);
}

static void
start_store (void)
{
  char ip[48];
  char port[16];
  char *argv[] = { (char *)STAND_PROGRAM, (char *)"store", ip, port, NULL };
  int64_t end = now_ms () + START_MS;

  snprintf (ip, sizeof ip, "%s", address (STORE_HOST));
  snprintf (port, sizeof port, "%d", STORE_PORT);
  store_pid = start_stand (argv);
  while (store_call (ip, STORE_PORT,
                     "{\"Expected\":[],\"SetKeys\":[],\"Remove\":[]}")
         != 200)
    {
      if (now_ms () > end)
        finish (2, "the store did not start");
      sleep_ms (20);
    }
}

static void
put_config (const char *text)
{
  if (!store_put (address (STORE_HOST), STORE_PORT, "op", "config", text))
    finish (2, "the configuration was not written");
}

/* OPTIONS: further NAME=VALUE, separated by spaces.  */
static void
start_engine (int i, const char *id, const char *version, const char *text)
{
  char own[8][128];
  char *argv[32] = { (char *)STAND_PROGRAM, (char *)"engine" };
  char *more = strdup (text);
  int n = 2;

  snprintf (own[0], sizeof own[0], "ip=%s", address (ENGINE_HOST (i)));
  snprintf (own[1], sizeof own[1], "port=%d", ENGINE_PORT);
  snprintf (own[2], sizeof own[2], "id=%s", id);
  snprintf (own[3], sizeof own[3], "version=%s", version);
  snprintf (own[4], sizeof own[4], "service=app");
  snprintf (own[5], sizeof own[5], "store=%s", address (STORE_HOST));
  for (int j = 0; j < 6; j++)
    argv[n++] = own[j];
  char record_option[600];
  snprintf (record_option, sizeof record_option, "record=%s", record_path);
  argv[n++] = record_option;
  for (char *word = strtok (more, " "); word != NULL && n < 31;
       word = strtok (NULL, " "))
    argv[n++] = word;
  argv[n] = NULL;
  engine_pids[i] = start_stand (argv);
  record ("START engine %s %s", id, version);
}

static void
write_settings (int i, bool checks_fence)
{
  char name[32];
  FILE *file;

  snprintf (name, sizeof name, "gate-%d.json", i);
  file = fopen (in_folder (name), "w");
  if (file == NULL)
    finish (2, "no settings file");
  fprintf (
      file,
      "{\"NodeName\":\"front-z1-%d\",\"Role\":\"gate\",\"MachineClass\":"
      "\"front\",\"Serves\":[\"front\",\"control\",\"directory\"],\"Ip\":"
      "\"%s\",\"Zone\":\"z1\",\"Region\":\"r1\",\"Zones\":{\"z1\":\"r1\","
      "\"z2\":\"r1\"},"
      "\"Listen\":{\"Front\":\"%s:%d\",\"Ready\":\"%s:%d\",\"Control\":"
      "\"%s:%d\",\"Directory\":\"%s:%d\"},\"InternalPorts\":[7380,7395],"
      "\"Seeds\":[\"%s:%d\",\"%s:%d\"],\"Bootstrap\":true,\"LossCounts\":"
      "false,\"Limits\":{\"CpuShare\":0.5,\"Cores\":1,\"MemoryMb\":520,"
      "\"FdLimit\":8200,\"LinkMbps\":2000.0,\"DiskMb\":0},\"DataDir\":null,"
      "\"Discovery\":\"platform\",\"Entry\":\"directory\",\"HeartbeatMs\":"
      "1200,\"FaultTolerance\":{\"Machines\":1,\"Zones\":0,\"Regions\":0},"
      "\"Bounds\":{\"SeedLagS\":3,\"ReuseAfterS\":2,\"StabilityWindowMs\":"
      "3000,\"AckMs\":4000,\"CatchUpS\":4,\"DrainMs\":2000,\"GraceS\":8,"
      "\"LossSlackMs\":200,\"ConfigMs\":2000,\"BackMs\":250,\"OuterMs\":5000,"
      "\"BudgetRatio\":0.2,\"BudgetWindowS\":10,\"BudgetSlack\":54,"
      "\"RecoverS\":12,\"PassMs\":120,\"RetryAfterS\":0,\"FencingRequired\":"
      "%s,\"LeaseMs\":3000,\"ThawMs\":300,\"CeilingWindowS\":5,"
      "\"CeilingOver\":1.1,\"ttl_max_s\":5},\"Platform\":{\"Address\":"
      "\"%s:%d\",\"form\":\"table\",\"WritesPerS\":400,\"ReadsPerS\":2000,"
      "\"TxMs\":5.0,\"PartitionWritesS\":200,\"RowBytes\":65536,\"Across\":"
      "false,\"HistoryS\":20,\"BlobBytes\":8388608,\"BlobMs\":25.0,"
      "\"BlobMbS\":80.0}}\n",
      i + 1, address (GATE_HOST (i)), address (GATE_HOST (i)), FRONT_PORT,
      address (GATE_HOST (i)), READY_PORT, address (GATE_HOST (i)),
      CONTROL_PORT, address (GATE_HOST (i)), DIRECTORY_PORT,
      address (GATE_HOST (0)), CONTROL_PORT, address (GATE_HOST (1)),
      CONTROL_PORT, checks_fence ? "true" : "false", address (STORE_HOST),
      STORE_PORT);
  fclose (file);
}

static void
start_gate (int i, bool checks_fence)
{
  char name[32];
  char log[32];
  char settings[256];
  char *argv[] = { (char *)GATE_PROGRAM, NULL };
  char *environment[]
      = { (char *)"PARSLEY_PEER_TOKEN=replace-this-secret",
          (char *)"PARSLEY_METRICS_PORT=9464", settings, NULL };

  write_settings (i, checks_fence);
  snprintf (name, sizeof name, "gate-%d.json", i);
  snprintf (log, sizeof log, "gate-%d.log", i);
  snprintf (settings, sizeof settings, "PARSLEYRILL_SETTINGS=%s",
            in_folder (name));
  gate_pids[i] = start_program (in_folder (log), argv, environment);
}

/* Sends TEXT on a new connection; returns the status of the answer.  */
static int
ask (const char *ip, int port, const char *text)
{
  char answer[64] = "";
  int fd = connect_to (ip, port, 1000);
  int status = 0;

  if (fd < 0)
    return 0;
  if (send_all (fd, text, strlen (text))
      && recv (fd, answer, sizeof answer - 1, 0) > 12)
    status = atoi (answer + 9);
  close (fd);
  return status;
}

static void
await_gates (int count)
{
  int64_t end = now_ms () + START_MS;

  for (int i = 0; i < count; i++)
    while (ask (address (GATE_HOST (i)), READY_PORT,
                "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
           != 200)
      {
        if (now_ms () > end)
          finish (2, "a gate did not start");
        sleep_ms (50);
      }
}

static void
begin (const char *folder)
{
  unsigned draw = (unsigned)getpid () * 2654435761u;
  const char *text = getenv ("TROUBLE");

  trouble = text == NULL || strcmp (text, "0") != 0;
  snprintf (net, sizeof net, "127.%u.%u.", 1 + draw / 65536 % 250,
            1 + draw / 256 % 250);
  snprintf (record_path, sizeof record_path, "%s/record.txt", folder);
  unlink (record_path);
  record_open (record_path);
  snprintf (dir, sizeof dir, "/tmp/review-XXXXXX");
  if (mkdtemp (dir) == NULL)
    exit (2);
  record ("BEGIN trouble=%d", trouble);
  start_store ();
}

/* One request on a kept connection.  */
struct client
{
  int gate;
  int fd;
  char buffer[65536];
  size_t length;
};

static void
client_close (struct client *client)
{
  if (client->fd >= 0)
    close (client->fd);
  client->fd = -1;
}

/* Sends a request and reads the answer up to its end, at most until DEADLINE
   ms.  Returns its status, 0 if it has none or is not complete; BODY gets the
   chunks or the body.  */
static int
exchange (struct client *client, const char *method, const char *path,
          const char *id, const char *more, const char *body, int deadline_ms,
          char *out, size_t size)
{
  char text[2048];
  int64_t end = now_ms () + deadline_ms;
  bool chunked;
  size_t length;
  char *blank;
  char *field;
  int status;

  *out = '\0';
  if (client->fd < 0)
    client->fd
        = connect_to (address (GATE_HOST (client->gate)), FRONT_PORT, 1000);
  if (client->fd < 0)
    return 0;
  snprintf (text, sizeof text,
            "%s %s HTTP/1.1\r\nHost: a.example\r\nParsleyrill-Request-Id: %s"
            "\r\nParsleyrill-Deadline-Ms: %d\r\n%sContent-Length: %zu\r\n\r\n"
            "%s",
            method, path, id, deadline_ms, more, strlen (body), body);
  record ("SENT %s to gate %d: %s %s", id, client->gate, method, path);
  client->length = 0;
  client->buffer[0] = '\0';
  if (!send_all (client->fd, text, strlen (text)))
    goto broken;
  for (;;)
    {
      struct pollfd ready = { .fd = client->fd, .events = POLLIN };
      int64_t left = end - now_ms ();
      ssize_t n;

      blank = strstr (client->buffer, "\r\n\r\n");
      if (blank != NULL)
        {
          chunked = strcasestr (client->buffer, "\r\nTransfer-Encoding: chunk")
                    != NULL;
          field = strcasestr (client->buffer, "\r\nContent-Length: ");
          length = field != NULL ? strtoul (field + 18, NULL, 10) : 0;
          snprintf (out, size, "%s", blank + 4);
          if (chunked ? strstr (blank, "\r\n0\r\n\r\n") != NULL
                      : client->length
                            >= (size_t)(blank - client->buffer) + 4 + length)
            break;
        }
      if (left <= 0 || poll (&ready, 1, (int)left) <= 0
          || client->length + 1 >= sizeof client->buffer)
        goto broken;
      n = recv (client->fd, client->buffer + client->length,
                sizeof client->buffer - 1 - client->length, 0);
      if (n <= 0)
        goto broken;
      client->length += (size_t)n;
      client->buffer[client->length] = '\0';
    }
  status = atoi (client->buffer + 9);
  record ("ANSWER %s %d", id, status);
  if (strcasestr (client->buffer, "\r\nConnection: close") != NULL)
    client_close (client);
  return status;

broken:
  record ("ANSWER %s none or not whole", id);
  client_close (client);
  return 0;
}

/* The record, read again.  */

struct line
{
  long long at;
  char what[16];
  char first[80];
  char second[80];
};

static struct line *lines;
static size_t line_count;

static void
read_record (void)
{
  FILE *file = fopen (record_path, "r");
  char text[1100];
  size_t room = 0;

  while (file != NULL && fgets (text, sizeof text, file) != NULL)
    {
      if (line_count == room)
        lines = realloc (lines, (room = room * 2 + 1024) * sizeof *lines);
      memset (&lines[line_count], 0, sizeof *lines);
      if (sscanf (text, "%lld %15s %79s %79s", &lines[line_count].at,
                  lines[line_count].what, lines[line_count].first,
                  lines[line_count].second)
          >= 2)
        line_count++;
    }
  if (file != NULL)
    fclose (file);
}

#include "case1.h"
#include "case2.h"
#include "case3.h"
#include "case4.h"

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  if (argc >= 4 && strcmp (argv[1], "store") == 0)
    return store_main (argc - 2, argv + 2);
  if (argc >= 3 && strcmp (argv[1], "engine") == 0)
    return engine_main (argc - 2, argv + 2);
  if (argc >= 3 && strcmp (argv[1], "proxy") == 0)
    return proxy_main (argc - 2, argv + 2);
  if (argc != 4 || strcmp (argv[1], "case") != 0)
    return 2;
  begin (argv[3]);
  switch (atoi (argv[2]))
    {
    case 1:
      run_case_1 ();
      break;
    case 2:
      run_case_2 ();
      break;
    case 3:
      run_case_3 ();
      break;
    case 4:
      run_case_4 ();
      break;
    default:
      break;
    }
  finish (2, "no such case");
}

/* Case 3, ONE: a link loses the packet with an order, which arrives once TCP
   has sent it again.  Meanwhile the node that gave the order is stopped for
   planned work, and another one takes over.  The engines do not check fences.
 */

#define CASE_3_TIMEOUT_MS 250 /* of TCP; at least 200 on Linux */
#define CASE_3_HOLDER "front-z1-1"

static const char case_3_config[]
    = "{\"Version\":7,\"Routes\":[{\"Name\":\"r-draft\",\"Hostname\":"
      "\"a.example\",\"Prefix\":\"/stream/\",\"Kind\":\"streaming\","
      "\"TimeoutMs\":12000,\"TargetLatencyMs\":500,\"Priority\":1,"
      "\"Service\":\"app\",\"MaxAttempts\":2,\"Sticky\":true,\"Resumable\":"
      "true,\"GapAimMs\":200}],\"Services\":[{\"Name\":\"app\",\"HealthPath\":"
      "\"/health\",\"MaxConnections\":230,\"Protocol\":\"h1\",\"Tls\":false,"
      "\"Engine\":{\"Slots\":32,\"KvCapacity\":89179,\"KvTokenBytes\":327680,"
      "\"LinkMbps\":1100000.0,\"Moves\":true,\"Backups\":true,\"Stride\":6,"
      "\"Cap\":12,\"HostMb\":120000.0,\"DiskMb\":470000.0,\"PinMs\":4000.0,"
      "\"HoldMs\":2000.0,\"handle_s\":5.0,\"WeightsMb\":110000.0,"
      "\"AdapterSlots\":8,\"LoadsPerS\":4.5,\"Models\":["
      "{\"Name\":\"m1\",\"WeightsMb\":34300.0,\"LoadS\":6.0,\"Adapters\":0,"
      "\"AdapterMb\":40.0,\"WarmS\":0.28,\"DiskS\":0.52},"
      "{\"Name\":\"m2\",\"WeightsMb\":34300.0,\"LoadS\":6.0,\"Adapters\":0,"
      "\"AdapterMb\":40.0,\"WarmS\":0.28,\"DiskS\":0.52},"
      "{\"Name\":\"m3\",\"WeightsMb\":34300.0,\"LoadS\":6.0,\"Adapters\":0,"
      "\"AdapterMb\":40.0,\"WarmS\":0.28,\"DiskS\":0.52},"
      "{\"Name\":\"m4\",\"WeightsMb\":34300.0,\"LoadS\":6.0,\"Adapters\":0,"
      "\"AdapterMb\":40.0,\"WarmS\":0.28,\"DiskS\":0.52}"
      "]}}],\"Limits\":{\"MaxHeaderBytes\":16384,"
      "\"MaxBodyBytes\":200000,\"HeaderTimeoutMs\":5000,\"IdleTimeoutMs\":"
      "30000}}";

struct case_3_request
{
  pthread_t thread;
  int gate;
  char id[16];
};

static void *
case_3_request (void *user)
{
  struct case_3_request *request = user;
  struct client *client = calloc (1, sizeof *client);
  char out[4096];

  client->fd = -1;
  client->gate = request->gate;
  exchange (client, "POST", "/stream/draft", request->id,
            "Parsleyrill-Model: m4\r\nParsleyrill-Token-Usage: 460,80\r\n"
            "Parsleyrill-Prompt-Prefix: 5c1e07a2:200,91bd3f06:260\r\n",
            "a draft", 10000, out, sizeof out);
  client_close (client);
  free (client);
  return NULL;
}

/* Whether the record has a line that begins with WHAT FIRST.  */
static bool
is_recorded (const char *what, const char *first)
{
  bool found = false;

  line_count = 0;
  read_record ();
  for (size_t i = 0; i < line_count; i++)
    found = found
            || (strcmp (lines[i].what, what) == 0
                && (first == NULL || strcmp (lines[i].first, first) == 0));
  return found;
}

static void
start_link (void)
{
  char port[16];
  char engine_port[16];
  char timeout[16];
  char own[48];
  char engine[48];
  char *argv[] = { (char *)STAND_PROGRAM,
                   (char *)"proxy",
                   own,
                   port,
                   engine,
                   engine_port,
                   (char *)CASE_3_HOLDER,
                   timeout,
                   (char *)in_folder ("armed"),
                   record_path,
                   NULL };

  snprintf (own, sizeof own, "%s", address (PROXY_HOST));
  snprintf (engine, sizeof engine, "%s", address (ENGINE_HOST (0)));
  snprintf (port, sizeof port, "%d", PROXY_PORT);
  snprintf (engine_port, sizeof engine_port, "%d", ENGINE_PORT);
  snprintf (timeout, sizeof timeout, "%d", CASE_3_TIMEOUT_MS);
  proxy_pid = start_stand (argv);
}

static void
run_case_3 (void)
{
  static struct case_3_request requests[2];
  char options[256];
  char why[256];
  FILE *file;
  char text[1100];
  long highest = 0;
  unsigned orders = 0;
  unsigned lower = 0;
  int64_t end;

  put_config (case_3_config);
  start_link ();
  snprintf (options, sizeof options,
            "zone=z2 slots=32 models=m1+m2+m3 load=300 events=20 gap=50 "
            "listed=%s:%d",
            address (PROXY_HOST), PROXY_PORT);
  start_engine (0, "i-e1", "v1", options);
  for (int i = 0; i < 2; i++)
    start_gate (i, false);
  await_gates (2);
  sleep_ms (6000);
  if (trouble)
    {
      file = fopen (in_folder ("armed"), "w");
      if (file != NULL)
        fclose (file);
    }
  for (int i = 0; i < 2; i++)
    {
      requests[i].gate = 1 - i;
      snprintf (requests[i].id, sizeof requests[i].id, "d%d", i);
      if (pthread_create (&requests[i].thread, NULL, case_3_request,
                          &requests[i])
          != 0)
        finish (2, "no thread");
    }
  end = now_ms () + 5000;
  while (
      !(trouble ? is_recorded ("LOST", NULL) : is_recorded ("ORDER", "i-e1")))
    {
      if (now_ms () > end)
        finish (2, "no order was given");
      sleep_ms (2);
    }
  record ("SIGTERM to " CASE_3_HOLDER);
  signal_child (gate_pids[0], SIGTERM);
  for (int i = 0; i < 2; i++)
    pthread_join (requests[i].thread, NULL);
  sleep_ms (2000);
  file = fopen (record_path, "r");
  while (file != NULL && fgets (text, sizeof text, file) != NULL)
    {
      const char *fence = strstr (text, " fence=");

      if (strstr (text, " ORDER ") == NULL || fence == NULL)
        continue;
      orders++;
      if (strtol (fence + 7, NULL, 10) < highest)
        lower++;
      else
        highest = strtol (fence + 7, NULL, 10);
    }
  if (file != NULL)
    fclose (file);
  snprintf (why, sizeof why,
            "%u orders, of which with a lower token after a higher one: %u",
            orders, lower);
  if (lower > 0)
    record ("BROKEN ONE: orders with a lower token after %ld: %u", highest,
            lower);
  finish (lower > 0 ? 1 : 0, why);
}

/* Case 2, ORDER: a node that gets no connection to the servers, which have as
   many as they accept, passes a stream on by way of another node.  While the
   servers are being replaced by ones with a newer version, that other node is
   killed.  */

#define CASE_2_CLIENTS 16 /* as many as the connections of two servers */
#define CASE_2_GATES 3

static const char case_2_config[]
    = "{\"Version\":7,\"Routes\":[{\"Name\":\"r-read\",\"Hostname\":"
      "\"a.example\",\"Prefix\":\"/read/\",\"Kind\":\"safe\",\"TimeoutMs\":"
      "4000,\"TargetLatencyMs\":300,\"Priority\":1,\"Service\":\"app\","
      "\"MaxAttempts\":2,\"Sticky\":false,\"Resumable\":false},{\"Name\":"
      "\"r-draft\",\"Hostname\":\"a.example\",\"Prefix\":\"/stream/\","
      "\"Kind\":\"streaming\",\"TimeoutMs\":17000,\"TargetLatencyMs\":800,"
      "\"Priority\":1,\"Service\":\"app\",\"MaxAttempts\":2,\"Sticky\":true,"
      "\"Resumable\":true,\"GapAimMs\":400}],\"Services\":[{\"Name\":\"app\","
      "\"HealthPath\":\"/health\",\"MaxConnections\":8,\"Protocol\":\"h1\","
      "\"Tls\":false}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":"
      "200000,\"HeaderTimeoutMs\":5000,\"IdleTimeoutMs\":30000}}";

static atomic_bool case_2_stopping;
static atomic_bool case_2_paused; /* the clients that fill the servers */

/* All clients send at once, so that as many connections are in use.  */
static void *
case_2_client (void *user)
{
  int number = (int)(intptr_t)user;
  struct client *client = calloc (1, sizeof *client);
  char out[512];

  client->fd = -1;
  client->gate = 1;
  for (unsigned n = 0; !atomic_load (&case_2_stopping); n++)
    {
      char id[32];

      sleep_ms ((int)(150 - now_ms () % 150));
      if (atomic_load (&case_2_paused))
        continue;
      snprintf (id, sizeof id, "p%d-%u", number, n);
      exchange (client, "GET", "/read/stock", id, "", "", 4000, out,
                sizeof out);
    }
  client_close (client);
  free (client);
  return NULL;
}

/* Short requests at the node that passes the stream on.  */
static void *
case_2_reader (void *user)
{
  struct client *client = calloc (1, sizeof *client);
  char out[512];

  (void)user;
  client->fd = -1;
  for (unsigned n = 0; !atomic_load (&case_2_stopping); n++)
    {
      char id[32];

      snprintf (id, sizeof id, "a-%u", n);
      exchange (client, "GET", "/read/stock", id, "", "", 4000, out,
                sizeof out);
      sleep_ms (50);
    }
  client_close (client);
  free (client);
  return NULL;
}

struct case_2_stream
{
  pthread_t thread;
  int gate;
  const char *id;
  int status;
  char text[32768];
};

static void *
case_2_stream (void *user)
{
  struct case_2_stream *stream = user;
  struct client *client = calloc (1, sizeof *client);

  client->fd = -1;
  client->gate = stream->gate;
  stream->status
      = exchange (client, "POST", "/stream/draft", stream->id, "", "a draft",
                  16000, stream->text, sizeof stream->text);
  client_close (client);
  free (client);
  return NULL;
}

static unsigned
count (const char *text, const char *part)
{
  unsigned n = 0;

  for (; (text = strstr (text, part)) != NULL; text++)
    n++;
  return n;
}

/* Whether the record has a line WHAT whose first word begins with FIRST, and
   whose second is SECOND.  */
static bool
case_2_seen (const char *what, const char *first, const char *second)
{
  bool seen = false;

  line_count = 0;
  read_record ();
  for (size_t i = 0; i < line_count; i++)
    seen = seen
           || (strcmp (lines[i].what, what) == 0
               && strncmp (lines[i].first, first, strlen (first)) == 0
               && (second == NULL || strcmp (lines[i].second, second) == 0));
  return seen;
}

static void
case_2_await (const char *what, const char *first, const char *second)
{
  int64_t end = now_ms () + 8000;

  while (!case_2_seen (what, first, second))
    {
      if (now_ms () > end)
        finish (2, "the stream or the new server was not used in time");
      sleep_ms (10);
    }
}

static void
run_case_2 (void)
{
  static struct case_2_stream stream = { .gate = 0, .id = "draft" };
  static const char options[]
      = "slots=6 cap=8 work=30 events=60 gap=150 idle=5000";
  pthread_t clients[CASE_2_CLIENTS];
  pthread_t reader;
  struct client *warm = calloc (1, sizeof *warm);
  char out[512];
  char why[512];
  unsigned old_events;
  unsigned new_events;

  put_config (case_2_config);
  start_engine (0, "i-old1", "v1", options);
  start_engine (1, "i-old2", "v1", options);
  for (int i = 0; i < CASE_2_GATES; i++)
    start_gate (i, true);
  await_gates (CASE_2_GATES);
  sleep_ms (3000);
  warm->fd = -1;
  for (int i = 0; i < 40; i++)
    {
      char id[32];

      snprintf (id, sizeof id, "w-%d", i);
      exchange (warm, "GET", "/read/stock", id, "", "", 4000, out, sizeof out);
      sleep_ms (20);
    }
  client_close (warm);
  sleep_ms (5500); /* until these connections are closed */
  for (int i = 0; i < CASE_2_CLIENTS; i++)
    if (pthread_create (&clients[i], NULL, case_2_client, (void *)(intptr_t)i)
        != 0)
      finish (2, "no thread");
  sleep_ms (1500);
  if (pthread_create (&stream.thread, NULL, case_2_stream, &stream) != 0)
    finish (2, "no thread");
  case_2_await ("RUN", "draft", NULL);
  sleep_ms (1000);
  atomic_store (&case_2_paused, true);
  start_engine (2, "i-new1", "v2", options);
  if (pthread_create (&reader, NULL, case_2_reader, NULL) != 0)
    finish (2, "no thread");
  case_2_await ("RUN", "a-", "i-new1");
  sleep_ms (1200);
  if (trouble)
    {
      record ("KILL gate 1");
      signal_child (gate_pids[1], SIGKILL);
      gate_pids[1] = 0;
      sleep_ms (1000);
      start_gate (1, true);
    }
  pthread_join (stream.thread, NULL);
  atomic_store (&case_2_stopping, true);
  for (int i = 0; i < CASE_2_CLIENTS; i++)
    pthread_join (clients[i], NULL);
  pthread_join (reader, NULL);
  old_events = count (stream.text, "data: v1-");
  new_events = count (stream.text, "data: v2-");
  record ("STREAM draft status %d: %u events of v1, %u events of v2",
          stream.status, old_events, new_events);
  snprintf (why, sizeof why,
            "stream answered %d (0: cut short) with %u events of version v1 "
            "and %u of v2",
            stream.status, old_events, new_events);
  finish (old_events > 0 && new_events > 0 ? 1 : 0, why);
}

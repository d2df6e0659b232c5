/* Case 1, TWICE: a busy server refuses requests, as `fleetbench wire` shows
   it; a faulty one sends some answers a second time, late.  */

#define CASE_1_GATES 2
#define CASE_1_CLIENTS 24
#define CASE_1_RUN_MS 50000

static const char case_1_config[]
    = "{\"Version\":7,\"Routes\":[{\"Name\":\"r-book\",\"Hostname\":"
      "\"a.example\",\"Prefix\":\"/book/\",\"Kind\":\"unsafe\",\"TimeoutMs\":"
      "4000,\"TargetLatencyMs\":300,\"Priority\":1,\"Service\":\"app\","
      "\"MaxAttempts\":1,\"Sticky\":false,\"Resumable\":false}],\"Services\":"
      "[{\"Name\":\"app\",\"HealthPath\":\"/health\",\"MaxConnections\":100,"
      "\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":{\"MaxHeaderBytes\":"
      "16384,\"MaxBodyBytes\":200000,\"HeaderTimeoutMs\":5000,"
      "\"IdleTimeoutMs\":30000}}";

static atomic_bool case_1_stopping;
static atomic_uint case_1_requests;

static void *
case_1_client (void *user)
{
  unsigned number = (unsigned)(intptr_t)user;
  struct client *client = calloc (1, sizeof *client);
  unsigned seed = number + 1;
  char out[512];

  client->fd = -1;
  client->gate = (int)(number % CASE_1_GATES);
  for (unsigned n = 0; !atomic_load (&case_1_stopping); n++)
    {
      char id[32];

      snprintf (id, sizeof id, "c%u-%u", number, n);
      exchange (client, "POST", "/book/truck", id, "", "one truck", 4000, out,
                sizeof out);
      atomic_fetch_add (&case_1_requests, 1);
      sleep_ms (5 + rand_r (&seed) % 30);
    }
  client_close (client);
  free (client);
  return NULL;
}

static int
compare_lines (const void *a, const void *b)
{
  const struct line *x = a;
  const struct line *y = b;

  return strcmp (x->first, y->first);
}

static void
run_case_1 (void)
{
  pthread_t threads[CASE_1_CLIENTS];
  unsigned twice = 0;
  unsigned refused_runs = 0;
  unsigned extras = 0;
  char why[256];

  put_config (case_1_config);
  start_engine (0, "i-e1", "v1",
                trouble ? "slots=6 queue=2 work=30 extra=3"
                        : "slots=6 queue=2 work=30");
  start_engine (1, "i-e2", "v1", "slots=6 queue=2 work=30");
  for (int i = 0; i < CASE_1_GATES; i++)
    start_gate (i, true);
  await_gates (CASE_1_GATES);
  sleep_ms (3000);
  for (int i = 0; i < CASE_1_CLIENTS; i++)
    if (pthread_create (&threads[i], NULL, case_1_client, (void *)(intptr_t)i)
        != 0)
      finish (2, "no thread");
  sleep_ms (CASE_1_RUN_MS);
  atomic_store (&case_1_stopping, true);
  for (int i = 0; i < CASE_1_CLIENTS; i++)
    pthread_join (threads[i], NULL);
  sleep_ms (1000);
  read_record ();
  qsort (lines, line_count, sizeof *lines, compare_lines);
  for (size_t i = 0; i < line_count;)
    {
      unsigned runs = 0;
      int status = -1;
      size_t from = i;

      for (; i < line_count && strcmp (lines[i].first, lines[from].first) == 0;
           i++)
        {
          runs += strcmp (lines[i].what, "RUN") == 0;
          extras += strcmp (lines[i].what, "EXTRA") == 0;
          if (strcmp (lines[i].what, "ANSWER") == 0)
            status = atoi (lines[i].second);
        }
      if (runs > 1)
        {
          twice++;
          record ("BROKEN TWICE: %s ran %u times", lines[from].first, runs);
        }
      if (runs > 0 && (status == 503 || status == 429))
        {
          refused_runs++;
          record ("BROKEN REFUSED: %s ran and was answered %d",
                  lines[from].first, status);
        }
    }
  snprintf (why, sizeof why,
            "%u requests, %u extra answers; ran twice: %u; answered 503 or "
            "429, and ran: %u",
            atomic_load (&case_1_requests), extras, twice, refused_runs);
  finish (twice + refused_runs > 0 ? 1 : 0, why);
}

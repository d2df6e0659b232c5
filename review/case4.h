/* Case 4, UNASKED: a request is hidden in the body of another one, whose
   length is told in two ways.  */

#define CASE_4_GATES 2
#define CASE_4_ROUNDS 5

struct case_4_variant
{
  const char *name;
  const char *length; /* header lines; %zu: length of the hidden request */
  const char *before; /* of the hidden request, in the body */
};

static const struct case_4_variant case_4_variants[] = {
  { "two-lengths", "Content-Length: 0\r\nContent-Length: %zu\r\n\r\n", "" },
  { "length-and-chunks",
    "Content-Length: %zu\r\nTransfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n" },
  { "space-before-colon", "Content-Length : %zu\r\n\r\n", "" }
};

#define CASE_4_VARIANTS (sizeof case_4_variants / sizeof case_4_variants[0])

/* Sends one request with another one in its body, and waits a second for what
   comes back.  */
static void
case_4_send (const struct case_4_variant *variant, int round)
{
  char hidden[512];
  char body[1024];
  char length[256];
  char text[2048];
  char answer[4096];
  size_t got = 0;
  int64_t end;
  int fd = connect_to (address (GATE_HOST (round % CASE_4_GATES)), FRONT_PORT,
                       1000);

  if (fd < 0)
    finish (2, "no connection");
  snprintf (hidden, sizeof hidden,
            "POST /book/truck HTTP/1.1\r\nHost: a.example\r\n"
            "Parsleyrill-Request-Id: hidden-%s-%d\r\n"
            "Parsleyrill-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n",
            variant->name, round);
  snprintf (body, sizeof body, "%s%s", variant->before, hidden);
  if (trouble)
    snprintf (length, sizeof length, variant->length, strlen (body));
  else
    snprintf (length, sizeof length, "Content-Length: %zu\r\n\r\n",
              strlen (body));
  snprintf (text, sizeof text,
            "POST /book/truck HTTP/1.1\r\nHost: a.example\r\n"
            "Parsleyrill-Request-Id: outer-%s-%d\r\n"
            "Parsleyrill-Deadline-Ms: 4000\r\n%s%s",
            variant->name, round, length, body);
  record ("SENT outer-%s-%d", variant->name, round);
  send_all (fd, text, strlen (text));
  end = now_ms () + 1000;
  while (now_ms () < end && got + 1 < sizeof answer)
    {
      struct pollfd ready = { .fd = fd, .events = POLLIN };
      ssize_t n;

      if (poll (&ready, 1, 100) <= 0)
        continue;
      n = recv (fd, answer + got, sizeof answer - 1 - got, 0);
      if (n <= 0)
        break;
      got += (size_t)n;
    }
  answer[got] = '\0';
  record ("ANSWER outer-%s-%d %.3s, %u answers on the connection%s",
          variant->name, round, got > 12 ? answer + 9 : "-",
          count (answer, "HTTP/1.1 "),
          now_ms () < end ? ", then closed" : ", left open");
  close (fd);
}

static void
run_case_4 (void)
{
  unsigned runs[CASE_4_VARIANTS] = { 0 };
  unsigned all = 0;
  char why[256];

  put_config (case_1_config);
  start_engine (0, "i-e1", "v1", "slots=6 work=30");
  start_engine (1, "i-e2", "v1", "slots=6 work=30");
  for (int i = 0; i < CASE_4_GATES; i++)
    start_gate (i, true);
  await_gates (CASE_4_GATES);
  sleep_ms (3000);
  for (int round = 0; round < CASE_4_ROUNDS; round++)
    for (size_t i = 0; i < CASE_4_VARIANTS; i++)
      case_4_send (&case_4_variants[i], round);
  sleep_ms (500);
  read_record ();
  for (size_t i = 0; i < line_count; i++)
    for (size_t j = 0; j < CASE_4_VARIANTS; j++)
      {
        char id[64];

        snprintf (id, sizeof id, "hidden-%s-", case_4_variants[j].name);
        if (strcmp (lines[i].what, "RUN") == 0
            && strncmp (lines[i].first, id, strlen (id)) == 0)
          {
            runs[j]++;
            all++;
          }
      }
  snprintf (why, sizeof why,
            "hidden requests that ran, of %d each: two lengths %u, a length "
            "and chunks %u, a space before the colon %u",
            CASE_4_ROUNDS, runs[0], runs[1], runs[2]);
  if (all > 0)
    record ("BROKEN UNASKED: %s", why);
  finish (all > 0 ? 1 : 0, why);
}

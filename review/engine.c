/* A server of the platform: runs requests and streams, and, where it is a
   model engine, takes orders.  It registers itself in the store.

   Options, NAME=VALUE: ip, port, listed (IP:PORT in its entry, where a link
   lies before it), id, service, version, zone, store (its
   address, port 8142), record, slots, queue, cap (connections; 0: any number),
   work (ms of a request), events and gap (ms) of a stream, extra (percent of
   the answers that are sent a second time, where the connection's next answer
   is due; in spells of 5 s, with
   pauses of 5 s), idle (ms until an idle connection is closed), models
   (NAME+NAME..; a model engine), load (ms of a load).  */

#include "stand.h"

#define HEARTBEAT_MS 1200
#define SPELL_MS 5000 /* of extra answers, and of the pauses between */
#define MODELS_MAX 16
#define ANSWER_MAX 512
#define STORE_PORT 8142

struct connection
{
  int fd;
  struct message message;
  char last[ANSWER_MAX]; /* the last answer that is not a stream */
  unsigned seed;
};

struct request
{
  char id[64];
  char path[256];
};

static struct
{
  const char *ip;
  int port;
  const char *listed;
  const char *id;
  const char *service;
  const char *version;
  const char *zone;
  const char *store;
  int slots;
  int queue;
  int cap;
  int work;
  int events;
  int gap;
  int extra;
  int load;
  int idle;
} options = { .zone = "z1",
              .slots = 6,
              .queue = 24,
              .work = 30,
              .events = 40,
              .gap = 150,
              .load = 6000,
              .idle = 2000 };

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static int connections;
static int running;
static int waiting;
/* Of a model engine.  */
static bool has_models;
static char models[MODELS_MAX][64];
static int model_count;
static char at_hand[1024]; /* copies of weights, as JSON */
static char loading[64];   /* "" while no order is in progress */
static bool unloading;
static int64_t loaded_at;
static long sequence;
static long entry_sequence;
static int64_t born;
static int64_t started; /* ms */

/* Requires LOCK.  */
static void
finish_order (void)
{
  if (*loading == '\0' || now_ms () < loaded_at)
    return;
  if (unloading)
    {
      for (int i = 0; i < model_count; i++)
        if (strcmp (models[i], loading) == 0)
          memcpy (models[i], models[--model_count], sizeof models[i]);
    }
  else if (model_count < MODELS_MAX)
    snprintf (models[model_count++], sizeof models[0], "%s", loading);
  record ("HOLDS %s %s %s", options.id, unloading ? "without" : "with",
          loading);
  *loading = '\0';
}

/* Requires LOCK.  */
static void
list_models (char *out, size_t size)
{
  size_t n = 0;

  *out = '\0';
  for (int i = 0; i < model_count; i++)
    n += (size_t)snprintf (out + n, size - n,
                           "%s{\"Name\":\"%s\",\"Version\":1,\"Adapters\":[]}",
                           i > 0 ? "," : "", models[i]);
}

static void *
register_entry (void *user)
{
  (void)user;
  for (;;)
    {
      char list[2048] = "";
      char own[4096] = "";
      char value[8192];

      pthread_mutex_lock (&lock);
      finish_order ();
      list_models (list, sizeof list);
      if (has_models)
        snprintf (own, sizeof own,
                  ",\"Stage\":\"combined\",\"Models\":[%s],\"AtHand\":{%s}",
                  list, at_hand);
      snprintf (value, sizeof value,
                "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"%s\","
                "\"Version\":\"%s\",\"Slots\":%d,\"State\":\"ready\","
                "\"ColdRemainingMs\":0,\"Sequence\":%ld,\"born\":%lld%s}",
                options.service, options.listed, options.zone, options.version,
                options.slots, ++entry_sequence, (long long)born, own);
      pthread_mutex_unlock (&lock);
      store_put (options.store, STORE_PORT, "servers", options.id, value);
      sleep_ms (HEARTBEAT_MS);
    }
  return NULL;
}

/* Answers with a length.  As `fleetbench wire` shows it, a refusal does not
   name the request.  */
static bool
answer (struct connection *connection, const struct request *request,
        const char *status, const char *extra, const char *body)
{
  char text[ANSWER_MAX];
  char id[128] = "";

  if (request != NULL && request->id[0] != '\0')
    snprintf (id, sizeof id, "Parsleyrill-Request-Id: %s\r\n", request->id);
  snprintf (text, sizeof text,
            "HTTP/1.1 %s\r\nContent-Type: text/plain\r\n%s%s"
            "Parsleyrill-Server-Load: %d,%d,%d\r\nKeep-Alive: timeout=%d\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            status, id, extra, running, waiting, options.slots,
            options.idle / 1000, strlen (body), body);
  memcpy (connection->last, text, sizeof connection->last);
  return send_all (connection->fd, text, strlen (text));
}

static bool
is_closed (int fd)
{
  struct pollfd ready = { .fd = fd, .events = POLLRDHUP };

  return poll (&ready, 1, 0) > 0
         && (ready.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/* Works for MS; false if the connection was closed meanwhile.  */
static bool
work (const struct connection *connection, int ms)
{
  int64_t end = now_ms () + ms;

  while (now_ms () < end)
    {
      if (is_closed (connection->fd))
        return false;
      sleep_ms (5);
    }
  return true;
}

static bool
stream (struct connection *connection, const struct request *request)
{
  char text[ANSWER_MAX];
  char after[32];
  int first = 1;

  if (get_header (&connection->message, "Last-Event-Id", after, sizeof after))
    first = atoi (after) + 1;
  record ("RUN %s %s %s from event %d", request->id, options.id,
          options.version, first);
  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\nParsleyrill-Request-Id: %s\r\n"
            "Parsleyrill-Response-Seal: s.%s\r\n"
            "Parsleyrill-Server-Load: %d,%d,%d\r\n\r\n",
            request->id, options.id, running, waiting, options.slots);
  connection->last[0] = '\0';
  if (!send_all (connection->fd, text, strlen (text)))
    return false;
  for (int i = first; i <= options.events; i++)
    {
      char event[128];

      if (!work (connection, options.gap))
        return false;
      snprintf (event, sizeof event, "id: %d\ndata: %s-%d\n\n", i,
                options.version, i);
      snprintf (text, sizeof text, "%zx\r\n%s\r\n", strlen (event), event);
      if (!send_all (connection->fd, text, strlen (text)))
        return false;
    }
  record ("END %s %s", request->id, options.id);
  return send_all (connection->fd, "0\r\n\r\n", 5);
}

/* Takes a slot, or waits for one; false if the queue is full.  */
static bool
take_slot (void)
{
  bool taken = true;

  pthread_mutex_lock (&lock);
  if (running >= options.slots && waiting >= options.queue)
    taken = false;
  else
    {
      waiting++;
      while (running >= options.slots)
        pthread_cond_wait (&changed, &lock);
      waiting--;
      running++;
    }
  pthread_mutex_unlock (&lock);
  return taken;
}

static void
release_slot (void)
{
  pthread_mutex_lock (&lock);
  running--;
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
}

/* Whether the model of the request is here, if it names one.  */
static bool
holds_model (const struct connection *connection)
{
  char model[64];
  bool holds = !has_models;

  if (!get_header (&connection->message, "Parsleyrill-Model", model,
                   sizeof model))
    return true;
  pthread_mutex_lock (&lock);
  finish_order ();
  for (int i = 0; i < model_count; i++)
    holds = holds || strcmp (models[i], model) == 0;
  pthread_mutex_unlock (&lock);
  return holds;
}

static bool
run (struct connection *connection, const struct request *request)
{
  char body[128];
  bool ok;

  record ("ARRIVE %s %s", request->id, options.id);
  if (!holds_model (connection))
    return answer (connection, NULL, "421 Misdirected Request",
                   "Parsleyrill-Not-Executed: 1\r\n", "");
  if (!take_slot ())
    {
      record ("REFUSE %s %s", request->id, options.id);
      return answer (connection, NULL, "503 Service Unavailable",
                     "Parsleyrill-Not-Executed: 1\r\n", "");
    }
  if (strncmp (request->path, "/stream/", 8) == 0)
    ok = stream (connection, request);
  else
    {
      record ("RUN %s %s", request->id, options.id);
      ok = work (connection, options.work);
      if (ok)
        record ("END %s %s", request->id, options.id);
      snprintf (body, sizeof body, "%s of %s\n", request->id, options.id);
      ok = ok
           && answer (connection, request, "200 OK",
                      "Parsleyrill-Response-Seal: s\r\n", body);
    }
  release_slot ();
  return ok;
}

/* Model engines.  */

static bool
report (struct connection *connection)
{
  char list[2048];
  char body[3072];
  char head[256];

  pthread_mutex_lock (&lock);
  finish_order ();
  list_models (list, sizeof list);
  snprintf (body, sizeof body,
            "{\"Stage\":\"combined\",\"Models\":[%s],\"Busy\":%s,"
            "\"Sequence\":%ld,\"Queued\":%d,\"Running\":%d,\"KvUsed\":0,"
            "\"KvTotal\":89179,\"Handles\":0,\"AtHand\":{%s},\"born\":%lld}",
            list, *loading != '\0' ? "true" : "false", sequence, waiting,
            running, at_hand, (long long)born);
  pthread_mutex_unlock (&lock);
  snprintf (head, sizeof head,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            "Content-Length: %zu\r\n\r\n",
            strlen (body));
  return send_all (connection->fd, head, strlen (head))
         && send_all (connection->fd, body, strlen (body));
}

static void
field (const char *body, const char *name, char *out, size_t size)
{
  const char *at = strstr (body, name);

  *out = '\0';
  if (at == NULL)
    return;
  at += strlen (name);
  at += strspn (at, "\": ");
  snprintf (out, size, "%.*s", (int)strcspn (at, "\",}"), at);
}

static bool
order (struct connection *connection)
{
  const char *body = connection->message.bytes + connection->message.head;
  char operation[32];
  char model[64];
  char expected[32];
  char holder[64];
  char fence[32];
  const char *status = "202 Accepted";
  bool holds = false;

  field (body, "\"Operation\"", operation, sizeof operation);
  field (body, "\"Model\"", model, sizeof model);
  field (body, "\"Expected\"", expected, sizeof expected);
  field (body, "\"Holder\"", holder, sizeof holder);
  field (body, "\"FencingToken\"", fence, sizeof fence);
  pthread_mutex_lock (&lock);
  finish_order ();
  for (int i = 0; i < model_count; i++)
    holds = holds || strcmp (models[i], model) == 0;
  if (*loading != '\0'
      || (*expected != '\0' && strtol (expected, NULL, 10) != sequence))
    status = "409 Conflict";
  else if (holds == (strcmp (operation, "load") == 0))
    status = "200 OK";
  else
    {
      sequence++;
      snprintf (loading, sizeof loading, "%s", model);
      unloading = strcmp (operation, "load") != 0;
      loaded_at = now_ms () + (unloading ? 0 : options.load);
    }
  record ("ORDER %s holder=%s fence=%s %s %s expected=%s: %s", options.id,
          holder, fence, operation, model, expected, status);
  pthread_mutex_unlock (&lock);
  return answer (connection, NULL, status, "", "{}");
}

static bool
handle (struct connection *connection, const struct request *request)
{
  char expected[64];
  char instance[128];

  get_header (&connection->message, "Parsleyrill-Expect-Instance", expected,
              sizeof expected);
  if (connection->last[0] != '\0' && (now_ms () - started) / SPELL_MS % 2 == 1
      && rand_r (&connection->seed) % 100 < options.extra)
    {
      record ("EXTRA %s: second copy of \"%.12s\", before the answer to %s",
              options.id, connection->last + 9, request->id);
      if (!send_all (connection->fd, connection->last,
                     strlen (connection->last)))
        return false;
    }
  if (*expected != '\0' && strcmp (expected, options.id) != 0)
    {
      snprintf (instance, sizeof instance,
                "Parsleyrill-Instance-Id: %s\r\n"
                "Parsleyrill-Not-Executed: 1\r\n",
                options.id);
      return answer (connection, NULL, "421 Misdirected Request", instance,
                     "");
    }
  if (strncmp (request->path, "/health", 7) == 0)
    {
      snprintf (instance, sizeof instance, "Parsleyrill-Instance-Id: %s\r\n",
                options.id);
      return answer (connection, NULL, "200 OK", instance, "");
    }
  if (strncmp (request->path, "/v1/report", 10) == 0)
    return report (connection);
  if (strncmp (request->path, "/v1/order", 9) == 0)
    return order (connection);
  if (request->id[0] == '\0')
    return answer (connection, NULL, "400 Bad Request",
                   "Parsleyrill-Not-Executed: 1\r\n", "");
  return run (connection, request);
}

/* False if the connection has been idle for too long.  */
static bool
is_used (const struct connection *connection)
{
  struct pollfd ready = { .fd = connection->fd, .events = POLLIN };

  return connection->message.length > connection->message.end
         || poll (&ready, 1, options.idle) > 0;
}

static void *
serve_connection (void *user)
{
  struct connection connection = { .fd = (int)(intptr_t)user };
  bool keep = true;

  connection.seed = (unsigned)connection.fd * 7919u + (unsigned)now_ms ();
  while (keep && is_used (&connection)
         && read_request (connection.fd, &connection.message))
    {
      struct request request = { 0 };

      get_header (&connection.message, "Parsleyrill-Request-Id", request.id,
                  sizeof request.id);
      sscanf (connection.message.bytes, "%*s %255s", request.path);
      keep = handle (&connection, &request);
    }
  close (connection.fd);
  free (connection.message.bytes);
  pthread_mutex_lock (&lock);
  connections--;
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
  return NULL;
}

/* While CAP connections are open nobody listens, so that further ones are
   reset.  */
static void
accept_connections (void)
{
  int listener = listen_on (options.ip, options.port);

  for (;;)
    {
      pthread_t thread;
      int one = 1;
      int fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);

      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      pthread_mutex_lock (&lock);
      connections++;
      if (pthread_create (&thread, NULL, serve_connection,
                          (void *)(intptr_t)fd)
          != 0)
        exit (2);
      pthread_detach (thread);
      if (options.cap > 0 && connections >= options.cap)
        {
          close (listener);
          record ("FULL %s: %d connections", options.id, connections);
          while (connections >= options.cap)
            pthread_cond_wait (&changed, &lock);
          listener = listen_on (options.ip, options.port);
        }
      pthread_mutex_unlock (&lock);
    }
}

static void
set_option (const char *name, const char *value)
{
  static const struct
  {
    const char *name;
    const char **text;
    int *number;
  } known[] = { { "ip", &options.ip, NULL },
                { "listed", &options.listed, NULL },
                { "port", NULL, &options.port },
                { "id", &options.id, NULL },
                { "service", &options.service, NULL },
                { "version", &options.version, NULL },
                { "zone", &options.zone, NULL },
                { "store", &options.store, NULL },
                { "slots", NULL, &options.slots },
                { "queue", NULL, &options.queue },
                { "cap", NULL, &options.cap },
                { "work", NULL, &options.work },
                { "events", NULL, &options.events },
                { "gap", NULL, &options.gap },
                { "extra", NULL, &options.extra },
                { "load", NULL, &options.load },
                { "idle", NULL, &options.idle } };

  for (size_t i = 0; i < sizeof known / sizeof known[0]; i++)
    if (strcmp (known[i].name, name) == 0)
      {
        if (known[i].text != NULL)
          *known[i].text = value;
        else
          *known[i].number = atoi (value);
        return;
      }
  if (strcmp (name, "record") == 0)
    record_open (value);
  else if (strcmp (name, "models") == 0)
    {
      char *list = strdup (value);

      has_models = true;
      snprintf (at_hand, sizeof at_hand,
                "\"InMemory\":[\"m1\",\"m2\",\"m3\",\"m4\"],"
                "\"OnDisk\":[\"m1\",\"m2\",\"m3\",\"m4\"]");
      for (char *model = strtok (list, "+"); model != NULL;
           model = strtok (NULL, "+"))
        snprintf (models[model_count++], sizeof models[0], "%s", model);
    }
  else
    exit (2);
}

int
engine_main (int argc, char **argv)
{
  pthread_t thread;
  struct timespec wall;

  for (int i = 0; i < argc; i++)
    {
      char *equals = strchr (argv[i], '=');

      if (equals == NULL)
        exit (2);
      *equals = '\0';
      set_option (argv[i], equals + 1);
    }
  if (options.listed == NULL)
    {
      static char own[64];

      snprintf (own, sizeof own, "%s:%d", options.ip, options.port);
      options.listed = own;
    }
  started = now_ms ();
  clock_gettime (CLOCK_REALTIME, &wall);
  born = (int64_t)wall.tv_sec * 1000 + wall.tv_nsec / 1000000;
  if (pthread_create (&thread, NULL, register_entry, NULL) != 0)
    exit (2);
  accept_connections ();
  return 0;
}

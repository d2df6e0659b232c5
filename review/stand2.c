#define _GNU_SOURCE
#include "stand2.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define GATE "target/parsley-gate"
#define ROWS_MAX 256
#define PIDS_MAX 1024
#define REQUEST_MAX (1 << 20)
#define STACK_BYTES (256 << 10)

/* Time and the record.  */

static double started_at;
static int record_fd = -1;
static char temporary[64];
static pid_t pids[PIDS_MAX];
static size_t pid_count;

static double
clock_s (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

double
now_s (void)
{
  return clock_s () - started_at;
}

void
sleep_s (double seconds)
{
  struct timespec t
      = { (time_t)seconds, (long)((seconds - (double)(time_t)seconds) * 1e9) };

  while (nanosleep (&t, &t) < 0 && errno == EINTR)
    ;
}

void
record (const char *format, ...)
{
  char line[512];
  va_list args;
  size_t n = (size_t)snprintf (line, sizeof line, "%8.3f ", now_s ());

  va_start (args, format);
  vsnprintf (line + n, sizeof line - n - 1, format, args);
  va_end (args);
  strcat (line, "\n");
  if (write (record_fd, line, strlen (line)) < 0)
    _exit (2);
}

static void
remember (pid_t pid)
{
  if (pid_count < PIDS_MAX)
    pids[pid_count++] = pid;
}

static void
remove_temporary (void)
{
  char command[128];

  snprintf (command, sizeof command, "rm -rf -- '%s'", temporary);
  if (*temporary != '\0' && system (command) != 0)
    fprintf (stderr, "cannot remove %s\n", temporary);
}

void
finish (int status)
{
  for (size_t i = 0; i < pid_count; i++)
    {
      kill (pids[i], SIGCONT);
      kill (pids[i], SIGKILL);
      waitpid (pids[i], NULL, 0);
    }
  record ("result %d: %s", status,
          status == 0   ? "the rule held"
          : status == 1 ? "the rule was broken"
                        : "the case could not run");
  remove_temporary ();
  _exit (status);
}

static void
on_signal (int number)
{
  (void)number;
  for (size_t i = 0; i < pid_count; i++)
    {
      kill (pids[i], SIGCONT);
      kill (pids[i], SIGKILL);
    }
  _exit (2);
}

void
stand_start (const char *record_path)
{
  struct rlimit limit;

  started_at = clock_s ();
  record_fd
      = open (record_path, O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0644);
  if (record_fd < 0)
    {
      perror (record_path);
      _exit (2);
    }
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  if (getrlimit (RLIMIT_NOFILE, &limit) == 0)
    {
      limit.rlim_cur = limit.rlim_max < 8192 ? limit.rlim_max : 8192;
      setrlimit (RLIMIT_NOFILE, &limit);
    }
  strcpy (temporary, "/tmp/review-2-XXXXXX");
  if (mkdtemp (temporary) == NULL)
    finish (2);
  record ("TROUBLE=%d", trouble ());
}

bool
trouble (void)
{
  const char *text = getenv ("TROUBLE");

  return text == NULL || strcmp (text, "0") != 0;
}

static void
spawn_thread (void *(*run) (void *), void *user)
{
  pthread_attr_t attr;
  pthread_t thread;

  pthread_attr_init (&attr);
  pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attr, STACK_BYTES);
  if (pthread_create (&thread, &attr, run, user) != 0)
    finish (2);
  pthread_attr_destroy (&attr);
}

/* Sockets.  */

int
listen_any (uint16_t *port, int backlog)
{
  struct sockaddr_in a
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof a;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  if (fd < 0 || setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one) < 0
      || bind (fd, (struct sockaddr *)&a, sizeof a) < 0
      || listen (fd, backlog) < 0
      || getsockname (fd, (struct sockaddr *)&a, &size) < 0)
    finish (2);
  *port = ntohs (a.sin_port);
  return fd;
}

static uint16_t
free_port (void)
{
  uint16_t port;

  close (listen_any (&port, 1));
  return port;
}

static int
begin_connect (uint16_t port)
{
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
                           .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

  if (fd >= 0 && connect (fd, (struct sockaddr *)&a, sizeof a) < 0
      && errno != EINPROGRESS)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static bool
is_connected (int fd, double timeout_s)
{
  struct pollfd p = { .fd = fd, .events = POLLOUT };
  int error = 0;
  socklen_t size = sizeof error;

  return poll (&p, 1, (int)(timeout_s * 1000)) > 0
         && getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0
         && error == 0;
}

int
connect_port (uint16_t port, double timeout_s)
{
  int fd = begin_connect (port);

  if (fd < 0)
    return -1;
  if (!is_connected (fd, timeout_s))
    {
      close (fd);
      return -1;
    }
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
}

bool
send_all (int fd, const void *bytes, size_t n)
{
  const char *at = bytes;

  while (n > 0)
    {
      ssize_t sent = send (fd, at, n, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      at += sent;
      n -= (size_t)sent;
    }
  return true;
}

/* Requests.  */

void
header_value (const char *head, const char *name, char *value, size_t size)
{
  size_t n = strlen (name);
  const char *line = strstr (head, "\r\n");

  *value = '\0';
  while (line != NULL && strncmp (line, "\r\n\r\n", 4) != 0)
    {
      line += 2;
      if (strncasecmp (line, name, n) == 0 && line[n] == ':')
        {
          const char *at = line + n + 1;
          size_t length;

          at += strspn (at, " \t");
          length = strcspn (at, "\r\n");
          snprintf (value, size, "%.*s", (int)length, at);
          return;
        }
      line = strstr (line, "\r\n");
    }
}

size_t
request_length (const char *bytes, size_t n)
{
  const char *end = memmem (bytes, n, "\r\n\r\n", 4);
  char value[32];
  size_t length;

  if (end == NULL)
    return 0;
  header_value (bytes, "Content-Length", value, sizeof value);
  length = (size_t)(end + 4 - bytes) + strtoull (value, NULL, 10);
  return length <= n ? length : 0;
}

/* The store.  */

struct row
{
  char table[NAME_MAX_BYTES];
  char key[256];
  char *value; /* base64; NULL: removed */
  uint64_t version;
};

struct store
{
  int fd;
  uint16_t port;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  struct row rows[ROWS_MAX];
  size_t count;
  uint64_t version;
  bool ended;
  int connections[1024];
  size_t connection_count;
};

struct store_connection
{
  struct store *store;
  int fd;
};

static char *
encode (const char *text)
{
  static const char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqr"
                                "stuvwxyz0123456789+/";
  size_t n = strlen (text);
  char *out = calloc (1, n / 3 * 4 + 8);
  char *at = out;

  for (size_t i = 0; i < n; i += 3)
    {
      unsigned v = (unsigned)(unsigned char)text[i] << 16;

      if (i + 1 < n)
        v |= (unsigned)(unsigned char)text[i + 1] << 8;
      if (i + 2 < n)
        v |= (unsigned char)text[i + 2];
      *at++ = letters[v >> 18];
      *at++ = letters[v >> 12 & 63];
      *at++ = i + 1 < n ? letters[v >> 6 & 63] : '=';
      *at++ = i + 2 < n ? letters[v & 63] : '=';
    }
  return out;
}

static struct row *
find_row (struct store *store, const char *table, const char *key)
{
  for (size_t i = 0; i < store->count; i++)
    if (strcmp (store->rows[i].table, table) == 0
        && strcmp (store->rows[i].key, key) == 0)
      return &store->rows[i];
  return NULL;
}

/* Takes VALUE.  */
static void
set_row (struct store *store, const char *table, const char *key, char *value)
{
  struct row *row = find_row (store, table, key);

  if (row == NULL)
    {
      if (store->count == ROWS_MAX)
        finish (2);
      row = &store->rows[store->count++];
      snprintf (row->table, sizeof row->table, "%s", table);
      snprintf (row->key, sizeof row->key, "%s", key);
    }
  free (row->value);
  row->value = value;
  row->version = store->version;
}

void
store_put (struct store *store, const char *table, const char *key,
           const char *value)
{
  pthread_mutex_lock (&store->lock);
  store->version++;
  set_row (store, table, key, value != NULL ? encode (value) : NULL);
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
}

static json_t *
row_json (const struct row *row)
{
  json_t *json
      = json_pack ("{s:s, s:s, s:s, s:I}", "Table", row->table, "part", "",
                   "Key", row->key, "Ver", (json_int_t)row->version);

  if (row->value != NULL)
    json_object_set_new (json, "Value", json_string (row->value));
  else
    json_object_set_new (json, "Tombstone", json_true ());
  return json;
}

static int
compare_rows (const void *a, const void *b)
{
  return strcmp ((*(const struct row *const *)a)->key,
                 (*(const struct row *const *)b)->key);
}

/* Rows of TABLE that changed after AFTER; 0: those that exist.  */
static json_t *
rows_json (struct store *store, const char *table, uint64_t after,
           const char *from)
{
  struct row *found[ROWS_MAX];
  json_t *list = json_array ();
  size_t n = 0;

  for (size_t i = 0; i < store->count; i++)
    if (strcmp (store->rows[i].table, table) == 0
        && store->rows[i].version > after
        && (after > 0 || store->rows[i].value != NULL)
        && strcmp (store->rows[i].key, from) >= 0)
      found[n++] = &store->rows[i];
  qsort (found, n, sizeof *found, compare_rows);
  for (size_t i = 0; i < n; i++)
    json_array_append_new (list, row_json (found[i]));
  return list;
}

static void
query_value (const char *path, const char *name, char *value, size_t size)
{
  const char *at = strchr (path, '?');
  size_t n = strlen (name);
  size_t length = 0;

  *value = '\0';
  while (at != NULL)
    {
      at++;
      if (strncmp (at, name, n) == 0 && at[n] == '=')
        break;
      at = strchr (at, '&');
    }
  if (at == NULL)
    return;
  for (at += n + 1; *at != '\0' && *at != '&' && length + 1 < size; at++)
    {
      unsigned code;

      if (*at == '%' && sscanf (at + 1, "%2x", &code) == 1)
        {
          value[length++] = (char)code;
          at += 2;
        }
      else
        value[length++] = *at;
    }
  value[length] = '\0';
}

static json_t *
read_rows (struct store *store, const char *path)
{
  char table[NAME_MAX_BYTES];
  char from[256];
  char text[32];
  uint64_t after = 0;
  double until = clock_s ();
  json_t *rows;

  query_value (path, "Table", table, sizeof table);
  query_value (path, "From", from, sizeof from);
  if (strncmp (path, "/v1/rows-feed", 13) == 0)
    {
      query_value (path, "after", text, sizeof text);
      after = strtoull (text, NULL, 10);
      query_value (path, "WaitMs", text, sizeof text);
      until += strtod (text, NULL) / 1000;
      *from = '\0';
    }
  pthread_mutex_lock (&store->lock);
  rows = rows_json (store, table, after, from);
  while (json_array_size (rows) == 0 && clock_s () < until && !store->ended)
    {
      struct timespec wake;

      clock_gettime (CLOCK_REALTIME, &wake);
      wake.tv_nsec += 20000000;
      wake.tv_sec += wake.tv_nsec / 1000000000;
      wake.tv_nsec %= 1000000000;
      pthread_cond_timedwait (&store->changed, &store->lock, &wake);
      json_decref (rows);
      rows = rows_json (store, table, after, from);
    }
  rows = json_pack ("{s:o, s:b, s:I, s:I}", "Rows", rows, "HasMore", 0, "Ver",
                    (json_int_t)store->version, "NowMs",
                    (json_int_t)(clock_s () * 1000));
  pthread_mutex_unlock (&store->lock);
  return rows;
}

static const char *
member (const json_t *json, const char *name)
{
  const char *text = json_string_value (json_object_get (json, name));

  return text != NULL ? text : "";
}

static json_t *
write_rows (struct store *store, const char *body, int *status)
{
  json_t *call = json_loads (body, 0, NULL);
  json_t *current = json_array ();
  json_t *item;
  bool ok = true;
  size_t i;

  pthread_mutex_lock (&store->lock);
  json_array_foreach (json_object_get (call, "Expected"), i, item)
    {
      const struct row *row
          = find_row (store, member (item, "Table"), member (item, "Key"));
      uint64_t version = row != NULL && row->value != NULL ? row->version : 0;

      ok = ok
           && version
                  == (uint64_t)json_integer_value (
                      json_object_get (item, "Ver"));
      if (row != NULL && row->value != NULL)
        json_array_append_new (current, row_json (row));
    }
  store->version += ok;
  json_array_foreach (json_object_get (call, "SetKeys"), i, item)
    {
      if (ok)
        set_row (store, member (item, "Table"), member (item, "Key"),
                 strdup (member (item, "Value")));
    }
  json_array_foreach (json_object_get (call, "Remove"), i, item)
    {
      if (ok)
        set_row (store, member (item, "Table"), member (item, "Key"), NULL);
    }
  pthread_cond_broadcast (&store->changed);
  json_decref (call);
  call = json_pack ("{s:o, s:I, s:I}", "Rows", current, "Ver",
                    (json_int_t)store->version, "NowMs",
                    (json_int_t)(clock_s () * 1000));
  pthread_mutex_unlock (&store->lock);
  *status = ok ? 200 : 412;
  return call;
}

static bool
answer_store_call (struct store *store, int fd, char *request)
{
  char method[16] = "";
  char path[1024] = "";
  json_t *json = NULL;
  int status = 200;
  char *text;
  char *out;
  bool sent;

  sscanf (request, "%15s %1023s", method, path);
  if (strncmp (path, "/v1/rows-tx", 11) == 0)
    json = write_rows (store, strstr (request, "\r\n\r\n") + 4, &status);
  else if (strncmp (path, "/v1/rows-get", 12) == 0
           || strncmp (path, "/v1/rows-feed", 13) == 0)
    json = read_rows (store, path);
  else
    status = 404;
  text = json != NULL ? json_dumps (json, JSON_COMPACT) : strdup ("{}");
  json_decref (json);
  if (asprintf (&out,
                "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                "Content-Length: %zu\r\n\r\n%s",
                status, strlen (text), text)
      < 0)
    finish (2);
  sent = send_all (fd, out, strlen (out));
  free (out);
  free (text);
  return sent;
}

static void *
serve_store_connection (void *user)
{
  struct store_connection *connection = user;
  char *bytes = malloc (REQUEST_MAX + 1);
  size_t n = 0;
  ssize_t got;

  while ((got = recv (connection->fd, bytes + n, REQUEST_MAX - n, 0)) > 0)
    {
      size_t length;

      n += (size_t)got;
      bytes[n] = '\0';
      while ((length = request_length (bytes, n)) > 0)
        {
          char *one = strndup (bytes, length);

          if (connection->store->ended
              || !answer_store_call (connection->store, connection->fd, one))
            shutdown (connection->fd, SHUT_RDWR);
          free (one);
          n -= length;
          memmove (bytes, bytes + length, n);
          bytes[n] = '\0';
        }
    }
  /* The descriptor stays open, so that its number is not used again for
     another connection that store_end would close.  */
  shutdown (connection->fd, SHUT_RDWR);
  free (bytes);
  free (connection);
  return NULL;
}

static void *
serve_store (void *user)
{
  struct store *store = user;
  int fd;

  while ((fd = accept4 (store->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      struct store_connection *connection = malloc (sizeof *connection);

      *connection = (struct store_connection){ store, fd };
      pthread_mutex_lock (&store->lock);
      if (store->connection_count < 1024)
        store->connections[store->connection_count++] = fd;
      pthread_mutex_unlock (&store->lock);
      spawn_thread (serve_store_connection, connection);
    }
  return NULL;
}

static void
open_store (struct store *store)
{
  pthread_mutex_init (&store->lock, NULL);
  pthread_cond_init (&store->changed, NULL);
  store->fd = listen_any (&store->port, 64);
  spawn_thread (serve_store, store);
}

struct store *
store_start (void)
{
  struct store *store = calloc (1, sizeof *store);

  store->version = 1;
  open_store (store);
  return store;
}

uint16_t
store_port (const struct store *store)
{
  return store->port;
}

struct store *
store_move (struct store *store)
{
  struct store *other = calloc (1, sizeof *other);

  pthread_mutex_lock (&store->lock);
  memcpy (other->rows, store->rows, sizeof store->rows);
  other->count = store->count;
  other->version = store->version;
  for (size_t i = 0; i < other->count; i++)
    if (other->rows[i].value != NULL)
      other->rows[i].value = strdup (other->rows[i].value);
  pthread_mutex_unlock (&store->lock);
  open_store (other);
  return other;
}

void
store_end (struct store *store)
{
  pthread_mutex_lock (&store->lock);
  store->ended = true;
  shutdown (store->fd, SHUT_RDWR);
  close (store->fd);
  for (size_t i = 0; i < store->connection_count; i++)
    shutdown (store->connections[i], SHUT_RDWR);
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
}

/* Engines.  */

/* In a child: a descriptor that stays open would keep a connection of the
   parent open.  */
static void
close_others (int keep)
{
  for (int fd = 3; fd < 8192; fd++)
    if (fd != keep && fd != record_fd)
      close (fd);
}

static void
run_engine (struct engine *engine)
{
  engine->pid = fork ();
  if (engine->pid < 0)
    finish (2);
  if (engine->pid == 0)
    {
      signal (SIGTERM, SIG_DFL);
      signal (SIGINT, SIG_DFL);
      close_others (engine->listen_fd);
      engine->serve (engine);
      _exit (0);
    }
  remember (engine->pid);
}

void
engine_start (struct engine *engine)
{
  engine->listen_fd = listen_any (&engine->port, 256);
  run_engine (engine);
}

static int
listen_again (uint16_t port)
{
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
                           .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  if (fd < 0 || setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one) < 0
      || bind (fd, (struct sockaddr *)&a, sizeof a) < 0
      || listen (fd, 256) < 0)
    finish (2);
  return fd;
}

void
engine_restart (struct engine *engine, const char *id)
{
  snprintf (engine->id, sizeof engine->id, "%s", id);
  if (engine->listen_fd < 0)
    engine->listen_fd = listen_again (engine->port);
  run_engine (engine);
}

void
engine_crash (struct engine *engine)
{
  engine_kill (engine);
  close (engine->listen_fd);
  engine->listen_fd = -1;
}

void
engine_kill (struct engine *engine)
{
  kill (engine->pid, SIGKILL);
  waitpid (engine->pid, NULL, 0);
  for (size_t i = 0; i < pid_count; i++)
    if (pids[i] == engine->pid)
      pids[i] = pids[--pid_count];
}

/* Fills the queue of connections that nobody accepts; the kernel ignores all
   further attempts.  */
void
engine_darken (struct engine *engine)
{
  int fd;

  listen (engine->listen_fd, 0);
  for (int i = 0; i < 16; i++)
    {
      fd = begin_connect (engine->port);
      if (fd < 0 || !is_connected (fd, 0.1))
        return;
    }
}

void
engine_list (struct engine *engine, struct store *store, const char *state,
             const char *extra)
{
  char entry[1024];

  snprintf (entry, sizeof entry,
            "{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%u\",\"Zone\":"
            "\"erie\",\"Version\":\"v1\",\"Slots\":%d,\"State\":\"%s\","
            "\"ColdRemainingMs\":0,\"Sequence\":0%s}",
            engine->service, engine->port, engine->slots,
            state != NULL ? state : "", extra);
  store_put (store, "servers", engine->id, state != NULL ? entry : NULL);
}

/* Gates.  */

static bool fencing = true;

void
gate_fencing (bool checked)
{
  fencing = checked;
}

void
gate_settings (const struct gate *gate, const struct store *store)
{
  char path[300];
  char other[300];
  FILE *file;

  snprintf (path, sizeof path, "%s/local.json", gate->folder);
  snprintf (other, sizeof other, "%s/new.json", gate->folder);
  file = fopen (other, "w");
  if (file == NULL)
    finish (2);
  fprintf (
      file,
      "{\"NodeName\":\"%s\",\"Role\":\"gate\",\"MachineClass\":\"front\","
      "\"Serves\":[\"front\",\"control\",\"directory\"],\"Ip\":\"127.0.0.1\","
      "\"Zone\":\"erie\",\"Region\":\"great-lakes\","
      "\"Zones\":{\"erie\":\"great-lakes\"},"
      "\"Listen\":{\"Front\":\"127.0.0.1:%u\",\"Ready\":\"127.0.0.1:%u\","
      "\"Control\":\"127.0.0.1:%u\",\"Directory\":\"127.0.0.1:%u\"},"
      "\"InternalPorts\":[7380,7395],\"Seeds\":[],\"Bootstrap\":true,"
      "\"LossCounts\":false,\"Limits\":{\"CpuShare\":0.5,\"Cores\":1,"
      "\"MemoryMb\":520,\"FdLimit\":8200,\"LinkMbps\":2000.0,\"DiskMb\":0},"
      "\"DataDir\":null,\"Discovery\":\"platform\",\"Entry\":\"directory\","
      "\"HeartbeatMs\":1200,\"Contracts\":[\"base\",\"drain\",\"config\","
      "\"cost\",\"retry\",\"recover\",\"fleet\",\"stream\",\"engine\","
      "\"platform\"],\"FaultTolerance\":{\"Machines\":1,\"Zones\":0,"
      "\"Regions\":0},\"Bounds\":{\"SeedLagS\":3,\"ReuseAfterS\":2,"
      "\"StabilityWindowMs\":3000,\"AckMs\":4000,\"CatchUpS\":4,"
      "\"DrainMs\":2000,\"GraceS\":8,\"LossSlackMs\":200,\"ConfigMs\":2000,"
      "\"BackMs\":250,\"OuterMs\":5000,\"BudgetRatio\":0.2,"
      "\"BudgetWindowS\":10,\"BudgetSlack\":58,\"RecoverS\":12,"
      "\"PassMs\":120,\"RetryAfterS\":0,\"FencingRequired\":%s,"
      "\"LeaseMs\":3000,\"ThawMs\":300,\"CeilingWindowS\":5,"
      "\"CeilingOver\":1.1,\"ttl_max_s\":5},"
      "\"Platform\":{\"Address\":\"127.0.0.1:%u\",\"form\":\"table\","
      "\"WritesPerS\":400,\"ReadsPerS\":2000,\"TxMs\":5.0,"
      "\"PartitionWritesS\":200,\"RowBytes\":65536,\"Across\":false,"
      "\"HistoryS\":20,\"BlobBytes\":8388608,\"BlobMs\":25.0,"
      "\"BlobMbS\":80.0}}\n",
      gate->name, gate->front, gate->ready, gate->control, gate->directory,
      fencing ? "true" : "false", store->port);
  fclose (file);
  if (rename (other, path) < 0)
    finish (2);
}

void
gate_start (struct gate *gate, const char *name, const struct store *store)
{
  char settings[300];
  char metrics[64];
  char path[300];

  snprintf (gate->name, sizeof gate->name, "%s", name);
  snprintf (gate->folder, sizeof gate->folder, "%s/%s", temporary, name);
  if (mkdir (gate->folder, 0700) < 0)
    finish (2);
  gate->front = free_port ();
  gate->ready = free_port ();
  gate->control = free_port ();
  gate->directory = free_port ();
  gate->metrics = free_port ();
  gate_settings (gate, store);
  gate->pid = fork ();
  if (gate->pid < 0)
    finish (2);
  if (gate->pid == 0)
    {
      /* As in the deploy file.  */
      char *argv[] = { (char *)GATE, NULL };
      char *envp[] = {
        settings,         (char *)"PARSLEY_PEER_TOKEN=replace-this-secret",
        metrics,          (char *)"PATH=/usr/bin:/bin",
        (char *)"LANG=C", NULL
      };
      int log;

      snprintf (settings, sizeof settings,
                "PARSLEYRILL_SETTINGS=%s/local.json", gate->folder);
      snprintf (metrics, sizeof metrics, "PARSLEY_METRICS_PORT=%u",
                gate->metrics);
      snprintf (path, sizeof path, "%s/log", gate->folder);
      log = open (path, O_WRONLY | O_CREAT | O_TRUNC, 0600);
      dup2 (log, STDOUT_FILENO);
      dup2 (log, STDERR_FILENO);
      signal (SIGPIPE, SIG_DFL);
      execve (GATE, argv, envp);
      _exit (127);
    }
  remember (gate->pid);
  record ("gate %s runs, front port %u", name, gate->front);
}

bool
gate_is_ready (const struct gate *gate)
{
  struct answer answer;

  ask (gate->ready, "GET", "/v1/ready", "none", "", NULL, 1, &answer);
  return answer.status == 200;
}

bool
gate_wait (const struct gate *gate)
{
  for (int i = 0; i < 100; i++)
    {
      if (gate_is_ready (gate))
        return true;
      sleep_s (0.1);
    }
  record ("gate %s does not get ready", gate->name);
  return false;
}

/* Clients.  */

/* Takes chunks apart.  Returns whether the last one has come.  */
static bool
decode_chunks (const char *at, const char *end, struct answer *answer)
{
  while (at < end)
    {
      char *line;
      size_t n = strtoul (at, &line, 16);

      if (line == at || line + 2 > end)
        return false;
      at = strstr (line, "\r\n");
      if (at == NULL)
        return false;
      at += 2;
      if (n == 0)
        return true;
      if (at + n + 2 > end)
        return false;
      if (answer->length + n < sizeof answer->body)
        {
          memcpy (answer->body + answer->length, at, n);
          answer->length += n;
        }
      at += n + 2;
    }
  return false;
}

static void
parse_answer (const char *bytes, size_t n, struct answer *answer)
{
  const char *body = strstr (bytes, "\r\n\r\n");
  char value[64];

  answer->status = 0;
  answer->length = 0;
  answer->complete = false;
  if (body == NULL || sscanf (bytes, "HTTP/1.%*d %d", &answer->status) != 1)
    return;
  body += 4;
  header_value (bytes, "Parsleyrill-Response-Seal", value, sizeof value);
  answer->sealed = *value != '\0';
  header_value (bytes, "Transfer-Encoding", value, sizeof value);
  if (strcasecmp (value, "chunked") == 0)
    {
      answer->complete = decode_chunks (body, bytes + n, answer);
      return;
    }
  header_value (bytes, "Content-Length", value, sizeof value);
  answer->length = n - (size_t)(body - bytes);
  if (answer->length > sizeof answer->body)
    answer->length = sizeof answer->body;
  memcpy (answer->body, body, answer->length);
  answer->complete
      = *value != '\0' && answer->length == strtoul (value, NULL, 10);
}

void
ask (uint16_t port, const char *method, const char *path, const char *id,
     const char *extra, const char *body, double timeout_s,
     struct answer *answer)
{
  double start = now_s ();
  int fd = connect_port (port, 1);
  char request[4096];
  char bytes[16384];
  size_t n = 0;
  ssize_t got;

  memset (answer, 0, sizeof *answer);
  *bytes = '\0';
  if (fd >= 0)
    {
      snprintf (request, sizeof request,
                "%s %s HTTP/1.1\r\nHost: " HOST
                "\r\nParsleyrill-Request-Id: %s\r\nParsleyrill-Deadline-Ms: "
                "%d\r\n%sContent-Length: %zu\r\n\r\n%s",
                method, path, id, (int)(timeout_s * 1000), extra,
                body != NULL ? strlen (body) : 0, body != NULL ? body : "");
      send_all (fd, request, strlen (request));
      do
        {
          struct pollfd p = { .fd = fd, .events = POLLIN };
          double left = start + timeout_s - now_s ();

          if (left <= 0 || poll (&p, 1, (int)(left * 1000) + 1) <= 0)
            break;
          got = recv (fd, bytes + n, sizeof bytes - 1 - n, 0);
          if (got <= 0)
            break;
          n += (size_t)got;
          bytes[n] = '\0';
          parse_answer (bytes, n, answer);
        }
      while (!answer->complete && n < sizeof bytes - 1);
      close (fd);
    }
  answer->took_s = now_s () - start;
}

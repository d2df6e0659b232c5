/* process_engine - a backend server with the platform's protocol, run as a
   process of its own, with one thread per connection.

   It appends a line to the record for each request that arrives ("A") and for
   each that it runs ("R") and has run ("D"): kind, time in ms, request id,
   instance id.  A
   request whose prompt has the part "bad", or whose path is /safe/crash, ends
   the process when its answer is due, with a line "C".  A brittle server ends
   with a line "F" when it has rejected too many.  */

#ifndef PROCESS_ENGINE_H
#define PROCESS_ENGINE_H

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 8192 /* bytes, of a request or response */
#define EVENTS 8      /* of a stream */
#define EVENT_INTERVAL_MS 10

/* Percentages of the requests.  */
struct engine_faults
{
  int lose;     /* run, then close the connection without a response */
  int reset;    /* run, then reset the connection */
  int full;     /* refuse with 503 */
  int fail;     /* run, then respond with an error, without saying "not run" */
  int hang;     /* run for longer than any deadline */
  int close;    /* close the connection after the response, without notice */
  int repeat;   /* send the last response of the connection once more, just
                   before the next one */
  int unframed; /* respond without a length or chunks */
  int partial;  /* end a stream inside an event */
  int limit;   /* no percentage: names a limit of so many tenths of a request a
                  second in its responses; 0: none */
  int brittle; /* no percentage: falls over when it rejects more requests in a
                  second for want of room; 0: never */
  int load;    /* 1: tells its load */
  int truncate; /* close the connection at any byte of the response's head or
                   plain body */
  int slow;     /* run for up to SLOW_MAX_MS more */
};

#define ENGINE_FAULTS_FORMAT "%d,%d,%d,%d,%d,%d,%d,%d,%d,%d,%d,%d,%d,%d"
#define SLOW_MAX_MS 6000
#define ENGINE_EXIT_CRASH 70
#define REJECTED_MAX 64

struct engine_process
{
  const char *id;
  int record;
  int slots;
  struct engine_faults faults;
  unsigned seed;
  atomic_int running;
  atomic_uint connections;
  pthread_mutex_t lock;
  int64_t rejected_ms[REJECTED_MAX]; /* last ones, a ring; under LOCK */
  unsigned rejected;
};

struct engine_connection
{
  struct engine_process *engine;
  int fd;
  unsigned seed;
  char input[HEAD_MAX];
  size_t length;
  char last[HEAD_MAX]; /* last response; "" when none */
};

struct engine_request
{
  char id[64];
  char expected[64];
  unsigned resume_after;
  bool stream;
  bool bad;
  int slow_ms;
};

static int64_t
process_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
sleep_ms (int ms)
{
  struct timespec time = { ms / 1000, ms % 1000 * 1000000L };

  while (nanosleep (&time, &time) < 0 && errno == EINTR)
    ;
}

static void __attribute__ ((format (printf, 3, 4)))
record_line (int fd, char kind, const char *format, ...)
{
  char line[256];
  int n = snprintf (line, sizeof line, "%c %lld ", kind,
                    (long long)process_now_ms ());
  va_list args;

  va_start (args, format);
  n += vsnprintf (line + n, sizeof line - (size_t)n, format, args);
  va_end (args);
  line[n++] = '\n';
  if (write (fd, line, (size_t)n) != n)
    abort ();
}

static bool
send_all (int fd, const char *bytes, size_t n)
{
  while (n > 0)
    {
      ssize_t sent = send (fd, bytes, n, MSG_NOSIGNAL);

      if (sent < 0)
        return false;
      bytes += sent;
      n -= (size_t)sent;
    }
  return true;
}

static bool
header_value (const char *head, const char *name, char *out, size_t size)
{
  const char *at = strcasestr (head, name);
  size_t n;

  *out = '\0';
  if (at == NULL)
    return false;
  at += strlen (name);
  n = strcspn (at, "\r");
  if (n >= size)
    n = size - 1;
  memcpy (out, at, n);
  out[n] = '\0';
  return true;
}

/* Reads a head with its body of known length.  Returns false at the end of
   the connection; otherwise *END is the end of the message in INPUT.  */
static bool
read_message (int fd, char *input, size_t *length, size_t *end)
{
  for (;;)
    {
      char text[32];
      char *blank;
      ssize_t n;

      input[*length] = '\0';
      blank = strstr (input, "\r\n\r\n");
      if (blank != NULL)
        {
          *end = (size_t)(blank - input) + 4;
          if (header_value (input, "\r\nContent-Length: ", text, sizeof text))
            *end += strtoul (text, NULL, 10);
          if (*length >= *end)
            return true;
        }
      n = *length + 1 < HEAD_MAX
              ? recv (fd, input + *length, HEAD_MAX - 1 - *length, 0)
              : 0;
      if (n <= 0)
        return false;
      *length += (size_t)n;
    }
}

static void
parse_engine_request (const char *head, struct engine_request *request)
{
  char text[32];

  header_value (head, "\r\nParsleyrill-Request-Id: ", request->id,
                sizeof request->id);
  header_value (head, "\r\nParsleyrill-Expect-Instance: ", request->expected,
                sizeof request->expected);
  header_value (head, "\r\nLast-Event-Id: ", text, sizeof text);
  request->resume_after = (unsigned)strtoul (text, NULL, 10);
  request->stream
      = strstr (head, " /long/") != NULL || strstr (head, " /cut/") != NULL;
  request->bad = strstr (head, ",bad:") != NULL
                 || strstr (head, " /safe/crash ") != NULL;
}

static bool
drawn (struct engine_connection *connection, int percent)
{
  return rand_r (&connection->seed) % 100 < percent;
}

static void
reset_connection (int fd)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

/* Returns whether the whole TEXT was sent.  A body without a length and chunks
   that ends with a close, not a reset, is whole.  */
static bool
send_or_truncate (struct engine_connection *connection, const char *text,
                  size_t n, bool unframed)
{
  bool whole = !drawn (connection, connection->engine->faults.truncate);
  size_t sent = whole ? n : (size_t)rand_r (&connection->seed) % n;

  if (!whole && unframed && memmem (text, sent, "\r\n\r\n", 4) != NULL)
    reset_connection (connection->fd);
  return send_all (connection->fd, text, sent) && whole;
}

/* The headers that say something of the server itself.  */
static void
server_headers (struct engine_process *engine, char *out, size_t size)
{
  int tenths = engine->faults.limit;
  size_t n = 0;

  *out = '\0';
  if (tenths > 0)
    n += (size_t)snprintf (out, size, "Server-Limit: %d.%d\r\n", tenths / 10,
                           tenths % 10);
  if (engine->faults.brittle > 0)
    n += (size_t)snprintf (out + n, size - n, "Server-Brittle: %d\r\n",
                           engine->faults.brittle);
  if (engine->faults.load > 0)
    snprintf (out + n, size - n, "Parsleyrill-Server-Load: %d,0,%d\r\n",
              atomic_load (&engine->running), engine->slots);
}

/* The server has no room for a request.  */
static void
count_rejection (struct engine_process *engine)
{
  const int max = engine->faults.brittle;
  int64_t now = process_now_ms ();

  if (max <= 0)
    return;
  pthread_mutex_lock (&engine->lock);
  engine->rejected_ms[engine->rejected++ % REJECTED_MAX] = now;
  if (engine->rejected > (unsigned)max
      && engine->rejected_ms[(engine->rejected - 1 - (unsigned)max)
                             % REJECTED_MAX]
             > now - 1000)
    {
      record_line (engine->record, 'F', "fall %s", engine->id);
      _exit (ENGINE_EXIT_CRASH);
    }
  pthread_mutex_unlock (&engine->lock);
}

/* Returns whether the connection is kept.  */
static bool
respond (struct engine_connection *connection,
         const struct engine_request *request, const char *status,
         const char *extra)
{
  bool unframed = drawn (connection, connection->engine->faults.unframed);
  char length[64] = "";
  char own[128];
  char text[HEAD_MAX];
  int n;

  server_headers (connection->engine, own, sizeof own);
  if (!unframed)
    snprintf (length, sizeof length, "Content-Length: %zu\r\n",
              strlen (request->id));
  n = snprintf (text, sizeof text,
                "HTTP/1.1 %s\r\n%s%sParsleyrill-Request-Id: %s\r\n%s\r\n%s",
                status, extra, own, request->id, length, request->id);
  if (!send_or_truncate (connection, text, (size_t)n, unframed))
    return false;
  memcpy (connection->last, text, (size_t)n + 1);
  return !unframed;
}

static bool
send_event (struct engine_connection *connection, const char *event, size_t n,
            bool unframed)
{
  char text[128];
  int size;

  if (unframed)
    return send_all (connection->fd, event, n);
  size = snprintf (text, sizeof text, "%x\r\n%.*s\r\n", (unsigned)n, (int)n,
                   event);
  return send_all (connection->fd, text, (size_t)size);
}

/* Returns whether the connection is kept.  */
static bool
respond_events (struct engine_connection *connection,
                const struct engine_request *request)
{
  const struct engine_faults *faults = &connection->engine->faults;
  bool unframed = drawn (connection, faults->unframed);
  unsigned last = drawn (connection, faults->partial)
                      ? 1 + (unsigned)rand_r (&connection->seed) % EVENTS
                      : 0;
  char own[128];
  char text[HEAD_MAX];
  int n;

  server_headers (connection->engine, own, sizeof own);
  n = snprintf (text, sizeof text,
                "HTTP/1.1 200 OK\r\n%sParsleyrill-Response-Seal: s\r\n"
                "Parsleyrill-Request-Id: %s\r\n"
                "%sContent-Type: text/event-stream\r\n\r\n",
                own, request->id,
                unframed ? "" : "Transfer-Encoding: chunked\r\n");
  connection->last[0] = '\0';
  if (!send_or_truncate (connection, text, (size_t)n, unframed))
    return false;
  for (unsigned i = request->resume_after + 1; i <= EVENTS; i++)
    {
      char event[64];
      size_t size
          = (size_t)snprintf (event, sizeof event, "id: %u\ndata: x\n\n", i);

      if (!send_event (connection, event, i == last ? size - 4 : size,
                       unframed))
        return false;
      if (i == last)
        break;
      sleep_ms (EVENT_INTERVAL_MS + request->slow_ms / EVENTS);
    }
  return !unframed && send_all (connection->fd, "0\r\n\r\n", 5);
}

#define SEALED "Parsleyrill-Response-Seal: s\r\n"
#define NOT_RUN "Parsleyrill-Not-Executed: 1\r\n"

static const char *const failures[]
    = { "500 Failed", "503 Unavailable", "429 Too Many", "504 Timeout",
        "408 Timeout" };

#define FAILURES (sizeof failures / sizeof failures[0])

/* Returns whether the connection is kept.  */
static bool
run_request (struct engine_connection *connection,
             const struct engine_request *request)
{
  const struct engine_faults *faults = &connection->engine->faults;

  record_line (connection->engine->record, 'R', "%s %s", request->id,
               connection->engine->id);
  sleep_ms (5 + rand_r (&connection->seed) % 30);
  if (request->bad)
    {
      record_line (connection->engine->record, 'C', "%s %s", request->id,
                   connection->engine->id);
      _exit (ENGINE_EXIT_CRASH);
    }
  if (drawn (connection, faults->hang))
    sleep_ms (2500);
  if (drawn (connection, faults->lose))
    return false;
  if (drawn (connection, faults->reset))
    {
      reset_connection (connection->fd);
      return false;
    }
  if (drawn (connection, faults->fail))
    return respond (connection, request,
                    failures[rand_r (&connection->seed) % FAILURES], SEALED);
  if (request->stream)
    return respond_events (connection, request)
           && !drawn (connection, faults->close);
  sleep_ms (request->slow_ms);
  return respond (connection, request, "200 OK", SEALED)
         && !drawn (connection, faults->close);
}

static bool
handle_engine_request (struct engine_connection *connection,
                       struct engine_request *request)
{
  struct engine_process *engine = connection->engine;
  bool keep;

  record_line (engine->record, 'A', "%s %s", request->id, engine->id);
  if (connection->last[0] != '\0' && drawn (connection, engine->faults.repeat)
      && !send_all (connection->fd, connection->last,
                    strlen (connection->last)))
    return false;
  if (request->expected[0] != '\0'
      && strcmp (request->expected, engine->id) != 0)
    return respond (connection, request, "421 Misdirected", NOT_RUN);
  if (drawn (connection, engine->faults.full)
      || atomic_load (&engine->running) >= engine->slots)
    {
      count_rejection (engine);
      return respond (connection, request, "503 Full", NOT_RUN);
    }
  if (engine->faults.slow > 0 && drawn (connection, engine->faults.slow))
    request->slow_ms = rand_r (&connection->seed) % SLOW_MAX_MS;
  atomic_fetch_add (&engine->running, 1);
  keep = run_request (connection, request);
  atomic_fetch_sub (&engine->running, 1);
  record_line (engine->record, 'D', "%s %s", request->id, engine->id);
  return keep;
}

static void *
serve_connection (void *user)
{
  struct engine_connection *connection = user;
  size_t end;
  bool keep = true;

  while (keep
         && read_message (connection->fd, connection->input,
                          &connection->length, &end))
    {
      struct engine_request request = { 0 };

      parse_engine_request (connection->input, &request);
      connection->length -= end;
      memmove (connection->input, connection->input + end, connection->length);
      keep = handle_engine_request (connection, &request);
    }
  close (connection->fd);
  free (connection);
  return NULL;
}

static int
listen_on (const char *address, int port)
{
  struct sockaddr_in sin = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  sin.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, address, &sin.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&sin, sizeof sin) < 0
      || listen (fd, 128) < 0)
    abort ();
  return fd;
}

/* Arguments: address, port, instance id, record, slots, seed, faults.  */
static int
engine_main (char **argv)
{
  struct engine_process engine
      = { .id = argv[2],
          .record = open (argv[3], O_WRONLY | O_APPEND | O_CLOEXEC),
          .slots = atoi (argv[4]),
          .seed = (unsigned)atoi (argv[5]) };
  struct engine_faults *faults = &engine.faults;
  int listener = listen_on (argv[0], atoi (argv[1]));

  sscanf (argv[6], ENGINE_FAULTS_FORMAT, &faults->lose, &faults->reset,
          &faults->full, &faults->fail, &faults->hang, &faults->close,
          &faults->repeat, &faults->unframed, &faults->partial, &faults->limit,
          &faults->brittle, &faults->load, &faults->truncate, &faults->slow);
  pthread_mutex_init (&engine.lock, NULL);
  for (;;)
    {
      struct engine_connection *connection;
      pthread_t thread;
      int fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);

      if (fd < 0)
        continue;
      connection = calloc (1, sizeof *connection);
      connection->engine = &engine;
      connection->fd = fd;
      connection->seed
          = engine.seed * 7919u + atomic_fetch_add (&engine.connections, 1);
      if (pthread_create (&thread, NULL, serve_connection, connection) != 0)
        abort ();
      pthread_detach (thread);
    }
}

#endif

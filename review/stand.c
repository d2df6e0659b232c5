#include "stand.h"

static int record_fd = -1;

int64_t
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
sleep_ms (int ms)
{
  struct timespec time = { ms / 1000, ms % 1000 * 1000000L };

  while (nanosleep (&time, &time) < 0 && errno == EINTR)
    ;
}

void
record_open (const char *path)
{
  record_fd = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (record_fd < 0)
    {
      perror (path);
      exit (2);
    }
}

void
record (const char *format, ...)
{
  char line[1024];
  int n = snprintf (line, sizeof line, "%lld ", (long long)now_ms ());
  va_list args;

  va_start (args, format);
  n += vsnprintf (line + n, sizeof line - (size_t)n - 1, format, args);
  va_end (args);
  if (n > (int)sizeof line - 2)
    n = (int)sizeof line - 2;
  line[n++] = '\n';
  if (record_fd >= 0 && write (record_fd, line, (size_t)n) != n)
    exit (2);
}

bool
send_all (int fd, const void *bytes, size_t n)
{
  const char *at = bytes;

  while (n > 0)
    {
      ssize_t sent = send (fd, at, n, MSG_NOSIGNAL);

      if (sent < 0)
        return false;
      at += sent;
      n -= (size_t)sent;
    }
  return true;
}

bool
get_header (const struct message *message, const char *name, char *out,
            size_t size)
{
  size_t length = strlen (name);
  const char *line = strstr (message->bytes, "\r\n");

  *out = '\0';
  while (line != NULL && line + 2 < message->bytes + message->head)
    {
      line += 2;
      if (strncasecmp (line, name, length) == 0 && line[length] == ':')
        {
          const char *value = line + length + 1;
          size_t n;

          value += strspn (value, " \t");
          n = strcspn (value, "\r\n");
          snprintf (out, size, "%.*s", (int)n, value);
          return true;
        }
      line = strstr (line, "\r\n");
    }
  return false;
}

bool
get_query (const struct message *message, const char *name, char *out,
           size_t size)
{
  const char *end = strstr (message->bytes, " HTTP/");
  const char *at = strchr (message->bytes, '?');
  size_t length = strlen (name);
  size_t n = 0;

  *out = '\0';
  while (at != NULL && end != NULL && at < end)
    {
      at++;
      if (strncmp (at, name, length) == 0 && at[length] == '=')
        {
          for (at += length + 1; at < end && *at != '&' && n + 1 < size; at++)
            {
              char code[3] = { 0 };

              if (*at != '%')
                {
                  out[n++] = *at;
                  continue;
                }
              memcpy (code, at + 1, 2);
              out[n++] = (char)strtol (code, NULL, 16);
              at += 2;
            }
          out[n] = '\0';
          return true;
        }
      at = strchr (at, '&');
    }
  return false;
}

bool
read_request (int fd, struct message *message)
{
  if (message->bytes == NULL)
    message->bytes = malloc (MESSAGE_MAX + 1);
  message->length -= message->end;
  memmove (message->bytes, message->bytes + message->end, message->length);
  message->end = 0;
  for (;;)
    {
      char *blank;
      char text[32];
      ssize_t n;

      message->bytes[message->length] = '\0';
      blank = strstr (message->bytes, "\r\n\r\n");
      if (blank != NULL)
        {
          message->head = (size_t)(blank - message->bytes) + 4;
          get_header (message, "Content-Length", text, sizeof text);
          message->end = message->head + strtoul (text, NULL, 10);
          if (message->length >= message->end)
            return true;
        }
      if (message->length == MESSAGE_MAX)
        return false;
      n = recv (fd, message->bytes + message->length,
                MESSAGE_MAX - message->length, 0);
      if (n <= 0)
        return false;
      message->length += (size_t)n;
    }
}

int
listen_on (const char *ip, int port)
{
  struct sockaddr_in sin
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  inet_pton (AF_INET, ip, &sin.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&sin, sizeof sin) < 0
      || listen (fd, 256) < 0)
    {
      fprintf (stderr, "%s:%d: %s\n", ip, port, strerror (errno));
      exit (2);
    }
  return fd;
}

int
connect_to (const char *ip, int port, int timeout_ms)
{
  struct sockaddr_in sin
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  struct timeval limit
      = { .tv_sec = timeout_ms / 1000, .tv_usec = timeout_ms % 1000 * 1000 };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int one = 1;

  inet_pton (AF_INET, ip, &sin.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (connect (fd, (struct sockaddr *)&sin, sizeof sin) == 0)
    return fd;
  close (fd);
  return -1;
}

void
serve (int listener, void *(*handle) (void *fd))
{
  for (;;)
    {
      pthread_t thread;
      int one = 1;
      int fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);

      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      if (pthread_create (&thread, NULL, handle, (void *)(intptr_t)fd) != 0)
        exit (2);
      pthread_detach (thread);
    }
}

int
store_call (const char *ip, int port, const char *body)
{
  char head[256];
  char answer[64] = "";
  int fd = connect_to (ip, port, 1000);
  int status = 0;
  ssize_t n;

  if (fd < 0)
    return 0;
  snprintf (head, sizeof head,
            "POST /v1/rows-tx HTTP/1.1\r\nHost: store\r\nConnection: close\r\n"
            "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
            strlen (body));
  if (send_all (fd, head, strlen (head)) && send_all (fd, body, strlen (body))
      && (n = recv (fd, answer, sizeof answer - 1, 0)) > 12)
    status = atoi (answer + 9);
  close (fd);
  return status;
}

static void
encode_base64 (const char *text, char *out)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrst"
                               "uvwxyz0123456789+/";
  size_t n = strlen (text);

  for (size_t i = 0; i < n; i += 3)
    {
      unsigned long bits = (unsigned long)(unsigned char)text[i] << 16;

      if (i + 1 < n)
        bits |= (unsigned long)(unsigned char)text[i + 1] << 8;
      if (i + 2 < n)
        bits |= (unsigned char)text[i + 2];
      *out++ = digits[bits >> 18 & 63];
      *out++ = digits[bits >> 12 & 63];
      *out++ = i + 1 < n ? digits[bits >> 6 & 63] : '=';
      *out++ = i + 2 < n ? digits[bits & 63] : '=';
    }
  *out = '\0';
}

bool
store_put (const char *ip, int port, const char *table, const char *key,
           const char *value)
{
  static char encoded[128 * 1024];
  static char body[160 * 1024];

  if (value == NULL)
    snprintf (body, sizeof body,
              "{\"Expected\":[],\"SetKeys\":[],\"Remove\":[{\"Table\":\"%s\","
              "\"part\":\"\",\"Key\":\"%s\"}]}",
              table, key);
  else
    {
      encode_base64 (value, encoded);
      snprintf (body, sizeof body,
                "{\"Expected\":[],\"Remove\":[],\"SetKeys\":[{\"Table\":"
                "\"%s\",\"part\":\"\",\"Key\":\"%s\",\"Value\":\"%s\"}]}",
                table, key, encoded);
    }
  return store_call (ip, port, body) == 200;
}

pid_t
start_program (const char *log, char *const *argv, char *const *environment)
{
  static char *const none[] = { NULL };
  pid_t pid = fork ();

  if (pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      execve (argv[0], argv, environment != NULL ? environment : none);
      _exit (127);
    }
  return pid;
}

void
signal_child (pid_t pid, int signal)
{
  if (pid <= 0)
    return;
  kill (pid, signal);
  if (signal == SIGKILL)
    waitpid (pid, NULL, 0);
}

/* hostile_crowd - a number of clients that send to one port of a process
   without reading responses, and the memory and open descriptors of that
   process meanwhile.

   A client sends a head and then a pattern, repeated up to a number of bytes,
   and stays connected.  A client whose connection is closed connects and sends
   once more.  The crowd has one source address; callers should use another. */

#ifndef HOSTILE_CROWD_H
#define HOSTILE_CROWD_H

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <glib.h>

#define CROWD_BLOCK 65536 /* bytes, sent at once */
#define CROWD_TRIES 2     /* connections of each client */
/* Without a byte accepted and without a connection closed for so long, the
   crowd has sent what it can.  */
#define CROWD_SETTLED_MS 400
#define CROWD_MAX_MS 60000
#define CROWD_SAMPLE_MS 20

struct crowd_form
{
  const char *name;
  int clients;
  /* "%s" once for the target; a second one is replaced by the request id.  */
  const char *head;
  const char *pattern; /* NULL: "x" */
  size_t bytes;        /* after the head */
  unsigned repeats;    /* the head is sent so often; 0: once */
  size_t step;         /* bytes of one send; 0: as many as fit */
  int pause_ms;        /* after each send */
  bool reads;          /* reads responses */
};

struct crowd_door
{
  const char *name;
  const char *address;
  int port;
  const char *target;
};

struct crowd_client
{
  char *id;
  GString *got; /* of a client that reads; at most 512 bytes */
  int64_t next_ms;
  size_t sent; /* bytes after the head */
  size_t head_sent;
  char *head;
  int fd; /* -1: closed */
  int tries;
};

struct crowd
{
  const struct crowd_form *form;
  const struct crowd_door *door;
  const char *source; /* address */
  struct crowd_client *clients;
  char *block; /* of the pattern */
  size_t block_bytes;
  size_t pattern_bytes;
  size_t bytes; /* that each client sends after the head */
  pid_t pid;    /* of the process under test */
  int fds;      /* most open descriptors seen */
};

static int64_t
crowd_now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

/* Largest resident set so far, kB; 0 when the process is gone.  */
static inline long
process_peak_kb (pid_t pid)
{
  char *path = g_strdup_printf ("/proc/%d/status", (int)pid);
  char *text = NULL;
  const char *line;
  long kb = 0;

  if (g_file_get_contents (path, &text, NULL, NULL))
    {
      line = strstr (text, "VmHWM:");
      kb = line != NULL ? strtol (line + strlen ("VmHWM:"), NULL, 10) : 0;
    }
  g_free (text);
  g_free (path);
  return kb;
}

/* The peak counts from now on.  */
static inline void
process_reset_peak (pid_t pid)
{
  char *path = g_strdup_printf ("/proc/%d/clear_refs", (int)pid);
  FILE *file = fopen (path, "w");

  if (file != NULL)
    {
      fputs ("5", file);
      fclose (file);
    }
  g_free (path);
}

static inline int
process_fds (pid_t pid)
{
  char *path = g_strdup_printf ("/proc/%d/fd", (int)pid);
  DIR *dir = opendir (path);
  int count = -2; /* without "." and ".." */

  while (dir != NULL && readdir (dir) != NULL)
    count++;
  if (dir != NULL)
    closedir (dir);
  g_free (path);
  return count;
}

/* Returns a socket that is being connected from the address SOURCE, or -1.  */
static int
crowd_connect (const char *source, const char *address, int port, int flags)
{
  struct sockaddr_in from = { .sin_family = AF_INET };
  struct sockaddr_in to = { .sin_family = AF_INET };
  const int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | flags, 0);

  inet_pton (AF_INET, source, &from.sin_addr);
  inet_pton (AF_INET, address, &to.sin_addr);
  to.sin_port = htons ((uint16_t)port);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&from, sizeof from) == 0
      && (connect (fd, (struct sockaddr *)&to, sizeof to) == 0
          || errno == EINPROGRESS))
    return fd;
  close (fd);
  return -1;
}

static void
client_open (struct crowd *crowd, struct crowd_client *client)
{
  client->fd = crowd_connect (crowd->source, crowd->door->address,
                              crowd->door->port, SOCK_NONBLOCK);
  client->tries++;
  client->sent = 0;
  client->head_sent = 0;
  client->next_ms = 0;
}

static void
client_closed (struct crowd *crowd, struct crowd_client *client)
{
  close (client->fd);
  client->fd = -1;
  if (client->tries < CROWD_TRIES && !crowd->form->reads)
    client_open (crowd, client);
}

static bool
client_has_more (const struct crowd *crowd, const struct crowd_client *client)
{
  return client->fd >= 0
         && (client->head[client->head_sent] != '\0'
             || client->sent < crowd->bytes);
}

static ssize_t
client_write (struct crowd *crowd, struct crowd_client *client)
{
  const struct crowd_form *form = crowd->form;
  size_t head = strlen (client->head + client->head_sent);
  size_t step = form->step > 0 ? form->step : CROWD_BLOCK;
  size_t from = client->sent % crowd->pattern_bytes;
  size_t left = crowd->bytes - client->sent;
  ssize_t n;

  if (head > 0)
    n = send (client->fd, client->head + client->head_sent, MIN (head, step),
              MSG_NOSIGNAL);
  else
    n = send (client->fd, crowd->block + from, MIN (left, step), MSG_NOSIGNAL);
  if (n > 0 && head > 0)
    client->head_sent += (size_t)n;
  else if (n > 0)
    client->sent += (size_t)n;
  client->next_ms = crowd_now_ms () + form->pause_ms;
  return n;
}

static void
client_read (struct crowd *crowd, struct crowd_client *client)
{
  char bytes[4096];
  ssize_t n = recv (client->fd, bytes, sizeof bytes, 0);

  if (n > 0 && client->got->len < 512)
    g_string_append_len (client->got, bytes, MIN (n, 512));
  if (n == 0 || (n < 0 && errno != EAGAIN))
    client_closed (crowd, client);
}

/* Returns whether anything moved.  */
static bool
client_step (struct crowd *crowd, struct crowd_client *client, short events)
{
  if (crowd->form->reads && (events & POLLIN) != 0)
    {
      client_read (crowd, client);
      return true;
    }
  if ((events & (POLLERR | POLLHUP | POLLRDHUP)) != 0)
    {
      client_closed (crowd, client);
      return true;
    }
  if ((events & POLLOUT) == 0)
    return false;
  return client_write (crowd, client) > 0;
}

static bool
crowd_step (struct crowd *crowd, struct pollfd *polls, bool *has_more)
{
  int count = crowd->form->clients;
  int64_t now = crowd_now_ms ();
  bool moved = false;

  *has_more = false;
  for (int i = 0; i < count; i++)
    {
      struct crowd_client *client = &crowd->clients[i];
      bool more = client_has_more (crowd, client);

      polls[i].fd = client->fd;
      polls[i].events = POLLRDHUP;
      if (crowd->form->reads)
        polls[i].events |= POLLIN;
      if (more && client->next_ms <= now)
        polls[i].events |= POLLOUT;
      *has_more = *has_more || more || (crowd->form->reads && client->fd >= 0);
    }
  poll (polls, (nfds_t)count, 5);
  for (int i = 0; i < count; i++)
    if (polls[i].fd >= 0 && polls[i].revents != 0)
      moved
          = client_step (crowd, &crowd->clients[i], polls[i].revents) || moved;
  return moved;
}

/* Sends until the crowd has nothing more to send or is not read from.  */
static void
crowd_run (struct crowd *crowd)
{
  struct pollfd *polls = g_new0 (struct pollfd, (gsize)crowd->form->clients);
  int64_t began = crowd_now_ms ();
  int64_t moved = began;
  int64_t sampled = 0;
  int settled_ms = CROWD_SETTLED_MS + 2 * crowd->form->pause_ms;
  bool has_more = true;

  while (crowd_now_ms () < MIN (moved + settled_ms, began + CROWD_MAX_MS))
    {
      if (crowd_step (crowd, polls, &has_more))
        moved = crowd_now_ms ();
      if (crowd_now_ms () < sampled + CROWD_SAMPLE_MS)
        continue;
      sampled = crowd_now_ms ();
      crowd->fds = MAX (crowd->fds, process_fds (crowd->pid));
    }
  g_free (polls);
}

static char *
crowd_head (const struct crowd *crowd, const char *id)
{
  char **parts = g_strsplit (crowd->form->head, "%s", 3);
  guint n = g_strv_length (parts);
  char *head = g_strconcat (
      n > 0 ? parts[0] : "", n > 1 ? crowd->door->target : "",
      n > 1 ? parts[1] : "", n > 2 ? id : "", n > 2 ? parts[2] : "", NULL);

  g_strfreev (parts);
  return head;
}

static void
crowd_fill (struct crowd *crowd)
{
  const struct crowd_form *form = crowd->form;
  char *head = crowd_head (crowd, "again");
  const char *pattern = form->pattern != NULL ? form->pattern : "x";

  crowd->bytes = form->bytes;
  if (form->repeats > 0)
    {
      pattern = head;
      crowd->bytes = (form->repeats - 1) * strlen (head);
    }
  crowd->pattern_bytes = strlen (pattern);
  crowd->block_bytes = CROWD_BLOCK + crowd->pattern_bytes;
  crowd->block = g_malloc (crowd->block_bytes);
  for (size_t i = 0; i < crowd->block_bytes; i++)
    crowd->block[i] = pattern[i % crowd->pattern_bytes];
  g_free (head);
}

static void
crowd_begin (struct crowd *crowd)
{
  const struct crowd_form *form = crowd->form;

  crowd_fill (crowd);
  crowd->clients = g_new0 (struct crowd_client, (gsize)form->clients);
  for (int i = 0; i < form->clients; i++)
    {
      struct crowd_client *client = &crowd->clients[i];

      client->id = g_strdup_printf ("hostile-%d", i);
      client->got = g_string_new (NULL);
      client->head = crowd_head (crowd, client->id);
      client_open (crowd, client);
    }
}

static void
crowd_end (struct crowd *crowd)
{
  for (int i = 0; i < crowd->form->clients; i++)
    {
      struct crowd_client *client = &crowd->clients[i];

      if (client->fd >= 0)
        close (client->fd);
      g_free (client->head);
      g_free (client->id);
      g_string_free (client->got, TRUE);
    }
  g_free (crowd->clients);
  g_free (crowd->block);
}

#endif

/* cut_paths - preloaded into a node's process: cuts its paths to the backend
   servers, at port CUT_PORT, while the file CUT_FILE exists.

   New connections hang: they go to CUT_SINK, an address that answers no
   connection, or are refused if there is none.  Connections that are used
   meanwhile are silent from then on, as if something between the two ends had
   lost track of them.  */

#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#define FDS_MAX 4096

static bool silent[FDS_MAX];

static bool
is_cut (void)
{
  const char *path = getenv ("CUT_FILE");

  return path != NULL && access (path, F_OK) == 0;
}

static bool
is_server (const struct sockaddr_in *sin)
{
  const char *port = getenv ("CUT_PORT");

  return port != NULL && sin->sin_family == AF_INET
         && ntohs (sin->sin_port) == atoi (port);
}

static bool
is_silent (int fd)
{
  struct sockaddr_in sin = { 0 };
  socklen_t length = sizeof sin;

  if (fd < 0 || fd >= FDS_MAX)
    return false;
  if (!silent[fd] && is_cut ()
      && getpeername (fd, (struct sockaddr *)&sin, &length) == 0)
    silent[fd] = is_server (&sin);
  return silent[fd];
}

int
connect (int fd, const struct sockaddr *address, socklen_t length)
{
  static int (*next) (int, const struct sockaddr *, socklen_t);
  struct sockaddr_in sin;
  const char *sink = getenv ("CUT_SINK");

  if (next == NULL)
    next = (int (*) (int, const struct sockaddr *, socklen_t))dlsym (
        RTLD_NEXT, "connect");
  if (length < sizeof sin)
    return next (fd, address, length);
  memcpy (&sin, address, sizeof sin);
  if (!is_server (&sin) || !is_cut ())
    return next (fd, address, length);
  if (sink == NULL)
    {
      errno = ECONNREFUSED;
      return -1;
    }
  inet_pton (AF_INET, sink, &sin.sin_addr);
  return next (fd, (struct sockaddr *)&sin, sizeof sin);
}

ssize_t
send (int fd, const void *bytes, size_t n, int flags)
{
  static ssize_t (*next) (int, const void *, size_t, int);

  if (next == NULL)
    next = (ssize_t (*) (int, const void *, size_t, int))dlsym (RTLD_NEXT,
                                                                "send");
  return is_silent (fd) ? (ssize_t)n : next (fd, bytes, n, flags);
}

ssize_t
recv (int fd, void *bytes, size_t n, int flags)
{
  static ssize_t (*next) (int, void *, size_t, int);
  ssize_t got;

  if (next == NULL)
    next = (ssize_t (*) (int, void *, size_t, int))dlsym (RTLD_NEXT, "recv");
  got = next (fd, bytes, n, flags);
  if (got <= 0 || !is_silent (fd))
    return got;
  errno = EAGAIN;
  return -1;
}

int
close (int fd)
{
  static int (*next) (int);

  if (next == NULL)
    next = (int (*) (int))dlsym (RTLD_NEXT, "close");
  if (fd >= 0 && fd < FDS_MAX)
    silent[fd] = false;
  return next (fd);
}

#include "peeraddr.h"

#include <errno.h>
#include <netdb.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <glib.h>
#include "netaddr.h"

#define BACKLOG 64

/* 0, which leaves the choice to the kernel, is one to listen on.  */
static bool
is_port (const char *text)
{
  return strcmp (text, "0") == 0 || netaddr_is_port (text);
}

/* Parses a numeric IP:port or [IP]:port; free with freeaddrinfo.  NULL if
   invalid.  */
static struct addrinfo *
parse_address (const char *address)
{
  struct addrinfo hints = { .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV,
                            .ai_socktype = SOCK_STREAM };
  struct addrinfo *found = NULL;
  const char *colon = strrchr (address, ':');
  char *host;
  size_t length;

  /* getaddrinfo cuts larger ports to 16 bits.  */
  if (colon == NULL || !is_port (colon + 1))
    return NULL;
  length = (size_t)(colon - address);
  host = address[0] == '[' && length > 2 ? g_strndup (address + 1, length - 2)
                                         : g_strndup (address, length);
  if (getaddrinfo (host, colon + 1, &hints, &found) != 0)
    found = NULL;
  g_free (host);
  return found;
}

bool
peeraddr_valid (const char *address)
{
  struct addrinfo *found = parse_address (address);

  if (found == NULL)
    return false;
  freeaddrinfo (found);
  return true;
}

int
peeraddr_connect (const char *address)
{
  struct addrinfo *target = parse_address (address);
  int fd;

  if (target == NULL)
    return -1;
  fd = socket (target->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
               0);
  if (fd >= 0 && connect (fd, target->ai_addr, target->ai_addrlen) < 0
      && errno != EINPROGRESS)
    {
      close (fd);
      fd = -1;
    }
  freeaddrinfo (target);
  return fd;
}

int
peeraddr_listen (const char *host, uint16_t port)
{
  char *address = g_strdup_printf (
      strchr (host, ':') != NULL ? "[%s]:%u" : "%s:%u", host, port);
  struct addrinfo *bound = parse_address (address);
  int one = 1;
  int fd = -1;

  g_free (address);
  errno = EINVAL;
  if (bound == NULL)
    return -1;
  fd = socket (bound->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
               0);
  if (fd >= 0)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (fd >= 0
      && (bind (fd, bound->ai_addr, bound->ai_addrlen) < 0
          || listen (fd, BACKLOG) < 0))
    {
      int error = errno;

      close (fd);
      errno = error;
      fd = -1;
    }
  freeaddrinfo (bound);
  return fd;
}

char *
peeraddr_bound (int fd)
{
  struct sockaddr_storage bound = { 0 };
  socklen_t size = sizeof bound;
  char host[NI_MAXHOST] = "";
  char port[NI_MAXSERV] = "";

  getsockname (fd, (struct sockaddr *)&bound, &size);
  getnameinfo ((struct sockaddr *)&bound, size, host, sizeof host, port,
               sizeof port, NI_NUMERICHOST | NI_NUMERICSERV);
  return g_strdup_printf (bound.ss_family == AF_INET6 ? "[%s]:%s" : "%s:%s",
                          host, port);
}

#include "listen.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 1024

static void
set_options (int fd, bool share)
{
  const int one = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  if (share)
    setsockopt (fd, SOL_SOCKET, SO_REUSEPORT, &one, sizeof one);
}

static int
bind_and_listen (int fd, struct sockaddr_in *address)
{
  socklen_t length = sizeof *address;

  if (bind (fd, (struct sockaddr *)address, sizeof *address) < 0
      || listen (fd, BACKLOG) < 0
      || getsockname (fd, (struct sockaddr *)address, &length) < 0)
    return -errno;
  return 0;
}

int
listen_tcp (const char *address, uint16_t *port, bool share)
{
  struct sockaddr_in socket_address = { .sin_family = AF_INET };
  int fd;
  int err;

  socket_address.sin_port = htons (*port);
  if (inet_pton (AF_INET, address, &socket_address.sin_addr) != 1)
    return -EINVAL;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -errno;
  set_options (fd, share);
  err = bind_and_listen (fd, &socket_address);
  if (err < 0)
    {
      close (fd);
      return err;
    }
  *port = ntohs (socket_address.sin_port);
  return fd;
}

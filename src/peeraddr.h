/* peeraddr - sockets for numeric addresses, IP:port or [IP]:port.

   All descriptors are non-blocking and closed on exec.  */

#ifndef PARSLEYRILL_PEERADDR_H
#define PARSLEYRILL_PEERADDR_H

#include <stdbool.h>
#include <stdint.h>

bool peeraddr_valid (const char *address);

/* A socket that is connecting; -1 and errno on failure.  */
int peeraddr_connect (const char *address);

/* A listening socket; -1 and errno on failure.  */
int peeraddr_listen (const char *host, uint16_t port);

/* The address that FD is bound to; free with g_free.  */
char *peeraddr_bound (int fd);

#endif

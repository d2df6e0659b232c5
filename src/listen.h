/* listen - listening TCP sockets.  */

#ifndef PARSLEYRILL_LISTEN_H
#define PARSLEYRILL_LISTEN_H

#include <stdbool.h>
#include <stdint.h>

/* Returns a non-blocking socket that listens on the IPv4 address ADDRESS and
   *PORT, or a negative errno; -EINVAL when ADDRESS is invalid.  When *PORT is
   0 the operating system chooses a port and *PORT is set to it.  SHARE: other
   sockets may listen on the same port (SO_REUSEPORT).  */
int listen_tcp (const char *address, uint16_t *port, bool share);

#endif

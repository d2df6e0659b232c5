/* netaddr - syntax of network addresses that other programs tell.

   Pure functions, any thread.  */

#ifndef PARSLEYRILL_NETADDR_H
#define PARSLEYRILL_NETADDR_H

#include <stdbool.h>

/* Whether TEXT is a port, 1 to 65535, in decimal digits.  */
bool netaddr_is_port (const char *text);

/* Whether TEXT is IP:PORT, with an IPv4 address in dotted decimal.  */
bool netaddr_is_server (const char *text);

#endif

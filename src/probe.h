/* probe - checks whether some process still listens at an address, by opening
   TCP connections.

   A process that is dying closes its descriptors one after the other, so a
   connection must last for PROBE_SETTLE_MS; one that does not is tried again.

   Single-threaded.  */

#ifndef PARSLEYRILL_PROBE_H
#define PARSLEYRILL_PROBE_H

#include <stdbool.h>
#include <stdint.h>
#include "loop.h"

#define PROBE_TIMEOUT_MS 200
#define PROBE_SETTLE_MS 20
#define PROBE_CONNECTIONS_MAX 3

struct probe
{
  struct loop_watch watch;
  struct loop_timer timer;
  struct loop *loop; /* NULL: not in progress */
  char address[16];
  uint16_t port;
  unsigned connections;
  /* Called once.  REFUSED: nobody listens there; false also if that could not
     be found out in time.  */
  void (*done) (struct probe *probe, bool refused);
};

/* PROBE stays owned by the caller, and must stay valid until DONE or
   probe_cancel.  DONE is not called before this returns.  ADDRESS: IPv4.  */
void probe_start (struct probe *probe, struct loop *loop, const char *address,
                  uint16_t port,
                  void (*done) (struct probe *probe, bool refused));

/* Without effect if PROBE is not in progress.  */
void probe_cancel (struct probe *probe);

#endif

/* node - a node of the system: core, services and traffic threads.

   The thread that calls node_run is the control thread; all calls come from
   it.  */

#ifndef PARSLEYRILL_NODE_H
#define PARSLEYRILL_NODE_H

#include "loop.h"
#include "settings.h"

struct node;

/* Binds the ports and starts all services and threads.  SETTINGS is borrowed
   until node_free.  0 and *OUT, or a negative errno.  */
int node_new (const struct settings *settings, struct node **out);

/* Runs until a graceful shutdown has finished or node_stop is called.  */
void node_run (struct node *node);

/* Starts a graceful shutdown: lookups no longer return this node; requests are
   served until the lookup answers have expired and the last request has
   finished.  A second call does nothing.  */
void node_drain (struct node *node);

/* Makes node_run return at once; open requests are aborted.  */
void node_stop (struct node *node);

struct loop *node_loop (struct node *node);
void node_free (struct node *node);

#endif

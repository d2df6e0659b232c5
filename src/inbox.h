/* inbox - connects the control thread with the traffic threads.

   A service of the control thread, registered as "inbox".  It starts and stops
   the traffic threads, posts their messages as KERNEL_TRAFFIC_MESSAGE and
   sends responses to them.  */

#ifndef PARSLEYRILL_INBOX_H
#define PARSLEYRILL_INBOX_H

#include "kernel.h"
#include "msg.h"

#define INBOX_NAME "inbox"

struct inbox;
struct traffic;

/* TRAFFIC is borrowed; its sockets are bound already, its threads are not
   started yet.  */
struct service *inbox_new (struct traffic *traffic);
void inbox_free (struct service *service);
struct inbox *inbox_find (struct kernel *kernel);

/* Takes ownership of MSG and sends it to the thread MSG->thread.  */
void inbox_send (struct inbox *inbox, struct msg *msg);

#endif

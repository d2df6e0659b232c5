/* inbox - the control thread's end of the traffic threads.

   A service of the control thread, "inbox": owns the traffic threads, posts
   their messages as KERNEL_TRAFFIC_MESSAGE and sends answers back.  */

#ifndef PARSLEYRILL_INBOX_H
#define PARSLEYRILL_INBOX_H

#include "kernel.h"
#include "msg.h"

#define INBOX_NAME "inbox"

struct inbox;
struct traffic;

/* TRAFFIC is borrowed and already bound; the service starts and stops its
   threads.  */
struct service *inbox_new (struct traffic *traffic);
void inbox_free (struct service *service);
struct inbox *inbox_find (struct kernel *kernel);

/* MSG passes to the module; it goes to the thread it names.  */
void inbox_send (struct inbox *inbox, struct msg *msg);

#endif

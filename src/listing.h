/* listing - what the platform's store tells: the configuration in force, the
   backend servers, and the other nodes of this system.

   A service, "listing": lists the tables once and watches them afterwards.
   After a gap in the history it lists again.  While the store cannot be
   reached all that was known stays; servers that vanish from the list soon
   after an outage are kept until they have had time to be listed again.

   Posts KERNEL_SITE (struct site) and KERNEL_SERVERS (NULL), and for the
   decider KERNEL_ENTRY (struct server_entry) and KERNEL_DROPPED (id).  One
   thread.  */

#ifndef PARSLEYRILL_LISTING_H
#define PARSLEYRILL_LISTING_H

#include "catalog.h"
#include "kernel.h"
#include "servers.h"
#include "site.h"

#define LISTING_NAME "listing"

struct listing;

struct listing_options
{
  const struct catalog *catalog; /* borrowed */
};

struct service *listing_new (const struct listing_options *options);
void listing_free (struct service *service);
struct listing *listing_find (struct kernel *kernel);

/* NULL until one is known; borrowed until the next KERNEL_SITE.  */
struct site *listing_site (const struct listing *listing);
struct servers *listing_servers (const struct listing *listing);

#endif

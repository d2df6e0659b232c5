/* listing - what the platform's store tells: the configuration in force, the
   backend servers, and the other nodes of this system.

   A service, "listing": lists the tables once and watches them afterwards.
   After a gap in the history it lists again.  While the store cannot be
   reached all that was known stays; servers that vanish from the list soon
   after an outage are kept until they have had time to be listed again.

   While the decider of the engines tells what it lists, and has asked the
   store lately, the other nodes do not ask the store themselves.

   Posts KERNEL_SITE_CHANGED (struct site) and KERNEL_SERVERS_CHANGED (NULL),
   and for the decider KERNEL_SERVER_LISTED (struct server_entry) and
   KERNEL_SERVER_REMOVED (id).  One thread.  */

#ifndef PARSLEYRILL_LISTING_H
#define PARSLEYRILL_LISTING_H

#include <stdint.h>
#include "catalog.h"
#include "kernel.h"
#include "servers.h"
#include "site.h"

#define LISTING_NAME "listing"

/* What another node listed is relied on until it is so old.  */
#define LISTING_PEER_LIST_TTL_MS 1200

struct listing;

struct listing_options
{
  const struct catalog *catalog; /* borrowed */
};

struct service *listing_new (const struct listing_options *options);
void listing_free (struct service *service);
struct listing *listing_find (struct kernel *kernel);

/* NULL until one is known; borrowed until the next KERNEL_SITE_CHANGED.  */
struct site *listing_site (const struct listing *listing);
/* What it was made from; NULL until then.  */
const char *listing_config (const struct listing *listing);
/* CONFIG as another node got it from the platform: put in force if newer.  */
void listing_apply_config (struct listing *listing, const char *config);
struct servers *listing_servers (const struct listing *listing);

/* Milliseconds since the servers were listed as they are known here.  */
int64_t listing_age_ms (const struct listing *listing);

/* The decider's word of what it lists: begin, each server, end.  AGE_MS is the
   age of its list, VERSION that of its configuration.  */
void listing_peer_list_begin (struct listing *listing, int64_t age_ms,
                              uint64_t version);
void listing_peer_list_add (struct listing *listing,
                            const struct peer_replica *server);
void listing_peer_list_end (struct listing *listing);

/* This node asks the store itself from now on.  */
void listing_ask_store (struct listing *listing);

#endif

/* listing - this node's copy of the platform's store: the configuration in
   force, the backend servers, and the other nodes of this system.

   A service of the kernel, "listing".  It lists each table once and then
   watches it, and lists again when the watch reports that history was
   compacted.  While the store is unreachable, the last known state is kept.
   Servers that disappear from the list soon after an outage are kept until
   they have had time to register again.

   The decider, the node that holds the lease on the engines, publishes its own
   list of servers.  While that list is fresh the other nodes do not query the
   store themselves.

   Posts KERNEL_SITE_CHANGED (struct site) and KERNEL_SERVERS_CHANGED (NULL),
   and for the decider KERNEL_SERVER_LISTED (struct server_entry) and
   KERNEL_SERVER_REMOVED (id).  One thread.  */

#ifndef PARSLEYRILL_LISTING_H
#define PARSLEYRILL_LISTING_H

#include <stdint.h>
#include <glib.h>
#include "catalog.h"
#include "kernel.h"
#include "servers.h"
#include "site.h"

#define LISTING_NAME "listing"

/* Maximum age of a list published by the decider.  It publishes one after each
   watch of the table, which takes 1 s while nothing changes.  */
#define LISTING_PEER_LIST_TTL_MS 1400

struct listing;

struct listing_options
{
  const struct catalog *catalog; /* borrowed */
};

struct service *listing_new (const struct listing_options *options);
void listing_free (struct service *service);
struct listing *listing_find (struct kernel *kernel);

/* The configuration in force; NULL until one is known; borrowed until the next
   KERNEL_SITE_CHANGED.  */
struct site *listing_site (const struct listing *listing);
/* The text that listing_site was parsed from; NULL until one is known.  */
const char *listing_config (const struct listing *listing);
/* Applies the configuration CONFIG, received from another node, if it is
   newer.  */
void listing_apply_config (struct listing *listing, const char *config);
/* Whether the configuration in force came from another node.  */
bool listing_config_from_peer (const struct listing *listing);
/* Time since the configuration was put in force; -1: none is.  */
int64_t listing_config_in_force_ms (const struct listing *listing);
/* Time since the store last answered this node about the configuration; -1: it
   has not.  */
int64_t listing_config_read_ms (const struct listing *listing);
/* Whether no other configuration than the one in force here has been the
   newest for more than WITHIN_MS, as far as this node knows.  */
bool listing_config_is_current (const struct listing *listing,
                                int64_t within_ms);
/* Whether the configuration must not be used for what a newer one may forbid,
   see confwatch_is_outdated.  */
bool listing_config_is_outdated (const struct listing *listing,
                                 int64_t within_ms);
/* The names of the nodes in the table, char *; NULL: it was not listed yet;
   borrowed until the next event.  */
const GPtrArray *listing_nodes (const struct listing *listing);
struct servers *listing_servers (const struct listing *listing);

/* A response of server ID to this node said this about the server.  */
void listing_server_notice (struct listing *listing, const char *id,
                            const struct backend_notice *notice);

/* Age of the list of servers: the store's or the decider's, whichever is
   newer.  */
int64_t listing_age_ms (const struct listing *listing);
/* Whether the list of servers has all that were there at SINCE.  */
bool listing_is_complete (const struct listing *listing,
                          struct timespec since);
/* Whether the store did not answer this node lately, while the node ran.  */
bool listing_store_is_away (const struct listing *listing);
/* Age of what the store told this node of the configuration, see
   confwatch.h.  */
int64_t listing_config_age_ms (const struct listing *listing);
/* Ages of the decider's list and of its word on the configuration, for a node
   that passes them on.  */
int64_t listing_peer_age_ms (const struct listing *listing);
int64_t listing_peer_config_age_ms (const struct listing *listing);

/* Version of the list of servers in the store; 0: unknown.  */
uint64_t listing_version (const struct listing *listing);

/* Describes a list of servers published by the decider.  */
struct listing_peer_info
{
  int64_t age_ms;
  uint64_t config_version; /* of the decider's configuration */
  int64_t config_age_ms;   /* of what the decider knows of that; 0: unknown */
  /* Of the list in the store, where this node continues the watch when the
     decider falls silent; 0: unknown.  */
  uint64_t list_version;
  uint64_t list_era; /* of the store, when the decider read that version */
};

/* The list of servers published by the decider: begin, each server, end.  */
void listing_peer_list_begin (struct listing *listing,
                              const struct listing_peer_info *info);
void listing_peer_list_add (struct listing *listing,
                            const struct peer_replica *server);
void listing_peer_list_end (struct listing *listing);

/* Changes of that list: update, then add or remove for each server that
   changed.  Returns false if the whole list is needed first.  */
bool listing_peer_list_update (struct listing *listing,
                               const struct listing_peer_info *info);
void listing_peer_list_remove (struct listing *listing, const char *id);

/* This node becomes the decider: forgets what the former one told, and lists
   the servers in the store, with what they hold.  */
void listing_start_publishing (struct listing *listing);
void listing_stop_publishing (struct listing *listing);

#endif

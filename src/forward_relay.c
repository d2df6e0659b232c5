#include <string.h>
#include "counter.h"
#include "forward_state.h"
#include "ts.h"

/* Requests of this node in progress at one other node.  */
#define RELAYED_PER_PEER_MAX 64
#define CUT_OFF_RETRY_MS 500 /* time for the paths to be back */
#define PEER_TRIES_MAX 4     /* nodes that reject one request */
/* Prefix of the ids of nodes where servers and nodes share a table.  */
#define PEER_PREFIX "node/"

void
forward_set_relayed (struct forward *forward)
{
  forward->relayed
      = httpd_header (forward->request, CALLER_RELAY_HEADER) != NULL;
}

struct cutoff *
forward_cutoff (const struct forward *forward)
{
  return gateway_cutoff (forward->gateway, forward->service->name);
}

bool
forward_is_peer (const struct forward *forward,
                 const struct route_engine *engine)
{
  return g_hash_table_contains (forward->gateway->peers, engine->id);
}

/* The entry of NODE, borrowed.  A node that was replaced has another
   address.  */
static struct route_engine *
peer_entry (struct gateway *gateway, const struct route_node *node)
{
  char *id = g_strconcat (PEER_PREFIX, node->id, NULL);
  struct route_engine *peer = g_hash_table_lookup (gateway->peers, id);

  if (peer == NULL || strcmp (peer->address, node->address) != 0)
    {
      peer = route_engine_new (id, node->address, node->zone, "");
      g_hash_table_replace (gateway->peers, g_strdup (id), peer);
    }
  g_free (id);
  return peer;
}

static bool
was_tried (const struct forward *forward, const char *id)
{
  for (size_t i = 0; i < forward->tried_count; i++)
    if (strcmp (forward->tried[i], id) == 0)
      return true;
  return forward->call != NULL && strcmp (forward->engine->id, id) == 0;
}

static unsigned
peers_tried (const struct forward *forward)
{
  unsigned count = 0;

  for (size_t i = 0; i < forward->tried_count; i++)
    count += g_str_has_prefix (forward->tried[i], PEER_PREFIX);
  return count;
}

/* The node with the fewest requests of this one.  */
struct route_engine *
forward_pick_peer (struct forward *forward)
{
  struct gateway *gateway = forward->gateway;
  struct timespec now = forward_now (forward);
  struct route_engine *best = NULL;
  struct route_node *nodes;
  size_t count;

  if (forward->relayed || forward->dispatches >= FORWARD_DISPATCHES_MAX
      || peers_tried (forward) >= PEER_TRIES_MAX)
    return NULL;
  nodes = links_routable_nodes (gateway->links, &count);
  for (size_t i = 0; i < count; i++)
    {
      struct route_engine *peer;

      if (strcmp (nodes[i].id, gateway->core->node) == 0
          || nodes[i].address == NULL
          || !links_connected (gateway->links, nodes[i].id))
        continue;
      peer = peer_entry (gateway, &nodes[i]);
      if (peer->inflight < RELAYED_PER_PEER_MAX
          && !was_tried (forward, peer->id)
          && (best == NULL || peer->inflight < best->inflight)
          && !reach_backing_off (gateway->reach, peer->id, now))
        best = peer;
    }
  route_nodes_free (nodes, count);
  return best != NULL ? route_engine_ref (best) : NULL;
}

bool
forward_relay (struct forward *forward)
{
  struct route_engine *peer = forward_pick_peer (forward);
  size_t nodes;

  links_members (forward->gateway->links, &nodes);
  if (peer == NULL && !forward->relayed && nodes < 2)
    return false;
  if (peer == NULL)
    {
      forward->unreached = forward->relayed;
      forward_fail (forward, "no server is reached from this node",
                    CUT_OFF_RETRY_MS);
      return true;
    }
  counter_add (COUNTER_RELAYED, 1);
  forward->explanation = (struct pick_explanation){ .reason = PICK_NONE };
  forward_dispatch (forward, peer);
  return true;
}

/* 503 and the like mean that the request did not run.  */
static bool
is_rejection (long status)
{
  return status == 408 || status == 429 || status == 503;
}

/* A node that does not reach the servers either is avoided for a while.  */
void
forward_on_peer_answer (struct forward *forward,
                        const struct forward_peer_answer *answer)
{
  long status = answer->status;

  if (is_rejection (status))
    {
      struct route_engine *peer;

      if (answer->unreached)
        reach_connect_failed (forward->gateway->reach, forward->engine->id,
                              forward_now (forward));
      forward->count--;
      forward_mark_tried (forward);
      peer = forward->request != NULL ? forward_pick_peer (forward) : NULL;
      if (peer != NULL)
        forward_dispatch (forward, peer);
      else
        forward_fail (forward, "no other node takes the request",
                      MAX (answer->retry_ms, CUT_OFF_RETRY_MS));
    }
  else if (status == 404)
    {
      /* The node has another version of the configuration, and has not sent
         the request anywhere.  */
      forward->count--;
      forward_fail (forward, "no other node has the route", CUT_OFF_RETRY_MS);
    }
  else
    forward_refuse (forward, status == 504 ? 504 : 502,
                    "the node that took the request has failed", 0);
}

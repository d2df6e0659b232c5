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
  const char *text = httpd_header (forward->request, CALLER_RELAY_HEADER);
  struct relay_note *note = &forward->origin_note;

  forward->relayed = text != NULL;
  relay_parse (text, note);
  if (!note->counts)
    return;
  forward->sendings_elsewhere = note->sendings;
  forward->tried_elsewhere
      = note->tried != NULL ? g_ptr_array_ref (note->tried) : NULL;
}

bool
forward_versions_differ (const struct forward *forward)
{
  uint64_t version = forward->origin_note.config;

  return version != 0 && version != forward->site->version;
}

void
forward_relay_free (struct forward *forward)
{
  relay_clear (&forward->origin_note);
  relay_clear (&forward->peer_note);
  if (forward->tried_elsewhere != NULL)
    g_ptr_array_unref (forward->tried_elsewhere);
}

size_t
forward_attempts_max (const struct forward *forward)
{
  size_t max = (size_t)MAX (forward->route->max_attempts, 1);

  if (forward->origin_note.counts)
    max = MIN (max, forward->origin_note.attempts);
  return MIN (max, ATTEMPT_MAX);
}

unsigned
forward_sendings (const struct forward *forward)
{
  return forward->dispatches + forward->sendings_elsewhere;
}

bool
forward_tells_origin (const struct forward *forward)
{
  return forward->origin_note.counts;
}

/* Of the node that ENGINE stands for.  */
static uint64_t
peer_protocol_of (const struct forward *forward,
                  const struct route_engine *engine)
{
  return links_protocol (forward->gateway->links,
                         engine->id + strlen (PEER_PREFIX));
}

/* Whether the node that ENGINE stands for counts attempts.  */
static bool
peer_counts (const struct forward *forward, const struct route_engine *engine)
{
  return peer_protocol_of (forward, engine) >= RELAY_PROTOCOL;
}

bool
forward_peer_counts (const struct forward *forward)
{
  return peer_counts (forward, forward->engine);
}

bool
forward_deposits (const struct forward *forward)
{
  if (forward_tells_origin (forward))
    return false;
  return !forward->to_peer || forward_peer_counts (forward);
}

/* The servers that failed the request here and at other nodes, and the current
   one.  */
static void
collect_tried (const struct forward *forward, GPtrArray **tried)
{
  const GPtrArray *elsewhere = forward->tried_elsewhere;

  for (guint i = 0; elsewhere != NULL && i < elsewhere->len; i++)
    relay_add_tried (tried, g_ptr_array_index (elsewhere, i));
  for (size_t i = 0; i < forward->tried_count; i++)
    if (!g_str_has_prefix (forward->tried[i], PEER_PREFIX))
      relay_add_tried (tried, forward->tried[i]);
  if (forward->engine != NULL && !forward->to_peer)
    relay_add_tried (tried, forward->engine->id);
}

/* The node may make one attempt, so that this one knows how many were made
   whatever happens to that node.  The dispatch to it is no sending.  */
char *
forward_relay_header (const struct forward *forward)
{
  struct relay_note note = { .node = forward->gateway->core->node,
                             .config = forward->site->version,
                             .counts = true,
                             .attempts = 1,
                             .sendings = forward_sendings (forward) - 1 };
  char *text;
  char *header;

  collect_tried (forward, &note.tried);
  if (forward->customer != NULL)
    {
      note.customer = forward->customer->name;
      note.code = relay_code (&note, forward->parsed.id,
                              forward->gateway->core->settings->peer_token);
    }
  text = relay_format (&note);
  header = g_strdup_printf (CALLER_RELAY_HEADER ": %s", text);
  g_free (text);
  note.node = NULL; /* borrowed */
  note.customer = NULL;
  relay_clear (&note);
  return header;
}

char *
forward_relay_answer (const struct forward *forward)
{
  struct relay_note note = { .unreached = forward->unreached,
                             .counts = forward_tells_origin (forward),
                             .attempts = forward_not_run (forward) ? 0 : 1,
                             .sendings = forward->dispatches,
                             .software = g_strdup (forward->software) };
  char *text;

  if (note.counts)
    collect_tried (forward, &note.tried);
  text = relay_format (&note);
  relay_clear (&note);
  return text;
}

void
forward_note_relayed (struct forward *forward)
{
  struct relay_note *note = &forward->peer_note;
  const GPtrArray *tried;

  relay_parse (httpc_response_header (forward->call, CALLER_RELAY_HEADER),
               note);
  if (!note->counts)
    return;
  if (note->sendings > 1)
    forward->sendings_elsewhere += note->sendings - 1;
  tried = note->tried;
  for (guint i = 0; tried != NULL && i < tried->len; i++)
    relay_add_tried (&forward->tried_elsewhere, g_ptr_array_index (tried, i));
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

/* Nodes that do not count attempts get requests that were not sent before.
   Those that do not read the customer would send the request without it.  */
static bool
may_pass_on (const struct forward *forward, const struct route_engine *peer)
{
  if (forward->customer != NULL
      && peer_protocol_of (forward, peer) < RELAY_CUSTOMER_PROTOCOL)
    return false;
  return !forward->deposited || peer_counts (forward, peer);
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

  if (forward->relayed || forward_sendings (forward) >= FORWARD_DISPATCHES_MAX
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
      if (peer->inflight < RELAYED_PER_PEER_MAX && may_pass_on (forward, peer)
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

/* Another node may take the request that the current one has rejected.  Each
   sending beyond the first is a retry, also at another node.  */
static void
try_next_peer (struct forward *forward, int64_t retry_ms)
{
  struct gateway *gateway = forward->gateway;
  struct route_engine *peer = NULL;

  if (forward->request != NULL && forward_may_send (forward))
    peer = forward_pick_peer (forward);
  if (peer != NULL && forward->peer_note.sendings > 0
      && !retry_withdraw (gateway->retry, forward->service->name))
    {
      route_engine_unref (peer);
      peer = NULL;
    }
  if (peer != NULL)
    forward_dispatch (forward, peer);
  else
    forward_fail (forward, "no other node takes the request",
                  MAX (retry_ms, CUT_OFF_RETRY_MS));
}

/* A node that does not reach the servers either is avoided for a while.  */
void
forward_on_peer_answer (struct forward *forward,
                        const struct forward_peer_answer *answer)
{
  const struct relay_note *note = &forward->peer_note;
  long status = answer->status;

  if (is_rejection (status) && note->attempts == 0)
    {
      if (note->unreached)
        reach_connect_failed (forward->gateway->reach, forward->engine->id,
                              forward_now (forward));
      forward->count--;
      forward->attempts_unknown = false;
      forward_mark_tried (forward);
      try_next_peer (forward, answer->retry_ms);
    }
  else if (status == 404 || status == 401)
    {
      /* The node has another version of the configuration, and has not sent
         the request anywhere.  */
      forward->count--;
      forward_fail (forward, "no other node has the route", CUT_OFF_RETRY_MS);
    }
  else if (status == 504)
    forward_refuse (forward, 504, "the node that took the request has failed",
                    0);
  else
    forward_retry_or_fail (forward,
                           "the node that took the request has failed");
}

#include "peer.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <unistd.h>
#include "backoff.h"
#include "counter.h"
#include "log.h"
#include "peeraddr.h"
#include "peerlink.h"
#include "ts.h"

#define IDLE_TIMEOUT_MS 3000
#define KEEPALIVES_PER_TIMEOUT 3
/* With more links than this the interval of keepalives grows with their
   number, so that a node sends a bounded number a second.  A broken link that
   carries data is still noticed early, by TCP_USER_TIMEOUT.  */
#define KEEPALIVE_LINKS 16
#define KEEPALIVE_INTERVAL_MAX_MS 30000
/* Connections are refused while this many links are not authenticated.  */
#define UNAUTHENTICATED_MAX 256
#define NONCE_BYTES 16
/* Time for a node with a lower id to dial this one, before this one does.  */
#define OTHER_DIALS_MS 1500

/* An address to which a link is kept up.  */
struct dial
{
  CK_LIST_ENTRY (dial) link;
  struct peer *peer;
  struct loop_timer timer;
  char *address;
  char *node; /* last authenticated at ADDRESS; NULL: none */
  unsigned failures;
};

CK_LIST_HEAD (link_list, peerlink);
CK_LIST_HEAD (dial_list, dial);

struct peer
{
  struct peer_options options;
  char *token;
  char *node;
  char *zone;
  char *region;
  char *address;
  struct timespec idle_timeout;
  struct loop_watch listener;
  struct loop_timer check_timer;
  struct loop_prepare link_cleanup;
  struct link_list links;
  GHashTable *by_node; /* node id to its authenticated struct peerlink */
  struct dial_list dials;
  unsigned unauthenticated;
};

static struct peerlink *
find_link (const struct peer *peer, const char *node)
{
  struct peerlink *link = g_hash_table_lookup (peer->by_node, node);

  return link != NULL && !link->closed ? link : NULL;
}

/* Removes LINK from the index unless another link has replaced it there.  */
static void
unindex_link (struct peer *peer, const struct peerlink *link)
{
  if (link->node != NULL
      && g_hash_table_lookup (peer->by_node, link->node) == link)
    g_hash_table_remove (peer->by_node, link->node);
}

static void
log_link (enum log_event event, const struct peerlink *link, const char *why)
{
  struct log_line line;

  log_begin (&line, event);
  log_str (&line, "peer", link->node != NULL ? link->node : "-");
  log_str (&line, "address", link->address != NULL ? link->address : "-");
  if (why != NULL)
    log_str (&line, "why", why);
  log_end (&line);
}

static char *
random_nonce (void)
{
  guint8 bytes[NONCE_BYTES];
  GString *text = g_string_new (NULL);

  if (getrandom (bytes, sizeof bytes, 0) != sizeof bytes)
    abort ();
  for (size_t i = 0; i < sizeof bytes; i++)
    g_string_append_printf (text, "%02x", bytes[i]);
  return g_string_free (text, FALSE);
}

/* The HMAC by which NODE proves on its side of a link that it knows the
   token.  */
static char *
compute_proof (const struct peer *peer, const char *node, bool dialled,
               const char *own_nonce, const char *other_nonce)
{
  char *text = g_strdup_printf ("%s|%s|%s|%s", dialled ? "dial" : "accept",
                                node, own_nonce, other_nonce);
  char *mac = g_compute_hmac_for_string (G_CHECKSUM_SHA256,
                                         (const guchar *)peer->token,
                                         strlen (peer->token), text, -1);

  g_free (text);
  return mac;
}

static bool
equal_in_constant_time (const char *a, const char *b)
{
  size_t length = strlen (a);
  unsigned char difference = 0;

  if (strlen (b) != length)
    return false;
  for (size_t i = 0; i < length; i++)
    difference |= (unsigned char)(a[i] ^ b[i]);
  return difference == 0;
}

static void
send_hello (struct peerlink *link)
{
  const struct peer *peer = link->peer;
  struct peer_msg msg = { .type = PEER_HELLO,
                          .node = peer->node,
                          .address = peer->address,
                          .zone = peer->zone,
                          .region = peer->region,
                          .nonce = link->nonce,
                          .incarnation = peer->options.incarnation,
                          .protocol = FRAME_PROTOCOL,
                          .protocol_min = FRAME_PROTOCOL_MIN };

  peerlink_send (link, &msg);
}

static void link_end (struct peerlink *link, const char *why);

static void
reject (struct peerlink *link, const char *why)
{
  counter_add (COUNTER_BAD_INPUT, 1);
  log_link (EVENT_PEER_REFUSED, link, why);
  peerlink_close (link);
  link_end (link, NULL);
}

static void
handle_hello (struct peerlink *link, const struct peer_msg *msg)
{
  struct peer_msg answer = { .type = PEER_PROOF };

  if (link->peer_nonce != NULL || msg->node == NULL || msg->nonce == NULL
      || strcmp (msg->node, link->peer->node) == 0)
    {
      reject (link, "invalid hello");
      return;
    }
  if (msg->protocol < FRAME_PROTOCOL_MIN || msg->protocol_min > FRAME_PROTOCOL)
    {
      reject (link, "no common protocol version");
      return;
    }
  link->node = g_strdup (msg->node);
  link->peer_nonce = g_strdup (msg->nonce);
  link->incarnation = msg->incarnation;
  link->protocol = msg->protocol;
  answer.proof = compute_proof (link->peer, link->peer->node, link->dialled,
                                link->nonce, link->peer_nonce);
  peerlink_send (link, &answer);
  g_free (answer.proof);
}

/* Whether to keep NEW of two links between the same nodes: if the same node
   dialled both or the peer has restarted; else if the node with the lower id
   dialled NEW.  Both nodes reach the same decision.  */
static bool
prefer_new (const struct peerlink *old, const struct peerlink *new)
{
  const char *own = new->peer->node;
  bool own_is_lower = strcmp (own, new->node) < 0;

  if (old->incarnation != new->incarnation || old->dialled == new->dialled)
    return true;
  return new->dialled == own_is_lower;
}

static struct dial *
dial_find (const struct peer *peer, const char *address)
{
  struct dial *dial;

  CK_LIST_FOREACH (dial, &peer->dials, link)
    {
      if (strcmp (dial->address, address) == 0)
        return dial;
    }
  return NULL;
}

static void
store_dialled_node (struct peerlink *link)
{
  struct dial *dial
      = link->dialled ? dial_find (link->peer, link->address) : NULL;

  if (dial == NULL)
    return;
  g_free (dial->node);
  dial->node = g_strdup (link->node);
  dial->failures = 0;
}

static void
link_authenticated (struct peerlink *link)
{
  struct peer *peer = link->peer;
  struct peerlink *old = find_link (peer, link->node);

  store_dialled_node (link);
  if (old != NULL && !prefer_new (old, link))
    {
      peerlink_close (link);
      link_end (link, NULL);
      return;
    }
  link->authenticated = true;
  g_hash_table_replace (peer->by_node, g_strdup (link->node), link);
  peer->unauthenticated--;
  if (old != NULL)
    {
      peerlink_close (old);
      link_end (old, NULL);
      return;
    }
  log_link (EVENT_PEER_UP, link, NULL);
  if (peer->options.up != NULL)
    peer->options.up (peer->options.user, link->node);
}

static void
handle_proof (struct peerlink *link, const struct peer_msg *msg)
{
  char *expected;
  bool valid;

  if (link->peer_nonce == NULL || msg->proof == NULL)
    {
      reject (link, "invalid proof");
      return;
    }
  expected = compute_proof (link->peer, link->node, !link->dialled,
                            link->peer_nonce, link->nonce);
  valid = equal_in_constant_time (expected, msg->proof);
  g_free (expected);
  if (valid)
    link_authenticated (link);
  else
    reject (link, "wrong token");
}

static void
handle_message (struct peerlink *link, const struct peer_msg *msg)
{
  const struct peer_options *options = &link->peer->options;

  if (link->authenticated)
    {
      if (msg->type == PEER_KEEPALIVE)
        link->peer_interval = ts_from_ms (
            (int64_t)MIN (msg->since, (uint64_t)KEEPALIVE_INTERVAL_MAX_MS));
      else if (msg->type > PEER_PROOF)
        options->message (options->user, link->node, msg);
    }
  else if (msg->type == PEER_HELLO)
    handle_hello (link, msg);
  else if (msg->type == PEER_PROOF)
    handle_proof (link, msg);
  else
    reject (link, "message before authentication");
}

/* Schedules another attempt to connect.  */
static void
schedule_reconnect (struct peerlink *link)
{
  struct peer *peer = link->peer;
  struct dial *dial = link->dialled ? dial_find (peer, link->address) : NULL;

  if (dial != NULL)
    loop_timer_set (peer->options.loop, &dial->timer,
                    backoff_retry_at (dial->failures++, peer->options.rand,
                                      loop_now (peer->options.loop)));
}

static void
link_end (struct peerlink *link, const char *why)
{
  struct peer *peer = link->peer;
  bool was_authenticated = link->authenticated;

  if (link->malformed)
    {
      counter_add (COUNTER_BAD_INPUT, 1);
      log_link (EVENT_PEER_REFUSED, link, why);
    }
  if (!was_authenticated)
    peer->unauthenticated--;
  link->authenticated = false;
  unindex_link (peer, link);
  schedule_reconnect (link);
  if (!was_authenticated || find_link (peer, link->node) != NULL)
    return;
  log_link (EVENT_PEER_DOWN, link, why);
  if (peer->options.down != NULL)
    peer->options.down (peer->options.user, link->node);
}

static struct peerlink *
add_link (struct peer *peer, int fd, const char *address)
{
  struct peerlink *link
      = peerlink_new (peer, peer->options.loop, fd, address != NULL);
  unsigned timeout_ms = (unsigned)ts_to_ms (peer->idle_timeout);
  int one = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
              sizeof timeout_ms);
  link->interval
      = ts_from_ns (ts_to_ns (peer->idle_timeout) / KEEPALIVES_PER_TIMEOUT);
  link->address = g_strdup (address);
  link->nonce = random_nonce ();
  link->frame = handle_message;
  link->end = link_end;
  peer->unauthenticated++;
  CK_LIST_INSERT_HEAD (&peer->links, link, link);
  send_hello (link);
  return link;
}

static void
listener_ready (struct loop_watch *watch, uint32_t events)
{
  struct peer *peer
      = (struct peer *)((char *)watch - offsetof (struct peer, listener));
  int fd = accept4 (watch->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  (void)events;
  if (fd < 0)
    return;
  if (peer->unauthenticated >= peer->options.unauthenticated_max)
    close (fd);
  else
    add_link (peer, fd, NULL);
}

static void
dial_fire (struct loop_timer *timer)
{
  struct dial *dial
      = (struct dial *)((char *)timer - offsetof (struct dial, timer));
  struct peer *peer = dial->peer;
  struct timespec now = loop_now (peer->options.loop);
  int fd;

  if (dial->node != NULL && find_link (peer, dial->node) != NULL)
    {
      loop_timer_set (peer->options.loop, timer,
                      ts_add (now, peer->idle_timeout));
      return;
    }
  fd = peeraddr_connect (dial->address);
  if (fd >= 0)
    add_link (peer, fd, dial->address);
  else
    loop_timer_set (
        peer->options.loop, timer,
        backoff_retry_at (dial->failures++, peer->options.rand, now));
}

static int64_t
keepalive_interval_ms (const struct peer *peer)
{
  guint links = MAX (g_hash_table_size (peer->by_node), KEEPALIVE_LINKS);
  int64_t base_ms = ts_to_ms (peer->idle_timeout) / KEEPALIVES_PER_TIMEOUT;

  return MIN (base_ms * links / KEEPALIVE_LINKS, KEEPALIVE_INTERVAL_MAX_MS);
}

/* A keepalive names the interval until the next one, which the receiver
   allows for.  */
static void
send_keepalive (struct peerlink *link, int64_t interval_ms)
{
  struct peer_msg msg
      = { .type = PEER_KEEPALIVE, .since = (uint64_t)interval_ms };

  link->interval = ts_from_ms (interval_ms);
  peerlink_send (link, &msg);
}

static void
check_link (struct peer *peer, struct peerlink *link, int64_t interval_ms,
            struct timespec now)
{
  struct timespec allowed
      = ts_max (peer->idle_timeout, ts_from_ns (ts_to_ns (link->peer_interval)
                                                * KEEPALIVES_PER_TIMEOUT));
  struct timespec from = link->received_at;
  struct timespec due;

  if (link->closed)
    return;
  if (!link->authenticated)
    {
      allowed = peer->idle_timeout;
      from = link->created_at;
    }
  due = ts_add (link->queued_at,
                ts_min (link->interval, ts_from_ms (interval_ms)));
  if (!ts_before (now, ts_add (from, allowed)))
    {
      peerlink_close (link);
      link_end (link, NULL);
    }
  else if (link->authenticated && !ts_before (now, due))
    send_keepalive (link, interval_ms);
}

static void
check_links (struct loop_timer *timer)
{
  struct peer *peer
      = (struct peer *)((char *)timer - offsetof (struct peer, check_timer));
  struct timespec now = loop_now (peer->options.loop);
  int64_t interval_ms = keepalive_interval_ms (peer);
  struct peerlink *link;

  CK_LIST_FOREACH (link, &peer->links, link)
    {
      check_link (peer, link, interval_ms, now);
    }
  loop_timer_set (
      peer->options.loop, timer,
      ts_add (now, ts_from_ns (ts_to_ns (peer->idle_timeout) / 6)));
}

/* Frees closed links.  Runs before the loop sleeps, when none of their
   handlers is on the stack.  */
static int
free_closed_links (struct loop_prepare *prepare)
{
  struct peer *peer = (struct peer *)((char *)prepare
                                      - offsetof (struct peer, link_cleanup));
  struct peerlink *link;
  struct peerlink *next;

  CK_LIST_FOREACH_SAFE (link, &peer->links, link, next)
    {
      if (!link->closed)
        continue;
      CK_LIST_REMOVE (link, link);
      peerlink_free (link);
    }
  return -1;
}

struct peer *
peer_new (const struct peer_options *options)
{
  int fd = peeraddr_listen (options->host, options->port);
  struct peer *peer;

  if (fd < 0)
    return NULL;
  peer = g_new0 (struct peer, 1);
  peer->options = *options;
  if (peer->options.unauthenticated_max == 0)
    peer->options.unauthenticated_max = UNAUTHENTICATED_MAX;
  peer->token = g_strdup (options->token);
  peer->node = g_strdup (options->node);
  peer->zone = g_strdup (options->zone);
  peer->region = g_strdup (options->region);
  peer->address = peeraddr_bound (fd);
  peer->idle_timeout = ts_or_ms (options->idle_timeout, IDLE_TIMEOUT_MS);
  peer->by_node
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  CK_LIST_INIT (&peer->links);
  CK_LIST_INIT (&peer->dials);
  peer->listener.fd = fd;
  peer->listener.ready = listener_ready;
  loop_watch (options->loop, &peer->listener, EPOLLIN);
  peer->link_cleanup.prepare = free_closed_links;
  loop_prepare_add (options->loop, &peer->link_cleanup);
  peer->check_timer.fire = check_links;
  loop_timer_set (options->loop, &peer->check_timer, loop_now (options->loop));
  return peer;
}

static void
dial_free (struct dial *dial)
{
  loop_timer_clear (dial->peer->options.loop, &dial->timer);
  CK_LIST_REMOVE (dial, link);
  g_free (dial->address);
  g_free (dial->node);
  g_free (dial);
}

void
peer_free (struct peer *peer)
{
  struct dial *dial;
  struct peerlink *link;

  if (peer == NULL)
    return;
  while ((dial = CK_LIST_FIRST (&peer->dials)) != NULL)
    dial_free (dial);
  while ((link = CK_LIST_FIRST (&peer->links)) != NULL)
    {
      CK_LIST_REMOVE (link, link);
      peerlink_free (link);
    }
  g_hash_table_unref (peer->by_node);
  loop_timer_clear (peer->options.loop, &peer->check_timer);
  loop_prepare_remove (&peer->link_cleanup);
  loop_unwatch (peer->options.loop, &peer->listener);
  close (peer->listener.fd);
  g_free (peer->token);
  g_free (peer->node);
  g_free (peer->zone);
  g_free (peer->region);
  g_free (peer->address);
  g_free (peer);
}

const char *
peer_address (const struct peer *peer)
{
  return peer->address;
}

int
peer_connect (struct peer *peer, const char *address)
{
  return peer_connect_node (peer, address, NULL);
}

int
peer_connect_node (struct peer *peer, const char *address, const char *node)
{
  struct timespec at = loop_now (peer->options.loop);
  struct dial *dial;

  if (!peeraddr_valid (address))
    return -EINVAL;
  if (dial_find (peer, address) != NULL
      || strcmp (address, peer->address) == 0)
    return 0;
  dial = g_new0 (struct dial, 1);
  dial->peer = peer;
  dial->address = g_strdup (address);
  dial->node = g_strdup (node);
  dial->timer.fire = dial_fire;
  CK_LIST_INSERT_HEAD (&peer->dials, dial, link);
  if (node != NULL && strcmp (node, peer->node) < 0)
    at = ts_add_ms (at, OTHER_DIALS_MS);
  loop_timer_set (peer->options.loop, &dial->timer, at);
  return 0;
}

void
peer_disconnect (struct peer *peer, const char *address)
{
  struct dial *dial = dial_find (peer, address);
  struct peerlink *link;

  if (dial != NULL)
    dial_free (dial);
  CK_LIST_FOREACH (link, &peer->links, link)
    {
      if (!link->closed && link->dialled
          && strcmp (link->address, address) == 0)
        {
          peerlink_close (link);
          link_end (link, NULL);
        }
    }
}

int
peer_send (struct peer *peer, const char *node, const struct peer_msg *msg)
{
  struct peerlink *link = find_link (peer, node);

  return link == NULL ? -ENOTCONN : peerlink_send (link, msg);
}

/* Encodes MSG for all links that it goes to.  */
static GBytes *
encode (const struct peer_msg *msg)
{
  char *bytes;
  size_t length;

  if (frame_encode (msg, &bytes, &length) < 0)
    return NULL;
  return g_bytes_new_take (bytes, length);
}

void
peer_send_each (struct peer *peer, const char *const *nodes, size_t count,
                const struct peer_msg *msg)
{
  GBytes *frame = count > 0 ? encode (msg) : NULL;

  for (size_t i = 0; frame != NULL && i < count; i++)
    {
      struct peerlink *link = find_link (peer, nodes[i]);

      if (link != NULL)
        peerlink_send_frame (link, frame);
    }
  if (frame != NULL)
    g_bytes_unref (frame);
}

unsigned
peer_broadcast (struct peer *peer, const struct peer_msg *msg)
{
  GBytes *frame = encode (msg);
  struct peerlink *link;
  unsigned count = 0;

  if (frame == NULL)
    return 0;
  CK_LIST_FOREACH (link, &peer->links, link)
    {
      if (!link->closed && link->authenticated
          && peerlink_send_frame (link, frame) == 0)
        count++;
    }
  g_bytes_unref (frame);
  return count;
}

bool
peer_connected (const struct peer *peer, const char *node)
{
  return find_link (peer, node) != NULL;
}

uint64_t
peer_protocol (const struct peer *peer, const char *node)
{
  const struct peerlink *link = find_link (peer, node);

  return link != NULL ? link->protocol : 0;
}

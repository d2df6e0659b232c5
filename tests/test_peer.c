#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <arpa/inet.h>
#include <glib.h>
#include "counter.h"
#include "peer.h"
#include "peeraddr.h"
#include "ts.h"

#define TURNS 2000 /* of the loop, at most, until a condition holds */

struct side
{
  struct peer *peer;
  char last_from[32];
  struct peer_msg last; /* type and version only */
  unsigned messages;
  unsigned ups;
  unsigned downs;
};

static struct loop *loop;
static GRand *generator;

static void
on_message (void *user, const char *from, const struct peer_msg *msg)
{
  struct side *side = user;

  g_strlcpy (side->last_from, from, sizeof side->last_from);
  side->last.type = msg->type;
  side->last.version = msg->version;
  side->messages++;
}

static void
on_up (void *user, const char *node)
{
  (void)node;
  ((struct side *)user)->ups++;
}

static void
on_down (void *user, const char *node)
{
  (void)node;
  ((struct side *)user)->downs++;
}

static void
side_start_with_timeout (struct side *side, const char *node,
                         const char *token, struct timespec idle_timeout)
{
  struct peer_options options = { .loop = loop,
                                  .clk = clk_monotonic (),
                                  .host = "127.0.0.1",
                                  .token = token,
                                  .node = node,
                                  .incarnation = 1,
                                  .region = "r",
                                  .zone = "z",
                                  .idle_timeout = idle_timeout,
                                  .message = on_message,
                                  .up = on_up,
                                  .down = on_down,
                                  .user = side,
                                  .rand = generator };

  memset (side, 0, sizeof *side);
  side->peer = peer_new (&options);
  g_assert_nonnull (side->peer);
}

static void
side_start (struct side *side, const char *node, const char *token)
{
  side_start_with_timeout (side, node, token, (struct timespec){ 0 });
}

static void
run_until (const unsigned *count, unsigned wanted)
{
  for (unsigned i = 0; i < TURNS && *count < wanted; i++)
    loop_run_once (loop, 10);
  g_assert_cmpuint (*count, >=, wanted);
}

/* Both nodes dial each other: one link remains and carries messages both
   ways.  */
static void
test_both_ways (void)
{
  struct peer_msg msg = { .type = PEER_CONFIG_VERSION, .version = 7 };
  struct side a;
  struct side b;

  side_start (&a, "a", "secret");
  side_start (&b, "b", "secret");
  g_assert_cmpint (peer_connect (a.peer, peer_address (b.peer)), ==, 0);
  g_assert_cmpint (peer_connect (b.peer, peer_address (a.peer)), ==, 0);
  run_until (&a.ups, 1);
  run_until (&b.ups, 1);
  g_assert_cmpint (peer_send (a.peer, "b", &msg), ==, 0);
  run_until (&b.messages, 1);
  g_assert_cmpstr (b.last_from, ==, "a");
  g_assert_cmpuint (b.last.version, ==, 7);
  g_assert_cmpuint (peer_broadcast (b.peer, &msg), ==, 1);
  run_until (&a.messages, 1);
  g_assert_cmpint (peer_send (a.peer, "c", &msg), ==, -ENOTCONN);
  peer_free (b.peer);
  run_until (&a.downs, 1);
  peer_free (a.peer);
}

static void
test_wrong_token (void)
{
  struct side a;
  struct side b;
  int64_t before = counter_get (COUNTER_BAD_INPUT);

  side_start (&a, "a", "secret");
  side_start (&b, "b", "guess");
  peer_connect (a.peer, peer_address (b.peer));
  for (unsigned i = 0; i < TURNS && counter_get (COUNTER_BAD_INPUT) == before;
       i++)
    loop_run_once (loop, 10);
  g_assert_cmpint (counter_get (COUNTER_BAD_INPUT), >, before);
  g_assert_false (peer_connected (a.peer, "b"));
  g_assert_false (peer_connected (b.peer, "a"));
  g_assert_cmpuint (a.ups + b.ups, ==, 0);
  peer_free (a.peer);
  peer_free (b.peer);
}

/* A node with many links sends keepalives so rarely that each other node would
   take its link for broken, did it not allow for the interval that they
   name.  */
static void
test_many_links (void)
{
  enum
  {
    LEAVES = 48,
    IDLE_TIMEOUT_MS = 1500
  };
  struct timespec timeout = ts_from_ms (IDLE_TIMEOUT_MS);
  struct side hub;
  struct side leaves[LEAVES];
  struct timespec until;

  side_start_with_timeout (&hub, "hub", "secret", timeout);
  for (unsigned i = 0; i < LEAVES; i++)
    {
      char *name = g_strdup_printf ("leaf-%u", i);

      side_start_with_timeout (&leaves[i], name, "secret", timeout);
      peer_connect (leaves[i].peer, peer_address (hub.peer));
      g_free (name);
    }
  run_until (&hub.ups, LEAVES);
  until = ts_add_ms (loop_now (loop), 3 * IDLE_TIMEOUT_MS);
  while (ts_before (loop_now (loop), until))
    loop_run_once (loop, 10);
  g_assert_cmpuint (hub.downs, ==, 0);
  for (unsigned i = 0; i < LEAVES; i++)
    {
      g_assert_cmpuint (leaves[i].downs, ==, 0);
      peer_free (leaves[i].peer);
    }
  peer_free (hub.peer);
}

static int
connect_raw (const char *address)
{
  struct sockaddr_in to = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  to.sin_port = htons ((uint16_t)atoi (strchr (address, ':') + 1));
  to.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (connect (fd, (struct sockaddr *)&to, sizeof to), ==, 0);
  return fd;
}

/* Data that is not a valid hello closes its connection and no other.  */
static void
test_malformed (gconstpointer data)
{
  const GBytes *bytes = data;
  struct side a;
  struct side b;
  char received[4096];
  gsize size;
  const void *start = g_bytes_get_data ((GBytes *)bytes, &size);
  ssize_t n = -1;
  int fd;

  side_start (&a, "a", "secret");
  side_start (&b, "b", "secret");
  peer_connect (a.peer, peer_address (b.peer));
  run_until (&b.ups, 1);
  fd = connect_raw (peer_address (b.peer));
  g_assert_cmpint (send (fd, start, size, MSG_NOSIGNAL), ==, size);
  for (unsigned i = 0; i < TURNS && n != 0; i++)
    {
      loop_run_once (loop, 10);
      n = recv (fd, received, sizeof received, MSG_DONTWAIT);
    }
  g_assert_cmpint (n, ==, 0);
  g_assert_true (peer_connected (b.peer, "a"));
  g_assert_cmpuint (b.downs + b.messages, ==, 0);
  close (fd);
  peer_free (a.peer);
  peer_free (b.peer);
}

static void
add_malformed (const char *name, const char *bytes, size_t size)
{
  char *path = g_strconcat ("/peer/malformed/", name, NULL);

  g_test_add_data_func_full (path, g_bytes_new (bytes, size), test_malformed,
                             (GDestroyNotify)g_bytes_unref);
  g_free (path);
}

/* getaddrinfo cut a port out of range to another one.  */
static void
test_addresses (void)
{
  static const char *const invalid[]
      = { "127.0.0.1:65536", "127.0.0.1:99999", "127.0.0.1:4294967297",
          "127.0.0.1:-1",    "127.0.0.1:+1",    "127.0.0.1: 1",
          "127.0.0.1:",      "127.0.0.1",       "" };

  for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    g_assert_false (peeraddr_valid (invalid[i]));
  g_assert_true (peeraddr_valid ("127.0.0.1:65535"));
  g_assert_true (peeraddr_valid ("[::1]:1"));
}

int
main (int argc, char **argv)
{
  int result;

  g_test_init (&argc, &argv, NULL);
  loop = loop_new (clk_monotonic ());
  generator = g_rand_new_with_seed (1);
  g_test_add_func ("/peer/addresses", test_addresses);
  g_test_add_func ("/peer/both-ways", test_both_ways);
  g_test_add_func ("/peer/wrong-token", test_wrong_token);
  g_test_add_func ("/peer/many-links", test_many_links);
  add_malformed ("http", "GET / HTTP/1.1\r\n\r\n", 18);
  add_malformed ("zero-length", "\0\0\0\0", 4);
  add_malformed ("not-a-map", "\0\0\0\1\xc0", 5);
  add_malformed ("message-before-proof", "\0\0\0\3\x81\0\3", 7);
  add_malformed ("proof-before-hello", "\0\0\0\3\x81\0\2", 7);
  result = g_test_run ();
  g_rand_free (generator);
  loop_free (loop);
  return result;
}

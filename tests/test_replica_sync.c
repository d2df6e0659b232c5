#include <glib.h>
#include "replica_sync.h"
#include "ts.h"

static const struct timespec now = { .tv_sec = 100 };

static void
make_msg (struct replica_sender *sender, bool leaving, uint64_t running,
          struct peer_msg *msg)
{
  struct peer_replica server = { .engine = (char *)"i1",
                                 .model = (char *)"*",
                                 .leaving = leaving,
                                 .running = running };

  replica_sender_changes (sender, &server, 1,
                          ts_add_ms (now, (int64_t)(running * 1000)), msg);
}

static void
note_leaving (void *user, const struct peer_replica *replica)
{
  *(bool *)user = replica->leaving;
}

static bool
is_leaving (const struct replica_receiver *receiver)
{
  bool leaving = false;

  replica_receiver_each (receiver, note_leaving, &leaving);
  return leaving;
}

/* Guards against requests to a server that leaves, at a node that missed a
   message and got the complete list from a relay that is further behind.  */
static void
test_older_list (void)
{
  struct replica_sender *sender = replica_sender_new ("cell", 7);
  struct replica_receiver *relay = replica_receiver_new ();
  struct replica_receiver *node = replica_receiver_new ();
  struct peer_msg sent[4];
  struct peer_msg older;
  struct peer_msg newer;

  for (unsigned i = 0; i < G_N_ELEMENTS (sent); i++)
    make_msg (sender, i > 0, i, &sent[i]);
  replica_receiver_apply (relay, "a", &sent[0], now);
  replica_receiver_apply (node, "a", &sent[0], now);
  replica_receiver_apply (node, "a", &sent[1], now);
  g_assert_cmpint (replica_receiver_apply (node, "a", &sent[3], now), ==,
                   REPLICA_SYNC_GAP);
  g_assert_true (replica_receiver_full (relay, "cell", now, &older));
  g_assert_cmpint (replica_receiver_apply (node, "a", &older, now), ==,
                   REPLICA_SYNC_STALE);
  g_assert_true (is_leaving (node));
  replica_sender_full (sender, now, &newer);
  g_assert_cmpint (replica_receiver_apply (node, "a", &newer, now), ==,
                   REPLICA_SYNC_APPLIED);
  g_assert_true (is_leaving (node));
  for (unsigned i = 0; i < G_N_ELEMENTS (sent); i++)
    peer_msg_clear (&sent[i]);
  peer_msg_clear (&older);
  peer_msg_clear (&newer);
  replica_receiver_free (node);
  replica_receiver_free (relay);
  replica_sender_free (sender);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/replica-sync/older-list", test_older_list);
  return g_test_run ();
}

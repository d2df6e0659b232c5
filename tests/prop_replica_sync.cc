#include <rapidcheck.h>
#include <map>
#include <string>
#include <tuple>
#include <vector>

extern "C"
{
#include "replica_sync.h"
#include "ts.h"
}

/* One sender and two receivers, one of them behind a lossy link.  After each
   message that arrives the receiver has the sender's current list, if
   necessary after requesting the full list.  */

typedef std::map<std::pair<int, int>, int> state_map;

static std::vector<peer_replica>
as_list (const state_map &state, std::vector<std::string> &names)
{
  std::vector<peer_replica> list;

  names.clear ();
  names.reserve (2 * state.size ());
  for (const auto &[key, value] : state)
    {
      peer_replica r = {};

      names.push_back ("e" + std::to_string (key.first));
      r.engine = const_cast<char *> (names.back ().c_str ());
      names.push_back ("m" + std::to_string (key.second));
      r.model = const_cast<char *> (names.back ().c_str ());
      r.state = static_cast<uint64_t> (value);
      list.push_back (r);
    }
  return list;
}

static void
collect (void *user, const struct peer_replica *replica)
{
  auto *got = static_cast<state_map *> (user);

  (*got)[{ atoi (replica->engine + 1), atoi (replica->model + 1) }]
      = static_cast<int> (replica->state);
}

static void
deliver (struct replica_receiver *receiver, struct replica_sender *sender,
         const struct peer_msg *msg, struct timespec now,
         const state_map &state)
{
  state_map got;

  if (replica_receiver_apply (receiver, "a", msg, now) == REPLICA_SYNC_GAP)
    {
      struct peer_msg full;

      replica_sender_full (sender, now, &full);
      RC_ASSERT (replica_receiver_apply (receiver, "a", &full, now)
                 == REPLICA_SYNC_APPLIED);
      peer_msg_clear (&full);
    }
  replica_receiver_each (receiver, collect, &got);
  RC_ASSERT (got == state);
}

int
main ()
{
  bool ok = rc::check ("the receiver has the sender's list", [] {
    auto steps
        = *rc::gen::container<std::vector<std::tuple<int, int, int, bool> > > (
            rc::gen::tuple (rc::gen::inRange (0, 4), rc::gen::inRange (0, 3),
                            rc::gen::inRange (-1, 3),
                            rc::gen::arbitrary<bool> ()));
    struct replica_sender *sender = replica_sender_new ("cell", 7);
    struct replica_receiver *receivers[]
        = { replica_receiver_new (), replica_receiver_new () };
    state_map state;
    struct timespec now = ts_from_ms (1000);
    std::vector<std::string> names;

    for (const auto &[engine, model, value, lost] : steps)
      {
        struct peer_msg msg;

        if (value < 0)
          state.erase ({ engine, model });
        else
          state[{ engine, model }] = value;
        now = ts_add_ms (now, REPLICA_SYNC_LOAD_MS);
        auto list = as_list (state, names);
        replica_sender_changes (sender, list.data (), list.size (), now, &msg);
        for (int i = 0; i < 2; i++)
          if (i == 1 || !lost)
            deliver (receivers[i], sender, &msg, now, state);
        peer_msg_clear (&msg);
      }
    for (auto *receiver : receivers)
      replica_receiver_free (receiver);
    replica_sender_free (sender);
  });

  ok = rc::check ("messages of a former sender are ignored",
                  [] {
                    auto fence = *rc::gen::inRange<uint64_t> (2, 100);
                    struct replica_receiver *receiver
                        = replica_receiver_new ();
                    struct peer_msg msg = {};

                    msg.type = PEER_REPLICAS;
                    msg.full = true;
                    msg.fence = fence;
                    RC_ASSERT (replica_receiver_apply (receiver, "new", &msg,
                                                       ts_from_ms (1))
                               == REPLICA_SYNC_APPLIED);
                    msg.fence = fence - 1;
                    RC_ASSERT (replica_receiver_apply (receiver, "old", &msg,
                                                       ts_from_ms (2))
                               == REPLICA_SYNC_STALE);
                    RC_ASSERT (std::string (replica_receiver_source (receiver))
                               == "new");
                    replica_receiver_free (receiver);
                  })
       && ok;
  return ok ? 0 : 1;
}

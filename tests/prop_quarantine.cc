/* A part of prompts, or one whole request, that crashes every engine that
   begins to answer, sent to any node among sound requests, beside nodes that
   restart or are cut off, connections that are reset and engines that crash by
   themselves.  */

#include <rapidcheck.h>
#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

extern "C"
{
#include "quarantine.h"
#include "ts.h"
}

static int
in_range (int low, int high)
{
  return *rc::gen::resize (rc::kNominalSize, rc::gen::inRange (low, high));
}

static const int stability_ms = 3000;
static const int message_delay_max_ms = 40;
static const int table_delay_ms = 15;
static const int engine_down_ms = 3500;
static const int poll_ms = 1000;
static const int tick_ms = 5;
static const unsigned budget = 3; /* bad requests sent after the last crash
                                     that counts */
static const unsigned part_crashes = 5;    /* that count, of a part */
static const unsigned request_crashes = 3; /* of a whole request */
static const int popular_requests = 10;
static const unsigned enough = 20; /* sound requests, to compare */

static const uint64_t shared = 11; /* first part of all requests of a route */
static const uint64_t bad = 13;

struct node
{
  struct quarantine *quarantine = nullptr;
  bool cut = false;       /* from the other nodes, not from the table */
  int64_t calm_since = 0; /* started, or links healed */
  int64_t polled = 0;
};

struct engine
{
  uint64_t id;
  int64_t down_until = 0;
};

struct run
{
  size_t node;
  size_t engine;
  uint64_t engine_id;
  std::vector<uint64_t> features;
  bool is_bad;
  bool answered;
  int64_t sent;
  int64_t answers_at;
  int64_t ends;
  unsigned attempts;
};

struct message
{
  int64_t at;
  size_t from;
  size_t to;
  struct quarantine_action action;
};

/* The evidence of one node in the table.  */
struct evidence_row
{
  struct crash
  {
    uint64_t engine;
    std::vector<uint64_t> features;
    struct timespec at;
  };
  struct quarantine *quarantine;
  std::vector<crash> crashes;
  std::map<uint64_t, struct timespec> answered;
};

static void
add_crash (void *user, uint64_t engine, const struct blame_request *request,
           struct timespec at)
{
  auto *row = (evidence_row *)user;
  std::vector<uint64_t> features (request->features,
                                  request->features + request->count);

  for (uint64_t feature : features)
    {
      struct timespec answered
          = quarantine_answered_at (row->quarantine, feature);

      if (!ts_is_zero (answered))
        row->answered[feature] = answered;
    }
  row->crashes.push_back ({ engine, features, at });
}

struct table_call
{
  int64_t at;
  size_t node;
  struct quarantine_action action;
};

struct world
{
  std::mt19937 random;
  int64_t ms = 10000;
  std::vector<node> nodes;
  std::vector<engine> engines;
  std::vector<run> runs;
  std::vector<message> messages;
  std::vector<table_call> calls;
  std::map<uint64_t, struct quarantine_state> table;
  std::map<size_t, evidence_row> evidence; /* by node */
  uint64_t next_id = 1000;
  bool no_bad = false;
  bool plain = false;        /* requests have no parts */
  unsigned crashes = 0;      /* by the bad part, or the bad request */
  int64_t counted_crash = 0; /* the last that counts, so far */
  unsigned sent_late = 0;    /* bad requests, as the rule counts them */
  unsigned sound = 0;        /* sound requests, as the rule counts them */
  unsigned sound_rejected = 0;

  world (unsigned seed, size_t node_count, size_t engine_count)
      : random (seed), nodes (node_count), engines (engine_count)
  {
    for (auto &node : nodes)
      node.quarantine = quarantine_new (ts_from_ms (0));
    for (auto &engine : engines)
      engine.id = next_id++;
  }

  ~world ()
  {
    for (auto &node : nodes)
      quarantine_free (node.quarantine);
  }

  int
  between (int low, int high)
  {
    return std::uniform_int_distribution<int> (low, high) (random);
  }

  bool
  chance (double share)
  {
    return std::bernoulli_distribution (share) (random);
  }

  struct timespec
  now () const
  {
    return ts_from_ms (ms);
  }

  bool
  linked (size_t a, size_t b) const
  {
    return !nodes[a].cut && !nodes[b].cut;
  }

  bool
  linked_to_all (size_t i) const
  {
    for (size_t j = 0; j < nodes.size (); j++)
      if (j != i && !linked (i, j))
        return false;
    return true;
  }

  static size_t
  index_of (const char *name)
  {
    return (size_t)atoi (name + 1);
  }

  void
  send (size_t from, size_t to, const struct quarantine_action &action)
  {
    if (to == from || !linked (from, to))
      return;
    messages.push_back (
        { ms + between (0, message_delay_max_ms), from, to, action });
  }

  void
  run_actions (size_t from, struct action_list *list)
  {
    struct action *next;

    while ((next = action_pop (list)) != nullptr)
      {
        auto *action = (struct quarantine_action *)next;

        if (next->type >= QUARANTINE_STORE)
          calls.push_back ({ ms + table_delay_ms, from, *action });
        else if (action->node[0] != '\0')
          send (from, index_of (action->node), *action);
        else
          for (size_t to = 0; to < nodes.size (); to++)
            send (from, to, *action);
        action_free (next);
      }
  }

  void
  receive (const message &message)
  {
    const auto &action = message.action;
    struct quarantine *quarantine = nodes[message.to].quarantine;
    std::string peer = "n" + std::to_string (message.from);
    struct blame_request request = { action.features, action.feature_count };
    struct action_list list;

    action_list_init (&list);
    switch ((enum quarantine_action_type)action.action.type)
      {
      case QUARANTINE_SEND_CRASH:
        quarantine_crash_received (quarantine, action.engine, &request,
                                   action.age_ms, now (), &list);
        break;
      case QUARANTINE_SEND_ALIVE:
        quarantine_alive_received (quarantine, action.engine, action.age_ms,
                                   now ());
        break;
      case QUARANTINE_SEND_ANSWERED:
        quarantine_answered_received (quarantine, action.state.feature,
                                      action.age_ms, now ());
        break;
      case QUARANTINE_SEND_STATE:
        quarantine_state_received (quarantine, peer.c_str (), &action.state,
                                   now (), &list);
        break;
      case QUARANTINE_SEND_RELEASE:
        quarantine_released (quarantine, action.state.feature);
        break;
      default:
        break;
      }
    run_actions (message.to, &list);
  }

  void
  run_call (const table_call &call)
  {
    struct quarantine_state state = call.action.state;
    struct quarantine *quarantine = nodes[call.node].quarantine;
    struct action_list list;
    auto row = table.find (state.feature);

    action_list_init (&list);
    if (call.action.action.type == QUARANTINE_STORE_EVIDENCE)
      {
        evidence_row stored = { quarantine, {}, {} };

        quarantine_each_crash (quarantine, add_crash, &stored);
        evidence[call.node] = stored;
      }
    else if (call.action.action.type == QUARANTINE_STORE)
      table.insert ({ state.feature, state });
    else if (call.action.action.type == QUARANTINE_REMOVE)
      table.erase (state.feature);
    else if (row == table.end ())
      quarantine_released (quarantine, state.feature);
    else if (row->second.trials != state.trials)
      quarantine_state_received (quarantine, "", &row->second, now (), &list);
    else
      {
        row->second.trials++;
        quarantine_claimed (quarantine, state.feature, true, now (), &list);
      }
    run_actions (call.node, &list);
  }

  void
  poll (size_t i)
  {
    struct action_list list;

    action_list_init (&list);
    for (const auto &row : table)
      quarantine_state_received (nodes[i].quarantine, "", &row.second, now (),
                                 &list);
    for (const auto &row : evidence)
      {
        for (const auto &answered : row.second.answered)
          quarantine_answered_received (
              nodes[i].quarantine, answered.first,
              ts_to_ms (ts_sub (now (), answered.second)), now ());
        for (const auto &crash : row.second.crashes)
          {
            struct blame_request request
                = { crash.features.data (), crash.features.size () };

            quarantine_crash_received (
                nodes[i].quarantine, crash.engine, &request,
                ts_to_ms (ts_sub (now (), crash.at)), now (), &list);
          }
      }
    nodes[i].polled = ms;
    run_actions (i, &list);
  }

  void
  connect (size_t a, size_t b)
  {
    std::string name = "n" + std::to_string (b);
    struct action_list list;

    action_list_init (&list);
    quarantine_send_all (nodes[a].quarantine, name.c_str (), now (), &list);
    run_actions (a, &list);
  }

  void
  connect_all (size_t i)
  {
    for (size_t j = 0; j < nodes.size (); j++)
      if (j != i)
        {
          connect (i, j);
          connect (j, i);
        }
  }

  void
  restart (size_t i)
  {
    quarantine_free (nodes[i].quarantine);
    nodes[i].quarantine = quarantine_new (now ());
    nodes[i].calm_since = ms;
    runs.erase (
        std::remove_if (runs.begin (), runs.end (),
                        [i] (const run &run) { return run.node == i; }),
        runs.end ());
    messages.erase (std::remove_if (messages.begin (), messages.end (),
                                    [i] (const message &message) {
                                      return message.to == i;
                                    }),
                    messages.end ());
    calls.erase (std::remove_if (
                     calls.begin (), calls.end (),
                     [i] (const table_call &call) { return call.node == i; }),
                 calls.end ());
    poll (i);
    connect_all (i);
  }

  /* A node that is cut off from the others still reaches the table.  */
  bool
  in_touch (size_t i) const
  {
    return nodes[i].calm_since + stability_ms <= ms;
  }

  unsigned
  crashes_counted () const
  {
    return plain ? request_crashes : part_crashes;
  }

  bool
  counts (int64_t after_ms) const
  {
    return crashes > 0 && ms > counted_crash + after_ms;
  }

  /* Sends the request of RUN to an engine, or rejects it.  */
  bool
  dispatch (run run)
  {
    struct blame_request request
        = { run.features.data (), run.features.size () };
    struct action_list list;
    bool rejected;

    action_list_init (&list);
    rejected = quarantine_check (nodes[run.node].quarantine, &request, now (),
                                 &list)
                   .rejected_for
               >= 0;
    run_actions (run.node, &list);
    if (rejected)
      return false;
    if (run.is_bad && crashes >= crashes_counted () && counts (stability_ms)
        && in_touch (run.node))
      sent_late++;
    run.engine = (size_t)between (0, (int)engines.size () - 1);
    if (engines[run.engine].down_until > ms)
      return true;
    run.engine_id = engines[run.engine].id;
    run.answered = false;
    run.sent = ms;
    run.answers_at = ms + between (20, 120);
    run.ends = run.answers_at + between (50, 1500);
    run.attempts++;
    runs.push_back (run);
    return true;
  }

  /* Half of the sound requests come again and again.  */
  uint64_t
  plain_request (bool is_bad)
  {
    if (is_bad)
      return bad;
    return chance (0.5) ? 200 + (uint64_t)between (0, popular_requests - 1)
                        : next_id++;
  }

  void
  add_features (run &run)
  {
    if (plain)
      {
        run.features.push_back (plain_request (run.is_bad));
        return;
      }
    run.features.push_back (next_id++);
    run.features.push_back (shared);
    run.features.push_back (100 + (uint64_t)between (0, 4));
    if (run.is_bad)
      run.features.insert (run.features.begin () + between (1, 3), bad);
  }

  void
  arrive (bool is_bad)
  {
    run run = {};
    bool rejected;

    run.node = (size_t)between (0, (int)nodes.size () - 1);
    run.is_bad = is_bad;
    add_features (run);
    rejected = !dispatch (run);
    if (!is_bad && (no_bad || counts (2 * stability_ms))
        && in_touch (run.node))
      {
        sound++;
        sound_rejected += rejected;
      }
  }

  void
  fail (const run &failed)
  {
    struct blame_request request
        = { failed.features.data (), failed.features.size () };
    struct action_list list;

    if (failed.answered)
      return;
    action_list_init (&list);
    quarantine_crashed (nodes[failed.node].quarantine, failed.engine_id,
                        &request, now (), &list);
    run_actions (failed.node, &list);
    if (failed.attempts < 2)
      dispatch (failed);
  }

  void
  crash (size_t engine)
  {
    std::vector<run> failed;
    auto is_there = [engine] (const run &run) { return run.engine == engine; };

    std::copy_if (runs.begin (), runs.end (), std::back_inserter (failed),
                  is_there);
    runs.erase (std::remove_if (runs.begin (), runs.end (), is_there),
                runs.end ());
    engines[engine].down_until = ms + engine_down_ms;
    engines[engine].id = next_id++;
    for (const auto &run : failed)
      fail (run);
  }

  void
  reset_connections (size_t node)
  {
    std::vector<run> failed;
    std::vector<run> kept;

    for (const auto &run : runs)
      (run.node == node && chance (0.5) ? failed : kept).push_back (run);
    runs = kept;
    for (const auto &run : failed)
      fail (run);
  }

  void
  answer (run &run)
  {
    struct blame_request request
        = { run.features.data (), run.features.size () };
    struct action_list list;

    run.answered = true;
    action_list_init (&list);
    quarantine_alive (nodes[run.node].quarantine, run.engine_id,
                      ts_from_ms (run.sent), now (), &list);
    quarantine_answered (nodes[run.node].quarantine, &request, now (), &list);
    run_actions (run.node, &list);
  }

  void
  run_engines ()
  {
    for (size_t i = 0; i < runs.size ();)
      {
        run &run = runs[i];

        if (!run.answered && run.answers_at <= ms && run.is_bad)
          {
            crashes++;
            if (crashes <= crashes_counted ())
              counted_crash = ms;
            crash (run.engine);
            i = 0;
            continue;
          }
        if (!run.answered && run.answers_at <= ms)
          answer (run);
        if (run.ends <= ms)
          runs.erase (runs.begin () + (ptrdiff_t)i);
        else
          i++;
      }
  }

  template <typename T, typename F>
  void
  run_due (std::vector<T> &queue, F run)
  {
    std::vector<T> due;

    for (size_t i = 0; i < queue.size ();)
      if (queue[i].at <= ms)
        {
          due.push_back (queue[i]);
          queue.erase (queue.begin () + (ptrdiff_t)i);
        }
      else
        i++;
    for (const auto &item : due)
      run (item);
  }

  void
  step ()
  {
    ms += tick_ms;
    run_due (messages, [this] (const message &m) { receive (m); });
    run_due (calls, [this] (const table_call &c) { run_call (c); });
    run_engines ();
    for (size_t i = 0; i < nodes.size (); i++)
      {
        struct action_list list;

        if (!linked_to_all (i) && ms - nodes[i].polled >= poll_ms)
          poll (i);
        action_list_init (&list);
        quarantine_tick (nodes[i].quarantine, now (), &list);
        run_actions (i, &list);
      }
  }

  void
  heal ()
  {
    for (size_t i = 0; i < nodes.size (); i++)
      if (nodes[i].cut)
        {
          nodes[i].cut = false;
          nodes[i].calm_since = ms;
          connect_all (i);
        }
  }

  void
  trouble ()
  {
    size_t node = (size_t)between (0, (int)nodes.size () - 1);

    switch (between (0, 6))
      {
      case 0:
        restart (node);
        break;
      case 1:
        nodes[node].cut = true;
        break;
      case 2:
        heal ();
        break;
      case 3:
        reset_connections (node);
        break;
      case 4:
        crash ((size_t)between (0, (int)engines.size () - 1));
        break;
      case 5:
        for (size_t i = 0; i < nodes.size (); i++)
          reset_connections (i);
        break;
      default:
        for (size_t i = 0; i < nodes.size (); i++)
          restart (i);
      }
  }
};

/* Simulates SECONDS with SOUND and BAD requests a second.  Bad ones begin
   after three seconds, which teach the nodes what is sound.  */
static void
simulate (world &world, int seconds, double sound, double bad_rate,
          double troubles)
{
  const double step_s = (double)tick_ms / 1000;
  const int64_t begin = world.ms;

  while (world.ms < begin + seconds * 1000)
    {
      world.step ();
      if (world.chance (sound * step_s))
        world.arrive (false);
      if (world.ms > begin + 3000 && world.chance (bad_rate * step_s))
        world.arrive (true);
      if (world.chance (troubles * step_s))
        world.trouble ();
    }
}

struct outcome
{
  unsigned crashes;
  unsigned sent_late;
  unsigned sound;
  unsigned sound_rejected;
};

static outcome
play (unsigned seed, bool plain, double troubles, double bad_rate)
{
  std::mt19937 random (seed);
  auto between = [&random] (int low, int high) {
    return std::uniform_int_distribution<int> (low, high) (random);
  };
  world world (seed, (size_t)between (1, 6), (size_t)between (4, 12));

  world.no_bad = bad_rate == 0;
  world.plain = plain;
  simulate (world, 45, between (8, 40), bad_rate * between (1, 8), troubles);
  return { world.crashes, world.sent_late, world.sound, world.sound_rejected };
}

static void
check_bad (bool plain, double troubles)
{
  unsigned seed = (unsigned)in_range (0, 1 << 30);
  outcome outcome = play (seed, plain, troubles, 1);

  RC_TAG (outcome.crashes >= 5 ? "five crashes" : "fewer");
  RC_ASSERT (outcome.sent_late <= budget);
  if (outcome.sound >= enough)
    RC_ASSERT (outcome.sound_rejected * 2 <= outcome.sound);
}

static void
check_sound (bool plain)
{
  unsigned seed = (unsigned)in_range (0, 1 << 30);
  outcome outcome = play (seed, plain, 1, 0);

  RC_ASSERT (outcome.crashes == 0);
  RC_ASSERT (outcome.sound > 0);
  RC_ASSERT (outcome.sound_rejected * 50 <= outcome.sound);
}

int
main ()
{
  bool ok = true;

  ok &= rc::check ("after five crashes at most three more bad requests are "
                   "sent, and sound ones are served",
                   [] { check_bad (false, 0); });
  ok &= rc::check ("the same beside restarts, cuts, resets and crashes",
                   [] { check_bad (false, 0.3); });
  ok &= rc::check ("without a bad part hardly a request is rejected",
                   [] { check_sound (false); });
  ok &= rc::check ("after three crashes under one whole request at most three "
                   "more of it are sent",
                   [] { check_bad (true, 0); });
  ok &= rc::check ("the same beside restarts, cuts, resets and crashes",
                   [] { check_bad (true, 0.3); });
  ok &= rc::check ("without a bad request hardly one is rejected",
                   [] { check_sound (true); });
  return ok ? 0 : 1;
}

/* A request that crashes every backend server that runs it, sent to any node
   at any time, among harmless requests.  */

#include <rapidcheck.h>
#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C"
{
#include "suspect.h"
#include "ts.h"
}

static int
in_range (int low, int high)
{
  return *rc::gen::resize (rc::kNominalSize, rc::gen::inRange (low, high));
}

static const uint64_t poison = 99;
static const int message_delay_max_ms = 60;
/* Minimum delay until a change shows in a node's list of servers.  */
static const int list_delay_min_ms = 500;
static const int restart_ms = 8000; /* of a backend server */

struct message
{
  int from;
  int to;
  int64_t at;
  struct suspect_action action;
};

struct running
{
  int node;
  uint64_t fingerprint;
  std::string engine;
  int64_t ends;
  uint64_t request; /* 0: not granted */
};

struct simulation
{
  int64_t ms = 1000;
  std::vector<struct suspect *> nodes;
  std::vector<struct suspect_table *> tables;
  std::vector<bool> alive;
  std::vector<std::string> names;
  std::vector<std::map<std::string, struct route_engine *> > views;
  std::map<std::string, int64_t> down_until; /* engines */
  std::vector<std::string> engines;
  std::vector<message> messages;
  std::vector<running> runs;
  /* request -> node, fingerprint */
  std::map<uint64_t, std::pair<int, uint64_t> > grant_requests;
  std::map<uint64_t, int> verdicts;
  std::map<uint64_t, int> granted_now; /* fingerprints under a grant */
  std::vector<std::pair<int64_t, std::pair<int, std::string> > > view_changes;
  uint64_t next_request = 1;
  int crashes = 0;
  bool killed = false; /* a node was killed */
  int served = 0;

  explicit simulation (int node_count, int engine_count)
  {
    for (int i = 0; i < engine_count; i++)
      engines.push_back ("e" + std::to_string (i));
    for (int i = 0; i < node_count; i++)
      names.push_back ("n" + std::to_string (i));
    for (int i = 0; i < node_count; i++)
      {
        struct suspect_options options = { names[i].c_str () };

        tables.push_back (suspect_table_new ());
        nodes.push_back (suspect_new (&options, tables[i]));
        alive.push_back (true);
        views.emplace_back ();
        for (auto &id : engines)
          views[i][id]
              = route_engine_new (id.c_str (), "127.0.0.1:1", "z", "p");
      }
    update_nodes ();
  }

  ~simulation ()
  {
    for (size_t i = 0; i < nodes.size (); i++)
      {
        suspect_free (nodes[i]);
        suspect_table_free (tables[i]);
        for (auto &one : views[i])
          route_engine_unref (one.second);
      }
  }

  struct timespec
  now () const
  {
    return ts_from_ms (ms);
  }

  void
  update_nodes ()
  {
    std::vector<const char *> live;

    for (size_t i = 0; i < names.size (); i++)
      if (alive[i])
        live.push_back (names[i].c_str ());
    for (size_t i = 0; i < nodes.size (); i++)
      {
        struct action_list list;

        action_list_init (&list);
        if (alive[i])
          suspect_nodes (nodes[i], live.data (), live.size (), now (), &list);
        run_actions ((int)i, &list);
      }
  }

  void
  run_actions (int node, struct action_list *list)
  {
    struct action *one;

    while ((one = action_pop (list)) != NULL)
      {
        struct suspect_action action = *(struct suspect_action *)one;

        action_free (one);
        if (action.action.type == SUSPECT_VERDICT)
          {
            RC_ASSERT (++verdicts[action.request] == 1);
            if (action.granted)
              dispatch (node, action.grant.fingerprint, action.request);
            continue;
          }
        for (int to = 0; to < (int)nodes.size (); to++)
          if (to != node && (action.node[0] == 0 || names[to] == action.node))
            messages.push_back (
                { node, to, ms + in_range (1, message_delay_max_ms), action });
      }
  }

  /* Admits a request as a traffic thread does.  */
  void
  arrive (int node, uint64_t fingerprint)
  {
    unsigned strikes = suspect_strikes (tables[node], fingerprint, NULL);
    struct action_list list;

    action_list_init (&list);
    if (strikes == 0)
      dispatch (node, fingerprint, 0);
    else if (strikes < SUSPECT_REFUSE_STRIKES)
      {
        uint64_t request = next_request++;

        grant_requests[request] = { node, fingerprint };
        suspect_request_grant (nodes[node], fingerprint, "t", 0, request,
                               ts_add_ms (now (), 5000), now (), &list);
      }
    run_actions (node, &list);
  }

  void
  dispatch (int node, uint64_t fingerprint, uint64_t request)
  {
    std::vector<struct route_replica> replicas;
    size_t pair[SUSPECT_PAIR_MAX];
    uint64_t lost = 0;
    unsigned n;

    if (request == 0
        && suspect_strikes (tables[node], fingerprint, &lost) != 0)
      return;
    suspect_strikes (tables[node], fingerprint, &lost);
    for (auto &one : views[node])
      {
        struct route_replica replica = {};

        replica.engine = one.second;
        replicas.push_back (replica);
      }
    n = suspect_pair (fingerprint, lost, replicas.data (), replicas.size (),
                      pair);
    std::string engine
        = n > 0 ? replicas[pair[in_range (0, (int)n)]].engine->id : "";
    if (engine.empty () || down_until.count (engine))
      {
        end (node, request, false);
        return;
      }
    if (fingerprint == poison)
      RC_LOG () << "at " << ms << " node " << node << " of " << nodes.size ()
                << " runs on " << engine << " of " << views[node].size ()
                << (request ? " granted" : "") << ", lost " << lost
                << std::endl;
    unsigned granted = request != 0;

    for (auto &one : runs)
      granted += one.request != 0;
    RC_ASSERT (killed || granted <= 1); /* one suspect at a time */
    runs.push_back (
        { node, fingerprint, engine, ms + in_range (1, 300), request });
  }

  void
  end (int node, uint64_t request, bool complete)
  {
    struct action_list list;

    action_list_init (&list);
    if (request != 0)
      suspect_end (nodes[node], 0, request, complete, now (), &list);
    run_actions (node, &list);
  }

  void
  crash (const std::string &engine)
  {
    std::vector<running> aborted;

    crashes++;
    RC_LOG () << "at " << ms << " crashed: " << engine << std::endl;
    down_until[engine] = ms + restart_ms;
    for (size_t i = runs.size (); i-- > 0;)
      if (runs[i].engine == engine)
        {
          aborted.push_back (runs[i]);
          runs.erase (runs.begin () + (long)i);
        }
    for (auto &one : aborted)
      {
        struct action_list list;

        if (!alive[one.node])
          continue;
        action_list_init (&list);
        suspect_crash (nodes[one.node], one.fingerprint, engine.c_str (),
                       now (), &list);
        run_actions (one.node, &list);
        end (one.node, one.request, false);
      }
    for (int node = 0; node < (int)nodes.size (); node++)
      {
        view_changes.push_back (
            { ms + in_range (list_delay_min_ms, 3000), { node, engine } });
        view_changes.push_back (
            { ms + restart_ms + in_range (0, 3000), { node, "+" + engine } });
      }
  }

  void
  change_view (int node, const std::string &what)
  {
    if (what[0] == '+')
      {
        std::string id = what.substr (1);

        if (!views[node].count (id))
          views[node][id]
              = route_engine_new (id.c_str (), "127.0.0.1:1", "z", "p");
        return;
      }
    if (!views[node].count (what))
      return;
    route_engine_unref (views[node][what]);
    views[node].erase (what);
  }

  void
  receive (const message &m)
  {
    struct action_list list;
    const char *from = names[m.from].c_str ();

    if (!alive[m.to])
      return;
    action_list_init (&list);
    switch (m.action.action.type)
      {
      case SUSPECT_SEND_STRIKE:
        suspect_strike_received (nodes[m.to], &m.action.strike, now ());
        break;
      case SUSPECT_REQUEST_GRANT:
        suspect_grant_requested (nodes[m.to], from, &m.action.grant, now (),
                                 &list);
        break;
      case SUSPECT_RELEASE_GRANT:
        suspect_grant_released (nodes[m.to], from, &m.action.grant, now (),
                                &list);
        break;
      default:
        suspect_grant_answered (nodes[m.to], &m.action.grant, m.action.granted,
                                now (), &list);
      }
    run_actions (m.to, &list);
  }

  template <typename T, typename F>
  void
  due (std::vector<T> &all, F at, std::vector<T> &out)
  {
    for (size_t i = all.size (); i-- > 0;)
      if (at (all[i]) <= ms)
        {
          out.push_back (all[i]);
          all.erase (all.begin () + (long)i);
        }
  }

  void
  step ()
  {
    std::vector<message> got;
    std::vector<running> ended;
    std::vector<std::pair<int64_t, std::pair<int, std::string> > > changes;

    ms += 5;
    due (
        messages, [] (const message &m) { return m.at; }, got);
    for (auto &m : got)
      receive (m);
    due (
        runs, [] (const running &r) { return r.ends; }, ended);
    for (auto &r : ended)
      {
        if (down_until.count (r.engine))
          continue;
        if (r.fingerprint == poison)
          {
            runs.push_back (r);
            crash (r.engine);
            continue;
          }
        served++;
        if (alive[r.node])
          end (r.node, r.request, true);
      }
    due (
        view_changes,
        [] (const std::pair<int64_t, std::pair<int, std::string> > &c) {
          return c.first;
        },
        changes);
    for (auto &c : changes)
      change_view (c.second.first, c.second.second);
    for (auto it = down_until.begin (); it != down_until.end ();)
      it = it->second <= ms ? down_until.erase (it) : std::next (it);
    for (int i = 0; i < (int)nodes.size (); i++)
      {
        struct action_list list;

        action_list_init (&list);
        if (alive[i] && !ts_before (now (), suspect_next (nodes[i])))
          suspect_tick (nodes[i], now (), &list);
        run_actions (i, &list);
      }
  }

  void
  kill_node ()
  {
    int node = in_range (0, (int)nodes.size ());

    if (std::count (alive.begin (), alive.end (), true) < 2 || !alive[node])
      return;
    alive[node] = false;
    killed = true;
    /* The connections of the node close.  */
    for (size_t i = runs.size (); i-- > 0;)
      if (runs[i].node == node)
        runs.erase (runs.begin () + (long)i);
    update_nodes ();
  }
};

int
main ()
{
  bool ok = rc::check ("a request crashes at most two backend servers", [] {
    simulation w (in_range (1, 7), in_range (1, 8));

    for (int i = 0; i < 2500; i++)
      {
        int node = in_range (0, (int)w.nodes.size ());

        if (in_range (0, 40) == 0 && w.alive[node])
          w.arrive (node, poison);
        if (in_range (0, 300) == 0) /* to every node at once */
          for (int j = 0; j < (int)w.nodes.size (); j++)
            if (w.alive[j])
              w.arrive (j, poison);
        if (in_range (0, 20) == 0 && w.alive[node])
          w.arrive (node, (uint64_t)in_range (100, 140));
        if (in_range (0, 1000) == 0)
          w.kill_node ();
        w.step ();
        RC_ASSERT (w.crashes <= SUSPECT_REFUSE_STRIKES);
      }
    for (int i = 0; i < 1100; i++)
      w.step ();
    for (auto &one : w.grant_requests)
      if (w.alive[one.second.first])
        RC_ASSERT (w.verdicts[one.first] == 1);
    /* All strikes expire: those of the harmless requests that ran beside the
       poison request, and its own.  */
    w.ms += SUSPECT_REFUSE_TTL_MS;
    for (int i = 0; i < 10; i++)
      w.step ();
    for (uint64_t f = poison; f < 140; f++)
      for (size_t i = 0; i < w.nodes.size (); i++)
        if (w.alive[i])
          RC_ASSERT (suspect_strikes (w.tables[i], f, NULL) == 0u);
  });
  return ok ? 0 : 1;
}

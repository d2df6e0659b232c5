/* Nodes that send requests to one server which names a rate for all of them,
   beside nodes that restart, freeze or are cut off from the others.  */

#include <rapidcheck.h>
#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C"
{
#include "ratelimit.h"
#include "ts.h"
}

static int
in_range (int low, int high)
{
  return *rc::gen::resize (rc::kNominalSize, rc::gen::inRange (low, high));
}

static const char server[] = "s";
static const int step_ms = 5;
static const int64_t stability_ms = 3000;
static const int64_t window_ms = 4000;
static const double over = 1.5; /* as the rule counts: 1.5 times the limit */
static const double slack = 5;  /* and 5 requests */
static const int reply_ms = 30; /* of the server */
static const int delay_max_ms = 20;
static const int wait_max_ms = 1000; /* of a request */
static const int alone_max_ms = 500; /* of a node that has started */
static const double use_min = 0.7;   /* of the limit, with enough demand */

struct request
{
  uint64_t ask;
  int64_t until;
};

struct node
{
  struct ratelimit *ratelimit = nullptr;
  std::string name;
  double per_s = 0; /* demand */
  bool cut = false; /* from the other nodes */
  int64_t frozen_until = 0;
  int64_t calm_since = 0;  /* started or thawed */
  int64_t alone_until = 0; /* it knows no other node, as it has just started */
  std::vector<request> waiting;
};

struct message
{
  int64_t at;
  size_t from;
  size_t to;
  struct ratelimit_action action;
};

struct response
{
  int64_t at;
  int64_t sent;
  size_t node;
  double per_s;
};

struct sent
{
  int64_t at;
  bool counts;
};

struct world
{
  std::mt19937 random;
  int64_t ms = 100000;
  double limit = 0;
  std::vector<node> nodes;
  std::vector<message> messages;
  std::vector<response> responses;
  std::vector<sent> requests;
  unsigned rejected = 0;

  world (unsigned seed, size_t count) : random (seed), nodes (count)
  {
    for (size_t i = 0; i < count; i++)
      {
        nodes[i].name = "n" + std::to_string (i);
        nodes[i].ratelimit = ratelimit_new (nodes[i].name.c_str ());
        nodes[i].calm_since = ms - stability_ms;
      }
    for (size_t i = 0; i < count; i++)
      set_nodes (i);
  }

  ~world ()
  {
    for (auto &node : nodes)
      ratelimit_free (node.ratelimit);
  }

  int
  between (int low, int high)
  {
    return std::uniform_int_distribution<int> (low, high) (random);
  }

  bool
  chance (double share)
  {
    return std::bernoulli_distribution (std::min (share, 1.0)) (random);
  }

  struct timespec
  now () const
  {
    return ts_from_ms (ms);
  }

  bool
  alone (size_t i) const
  {
    return ms < nodes[i].alone_until;
  }

  bool
  linked (size_t a, size_t b) const
  {
    return a == b
           || (!nodes[a].cut && !nodes[b].cut && !alone (a) && !alone (b));
  }

  bool
  runs (size_t i) const
  {
    return nodes[i].frozen_until <= ms;
  }

  /* Nodes that are cut off are listed as dead after a while only, which the
     caller of ratelimit_set_nodes learns; here they stay listed.  */
  void
  set_nodes (size_t i)
  {
    std::vector<struct homes_node> list;

    for (size_t j = 0; j < nodes.size (); j++)
      if (j == i || !alone (i))
        list.push_back ({ nodes[j].name.c_str (), linked (i, j), true });
    ratelimit_set_nodes (nodes[i].ratelimit, list.data (), list.size (),
                         now ());
  }

  size_t
  index_of (const char *name) const
  {
    return (size_t)atoi (name + 1);
  }

  void
  send (size_t from, size_t to, const struct ratelimit_action &action)
  {
    if (to != from && linked (from, to))
      messages.push_back (
          { ms + between (0, delay_max_ms), from, to, action });
  }

  void
  run_actions (size_t from, struct action_list *list)
  {
    struct action *next;

    while ((next = action_pop (list)) != nullptr)
      {
        auto *action = (struct ratelimit_action *)next;

        if (next->type != RATELIMIT_READY && action->node[0] != '\0')
          send (from, index_of (action->node), *action);
        else if (next->type != RATELIMIT_READY)
          for (size_t to = 0; to < nodes.size (); to++)
            send (from, to, *action);
        action_free (next);
      }
  }

  void
  receive (const message &message)
  {
    const auto &action = message.action;
    struct ratelimit *ratelimit = nodes[message.to].ratelimit;
    const char *peer = nodes[message.from].name.c_str ();
    struct action_list list;

    action_list_init (&list);
    if (action.action.type == RATELIMIT_SEND_REPLY)
      ratelimit_replied (ratelimit, server, action.ask, action.rejected,
                         action.wait_ms, now (), &list);
    else
      ratelimit_told (ratelimit, peer, server, action.per_s, action.age_ms,
                      now (), &list);
    if (action.action.type == RATELIMIT_SEND_ASK)
      ratelimit_asked (ratelimit, peer, server, action.ask, action.wait_ms,
                       now (), &list);
    run_actions (message.to, &list);
  }

  /* Requests of a node that does not know the limit yet do not count if it has
     just started.  */
  void
  dispatch (size_t i, bool knows)
  {
    bool counts = knows || nodes[i].calm_since + stability_ms <= ms;

    ratelimit_take (nodes[i].ratelimit, server, now ());
    requests.push_back ({ ms, counts });
    responses.push_back ({ ms + reply_ms, ms, i, limit });
  }

  /* Returns whether the request is done with.  */
  bool
  try_request (size_t i, const request &request)
  {
    struct ratelimit *ratelimit = nodes[i].ratelimit;
    struct ratelimit_verdict verdict
        = ratelimit_check (ratelimit, server, request.ask, now ());

    if (verdict.state == RATELIMIT_NONE || verdict.state == RATELIMIT_OPEN)
      dispatch (i, verdict.state == RATELIMIT_OPEN);
    else if (verdict.state == RATELIMIT_REJECTED || request.until <= ms)
      rejected++;
    else
      return false;
    if (request.ask != 0)
      ratelimit_unwant (ratelimit, server, request.ask);
    return true;
  }

  void
  arrive (size_t i)
  {
    request request = { 0, ms + wait_max_ms };
    struct action_list list;

    if (try_request (i, request))
      return;
    action_list_init (&list);
    request.ask = ratelimit_want (nodes[i].ratelimit, server, wait_max_ms,
                                  now (), &list);
    run_actions (i, &list);
    nodes[i].waiting.push_back (request);
  }

  void
  run_node (size_t i)
  {
    auto &waiting = nodes[i].waiting;
    struct action_list list;
    struct timespec next = ratelimit_next (nodes[i].ratelimit);

    find_others (i);
    set_nodes (i);
    if (!ts_is_zero (next) && !ts_before (now (), next))
      {
        action_list_init (&list);
        ratelimit_tick (nodes[i].ratelimit, now (), &list);
        run_actions (i, &list);
      }
    for (size_t k = 0; k < waiting.size ();)
      if (try_request (i, waiting[k]))
        waiting.erase (waiting.begin () + (ptrdiff_t)k);
      else
        k++;
    if (chance (nodes[i].per_s * step_ms / 1000))
      arrive (i);
  }

  template <typename T, typename F, typename R>
  void
  run_due (std::vector<T> &queue, F ready, R run)
  {
    std::vector<T> due;

    for (size_t k = 0; k < queue.size ();)
      if (queue[k].at <= ms && ready (queue[k]))
        {
          due.push_back (queue[k]);
          queue.erase (queue.begin () + (ptrdiff_t)k);
        }
      else
        k++;
    for (const auto &item : due)
      run (item);
  }

  void
  step ()
  {
    ms += step_ms;
    run_due (
        messages, [this] (const message &m) { return runs (m.to); },
        [this] (const message &m) { receive (m); });
    run_due (
        responses, [this] (const response &r) { return runs (r.node); },
        [this] (const response &r) {
          struct action_list list;

          action_list_init (&list);
          ratelimit_heard (nodes[r.node].ratelimit, server, r.per_s,
                           ts_from_ms (r.sent), now (), &list);
          run_actions (r.node, &list);
        });
    for (size_t i = 0; i < nodes.size (); i++)
      if (runs (i))
        run_node (i);
  }

  void
  connect (size_t a, size_t b)
  {
    struct action_list list;

    if (a == b)
      return;
    action_list_init (&list);
    ratelimit_send_all (nodes[a].ratelimit, nodes[b].name.c_str (), now (),
                        &list);
    run_actions (a, &list);
  }

  void
  connect_all (size_t i)
  {
    for (size_t j = 0; j < nodes.size (); j++)
      {
        connect (i, j);
        connect (j, i);
      }
  }

  void
  restart (size_t i)
  {
    ratelimit_free (nodes[i].ratelimit);
    nodes[i].ratelimit = ratelimit_new (nodes[i].name.c_str ());
    nodes[i].waiting.clear ();
    nodes[i].calm_since = ms;
    nodes[i].alone_until = ms + between (0, alone_max_ms);
    set_nodes (i);
  }

  void
  find_others (size_t i)
  {
    if (nodes[i].alone_until == 0 || alone (i))
      return;
    nodes[i].alone_until = 0;
    connect_all (i);
  }

  void
  heal ()
  {
    for (size_t i = 0; i < nodes.size (); i++)
      if (nodes[i].cut)
        {
          nodes[i].cut = false;
          connect_all (i);
        }
  }

  void
  trouble ()
  {
    size_t node = (size_t)between (0, (int)nodes.size () - 1);

    switch (between (0, 4))
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
        nodes[node].frozen_until = ms + between (100, 3000);
        nodes[node].calm_since = nodes[node].frozen_until;
        break;
      default:
        for (size_t i = 0; i < nodes.size (); i++)
          restart (i);
      }
  }

  void
  run_for (int64_t duration_ms, double troubles)
  {
    for (int64_t end = ms + duration_ms; ms < end;)
      {
        step ();
        if (chance (troubles * step_ms / 1000))
          trouble ();
      }
  }

  /* The most requests in a window, of those since SINCE.  */
  double
  most_in_window (int64_t since) const
  {
    std::vector<int64_t> times;
    size_t first = 0;
    size_t most = 0;

    for (const auto &request : requests)
      if (request.counts && request.at >= since)
        times.push_back (request.at);
    for (size_t k = 0; k < times.size (); k++)
      {
        while (times[first] + window_ms < times[k])
          first++;
        most = std::max (most, k - first + 1);
      }
    return (double)most;
  }

  double
  count_since (int64_t since) const
  {
    return (double)std::count_if (
        requests.begin (), requests.end (),
        [since] (const sent &request) { return request.at >= since; });
  }
};

static double
allowed (double limit)
{
  return over * limit * (double)window_ms / 1000 + slack;
}

static double
any_limit ()
{
  return (double)in_range (1, 200) / (double)in_range (5, 50);
}

/* A world whose nodes together want FACTOR times the limit; ONE: all of it at
   one node.  */
static std::unique_ptr<world>
busy_world (double limit, double factor, bool one)
{
  auto made = std::make_unique<world> ((unsigned)in_range (0, 1 << 30),
                                       (size_t)in_range (1, 13));
  size_t busy = made->nodes.size () - 1;

  for (size_t i = 0; i < made->nodes.size (); i++)
    if (!one || i == busy)
      made->nodes[i].per_s
          = limit * factor / (one ? 1 : (double)made->nodes.size ());
  return made;
}

static void
check_calm (bool one)
{
  double limit = any_limit ();
  auto world = busy_world (limit, 4, one);
  int64_t named;

  world->run_for (2000, 0);
  world->limit = limit;
  named = world->ms;
  world->run_for (30000, 0);
  RC_ASSERT (world->most_in_window (named + stability_ms) <= allowed (limit));
  RC_ASSERT (world->count_since (named + 10000) >= use_min * limit * 20 - 2);
}

static void
check_trouble ()
{
  double limit = any_limit ();
  auto world = busy_world (limit, in_range (1, 10), in_range (0, 4) == 0);
  int64_t named;

  world->run_for (2000, 0);
  world->limit = limit;
  named = world->ms;
  world->run_for (40000, 0.5);
  RC_ASSERT (world->most_in_window (named + stability_ms) <= allowed (limit));
}

static void
check_change ()
{
  double limit = any_limit ();
  double lower = limit / in_range (2, 10);
  auto world = busy_world (limit, 4, false);
  unsigned rejected;
  int64_t changed;

  world->limit = limit;
  world->run_for (8000, 0);
  world->limit = lower;
  changed = world->ms;
  world->run_for (15000, 0);
  /* The lower limit is heard with the next response.  */
  changed += (int64_t)(1000 / lower);
  RC_ASSERT (world->most_in_window (changed + stability_ms)
             <= allowed (lower));
  world->limit = 0;
  world->run_for ((int64_t)(2000 / lower) + 2000, 0);
  rejected = world->rejected;
  world->run_for (3000, 0);
  RC_ASSERT (world->rejected == rejected);
}

int
main ()
{
  bool ok = true;

  ok &= rc::check ("a limit is kept and used by all nodes together",
                   [] { check_calm (false); });
  ok &= rc::check ("a limit is kept and used by one node alone",
                   [] { check_calm (true); });
  ok &= rc::check ("a limit is kept beside restarts, cuts and freezes",
                   [] { check_trouble (); });
  ok &= rc::check ("a limit that falls is kept, one that is lifted is free",
                   [] { check_change (); });
  return ok ? 0 : 1;
}

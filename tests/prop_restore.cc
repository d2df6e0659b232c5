/* Property test: a table that is restored from older copies at any moment
   gives no fencing token to two holders, lets no two holders send at a time,
   and no token falls at an engine; the lease is acquired again once the faults
   end.

   The nodes use the real lease module.  Responses are passed on as platform.h
   says.  */

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>
#include <rapidcheck.h>

extern "C"
{
#include "fake_table.h"
#include "lease.h"
#include "ts.h"
}

namespace
{

const int node_count = 3;
const int64_t order_ms = 350; /* an order arrives within this time */
const int restored_writes_max = 7;
const double rates[node_count] = { 1.0, 1.009, 0.991 };

enum step_kind
{
  ADVANCE,
  TICK,
  EXECUTE,
  RESPOND,
  LOSE_RESPONSE,
  GIVE_UP, /* the sender gives up; the transaction may be executed later */
  EXECUTE_LATE, /* one that was given up */
  RUN,          /* a node runs, and the table responds at once */
  PAUSE,        /* a node is paused while the others run */
  ORDER,
  DELIVER,
  KILL,
  START,
  OUTAGE,
  RELEASE,
  REPORT_DEAD,
  RESTORE,
  RUN_MORE, /* as RUN, PAUSE and ORDER, to make progress likely */
  PAUSE_MORE,
  ORDER_MORE,
  STEPS
};

using Steps = std::vector<std::pair<int, int> >;
using Holder = std::pair<int, unsigned>; /* node and incarnation */

struct txn_free
{
  void
  operator() (platform_txn *txn) const
  {
    fake_txn_free (txn);
  }
};

using Txn = std::unique_ptr<platform_txn, txn_free>;

struct request
{
  int node = 0;
  unsigned incarnation = 0;
  uint64_t attempt = 0;
  Txn txn; /* null: reads the row */
  uint64_t sent_era = 0;
  bool answered = false;
  platform_status status = PLATFORM_UNKNOWN;
  uint64_t era = 0; /* of the response; 0: none */
  platform_rows rows = {};

  request () = default;
  request (request &&) = default;
  request &operator= (request &&) = default;
};

struct order
{
  Holder from;
  uint64_t fence;
  int64_t sent_ns;
};

struct node
{
  bool alive = false;
  unsigned incarnation = 0;
  uint64_t era = 0; /* known to its platform */
  struct lease *lease = nullptr;
};

class fleet
{
public:
  explicit fleet (bool checks_fence) : checks_fence (checks_fence)
  {
    fake_table_init (&table);
    fake_table_keep_copies (&table);
    for (int i = 0; i < node_count; i++)
      start (i);
  }

  ~fleet ()
  {
    for (int i = 0; i < node_count; i++)
      kill (i);
    for (auto &r : requests)
      fake_rows_clear (&r.rows);
    fake_table_clear (&table);
  }

  fleet (const fleet &) = delete;
  fleet &operator= (const fleet &) = delete;

  void step (int kind, unsigned arg);
  void recover ();
  unsigned wins = 0;
  unsigned restores = 0;

private:
  timespec now (int i) const;
  void start (int i);
  void kill (int i);
  void run_actions (int i, action_list *list);
  void won (int i, uint64_t fence);
  void tick (int i);
  void execute (request &r);
  void respond (size_t k);
  void run (int i);
  void pause (int paused, unsigned turns);
  void advance (int64_t ms);
  void send_order (int i);
  void deliver (size_t k);
  void report_dead (int i);
  void check () const;

  bool checks_fence;
  bool outage = false;
  int64_t ns = 0;
  fake_table table = {};
  node nodes[node_count];
  std::vector<request> requests;
  std::vector<Txn> late;
  std::vector<order> orders;
  std::map<uint64_t, Holder> tokens;
  uint64_t engine_fence = 0;
  Holder engine_holder;
};

timespec
fleet::now (int i) const
{
  return ts_from_ns (
      static_cast<int64_t> (static_cast<double> (ns) * rates[i] + 1e12));
}

void
fleet::start (int i)
{
  node &n = nodes[i];
  const std::string name = "n" + std::to_string (i);
  lease_options options = {};

  if (n.alive)
    return;
  n.alive = true;
  n.era = 0;
  options.cell = "c";
  options.node = name.c_str ();
  options.incarnation = ++n.incarnation;
  options.checks_fence = checks_fence;
  n.lease = lease_new (&options);
  lease_set_rank (n.lease, static_cast<unsigned> (i), now (i));
}

void
fleet::kill (int i)
{
  if (nodes[i].alive)
    lease_free (nodes[i].lease);
  nodes[i].alive = false;
}

void
fleet::won (int i, uint64_t fence)
{
  wins++;
  RC_ASSERT (tokens.emplace (fence, Holder (i, nodes[i].incarnation)).second);
}

void
fleet::run_actions (int i, action_list *list)
{
  action *next;

  while ((next = action_pop (list)) != nullptr)
    {
      const lease_action *a = reinterpret_cast<lease_action *> (next);
      const uint64_t fence = a->fence;
      const int type = next->type;

      if (type == LEASE_READ || type == LEASE_TXN)
        {
          request r;

          r.node = i;
          r.incarnation = nodes[i].incarnation;
          r.sent_era = nodes[i].era;
          r.attempt = a->attempt;
          if (type == LEASE_TXN)
            r.txn.reset (fake_txn_copy (&a->txn));
          requests.push_back (std::move (r));
        }
      action_free (next);
      if (type == LEASE_WON)
        won (i, fence);
    }
}

void
fleet::tick (int i)
{
  action_list list;

  if (!nodes[i].alive)
    return;
  action_list_init (&list);
  lease_tick (nodes[i].lease, now (i), &list);
  run_actions (i, &list);
}

void
fleet::execute (request &r)
{
  if (r.answered)
    return;
  r.answered = true;
  r.status = PLATFORM_REFUSED;
  if (outage)
    return;
  r.era = table.era;
  r.status = PLATFORM_OK;
  if (r.txn)
    r.status = fake_table_txn (&table, r.txn.get (), &r.rows);
  else
    fake_table_scan (&table, "cell/c", 1, &r.rows);
}

void
fleet::respond (size_t k)
{
  request r = std::move (requests[k]);
  node &n = nodes[r.node];
  action_list list;

  requests.erase (requests.begin () + static_cast<ptrdiff_t> (k));
  action_list_init (&list);
  if (n.alive && n.incarnation == r.incarnation)
    {
      const timespec at = now (r.node);
      const platform_row *row;

      if (r.era > n.era)
        {
          n.era = r.era;
          lease_set_era (n.lease, n.era, at, &list);
        }
      if (r.era != 0
          && (r.era < n.era
              || (r.txn && r.sent_era != 0 && r.sent_era != r.era)))
        {
          r.status = PLATFORM_UNKNOWN;
          fake_rows_clear (&r.rows);
        }
      row = r.rows.count > 0 ? r.rows.rows : nullptr;
      if (r.txn)
        lease_txn_done (n.lease, r.attempt, r.status, row, at, &list);
      else
        lease_row (n.lease, r.status, row, at, &list);
    }
  fake_rows_clear (&r.rows);
  run_actions (r.node, &list);
}

void
fleet::run (int i)
{
  tick (i);
  for (int turn = 0; turn < 16; turn++)
    {
      const auto at
          = std::find_if (requests.begin (), requests.end (),
                          [=] (const request &r) { return r.node == i; });

      if (at == requests.end ())
        return;
      execute (*at);
      respond (static_cast<size_t> (at - requests.begin ()));
    }
}

/* Orders to engines that do not check tokens arrive within order_ms.  */
void
fleet::advance (int64_t ms)
{
  ns += ms * TS_NS_PER_MS;
  for (size_t k = 0; !checks_fence && k < orders.size ();)
    if (ns - orders[k].sent_ns > order_ms * TS_NS_PER_MS)
      deliver (k);
    else
      k++;
}

void
fleet::pause (int paused, unsigned turns)
{
  for (unsigned turn = 0; turn < turns; turn++)
    {
      advance (250);
      for (int i = 0; i < node_count; i++)
        if (i != paused)
          {
            run (i);
            check ();
            send_order (i);
          }
    }
}

void
fleet::send_order (int i)
{
  const node &n = nodes[i];

  if (n.alive && lease_may_send (n.lease, now (i)))
    orders.push_back (
        { Holder (i, n.incarnation), lease_fence (n.lease), ns });
}

void
fleet::deliver (size_t k)
{
  const order o = orders[k];

  orders.erase (orders.begin () + static_cast<ptrdiff_t> (k));
  if (checks_fence && o.fence < engine_fence)
    {
      action_list list;

      action_list_init (&list);
      if (nodes[o.from.first].alive
          && nodes[o.from.first].incarnation == o.from.second)
        lease_fenced (nodes[o.from.first].lease, engine_fence,
                      now (o.from.first), &list);
      run_actions (o.from.first, &list);
      return;
    }
  RC_ASSERT (o.fence >= engine_fence);
  RC_ASSERT (o.fence > engine_fence || o.from == engine_holder);
  engine_fence = o.fence;
  engine_holder = o.from;
}

void
fleet::report_dead (int i)
{
  const std::string name = "n" + std::to_string (i);

  for (int j = 0; j < node_count; j++)
    if (nodes[j].alive)
      lease_holder_dead (nodes[j].lease, name.c_str (), now (j));
}

void
fleet::check () const
{
  int senders = 0;

  for (int i = 0; i < node_count; i++)
    senders
        += nodes[i].alive && lease_may_send (nodes[i].lease, now (i)) ? 1 : 0;
  RC_ASSERT (checks_fence || senders <= 1);
}

void
fleet::step (int kind, unsigned arg)
{
  const int i = static_cast<int> (arg % node_count);
  const size_t k = requests.empty () ? 0 : arg % requests.size ();
  action_list list;

  action_list_init (&list);
  switch (kind)
    {
    case ADVANCE:
      advance (arg);
      break;
    case TICK:
      tick (i);
      break;
    case EXECUTE:
      if (!requests.empty ())
        execute (requests[k]);
      break;
    case RESPOND:
      if (!requests.empty () && requests[k].answered)
        respond (k);
      break;
    case LOSE_RESPONSE:
    case GIVE_UP:
      if (requests.empty () || requests[k].answered)
        break;
      if (kind == LOSE_RESPONSE)
        execute (requests[k]);
      else if (requests[k].txn)
        late.emplace_back (fake_txn_copy (requests[k].txn.get ()));
      requests[k].answered = true;
      requests[k].status = PLATFORM_UNKNOWN;
      requests[k].era = 0;
      fake_rows_clear (&requests[k].rows);
      break;
    case EXECUTE_LATE:
      if (late.empty () || outage)
        break;
      fake_table_txn (&table, late[arg % late.size ()].get (), nullptr);
      late.erase (late.begin () + static_cast<ptrdiff_t> (arg % late.size ()));
      break;
    case RUN:
    case RUN_MORE:
      run (i);
      break;
    case PAUSE:
    case PAUSE_MORE:
      pause (i, arg / 64);
      break;
    case ORDER:
    case ORDER_MORE:
      send_order (i);
      break;
    case DELIVER:
      if (!orders.empty ())
        deliver (arg % orders.size ());
      break;
    case KILL:
      kill (i);
      break;
    case START:
      start (i);
      break;
    case OUTAGE:
      outage = !outage;
      break;
    case RELEASE:
      if (nodes[i].alive)
        lease_release (nodes[i].lease, now (i), &list);
      run_actions (i, &list);
      break;
    case REPORT_DEAD:
      report_dead (i);
      break;
    case RESTORE:
      restores++;
      fake_table_restore (&table, arg % (restored_writes_max + 1));
      break;
    default:
      break;
    }
  check ();
}

void
fleet::recover ()
{
  bool may_send = false;

  outage = false;
  for (int i = 0; i < node_count; i++)
    start (i);
  pause (node_count, 60);
  /* The lease may just be handed over to a node of better rank.  */
  for (int turn = 0; turn < 20; turn++)
    {
      pause (node_count, 1);
      for (int i = 0; i < node_count; i++)
        may_send = may_send || lease_may_send (nodes[i].lease, now (i));
    }
  RC_ASSERT (may_send);
}

void
property (bool checks_fence)
{
  const auto steps = *rc::gen::container<Steps> (rc::gen::pair (
      rc::gen::inRange<int> (0, STEPS), rc::gen::inRange (0, 2500)));
  fleet f (checks_fence);

  for (const auto &step : steps)
    f.step (step.first, static_cast<unsigned> (step.second));
  f.recover ();
  RC_TAG (std::to_string (std::min (f.wins, 6U)) + " wins, "
          + std::to_string (std::min (f.restores, 6U)) + " restores");
}

void
set_parameters ()
{
  const char *given = std::getenv ("RC_PARAMS");
  std::string params = given != nullptr ? given : "seed=1";

  params += std::getenv ("RC_LONG") != nullptr
                ? " max_success=20000 max_size=600"
                : " max_success=1500 max_size=200";
  setenv ("RC_PARAMS", params.c_str (), 1);
}

}

int
main ()
{
  bool ok = true;

  set_parameters ();
  ok &= rc::check ("engines that ignore the token", [] { property (false); });
  ok &= rc::check ("engines that check the token", [] { property (true); });
  return ok ? 0 : 1;
}

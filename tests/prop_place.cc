/* Placement of a cell against simulated engines that account for their memory
   independently, with late reports, lost, late and duplicated orders, engine
   restarts, leaving and lost engines, and failover of the placement.  */

#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <vector>

extern "C"
{
#include "place.h"
#include "ts.h"
}

namespace
{
constexpr unsigned MODELS = 5;
constexpr unsigned ENGINES = 3;
constexpr unsigned ADAPTERS = 3;
constexpr uint64_t ENGINE_MB = 100;
constexpr uint64_t RESERVE_MB = 5;
constexpr unsigned MAX_REPLICAS = 2;

struct Copy
{
  std::string version;
  bool adapter = false;
  bool loading = true;
  uint64_t memory = 0;
  std::string order;
};

struct Engine
{
  std::string id;
  uint64_t epoch = 1;
  uint64_t seq = 0;
  uint64_t fence = 0;
  bool leaving = false;
  bool gone = false;
  std::map<std::string, Copy> copies; /* name@version */
  std::set<std::string> seen_orders;  /* orders seen in this epoch */
  std::vector<std::string> settled;
  std::set<std::string> disk;
};

struct Order
{
  std::string id, engine, model, version, adapter;
  backend_order_type type;
  uint64_t fence, memory;
};

struct Snapshot
{
  Engine engine;
  int64_t at_ms;
};

struct Answer
{
  std::string id;
  bool ok;
  unsigned decider_fence;
};

struct Doc
{
  struct doc d = {};
  std::vector<struct doc_model> models;
  std::vector<struct doc_adapter> adapters;
  std::vector<std::string> names;

  Doc (unsigned revision)
  {
    static char team[] = "t";
    static char pool[] = "p";

    names.reserve (2 * (MODELS + ADAPTERS) + 2);
    for (unsigned i = 0; i < MODELS; i++)
      {
        struct doc_model m = {};

        m.name = intern ("m" + std::to_string (i));
        m.team = team;
        m.pool = pool;
        m.version = intern (i < revision % 3 ? "2" : "1");
        m.memory_mb = 20 + 12 * i;
        m.kv_reserve_mb = RESERVE_MB;
        m.max_replicas = 1 + i % MAX_REPLICAS;
        m.min_replicas = i == 0 && revision % 2;
        models.push_back (m);
      }
    for (unsigned i = 0; i < ADAPTERS; i++)
      {
        struct doc_adapter a = {};

        a.name = intern ("x" + std::to_string (i));
        a.team = team;
        a.model = models[i].name;
        a.version = intern ("1");
        a.memory_mb = 4;
        adapters.push_back (a);
      }
    d.models = models.data ();
    d.model_count = MODELS;
    d.adapters = adapters.data ();
    d.adapter_count = ADAPTERS;
  }

  char *
  intern (const std::string &text)
  {
    names.push_back (text);
    return names.back ().data ();
  }
};

struct Step
{
  unsigned op, a, b;
};

std::ostream &
operator<< (std::ostream &os, const Step &s)
{
  return os << s.op << ":" << s.a << ":" << s.b;
}

class Simulation
{
public:
  Simulation () : doc (new Doc (0))
  {
    for (unsigned i = 0; i < ENGINES; i++)
      {
        engines[i].id = "e" + std::to_string (i);
        engines[i].disk.insert ("m" + std::to_string (i) + "@1");
      }
    action_list_init (&out);
    start_placement ();
  }

  ~Simulation ()
  {
    place_free (place);
    action_list_clear (&out);
    delete doc;
    for (Doc *d : old_docs)
      delete d;
  }

  void
  run (const Step &s)
  {
    Engine &e = engines[s.a % ENGINES];

    switch (s.op)
      {
      case 0:
      case 1:
        now_ms += 50 + s.b * 37;
        place_tick (place, now (), &out);
        break;
      case 2:
      case 3:
        want (s.a, s.b % 4);
        break;
      case 4:
      case 5:
        deliver_order (s.a, true);
        break;
      case 6:
        deliver_order (s.a, false);
        break;
      case 7:
        if (!orders.empty ())
          orders.push_back (orders[s.a % orders.size ()]);
        break;
      case 8:
      case 9:
        if (!e.gone)
          reports.push_back ({ snapshot (e), now_ms });
        break;
      case 10:
      case 11:
        deliver_report (s.a);
        break;
      case 12:
      case 13:
        finish (e, s.b);
        break;
      case 14:
        deliver_answer (s.a);
        break;
      case 15:
        restart (e);
        break;
      case 16:
        if (s.b % 4 == 0)
          fail_over ();
        break;
      case 17:
        revise (s.b);
        break;
      case 18:
        leave (e, s.b);
        break;
      }
    take_actions ();
    check ();
  }

  /* Without further losses and delays, everything in progress completes and
     the state of placement equals that of the engines.  */
  void
  run_without_faults ()
  {
    for (int i = 0; i < 120; i++)
      {
        while (!orders.empty ())
          deliver_order (0, true);
        while (!answers.empty ())
          deliver_answer (0);
        for (Engine &e : engines)
          {
            finish (e, 0);
            if (!e.gone)
              reports.push_back ({ snapshot (e), now_ms });
          }
        while (!reports.empty ())
          deliver_report (0);
        now_ms += 250;
        place_tick (place, now (), &out);
        take_actions ();
        check ();
      }
    compare_with_engines ();
  }

private:
  struct timespec
  now () const
  {
    return ts_from_ms (now_ms);
  }

  void
  start_placement ()
  {
    place_options options = {};

    options.cell = "c";
    options.doc = &doc->d;
    options.seed = 1;
    options.now = now ();
    options.fence = ++fence;
    options.loads_per_s = 10;
    options.loads_at_once = 4;
    options.adapters_at_once = 4;
    place = place_new (&options);
    for (Engine &e : engines)
      if (!e.gone)
        place_engine_seen (place, e.id.c_str (), "127.0.0.1:1", "z", e.leaving,
                           now (), &out);
  }

  void
  fail_over ()
  {
    auto remaining = journal;

    take_actions ();
    remaining = journal;
    place_free (place);
    answers.clear ();
    start_placement ();
    for (auto &entry : remaining)
      {
        Order &o = entry.second;
        backend_order b = {};

        b.type = o.type;
        b.engine = o.engine.c_str ();
        b.address = "127.0.0.1:1";
        b.order_id = o.id.c_str ();
        b.model = o.model.c_str ();
        b.version = o.version.c_str ();
        b.adapter = o.adapter.empty () ? nullptr : o.adapter.c_str ();
        b.memory_mb = o.memory;
        place_restore (place, &b, now (), &out);
      }
  }

  void
  want (unsigned a, unsigned count)
  {
    unsigned i = a % (MODELS + ADAPTERS);
    std::string name = i < MODELS ? "m" + std::to_string (i)
                                  : "x" + std::to_string (i - MODELS);
    std::string node = "n" + std::to_string (a % 2);

    if (count > 0)
      place_request_arrived (place, name.c_str (), count, now ());
    place_set_waiting (place, node.c_str (), name.c_str (), count,
                       ts_from_ms (now_ms + 30000), 5, now (), &out);
  }

  Engine *
  find (const std::string &id)
  {
    for (Engine &e : engines)
      if (e.id == id && !e.gone)
        return &e;
    return nullptr;
  }

  static uint64_t
  used (const Engine &e)
  {
    uint64_t sum = 0;

    for (auto &c : e.copies)
      sum += c.second.memory + (c.second.adapter ? 0 : RESERVE_MB);
    return sum;
  }

  void
  deliver_order (unsigned a, bool arrives)
  {
    if (orders.empty ())
      return;
    size_t i = a % orders.size ();
    Order o = orders[i];
    Engine *e = find (o.engine);

    orders.erase (orders.begin () + (long)i);
    if (!arrives || e == nullptr)
      return;
    answers.push_back ({ o.id, carry_out (*e, o), fence_of (o) });
  }

  unsigned
  fence_of (const Order &o) const
  {
    return (unsigned)o.fence;
  }

  bool
  carry_out (Engine &e, const Order &o)
  {
    if (o.fence < e.fence)
      return false;
    e.fence = o.fence;
    if (!e.seen_orders.insert (o.id).second)
      return true;
    std::string name = o.adapter.empty () ? o.model : o.adapter;
    std::string key = name + "@" + o.version;

    if (o.type == BACKEND_UNLOAD || o.type == BACKEND_ADAPTER_UNLOAD)
      {
        e.copies.erase (key);
        e.settled.push_back (o.id);
        return true;
      }
    if (e.copies.count (key))
      {
        e.settled.push_back (o.id);
        return true;
      }
    Copy c;
    c.version = o.version;
    c.adapter = !o.adapter.empty ();
    c.memory = o.memory;
    c.order = o.id;
    e.copies[key] = c;
    return true;
  }

  void
  finish (Engine &e, unsigned b)
  {
    for (auto i = e.copies.begin (); i != e.copies.end ();)
      {
        Copy &c = i->second;
        bool fails = b % 5 == 4 && c.loading;

        if (c.loading)
          e.settled.push_back (c.order);
        if (c.loading && !c.adapter)
          e.disk.insert (i->first);
        c.loading = false;
        i = fails ? e.copies.erase (i) : std::next (i);
      }
    while (e.settled.size () > 3)
      e.settled.erase (e.settled.begin ());
  }

  static Engine
  snapshot (Engine &e)
  {
    e.seq++;
    return e;
  }

  void
  deliver_report (unsigned a)
  {
    if (reports.empty ())
      return;
    size_t i = a % reports.size ();
    Snapshot s = reports[i];

    reports.erase (reports.begin () + (long)i);
    report (s.engine, s.at_ms);
  }

  void
  report (const Engine &e, int64_t at_ms)
  {
    std::vector<backend_copy> models, adapters;
    std::vector<std::string> names;
    std::vector<const char *> disk, settled;
    backend_report r = {};

    names.reserve (e.copies.size ());
    for (auto &c : e.copies)
      {
        backend_copy b = {};

        names.push_back (c.first.substr (0, c.first.find ('@')));
        b.model = names.back ().c_str ();
        b.version = c.second.version.c_str ();
        b.state
            = c.second.loading ? BACKEND_COPY_LOADING : BACKEND_COPY_LOADED;
        b.memory_mb = c.second.memory;
        r.memory_used_mb += c.second.memory;
        (c.second.adapter ? adapters : models).push_back (b);
      }
    for (auto &d : e.disk)
      disk.push_back (d.c_str ());
    for (auto &s : e.settled)
      settled.push_back (s.c_str ());
    r.engine = e.id.c_str ();
    r.epoch = e.epoch;
    r.seq = e.seq;
    r.fence = e.fence;
    r.age_ms = now_ms - at_ms;
    r.leaving = e.leaving;
    r.memory_mb = ENGINE_MB;
    r.accelerators = 1;
    r.slots = 4;
    r.models = models.data ();
    r.model_count = models.size ();
    r.adapters = adapters.data ();
    r.adapter_count = adapters.size ();
    r.on_disk = disk.data ();
    r.on_disk_count = disk.size ();
    r.settled = settled.data ();
    r.settled_count = settled.size ();
    place_report (place, &r, now (), now (), &out);
  }

  void
  deliver_answer (unsigned a)
  {
    if (answers.empty ())
      return;
    size_t i = a % answers.size ();
    Answer w = answers[i];

    answers.erase (answers.begin () + (long)i);
    if (w.decider_fence != fence)
      return;
    close_attempts (w.id);
    place_order_settled (place, w.id.c_str (), w.ok, "", now (), &out);
  }

  /* The node has at most one attempt of an order in progress, and none
     after the order is acknowledged or settled.  */
  void
  close_attempts (const std::string &id)
  {
    std::vector<Order> remaining;

    for (Order &o : orders)
      if (o.id != id || o.fence != fence)
        remaining.push_back (o);
    orders = remaining;
  }

  /* A restart closes the connections, so orders in flight to the engine are
     lost.  */
  void
  restart (Engine &e)
  {
    std::vector<Order> remaining;

    if (e.gone)
      return;
    now_ms += 1;
    e.epoch += 7;
    e.seq = 0;
    e.copies.clear ();
    e.seen_orders.clear ();
    e.settled.clear ();
    for (Order &o : orders)
      if (o.engine != e.id || o.fence == fence)
        remaining.push_back (o);
    orders = remaining;
  }

  void
  leave (Engine &e, unsigned b)
  {
    if (e.gone)
      return;
    e.leaving = e.leaving || b % 3 == 0;
    place_engine_seen (place, e.id.c_str (), "127.0.0.1:1", "z", e.leaving,
                       now (), &out);
    if (!e.leaving || b % 2)
      return;
    e.gone = true;
    e.copies.clear ();
    place_engine_gone (place, e.id.c_str (), now (), &out);
  }

  void
  revise (unsigned revision)
  {
    old_docs.push_back (doc);
    doc = new Doc (revision);
    place_doc (place, &doc->d, now (), &out);
  }

  void
  take_actions ()
  {
    while (action *a = action_pop (&out))
      {
        place_action *p = (place_action *)a;
        Order o = { p->order.order_id,
                    p->order.engine,
                    p->order.model,
                    p->order.version,
                    p->order.adapter ? p->order.adapter : "",
                    p->order.type,
                    p->order.fence,
                    p->order.memory_mb };

        close_attempts (o.id);
        if (a->type == PLACE_SETTLED)
          journal.erase (o.id);
        else
          {
            RC_ASSERT (p->resent == (journal.count (o.id) > 0));
            journal[o.id] = o;
            orders.push_back (o);
          }
        action_free (a);
      }
  }

  void
  check ()
  {
    std::map<std::string, unsigned> replicas;

    for (Engine &e : engines)
      {
        if (used (e) > ENGINE_MB)
          RC_FAIL ("memory overcommitted at " + e.id);
        for (auto &c : e.copies)
          if (!c.second.adapter)
            replicas[c.first]++;
      }
    for (unsigned i = 0; i < MODELS; i++)
      {
        std::string name = "m" + std::to_string (i);
        unsigned replicas_max = doc->models[i].max_replicas;

        for (auto &r : replicas)
          if (r.first.compare (0, name.size () + 1, name + "@") == 0)
            RC_ASSERT (r.second <= replicas_max + (any_leaving () ? 1 : 0));
        RC_ASSERT (replicas[name + "@1"] + replicas[name + "@2"]
                   <= replicas_max + 1);
      }
  }

  bool
  any_leaving () const
  {
    for (const Engine &e : engines)
      if (e.leaving)
        return true;
    return false;
  }

  static void
  add_holders (void *user, const place_view *view)
  {
    auto *holders = static_cast<std::set<std::string> *> (user);

    for (size_t i = 0; i < view->holder_count; i++)
      holders->insert (std::string (view->holders[i].engine) + " " + view->name
                       + "@" + view->holders[i].version);
    if (view->waiting > 0 && view->adapter == nullptr
        && view->state == PLACE_COLD)
      holders->insert (std::string ("cold ") + view->name);
  }

  void
  compare_with_engines ()
  {
    std::set<std::string> recorded, real;
    unsigned cold = 0;
    unsigned accepting = 0;

    place_each (place, now (), add_holders, &recorded);
    for (auto i = recorded.begin (); i != recorded.end ();)
      {
        bool is_cold = i->compare (0, 5, "cold ") == 0;

        cold += is_cold;
        i = is_cold ? recorded.erase (i) : std::next (i);
      }
    for (Engine &e : engines)
      {
        accepting += !e.gone && !e.leaving;
        for (auto &c : e.copies)
          real.insert (e.id + " " + c.first);
      }
    RC_ASSERT (recorded == real);
    RC_ASSERT (place_unsettled (place) == 0u);
    RC_ASSERT (journal.empty ());
    if (accepting == ENGINES && cold > 0)
      RC_ASSERT (real.size () >= 2u);
  }

  Doc *doc;
  std::vector<Doc *> old_docs;
  struct place *place = nullptr;
  action_list out;
  int64_t now_ms = 1000;
  uint64_t fence = 0;
  Engine engines[ENGINES];
  std::vector<Order> orders;
  std::vector<Snapshot> reports;
  std::vector<Answer> answers;
  std::map<std::string, Order> journal;
};
} // namespace

namespace rc
{
template <> struct Arbitrary<Step>
{
  static Gen<Step>
  arbitrary ()
  {
    return gen::build<Step> (gen::set (&Step::op, gen::inRange (0u, 19u)),
                             gen::set (&Step::a, gen::inRange (0u, 40u)),
                             gen::set (&Step::b, gen::inRange (0u, 30u)));
  }
};
} // namespace rc

int
main ()
{
  auto steps = rc::gen::resize (400, rc::gen::container<std::vector<Step> > (
                                         rc::gen::arbitrary<Step> ()));

  bool ok
      = rc::check ("replicas and memory stay within their limits", [&steps] {
          Simulation simulation;

          for (const Step &s : *steps)
            simulation.run (s);
        });
  ok = rc::check (
           "without faults, placement converges to the state of the engines",
           [&steps] {
             Simulation simulation;

             for (const Step &s : *steps)
               simulation.run (s);
             simulation.run_without_faults ();
           })
       && ok;
  return ok ? 0 : 1;
}

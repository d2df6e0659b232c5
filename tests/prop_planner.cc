/* Placement on engines that count orders, with lost responses, orders carried
   out late, engine restarts and changes of the decider.  Checks that no engine
   exceeds its memory or adapter slots and that the rate limit of the weight
   store is kept.

   The simulated engines behave as on the platform: an order is checked when it
   is carried out, and an adapter that is still being loaded cannot be
   unloaded.  */

#include <rapidcheck.h>
#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C"
{
#include "planner.h"
#include "ts.h"
}

namespace
{

const int step_ms = 20;
const int report_lag_ms = 200;
const int adapter_ms = 90; /* with many concurrent loads */
const double loads_per_s = 2.0;
const unsigned slots = 2;
const int memory_mb = 200;
const int adapter_mb = 1;
const int window_ms = 5000;

struct order
{
  enum backend_order_type type;
  std::string model;
  std::string adapter;
  uint64_t expected;
};

struct state
{
  uint64_t sequence = 0;
  bool busy = false;
  unsigned loading_adapters = 0;
  std::map<std::string, std::set<std::string> > models;
};

struct engine
{
  std::string id;
  int64_t born = 1;
  state now;
  std::deque<std::pair<int64_t, state> > delayed_states; /* for reports */
  std::set<std::string> disk;
  std::string changing; /* model being loaded or unloaded; "": none */
  bool loading = false;
  int64_t ends_ms = 0;
  std::map<std::string, int64_t>
      loading_adapters; /* "model/adapter" to its arrival */
  bool overloaded = false;
  double pace = 0; /* 0: not told */
};

struct event
{
  int64_t at_ms;
  std::string engine;
  bool is_response; /* a response arrives; otherwise: an order */
  bool is_report;   /* the response is a report */
  enum backend_status status;
  order what;
  int64_t born;
  unsigned decider;
};

struct simulation
{
  int64_t now_ms = 1000;
  std::map<std::string, engine> engines;
  std::vector<event> events;
  std::vector<int64_t> fetches;
  struct site_service service = {};
  std::vector<struct site_model> models;
  std::vector<std::string> names;
  struct planner *planner = nullptr;
  unsigned decider = 0;
  GRand *rand = nullptr;
  int lost_percent = 0; /* of responses */
  int late_percent = 0; /* of orders */
  bool paced = false;   /* engines tell their pace */
};

timespec
ts (int64_t ms)
{
  return ts_from_ms (ms);
}

int
used_mb (const simulation &w, const engine &e)
{
  int used = 0;

  for (const auto &model : e.now.models)
    {
      size_t i = std::find (w.names.begin (), w.names.end (), model.first)
                 - w.names.begin ();

      used += (int)w.models[i].memory_mb;
    }
  if (e.changing != "" && e.loading)
    {
      size_t i = std::find (w.names.begin (), w.names.end (), e.changing)
                 - w.names.begin ();

      used += (int)w.models[i].memory_mb;
    }
  return used;
}

unsigned
adapters (const engine &e)
{
  unsigned n = 0;

  for (const auto &model : e.now.models)
    n += model.second.size ();
  return n + e.loading_adapters.size ();
}

/* Carries out an order that has reached the engine.  */
enum backend_status
carry_out (simulation &w, engine &e, const order &o)
{
  bool loaded = e.now.models.count (o.model) > 0;
  std::string target = o.model + "/" + o.adapter;

  if (e.now.busy || o.expected != e.now.sequence)
    return BACKEND_BUSY;
  if (o.type == BACKEND_LOAD && loaded)
    return BACKEND_UNCHANGED;
  if (o.type == BACKEND_UNLOAD && !loaded)
    return BACKEND_UNCHANGED;
  if (o.type == BACKEND_ADAPTER_LOAD)
    {
      if (!loaded)
        return BACKEND_REFUSED;
      if (e.now.models[o.model].count (o.adapter)
          || e.loading_adapters.count (target))
        return BACKEND_UNCHANGED;
      e.loading_adapters[target] = w.now_ms + adapter_ms;
      e.now.sequence++;
    }
  else if (o.type == BACKEND_ADAPTER_UNLOAD)
    {
      if (!loaded || !e.now.models[o.model].erase (o.adapter))
        return BACKEND_UNCHANGED;
      e.now.sequence++;
      return BACKEND_UNCHANGED;
    }
  else
    {
      e.changing = o.model;
      e.loading = o.type == BACKEND_LOAD;
      e.now.busy = true;
      e.now.sequence++;
      e.ends_ms = w.now_ms + (e.loading ? 1000 : 100);
      if (e.loading && !e.disk.count (o.model))
        w.fetches.push_back (w.now_ms);
    }
  e.overloaded |= used_mb (w, e) + (int)adapters (e) * adapter_mb > memory_mb
                  || adapters (e) > slots;
  return BACKEND_ACCEPTED;
}

void
run_engine (simulation &w, engine &e)
{
  if (e.changing != "" && w.now_ms >= e.ends_ms)
    {
      if (e.loading)
        {
          e.now.models[e.changing];
          e.disk.insert (e.changing);
        }
      else
        e.now.models.erase (e.changing);
      e.changing = "";
      e.now.busy = false;
    }
  for (auto at = e.loading_adapters.begin (); at != e.loading_adapters.end ();)
    if (w.now_ms >= at->second)
      {
        size_t slash = at->first.find ('/');
        std::string model = at->first.substr (0, slash);

        if (e.now.models.count (model))
          e.now.models[model].insert (at->first.substr (slash + 1));
        at = e.loading_adapters.erase (at);
      }
    else
      ++at;
  e.now.loading_adapters = (unsigned)e.loading_adapters.size ();
  e.delayed_states.emplace_back (w.now_ms, e.now);
  while (e.delayed_states.size () > 1
         && e.delayed_states[1].first <= w.now_ms - report_lag_ms)
    e.delayed_states.pop_front ();
}

struct inventory *
report_of (const engine &e)
{
  const state &reported = e.delayed_states.front ().second;
  struct inventory *inventory = inventory_new ();

  inventory->born = e.born;
  inventory->sequence = reported.sequence;
  inventory->busy = reported.busy;
  inventory->loading_adapters = reported.loading_adapters;
  for (const auto &model : reported.models)
    {
      struct inventory_model *model_entry
          = inventory_add (inventory, model.first.c_str ());

      for (const auto &adapter : model.second)
        inventory_add_adapter (model_entry, adapter.c_str ());
    }
  for (const auto &name : e.disk)
    g_ptr_array_add (inventory->on_disk, g_strdup (name.c_str ()));
  return inventory;
}

struct server_entry
entry_of (const engine &e)
{
  struct server_entry entry = {};

  entry.id = (char *)e.id.c_str ();
  entry.address = (char *)"10.0.0.1:1";
  entry.zone = (char *)"z";
  entry.service = (char *)"s";
  entry.slots = 8;
  entry.inventory = inventory_new ();
  entry.inventory->born = e.born;
  return entry;
}

void
list_engine (simulation &w, const engine &e)
{
  struct server_entry entry = entry_of (e);

  planner_update_engine (w.planner, &entry);
  planner_set_pace (w.planner, e.id.c_str (), e.pace);
  inventory_free (entry.inventory);
}

void
send_order (simulation &w, const struct planner_action *action)
{
  event e = {};

  e.at_ms = w.now_ms + 2;
  e.engine = action->engine;
  e.what
      = { action->type, action->model,
          action->adapter != NULL ? action->adapter : "", action->expected };
  e.born = w.engines[e.engine].born;
  e.decider = w.decider;
  if (g_rand_int_range (w.rand, 0, 100) < w.late_percent)
    {
      event unanswered = e;

      e.at_ms += g_rand_int_range (w.rand, 2000, 12000);
      unanswered.is_response = true;
      unanswered.status = BACKEND_UNKNOWN;
      unanswered.at_ms += 600;
      w.events.push_back (unanswered);
      e.decider = 0; /* its response is discarded */
    }
  w.events.push_back (e);
}

void
run_actions (simulation &w, struct action_list *list)
{
  struct action *next;

  while ((next = action_pop (list)) != NULL)
    {
      const struct planner_action *action = (struct planner_action *)next;

      if (next->type == PLANNER_ORDER)
        send_order (w, action);
      else if (next->type == PLANNER_GET_REPORT)
        {
          event e = {};

          e.at_ms = w.now_ms + 4;
          e.engine = action->engine;
          e.is_response = true;
          e.is_report = true;
          e.decider = w.decider;
          w.events.push_back (e);
        }
      action_free (next);
    }
}

void
arrive (simulation &w, event e)
{
  engine &to = w.engines[e.engine];

  if (e.born != to.born)
    e.status = BACKEND_WRONG_INSTANCE;
  else
    e.status = carry_out (w, to, e.what);
  if (g_rand_int_range (w.rand, 0, 100) < w.lost_percent)
    e.status = BACKEND_UNKNOWN;
  e.is_response = true;
  e.at_ms = w.now_ms + 2;
  w.events.push_back (e);
}

void
answer (simulation &w, const event &e)
{
  struct action_list list;

  if (e.decider != w.decider)
    return;
  action_list_init (&list);
  if (e.is_report)
    {
      struct inventory *inventory = report_of (w.engines[e.engine]);

      planner_report (w.planner, e.engine.c_str (), inventory, ts (w.now_ms),
                      &list);
      inventory_free (inventory);
    }
  else
    planner_order_answered (w.planner, e.engine.c_str (), e.status,
                            ts (w.now_ms), &list);
  run_actions (w, &list);
}

void
new_decider (simulation &w)
{
  struct planner_options options = { 2, ts (w.now_ms) };

  planner_free (w.planner);
  w.planner = planner_new (&options);
  planner_set_service (w.planner, &w.service, ts (w.now_ms));
  w.decider++;
  for (const auto &e : w.engines)
    list_engine (w, e.second);
}

void
restart (simulation &w, engine &e)
{
  e.born++;
  e.now = state ();
  e.delayed_states.clear ();
  e.delayed_states.emplace_back (w.now_ms, e.now);
  e.changing = "";
  e.loading_adapters.clear ();
  list_engine (w, e);
}

void
step (simulation &w)
{
  struct action_list list;
  std::vector<event> due;

  w.now_ms += step_ms;
  for (auto &e : w.engines)
    run_engine (w, e.second);
  for (size_t i = 0; i < w.events.size ();)
    if (w.events[i].at_ms <= w.now_ms)
      {
        due.push_back (w.events[i]);
        w.events.erase (w.events.begin () + (long)i);
      }
    else
      i++;
  for (const auto &e : due)
    e.is_response ? answer (w, e) : arrive (w, e);
  action_list_init (&list);
  if (w.now_ms % PLANNER_TICK_MS < step_ms)
    planner_tick (w.planner, ts (w.now_ms), &list);
  run_actions (w, &list);
}

std::string
target_of (const simulation &w, unsigned model, unsigned adapter)
{
  std::string target = w.names[model % w.names.size ()];

  return adapter > 0 ? target + "/a" + std::to_string (adapter) : target;
}

void
make_simulation (simulation &w, unsigned engines, unsigned models)
{
  for (unsigned i = 0; i < models; i++)
    w.names.push_back ("m" + std::to_string (i));
  for (unsigned i = 0; i < models; i++)
    {
      struct site_model model = {};

      model.name = (char *)w.names[i].c_str ();
      model.memory_mb = i % 3 == 0 ? 90 : 60;
      model.adapter_mb = adapter_mb;
      model.adapters = 4;
      model.load_s = 1.0;
      model.disk_s = 1.0;
      model.memory_s = 1.0;
      w.models.push_back (model);
    }
  w.service.name = (char *)"s";
  w.service.engines = true;
  w.service.adapter_slots = slots;
  w.service.memory_mb = memory_mb;
  w.service.loads_per_s = loads_per_s;
  w.service.models = w.models.data ();
  w.service.model_count = w.models.size ();
  for (unsigned i = 0; i < engines; i++)
    {
      engine e;

      e.id = "e" + std::to_string (i);
      if (w.paced)
        e.pace = i % 2 == 0 ? 1.2 : 0.55;
      e.delayed_states.emplace_back (w.now_ms, e.now);
      w.engines[e.id] = e;
    }
}

void
check (const simulation &w)
{
  int64_t fetches_max = (int64_t)(loads_per_s * window_ms / 1000.0 * 1.1) + 3;

  for (const auto &e : w.engines)
    RC_ASSERT (!e.second.overloaded);
  for (size_t i = 0; i < w.fetches.size (); i++)
    {
      int64_t n = std::count_if (
          w.fetches.begin (), w.fetches.end (), [&] (int64_t at) {
            return at >= w.fetches[i] && at < w.fetches[i] + window_ms;
          });

      RC_ASSERT (n <= fetches_max);
    }
}

const int steps_per_period = 12;
const size_t max_waiting_targets = 4;

/* COUNT requests of 9,190 tokens, so that engines that tell their pace are
   often short.  */
void
request_arrives (simulation &w, const std::string &target, unsigned count)
{
  struct planner_delay_kind kind = {};

  kind.count = count;
  kind.tokens = 9190;
  kind.objective_s = 0.8;
  kind.gap_s = 0.5;
  kind.priority = count % 2;
  planner_note_requests (w.planner, target.c_str (), &kind);
  planner_request_arrived (w.planner, target.c_str (), w.paced ? count : 1,
                           ts (w.now_ms));
}

/* In each period requests wait for one further target, besides those of the
   previous periods.  */
void
run_periods (simulation &w, const std::vector<unsigned> &periods, bool faults)
{
  std::deque<std::string> waiting_targets;

  for (unsigned period : periods)
    {
      std::string target = target_of (w, period / 5 % 3, period % 5);

      waiting_targets.push_back (target);
      request_arrives (w, target, 1 + (period / 15) % 20);
      for (const auto &one : waiting_targets)
        planner_set_waiting (w.planner, "n", one.c_str (), 1, 0,
                             ts (w.now_ms));
      for (int i = 0; i < steps_per_period; i++)
        step (w);
      if (waiting_targets.size () == max_waiting_targets)
        {
          planner_set_waiting (w.planner, "n",
                               waiting_targets.front ().c_str (), 0, 0,
                               ts (w.now_ms));
          waiting_targets.pop_front ();
        }
      if (faults && period % 17 == 0)
        new_decider (w);
      if (faults && period % 23 == 0)
        restart (w, w.engines.begin ()->second);
      check (w);
    }
  for (const auto &one : waiting_targets)
    planner_set_waiting (w.planner, "n", one.c_str (), 0, 0, ts (w.now_ms));
}

void
finish (simulation &w)
{
  planner_free (w.planner);
  g_rand_free (w.rand);
}

} // namespace

int
main ()
{
  bool ok = true;

  ok &= rc::check ("engines never exceed memory or adapter slots", [] {
    simulation w;
    auto periods = *rc::gen::container<std::vector<unsigned> > (
        60, rc::gen::inRange (0u, 1000u));

    w.rand = g_rand_new_with_seed (*rc::gen::inRange<uint32_t> (1, 1000000));
    w.lost_percent = *rc::gen::element (0, 20, 50);
    w.late_percent = *rc::gen::element (0, 20, 50);
    w.paced = *rc::gen::arbitrary<bool> ();
    make_simulation (w, *rc::gen::inRange (1u, 4u),
                     *rc::gen::inRange (2u, 9u));
    new_decider (w);
    run_periods (w, periods, *rc::gen::arbitrary<bool> ());
    finish (w);
  });
  ok &= rc::check (
      "a target with waiting requests is loaded",
      [] (uint16_t which, bool paced) {
        simulation w;

        w.paced = paced;
        w.rand = g_rand_new_with_seed (which + 1u);
        make_simulation (w, 3, 8);
        new_decider (w);
        run_periods (w, { 1, 6, 12, 18, 24 }, false);

        std::string target = target_of (w, which, which % 3);
        std::string model = target.substr (0, target.find ('/'));
        bool loaded = false;

        planner_set_waiting (w.planner, "n", target.c_str (), 1, 0,
                             ts (w.now_ms));
        for (int i = 0; i < 400 && !loaded; i++)
          {
            step (w);
            for (const auto &e : w.engines)
              {
                auto model_entry = e.second.now.models.find (model);

                loaded |= model_entry != e.second.now.models.end ()
                          && (model == target
                              || model_entry->second.count (
                                  target.substr (model.size () + 1)));
              }
          }
        RC_ASSERT (loaded);
        finish (w);
      });
  return ok ? 0 : 1;
}

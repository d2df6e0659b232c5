#include <cstdlib>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>
#include <rapidcheck.h>

extern "C"
{
#include "confedit.h"
#include "confsync.h"
#include "fake_table.h"
#include "ts.h"
}

namespace
{

using Steps = std::vector<std::pair<int, int> >;

const unsigned nodes = 3;
const char *const teams[] = { "a", "b" };

/* A request to the table, or a message to a peer.  */
struct Wire
{
  unsigned from;
  unsigned to;
  confsync_action_type type;
  uint64_t number;
  size_t limit;
  std::string prefix;
  platform_txn *txn;
  confupdate update;
};

struct World
{
  int64_t ms = 1000;
  bool outage = false;
  fake_table table;
  confsync *node[nodes];
  uint64_t starts = 0;
  std::deque<Wire> wires;
  uint64_t in_force[nodes] = {};
  std::map<uint64_t, std::string> texts; /* of each version */
  uint64_t edits = 0;
  std::map<uint64_t, std::string> wanted; /* edit to its section */
  std::map<uint64_t, uint64_t> bases;     /* edit to what it was based on */
  std::map<uint64_t, confsync_status> answers;
  std::string snapshot;

  World ()
  {
    fake_table_init (&table);
    for (unsigned i = 0; i < nodes; i++)
      start (i);
  }
  ~World ()
  {
    for (auto &wire : wires)
      drop (wire);
    for (auto &n : node)
      confsync_free (n);
    fake_table_clear (&table);
  }
  World (const World &) = delete;

  timespec
  now () const
  {
    return ts_from_ms (ms);
  }

  static void
  drop (Wire &wire)
  {
    if (wire.txn != nullptr)
      fake_txn_free (wire.txn);
    confupdate_clear (&wire.update);
  }

  void
  start (unsigned i)
  {
    confsync_options options = {};

    options.node = "n";
    options.incarnation = ++starts;
    node[i] = confsync_new (&options);
    confsync_set_poller (node[i], true);
    in_force[i] = 0;
  }

  void
  put_in_force (unsigned i, const confsync_action *action)
  {
    RC_ASSERT (action->version > in_force[i]);
    in_force[i] = action->version;
    if (texts.count (action->version) > 0)
      RC_ASSERT (texts[action->version] == action->text);
    texts[action->version] = action->text;
  }

  void
  send (unsigned i, confsync_action *action)
  {
    Wire wire = { i,
                  0,
                  (confsync_action_type)action->action.type,
                  action->version,
                  action->limit,
                  "",
                  nullptr,
                  {} };

    if (action->prefix != nullptr)
      wire.prefix = action->prefix;
    if (action->node != nullptr)
      wire.to = (unsigned)atoi (action->node);
    if (wire.type == CONFSYNC_TXN)
      {
        wire.number = action->attempt;
        wire.txn = fake_txn_copy (&action->txn);
      }
    std::swap (wire.update, action->update);
    wires.push_back (wire);
  }

  void
  tell (unsigned i, uint64_t version)
  {
    for (unsigned j = 0; j < nodes; j++)
      if (j != i)
        wires.push_back (
            { i, j, CONFSYNC_ANNOUNCE, version, 0, "", nullptr, {} });
  }

  void
  act (unsigned i, action_list *list)
  {
    confsync_action *action;

    while ((action = (confsync_action *)action_pop (list)) != nullptr)
      {
        switch (action->action.type)
          {
          case CONFSYNC_APPLY:
            put_in_force (i, action);
            break;
          case CONFSYNC_ANNOUNCE:
            tell (i, action->version);
            break;
          case CONFSYNC_EDIT_DONE:
            RC_ASSERT (answers.count (action->edit) == 0U);
            answers[action->edit] = action->status;
            break;
          case CONFSYNC_SNAPSHOT_PUT:
            snapshot = action->text;
            break;
          case CONFSYNC_SNAPSHOT_GET:
            break;
          default:
            send (i, action);
          }
        action_free (&action->action);
      }
  }

  void
  tick (unsigned i)
  {
    action_list list;

    action_list_init (&list);
    confsync_tick (node[i], now (), &list);
    act (i, &list);
  }

  void
  edit (unsigned i, unsigned team)
  {
    const struct confsync_section *section
        = confsync_section (node[i], teams[team]);
    action_list list;
    std::string text;

    action_list_init (&list);
    edits++;
    text = "{\"x\":" + std::to_string (edits) + "}";
    wanted[edits] = text;
    bases[edits] = section != nullptr ? section->version : 0;
    confsync_edit (node[i], edits, teams[team], text.c_str (),
                   section != nullptr ? section->version : 0, now (), &list);
    act (i, &list);
  }

  platform_status
  serve (const Wire &wire, platform_rows *rows, int fault)
  {
    platform_status status = PLATFORM_OK;

    if (outage || fault == 1)
      return PLATFORM_REFUSED;
    if (fault == 2)
      return PLATFORM_UNKNOWN;
    if (wire.txn != nullptr)
      status = fake_table_txn (&table, wire.txn, rows);
    else
      fake_table_scan (&table, wire.prefix.c_str (), wire.limit, rows);
    return fault == 3 ? PLATFORM_UNKNOWN : status;
  }

  void
  answer (const Wire &wire, platform_status status, platform_rows *rows,
          action_list *list)
  {
    confsync *n = node[wire.from];

    if (wire.type == CONFSYNC_POLL)
      confsync_polled (n, status, rows, now (), list);
    else if (wire.type == CONFSYNC_SCAN)
      confsync_scanned (n, status, rows, now (), list);
    else
      confsync_txn_done (n, wire.number, status, rows, now (), list);
  }

  /* Delivers wire K.  FAULT 0: well, 1: refused, 2: lost, 3: answer lost.  */
  void
  deliver (size_t k, int fault)
  {
    Wire wire = wires[k];
    platform_rows rows = {};
    action_list list;
    std::string from = std::to_string (wire.from);
    unsigned at = wire.to;

    wires.erase (wires.begin () + (long)k);
    action_list_init (&list);
    if (wire.type <= CONFSYNC_TXN)
      {
        at = wire.from;
        answer (wire, serve (wire, &rows, fault), &rows, &list);
      }
    else if (fault != 0)
      ;
    else if (wire.type == CONFSYNC_ANNOUNCE)
      confsync_peer_version (node[at], from.c_str (), wire.number, now (),
                             &list);
    else if (wire.type == CONFSYNC_REQUEST)
      confsync_peer_request (node[at], from.c_str (), wire.number, &list);
    else
      confsync_peer_update (node[at], from.c_str (), &wire.update, now (),
                            &list);
    act (at, &list);
    fake_rows_clear (&rows);
    drop (wire);
  }

  void
  pump ()
  {
    for (unsigned i = 0; i < nodes; i++)
      tick (i);
    for (int n = 0; n < 100 && !wires.empty (); n++)
      deliver (0, 0);
  }

  /* Replaces node I; its edits are never answered.  */
  void
  restart (unsigned i)
  {
    for (size_t k = wires.size (); k-- > 0;)
      if (wires[k].from == i && wires[k].type <= CONFSYNC_TXN)
        {
          platform_rows rows = {};

          if (k % 2 == 0)
            serve (wires[k], &rows, 0);
          fake_rows_clear (&rows);
          drop (wires[k]);
          wires.erase (wires.begin () + (long)k);
        }
    confsync_free (node[i]);
    start (i);
  }

  void
  step (int code, unsigned arg)
  {
    size_t k = wires.empty () ? 0 : arg % wires.size ();

    if (code == 0)
      ms += arg;
    else if (code <= 3)
      tick (arg % nodes);
    else if (code <= 5)
      edit (arg % nodes, arg / nodes % 2);
    else if (code == 6 || code >= 24)
      pump ();
    else if (code == 7)
      outage = !outage;
    else if (code == 8)
      restart (arg % nodes);
    else if (!wires.empty ())
      deliver (k, code >= 20 ? code - 20 : 0);
  }

  bool
  took_effect (uint64_t number)
  {
    platform_rows rows = {};
    bool found = false;

    fake_table_scan (&table, CONFEDIT_HISTORY, SIZE_MAX, &rows);
    for (size_t i = 0; i < rows.count; i++)
      found = found
              || std::string (rows.rows[i].value).find (wanted.at (number))
                     != std::string::npos;
    fake_rows_clear (&rows);
    return found;
  }

  void
  recover ()
  {
    const platform_row *head;

    outage = false;
    for (int i = 0; i < 200; i++)
      {
        ms += 100;
        pump ();
      }
    head = fake_table_row (&table, "config");
    for (unsigned i = 0; i < nodes; i++)
      RC_ASSERT (in_force[i]
                 == (head != nullptr ? confset_row_version (head->value) : 0));
  }

  /* Each change rests on the one before it of the same team.  */
  void
  judge_history ()
  {
    platform_rows rows = {};
    uint64_t last[2] = {};

    fake_table_scan (&table, CONFEDIT_HISTORY, SIZE_MAX, &rows);
    for (size_t i = 0; i < rows.count; i++)
      {
        std::string value = rows.rows[i].value;
        size_t team = value.find ("\"team\":\"b\"") != std::string::npos;

        for (const auto &w : wanted)
          if (value.find (w.second) != std::string::npos)
            RC_ASSERT (bases[w.first] == last[team]);
        last[team] = i + 1;
      }
    fake_rows_clear (&rows);
  }

  void
  judge ()
  {
    judge_history ();
    for (const auto &answered : answers)
      {
        if (answered.second == CONFSYNC_ACCEPTED)
          RC_ASSERT (took_effect (answered.first));
        else if (answered.second != CONFSYNC_IN_DOUBT)
          RC_ASSERT (!took_effect (answered.first));
      }
  }
};

void
set_parameters ()
{
  const char *given = std::getenv ("RC_PARAMS");
  std::string params = given != nullptr ? given : "seed=1";

  params += std::getenv ("RC_LONG") != nullptr
                ? " max_success=20000 max_size=400"
                : " max_success=3000 max_size=150";
  setenv ("RC_PARAMS", params.c_str (), 1);
}

}

int
main ()
{
  bool ok;

  set_parameters ();
  ok = rc::check ("configuration: versions grow, answers are true", [] {
    const auto steps = *rc::gen::container<Steps> (
        rc::gen::pair (rc::gen::inRange (0, 30), rc::gen::inRange (0, 1500)));
    World world;

    for (const auto &step : steps)
      world.step (step.first, (unsigned)step.second);
    world.recover ();
    world.judge ();
    RC_TAG (std::to_string (MIN (world.texts.size (), 8U)) + " versions");
  });
  return ok ? 0 : 1;
}

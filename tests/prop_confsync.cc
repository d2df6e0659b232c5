/* Property test: nodes edit the configuration concurrently while requests and
   responses of the table are lost, the table is unavailable and nodes restart.
   The version that a running node applies only increases, all nodes converge
   to the same version, and the result of each edit matches the history.  */

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

/* A request to the table or a message to a peer, in flight.  */
struct Packet
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

struct Cluster
{
  int64_t ms = 1000;
  bool outage = false;
  fake_table table;
  confsync *node[nodes];
  uint64_t start_count = 0;
  std::deque<Packet> packets;
  uint64_t applied[nodes] = {};
  std::map<uint64_t, std::string> version_texts; /* version to its document */
  uint64_t edits = 0;
  std::map<uint64_t, std::string> edit_sections; /* edit to its text */
  std::map<uint64_t, uint64_t> edit_bases;       /* edit to its base version */
  std::map<uint64_t, confsync_status> results;
  std::string snapshot;

  Cluster ()
  {
    fake_table_init (&table);
    for (unsigned i = 0; i < nodes; i++)
      start (i);
  }
  ~Cluster ()
  {
    for (auto &packet : packets)
      free_packet (packet);
    for (auto &n : node)
      confsync_free (n);
    fake_table_clear (&table);
  }
  Cluster (const Cluster &) = delete;

  timespec
  now () const
  {
    return ts_from_ms (ms);
  }

  static void
  free_packet (Packet &packet)
  {
    if (packet.txn != nullptr)
      fake_txn_free (packet.txn);
    confupdate_clear (&packet.update);
  }

  void
  start (unsigned i)
  {
    confsync_options options = {};

    options.node = "n";
    options.incarnation = ++start_count;
    node[i] = confsync_new (&options);
    confsync_set_poller (node[i], true);
    applied[i] = 0;
  }

  void
  record_applied (unsigned i, const confsync_action *action)
  {
    RC_ASSERT (action->version > applied[i]);
    applied[i] = action->version;
    if (version_texts.count (action->version) > 0)
      RC_ASSERT (version_texts[action->version] == action->text);
    version_texts[action->version] = action->text;
  }

  void
  send (unsigned i, confsync_action *action)
  {
    Packet packet = { i,
                      0,
                      (confsync_action_type)action->action.type,
                      action->version,
                      action->limit,
                      "",
                      nullptr,
                      {} };

    if (action->prefix != nullptr)
      packet.prefix = action->prefix;
    if (action->node != nullptr)
      packet.to = (unsigned)atoi (action->node);
    if (packet.type == CONFSYNC_TXN)
      {
        packet.number = action->attempt;
        packet.txn = fake_txn_copy (&action->txn);
      }
    std::swap (packet.update, action->update);
    packets.push_back (packet);
  }

  void
  announce (unsigned i, uint64_t version)
  {
    for (unsigned j = 0; j < nodes; j++)
      if (j != i)
        packets.push_back (
            { i, j, CONFSYNC_ANNOUNCE, version, 0, "", nullptr, {} });
  }

  void
  run_actions (unsigned i, action_list *list)
  {
    confsync_action *action;

    while ((action = (confsync_action *)action_pop (list)) != nullptr)
      {
        switch (action->action.type)
          {
          case CONFSYNC_APPLY:
            record_applied (i, action);
            break;
          case CONFSYNC_ANNOUNCE:
            announce (i, action->version);
            break;
          case CONFSYNC_EDIT_DONE:
            RC_ASSERT (results.count (action->edit) == 0U);
            results[action->edit] = action->status;
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
    run_actions (i, &list);
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
    edit_sections[edits] = text;
    edit_bases[edits] = section != nullptr ? section->version : 0;
    confsync_edit (node[i], edits, teams[team], text.c_str (),
                   section != nullptr ? section->version : 0, now (), &list);
    run_actions (i, &list);
  }

  platform_status
  serve_table (const Packet &packet, platform_rows *rows, int fault)
  {
    platform_status status = PLATFORM_OK;

    if (outage || fault == 1)
      return PLATFORM_REFUSED;
    if (fault == 2)
      return PLATFORM_UNKNOWN;
    if (packet.txn != nullptr)
      status = fake_table_txn (&table, packet.txn, rows);
    else
      fake_table_scan (&table, packet.prefix.c_str (), packet.limit, rows);
    return fault == 3 ? PLATFORM_UNKNOWN : status;
  }

  void
  deliver_response (const Packet &packet, platform_status status,
                    platform_rows *rows, action_list *list)
  {
    confsync *n = node[packet.from];

    if (packet.type == CONFSYNC_POLL)
      confsync_polled (n, status, rows, now (), list);
    else if (packet.type == CONFSYNC_SCAN)
      confsync_scanned (n, status, rows, now (), list);
    else
      confsync_txn_done (n, packet.number, status, rows, now (), list);
  }

  /* Delivers packet K.  FAULT 0: none, 1: refused, 2: request lost,
     3: response lost.  */
  void
  deliver (size_t k, int fault)
  {
    Packet packet = packets[k];
    platform_rows rows = {};
    action_list list;
    std::string from = std::to_string (packet.from);
    unsigned at = packet.to;

    packets.erase (packets.begin () + (long)k);
    action_list_init (&list);
    if (packet.type <= CONFSYNC_TXN)
      {
        at = packet.from;
        deliver_response (packet, serve_table (packet, &rows, fault), &rows,
                          &list);
      }
    else if (fault != 0)
      ;
    else if (packet.type == CONFSYNC_ANNOUNCE)
      confsync_peer_version (node[at], from.c_str (), packet.number, now (),
                             &list);
    else if (packet.type == CONFSYNC_REQUEST)
      confsync_peer_request (node[at], from.c_str (), packet.number, &list);
    else
      confsync_peer_update (node[at], from.c_str (), &packet.update, now (),
                            &list);
    run_actions (at, &list);
    fake_rows_clear (&rows);
    free_packet (packet);
  }

  void
  deliver_all ()
  {
    for (unsigned i = 0; i < nodes; i++)
      tick (i);
    for (int n = 0; n < 100 && !packets.empty (); n++)
      deliver (0, 0);
  }

  /* Restarts node I; its pending edits get no result.  */
  void
  restart (unsigned i)
  {
    for (size_t k = packets.size (); k-- > 0;)
      if (packets[k].from == i && packets[k].type <= CONFSYNC_TXN)
        {
          platform_rows rows = {};

          if (k % 2 == 0)
            serve_table (packets[k], &rows, 0);
          fake_rows_clear (&rows);
          free_packet (packets[k]);
          packets.erase (packets.begin () + (long)k);
        }
    confsync_free (node[i]);
    start (i);
  }

  void
  step (int code, unsigned arg)
  {
    size_t k = packets.empty () ? 0 : arg % packets.size ();

    if (code == 0)
      ms += arg;
    else if (code <= 3)
      tick (arg % nodes);
    else if (code <= 5)
      edit (arg % nodes, arg / nodes % 2);
    else if (code == 6 || code >= 24)
      deliver_all ();
    else if (code == 7)
      outage = !outage;
    else if (code == 8)
      restart (arg % nodes);
    else if (!packets.empty ())
      deliver (k, code >= 20 ? code - 20 : 0);
  }

  bool
  is_in_history (uint64_t number)
  {
    platform_rows rows = {};
    bool found = false;

    fake_table_scan (&table, CONFEDIT_HISTORY, SIZE_MAX, &rows);
    for (size_t i = 0; i < rows.count; i++)
      found = found
              || std::string (rows.rows[i].value)
                         .find (edit_sections.at (number))
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
        deliver_all ();
      }
    head = fake_table_row (&table, "config");
    for (unsigned i = 0; i < nodes; i++)
      RC_ASSERT (applied[i]
                 == (head != nullptr ? confset_row_version (head->value) : 0));
  }

  /* Each change is based on the previous one of the same team.  */
  void
  check_history ()
  {
    platform_rows rows = {};
    uint64_t last[2] = {};

    fake_table_scan (&table, CONFEDIT_HISTORY, SIZE_MAX, &rows);
    for (size_t i = 0; i < rows.count; i++)
      {
        std::string value = rows.rows[i].value;
        size_t team = value.find ("\"team\":\"b\"") != std::string::npos;

        for (const auto &edit : edit_sections)
          if (value.find (edit.second) != std::string::npos)
            RC_ASSERT (edit_bases[edit.first] == last[team]);
        last[team] = i + 1;
      }
    fake_rows_clear (&rows);
  }

  void
  check_results ()
  {
    check_history ();
    for (const auto &result : results)
      {
        if (result.second == CONFSYNC_ACCEPTED)
          RC_ASSERT (is_in_history (result.first));
        else if (result.second != CONFSYNC_IN_DOUBT)
          RC_ASSERT (!is_in_history (result.first));
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
  ok = rc::check (
      "configuration: versions increase, results of edits match the history",
      [] {
        const auto steps = *rc::gen::container<Steps> (rc::gen::pair (
            rc::gen::inRange (0, 30), rc::gen::inRange (0, 1500)));
        Cluster cluster;

        for (const auto &step : steps)
          cluster.step (step.first, (unsigned)step.second);
        cluster.recover ();
        cluster.check_results ();
        RC_TAG (std::to_string (MIN (cluster.version_texts.size (), 8U))
                + " versions");
      });
  return ok ? 0 : 1;
}

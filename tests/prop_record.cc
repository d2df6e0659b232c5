/* Property test: records of two to four nodes over a table and an object
   store that lose responses, delay writes and become unavailable, with
   random pauses and restarts of nodes.  */

#include <rapidcheck.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

extern "C"
{
#include "record.h"
#include "ts.h"
#include "fake_table.h"
}

static int
in_range (int low, int high)
{
  return *rc::gen::resize (rc::kNominalSize, rc::gen::inRange (low, high));
}

struct request_state
{
  int node;
  unsigned incarnation; /* of the node */
  std::string key;
  uint64_t fingerprint;
  struct timespec deadline;
  int verdicts = 0;
  bool dispatched = false;
};

struct pending_action
{
  int node;
  unsigned incarnation;
  struct action *action;
};

struct claim
{
  int node;
  unsigned incarnation;
  uint64_t request;
  struct timespec until;
  bool dispatched;
};

struct model
{
  struct timespec now = ts_from_ms (1000);
  struct fake_table table;
  std::map<std::string, std::string> objects;
  std::vector<struct record *> nodes;
  std::vector<unsigned> incarnations;
  std::vector<pending_action> pending; /* their results are awaited */
  std::vector<struct platform_txn *> delayed_txns; /* may still take effect */
  std::vector<claim> claims;
  std::map<uint64_t, request_state> requests;
  std::map<std::string, std::vector<uint64_t> > ran; /* key -> requests */
  std::map<std::string, std::set<uint64_t> >
      fingerprints;                             /* key -> fingerprints */
  std::map<std::string, std::string> responses; /* key -> complete response */
  uint64_t next_request = 1;
  bool faults = true;
  std::map<int, int> verdict_counts; /* count by verdict */

  model ()
  {
    int count = in_range (2, 5);

    fake_table_init (&table);
    for (int i = 0; i < count; i++)
      {
        incarnations.push_back (0);
        nodes.push_back (new_record (i));
      }
  }

  ~model ()
  {
    for (auto &one : pending)
      action_free (one.action);
    for (auto *txn : delayed_txns)
      fake_txn_free (txn);
    for (auto *node : nodes)
      record_free (node);
    fake_table_clear (&table);
  }

  struct record *
  new_record (int i)
  {
    std::string name = "n" + std::to_string (i);
    struct record_options options = {};

    options.node = name.c_str ();
    options.start = incarnations[i] + 1;
    options.epoch = ts_from_s (1e9);
    return record_new (&options);
  }

  void
  run_actions (int node, struct action_list *list)
  {
    struct action *action;

    while ((action = action_pop (list)) != NULL)
      {
        if (action->type != RECORD_VERDICT)
          {
            pending.push_back ({ node, incarnations[node], action });
            continue;
          }
        verdict (node, (struct record_action_verdict *)action);
        action_free (action);
      }
  }

  void
  verdict (int node, struct record_action_verdict *v)
  {
    request_state &r = requests.at (v->request);

    verdict_counts[v->verdict]++;
    RC_ASSERT (r.node == node && r.incarnation == incarnations[node]);
    RC_ASSERT (++r.verdicts == 1);
    if (v->verdict == MSG_VERDICT_RUN)
      claims.push_back (
          { node, r.incarnation, v->request, v->claim_until, false });
    if (v->verdict == MSG_VERDICT_NOT_RUN)
      RC_ASSERT (!r.dispatched);
    if (v->verdict == MSG_VERDICT_KEY_MISMATCH)
      RC_ASSERT (fingerprints[r.key].size () > 1);
    if (v->verdict == MSG_VERDICT_RECORDED)
      {
        const request_state &first = requests.at (ran[r.key].at (0));

        RC_ASSERT (std::string (v->body, v->length) == responses.at (r.key));
        RC_ASSERT (first.fingerprint == r.fingerprint);
        RC_ASSERT (v->status == 200u);
      }
  }

  void
  begin ()
  {
    int node = in_range (0, (int)nodes.size ());
    uint64_t id = next_request++;
    request_state r;
    struct record_request request = {};
    struct action_list list;

    r.node = node;
    r.incarnation = incarnations[node];
    r.key = std::string ("k") + std::to_string (in_range (0, 3));
    r.fingerprint = in_range (0, 6) == 0 ? 2 : 1;
    r.deadline = ts_add_ms (now, in_range (50, 20000));
    fingerprints[r.key].insert (r.fingerprint);
    requests[id] = r;
    request.key = r.key.c_str ();
    request.target = "t";
    request.fingerprint = r.fingerprint;
    request.request = id;
    request.deadline = r.deadline;
    action_list_init (&list);
    record_begin (nodes[node], &request, now, &list);
    run_actions (node, &list);
  }

  enum platform_status
  txn_result (const struct platform_txn *txn, struct platform_rows *rows)
  {
    enum platform_status status;

    switch (faults ? in_range (0, 8) : 7)
      {
      case 0:
        return PLATFORM_REFUSED;
      case 1: /* lost before it took effect */
        return PLATFORM_UNKNOWN;
      case 2: /* response lost; takes effect later */
        delayed_txns.push_back (fake_txn_copy (txn));
        return PLATFORM_UNKNOWN;
      case 3: /* response lost */
        fake_table_txn (&table, txn, NULL);
        return PLATFORM_UNKNOWN;
      default:
        status = fake_table_txn (&table, txn, rows);
        return status;
      }
  }

  enum platform_status
  random_status ()
  {
    int n = faults ? in_range (0, 6) : 5;

    return n == 0 ? PLATFORM_REFUSED : n == 1 ? PLATFORM_UNKNOWN : PLATFORM_OK;
  }

  void
  object_result (pending_action &one, struct action_list *list)
  {
    auto *object = (struct record_action_object *)one.action;
    enum platform_status status = random_status ();
    std::string bytes;

    if (one.action->type == RECORD_OBJECT_PUT && status != PLATFORM_REFUSED)
      objects[object->key] = std::string (object->bytes, object->length);
    if (one.action->type == RECORD_OBJECT_GET && status == PLATFORM_OK)
      {
        if (objects.count (object->key))
          bytes = objects[object->key];
        else
          status = PLATFORM_NOT_FOUND;
      }
    if (incarnations[one.node] == one.incarnation)
      record_object_done (
          nodes[one.node], (enum record_action_type)one.action->type,
          object->key, status, bytes.data (), bytes.size (), now, list);
  }

  /* Delivers one awaited result.  */
  void
  deliver_result ()
  {
    struct platform_rows rows = {};
    struct action_list list;
    enum platform_status status;

    if (pending.empty ())
      return;
    size_t at = (size_t)in_range (0, (int)pending.size ());
    pending_action one = pending[at];
    bool alive = incarnations[one.node] == one.incarnation;
    pending.erase (pending.begin () + (long)at);
    action_list_init (&list);
    if (one.action->type == RECORD_TXN)
      {
        auto *txn = &((struct batch_action *)one.action)->txn;

        status = txn_result (txn, &rows);
        if (alive)
          record_txn_done (nodes[one.node], txn->token, status, &rows, now,
                           &list);
      }
    else if (one.action->type == RECORD_SCAN)
      {
        auto *scan = (struct record_action_scan *)one.action;

        status = random_status ();
        if (status == PLATFORM_OK)
          fake_table_scan (&table, scan->prefix, scan->limit, &rows);
        if (alive)
          record_scan_done (nodes[one.node], scan->prefix, status, &rows, now,
                            &list);
      }
    else
      object_result (one, &list);
    fake_rows_clear (&rows);
    action_free (one.action);
    run_actions (one.node, &list);
  }

  void
  end (claim &one, bool ran_request)
  {
    const request_state &r = requests.at (one.request);
    std::string body = r.key + "-" + std::to_string (one.request);
    struct record_outcome outcome = {};
    struct action_list list;

    if (in_range (0, 3) == 0)
      body += std::string (RECORD_INLINE_MAX, 'x');
    outcome.ran = ran_request;
    outcome.complete = ran_request && in_range (0, 4) != 0;
    outcome.status = 200;
    outcome.body = body.data ();
    outcome.length = body.size ();
    if (outcome.complete)
      responses[r.key] = body;
    action_list_init (&list);
    record_end (nodes[one.node], 0, one.request, &outcome, now, &list);
    run_actions (one.node, &list);
  }

  /* Advances one claim: dispatches it or ends it.  */
  void
  advance_claim ()
  {
    if (claims.empty ())
      return;
    size_t at = (size_t)in_range (0, (int)claims.size ());
    claim one = claims[at];
    request_state &r = requests.at (one.request);

    if (!one.dispatched && ts_before (now, one.until) && in_range (0, 5) != 0)
      {
        claims[at].dispatched = true;
        r.dispatched = true;
        ran[r.key].push_back (one.request);
        RC_ASSERT (ran[r.key].size () == 1u); /* at most once */
        return;
      }
    claims.erase (claims.begin () + (long)at);
    end (one, one.dispatched);
  }

  void
  restart_node ()
  {
    int node = in_range (0, (int)nodes.size ());

    record_free (nodes[node]);
    incarnations[node]++;
    nodes[node] = new_record (node);
    for (size_t i = claims.size (); i-- > 0;)
      if (claims[i].node == node)
        claims.erase (claims.begin () + (long)i);
  }

  void
  tick_all ()
  {
    for (int node = 0; node < (int)nodes.size (); node++)
      {
        struct action_list list;

        action_list_init (&list);
        if (!ts_before (now, record_next (nodes[node])))
          record_tick (nodes[node], now, &list);
        run_actions (node, &list);
      }
  }

  /* Advances the clock.  A long step acts as a pause of all nodes.  */
  void
  advance (int ms)
  {
    now = ts_add_ms (now, ms);
    tick_all ();
  }

  void
  apply_delayed_txn ()
  {
    if (delayed_txns.empty ())
      return;
    size_t at = (size_t)in_range (0, (int)delayed_txns.size ());

    fake_table_txn (&table, delayed_txns[at], NULL);
    fake_txn_free (delayed_txns[at]);
    delayed_txns.erase (delayed_txns.begin () + (long)at);
  }

  void
  random_step ()
  {
    switch (in_range (0, 16))
      {
      case 0:
      case 1:
        begin ();
        break;
      case 2:
      case 3:
      case 4:
        advance_claim ();
        break;
      case 5:
        advance (in_range (0, 3000));
        break;
      case 6:
        if (in_range (0, 5) == 0)
          restart_node ();
        break;
      case 7:
        apply_delayed_txn ();
        break;
      case 8:
      case 9:
        advance (in_range (0, 40));
        break;
      default:
        deliver_result ();
      }
  }

  /* Every request at a node that was not restarted has received its
     verdict.  */
  void
  settle ()
  {
    faults = false;
    for (int i = 0; i < 400; i++)
      {
        for (int j = 0; j < 20 && !pending.empty (); j++)
          deliver_result ();
        advance_claim ();
        advance (100);
      }
    for (auto &one : requests)
      if (one.second.incarnation == incarnations[one.second.node])
        RC_ASSERT (one.second.verdicts == 1);
    for (auto *node : nodes)
      RC_ASSERT (record_pending (node) == 0u);
  }

  void
  check ()
  {
    for (auto &one : requests)
      if (one.second.incarnation == incarnations[one.second.node]
          && ts_before (ts_add_ms (one.second.deadline, 3001), now))
        RC_ASSERT (one.second.verdicts == 1);
  }
};

int
main ()
{
  std::map<int, int> verdict_counts;
  bool ok = rc::check (
      "a key never runs twice, and every caller gets a verdict", [&] {
        model m;

        for (int i = 0; i < 250; i++)
          {
            m.random_step ();
            m.check ();
          }
        m.settle ();
        for (auto &one : m.verdict_counts)
          verdict_counts[one.first] += one.second;
      });
  printf ("verdicts: run %d, recorded %d, mismatch %d, unknown %d, not run "
          "%d\n",
          verdict_counts[MSG_VERDICT_RUN],
          verdict_counts[MSG_VERDICT_RECORDED],
          verdict_counts[MSG_VERDICT_KEY_MISMATCH],
          verdict_counts[MSG_VERDICT_OUTCOME_UNKNOWN],
          verdict_counts[MSG_VERDICT_NOT_RUN]);
  return ok ? 0 : 1;
}

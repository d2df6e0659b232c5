/* Property tests of attempt, retry, eject and pick.  */

#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

extern "C"
{
#include "attempt.h"
#include "eject.h"
#include "pick.h"
#include "retry.h"
#include "suspect.h"
#include "ts.h"
}

/* A uniformly distributed value from LOW, inclusive, to HIGH, exclusive.  */
template <typename T>
static T
in_range (T low, T high)
{
  return *rc::gen::resize (rc::kNominalSize, rc::gen::inRange<T> (low, high));
}

/* The server may run the request as soon as a byte may have reached it,
   unless it refused it.  */
struct reference_model
{
  bool ended = false;
  bool reached = false;
  bool refused = false;

  void
  add_event (int event)
  {
    if (ended)
      return;
    reached |= event == ATTEMPT_EV_SEND || event == ATTEMPT_EV_SENT
               || event == ATTEMPT_EV_HEAD || event == ATTEMPT_EV_END
               || event == ATTEMPT_EV_REFUSAL;
    refused = event == ATTEMPT_EV_REFUSAL;
    ended = event >= ATTEMPT_EV_END;
  }

  bool
  may_have_run () const
  {
    return !ended || (reached && !refused);
  }
};

static bool
not_run_matches_reference ()
{
  return rc::check (
      "\"not run\" is reported if and only if nothing can have run", [] {
        size_t count = in_range<size_t> (0, ATTEMPT_MAX + 1);
        struct attempt attempts[ATTEMPT_MAX];
        bool may_have_run = false;

        for (size_t i = 0; i < count; i++)
          {
            auto events = *rc::gen::container<std::vector<int> > (
                rc::gen::inRange<int> (0, ATTEMPT_EV_CANCEL + 1));
            reference_model expected;

            attempt_begin (&attempts[i], i);
            for (int event : events)
              {
                attempt_event (&attempts[i], (enum attempt_event)event);
                expected.add_event (event);
              }
            RC_ASSERT (attempt_is_final (&attempts[i]) == expected.ended);
            may_have_run |= expected.may_have_run ();
          }
        RC_ASSERT (attempt_not_run (attempts, count) == !may_have_run);
      });
}

/* Models a node that retries whenever it is allowed to.  */
static bool
non_idempotent_runs_once ()
{
  return rc::check ("a non-idempotent request runs at most once", [] {
    struct attempt attempts[ATTEMPT_MAX];
    size_t count = 0;
    int runs = 0;

    do
      {
        struct attempt *attempt = &attempts[count];
        reference_model expected;

        attempt_begin (attempt, count++);
        while (!expected.ended)
          {
            int event = in_range<int> (0, ATTEMPT_EV_CANCEL + 1);

            attempt_event (attempt, (enum attempt_event)event);
            expected.add_event (event);
          }
        runs += expected.may_have_run ();
      }
    while (attempt_may_retry (attempts, count, false, false));
    RC_ASSERT (runs <= 1);
    RC_ASSERT (count <= ATTEMPT_MAX);
    RC_ASSERT (attempt_not_run (attempts, count) == (runs == 0));
  });
}

static bool
retries_bounded ()
{
  return rc::check ("retries stay within the budget in any outage", [] {
    const unsigned threads = in_range<unsigned> (1, 9);
    struct retry *retry = retry_new (threads);
    std::vector<int> retries_at;
    unsigned share = RETRY_BURST / threads + 1;
    int total = 0;

    for (int i = 0; i < 400; i++)
      {
        std::string target = std::to_string (in_range<int> (0, 5));

        retry_deposit (retry, target.c_str ());
        for (int j = 1; j < ATTEMPT_MAX; j++) /* every attempt fails */
          total += retry_withdraw (retry, target.c_str ());
        retries_at.push_back (total);
      }
    for (size_t i = 0; i < retries_at.size (); i += 7)
      for (size_t j = i; j < retries_at.size (); j += 11)
        RC_ASSERT (retries_at[j] - retries_at[i]
                   <= (int)((j - i) * RETRY_PERCENT / 100 + share));
    retry_free (retry);
  });
}

/* Guards against a burst of retries at each start of a node.  */
static bool
retries_begin_empty ()
{
  return rc::check ("a budget that begins empty allows its share only", [] {
    struct retry_options options = {};
    int deposits = 0;
    int retries = 0;

    options.percent = in_range<unsigned> (1, 50);
    options.burst = in_range<unsigned> (1, 20);
    options.begin_empty = true;
    struct retry *retry = retry_new_per_target (&options);
    for (int i = 0; i < 300; i++)
      {
        if (in_range<int> (0, 2) == 0)
          {
            retry_deposit (retry, "t");
            deposits++;
          }
        else
          retries += retry_withdraw (retry, "t");
        RC_ASSERT (retries * 100 <= deposits * (int)options.percent);
      }
    options.begin_empty = false;
    retry_set_limits (retry, &options);
    int more = 0;
    while (retry_withdraw (retry, "t"))
      more++;
    RC_ASSERT (more <= (int)options.burst);
    while (retry_withdraw (retry, "other"))
      more++;
    RC_ASSERT (more >= (int)options.burst);
    retry_free (retry);
  });
}

struct replica_set
{
  std::vector<struct route_replica> replicas;

  explicit replica_set (size_t count)
  {
    for (size_t i = 0; i < count; i++)
      {
        struct route_replica replica = {};
        std::string id = "e" + std::to_string (i);

        replica.engine = route_engine_new (id.c_str (), "127.0.0.1:1",
                                           i % 2 ? "a" : "b", "p");
        replica.slots = in_range<int> (1, 5);
        replica.running = in_range<int> (0, 8);
        replica.inflight_at_report = in_range<int> (0, 4);
        replica.engine->inflight = in_range<int> (0, 4);
        replica.leaving = in_range<int> (0, 4) == 0;
        replicas.push_back (replica);
      }
  }

  ~replica_set ()
  {
    for (auto &replica : replicas)
      route_engine_unref (replica.engine);
  }
};

static bool
ejection_bounded ()
{
  return rc::check ("ejection is limited in number and in time", [] {
    replica_set set (in_range<size_t> (1, 9));
    size_t count = set.replicas.size ();
    struct eject *eject = eject_new ();
    struct timespec now = ts_from_ms (1000);
    bool ejected[8];
    unsigned not_leaving = 0;

    for (auto &replica : set.replicas)
      not_leaving += !replica.leaving;
    for (int i = 0; i < 60; i++)
      {
        const char *id = set.replicas[in_range<size_t> (0, count)].engine->id;

        now = ts_add_ms (now, in_range<int> (0, 900));
        eject_begin (eject, id, now);
        eject_end (eject, id, in_range<int> (0, 4) == 0, now);
        unsigned n
            = eject_mark (eject, set.replicas.data (), count, now, ejected);
        RC_ASSERT (n * 100 <= not_leaving * EJECT_MAX_PERCENT);
        RC_ASSERT (n == 0 || n < not_leaving);
      }
    now = ts_add_ms (now, EJECT_MAX_MS);
    RC_ASSERT (eject_mark (eject, set.replicas.data (), count, now, ejected)
               == 0u);
    eject_free (eject);
  });
}

static bool
pick_uses_permitted_replicas ()
{
  return rc::check (
      "pick uses only permitted replicas, and a free slot if any", [] {
        replica_set set (in_range<size_t> (0, 8));
        struct pick_options options = { "a", 1 };
        struct pick *pick = pick_new (&options);
        struct timespec now = ts_from_ms (500000);
        struct pick_request request = {};
        std::vector<const char *> tried;
        std::set<size_t> permitted;
        struct pick_explanation why;
        size_t pair[SUSPECT_PAIR_MAX];
        bool free_slot = false;

        request.replicas = set.replicas.data ();
        request.count = set.replicas.size ();
        request.prefix = 5;
        request.fingerprint = in_range<int> (0, 3);
        for (auto &replica : set.replicas)
          {
            if (in_range<int> (0, 4) == 0)
              tried.push_back (replica.engine->id);
            if (in_range<int> (0, 2) == 0)
              pick_hint (pick, replica.engine->id, 5, true,
                         ts_add_ms (now, -in_range<int> (0, 100000)));
          }
        request.tried = tried.data ();
        request.tried_count = tried.size ();
        unsigned n = suspect_pair (request.fingerprint, 0, request.replicas,
                                   request.count, pair);
        for (size_t i = 0; i < request.count; i++)
          {
            bool ok = !set.replicas[i].leaving;

            for (const char *id : tried)
              ok &= strcmp (id, set.replicas[i].engine->id) != 0;
            if (request.fingerprint != 0)
              ok &= std::set<size_t> (pair, pair + n).count (i) > 0;
            if (!ok)
              continue;
            permitted.insert (i);
            free_slot |= pick_load (&set.replicas[i]) < set.replicas[i].slots;
          }
        ptrdiff_t at = pick_replica (pick, &request, now, &why);
        RC_ASSERT ((at < 0) == permitted.empty ());
        RC_ASSERT ((why.reason == PICK_NONE) == permitted.empty ());
        if (at >= 0)
          {
            RC_ASSERT (permitted.count ((size_t)at) == 1u);
            RC_ASSERT (why.free_slot == free_slot);
          }
        pick_free (pick);
      });
}

static bool
pair_is_same_on_all_nodes ()
{
  return rc::check ("every node designates the same pair", [] {
    replica_set set (in_range<size_t> (0, 9));
    auto other = set.replicas;
    uint64_t fingerprint = *rc::gen::arbitrary<uint64_t> ();
    size_t a[SUSPECT_PAIR_MAX], b[SUSPECT_PAIR_MAX];
    std::set<std::string> x, y;

    std::reverse (other.begin (), other.end ());
    unsigned n = suspect_pair (fingerprint, 0, set.replicas.data (),
                               set.replicas.size (), a);
    unsigned m
        = suspect_pair (fingerprint, 0, other.data (), other.size (), b);
    for (unsigned i = 0; i < n; i++)
      x.insert (set.replicas[a[i]].engine->id);
    for (unsigned i = 0; i < m; i++)
      y.insert (other[b[i]].engine->id);
    RC_ASSERT (x == y);
    RC_ASSERT (x.size () <= (size_t)SUSPECT_PAIR_MAX);
    if (n == 0)
      return;
    /* After the first replica of the pair is lost and removed from the
       list, the other one remains.  */
    uint64_t lost = suspect_hash (set.replicas[a[0]].engine->id);
    auto remaining = set.replicas;
    remaining.erase (remaining.begin () + (long)a[0]);
    m = suspect_pair (fingerprint, lost, remaining.data (), remaining.size (),
                      b);
    RC_ASSERT (m == n - 1);
    for (unsigned i = 0; i < m; i++)
      RC_ASSERT (x.count (remaining[b[i]].engine->id) == 1u);
  });
}

int
main ()
{
  bool ok = not_run_matches_reference ();

  ok &= non_idempotent_runs_once ();
  ok &= retries_bounded ();
  ok &= retries_begin_empty ();
  ok &= ejection_bounded ();
  ok &= pick_uses_permitted_replicas ();
  ok &= pair_is_same_on_all_nodes ();
  return ok ? 0 : 1;
}

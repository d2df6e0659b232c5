/* Property test: admission invariants under random sequences of events.  */

#include <rapidcheck.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C"
{
#include "admit.h"
#include "ts.h"
}

static int
in_range (int low, int high)
{
  return *rc::gen::resize (rc::kNominalSize, rc::gen::inRange (low, high));
}

static const unsigned target_max = 3;
static const unsigned team_max = 5;

struct model
{
  struct admit *admit;
  struct timespec now = ts_from_ms (1000);
  std::map<struct admit_entry *, std::string> waiting; /* entry -> target */
  std::vector<std::unique_ptr<struct admit_entry> > entries;
  struct admit_list ended;

  model ()
  {
    struct admit_options options = { 1 };

    admit = admit_new (&options);
    admit_list_init (&ended);
  }

  ~model ()
  {
    for (auto &one : waiting)
      admit_cancel (admit, one.first);
    admit_free (admit);
  }

  /* TARGET is 0 to 5; two targets per team.  */
  struct admit_request
  request (int target)
  {
    static const char *const targets[] = { "a", "b", "c", "d", "e", "f" };
    static const char *const teams[] = { "x", "x", "y", "y", "z", "z" };
    struct admit_request request = {};

    request.target = targets[target];
    request.team = teams[target];
    request.priority = (unsigned)in_range (0, 12);
    request.deadline = ts_add_ms (now, in_range (-100, 5000));
    request.target_max = target_max;
    request.team_max = team_max;
    request.ready = in_range (0, 2);
    request.ready_at = ts_add_ms (now, in_range (-100, 3000));
    request.service_s = in_range (0, 3) * 0.3;
    request.slots = (unsigned)in_range (0, 4);
    request.slots_free
        = request.slots > 0 ? (unsigned)in_range (0, (int)request.slots) : 0;
    return request;
  }

  void
  check_ended ()
  {
    struct admit_entry *entry;

    while ((entry = CK_STAILQ_FIRST (&ended)) != NULL)
      {
        CK_STAILQ_REMOVE_HEAD (&ended, ended);
        RC_ASSERT (waiting.erase (entry) == 1u); /* returned exactly once */
        RC_ASSERT (entry->outcome != ADMIT_WAIT);
        if (entry->outcome == ADMIT_DISPATCH)
          RC_ASSERT (ts_before (now, entry->deadline));
        else
          RC_ASSERT (entry->reason != ADMIT_NONE && entry->retry_after_s > 0);
      }
  }

  void
  offer ()
  {
    auto entry = std::make_unique<struct admit_entry> ();
    struct admit_request r = request (in_range (0, 6));
    unsigned before = admit_waiting_count (admit, r.target, NULL);

    switch (admit_offer (admit, entry.get (), &r, now, &ended))
      {
      case ADMIT_WAIT:
        waiting[entry.get ()] = r.target;
        break;
      case ADMIT_DISPATCH:
        RC_ASSERT (r.ready && r.slots_free > before);
        break;
      case ADMIT_REFUSED:
        RC_ASSERT (entry->reason != ADMIT_NONE && entry->retry_after_s > 0);
        break;
      }
    /* A target with a free slot and no queue never refuses a request
       because of other targets.  */
    if (before == 0 && r.ready && r.slots_free > 0
        && ts_before (now, r.deadline))
      RC_ASSERT (entry->outcome == ADMIT_DISPATCH);
    entries.push_back (std::move (entry));
  }

  void
  random_step ()
  {
    struct admit_request r = request (in_range (0, 6));

    switch (in_range (0, 8))
      {
      case 0:
        admit_release (admit, r.target, (unsigned)in_range (0, 4), now,
                       &ended);
        break;
      case 1:
        admit_reevaluate (admit, &r, now, &ended);
        break;
      case 2:
        now = ts_add_ms (now, in_range (0, 1500));
        admit_expire (admit, now, &ended);
        break;
      case 3:
        if (!waiting.empty ())
          {
            auto it = waiting.begin ();

            std::advance (it, in_range (0, (int)waiting.size ()));
            admit_cancel (admit, it->first);
            waiting.erase (it);
          }
        break;
      default:
        offer ();
      }
    check_ended ();
  }

  void
  check_invariants ()
  {
    std::map<std::string, unsigned> by_target, by_team;
    struct timespec next;
    bool has_waiting = admit_next_deadline (admit, &next);

    RC_ASSERT (has_waiting == !waiting.empty ());
    for (auto &one : waiting)
      {
        by_target[one.second]++;
        by_team[one.second < "c" ? "x" : one.second < "e" ? "y" : "z"]++;
        RC_ASSERT (ts_before (now, one.first->deadline));
        RC_ASSERT (!ts_before (one.first->deadline, next));
      }
    for (auto &one : by_target)
      {
        RC_ASSERT (one.second <= target_max);
        RC_ASSERT (admit_waiting_count (admit, one.first.c_str (), NULL)
                   == one.second);
      }
    for (auto &one : by_team)
      RC_ASSERT (one.second <= team_max);
  }
};

int
main ()
{
  bool ok = rc::check (
      "every entry is returned once, in time, within the limits", [] {
        model m;

        for (int i = 0; i < 150; i++)
          {
            m.random_step ();
            m.check_invariants ();
          }
      });
  return ok ? 0 : 1;
}

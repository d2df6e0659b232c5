/* Property test: after any sequence of steps of fake_cell no invariant is
   violated, and placement resumes once the faults end.  */

#include <cstdio>
#include <cstdlib>
#include <string>
#include <utility>
#include <vector>
#include <rapidcheck.h>

extern "C"
{
#include "fake_cell_steps.h"
}

namespace
{

using Steps = std::vector<std::pair<int, int> >;

const double rates[CELL_NODES] = { 1.0, 1.009, 0.991 };

/* Steps of normal operation, added so that about half of the generated steps
   make progress.  */
const cell_step_kind normal[]
    = { CELL_RUN_NODE,      CELL_RUN_NODE,   CELL_RUN_NODE,   CELL_RUN_NODE,
        CELL_PLAN,          CELL_PLAN,       CELL_PLAN,       CELL_SEND,
        CELL_DELIVER_ORDER, CELL_PAUSE_NODE, CELL_PAUSE_NODE, CELL_PAUSE_NODE,
        CELL_TICK,          CELL_TICK,       CELL_EXECUTE,    CELL_RESPOND,
        CELL_ADVANCE };
const int normal_count = sizeof normal / sizeof normal[0];

cell_step_kind
step_of (int code)
{
  if (code < CELL_STEPS)
    return static_cast<cell_step_kind> (code);
  return normal[code - CELL_STEPS];
}

void
run (cell &c, const Steps &steps)
{
  for (const auto &step : steps)
    {
      cell_step (&c, step_of (step.first),
                 static_cast<unsigned> (step.second));
      RC_ASSERT (std::string (c.violation) == "");
    }
}

/* Once the faults end, placement must resume, whatever happened before.  */
void
recover (cell &c)
{
  unsigned loads = c.loads;

  if (c.outage)
    cell_step (&c, CELL_OUTAGE, 0);
  for (unsigned i = 0; i < c.node_count; i++)
    {
      cell_step (&c, CELL_START, i);
      lease_set_rank (c.nodes[i].lease, i, cell_now (&c, &c.nodes[i]));
    }
  for (int turn = 0; turn < 120; turn++)
    {
      cell_step (&c, CELL_ADVANCE, 250);
      for (unsigned i = 0; i < c.node_count; i++)
        {
          cell_step (&c, CELL_RUN_NODE, i);
          cell_step (&c, CELL_PLAN, i);
        }
      while (c.orders->len > 0)
        cell_step (&c, CELL_DELIVER_ORDER, 0);
      RC_ASSERT (std::string (c.violation) == "");
    }
  RC_ASSERT (c.loads > loads);
}

void
property (bool checks_fence, unsigned nodes, bool unbounded_delay)
{
  const auto steps = *rc::gen::container<Steps> (
      rc::gen::pair (rc::gen::inRange (0, CELL_STEPS + normal_count),
                     rc::gen::inRange (0, 2500)));
  cell c;

  cell_init (&c, nodes, checks_fence, rates);
  c.unbounded_delay = unbounded_delay;
  try
    {
      run (c, steps);
      recover (c);
    }
  catch (...)
    {
      cell_clear (&c);
      throw;
    }
  RC_TAG (std::to_string (MIN (c.wins, 6U)) + " take-overs");
  cell_clear (&c);
}

void
set_parameters ()
{
  const char *given = std::getenv ("RC_PARAMS");
  std::string params = given != nullptr ? given : "seed=1";

  params += std::getenv ("RC_LONG") != nullptr
                ? " max_success=20000 max_size=600"
                : " max_success=800 max_size=200";
  setenv ("RC_PARAMS", params.c_str (), 1);
}

}

int
main ()
{
  bool ok = true;

  set_parameters ();
  for (unsigned nodes = 2; nodes <= CELL_NODES; nodes++)
    {
      std::string n = ", nodes: " + std::to_string (nodes);

      ok &= rc::check ("engines that ignore the token" + n,
                       [=] { property (false, nodes, false); });
      ok &= rc::check ("engines that ignore the token, late orders" + n,
                       [=] { property (false, nodes, true); });
      ok &= rc::check ("engines that check the token" + n,
                       [=] { property (true, nodes, false); });
    }
  return ok ? 0 : 1;
}

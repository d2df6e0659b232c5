#include <rapidcheck.h>

extern "C"
{
#include "ts.h"
}

int
main ()
{
  bool ok = rc::check ("ts_sub undoes ts_add", [] {
    auto a = *rc::gen::inRange<int64_t> (-1000000000000, 1000000000000);
    auto b = *rc::gen::inRange<int64_t> (-1000000000000, 1000000000000);
    struct timespec sum = ts_add (ts_from_ns (a), ts_from_ns (b));

    RC_ASSERT (sum.tv_nsec >= 0 && sum.tv_nsec < TS_NS_PER_S);
    RC_ASSERT (ts_to_ns (ts_sub (sum, ts_from_ns (b))) == a);
  });
  return ok ? 0 : 1;
}

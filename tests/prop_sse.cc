/* A streamed answer, cut at any byte, any number of times, and continued
   behind the events that went out.  */

#include <rapidcheck.h>
#include <string>
#include <vector>

extern "C"
{
#include "sse.h"
}

static int
any (int low, int high)
{
  return *rc::gen::resize (rc::kNominalSize, rc::gen::inRange (low, high));
}

static std::string
event (int n)
{
  std::string text = "data: {\"n\":" + std::to_string (n) + "}";

  return text + (any (0, 4) == 0 ? "\r\n\r\n" : "\n\n");
}

/* Gives BYTES to RELAY in pieces; what it lets through is added to OUT.  */
static bool
feed (struct relay *relay, const std::string &bytes, std::string &held,
      std::string &out)
{
  for (size_t at = 0; at < bytes.size ();)
    {
      size_t n = (size_t)any (1, 30);
      int64_t passed;

      held += bytes.substr (at, n);
      at += n;
      passed = relay_scan (relay, held.data (), held.size ());
      if (passed < 0)
        return false;
      out += held.substr (0, (size_t)passed);
      held.erase (0, (size_t)passed);
    }
  return true;
}

static bool
resumes_exactly ()
{
  return rc::check ("no event is repeated, missing or broken", [] {
    const std::string closing = "data: [DONE]\n\n";
    std::vector<std::string> events;
    std::string whole, out;
    uint64_t had = 0;
    bool done = false;

    for (int i = any (0, 20); i > 0; i--)
      events.push_back (event (i));
    for (auto &one : events)
      whole += one;
    whole += closing;
    while (!done)
      {
        struct relay relay;
        std::string left, held;

        for (size_t i = had; i < events.size (); i++)
          left += events[i];
        left += closing;
        if (any (0, 3) != 0)
          left.resize ((size_t)any (0, (int)left.size ()));
        relay_init (&relay);
        RC_ASSERT (feed (&relay, left, held, out));
        RC_ASSERT (whole.compare (0, out.size (), out) == 0);
        had += relay.events;
        done = relay.whole;
        /* a cut stream ends between two events and is not whole */
        RC_ASSERT (done == (out.size () == whole.size ()));
      }
    RC_ASSERT (out == whole);
    RC_ASSERT (had == events.size ());
  });
}

static bool
nothing_after_the_end ()
{
  return rc::check ("bytes behind the end of a stream are refused", [] {
    struct relay relay;
    std::string held, out;
    std::string bytes = event (1) + "data: [DONE]\n\n";

    relay_init (&relay);
    RC_ASSERT (!feed (&relay, bytes + event (2), held, out));
    RC_ASSERT (bytes.compare (0, out.size (), out) == 0);
  });
}

int
main ()
{
  bool ok = resumes_exactly ();

  ok &= nothing_after_the_end ();
  return ok ? 0 : 1;
}

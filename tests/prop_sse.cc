/* Property test: a stream that is truncated at any byte, any number of
   times, and resumed after the events already passed on.  */

#include <rapidcheck.h>
#include <string>
#include <vector>

extern "C"
{
#include "sse.h"
}

static int
in_range (int low, int high)
{
  return *rc::gen::resize (rc::kNominalSize, rc::gen::inRange (low, high));
}

static std::string
event (int n)
{
  std::string text = "data: {\"n\":" + std::to_string (n) + "}";

  return text + (in_range (0, 4) == 0 ? "\r\n\r\n" : "\n\n");
}

/* Feeds BYTES to SSE in pieces and appends what is passed on to OUT.  */
static bool
feed (struct sse *sse, const std::string &bytes, std::string &held,
      std::string &out)
{
  for (size_t at = 0; at < bytes.size ();)
    {
      size_t n = (size_t)in_range (1, 30);
      int64_t passed;

      held += bytes.substr (at, n);
      at += n;
      passed = sse_scan (sse, held.data (), held.size ());
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
  return rc::check ("no event is repeated, missing or corrupt", [] {
    const std::string closing = "data: [DONE]\n\n";
    std::vector<std::string> events;
    std::string expected, out;
    uint64_t received = 0;
    bool done = false;

    for (int i = in_range (0, 20); i > 0; i--)
      events.push_back (event (i));
    for (auto &one : events)
      expected += one;
    expected += closing;
    while (!done)
      {
        struct sse sse;
        std::string left, held;

        for (size_t i = received; i < events.size (); i++)
          left += events[i];
        left += closing;
        if (in_range (0, 3) != 0)
          left.resize ((size_t)in_range (0, (int)left.size ()));
        sse_init (&sse, true);
        RC_ASSERT (feed (&sse, left, held, out));
        RC_ASSERT (expected.compare (0, out.size (), out) == 0);
        received += sse.events;
        done = sse.complete;
        /* a truncated stream ends between two events and is not complete */
        RC_ASSERT (done == (out.size () == expected.size ()));
      }
    RC_ASSERT (out == expected);
    RC_ASSERT (received == events.size ());
  });
}

static bool
nothing_after_the_end ()
{
  return rc::check ("bytes after the end of a stream are refused", [] {
    struct sse sse;
    std::string held, out;
    std::string bytes = event (1) + "data: [DONE]\n\n";

    sse_init (&sse, true);
    RC_ASSERT (!feed (&sse, bytes + event (2), held, out));
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

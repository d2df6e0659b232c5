/* Property test: within 2.5 s a node knows that it is cut off from a service's
   servers, as long as two of them answer other nodes and requests come; a node
   whose paths are sound does not believe so, whatever servers do; and probes
   are bounded.  */

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>
#include <rapidcheck.h>

extern "C"
{
#include "cutoff.h"
#include "ts.h"
}

namespace
{

const int server_count = 6;
const int64_t step_ms = 50;
const int64_t check_ms = 200;    /* between looks for probes */
const int64_t told_ms = 400;     /* from a response to another node's word */
const int64_t connect_ms = 1000; /* timeout of a request's connection */
const int64_t known_ms = 2500;
/* After the paths are back, until servers that went down meanwhile are known
   to be down.  */
const int64_t settled_ms = CUTOFF_TOLD_TTL_MS + told_ms;
/* While nothing is amiss, though servers may be silent.  */
const unsigned probes_per_s_max = 1;

struct request
{
  int server;
  int64_t began_ms;
  int64_t answer_ms;
  bool sent; /* over a connection that was made before the paths were cut */
};

class world
{
public:
  world () : cutoff (cutoff_new ()) {}
  ~world () { cutoff_free (cutoff); }
  world (const world &) = delete;
  world &operator= (const world &) = delete;

  void event (int kind, unsigned arg);
  void advance (int64_t ms);
  unsigned checked = 0;

private:
  void step ();
  void run_requests ();
  void probe ();
  void check ();
  timespec
  now () const
  {
    return ts_from_ms (now_ms);
  }
  static std::string
  id (int i)
  {
    return "s" + std::to_string (i);
  }
  int alive_count () const;

  struct cutoff *cutoff;
  int64_t now_ms = 100000;
  bool cut = false;
  int64_t cut_at = 0; /* last change of CUT */
  bool alive[server_count] = { true, true, true, true, true, true };
  int64_t silent_to[server_count] = {}; /* answers nothing, accepts */
  int64_t server_at = 0;                /* last change of a server */
  std::vector<request> requests;
  std::vector<std::pair<int64_t, int> > words; /* time, server */
  std::vector<std::pair<int64_t, int> > probes;
  std::vector<int64_t> probe_times;
};

int
world::alive_count () const
{
  int n = 0;

  for (int i = 0; i < server_count; i++)
    n += alive[i] && silent_to[i] <= now_ms;
  return n;
}

void
world::run_requests ()
{
  std::vector<request> left;

  for (const request &r : requests)
    {
      const std::string server = id (r.server);

      if (!cut && alive[r.server] && now_ms >= r.answer_ms
          && now_ms >= silent_to[r.server])
        {
          cutoff_heard (cutoff, server.c_str (), now ());
          cutoff_end (cutoff);
          words.push_back ({ now_ms + told_ms, r.server });
        }
      else if (!alive[r.server] && !cut)
        {
          cutoff_failed (cutoff, server.c_str (), ts_from_ms (r.began_ms));
          cutoff_end (cutoff);
        }
      else if (!r.sent && cut && now_ms >= r.began_ms + connect_ms)
        {
          cutoff_failed (cutoff, server.c_str (), ts_from_ms (r.began_ms));
          cutoff_end (cutoff);
        }
      else if (now_ms >= r.began_ms + 6000)
        cutoff_end (cutoff);
      else
        left.push_back (r);
    }
  requests = left;
}

void
world::probe ()
{
  const char *servers[CUTOFF_PROBES];
  std::vector<std::pair<int64_t, int> > left;

  for (const auto &p : probes)
    if (!cut && now_ms >= p.first + step_ms)
      {
        if (alive[p.second])
          cutoff_heard (cutoff, id (p.second).c_str (), now ());
        else
          cutoff_failed (cutoff, id (p.second).c_str (), ts_from_ms (p.first));
      }
    else if (now_ms >= p.first + CUTOFF_CONNECT_MS)
      cutoff_failed (cutoff, id (p.second).c_str (), ts_from_ms (p.first));
    else
      left.push_back (p);
  probes = left;
  if (now_ms % check_ms != 0)
    return;
  const size_t n = cutoff_probe (cutoff, now (), servers);

  for (size_t i = 0; i < n; i++)
    {
      probes.push_back ({ now_ms, servers[i][1] - '0' });
      probe_times.push_back (now_ms);
    }
}

void
world::check ()
{
  const bool believed = cutoff_all (cutoff, now ());
  unsigned recent = 0;

  for (int64_t at : probe_times)
    recent += at > now_ms - 1000;
  if (!cut && now_ms - cut_at >= settled_ms && now_ms - server_at >= settled_ms
      && std::count (alive, alive + server_count, true) == server_count)
    RC_ASSERT (recent <= probes_per_s_max);
  if (!cut && now_ms - cut_at >= settled_ms)
    RC_ASSERT (!believed);
  if (cut && now_ms - cut_at >= known_ms && now_ms - server_at >= known_ms
      && alive_count () >= 2)
    {
      checked++;
      RC_ASSERT (believed);
    }
}

void
world::step ()
{
  std::vector<std::pair<int64_t, int> > later;

  now_ms += step_ms;
  /* Another node gets answers from each live server all the time.  */
  if (now_ms % check_ms == 0)
    for (int i = 0; i < server_count; i++)
      if (alive[i] && now_ms >= silent_to[i])
        words.push_back ({ now_ms + told_ms, i });
  for (const auto &w : words)
    if (now_ms >= w.first)
      cutoff_told (cutoff, id (w.second).c_str (), now ());
    else
      later.push_back (w);
  words = later;
  if (now_ms % 250 == 0)
    {
      const int to = static_cast<int> (now_ms / 250) % server_count;

      if (!cutoff_all (cutoff, now ())
          && !cutoff_server (cutoff, id (to).c_str (), now ()))
        {
          cutoff_begin (cutoff, now ());
          requests.push_back ({ to, now_ms, now_ms + 100, now_ms % 500 == 0 });
        }
    }
  run_requests ();
  probe ();
  check ();
}

void
world::advance (int64_t ms)
{
  for (int64_t i = 0; i < ms; i += step_ms)
    step ();
}

void
world::event (int kind, unsigned arg)
{
  const int i = static_cast<int> (arg % server_count);

  switch (kind)
    {
    case 0:
    case 1:
      advance (50 + static_cast<int64_t> (arg % 4000));
      break;
    case 2:
      cut = !cut;
      cut_at = now_ms;
      break;
    case 3:
      alive[i] = !alive[i];
      server_at = now_ms;
      break;
    case 4:
      silent_to[i] = now_ms + 200 + arg % 1300;
      server_at = silent_to[i];
      break;
    default:
      for (int k = 0; k < server_count; k++)
        alive[k] = arg % 2 == 0;
      server_at = now_ms;
      break;
    }
}

} // namespace

int
main ()
{
  const auto events
      = rc::gen::container<std::vector<std::pair<int, unsigned> > > (
          rc::gen::pair (rc::gen::inRange (0, 6),
                         rc::gen::inRange<unsigned> (0, 100000)));
  unsigned checked = 0;
  const bool ok = rc::check ("a node knows when only it is cut off", [&] {
    const auto list = *rc::gen::resize (60, events);
    world w;

    w.advance (2000);
    for (const auto &e : list)
      w.event (e.first, e.second);
    w.advance (4000);
    checked += w.checked;
  });

  return ok && checked > 0 ? 0 : 1;
}

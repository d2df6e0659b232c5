/* Property test: a configuration that the store has acknowledged is in force 2
   s later at each node that has been running and able to reach the store for 3
   s, and no node goes back to an older one, while open connections die without
   being reset, links between nodes are cut, nodes are paused, killed and
   started, and the decider changes.

   The nodes use the real listing and confpull.  The test is their store, links
   and clock, and the decider's messages are composed as by the planners.  */

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <memory>
#include <string>
#include <utility>
#include <vector>
#include <rapidcheck.h>

extern "C"
{
#include "confpull.h"
#include "confwatch.h"
#include "core.h"
#include "document.h"
#include "links.h"
#include "listing.h"
#include "ts.h"
}

namespace
{

const int node_count = 4;
const int64_t step_ms = 10;
const int64_t config_ms = 2000;
const int64_t touch_ms = 3000;
const int64_t store_ms = 4; /* of a response */
/* Longest way of a message between nodes.  A node whose packets wait longer
   than half a second is not in touch.  */
const int64_t link_max_ms = 500;
const int64_t watch_margin_ms = 700;
const int64_t list_timeout_ms = 1200;
const int64_t idle_ms = 2000;   /* reuse of an idle connection */
const int64_t publish_ms = 100; /* a tick of the planners */
const int64_t repeat_ms = 500;  /* of the decider's last message */

struct call
{
  bool pending = false;
  bool watch = false;
  bool dead = false; /* its connection is */
  uint64_t after = 0;
  int64_t sent_ms = 0;
  int64_t end_ms = 0;     /* of the watch */
  int64_t timeout_ms = 0; /* absolute */
  int64_t answer_ms = -1; /* when the response arrives; -1: not made yet */
  uint64_t answer_version = 0;
  platform_changes_cb cb = {};
};

struct word
{
  int from;
  int64_t arrive_ms;
  uint64_t version;
  int64_t age_ms;
  int64_t config_age_ms;
  unsigned tenure; /* of the decider that sent it */
};

struct announcement
{
  int from;
  int64_t arrive_ms;
  uint64_t version;
  bool whole; /* the configuration itself */
  bool request;
};

struct world;

struct node
{
  struct platform platform; /* must be first */
  world *all;
  int number;
  bool alive;
  bool paused;
  int64_t sound_from_ms; /* it has been running since */
  int64_t silent_at_ms;  /* last call without an answer; -1: none */
  int64_t used_at_ms;    /* end of the last answered call; -1: none */
  int64_t died_at_ms;    /* its connections died; -1: they did not */
  core core_state;
  settings settings_state;
  service *links_service;
  service *listing_service;
  struct listing *listing;
  confpull pull;
  uint64_t seen; /* highest version in force in this process */
  call config_call;
  call servers_call;
  std::vector<word> *words;
  std::vector<announcement> *messages;
  int64_t published_ms;
  int64_t published_age_ms;
  int64_t published_config_age_ms;
  uint64_t published_version;
  int64_t old_word_ms; /* last accepted of another tenure */
};

struct edit
{
  uint64_t version;
  int64_t acked_ms;
};

std::string
config_text (uint64_t version)
{
  return "{\"Version\":" + std::to_string (version) + "}";
}

struct world
{
  clk_manual clk;
  int64_t now_ms = 100000;
  int64_t stall_from_ms = 0; /* the store answers nothing from then on */
  int64_t stall_to_ms = 0;
  int64_t link_ms = 2;        /* of a message between nodes */
  uint64_t store_version = 1; /* of its rows */
  std::vector<edit> edits;
  int decider = 0;
  unsigned tenure = 0; /* increases with each change of the decider */
  bool cut[node_count][node_count] = {};
  node nodes[node_count] = {};
  unsigned checks = 0;

  world ();
  ~world ();
  world (const world &) = delete;
  world &operator= (const world &) = delete;

  void start (int i);
  void kill (int i);
  void silence (int i);
  void become_decider (int i);
  void advance (int64_t ms);
  void step ();
  void run_calls (node &n);
  void answer (node &n, call &c, const char *table);
  void publish (node &n);
  void receive (node &n);
  void announce (node &n);
  void check (node &n);
  void check_keys (node &n);
  bool stalled () const;
  uint64_t newest () const;
};

call &
call_of (node &n, const char *table)
{
  if (strcmp (table, "op") == 0)
    return n.config_call;
  return n.servers_call;
}

/* Whether a call begins on a connection that is dead: an idle one that was
   open when the connections died, and only while the client does not suspect
   it.  */
bool
begins_dead (const node &n, bool list)
{
  const int64_t now_ms = n.all->now_ms;

  return !list && n.died_at_ms >= 0 && n.silent_at_ms < n.died_at_ms
         && n.used_at_ms >= 0 && n.used_at_ms <= n.died_at_ms
         && now_ms - n.used_at_ms < idle_ms;
}

void
begin_call (struct platform *platform, const char *table, bool watch,
            uint64_t after, int64_t wait_ms, platform_changes_cb cb)
{
  node &n = *reinterpret_cast<node *> (platform);
  call &c = call_of (n, table);

  if (strcmp (table, "op") != 0 && strcmp (table, "servers") != 0)
    {
      platform_changes nothing = {};

      nothing.version = 1;
      cb.done (cb.user, PLATFORM_OK, &nothing);
      return;
    }
  RC_ASSERT (!c.pending);
  c = call ();
  c.pending = true;
  c.watch = watch;
  c.after = after;
  c.sent_ms = n.all->now_ms;
  c.end_ms = c.sent_ms + wait_ms;
  c.timeout_ms
      = c.sent_ms + (watch ? wait_ms + watch_margin_ms : list_timeout_ms);
  c.dead = begins_dead (n, !watch);
  c.cb = cb;
}

void
fake_list (struct platform *platform, const char *table,
           platform_changes_cb cb)
{
  begin_call (platform, table, false, 0, 0, cb);
}

void
fake_watch (struct platform *platform, const char *table, uint64_t after,
            int64_t wait_ms, platform_changes_cb cb)
{
  begin_call (platform, table, true, after, wait_ms, cb);
}

void
fake_txn (struct platform *, const platform_txn *, platform_txn_cb cb)
{
  platform_rows rows = {};

  cb.done (cb.user, PLATFORM_OK, &rows);
}

const platform_ops ops = [] {
  platform_ops o = {};
  o.txn = fake_txn;
  o.list = fake_list;
  o.watch = fake_watch;
  return o;
}();

world::world ()
{
  clk_manual_init (&clk, ts_from_ms (now_ms));
  edits.push_back ({ 1, now_ms - config_ms });
  for (int i = 0; i < node_count; i++)
    start (i);
  become_decider (0);
}

world::~world ()
{
  for (int i = 0; i < node_count; i++)
    kill (i);
}

void
world::start (int i)
{
  node &n = nodes[i];
  listing_options options = {};

  if (n.alive)
    return;
  n = node ();
  n.platform.ops = &ops;
  n.all = this;
  n.number = i;
  n.alive = true;
  n.sound_from_ms = now_ms;
  n.silent_at_ms = n.used_at_ms = n.died_at_ms = -1;
  n.words = new std::vector<word>;
  n.messages = new std::vector<announcement>;
  n.settings_state.peer_address = const_cast<char *> ("127.0.0.1");
  n.settings_state.peer_token = const_cast<char *> ("secret-of-nodes");
  n.settings_state.seeds = const_cast<char *> ("");
  n.settings_state.zone = const_cast<char *> ("z");
  n.settings_state.region = const_cast<char *> ("r");
  n.core_state.settings = &n.settings_state;
  n.core_state.clk = &clk.clk;
  n.core_state.loop = loop_new (&clk.clk);
  n.core_state.platform = &n.platform;
  n.core_state.node = const_cast<char *> ("n");
  n.core_state.address = const_cast<char *> ("127.0.0.1:1");
  n.core_state.rand = g_rand_new_with_seed (static_cast<guint32> (i));
  n.core_state.kernel = kernel_new ();
  core_register (&n.core_state);
  n.links_service = links_new ();
  kernel_register (n.core_state.kernel, n.links_service);
  options.catalog = document_catalog ();
  n.listing_service = listing_new (&options);
  kernel_register (n.core_state.kernel, n.listing_service);
  RC_ASSERT (kernel_start (n.core_state.kernel) == 0);
  n.listing = listing_find (n.core_state.kernel);
}

void
world::kill (int i)
{
  node &n = nodes[i];

  if (!n.alive)
    return;
  n.alive = false;
  kernel_stop (n.core_state.kernel);
  listing_free (n.listing_service);
  links_free (n.links_service);
  kernel_free (n.core_state.kernel);
  loop_free (n.core_state.loop);
  g_rand_free (n.core_state.rand);
  confpull_clear (&n.pull);
  delete n.words;
  delete n.messages;
}

/* Connections that die as often as they are opened can't be told from a store
   that is down.  */
void
world::silence (int i)
{
  node &n = nodes[i];

  if (n.died_at_ms >= 0 && now_ms - n.died_at_ms < config_ms)
    return;
  n.died_at_ms = now_ms;
  for (call *c : { &n.config_call, &n.servers_call })
    if (c->pending && c->answer_ms < 0)
      c->dead = true;
}

/* The former decider hears of it at once, unless it is paused or cut off.  */
void
world::become_decider (int i)
{
  if (!nodes[i].alive || nodes[i].paused)
    return;
  if (nodes[decider].alive)
    listing_stop_publishing (nodes[decider].listing);
  decider = i;
  tenure++;
  nodes[i].published_ms = 0;
  listing_start_publishing (nodes[i].listing);
}

bool
world::stalled () const
{
  return now_ms >= stall_from_ms && now_ms < stall_to_ms;
}

uint64_t
world::newest () const
{
  return edits.back ().version;
}

void
world::answer (node &n, call &c, const char *table)
{
  const std::string text = config_text (c.answer_version);
  platform_row row = {};
  platform_changes changes = {};

  c.pending = false;
  if (c.answer_ms >= 0)
    n.used_at_ms = now_ms;
  else
    n.silent_at_ms = now_ms;
  row.key = const_cast<char *> ("config");
  row.value = const_cast<char *> (text.c_str ());
  row.token = const_cast<char *> ("");
  row.version = c.answer_version;
  if (strcmp (table, "op") == 0 && c.answer_version > c.after)
    {
      changes.rows = &row;
      changes.count = 1;
    }
  changes.version = std::max<uint64_t> (c.after, c.answer_version);
  if (changes.version == 0)
    changes.version = 1;
  c.cb.done (c.cb.user, c.answer_ms >= 0 ? PLATFORM_OK : PLATFORM_UNKNOWN,
             &changes);
}

/* The store makes responses also while the node is paused; they are read, and
   timeouts noticed, only when it runs.  */
void
world::run_calls (node &n)
{
  const std::pair<call *, const char *> calls[]
      = { { &n.config_call, "op" }, { &n.servers_call, "servers" } };

  for (const auto &pair : calls)
    {
      call &c = *pair.first;
      const bool config = strcmp (pair.second, "op") == 0;

      if (!c.pending)
        continue;
      if (!c.dead && c.answer_ms < 0 && !stalled ()
          && now_ms >= c.sent_ms + store_ms
          && (!c.watch || now_ms >= c.end_ms
              || (config && newest () > c.after)))
        {
          c.answer_ms = now_ms;
          c.answer_version = config ? newest () : 1;
        }
      if (n.paused)
        continue;
      if (c.answer_ms >= 0 || now_ms >= c.timeout_ms)
        answer (n, c, pair.second);
    }
}

void
world::publish (node &n)
{
  const struct site *site = listing_site (n.listing);
  const int64_t age_ms = std::max<int64_t> (listing_age_ms (n.listing), 1);
  const int64_t config_age_ms
      = std::max<int64_t> (listing_config_age_ms (n.listing), 1);
  const uint64_t version = site != nullptr ? site->version : 0;

  if (now_ms % publish_ms != 0
      || (now_ms - n.published_ms < repeat_ms && age_ms >= n.published_age_ms
          && config_age_ms >= n.published_config_age_ms
          && version == n.published_version))
    return;
  n.published_ms = now_ms;
  n.published_age_ms = age_ms;
  n.published_config_age_ms = config_age_ms;
  n.published_version = version;
  for (node &to : nodes)
    if (to.alive && to.number != n.number && !cut[n.number][to.number])
      to.words->push_back ({ n.number, now_ms + link_ms, version, age_ms,
                             config_age_ms, tenure });
}

/* Messages of a node that does not decide any more have a lower fencing token
   and are dropped.  */
void
world::receive (node &n)
{
  const std::vector<word> words = *n.words;
  const std::vector<announcement> messages = *n.messages;

  n.words->clear ();
  n.messages->clear ();
  for (const word &w : words)
    {
      listing_peer_info info = {};

      if (w.arrive_ms > now_ms)
        {
          n.words->push_back (w);
          continue;
        }
      if (w.from != decider || n.number == decider)
        continue;
      /* A node that decides again has a higher fencing token, so that its old
         words are dropped too.  Accepted here, as always, but not counted
         against the refusals of keys.  */
      if (w.tenure != tenure)
        n.old_word_ms = now_ms;
      info.age_ms = w.age_ms;
      info.config_version = w.version;
      info.config_age_ms = w.config_age_ms;
      listing_peer_list_begin (n.listing, &info);
      listing_peer_list_end (n.listing);
    }
  for (const announcement &m : messages)
    {
      const std::string from = std::to_string (m.from);
      const uint64_t own = n.seen;

      if (m.arrive_ms > now_ms)
        n.messages->push_back (m);
      else if (m.request && n.seen > m.version && !cut[n.number][m.from]
               && nodes[m.from].alive)
        nodes[m.from].messages->push_back (
            { n.number, now_ms + link_ms, n.seen, true, false });
      else if (m.whole)
        listing_apply_config (n.listing, config_text (m.version).c_str ());
      else if (!m.request
               && confpull_offered (&n.pull, from.c_str (), m.version, own,
                                    ts_from_ms (now_ms)))
        confpull_delay (&n.pull, ts_from_ms (now_ms + CONFPULL_INTERVAL_MS));
    }
}

void
world::announce (node &n)
{
  const struct site *site = listing_site (n.listing);
  const char *ask;

  if (site != nullptr && site->version != n.seen)
    {
      RC_ASSERT (site->version > n.seen);
      n.seen = site->version;
      for (node &to : nodes)
        if (to.alive && to.number != n.number && !cut[n.number][to.number])
          to.messages->push_back (
              { n.number, now_ms + link_ms, n.seen, false, false });
    }
  ask = confpull_due (&n.pull, n.seen, ts_from_ms (now_ms));
  if (ask == nullptr)
    return;
  const int to = ask[0] - '0';
  confpull_delay (&n.pull, ts_from_ms (now_ms + CONFPULL_INTERVAL_MS));
  if (nodes[to].alive && !cut[n.number][to])
    nodes[to].messages->push_back (
        { n.number, now_ms + link_ms, n.seen, false, true });
}

/* At every running node, also one that is not in touch: no key is refused for
   good by a configuration that is older than the bound and the way of a
   message, and none is held to be removed by the newest one while the node is
   in touch.  */
void
world::check_keys (node &n)
{
  uint64_t due = 0;

  for (const edit &e : edits)
    if (e.acked_ms + config_ms + link_max_ms <= now_ms)
      due = e.version;
  if (now_ms - n.old_word_ms > config_ms + link_max_ms && n.seen < due
      && listing_config_is_current (n.listing, config_ms))
    RC_FAIL ("node " + std::to_string (n.number) + " refuses keys by version "
             + std::to_string (n.seen) + " for " + std::to_string (due)
             + " at " + std::to_string (now_ms));
  if (now_ms - n.sound_from_ms >= touch_ms && now_ms - stall_to_ms >= touch_ms
      && !stalled () && n.seen == newest ()
      && listing_config_is_outdated (n.listing, config_ms))
    RC_FAIL ("node " + std::to_string (n.number)
             + " accepts no keys by the newest version at "
             + std::to_string (now_ms));
}

void
world::check (node &n)
{
  uint64_t due = 0;

  if (now_ms - n.sound_from_ms < touch_ms || now_ms - stall_to_ms < touch_ms
      || stalled ())
    return;
  for (const edit &e : edits)
    if (e.acked_ms + config_ms <= now_ms)
      due = e.version;
  checks++;
  if (n.seen < due)
    RC_FAIL ("node " + std::to_string (n.number) + " has version "
             + std::to_string (n.seen) + " for " + std::to_string (due)
             + " at " + std::to_string (now_ms));
}

void
world::step ()
{
  now_ms += step_ms;
  clk.at = ts_from_ms (now_ms);
  for (node &n : nodes)
    {
      if (!n.alive)
        continue;
      if (n.paused)
        {
          n.sound_from_ms = now_ms;
          run_calls (n);
          continue;
        }
      loop_run_once (n.core_state.loop, 0);
      run_calls (n);
      receive (n);
      if (n.number == decider)
        publish (n);
      announce (n);
      check (n);
      check_keys (n);
    }
}

void
world::advance (int64_t ms)
{
  for (int64_t i = 0; i < ms; i += step_ms)
    step ();
}

enum event
{
  WAIT_SHORT,
  WAIT,
  EDIT,
  SILENCE,
  SILENCE_ALL,
  CUT,
  HEAL,
  PAUSE,
  RESUME,
  KILL,
  START,
  DECIDE,
  STALL,
  EDIT_MORE,
  SILENCE_MORE,
  EVENTS
};

void
apply (world &w, int kind, unsigned arg)
{
  const int i = static_cast<int> (arg) % node_count;
  const int j = static_cast<int> (arg / node_count) % node_count;
  node &n = w.nodes[i];

  switch (kind)
    {
    case WAIT_SHORT:
      w.advance (10 + static_cast<int64_t> (arg) % 400);
      break;
    case WAIT:
      w.advance (10 + static_cast<int64_t> (arg * 7) % 3000);
      break;
    case EDIT:
    case EDIT_MORE:
      /* The store takes no edit while it is down.  */
      if (!w.stalled ())
        w.edits.push_back ({ w.newest () + 1 + arg % 3, w.now_ms });
      break;
    case SILENCE:
    case SILENCE_MORE:
      w.silence (i);
      break;
    case SILENCE_ALL:
      for (int k = 0; k < node_count; k++)
        w.silence (k);
      break;
    case CUT:
      w.cut[i][j] = true;
      w.cut[j][i] = w.cut[j][i] || arg % 3 != 0;
      break;
    case HEAL:
      std::memset (w.cut, 0, sizeof w.cut);
      break;
    case PAUSE:
      n.paused = n.alive;
      break;
    case RESUME:
      for (node &m : w.nodes)
        m.paused = false;
      break;
    case KILL:
      w.kill (i);
      break;
    case START:
      for (int k = 0; k < node_count; k++)
        w.start (k);
      break;
    case DECIDE:
      w.become_decider (i);
      break;
    case STALL:
      w.stall_from_ms = w.now_ms;
      w.stall_to_ms = w.now_ms + 200 + arg % 4000;
      break;
    default:
      break;
    }
}

} // namespace

int
main ()
{
  const auto steps
      = rc::gen::container<std::vector<std::pair<int, unsigned> > > (
          rc::gen::pair (rc::gen::inRange<int> (0, EVENTS),
                         rc::gen::inRange<unsigned> (0, 100000)));
  bool ok = true;

  ok = rc::check ("an acknowledged configuration is in force in time",
                  [&] {
                    const auto list = *rc::gen::resize (80, steps);
                    auto w = std::make_unique<world> ();

                    w->link_ms = *rc::gen::element<int64_t> (2, link_max_ms);
                    w->advance (touch_ms + 500);
                    for (const auto &s : list)
                      apply (*w, s.first, s.second);
                    w->advance (config_ms + touch_ms);
                    RC_ASSERT (w->checks > 0);
                  })
       && ok;
  return ok ? 0 : 1;
}

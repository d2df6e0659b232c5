/* A node queries the store itself only while the decider does not publish a
   fresh list.  */

#include <glib.h>
#include "core.h"
#include "document.h"
#include "links.h"
#include "listing.h"
#include "outage.h"
#include "ts.h"

#define STEP_MS 50
#define HEARTBEAT_MS 1200

struct pending
{
  struct platform_changes_cb cb;
  char *table;
};

struct fixture
{
  struct platform platform; /* must be first */
  struct clk_manual clk;
  struct core core;
  struct settings settings;
  struct service *links;
  struct service *service;
  struct listing *listing;
  GPtrArray *watches;             /* struct pending */
  unsigned server_queries;        /* lists and watches of servers */
  unsigned server_lists;          /* of these, lists */
  uint64_t servers_watched_after; /* version, in the last watch */
  unsigned config_queries;        /* lists and watches of the configuration */
  bool store_unavailable;
};

static void
pending_free (gpointer data)
{
  struct pending *pending = data;

  g_free (pending->table);
  g_free (pending);
}

static void
count (struct fixture *f, const char *table)
{
  f->server_queries += strcmp (table, "servers") == 0;
  f->config_queries += strcmp (table, "op") == 0;
}

static void
fake_list (struct platform *platform, const char *table,
           struct platform_changes_cb cb)
{
  struct fixture *f = (struct fixture *)platform;
  struct platform_row config = { .key = (char *)"config",
                                 .version = 1,
                                 .value = (char *)"{\"Version\":7}",
                                 .token = (char *)"" };
  struct platform_row server
      = { .key = (char *)"i1",
          .version = 2,
          .value = (char *)"{\"Service\":\"s\",\"Address\":\"1.2.3.4:5\","
                           "\"Slots\":8,\"State\":\"ready\"}",
          .token = (char *)"" };
  struct platform_changes changes = { .version = 9 };

  count (f, table);
  f->server_lists += strcmp (table, "servers") == 0;
  if (f->store_unavailable)
    {
      cb.done (cb.user, PLATFORM_REFUSED, &changes);
      return;
    }
  if (strcmp (table, "nodes") != 0)
    {
      changes.rows = strcmp (table, "op") == 0 ? &config : &server;
      changes.count = 1;
    }
  cb.done (cb.user, PLATFORM_OK, &changes);
}

static void
fake_watch (struct platform *platform, const char *table, uint64_t after,
            int64_t wait_ms, struct platform_changes_cb cb)
{
  struct fixture *f = (struct fixture *)platform;
  struct pending *pending = g_new0 (struct pending, 1);

  (void)wait_ms;
  count (f, table);
  if (strcmp (table, "servers") == 0)
    f->servers_watched_after = after;
  pending->cb = cb;
  pending->table = g_strdup (table);
  g_ptr_array_add (f->watches, pending);
}

static void
fake_txn (struct platform *platform, const struct platform_txn *txn,
          struct platform_txn_cb cb)
{
  struct platform_rows rows = { 0 };

  (void)platform;
  (void)txn;
  cb.done (cb.user, PLATFORM_OK, &rows);
}

static const struct platform_ops ops
    = { .txn = fake_txn, .list = fake_list, .watch = fake_watch };

/* Completes all watches without changes.  */
static void
end_watches (struct fixture *f)
{
  struct platform_changes nothing = { .version = 9 };

  while (f->watches->len > 0)
    {
      struct pending *pending = g_ptr_array_index (f->watches, 0);
      struct platform_changes_cb cb = pending->cb;

      g_ptr_array_remove_index (f->watches, 0);
      cb.done (cb.user, PLATFORM_OK, &nothing);
    }
}

static void
advance (struct fixture *f, int64_t ms)
{
  for (int64_t i = 0; i < ms; i += STEP_MS)
    {
      f->clk.at = ts_add_ms (f->clk.at, STEP_MS);
      loop_run_once (f->core.loop, 0);
      end_watches (f);
    }
}

static void
set_up (struct fixture *f)
{
  struct listing_options options = { .catalog = document_catalog () };

  memset (f, 0, sizeof *f);
  f->platform.ops = &ops;
  f->watches = g_ptr_array_new_with_free_func (pending_free);
  clk_manual_init (&f->clk, ts_from_ms (100000));
  f->settings.peer_address = (char *)"127.0.0.1";
  f->settings.peer_token = (char *)"secret-of-nodes";
  f->settings.seeds = (char *)"";
  f->settings.zone = (char *)"z";
  f->settings.region = (char *)"r";
  f->settings.heartbeat_ms = HEARTBEAT_MS;
  f->core.settings = &f->settings;
  f->core.clk = &f->clk.clk;
  f->core.loop = loop_new (&f->clk.clk);
  f->core.platform = &f->platform;
  f->core.node = (char *)"n";
  f->core.address = (char *)"127.0.0.1:1";
  f->core.rand = g_rand_new_with_seed (1);
  f->core.kernel = kernel_new ();
  core_register (&f->core);
  kernel_register (f->core.kernel, f->links = links_new ());
  kernel_register (f->core.kernel, f->service = listing_new (&options));
  g_assert_cmpint (kernel_start (f->core.kernel), ==, 0);
  f->listing = listing_find (f->core.kernel);
  advance (f, 1000);
  g_assert_nonnull (listing_site (f->listing));
}

static void
tear_down (struct fixture *f)
{
  kernel_stop (f->core.kernel);
  listing_free (f->service);
  links_free (f->links);
  kernel_free (f->core.kernel);
  loop_free (f->core.loop);
  g_rand_free (f->core.rand);
  g_ptr_array_unref (f->watches);
}

static void
publish_kept (struct fixture *f, const char *id, bool kept)
{
  struct peer_replica server = { .engine = (char *)id,
                                 .address = (char *)"1.2.3.4:5",
                                 .zone = (char *)"z",
                                 .pool = (char *)"s",
                                 .slots = 8,
                                 .kept = kept };
  struct listing_peer_info info
      = { .age_ms = 300, .config_version = 7, .config_age_ms = 300 };

  listing_peer_list_begin (f->listing, &info);
  listing_peer_list_add (f->listing, &server);
  listing_peer_list_end (f->listing);
}

static void
publish (struct fixture *f, const char *id, bool leaving, int64_t age_ms,
         uint64_t version)
{
  struct peer_replica server = { .engine = (char *)id,
                                 .address = (char *)"1.2.3.4:5",
                                 .zone = (char *)"z",
                                 .pool = (char *)"s",
                                 .slots = 8,
                                 .leaving = leaving };
  struct listing_peer_info info = { .age_ms = age_ms,
                                    .config_version = version,
                                    .config_age_ms = age_ms };

  listing_peer_list_begin (f->listing, &info);
  listing_peer_list_add (f->listing, &server);
  listing_peer_list_end (f->listing);
}

static const struct server *
server (struct fixture *f, const char *id)
{
  return servers_find (listing_servers (f->listing), id);
}

/* While the decider publishes a fresh list, a node does not query the store;
   soon after the decider stops, it does.  */
static void
test_fresh_list (void)
{
  struct fixture f;
  unsigned before;

  set_up (&f);
  for (int i = 0; i < 4; i++)
    {
      publish (&f, "i1", false, 300, 7);
      advance (&f, 500);
    }
  before = f.server_queries + f.config_queries;
  for (int i = 0; i < 40; i++)
    {
      publish (&f, "i1", false, 300, 7);
      advance (&f, 500);
    }
  g_assert_cmpuint (f.server_queries + f.config_queries, ==, before);
  advance (&f, LISTING_PEER_LIST_TTL_MS + 400);
  g_assert_cmpuint (f.server_queries, >, 0);
  g_assert_cmpuint (f.server_queries + f.config_queries, >, before);
  tear_down (&f);
}

#define CONFIG_MS 2000
#define WAY_MS 500 /* of what a machine in touch is sent */

/* Guards against a node that relies for so long on the word of a decider which
   has stopped that a configuration is late: the word was on its way, and the
   query that follows will be.  */
static void
test_late_word (void)
{
  struct fixture f;
  unsigned before;

  set_up (&f);
  for (int i = 0; i < 5; i++)
    {
      advance (&f, 500);
      publish (&f, "i1", false, 1, 7);
    }
  before = f.config_queries;
  advance (&f, CONFIG_MS - 2 * WAY_MS);
  g_assert_cmpuint (f.config_queries, >, before);
  tear_down (&f);
}

/* A decider that had been cut off from the store kept servers that had left,
   and other nodes, which had dropped them, sent requests there again.  */
static void
test_kept_server (void)
{
  struct fixture f;

  set_up (&f);
  for (int i = 0; i < 4; i++)
    {
      publish_kept (&f, "i9", true);
      advance (&f, 500);
    }
  g_assert_null (server (&f, "i9"));
  publish_kept (&f, "i9", false);
  advance (&f, 500);
  g_assert_nonnull (server (&f, "i9"));
  publish_kept (&f, "i9", true);
  advance (&f, 500);
  g_assert_nonnull (server (&f, "i9"));
  tear_down (&f);
}

/* A published list that is too old is ignored.  */
static void
test_old_list (void)
{
  struct fixture f;
  unsigned before;

  set_up (&f);
  before = f.server_queries;
  for (int i = 0; i < 20; i++)
    {
      publish (&f, "i1", true, 3000, 7);
      advance (&f, 500);
    }
  g_assert_cmpuint (f.server_queries, >, before + 10);
  g_assert_false (server (&f, "i1")->leaving);
  tear_down (&f);
}

/* The published list is applied: a server that is leaving, new or removed, and
   a newer version of the configuration.  */
static void
test_list_applied (void)
{
  struct fixture f;
  unsigned before;

  set_up (&f);
  for (int i = 0; i < 4; i++)
    {
      publish (&f, "i1", false, 100, 7);
      advance (&f, 500);
    }
  publish (&f, "i1", true, 100, 7);
  g_assert_true (server (&f, "i1")->leaving);
  publish (&f, "i2", false, 100, 7);
  g_assert_null (server (&f, "i1"));
  g_assert_nonnull (server (&f, "i2"));
  before = f.config_queries;
  publish (&f, "i2", false, 100, 8);
  advance (&f, STEP_MS);
  g_assert_cmpuint (f.config_queries, >, before);
  tear_down (&f);
}

/* Guards against requests to a server that said it leaves, after a published
   list that says otherwise.  */
static void
test_list_older_than_notice (void)
{
  struct backend_notice notice = { .leaving = true };
  struct fixture f;

  set_up (&f);
  for (int i = 0; i < 4; i++)
    {
      publish (&f, "i1", false, 100, 7);
      advance (&f, 500);
    }
  listing_server_notice (f.listing, "i1", &notice);
  g_assert_true (server (&f, "i1")->leaving);
  publish (&f, "i1", false, 100, 7);
  g_assert_true (server (&f, "i1")->leaving);
  tear_down (&f);
}

/* Changes of the published list are applied without the rest of it, unless the
   store has been queried since.  */
static void
test_list_changes (void)
{
  struct fixture f;
  struct peer_replica added = { .engine = (char *)"i2",
                                .address = (char *)"1.2.3.4:6",
                                .zone = (char *)"z",
                                .pool = (char *)"s" };
  struct listing_peer_info info
      = { .age_ms = 100, .config_version = 7, .config_age_ms = 100 };

  set_up (&f);
  for (int i = 0; i < 4; i++)
    {
      publish (&f, "i1", false, 100, 7);
      advance (&f, 500);
    }
  publish (&f, "i1", false, 100, 7);
  g_assert_true (listing_peer_list_update (f.listing, &info));
  listing_peer_list_add (f.listing, &added);
  listing_peer_list_remove (f.listing, "i1");
  g_assert_null (server (&f, "i1"));
  g_assert_nonnull (server (&f, "i2"));
  advance (&f, LISTING_PEER_LIST_TTL_MS + 400);
  g_assert_false (listing_peer_list_update (f.listing, &info));
  tear_down (&f);
}

/* When the decider falls silent a node watches the servers from the version of
   the decider's list, instead of listing them all: at 300 nodes and 3,000
   engines these lists took most of the bytes that the store sent.  */
static void
test_watch_continues (void)
{
  struct listing_peer_info info = { .age_ms = 100,
                                    .config_version = 7,
                                    .config_age_ms = 100,
                                    .list_version = 55 };
  struct fixture f;
  unsigned before;

  set_up (&f);
  for (int i = 0; i < 4; i++)
    {
      publish (&f, "i1", false, 100, 7);
      g_assert_true (listing_peer_list_update (f.listing, &info) || i == 0);
      advance (&f, 500);
    }
  before = f.server_lists;
  f.servers_watched_after = 0;
  advance (&f, LISTING_PEER_LIST_TTL_MS - 300);
  g_assert_cmpuint (f.servers_watched_after, ==, 55);
  g_assert_cmpuint (f.server_lists, ==, before);
  g_assert_nonnull (server (&f, "i1"));
  /* A node that becomes the decider needs what the engines hold, which the
     watch tells only of those that change.  */
  listing_start_publishing (f.listing);
  advance (&f, 2 * STEP_MS);
  g_assert_cmpuint (f.server_lists, ==, before + 1);
  tear_down (&f);
}

/* Guards against a watch that goes on from a version of the store before it
   was restored, and misses what was written under that version anew: the
   decider has not noticed yet.  */
static void
test_other_era (void)
{
  struct listing_peer_info info
      = { .age_ms = 100, .list_version = 55, .list_era = 1 };
  struct fixture f;
  unsigned before;

  set_up (&f);
  f.platform.era = 2;
  for (int i = 0; i < 4; i++)
    {
      publish (&f, "i1", false, 100, 7);
      listing_peer_list_update (f.listing, &info);
      advance (&f, 500);
    }
  before = f.server_lists;
  f.servers_watched_after = 0;
  advance (&f, LISTING_PEER_LIST_TTL_MS - 300);
  g_assert_cmpuint (f.servers_watched_after, !=, 55);
  g_assert_cmpuint (f.server_lists, >, before);
  tear_down (&f);
}

/* A version that the store does not deliver is queried for at the pace of the
   table's retries, however often the decider announces it: in a fleet of 117
   nodes, whose store refused a third of them, each had queried it 13 times a
   second.  */
static void
test_announced_version (void)
{
  struct fixture f;
  unsigned before;

  set_up (&f);
  publish (&f, "i1", false, 100, 7);
  advance (&f, 500);
  before = f.config_queries;
  f.store_unavailable = true;
  for (int i = 0; i < 60; i++)
    {
      publish (&f, "i1", false, 100, 8);
      advance (&f, STEP_MS);
    }
  g_assert_cmpuint (f.config_queries, >, before);
  g_assert_cmpuint (f.config_queries, <=, before + 60 * STEP_MS / 125);
  tear_down (&f);
}

static bool
watches_servers (const struct fixture *f)
{
  for (guint i = 0; i < f->watches->len; i++)
    {
      const struct pending *pending = g_ptr_array_index (f->watches, i);

      if (strcmp (pending->table, "servers") == 0)
        return true;
    }
  return false;
}

/* Guards against a node that passes on the list and the word of a decider that
   has fallen silent with the age of what it read itself.  */
static void
test_passed_on_age (void)
{
  struct fixture f;

  set_up (&f);
  publish (&f, "i1", false, 100, 7);
  advance (&f, 5000);
  g_assert_cmpint (listing_age_ms (f.listing), <, 2000);
  g_assert_cmpint (listing_peer_age_ms (f.listing), >=, 5000);
  g_assert_cmpint (listing_config_age_ms (f.listing), <, 2000);
  g_assert_cmpint (listing_peer_config_age_ms (f.listing), >=, 5000);
  tear_down (&f);
}

/* Guards against a list that counts as fresh because its response was read
   late: a decider that had been frozen published one that was seconds old.  */
static void
test_late_response (void)
{
  struct fixture f;

  set_up (&f);
  while (!watches_servers (&f))
    {
      f.clk.at = ts_add_ms (f.clk.at, STEP_MS);
      loop_run_once (f.core.loop, 0);
    }
  f.clk.at = ts_add_ms (f.clk.at, 6000);
  loop_run_once (f.core.loop, 0);
  end_watches (&f);
  g_assert_cmpint (listing_age_ms (f.listing), >=, 5000);
  tear_down (&f);
}

/* All watches get no answer.  */
static void
fail_watches (struct fixture *f)
{
  struct platform_changes nothing = { 0 };

  while (f->watches->len > 0)
    {
      struct pending *pending = g_ptr_array_index (f->watches, 0);
      struct platform_changes_cb cb = pending->cb;

      g_ptr_array_remove_index (f->watches, 0);
      cb.done (cb.user, PLATFORM_UNKNOWN, &nothing);
    }
}

static bool
is_away_after_failure (int64_t pause_ms)
{
  struct fixture f;
  bool away;

  set_up (&f);
  while (!watches_servers (&f))
    {
      f.clk.at = ts_add_ms (f.clk.at, STEP_MS);
      loop_run_once (f.core.loop, 0);
    }
  f.clk.at = ts_add_ms (f.clk.at, pause_ms);
  loop_run_once (f.core.loop, 0);
  fail_watches (&f);
  away = listing_store_is_away (f.listing);
  tear_down (&f);
  return away;
}

/* A node that had stood still took its calls that timed out meanwhile for an
   outage of the store, and kept servers that had left.  */
static void
test_own_pause (void)
{
  g_assert_false (is_away_after_failure (3000));
  g_assert_true (is_away_after_failure (STEP_MS));
}

/* Advances the clock until the servers are watched.  */
static void
await_servers_watch (struct fixture *f)
{
  while (!watches_servers (f))
    {
      f->clk.at = ts_add_ms (f->clk.at, STEP_MS);
      loop_run_once (f->core.loop, 0);
    }
}

/* Completes a watch of the servers: the entry of i1 was removed.  */
static void
remove_entry (struct fixture *f)
{
  struct platform_row row = { .key = (char *)"i1", .version = 10 };
  struct platform_changes removed
      = { .rows = &row, .count = 1, .version = 10 };

  await_servers_watch (f);
  for (guint i = 0; i < f->watches->len; i++)
    {
      struct pending *pending = g_ptr_array_index (f->watches, i);
      struct platform_changes_cb cb = pending->cb;

      if (strcmp (pending->table, "servers") != 0)
        continue;
      g_ptr_array_remove_index (f->watches, i);
      cb.done (cb.user, PLATFORM_OK, &removed);
      return;
    }
}

/* All calls fail for OUTAGE_MS, then the entry of i1 turns out to be gone.
   Returns how long the server is still listed.  */
static int64_t
kept_after_failures_ms (int64_t outage_ms)
{
  struct fixture f;
  int64_t kept_ms = 0;

  set_up (&f);
  for (int64_t ms = 0; ms <= outage_ms; ms += STEP_MS)
    {
      await_servers_watch (&f);
      fail_watches (&f);
      f.clk.at = ts_add_ms (f.clk.at, STEP_MS);
    }
  remove_entry (&f);
  while (server (&f, "i1") != NULL)
    {
      advance (&f, STEP_MS);
      kept_ms += STEP_MS;
    }
  tear_down (&f);
  return kept_ms;
}

/* A long outage, an answer, a short one, then the entry turns out to be gone.
 */
static void
test_failed_call_after_outage (void)
{
  struct outage outage = { .heartbeat_ms = HEARTBEAT_MS };
  struct timespec now = ts_from_ms (100000);

  outage_answered (&outage, now);
  now = ts_add_ms (now, 3 * HEARTBEAT_MS);
  outage_failed (&outage, now);
  now = ts_add_ms (now, HEARTBEAT_MS + 1);
  outage_answered (&outage, ts_add_ms (now, -HEARTBEAT_MS));
  outage_failed (&outage, now);
  outage_answered (&outage, now);
  g_assert_true (ts_before (now, outage_removal_time (&outage, now)));
  now = ts_add_ms (now, OUTAGE_REREGISTRATION_MS);
  g_assert_false (ts_before (now, outage_removal_time (&outage, now)));
}

/* Guards against requests to a server that has left, since a call to the store
   failed at about that time: no entry of a live server lapses so soon.  */
static void
test_failed_call (void)
{
  g_assert_cmpint (kept_after_failures_ms (0), <=, 300);
  g_assert_cmpint (kept_after_failures_ms (3 * HEARTBEAT_MS), >=, 2000);
}

/* Guards against requests to a server that a node keeps after an outage of its
   own calls, although the decider, which had none, lists it no more.  */
static void
test_kept_but_unpublished (void)
{
  struct fixture f;

  set_up (&f);
  for (int64_t ms = 0; ms <= 3 * (int64_t)HEARTBEAT_MS; ms += STEP_MS)
    {
      await_servers_watch (&f);
      fail_watches (&f);
      f.clk.at = ts_add_ms (f.clk.at, STEP_MS);
    }
  remove_entry (&f);
  advance (&f, 2 * STEP_MS);
  g_assert_nonnull (server (&f, "i1"));
  publish (&f, "i2", false, 1, 7);
  g_assert_null (server (&f, "i1"));
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/listing/late-word", test_late_word);
  g_test_add_func ("/listing/fresh-list", test_fresh_list);
  g_test_add_func ("/listing/kept-server", test_kept_server);
  g_test_add_func ("/listing/old-list", test_old_list);
  g_test_add_func ("/listing/list-applied", test_list_applied);
  g_test_add_func ("/listing/list-changes", test_list_changes);
  g_test_add_func ("/listing/watch-continues", test_watch_continues);
  g_test_add_func ("/listing/announced-version", test_announced_version);
  g_test_add_func ("/listing/older-than-notice", test_list_older_than_notice);
  g_test_add_func ("/listing/passed-on-age", test_passed_on_age);
  g_test_add_func ("/listing/other-era", test_other_era);
  g_test_add_func ("/listing/late-response", test_late_response);
  g_test_add_func ("/listing/own-pause", test_own_pause);
  g_test_add_func ("/listing/failed-call", test_failed_call);
  g_test_add_func ("/listing/kept-but-unpublished", test_kept_but_unpublished);
  g_test_add_func ("/listing/failed-call-after-outage",
                   test_failed_call_after_outage);
  return g_test_run ();
}

/* Routes, and backend servers with the models that they hold.  */

#include <glib.h>
#include "backend.h"
#include "histo.h"
#include "rates.h"
#include "retry.h"
#include "servers.h"
#include "site.h"
#include "ts.h"

static void
add_route (struct site *site, const char *host, const char *prefix)
{
  struct site_route route = { .name = g_strdup (prefix),
                              .host = g_strdup (host),
                              .prefix = g_strdup (prefix) };

  g_array_append_val (site->routes, route);
}

static const char *
route_name (struct site *site, const char *host, const char *path)
{
  const struct site_route *route = site_route (site, host, path);

  return route != NULL ? route->name : NULL;
}

static void
test_routes (void)
{
  struct site *site = site_new ();

  add_route (site, "a.example", "/x/");
  add_route (site, "a.example", "/x/y/");
  add_route (site, "B.example", "/");
  site_index (site);
  g_assert_cmpstr (route_name (site, "a.example", "/x/1"), ==, "/x/");
  g_assert_cmpstr (route_name (site, "a.example", "/x/y/1"), ==, "/x/y/");
  g_assert_cmpstr (route_name (site, "A.example:80", "/x/yy"), ==, "/x/");
  g_assert_cmpstr (route_name (site, "b.example", "/any"), ==, "/");
  g_assert_null (route_name (site, "a.example", "/x"));
  g_assert_null (route_name (site, "c.example", "/x/"));
  site_unref (site);
}

static void
test_split (void)
{
  struct site_split splits[] = { { (char *)"a", 90 }, { (char *)"b", 10 } };
  struct site_route route = { .splits = splits, .split_count = 2 };
  unsigned b = 0;

  for (uint64_t i = 0; i < 1000; i++)
    b += *site_split (&route, i) == 'b';
  g_assert_cmpuint (b, ==, 100);
  splits[0].weight = splits[1].weight = 0;
  g_assert_null (site_split (&route, 7));
}

struct fixture
{
  struct servers *servers;
  GArray *replicas;
  struct timespec ready_at;
};

static void
set_up (struct fixture *f)
{
  f->servers = servers_new ();
  f->replicas = g_array_new (FALSE, FALSE, sizeof (struct route_replica));
}

static void
tear_down (struct fixture *f)
{
  servers_free (f->servers);
  g_array_unref (f->replicas);
}

/* Lists engine ID, started at BORN, with MODEL and its adapter a1.  */
static void
put (struct fixture *f, const char *id, const char *model, int64_t born,
     uint64_t sequence, bool leaving)
{
  struct server_entry entry = { .id = (char *)id,
                                .address = (char *)"10.0.0.1:1",
                                .zone = (char *)"z",
                                .service = (char *)"s",
                                .slots = 8,
                                .leaving = leaving,
                                .born = born,
                                .inventory = inventory_new () };

  entry.inventory->born = born;
  entry.inventory->sequence = sequence;
  if (model != NULL)
    inventory_add_adapter (inventory_add (entry.inventory, model), "a1");
  servers_put (f->servers, &entry);
  inventory_free (entry.inventory);
}

static unsigned
count (struct fixture *f, const char *model, const char *adapter, int64_t ms)
{
  struct servers_query need
      = { .service = "s", .model = model, .adapter = adapter };

  g_array_set_size (f->replicas, 0);
  servers_replicas (f->servers, &need, ts_from_ms (ms), f->replicas,
                    &f->ready_at);
  return f->replicas->len;
}

static void
test_listed (void)
{
  struct fixture f;

  set_up (&f);
  put (&f, "e1", "m", 1, 5, false);
  put (&f, "e2", "n", 1, 5, false);
  g_assert_cmpuint (count (&f, "m", NULL, 0), ==, 1);
  g_assert_cmpuint (count (&f, "m", "a1", 0), ==, 1);
  g_assert_cmpuint (count (&f, "m", "a2", 0), ==, 0);
  g_assert_cmpuint (count (&f, NULL, NULL, 0), ==, 2);
  put (&f, "e1", NULL, 1, 4, false); /* older report: ignored */
  g_assert_cmpuint (count (&f, "m", NULL, 0), ==, 1);
  put (&f, "e1", NULL, 2, 1, false); /* restarted */
  g_assert_cmpuint (count (&f, "m", NULL, 0), ==, 0);
  put (&f, "e2", "n", 1, 6, true);
  g_assert_cmpuint (count (&f, "n", NULL, 0), ==, 0);
  tear_down (&f);
}

/* Guards against requests to a server during the pause that it asked for, and
   against pauses that outlast what was asked for.  */
static void
test_pause (void)
{
  struct backend_notice asked = { .pause_ms = 1000 };
  struct backend_notice shorter = { .pause_ms = 10 };
  struct backend_notice endless = { .pause_ms = INT64_MAX };
  struct backend_notice none = { .pause_ms = 0 };
  struct timespec now = ts_from_ms (1);
  struct fixture f;

  set_up (&f);
  put (&f, "e1", "m", 1, 5, false);
  put (&f, "e2", "m", 1, 5, false);
  g_assert_false (servers_report_notice (f.servers, "e1", &none, now));
  g_assert_false (servers_report_notice (f.servers, "gone", &asked, now));
  g_assert_true (servers_report_notice (f.servers, "e1", &asked, now));
  g_assert_false (servers_report_notice (f.servers, "e1", &shorter, now));
  g_assert_cmpuint (count (&f, "m", NULL, 1000), ==, 1);
  g_assert_true (ts_is_zero (f.ready_at));
  put (&f, "e1", "m", 1, 6, false);
  g_assert_cmpuint (count (&f, "m", NULL, 1000), ==, 1);
  g_assert_cmpuint (count (&f, "m", NULL, 1001), ==, 2);
  servers_report_notice (f.servers, "e1", &endless, now);
  servers_report_notice (f.servers, "e2", &asked, now);
  g_assert_cmpuint (count (&f, NULL, NULL, 500), ==, 0);
  g_assert_cmpint (ts_to_ms (f.ready_at), ==, 1001);
  g_assert_cmpuint (count (&f, "m", NULL, SERVERS_PAUSE_MAX_MS), ==, 1);
  g_assert_cmpuint (count (&f, "m", NULL, SERVERS_PAUSE_MAX_MS + 1), ==, 2);
  tear_down (&f);
}

/* Guards against requests to a server that said it leaves, after an entry that
   is older than that.  */
static void
test_said_leaving (void)
{
  struct backend_notice notice = { .leaving = true };
  struct server_entry published = { .id = (char *)"e1",
                                    .address = (char *)"10.0.0.1:1",
                                    .zone = (char *)"z",
                                    .service = (char *)"s",
                                    .slots = 8 };
  struct timespec now = ts_from_ms (1);
  struct fixture f;

  set_up (&f);
  put (&f, "e1", "m", 1, 5, false);
  g_assert_true (servers_report_notice (f.servers, "e1", &notice, now));
  g_assert_false (servers_report_notice (f.servers, "e1", &notice, now));
  g_assert_cmpuint (count (&f, "m", NULL, 1), ==, 0);
  put (&f, "e1", "m", 1, 6, false);
  g_assert_false (servers_put (f.servers, &published));
  g_assert_cmpuint (count (&f, "m", NULL, 1), ==, 0);
  published.born = 1;
  g_assert_false (servers_put (f.servers, &published));
  published.born = 2; /* restarted */
  g_assert_true (servers_put (f.servers, &published));
  g_assert_cmpuint (count (&f, NULL, NULL, 1), ==, 1);
  tear_down (&f);
}

/* Guards against requests to a server that said it leaves or asked for a
   pause, after its entry was missing for a while.  */
static void
test_notice_outlasts_entry (void)
{
  struct backend_notice leaving = { .leaving = true };
  struct backend_notice pause = { .pause_ms = 5000 };
  struct timespec now = ts_from_ms (1);
  struct fixture f;

  set_up (&f);
  put (&f, "e1", "m", 7, 5, false);
  put (&f, "e2", "m", 7, 5, false);
  servers_report_notice (f.servers, "e1", &leaving, now);
  servers_report_notice (f.servers, "e2", &pause, now);
  servers_drop (f.servers, "e1", now);
  servers_drop (f.servers, "e2", now);
  g_assert_true (servers_expire (f.servers, now));
  g_assert_null (servers_find (f.servers, "e1"));
  put (&f, "e1", "m", 7, 6, false);
  put (&f, "e2", "m", 7, 6, false);
  g_assert_cmpuint (count (&f, "m", NULL, 5000), ==, 0);
  g_assert_cmpuint (count (&f, "m", NULL, 5001), ==, 1);
  put (&f, "e1", "m", 8, 0, false); /* restarted */
  g_assert_cmpuint (count (&f, "m", NULL, 5001), ==, 2);
  tear_down (&f);
}

/* Whether server e1 is listed anew with SOFTWARE, NULL: unreadable.  */
static bool
put_version (struct fixture *f, const char *software)
{
  struct server_entry entry = { .id = (char *)"e1",
                                .address = (char *)"10.0.0.1:1",
                                .zone = (char *)"z",
                                .service = (char *)"s",
                                .software = (char *)software,
                                .slots = 8 };

  return servers_put (f->servers, &entry);
}

static unsigned
count_version (struct fixture *f, const char *software)
{
  struct servers_query need = { .service = "s", .software = software };

  g_array_set_size (f->replicas, 0);
  servers_replicas (f->servers, &need, ts_from_ms (0), f->replicas,
                    &f->ready_at);
  g_assert_true (servers_has_software (f->servers, "s", software)
                 == (f->replicas->len > 0));
  return f->replicas->len;
}

/* Guards against a server that keeps its former version after an upgrade
   under the same id, or loses it when a row has none.  */
static void
test_versions (void)
{
  struct fixture f;

  set_up (&f);
  g_assert_null (servers_sole_software (f.servers, "s", ts_from_ms (0)));
  g_assert_true (put_version (&f, "v1"));
  g_assert_cmpuint (count_version (&f, "v1"), ==, 1);
  g_assert_cmpuint (count_version (&f, "v2"), ==, 0);
  g_assert_cmpstr (servers_sole_software (f.servers, "s", ts_from_ms (0)), ==,
                   "v1");
  g_assert_false (put_version (&f, NULL));
  g_assert_cmpuint (count_version (&f, "v1"), ==, 1);
  g_assert_true (put_version (&f, "v2"));
  g_assert_cmpuint (count_version (&f, "v1"), ==, 0);
  g_assert_cmpuint (count_version (&f, "v2"), ==, 1);
  g_assert_null (servers_sole_software (f.servers, "s", ts_from_ms (0)));
  tear_down (&f);
}

/* An entry that differs in its adapters only changes where requests may go,
   one that differs in its sequence only does not.  */
static void
test_listed_adapters (void)
{
  struct server_entry entry = { .id = (char *)"e1",
                                .address = (char *)"10.0.0.1:1",
                                .zone = (char *)"z",
                                .service = (char *)"s",
                                .slots = 8,
                                .inventory = inventory_new () };
  struct fixture f;

  set_up (&f);
  put (&f, "e1", "m", 1, 5, false);
  entry.inventory->born = 1;
  entry.inventory->sequence = 6;
  inventory_add_adapter (inventory_add (entry.inventory, "m"), "a2");
  g_assert_true (servers_put (f.servers, &entry));
  g_assert_cmpuint (count (&f, "m", "a1", 0), ==, 0);
  g_assert_cmpuint (count (&f, "m", "a2", 0), ==, 1);
  entry.inventory->sequence = 7;
  g_assert_false (servers_put (f.servers, &entry));
  inventory_free (entry.inventory);
  tear_down (&f);
}

/* A server that disappears from the list is kept until its removal time, and
   stays if it is listed again before.  */
static void
test_dropped (void)
{
  struct fixture f;

  set_up (&f);
  put (&f, "e1", "m", 1, 5, false);
  servers_drop (f.servers, "e1", ts_from_ms (2000));
  servers_drop (f.servers, "e1",
                ts_from_ms (9000)); /* the first time is kept */
  g_assert_false (servers_expire (f.servers, ts_from_ms (1999)));
  g_assert_cmpuint (count (&f, "m", NULL, 1999), ==, 1);
  put (&f, "e1", "m", 1, 6, false);
  g_assert_false (servers_expire (f.servers, ts_from_ms (2000)));
  servers_drop (f.servers, "e1", ts_from_ms (2500));
  g_assert_true (servers_expire (f.servers, ts_from_ms (2500)));
  g_assert_cmpuint (count (&f, "m", NULL, 2500), ==, 0);
  tear_down (&f);
}

static void
publish (struct fixture *f, const char *engine, const char *model,
         enum backend_copy_state state, uint64_t ready_ms)
{
  struct peer_replica replica = { .engine = (char *)engine,
                                  .model = (char *)model,
                                  .state = state,
                                  .ready_ms = ready_ms };

  servers_replicas_add (f->servers, &replica);
}

/* Replicas published by the decider take precedence over the list while they
   are fresh.  */
static void
test_published (void)
{
  struct fixture f;

  set_up (&f);
  put (&f, "e1", "m", 1, 5, false);
  servers_replicas_begin (f.servers, ts_from_ms (1000));
  publish (&f, "e1", "n", BACKEND_COPY_LOADED, 0);
  publish (&f, "e1", "o", BACKEND_COPY_LOADING, 700);
  publish (&f, SERVERS_NO_ENGINE, "p", BACKEND_COPY_LOADING, 6000);
  g_assert_cmpuint (count (&f, "m", NULL, 1500), ==, 0);
  g_assert_cmpuint (count (&f, "n", NULL, 1500), ==, 1);
  g_assert_cmpuint (count (&f, "o", NULL, 1500), ==, 0);
  g_assert_cmpint (ts_to_ms (f.ready_at), ==, 1700);
  g_assert_cmpuint (count (&f, "p", NULL, 1500), ==, 0);
  g_assert_cmpint (ts_to_ms (f.ready_at), ==, 7000);
  g_assert_cmpuint (count (&f, "m", NULL, 1000 + SERVERS_REPLICAS_TTL_MS), ==,
                    1);
  tear_down (&f);
}

/* The decider's changes are applied one by one.  The replicas of a server
   that restarts are discarded, which only a complete list makes good.  */
static void
test_published_changes (void)
{
  struct peer_replica gone = { .engine = (char *)"e1", .model = (char *)"n" };
  struct fixture f;

  set_up (&f);
  put (&f, "e1", "m", 1, 5, false);
  put (&f, "e2", "m", 1, 5, false);
  servers_replicas_begin (f.servers, ts_from_ms (1000));
  publish (&f, "e1", "m", BACKEND_COPY_LOADED, 0);
  publish (&f, "e1", "n", BACKEND_COPY_LOADED, 0);
  publish (&f, "e2", "n", BACKEND_COPY_LOADED, 0);
  g_assert_cmpuint (count (&f, "n", NULL, 1000), ==, 2);
  servers_replicas_update (f.servers, ts_from_ms (3000));
  servers_replicas_remove (f.servers, &gone);
  publish (&f, "e1", "o", BACKEND_COPY_LOADING, 500);
  g_assert_cmpuint (count (&f, "n", NULL, 5999), ==, 1);
  g_assert_cmpuint (count (&f, "m", NULL, 5999), ==, 1);
  g_assert_cmpuint (count (&f, "o", NULL, 5999), ==, 0);
  g_assert_cmpint (ts_to_ms (f.ready_at), ==, 3500);
  g_assert_true (servers_replicas_complete (f.servers));
  put (&f, "e2", NULL, 2, 1, false);
  g_assert_cmpuint (count (&f, "n", NULL, 3000), ==, 0);
  g_assert_false (servers_replicas_complete (f.servers));
  servers_replicas_begin (f.servers, ts_from_ms (4000));
  g_assert_true (servers_replicas_complete (f.servers));
  tear_down (&f);
}

/* What the decider published last applies, when it is no longer fresh, to
   engines that the platform's list says nothing of.  */
static void
test_published_old (void)
{
  struct fixture f;
  struct server_entry entry = { .id = (char *)"e2",
                                .address = (char *)"10.0.0.2:1",
                                .zone = (char *)"z",
                                .service = (char *)"s" };
  int64_t old_ms = 1000 + 2 * SERVERS_REPLICAS_TTL_MS;

  set_up (&f);
  put (&f, "e1", "m", 1, 5, false);
  servers_put (f.servers, &entry);
  servers_replicas_begin (f.servers, ts_from_ms (1000));
  publish (&f, "e1", "n", BACKEND_COPY_LOADED, 0);
  publish (&f, "e2", "n", BACKEND_COPY_LOADED, 0);
  g_assert_cmpuint (count (&f, "n", NULL, old_ms), ==, 1);
  g_assert_cmpuint (count (&f, "m", NULL, old_ms), ==, 1);
  tear_down (&f);
}

/* Loads that this node observed are reported once, and take precedence over
   those that others observed; the decider forwards the latter.  */
static void
test_loads (void)
{
  GArray *loads = g_array_new (FALSE, FALSE, sizeof (struct peer_load));
  struct fixture f;

  set_up (&f);
  put (&f, "e1", "m", 1, 5, false);
  put (&f, "e2", "m", 1, 5, false);
  servers_report_load (f.servers, "e1", 3, 2, ts_from_ms (1000));
  servers_apply_load (f.servers, "e1", 9, 9, ts_from_ms (1100));
  servers_apply_load (f.servers, "e2", 7, 1, ts_from_ms (1100));
  servers_apply_load (f.servers, "unknown", 1, 1, ts_from_ms (1100));
  g_assert_cmpuint (servers_find (f.servers, "e1")->queued, ==, 2);
  g_assert_cmpuint (servers_find (f.servers, "e2")->queued, ==, 1);
  servers_take_loads (f.servers, false, loads);
  g_assert_cmpuint (loads->len, ==, 1);
  g_assert_cmpuint (g_array_index (loads, struct peer_load, 0).queued, ==, 2);
  servers_apply_load (f.servers, "e1", 9, 9,
                      ts_from_ms (1000 + SERVERS_OWN_LOAD_MS));
  g_assert_cmpuint (servers_find (f.servers, "e1")->queued, ==, 9);
  g_array_set_size (loads, 0);
  servers_take_loads (f.servers, true, loads);
  g_assert_cmpuint (loads->len, ==, 1);
  g_array_set_size (loads, 0);
  servers_take_loads (f.servers, true, loads);
  g_assert_cmpuint (loads->len, ==, 0);
  g_array_unref (loads);
  tear_down (&f);
}

static void
test_missing (void)
{
  struct fixture f;

  set_up (&f);
  put (&f, "e1", "m", 1, 5, false);
  servers_report_missing (f.servers, "e1", "m/a1", ts_from_ms (100));
  g_assert_cmpuint (count (&f, "m", "a1", 100), ==, 0);
  g_assert_cmpuint (count (&f, "m", NULL, 100), ==, 1);
  g_assert_cmpuint (count (&f, "m", "a1", 100 + SERVERS_MISSING_TTL_MS), ==,
                    1);
  tear_down (&f);
}

static void
test_rates (void)
{
  struct rates *rates = rates_new ();
  double per_s;

  g_assert_cmpfloat (rates_per_s (rates, "m", ts_from_ms (0)), ==, 0);
  for (int64_t ms = 0; ms < 60000; ms += 500)
    rates_add (rates, "m", 1, ts_from_ms (ms));
  per_s = rates_per_s (rates, "m", ts_from_ms (60000));
  g_assert_cmpfloat (per_s, >, 1.8);
  g_assert_cmpfloat (per_s, <, 2.2);
  g_assert_cmpfloat (rates_idle_s (rates, "m", ts_from_ms (61500)), ==, 2);
  rates_free (rates);
}

/* The retries of a target stay within its percentage plus burst, independent
   of other targets.  */
static void
test_retry_budget (void)
{
  struct retry_options options = { .percent = 10, .burst = 3 };
  struct retry *retry = retry_new_per_target (&options);
  unsigned taken = 0;

  for (int i = 0; i < 1000; i++)
    {
      retry_deposit (retry, "busy");
      retry_deposit (retry, "other");
      taken += retry_withdraw (retry, "busy");
    }
  g_assert_cmpuint (taken, <=, 103);
  g_assert_cmpuint (taken, >=, 100);
  g_assert_true (retry_withdraw (retry, "other"));
  options.burst = 0;
  retry_set_limits (retry, &options);
  g_assert_false (retry_withdraw (retry, "other"));
  retry_free (retry);
}

static void
test_histo (void)
{
  GString *text = g_string_new (NULL);

  histo_add (HISTO_WAIT, ts_from_ms (0));
  histo_add (HISTO_WAIT, ts_from_ms (5));
  histo_add (HISTO_WAIT, ts_from_ms (200000));
  histo_text (text);
  g_assert_nonnull (
      strstr (text->str, "parsley_wait_seconds_bucket{le=\"0.001\"} 1\n"));
  g_assert_nonnull (
      strstr (text->str, "parsley_wait_seconds_bucket{le=\"0.008\"} 2\n"));
  g_assert_nonnull (
      strstr (text->str, "parsley_wait_seconds_bucket{le=\"+Inf\"} 3\n"));
  g_string_free (text, TRUE);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/site/routes", test_routes);
  g_test_add_func ("/site/split", test_split);
  g_test_add_func ("/servers/listed", test_listed);
  g_test_add_func ("/servers/listed-adapters", test_listed_adapters);
  g_test_add_func ("/servers/versions", test_versions);
  g_test_add_func ("/servers/dropped", test_dropped);
  g_test_add_func ("/servers/published", test_published);
  g_test_add_func ("/servers/published-changes", test_published_changes);
  g_test_add_func ("/servers/published-old", test_published_old);
  g_test_add_func ("/servers/loads", test_loads);
  g_test_add_func ("/servers/missing", test_missing);
  g_test_add_func ("/servers/pause", test_pause);
  g_test_add_func ("/servers/said-leaving", test_said_leaving);
  g_test_add_func ("/servers/notice-outlasts-entry",
                   test_notice_outlasts_entry);
  g_test_add_func ("/rates", test_rates);
  g_test_add_func ("/retry/budget", test_retry_budget);
  g_test_add_func ("/histo", test_histo);
  return g_test_run ();
}

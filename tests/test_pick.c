#include <stdio.h>
#include <string.h>
#include <glib.h>
#include "cases.h"
#include "pick.h"
#include "ts.h"

#define REPLICAS_MAX 8
#define NOW_S 1000
#define PREFIX 77

struct pick_case
{
  struct route_replica replicas[REPLICAS_MAX];
  const char *tried[REPLICAS_MAX];
  struct pick_request request;
  struct pick *pick;
};

static struct timespec
before_now (const char *age_s)
{
  return ts_from_s (NOW_S - g_ascii_strtod (age_s, NULL));
}

static void
fail_engine (struct eject *eject, const char *id)
{
  struct timespec now = ts_from_s (NOW_S);

  for (int i = 0; i < EJECT_FAILURES; i++)
    {
      eject_begin (eject, id, now);
      eject_end (eject, id, false, now);
    }
}

static void
set_field (struct pick_case *c, struct route_replica *replica,
           const char *field)
{
  unsigned n;

  if (sscanf (field, "running=%u", &n) == 1)
    replica->running = n;
  else if (sscanf (field, "queued=%u", &n) == 1)
    replica->queued = n;
  else if (sscanf (field, "own=%u", &n) == 1)
    replica->inflight_at_report = n;
  else if (sscanf (field, "inflight=%u", &n) == 1)
    replica->engine->inflight = n;
  else if (strcmp (field, "leaving") == 0)
    replica->leaving = true;
  else if (strcmp (field, "adapter") == 0)
    replica->adapter_loaded = true;
  else if (strcmp (field, "tried") == 0)
    c->tried[c->request.tried_count++] = replica->engine->id;
  else if (strcmp (field, "ejected") == 0)
    fail_engine (c->request.eject, replica->engine->id);
  else
    g_error ("unknown replica field \"%s\"", field);
}

static void
add_replica (struct pick_case *c, char **words)
{
  struct route_replica *replica = &c->replicas[c->request.count++];

  replica->engine = route_engine_new (words[0], "127.0.0.1:1", words[1], "p");
  replica->slots = (unsigned)atoi (words[2]);
  for (char **word = words + 3; *word != NULL; word++)
    set_field (c, replica, *word);
}

static void
expect (struct pick_case *c, char **words)
{
  struct pick_explanation why;
  ptrdiff_t at = pick_replica (c->pick, &c->request, ts_from_s (NOW_S), &why);

  if (strcmp (words[0], "none") == 0)
    {
      g_assert_cmpint (at, <, 0);
      g_assert_cmpint (why.reason, ==, PICK_NONE);
      return;
    }
  g_assert_cmpint (at, >=, 0);
  g_assert_cmpstr (c->replicas[at].engine->id, ==, words[0]);
  g_assert_cmpstr (pick_reason_name (why.reason), ==, words[1]);
}

static void
run_line (struct pick_case *c, const struct cases_line *line)
{
  char **words = g_strsplit (line->rest, " ", -1);

  if (strcmp (line->word, "replica") == 0)
    add_replica (c, words);
  else if (strcmp (line->word, "hint") == 0)
    pick_hint (c->pick, words[0], PREFIX, true, before_now (words[1]));
  else if (strcmp (line->word, "gap") == 0)
    pick_gap (c->pick, words[0], before_now (words[1]));
  else if (strcmp (line->word, "adapter") == 0)
    c->request.adapter = true;
  else if (strcmp (line->word, "suspect") == 0)
    c->request.suspect = true;
  else
    expect (c, words);
  g_strfreev (words);
}

static void
run_case (const GArray *block)
{
  struct pick_options options = { .zone = "a", .seed = 1 };
  struct pick_case c = { 0 };

  c.pick = pick_new (&options);
  c.request.replicas = c.replicas;
  c.request.tried = c.tried;
  c.request.prefix = PREFIX;
  c.request.eject = eject_new ();
  for (guint i = 0; i < block->len; i++)
    run_line (&c, &g_array_index (block, struct cases_line, i));
  for (size_t i = 0; i < c.request.count; i++)
    route_engine_unref (c.replicas[i].engine);
  eject_free (c.request.eject);
  pick_free (c.pick);
}

static void
test_cases (void)
{
  GPtrArray *blocks = cases_read ("tests/cases/pick.txt");

  for (guint i = 0; i < blocks->len; i++)
    run_case (g_ptr_array_index (blocks, i));
  g_ptr_array_unref (blocks);
}

/* More requests than slots, as when load shifts to a model with few replicas.
   Engines accept them into their own queue, which is ordered by urgency over
   all nodes; plain servers queue only a few.  */
static void
test_queue (void)
{
  static const struct
  {
    unsigned queued;
    bool models;
    bool may_send;
  } cases[] = { { 0, false, true },
                { 7, false, false },
                { 7, true, true },
                { 15, true, true },
                { 17, true, false } };
  struct pick_options options = { .zone = "a", .seed = 1 };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct route_replica replica = { .slots = 8, .running = 8 };
      struct pick_request request = { .replicas = &replica, .count = 1 };
      struct pick *pick = pick_new (&options);
      struct pick_explanation why;

      replica.queued = cases[i].queued;
      replica.engine = route_engine_new ("e1", "127.0.0.1:1", "a", "p");
      g_assert_cmpint (pick_replica (pick, &request, ts_from_s (NOW_S), &why),
                       ==, 0);
      g_assert_cmpint (pick_may_send (&why, cases[i].models), ==,
                       cases[i].may_send);
      route_engine_unref (replica.engine);
      pick_free (pick);
    }
}

static void
test_eject_backoff (void)
{
  struct eject *eject = eject_new ();
  struct route_replica replicas[2] = { 0 };
  struct timespec now = ts_from_s (NOW_S);
  bool ejected[2];

  replicas[0].engine = route_engine_new ("e1", "127.0.0.1:1", "a", "p");
  replicas[1].engine = route_engine_new ("e2", "127.0.0.1:2", "a", "p");
  fail_engine (eject, "e1");
  g_assert_cmpuint (eject_mark (eject, replicas, 2, now, ejected), ==, 1);
  g_assert_true (ejected[0]);
  now = ts_add_ms (now, EJECT_BASE_MS);
  g_assert_cmpuint (eject_mark (eject, replicas, 2, now, ejected), ==, 0);
  eject_begin (eject, "e1", now); /* the probe */
  g_assert_cmpuint (eject_mark (eject, replicas, 2, now, ejected), ==, 1);
  g_assert_true (eject_end (eject, "e1", false, now));
  now = ts_add_ms (now, EJECT_BASE_MS);
  g_assert_cmpuint (eject_mark (eject, replicas, 2, now, ejected), ==, 1);
  now = ts_add_ms (now, EJECT_BASE_MS);
  g_assert_cmpuint (eject_mark (eject, replicas, 2, now, ejected), ==, 0);
  eject_begin (eject, "e1", now);
  eject_end (eject, "e1", true, now);
  eject_begin (eject, "e1", now); /* a normal request, not a probe */
  g_assert_cmpuint (eject_mark (eject, replicas, 2, now, ejected), ==, 0);
  route_engine_unref (replicas[0].engine);
  route_engine_unref (replicas[1].engine);
  eject_free (eject);
}

#define SIM_REPLICAS 10
#define SIM_SLOTS 8
#define SIM_STEPS 400000
#define SIM_SERVICE_STEPS 1000 /* mean */

/* Percentage of requests whose candidate replicas had no free slot although
   another replica had one; LOAD is the share of all slots that is in use on
   average.  */
static double
blocked_percent (double load, bool by_fingerprint)
{
  struct pick_options options = { .zone = "a", .seed = 1 };
  struct route_replica replicas[SIM_REPLICAS] = { 0 };
  struct pick *pick = pick_new (&options);
  GRand *rand = g_rand_new_with_seed (2);
  unsigned sent = 0;
  unsigned blocked = 0;

  for (unsigned i = 0; i < SIM_REPLICAS; i++)
    {
      char id[8];

      g_snprintf (id, sizeof id, "e%u", i);
      replicas[i].engine = route_engine_new (id, "127.0.0.1:1", "b", "p");
      replicas[i].slots = SIM_SLOTS;
    }
  for (unsigned step = 0; step < SIM_STEPS; step++)
    {
      struct pick_request request
          = { .replicas = replicas, .count = SIM_REPLICAS };
      struct pick_explanation why;
      ptrdiff_t at;

      for (unsigned i = 0; i < SIM_REPLICAS; i++)
        for (unsigned n = replicas[i].engine->inflight; n > 0; n--)
          if (g_rand_int_range (rand, 0, SIM_SERVICE_STEPS) == 0)
            replicas[i].engine->inflight--;
      if (g_rand_double (rand)
          >= load * SIM_REPLICAS * SIM_SLOTS / SIM_SERVICE_STEPS)
        continue;
      if (by_fingerprint)
        request.fingerprint = g_rand_int (rand) | 1u;
      at = pick_replica (pick, &request, ts_from_s (NOW_S), &why);
      sent++;
      if (why.free_slot)
        replicas[at].engine->inflight++;
      else
        blocked += pick_free_slots (replicas, SIM_REPLICAS) > 0;
    }
  for (unsigned i = 0; i < SIM_REPLICAS; i++)
    route_engine_unref (replicas[i].engine);
  g_rand_free (rand);
  pick_free (pick);
  return 100.0 * blocked / sent;
}

/* Cost of restricting each fingerprint to two replicas.  */
static void
test_pair_cost (void)
{
  static const double loads[] = { 0.5, 0.7, 0.8, 0.9 };

  for (size_t i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      double all = blocked_percent (loads[i], false);
      double pair = blocked_percent (loads[i], true);

      g_test_message ("load %.0f %%: %.2f %% blocked although a replica had a "
                      "free slot, with "
                      "two replicas, %.2f %% with all",
                      100 * loads[i], pair, all);
      g_assert_cmpfloat (all, ==, 0);
      g_assert_cmpfloat (pair, <, 10);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pick/queue", test_queue);
  g_test_add_func ("/pick/cases", test_cases);
  g_test_add_func ("/eject/backoff", test_eject_backoff);
  g_test_add_func ("/pick/pair_cost", test_pair_cost);
  return g_test_run ();
}

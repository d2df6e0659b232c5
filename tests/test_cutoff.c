/* Which servers only this node cannot reach, and when to probe.  */

#include <glib.h>
#include "cutoff.h"
#include "ts.h"

struct fixture
{
  struct cutoff *cutoff;
  int64_t ms;
};

static struct timespec
now (const struct fixture *f)
{
  return ts_from_ms (f->ms);
}

static void
set_up (struct fixture *f)
{
  f->cutoff = cutoff_new ();
  f->ms = 100000;
  for (int i = 0; i < 4; i++)
    {
      char *id = g_strdup_printf ("s%d", i);

      cutoff_heard (f->cutoff, id, now (f));
      cutoff_told (f->cutoff, id, now (f));
      g_free (id);
    }
}

/* Other nodes tell that they hear from ID for MS.  */
static void
tell (struct fixture *f, const char *id, int64_t ms)
{
  for (int64_t i = 0; i < ms; i += 200)
    {
      f->ms += 200;
      cutoff_told (f->cutoff, id, now (f));
    }
}

/* Guards against requests that go from node to node because a server died:
   what was heard of it before may be told afterwards.  */
static void
test_dead_server (void)
{
  struct fixture f;

  set_up (&f);
  cutoff_failed (f.cutoff, "s0", now (&f));
  tell (&f, "s0", CUTOFF_TOLD_DELAY_MS - 200);
  g_assert_false (cutoff_server (f.cutoff, "s0", now (&f)));
  f.ms += 10000;
  g_assert_false (cutoff_server (f.cutoff, "s0", now (&f)));
  g_assert_false (cutoff_all (f.cutoff, now (&f)));
  cutoff_free (f.cutoff);
}

static void
test_cut_off (void)
{
  struct fixture f;

  set_up (&f);
  cutoff_failed (f.cutoff, "s0", now (&f));
  tell (&f, "s0", CUTOFF_TOLD_DELAY_MS + 200);
  g_assert_false (cutoff_server (f.cutoff, "s0", now (&f)));
  tell (&f, "s0", CUTOFF_TOLD_AGAIN_MS);
  g_assert_true (cutoff_server (f.cutoff, "s0", now (&f)));
  g_assert_false (cutoff_server (f.cutoff, "s1", now (&f)));
  g_assert_false (cutoff_all (f.cutoff, now (&f)));
  cutoff_heard (f.cutoff, "s0", now (&f));
  g_assert_false (cutoff_server (f.cutoff, "s0", now (&f)));
  cutoff_free (f.cutoff);
}

/* A server that goes down while it is cut off is not cut off for ever.  */
static void
test_cut_off_ends (void)
{
  struct fixture f;

  set_up (&f);
  cutoff_failed (f.cutoff, "s0", now (&f));
  tell (&f, "s0", 1000);
  f.ms += CUTOFF_TOLD_TTL_MS;
  g_assert_false (cutoff_server (f.cutoff, "s0", now (&f)));
  cutoff_free (f.cutoff);
}

static void
test_all (void)
{
  struct fixture f;

  set_up (&f);
  f.ms += 100;
  cutoff_failed (f.cutoff, "s0", now (&f));
  cutoff_failed (f.cutoff, "s1", now (&f));
  for (int i = 0; i < 6; i++)
    {
      tell (&f, "s0", 200);
      cutoff_told (f.cutoff, "s1", now (&f));
    }
  g_assert_true (cutoff_all (f.cutoff, now (&f)));
  cutoff_heard (f.cutoff, "s2", now (&f));
  g_assert_false (cutoff_all (f.cutoff, now (&f)));
  g_assert_true (cutoff_server (f.cutoff, "s0", now (&f)));
  cutoff_free (f.cutoff);
}

/* Servers that don't report loads: no node tells of any.  */
static void
test_untold (void)
{
  struct cutoff *cutoff = cutoff_new ();
  struct timespec at = ts_from_ms (1000);

  cutoff_failed (cutoff, "s0", at);
  cutoff_failed (cutoff, "s1", at);
  g_assert_false (cutoff_all (cutoff, at));
  cutoff_failed (cutoff, "s2", at);
  g_assert_true (cutoff_all (cutoff, at));
  cutoff_free (cutoff);
}

/* Guards against connections opened for nothing, which engines have to accept:
   none while servers answer or no request is in flight, few otherwise.  */
static void
test_probes (void)
{
  const char *servers[CUTOFF_PROBES];
  struct fixture f;
  unsigned probes = 0;

  set_up (&f);
  f.ms += 10000;
  g_assert_cmpuint (cutoff_probe (f.cutoff, now (&f), servers), ==, 0);
  cutoff_begin (f.cutoff, now (&f));
  for (int i = 0; i < 50; i++)
    {
      tell (&f, "s1", 200);
      cutoff_heard (f.cutoff, "s0", now (&f));
      g_assert_cmpuint (cutoff_probe (f.cutoff, now (&f), servers), ==, 0);
    }
  for (int i = 0; i < 50; i++)
    {
      size_t n;

      tell (&f, "s1", 200);
      n = cutoff_probe (f.cutoff, now (&f), servers);
      for (size_t j = 0; j < n; j++)
        g_assert_cmpstr (servers[j], ==, "s1");
      probes += (unsigned)n;
    }
  g_assert_cmpuint (probes, >=, 5);
  g_assert_cmpuint (probes, <=, 8);
  cutoff_end (f.cutoff);
  cutoff_free (f.cutoff);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/cutoff/dead-server", test_dead_server);
  g_test_add_func ("/cutoff/cut-off", test_cut_off);
  g_test_add_func ("/cutoff/cut-off-ends", test_cut_off_ends);
  g_test_add_func ("/cutoff/all", test_all);
  g_test_add_func ("/cutoff/untold", test_untold);
  g_test_add_func ("/cutoff/probes", test_probes);
  return g_test_run ();
}

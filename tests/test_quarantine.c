/* Tests what the quarantine blames, and how a feature becomes sound again.  */

#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include "quarantine.h"
#include "quarantine_row.h"
#include "ts.h"

enum
{
  BAD = 3,
  SHARED = 5,
  OTHER = 7
};

static uint64_t next_id = 100;

static struct timespec
at_ms (int64_t ms)
{
  return ts_from_ms (1000000 + ms);
}

/* A request with parts A and B in its prompt.  */
static struct blame_request
request (uint64_t *features, uint64_t a, uint64_t b)
{
  features[0] = ++next_id;
  features[1] = a;
  features[2] = b;
  return (struct blame_request){ .features = features, .count = 3 };
}

/* Number of actions of TYPE; removes all.  */
static unsigned
count (struct action_list *actions, enum quarantine_action_type type)
{
  struct action *action;
  unsigned n = 0;

  while ((action = action_pop (actions)) != NULL)
    {
      n += action->type == (int)type;
      action_free (action);
    }
  return n;
}

static bool
rejects (struct quarantine *quarantine, uint64_t feature, int64_t ms)
{
  struct blame_request one = { .features = &feature, .count = 1 };
  struct action_list actions;
  bool rejected;

  action_list_init (&actions);
  rejected
      = quarantine_check (quarantine, &one, at_ms (ms), &actions).rejected_for
        >= 0;
  action_list_clear (&actions);
  return rejected;
}

/* Another engine crashes with each request.  */
static void
crash (struct quarantine *quarantine, uint64_t a, uint64_t b, int64_t ms)
{
  uint64_t features[3];
  struct blame_request crashed = request (features, a, b);
  struct action_list actions;

  action_list_init (&actions);
  quarantine_crashed (quarantine, ++next_id, &crashed, at_ms (ms), &actions);
  action_list_clear (&actions);
}

static void
answer (struct quarantine *quarantine, uint64_t a, uint64_t b, int64_t ms)
{
  uint64_t features[3];
  struct blame_request answered = request (features, a, b);
  struct action_list actions;

  action_list_init (&actions);
  quarantine_answered (quarantine, &answered, at_ms (ms), &actions);
  action_list_clear (&actions);
}

static void
tick (struct quarantine *quarantine, int64_t ms)
{
  struct action_list actions;

  action_list_init (&actions);
  quarantine_tick (quarantine, at_ms (ms), &actions);
  action_list_clear (&actions);
}

static struct quarantine *
new_quarantine (void)
{
  return quarantine_new (at_ms (-60000));
}

/* Guards against blaming a sound part that was in the same requests, and not
   answered between the crashes, instead of the one that was never answered. */
static void
test_never_answered (void)
{
  struct quarantine *quarantine = new_quarantine ();

  answer (quarantine, SHARED, OTHER, -500);
  for (int i = 0; i < 5; i++)
    crash (quarantine, BAD, SHARED, i * 100);
  tick (quarantine, 1500);
  g_assert_true (rejects (quarantine, BAD, 1500));
  g_assert_false (rejects (quarantine, SHARED, 1500));
  quarantine_free (quarantine);
}

/* Guards against blaming a sound part at a node that has not answered requests
   with it itself.  */
static void
test_answered_elsewhere (void)
{
  struct quarantine *here = new_quarantine ();
  struct quarantine *there = new_quarantine ();

  answer (there, SHARED, OTHER, -500);
  for (int i = 0; i < 5; i++)
    {
      uint64_t features[3];
      struct blame_request crashed = request (features, BAD, SHARED);
      struct action_list actions;
      struct action *action;

      action_list_init (&actions);
      quarantine_crashed (here, ++next_id, &crashed, at_ms (i * 100),
                          &actions);
      quarantine_crash_received (there, next_id, &crashed, 0, at_ms (i * 100),
                                 &actions);
      while ((action = action_pop (&actions)) != NULL)
        {
          struct quarantine_action *told = (struct quarantine_action *)action;

          if (action->type == QUARANTINE_SEND_ANSWERED)
            quarantine_answered_received (here, told->state.feature,
                                          told->age_ms, at_ms (i * 100));
          action_free (action);
        }
    }
  tick (here, 1500);
  g_assert_true (rejects (here, BAD, 1500));
  g_assert_false (rejects (here, SHARED, 1500));
  quarantine_free (here);
  quarantine_free (there);
}

/* Guards against blaming what was in flight when connections were reset.  */
static void
test_reset (void)
{
  struct quarantine *quarantine = new_quarantine ();
  struct action_list actions;

  action_list_init (&actions);
  for (uint64_t i = 0; i < 6; i++)
    {
      uint64_t features[3];
      struct blame_request reset = request (features, SHARED, OTHER);

      quarantine_crashed (quarantine, 9000 + i, &reset,
                          at_ms (100 * (int64_t)i), &actions);
      quarantine_alive (quarantine, 9000 + i, at_ms (100 * (int64_t)i + 10),
                        at_ms (100 * (int64_t)i + 300), &actions);
    }
  g_assert_cmpuint (count (&actions, QUARANTINE_SEND_ALIVE), ==, 6);
  tick (quarantine, 3000);
  g_assert_cmpuint (quarantine_count (quarantine), ==, 0);
  quarantine_free (quarantine);
}

/* Guards against taking the former process of a server for its next one, which
   has the same id.  */
static void
test_restarted (void)
{
  struct quarantine *quarantine = new_quarantine ();
  struct action_list actions;

  action_list_init (&actions);
  for (uint64_t i = 0; i < 5; i++)
    {
      uint64_t features[3];
      struct blame_request crashed = request (features, SHARED, BAD);

      quarantine_crashed (quarantine, 9000 + i, &crashed,
                          at_ms (100 * (int64_t)i), &actions);
      quarantine_alive (quarantine, 9000 + i, at_ms (3000), at_ms (3100),
                        &actions);
    }
  g_assert_cmpuint (count (&actions, QUARANTINE_SEND_ALIVE), ==, 0);
  tick (quarantine, 3200);
  g_assert_true (rejects (quarantine, BAD, 3200));
  quarantine_free (quarantine);
}

/* A request that crashes servers and is sent again and again costs the others
   with the same parts nothing.  */
static void
test_one_request (void)
{
  struct quarantine *quarantine = new_quarantine ();
  uint64_t features[3];
  struct blame_request crashed = request (features, SHARED, OTHER);
  struct action_list actions;

  action_list_init (&actions);
  for (int i = 0; i < 6; i++)
    quarantine_crashed (quarantine, ++next_id, &crashed, at_ms (i * 100),
                        &actions);
  action_list_clear (&actions);
  tick (quarantine, 2000);
  g_assert_true (rejects (quarantine, features[0], 2000));
  g_assert_false (rejects (quarantine, SHARED, 2000));
  g_assert_false (rejects (quarantine, OTHER, 2000));
  quarantine_free (quarantine);
}

/* A request that was sent on from one server to the next crashed three within
   50 ms, which was taken for the network's doing.  */
static void
test_sent_on (void)
{
  struct quarantine *quarantine = new_quarantine ();
  uint64_t feature = BAD;
  struct blame_request plain = { .features = &feature, .count = 1 };
  struct action_list actions;

  action_list_init (&actions);
  for (int i = 0; i < 3; i++)
    quarantine_crashed (quarantine, ++next_id, &plain, at_ms (i * 5),
                        &actions);
  action_list_clear (&actions);
  tick (quarantine, 1100);
  g_assert_true (rejects (quarantine, BAD, 1100));
  quarantine_free (quarantine);
}

/* A part that all know as sound begins to crash servers.  */
static void
test_was_sound (void)
{
  struct quarantine *quarantine = new_quarantine ();

  answer (quarantine, SHARED, BAD, -2000);
  answer (quarantine, SHARED, OTHER, -100);
  for (int i = 0; i < 5; i++)
    crash (quarantine, SHARED, BAD, i * 100);
  answer (quarantine, SHARED, OTHER, 450);
  tick (quarantine, 1500);
  g_assert_true (rejects (quarantine, BAD, 1500));
  g_assert_false (rejects (quarantine, SHARED, 1500));
  quarantine_free (quarantine);
}

static unsigned
claims (struct quarantine *quarantine, int64_t ms)
{
  uint64_t feature = BAD;
  struct blame_request one = { .features = &feature, .count = 1 };
  struct action_list actions;

  action_list_init (&actions);
  g_assert_cmpint (
      quarantine_check (quarantine, &one, at_ms (ms), &actions).rejected_for,
      ==, 0);
  return count (&actions, QUARANTINE_CLAIM);
}

static void
grant (struct quarantine *quarantine, int64_t ms)
{
  struct action_list actions;

  action_list_init (&actions);
  quarantine_claimed (quarantine, BAD, true, at_ms (ms), &actions);
  g_assert_cmpuint (count (&actions, QUARANTINE_SEND_STATE), ==, 1);
}

/* A trial is one request, of one node, and the next one is later.  */
static void
test_trial (void)
{
  struct quarantine *quarantine = new_quarantine ();
  int64_t first_ms = 1500 + QUARANTINE_TRIAL_MS;

  for (int i = 0; i < 5; i++)
    crash (quarantine, SHARED, BAD, i * 100);
  answer (quarantine, SHARED, OTHER, 450);
  tick (quarantine, 1500);
  g_assert_cmpuint (claims (quarantine, first_ms - 1), ==, 0);
  g_assert_cmpuint (claims (quarantine, first_ms), ==, 1);
  g_assert_cmpuint (claims (quarantine, first_ms), ==, 0);
  grant (quarantine, first_ms + 20);
  g_assert_false (rejects (quarantine, BAD, first_ms + 30));
  g_assert_true (rejects (quarantine, BAD, first_ms + 30));
  g_assert_cmpuint (claims (quarantine, first_ms + QUARANTINE_TRIAL_MS), ==,
                    0);
  g_assert_cmpuint (
      claims (quarantine,
              first_ms + QUARANTINE_TRIAL_FACTOR * QUARANTINE_TRIAL_MS + 20),
      ==, 1);
  quarantine_free (quarantine);
}

/* An answered trial makes the part sound again, everywhere.  */
static void
test_release (void)
{
  struct quarantine *quarantine = new_quarantine ();
  struct quarantine_state stale = { .feature = BAD, .age_ms = 60000 };
  uint64_t features[3];
  struct blame_request trial = request (features, SHARED, BAD);
  struct action_list actions;

  for (int i = 0; i < 5; i++)
    crash (quarantine, SHARED, BAD, i * 100);
  tick (quarantine, 1500);
  g_assert_true (rejects (quarantine, BAD, 1500));
  action_list_init (&actions);
  quarantine_answered (quarantine, &trial, at_ms (50000), &actions);
  g_assert_cmpuint (count (&actions, QUARANTINE_REMOVE), >=, 1);
  g_assert_false (rejects (quarantine, BAD, 50001));
  tick (quarantine, 50002);
  g_assert_false (rejects (quarantine, BAD, 50002));
  /* A peer that was cut off meanwhile.  */
  g_assert_false (quarantine_state_received (quarantine, "n2", &stale,
                                             at_ms (51000), &actions));
  g_assert_cmpuint (count (&actions, QUARANTINE_SEND_RELEASE), ==, 1);
  g_assert_false (rejects (quarantine, BAD, 51000));
  quarantine_free (quarantine);
}

/* A node that has just started does not know what is sound.  */
static void
test_new_node (void)
{
  struct quarantine *quarantine = quarantine_new (at_ms (0));
  struct quarantine_state state = { .feature = BAD };
  struct action_list actions;

  for (int i = 0; i < 5; i++)
    crash (quarantine, SHARED, OTHER, i * 100);
  tick (quarantine, 1500);
  g_assert_cmpuint (quarantine_count (quarantine), ==, 0);
  action_list_init (&actions);
  g_assert_true (quarantine_state_received (quarantine, "n2", &state,
                                            at_ms (1600), &actions));
  g_assert_true (rejects (quarantine, BAD, 1600));
  g_assert_cmpint (
      ts_cmp (quarantine_next (quarantine), at_ms (QUARANTINE_START_MS)), ==,
      0);
  quarantine_free (quarantine);
}

/* Guards against evidence that is lost, or too large for a row, when all nodes
   restart before one has judged.  */
static void
test_evidence (void)
{
  struct quarantine *before = new_quarantine ();
  struct quarantine *after = new_quarantine ();
  struct platform_row row = { 0 };
  struct action_list actions;

  answer (before, SHARED, OTHER, -500);
  for (int i = 0; i < 400; i++)
    crash (before, BAD, SHARED, i * 100);
  row.key = quarantine_evidence_key ("n1");
  row.value = quarantine_evidence_text (before, at_ms (40000), 7000);
  g_assert_true (quarantine_is_evidence (&row));
  g_assert_cmpuint (strlen (row.value), <, 65536);
  action_list_init (&actions);
  quarantine_evidence_read (&row, after, at_ms (90000), 9000, &actions);
  action_list_clear (&actions);
  tick (after, 91000);
  g_assert_true (rejects (after, BAD, 91000));
  g_assert_false (rejects (after, SHARED, 91000));
  free (row.value);
  g_free (row.key);
  quarantine_free (before);
  quarantine_free (after);
}

/* Rows of other writers are ignored.  */
static void
test_rows (void)
{
  struct quarantine_state state
      = { .feature = BAD, .trials = 2, .known_good = true };
  struct quarantine_state read;
  struct platform_row row = { .key = quarantine_row_key (BAD) };

  row.value = quarantine_row_text (&state);
  g_assert_true (quarantine_row_read (&row, &read));
  g_assert_cmpuint (read.feature, ==, BAD);
  g_assert_cmpuint (read.trials, ==, 2);
  g_assert_true (read.known_good);
  g_assert_false (quarantine_is_evidence (&row));
  free (row.value);
  row.value = (char *)"[1]";
  g_assert_false (quarantine_row_read (&row, &read));
  row.value = (char *)"{";
  g_assert_false (quarantine_row_read (&row, &read));
  g_free (row.key);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/quarantine/never-answered", test_never_answered);
  g_test_add_func ("/quarantine/answered-elsewhere", test_answered_elsewhere);
  g_test_add_func ("/quarantine/reset", test_reset);
  g_test_add_func ("/quarantine/restarted", test_restarted);
  g_test_add_func ("/quarantine/one-request", test_one_request);
  g_test_add_func ("/quarantine/sent-on", test_sent_on);
  g_test_add_func ("/quarantine/was-sound", test_was_sound);
  g_test_add_func ("/quarantine/trial", test_trial);
  g_test_add_func ("/quarantine/release", test_release);
  g_test_add_func ("/quarantine/new-node", test_new_node);
  g_test_add_func ("/quarantine/evidence", test_evidence);
  g_test_add_func ("/quarantine/rows", test_rows);
  return g_test_run ();
}

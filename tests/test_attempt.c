#include <string.h>
#include <glib.h>
#include "attempt.h"
#include "cases.h"

static const char *const event_names[]
    = { "connect", "send",  "sent",    "head",  "end",
        "refusal", "reset", "timeout", "cancel" };

static enum attempt_event
parse_event (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (event_names); i++)
    if (strcmp (event_names[i], name) == 0)
      return (enum attempt_event)i;
  g_error ("unknown event \"%s\" in test case", name);
}

static void
run_events (struct attempt *attempt, const char *text)
{
  char **names = g_strsplit (text, " ", -1);

  attempt_begin (attempt, 1);
  for (char **name = names; *name != NULL; name++)
    attempt_event (attempt, parse_event (*name));
  g_strfreev (names);
}

static const char *
retry_class (const struct attempt *attempts, size_t count)
{
  if (attempt_may_retry (attempts, count, false, false))
    return "always";
  return attempt_may_retry (attempts, count, true, false) ? "idempotent"
                                                          : "never";
}

static void
run_case (const GArray *block)
{
  struct attempt attempts[ATTEMPT_MAX];
  size_t count = 0;

  for (guint i = 0; i < block->len; i++)
    {
      const struct cases_line *line
          = &g_array_index (block, struct cases_line, i);

      if (strcmp (line->word, "events") == 0)
        run_events (&attempts[count++], line->rest);
      else if (strcmp (line->word, "not_run") == 0)
        g_assert_cmpstr (attempt_not_run (attempts, count) ? "yes" : "no", ==,
                         line->rest);
      else if (strcmp (line->word, "retry") == 0)
        g_assert_cmpstr (retry_class (attempts, count), ==, line->rest);
      else if (count > 0)
        g_assert_cmpstr (attempt_state_name (attempts[count - 1].state), ==,
                         line->rest);
    }
  g_assert_false (attempt_may_retry (attempts, count, true, true));
}

static void
test_cases (void)
{
  GPtrArray *blocks = cases_read ("tests/cases/attempt.txt");

  for (guint i = 0; i < blocks->len; i++)
    run_case (g_ptr_array_index (blocks, i));
  g_ptr_array_unref (blocks);
}

static bool
refusal (long status, enum httpc_phase phase, const char *body)
{
  struct httpc_result result = {
    .status = status, .phase = phase, .body = body, .length = strlen (body)
  };

  return attempt_refusal (&result);
}

static void
test_refusal (void)
{
  const char *refused = "{\"error\":{\"type\":\"busy\",\"not_run\":true}}";

  g_assert_true (refusal (429, HTTPC_COMPLETE, refused));
  g_assert_true (refusal (503, HTTPC_COMPLETE, refused));
  g_assert_false (refusal (500, HTTPC_COMPLETE, refused));
  g_assert_false (refusal (429, HTTPC_RESPONDING, refused));
  g_assert_false (refusal (429, HTTPC_COMPLETE, "{\"error\":{}}"));
  g_assert_false (
      refusal (429, HTTPC_COMPLETE, "{\"error\":{\"not_run\":\"true\"}}"));
  g_assert_false (refusal (429, HTTPC_COMPLETE, "{\"error\":{\"not_run\":tr"));
  g_assert_false (refusal (503, HTTPC_COMPLETE, "busy"));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/attempt/cases", test_cases);
  g_test_add_func ("/attempt/refusal", test_refusal);
  return g_test_run ();
}

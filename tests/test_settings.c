#include <stdlib.h>
#include "cases.h"
#include "settings.h"

#define BASE_ARGUMENTS                                                        \
  "--region r --zone z --platform 10.0.0.1:80 --peer-token peer-secret "      \
  "--operator-token operator-secret"

static char **
arguments (const char *rest)
{
  char **around_base = g_strsplit (rest, "BASE", 2);
  char *full = g_strjoinv (BASE_ARGUMENTS, around_base);
  char *line = g_strconcat ("parsleyd ", full, NULL);
  char **argv = g_strsplit (line, " ", -1);

  g_strfreev (around_base);
  g_free (full);
  g_free (line);
  return argv;
}

static void
set_variables (const GArray *block, gboolean on)
{
  for (guint i = 0; i < block->len; i++)
    {
      struct cases_line *line = &g_array_index (block, struct cases_line, i);
      char **pair;

      if (strcmp (line->word, "env") != 0)
        continue;
      pair = g_strsplit (line->rest, "=", 2);
      if (on)
        setenv (pair[0], pair[1], 1);
      else
        unsetenv (pair[0]);
      g_strfreev (pair);
    }
}

static void
run_case (const GArray *block)
{
  struct cases_line *first = &g_array_index (block, struct cases_line, 0);
  char **argv = arguments (first->rest);
  char *expected = cases_expected_findings (block);
  struct settings settings;
  struct findings findings;
  char *found;
  int err;

  g_assert_cmpstr (first->word, ==, "args");
  findings_init (&findings);
  set_variables (block, TRUE);
  err = settings_read ((int)g_strv_length (argv), argv, &settings, &findings);
  found = cases_actual_findings (&findings);
  g_assert_cmpstr (found, ==, expected);
  g_assert_true ((err == 0) == (*expected == '\0'));
  set_variables (block, FALSE);
  settings_clear (&settings);
  findings_clear (&findings);
  g_strfreev (argv);
  g_free (expected);
  g_free (found);
}

static void
test_cases (void)
{
  GPtrArray *blocks = cases_read ("tests/cases/settings.txt");

  for (guint i = 0; i < blocks->len; i++)
    run_case (g_ptr_array_index (blocks, i));
  g_ptr_array_unref (blocks);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/settings/cases", test_cases);
  return g_test_run ();
}

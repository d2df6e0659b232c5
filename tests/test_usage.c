/* Counts of customers, of which only so many are told apart.  */

#include <string.h>
#include <glib.h>
#include "usage.h"

static char *
text_of (const struct usage *usage)
{
  GString *text = g_string_new (NULL);

  usage_text (usage, text);
  return g_string_free (text, FALSE);
}

static void
test_text (void)
{
  struct usage *usage = usage_new ();
  char *text = text_of (usage);

  g_assert_cmpstr (text, ==, "");
  g_free (text);
  usage_of (usage, "a \"b\\")->requests = 3;
  usage_of (usage, "a \"b\\")->tokens = 7;
  text = text_of (usage);
  g_assert_nonnull (strstr (
      text, "parsley_customer_requests_total{customer=\"a \\\"b\\\\\"} 3\n"));
  g_assert_nonnull (strstr (
      text, "parsley_customer_tokens_total{customer=\"a \\\"b\\\\\"} 7\n"));
  g_free (text);
  usage_free (usage);
}

/* Guards against time series without bound.  */
static void
test_bound (void)
{
  struct usage *usage = usage_new ();
  unsigned lines = 0;
  char *text;

  usage_of (usage, USAGE_OTHER)->requests++;
  for (unsigned i = 0; i < 1000; i++)
    {
      char *name = g_strdup_printf ("c%u", i);

      usage_of (usage, name)->requests++;
      g_free (name);
    }
  text = text_of (usage);
  for (const char *at = text; (at = strstr (at, "requests_total{")) != NULL;
       at++)
    lines++;
  g_assert_cmpuint (lines, ==, USAGE_NAMES_MAX + 1);
  g_assert_nonnull (strstr (text, "{customer=\"c0\"} 1\n"));
  g_assert_nonnull (strstr (
      text, "parsley_customer_requests_total{customer=\"other\"} 937\n"));
  g_free (text);
  usage_free (usage);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/usage/text", test_text);
  g_test_add_func ("/usage/bound", test_bound);
  return g_test_run ();
}

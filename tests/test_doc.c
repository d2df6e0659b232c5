#include <errno.h>
#include <string.h>
#include <glib.h>
#include "doc.h"

#define CASES "tests/cases/doc"

static char *
list_findings (const struct findings *findings)
{
  GString *text = g_string_new (NULL);
  const struct finding *finding;

  CK_STAILQ_FOREACH (finding, &findings->list, link)
    {
      g_string_append_printf (text, "%s: %s\n", finding->place, finding->text);
    }
  return g_string_free (text, FALSE);
}

static void
assert_same (const char *expected, const char *got)
{
  char **expected_lines = g_strsplit (expected, "\n", -1);
  char **got_lines = g_strsplit (got, "\n", -1);

  if (g_strv_length (expected_lines) != g_strv_length (got_lines))
    g_error ("expected:\n%sgot:\n%s", expected, got);
  for (size_t i = 0; expected_lines[i] != NULL; i++)
    {
      if (g_str_has_suffix (expected_lines[i], ": "))
        g_assert_true (g_str_has_prefix (got_lines[i], expected_lines[i]));
      else
        g_assert_cmpstr (got_lines[i], ==, expected_lines[i]);
    }
  g_strfreev (expected_lines);
  g_strfreev (got_lines);
}

static void
test_case (gconstpointer data)
{
  const char *path = data;
  char *text = NULL;
  char *split;
  struct findings findings;
  struct doc *doc = NULL;
  char *got;
  int err;

  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  split = strstr (text, "\n---\n");
  g_assert_nonnull (split);
  findings_init (&findings);
  err = doc_parse (text, (size_t)(split - text), 1, &doc, &findings);
  got = list_findings (&findings);
  g_assert_cmpint (err, ==, findings.count > 0 ? -EINVAL : 0);
  assert_same (split + strlen ("\n---\n"), err == 0 ? "ok\n" : got);
  findings_clear (&findings);
  doc_unref (doc);
  g_free (got);
  g_free (text);
}

static struct doc *
parse_file (const char *path)
{
  struct findings findings;
  struct doc *doc = NULL;
  char *text = NULL;
  gsize length;

  g_assert_true (g_file_get_contents (path, &text, &length, NULL));
  findings_init (&findings);
  doc_parse (text, length, 7, &doc, &findings);
  findings_print (&findings, path, stderr);
  g_assert_cmpuint (findings.count, ==, 0);
  g_free (text);
  return doc;
}

static void
test_examples (void)
{
  struct doc *doc = parse_file ("docs/examples/kettle-point.json");
  const struct doc_pool *pool = doc_pool (doc, "drafting-models");

  g_assert_cmpuint (doc->version, ==, 7);
  g_assert_cmpuint (doc->model_count, ==, 30);
  g_assert_cmpuint (doc->adapter_count, ==, 55);
  g_assert_true (pool->checks_fence);
  g_assert_cmpint (doc_pool (doc, "ledger-app")->kind, ==, DOC_POOL_SERVICES);
  g_assert_null (doc_model (doc, "hydrant"));
  doc_unref (doc);
  doc = parse_file ("docs/examples/andamios.json");
  g_assert_cmpuint (doc->model_count, ==, 30);
  g_assert_cmpuint (doc->adapter_count, ==, 65);
  g_assert_false (doc_pool (doc, "llm-diseno")->checks_fence);
  g_assert_true (doc_model (doc, "truck-slot-planner")->non_idempotent);
  doc_unref (doc);
  doc_unref (parse_file ("docs/examples/demo.json"));
}

static void
test_non_idempotent (void)
{
  struct doc *doc = parse_file ("docs/examples/demo.json");
  const struct doc_service *ledger = doc_service (doc, "ledger");

  g_assert_true (doc_service_non_idempotent (ledger, "POST", "/work-orders"));
  g_assert_true (
      doc_service_non_idempotent (ledger, "POST", "/work-orders/7"));
  g_assert_true (doc_service_non_idempotent (ledger, "post", "/work-orders"));
  g_assert_true (doc_service_non_idempotent (ledger, "POST", "//work-orders"));
  g_assert_true (
      doc_service_non_idempotent (ledger, "POST", "/a/../work-orders"));
  g_assert_true (
      doc_service_non_idempotent (ledger, "POST", "/%77ork-orders"));
  g_assert_false (doc_service_non_idempotent (ledger, "GET", "/work-orders"));
  g_assert_false (doc_service_non_idempotent (ledger, "POST", "/notes"));
  doc_unref (doc);
}

static void
test_assemble (void)
{
  struct doc *doc = parse_file ("docs/examples/demo.json");
  struct doc_section sections[2] = { { .team = "town" }, { .team = "shop" } };
  struct findings findings;
  char *text = NULL;

  findings_init (&findings);
  for (int i = 0; i < 2; i++)
    sections[i].text = doc_section_text (doc, sections[i].team);
  g_assert_null (doc_section_text (doc, "nobody"));
  g_assert_cmpint (doc_assemble (sections, 2, &text, &findings), ==, 0);
  g_assert_cmpstr (text, ==, doc->text);
  g_free (text);
  g_free ((char *)sections[0].text);
  sections[0].text = "{\n x";
  g_assert_cmpint (doc_assemble (sections, 2, &text, &findings), ==, -EINVAL);
  g_assert_cmpuint (findings.count, ==, 1);
  g_assert_cmpstr (CK_STAILQ_FIRST (&findings.list)->place, ==, "town:2:2");
  findings_clear (&findings);
  g_free ((char *)sections[1].text);
  doc_unref (doc);
}

static void
add_cases (void)
{
  GDir *dir = g_dir_open (CASES, 0, NULL);
  const char *name;

  g_assert_nonnull (dir);
  while ((name = g_dir_read_name (dir)) != NULL)
    {
      char *path;

      if (!g_str_has_suffix (name, ".txt"))
        continue;
      path = g_strdup_printf ("/doc/case/%s", name);
      g_test_add_data_func_full (path, g_strdup_printf (CASES "/%s", name),
                                 test_case, g_free);
      g_free (path);
    }
  g_dir_close (dir);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  add_cases ();
  g_test_add_func ("/doc/examples", test_examples);
  g_test_add_func ("/doc/non-idempotent", test_non_idempotent);
  g_test_add_func ("/doc/assemble", test_assemble);
  return g_test_run ();
}

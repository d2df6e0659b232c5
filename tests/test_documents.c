/* Tests that the platform's settings file, its rows of backend servers and its
   configuration row are parsed, and that invalid ones are rejected with
   findings.  */

#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include "decode.h"
#include "settings_file.h"
#include "cases.h"
#include "document.h"

/* The text after WORD in BLOCK; NULL if there is no such line.  */
static const char *
line_text (const GArray *block, const char *word)
{
  for (guint i = 0; i < block->len; i++)
    {
      const struct cases_line *line
          = &g_array_index (block, struct cases_line, i);

      if (strcmp (line->word, word) == 0)
        return line->rest;
    }
  return NULL;
}

static void
check_settings_file (const GArray *block, const char *path)
{
  GString *expected = g_string_new (NULL);
  char *text = cases_expected_findings (block);
  struct findings findings;
  struct settings_file settings_file;
  char *got;

  g_string_assign (expected, text);
  g_string_replace (expected, "FILE", path, 0);
  g_assert_true (
      g_file_set_contents (path, line_text (block, "file"), -1, NULL));
  findings_init (&findings);
  settings_file_read (path, &settings_file, &findings);
  got = cases_actual_findings (&findings);
  g_assert_cmpstr (got, ==, expected->str);
  findings_clear (&findings);
  settings_file_clear (&settings_file);
  g_free (got);
  g_string_free (expected, TRUE);
  g_free (text);
}

static void
test_settings_file (void)
{
  GPtrArray *blocks = cases_read ("tests/cases/settings_file.txt");
  char *path = NULL;
  int fd = g_file_open_tmp ("settings-XXXXXX", &path, NULL);

  g_assert_cmpint (fd, >=, 0);
  close (fd);
  for (guint i = 0; i < blocks->len; i++)
    check_settings_file (g_ptr_array_index (blocks, i), path);
  g_unlink (path);
  g_free (path);
  g_ptr_array_unref (blocks);
}

static void
test_no_file (void)
{
  struct findings findings;
  struct settings_file settings_file;

  findings_init (&findings);
  g_assert_cmpint (settings_file_read (NULL, &settings_file, &findings), <, 0);
  settings_file_clear (&settings_file);
  g_assert_cmpint (
      settings_file_read ("/nonexistent/x", &settings_file, &findings), <, 0);
  settings_file_clear (&settings_file);
  g_assert_cmpuint (findings.count, ==, 2);
  findings_clear (&findings);
}

static void
check_server_row (const GArray *block)
{
  const struct catalog *catalog = document_catalog ();
  const char *expected = line_text (block, "why");
  struct server_entry entry = { 0 };
  const char *why = NULL;
  int err = catalog->ops->server (catalog, "i", line_text (block, "row"),
                                  &entry, &why);

  g_assert_cmpstr (why, ==, expected);
  g_assert_cmpint (err < 0, ==, expected != NULL);
  server_entry_clear (&entry);
}

static void
test_server_rows (void)
{
  GPtrArray *blocks = cases_read ("tests/cases/server_rows.txt");

  for (guint i = 0; i < blocks->len; i++)
    check_server_row (g_ptr_array_index (blocks, i));
  g_ptr_array_unref (blocks);
}

static void
test_inventory (void)
{
  static const char row[]
      = "{\"Service\":\"s\",\"Address\":\"1.2.3.4:5\",\"Slots\":8,"
        "\"State\":\"ready\",\"born\":17,\"Sequence\":3,\"Models\":[{\"Name\":"
        "\"m\",\"Adapters\":[\"a1\"]}],\"AtHand\":{\"OnDisk\":[\"n\"]}}";
  const struct catalog *catalog = document_catalog ();
  struct server_entry entry = { 0 };
  const char *why;

  g_assert_cmpint (catalog->ops->server (catalog, "i", row, &entry, &why), ==,
                   0);
  g_assert_true (inventory_has (entry.inventory, "m", "a1"));
  g_assert_false (inventory_has (entry.inventory, "m", "a2"));
  g_assert_true (inventory_name_listed (entry.inventory->on_disk, "n"));
  g_assert_cmpint (entry.inventory->born, ==, 17);
  g_assert_cmpuint (entry.inventory->sequence, ==, 3);
  server_entry_clear (&entry);
}

static void
check_config (const char *text, int finding_count)
{
  const struct catalog *catalog = document_catalog ();
  struct findings findings;
  struct site *site = NULL;

  findings_init (&findings);
  catalog->ops->site (catalog, text, &site, &findings);
  g_assert_cmpuint (findings.count, ==, finding_count);
  g_assert_true ((site == NULL) == (finding_count > 0));
  site_unref (site);
  findings_clear (&findings);
}

static void
test_config (void)
{
  check_config ("{\"Version\":3,\"New\":1}", 0);
  check_config ("{\"Version\":3,\"Routes\":[{}],\"Services\":[7]}", 2);
  check_config ("{\"Version\":\"3\"}", 1);
  check_config ("{\"Routes\":[{\"Hostname\":\"h\",\"Prefix\":\"/\","
                "\"Kind\":\"odd\"}]}",
                2);
  check_config ("\xff", 1);
}

/* Guards against a customer that loses its keys, or is served under another
   limit, for a fault in another customer or in its own entry, and against keys
   in findings.  */
static void
check_customers (const GArray *block)
{
  const struct catalog *catalog = document_catalog ();
  char *text = g_strdup_printf ("{\"Version\":3,\"Tenants\":%s}",
                                line_text (block, "list"));
  char *expected = cases_expected_findings (block);
  GString *names = g_string_new (NULL);
  struct findings findings;
  struct site *site = NULL;
  char *got;

  findings_init (&findings);
  g_assert_cmpint (catalog->ops->site (catalog, text, &site, &findings), ==,
                   0);
  g_assert_true (site->keys_required);
  got = cases_actual_findings (&findings);
  g_assert_cmpstr (got, ==, expected);
  g_assert_null (strstr (got, "secret"));
  for (guint i = 0; i < site->customers->len; i++)
    {
      const struct site_customer *customer
          = &g_array_index (site->customers, struct site_customer, i);

      g_string_append_printf (names, "%s%s=%u", i > 0 ? " " : "",
                              customer->name, g_strv_length (customer->keys));
    }
  g_assert_cmpstr (names->str, ==, line_text (block, "read"));
  g_string_free (names, TRUE);
  findings_clear (&findings);
  site_unref (site);
  g_free (got);
  g_free (expected);
  g_free (text);
}

static void
test_customers (void)
{
  GPtrArray *blocks = cases_read ("tests/cases/customers.txt");

  g_assert_cmpuint (blocks->len, >, 0);
  for (guint i = 0; i < blocks->len; i++)
    check_customers (g_ptr_array_index (blocks, i));
  g_ptr_array_unref (blocks);
}

/* Guards against a malformed document whose keys are quoted in the log.  */
static void
test_malformed_config (void)
{
  const struct catalog *catalog = document_catalog ();
  struct findings findings;
  struct site *site = NULL;

  findings_init (&findings);
  g_assert_cmpint (
      catalog->ops->site (catalog,
                          "{\"Version\":3,\"Tenants\":[{\"ApiKeys\":["
                          "\"secret\" \"secret\"]}]}",
                          &site, &findings),
      <, 0);
  g_assert_cmpuint (findings.count, >, 0);
  g_assert_null (strstr (CK_STAILQ_FIRST (&findings.list)->text, "secret"));
  findings_clear (&findings);
}

/* Guards against pauses of a length that a server did not ask for.  */
static void
test_seconds (void)
{
  static const char *const ignored[]
      = { "",    "-1",  "0",
          "nan", "inf", "soon",
          "1 s", "1,5", "Fri, 04 Dec 2026 09:00:00 GMT" };

  g_assert_cmpint (decode_seconds_ms (NULL), ==, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (ignored); i++)
    g_assert_cmpint (decode_seconds_ms (ignored[i]), ==, 0);
  g_assert_cmpint (decode_seconds_ms ("1"), ==, 1000);
  g_assert_cmpint (decode_seconds_ms ("0.0004"), ==, 1);
  g_assert_cmpint (decode_seconds_ms ("2.5"), ==, 2500);
  g_assert_cmpint (decode_seconds_ms ("1e300"), ==, 1000000000000);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/documents/settings-file", test_settings_file);
  g_test_add_func ("/documents/no-file", test_no_file);
  g_test_add_func ("/documents/server-rows", test_server_rows);
  g_test_add_func ("/documents/inventory", test_inventory);
  g_test_add_func ("/documents/config", test_config);
  g_test_add_func ("/documents/customers", test_customers);
  g_test_add_func ("/documents/malformed-config", test_malformed_config);
  g_test_add_func ("/documents/seconds", test_seconds);
  return g_test_run ();
}

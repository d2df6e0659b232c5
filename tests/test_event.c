#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include "log.h"

/* Reads the table in docs/EVENTS.md, "| number | name | level |".  */
static GHashTable *
read_catalogue (void)
{
  GHashTable *rows
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  char *text = NULL;
  char **lines;

  g_assert_true (g_file_get_contents ("docs/EVENTS.md", &text, NULL, NULL));
  lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      char **cells = g_strsplit (*line, "|", -1);

      if (g_strv_length (cells) > 4 && atoi (cells[1]) > 0)
        {
          char *row = g_strdup_printf ("%s %s", g_strstrip (cells[2]),
                                       g_strstrip (cells[3]));

          g_assert_true (g_hash_table_insert (
              rows, g_strdup (g_strstrip (cells[1])), row));
        }
      g_strfreev (cells);
    }
  g_strfreev (lines);
  g_free (text);
  return rows;
}

static void
test_catalogue (void)
{
  GHashTable *rows = read_catalogue ();

  for (const struct log_event_info *info = log_catalogue (); info->number != 0;
       info++)
    {
      char *number = g_strdup_printf ("%d", info->number);
      char *expected = g_strdup_printf ("%s %s", info->name, info->level);

      g_assert_cmpstr (g_hash_table_lookup (rows, number), ==, expected);
      g_assert_true (g_hash_table_remove (rows, number));
      g_free (number);
      g_free (expected);
    }
  g_assert_cmpuint (g_hash_table_size (rows), ==, 0);
  g_hash_table_unref (rows);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/event/catalogue", test_catalogue);
  return g_test_run ();
}

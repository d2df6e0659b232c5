/* cases - reads tests/cases/NAME.txt: blocks of lines "WORD REST", separated
   by empty lines; lines that begin with # are comments.  */

#ifndef PARSLEYRILL_TESTS_CASES_H
#define PARSLEYRILL_TESTS_CASES_H

#include <string.h>
#include <glib.h>
#include "finding.h"

struct cases_line
{
  char *word;
  char *rest; /* "" when there is none */
};

static inline void
cases_line_clear (gpointer pointer)
{
  struct cases_line *line = pointer;

  g_free (line->word);
  g_free (line->rest);
}

static inline GArray *
cases_block_new (void)
{
  GArray *block = g_array_new (FALSE, TRUE, sizeof (struct cases_line));

  g_array_set_clear_func (block, cases_line_clear);
  return block;
}

static inline void
cases_add_line (GArray *block, const char *text)
{
  char **parts = g_strsplit (text, " ", 2);
  struct cases_line line = { .word = g_strdup (parts[0]),
                             .rest = g_strdup (parts[1] ? parts[1] : "") };

  g_array_append_val (block, line);
  g_strfreev (parts);
}

/* Returns an array of blocks (GArray of struct cases_line); freed with
   g_ptr_array_unref.  */
static inline GPtrArray *
cases_read (const char *path)
{
  GPtrArray *blocks
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_array_unref);
  GArray *block = cases_block_new ();
  char *text = NULL;
  char **lines;

  g_assert_true (g_file_get_contents (path, &text, NULL, NULL));
  lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      if (**line == '#')
        continue;
      if (**line != '\0')
        cases_add_line (block, *line);
      else if (block->len > 0)
        {
          g_ptr_array_add (blocks, block);
          block = cases_block_new ();
        }
    }
  if (block->len > 0)
    g_ptr_array_add (blocks, block);
  else
    g_array_unref (block);
  g_strfreev (lines);
  g_free (text);
  return blocks;
}

/* The findings that BLOCK expects, one per line; freed with g_free.  */
static inline char *
cases_expected_findings (const GArray *block)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < block->len; i++)
    {
      struct cases_line *line = &g_array_index (block, struct cases_line, i);

      if (strcmp (line->word, "find") == 0)
        g_string_append_printf (text, "%s\n", line->rest);
    }
  return g_string_free (text, FALSE);
}

/* The actual findings in the same format; freed with g_free.  */
static inline char *
cases_actual_findings (const struct findings *findings)
{
  GString *text = g_string_new (NULL);
  const struct finding *finding;

  CK_STAILQ_FOREACH (finding, &findings->list, link)
    {
      g_string_append_printf (text, "%s: %s\n", finding->place, finding->text);
    }
  return g_string_free (text, FALSE);
}

#endif

#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include "doc.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check_reparsed (const struct doc *doc)
{
  struct findings findings;
  struct doc *reparsed = NULL;

  findings_init (&findings);
  if (doc_parse (doc->text, strlen (doc->text), 0, &reparsed, &findings) < 0
      || strcmp (reparsed->text, doc->text) != 0
      || reparsed->model_count != doc->model_count)
    abort ();
  doc_unref (reparsed);
}

static void
check_sections (const struct doc *doc)
{
  struct doc_section *sections = g_new0 (struct doc_section, doc->team_count);
  struct findings findings;
  char *text = NULL;

  findings_init (&findings);
  for (size_t i = 0; i < doc->team_count; i++)
    {
      sections[i].team = doc->teams[i].name;
      sections[i].text = doc_section_text (doc, doc->teams[i].name);
    }
  if (doc_assemble (sections, doc->team_count, &text, &findings) < 0
      || strcmp (text, doc->text) != 0)
    abort ();
  for (size_t i = 0; i < doc->team_count; i++)
    g_free ((char *)sections[i].text);
  g_free (sections);
  g_free (text);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct findings findings;
  struct doc *doc = NULL;
  int err;

  findings_init (&findings);
  err = doc_parse ((const char *)data, size, 1, &doc, &findings);
  if ((err == 0) != (findings.count == 0) || (err == 0) != (doc != NULL))
    abort ();
  if (doc != NULL)
    {
      check_reparsed (doc);
      check_sections (doc);
    }
  findings_clear (&findings);
  doc_unref (doc);
  return 0;
}

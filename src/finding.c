#include "finding.h"

#include <stdarg.h>
#include <glib.h>

void
findings_init (struct findings *findings)
{
  CK_STAILQ_INIT (&findings->list);
  findings->count = 0;
}

void
findings_add (struct findings *findings, const char *place, const char *format,
              ...)
{
  struct finding *finding = g_new0 (struct finding, 1);
  va_list ap;

  finding->place = g_strdup (place);
  va_start (ap, format);
  finding->text = g_strdup_vprintf (format, ap);
  va_end (ap);
  CK_STAILQ_INSERT_TAIL (&findings->list, finding, link);
  findings->count++;
}

void
findings_print (const struct findings *findings, const char *prefix, FILE *out)
{
  const struct finding *finding;

  CK_STAILQ_FOREACH (finding, &findings->list, link)
    {
      fprintf (out, "%s: %s: %s\n", prefix, finding->place, finding->text);
    }
}

void
findings_clear (struct findings *findings)
{
  struct finding *finding;

  while ((finding = CK_STAILQ_FIRST (&findings->list)) != NULL)
    {
      CK_STAILQ_REMOVE_HEAD (&findings->list, link);
      g_free (finding->place);
      g_free (finding->text);
      g_free (finding);
    }
  findings->count = 0;
}

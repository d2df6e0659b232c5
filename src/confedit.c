#include "confedit.h"

#include <inttypes.h>

void
confedit_reset (struct confedit *edit)
{
  confset_free (edit->set);
  g_free (edit->token);
  g_free (edit->history_key);
  g_free (edit->version_row);
  g_free (edit->section_key);
  g_free (edit->section);
  g_free (edit->history);
  edit->set = NULL;
  edit->token = NULL;
  edit->history_key = NULL;
  edit->version_row = NULL;
  edit->section_key = NULL;
  edit->section = NULL;
  edit->history = NULL;
  edit->sent = false;
  edit->in_doubt = false;
}

void
confedit_free (struct confedit *edit)
{
  confedit_reset (edit);
  g_free (edit->team);
  g_free (edit->text);
  g_free (edit);
}

void
confedit_prepare (struct confedit *edit, uint64_t row_version, char *token)
{
  const struct confsync_section *section
      = confset_find (edit->set, edit->team);

  edit->token = token;
  edit->version_row = confset_version_row_text (edit->set);
  edit->section_key = g_strconcat (CONFSET_PREFIX, edit->team, NULL);
  edit->section = section != NULL ? confset_section_row_text (section) : NULL;
  edit->history_key
      = g_strdup_printf (CONFEDIT_HISTORY "%020" PRIu64, edit->set->version);
  edit->history
      = g_strdup_printf ("{\"team\":\"%s\",\"removed\":%s,\"row\":%s}",
                         edit->team, section == NULL ? "true" : "false",
                         section == NULL ? "null" : edit->section);
  edit->check.key = CONFSET_ROW;
  edit->check.version = row_version;
  edit->writes[0].key = CONFSET_ROW;
  edit->writes[0].value = edit->version_row;
  edit->writes[1].key = edit->section_key;
  edit->writes[1].value = edit->section;
  edit->writes[2].key = edit->history_key;
  edit->writes[2].value = edit->history;
}

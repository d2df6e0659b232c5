#include "confupdate.h"

#include <string.h>

void
confupdate_make (struct confupdate *update, const struct confset *set,
                 uint64_t since)
{
  update->version = set->version;
  update->since = since;
  update->count = set->sections->len;
  update->sections = g_new0 (struct confsync_section, set->sections->len);
  for (guint i = 0; i < set->sections->len; i++)
    {
      const struct confsync_section *from = set->sections->pdata[i];
      struct confsync_section *to = &update->sections[i];

      to->team = g_strdup (from->team);
      to->version = from->version;
      if (from->version > since)
        to->text = g_strdup (from->text);
    }
}

void
confupdate_clear (struct confupdate *update)
{
  for (size_t i = 0; i < update->count; i++)
    {
      g_free (update->sections[i].team);
      g_free (update->sections[i].text);
    }
  g_free (update->sections);
  memset (update, 0, sizeof *update);
}

struct confset *
confupdate_apply (const struct confset *old, const struct confupdate *update)
{
  struct confset *set = confset_new ();

  set->version = update->version;
  for (size_t i = 0; i < update->count; i++)
    {
      const struct confsync_section *section = &update->sections[i];
      const struct confsync_section *own = confset_find (old, section->team);

      if (section->text != NULL)
        confset_put (set, section->team, section->text, section->version);
      else if (own != NULL && own->version == section->version)
        confset_put (set, own->team, own->text, own->version);
      else
        {
          confset_free (set);
          return NULL;
        }
    }
  return set;
}

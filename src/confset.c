#include "confset.h"

#include <stdlib.h>
#include <string.h>
#include <jansson.h>

static void
section_free (void *data)
{
  struct confsync_section *section = data;

  g_free (section->team);
  g_free (section->text);
  g_free (section);
}

struct confset *
confset_new (void)
{
  struct confset *set = g_new0 (struct confset, 1);

  set->sections = g_ptr_array_new_with_free_func (section_free);
  return set;
}

void
confset_free (struct confset *set)
{
  if (set == NULL)
    return;
  g_ptr_array_unref (set->sections);
  g_free (set);
}

static struct confsync_section *
section_at (const struct confset *set, guint i)
{
  return g_ptr_array_index (set->sections, i);
}

struct confset *
confset_copy (const struct confset *set)
{
  struct confset *copy = confset_new ();

  copy->version = set->version;
  for (guint i = 0; i < set->sections->len; i++)
    confset_put (copy, section_at (set, i)->team, section_at (set, i)->text,
                 section_at (set, i)->version);
  return copy;
}

/* Index of TEAM, or where it would be inserted.  */
static guint
lower_bound (const struct confset *set, const char *team)
{
  guint i = 0;

  while (i < set->sections->len
         && strcmp (section_at (set, i)->team, team) < 0)
    i++;
  return i;
}

struct confsync_section *
confset_find (const struct confset *set, const char *team)
{
  guint i = lower_bound (set, team);

  if (i == set->sections->len || strcmp (section_at (set, i)->team, team) != 0)
    return NULL;
  return section_at (set, i);
}

void
confset_put (struct confset *set, const char *team, const char *text,
             uint64_t version)
{
  struct confsync_section *section = confset_find (set, team);
  guint i = lower_bound (set, team);

  if (section != NULL)
    g_ptr_array_remove_index (set->sections, i);
  if (text == NULL)
    return;
  section = g_new0 (struct confsync_section, 1);
  section->team = g_strdup (team);
  section->text = g_strdup (text);
  section->version = version;
  g_ptr_array_insert (set->sections, (gint)i, section);
}

/* Serializes VALUE and releases it.  The text is copied, because callers free
   it with g_free.  */
static char *
dump_and_release (json_t *value)
{
  char *text
      = json_dumps (value, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY);
  char *copy = g_strdup (text);

  free (text);
  json_decref (value);
  return copy;
}

uint64_t
confset_row_version (const char *value)
{
  json_t *row = value != NULL ? json_loads (value, 0, NULL) : NULL;
  json_int_t version = json_integer_value (json_object_get (row, "version"));

  json_decref (row);
  return version > 0 ? (uint64_t)version : 0;
}

static void
read_section (struct confset *set, const struct platform_row *row)
{
  json_t *value = json_loads (row->value, 0, NULL);
  const char *team = row->key + strlen (CONFSET_PREFIX);
  json_t *section = json_object_get (value, "section");
  json_int_t version = json_integer_value (json_object_get (value, "version"));
  char *text;

  if (section != NULL && version > 0)
    {
      text = dump_and_release (json_incref (section));
      confset_put (set, team, text, (uint64_t)version);
      g_free (text);
    }
  json_decref (value);
}

/* Whether the sections and their versions are exactly those of LIST.  */
static bool
matches_list (const struct confset *set, const json_t *list)
{
  if (json_object_size (list) != set->sections->len)
    return false;
  for (guint i = 0; i < set->sections->len; i++)
    {
      const struct confsync_section *section = section_at (set, i);
      const json_t *version = json_object_get (list, section->team);

      if ((uint64_t)json_integer_value (version) != section->version)
        return false;
    }
  return true;
}

struct confset *
confset_from_rows (const struct platform_rows *rows)
{
  struct confset *set = confset_new ();
  json_t *version_row = NULL;
  bool consistent;

  for (size_t i = 0; i < rows->count; i++)
    {
      const struct platform_row *row = &rows->rows[i];

      if (strcmp (row->key, CONFSET_ROW) == 0)
        {
          version_row = json_loads (row->value, 0, NULL);
          set->version = confset_row_version (row->value);
        }
      else if (g_str_has_prefix (row->key, CONFSET_PREFIX))
        read_section (set, row);
    }
  consistent = matches_list (set, json_object_get (version_row, "sections"));
  json_decref (version_row);
  if (consistent)
    return set;
  confset_free (set);
  return NULL;
}

char *
confset_version_row_text (const struct confset *set)
{
  json_t *list = json_object ();

  for (guint i = 0; i < set->sections->len; i++)
    json_object_set_new (
        list, section_at (set, i)->team,
        json_integer ((json_int_t)section_at (set, i)->version));
  return dump_and_release (json_pack (
      "{s:I, s:o}", "version", (json_int_t)set->version, "sections", list));
}

static json_t *
section_json (const struct confsync_section *section)
{
  json_t *value = json_loads (section->text, JSON_DECODE_ANY, NULL);

  return value != NULL ? value : json_null ();
}

char *
confset_section_row_text (const struct confsync_section *section)
{
  return dump_and_release (json_pack ("{s:I, s:o}", "version",
                                      (json_int_t)section->version, "section",
                                      section_json (section)));
}

char *
confset_document (const struct confset *set)
{
  json_t *sections = json_object ();

  for (guint i = 0; i < set->sections->len; i++)
    json_object_set_new (sections, section_at (set, i)->team,
                         section_json (section_at (set, i)));
  return dump_and_release (json_pack ("{s:o}", "sections", sections));
}

char *
confset_snapshot (const struct confset *set)
{
  json_t *sections = json_array ();

  for (guint i = 0; i < set->sections->len; i++)
    {
      const struct confsync_section *section = section_at (set, i);

      json_array_append_new (
          sections,
          json_pack ("{s:s, s:s, s:I}", "team", section->team, "text",
                     section->text, "version", (json_int_t)section->version));
    }
  return dump_and_release (json_pack ("{s:I, s:o}", "version",
                                      (json_int_t)set->version, "sections",
                                      sections));
}

struct confset *
confset_from_snapshot (const char *bytes, size_t length)
{
  json_t *root = json_loadb (bytes, length, 0, NULL);
  const json_t *sections = json_object_get (root, "sections");
  struct confset *set = confset_new ();
  json_int_t version = json_integer_value (json_object_get (root, "version"));

  for (size_t i = 0; i < json_array_size (sections); i++)
    {
      const json_t *item = json_array_get (sections, i);
      const char *team = json_string_value (json_object_get (item, "team"));
      const char *text = json_string_value (json_object_get (item, "text"));

      if (team != NULL && text != NULL)
        confset_put (
            set, team, text,
            (uint64_t)json_integer_value (json_object_get (item, "version")));
    }
  json_decref (root);
  set->version = version > 0 ? (uint64_t)version : 0;
  if (set->version > 0)
    return set;
  confset_free (set);
  return NULL;
}

static char *
canonical_text (const char *text)
{
  struct confset *set = confset_new ();
  char *document;

  confset_put (set, "t", text, 1);
  document = confset_document (set);
  confset_free (set);
  return document;
}

bool
confset_same_section (const char *a, const char *b)
{
  char *x = canonical_text (a);
  char *y = canonical_text (b);
  bool same = strcmp (x, y) == 0;

  g_free (x);
  g_free (y);
  return same;
}

char *
confset_history_row_text (const char *team,
                          const struct confsync_section *section)
{
  json_t *row
      = json_pack ("{s:s, s:b}", "team", team, "removed", section == NULL);

  if (section != NULL)
    json_object_set_new (row, "section", section_json (section));
  return dump_and_release (row);
}

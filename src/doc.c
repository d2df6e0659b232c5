#include "doc.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include "doc_read.h"

#define CANONICAL_FLAGS (JSON_COMPACT | JSON_SORT_KEYS)

static char *
canonical_text (const json_t *json)
{
  char *text = json_dumps (json, CANONICAL_FLAGS);
  char *copy = g_strdup (text);

  free (text);
  return copy;
}

static void
add_syntax_error (struct findings *findings, const char *prefix,
                  const json_error_t *error)
{
  char *place
      = g_strdup_printf ("%s%d:%d", prefix, error->line, error->column);

  findings_add (findings, place, "%s", error->text);
  g_free (place);
}

int
doc_parse (const char *text, size_t length, uint64_t version, struct doc **out,
           struct findings *findings)
{
  size_t findings_before = findings->count;
  json_error_t error;
  json_t *json = json_loadb (text, length, JSON_REJECT_DUPLICATES, &error);
  struct doc *doc;

  if (json == NULL)
    {
      add_syntax_error (findings, "", &error);
      return -EINVAL;
    }
  doc = doc_read (json, findings);
  doc->version = version;
  doc->text = canonical_text (json);
  json_decref (json);
  if (findings->count > findings_before)
    {
      doc_unref (doc);
      return -EINVAL;
    }
  *out = doc;
  return 0;
}

struct doc *
doc_ref (struct doc *doc)
{
  g_atomic_int_inc ((gint *)&doc->refs);
  return doc;
}

static void
free_teams (struct doc *doc)
{
  for (size_t i = 0; i < doc->team_count; i++)
    g_free (doc->teams[i].name);
  g_free (doc->teams);
}

static void
free_pools (struct doc *doc)
{
  for (size_t i = 0; i < doc->pool_count; i++)
    {
      g_free (doc->pools[i].name);
      g_free (doc->pools[i].team);
    }
  g_free (doc->pools);
}

static void
free_models (struct doc *doc)
{
  for (size_t i = 0; i < doc->model_count; i++)
    {
      g_free (doc->models[i].name);
      g_free (doc->models[i].team);
      g_free (doc->models[i].pool);
      g_free (doc->models[i].version);
    }
  g_free (doc->models);
}

static void
free_adapters (struct doc *doc)
{
  for (size_t i = 0; i < doc->adapter_count; i++)
    {
      g_free (doc->adapters[i].name);
      g_free (doc->adapters[i].team);
      g_free (doc->adapters[i].model);
      g_free (doc->adapters[i].version);
    }
  g_free (doc->adapters);
}

static void
free_services (struct doc *doc)
{
  for (size_t i = 0; i < doc->service_count; i++)
    {
      struct doc_service *service = &doc->services[i];

      for (size_t r = 0; r < service->rule_count; r++)
        {
          g_free (service->non_idempotent[r].method);
          g_free (service->non_idempotent[r].path_prefix);
        }
      g_free (service->non_idempotent);
      g_free (service->name);
      g_free (service->team);
      g_free (service->pool);
    }
  g_free (doc->services);
}

void
doc_unref (struct doc *doc)
{
  if (doc == NULL || !g_atomic_int_dec_and_test ((gint *)&doc->refs))
    return;
  free_teams (doc);
  free_pools (doc);
  free_models (doc);
  free_adapters (doc);
  free_services (doc);
  g_free (doc->text);
  g_free (doc);
}

int
doc_assemble (const struct doc_section *sections, size_t count, char **text,
              struct findings *findings)
{
  json_t *all = json_object ();
  size_t findings_before = findings->count;
  json_t *document;

  for (size_t i = 0; i < count; i++)
    {
      json_error_t error;
      json_t *section
          = json_loads (sections[i].text, JSON_REJECT_DUPLICATES, &error);
      char *prefix = g_strdup_printf ("%s:", sections[i].team);

      if (section == NULL)
        add_syntax_error (findings, prefix, &error);
      else if (json_object_set_new (all, sections[i].team, section) < 0)
        findings_add (findings, sections[i].team,
                      "team name is not valid UTF-8");
      g_free (prefix);
    }
  document = json_pack ("{s:o}", "sections", all);
  if (findings->count == findings_before)
    *text = canonical_text (document);
  json_decref (document);
  return findings->count == findings_before ? 0 : -EINVAL;
}

char *
doc_section_text (const struct doc *doc, const char *team)
{
  json_t *json = json_loads (doc->text, 0, NULL);
  const json_t *section
      = json_object_get (json_object_get (json, "sections"), team);
  char *text = section != NULL ? canonical_text (section) : NULL;

  json_decref (json);
  return text;
}

/* Compares entries by name, the first member of each of their structs.  */
static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static const void *
find_entry (const void *array, size_t count, size_t size, const char *name)
{
  return count > 0 ? bsearch (&name, array, count, size, compare_names) : NULL;
}

const struct doc_team *
doc_team (const struct doc *doc, const char *name)
{
  return find_entry (doc->teams, doc->team_count, sizeof *doc->teams, name);
}

const struct doc_pool *
doc_pool (const struct doc *doc, const char *name)
{
  return find_entry (doc->pools, doc->pool_count, sizeof *doc->pools, name);
}

const struct doc_model *
doc_model (const struct doc *doc, const char *name)
{
  return find_entry (doc->models, doc->model_count, sizeof *doc->models, name);
}

const struct doc_adapter *
doc_adapter (const struct doc *doc, const char *name)
{
  return find_entry (doc->adapters, doc->adapter_count, sizeof *doc->adapters,
                     name);
}

const struct doc_service *
doc_service (const struct doc *doc, const char *name)
{
  return find_entry (doc->services, doc->service_count, sizeof *doc->services,
                     name);
}

/* Whether PATH has no segments or escapes that a server may resolve to a
   different path.  */
static bool
is_normalized (const char *path)
{
  return strstr (path, "//") == NULL && strstr (path, "/.") == NULL
         && strchr (path, '%') == NULL;
}

bool
doc_service_non_idempotent (const struct doc_service *service,
                            const char *method, const char *path)
{
  bool normalized = is_normalized (path);

  for (size_t i = 0; i < service->rule_count; i++)
    {
      const struct doc_rule *rule = &service->non_idempotent[i];

      if (strcmp (rule->method, "*") != 0
          && g_ascii_strcasecmp (rule->method, method) != 0)
        continue;
      if (!normalized || g_str_has_prefix (path, rule->path_prefix))
        return true;
    }
  return false;
}

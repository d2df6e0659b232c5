#include "doc_read.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include "doc_field.h"

#define MEMORY_MB_MAX 10e6
#define REPLICAS_MAX 10000
#define MAX_WAITING_MAX 1e6
#define PRIORITY_MAX 9
#define DEFAULT_MAX_WAITING 100
#define DEFAULT_PRIORITY 5

static const struct doc_field document_fields[]
    = { { .name = "sections", .kind = DOC_FIELD_OTHER, .required = true },
        { 0 } };

static const struct doc_field team_fields[]
    = { { "cold_weight", DOC_FIELD_REAL, false,
          offsetof (struct doc_team, cold_weight), 0, 1, 0.5 },
        { "max_waiting", DOC_FIELD_UNSIGNED, false,
          offsetof (struct doc_team, max_waiting), 1, MAX_WAITING_MAX,
          DEFAULT_MAX_WAITING },
        { .name = "pools", .kind = DOC_FIELD_OTHER },
        { .name = "models", .kind = DOC_FIELD_OTHER },
        { .name = "adapters", .kind = DOC_FIELD_OTHER },
        { .name = "services", .kind = DOC_FIELD_OTHER },
        { 0 } };

static const struct doc_field pool_fields[]
    = { { .name = "kind", .kind = DOC_FIELD_OTHER, .required = true },
        { "checks_fence", DOC_FIELD_BOOL, false,
          offsetof (struct doc_pool, checks_fence), 0, 1, 0 },
        { 0 } };

static const struct doc_field model_fields[] = {
  { "pool", DOC_FIELD_NAME, true, offsetof (struct doc_model, pool), 0, 0, 0 },
  { "version", DOC_FIELD_NAME, true, offsetof (struct doc_model, version), 0,
    0, 0 },
  { "memory_mb", DOC_FIELD_U64, true, offsetof (struct doc_model, memory_mb),
    1, MEMORY_MB_MAX, 0 },
  { "kv_reserve_mb", DOC_FIELD_U64, false,
    offsetof (struct doc_model, kv_reserve_mb), 0, MEMORY_MB_MAX, 0 },
  { "max_replicas", DOC_FIELD_UNSIGNED, false,
    offsetof (struct doc_model, max_replicas), 1, REPLICAS_MAX, 1 },
  { "min_replicas", DOC_FIELD_UNSIGNED, false,
    offsetof (struct doc_model, min_replicas), 0, REPLICAS_MAX, 0 },
  { "priority", DOC_FIELD_UNSIGNED, false,
    offsetof (struct doc_model, priority), 0, PRIORITY_MAX, DEFAULT_PRIORITY },
  { "max_waiting", DOC_FIELD_UNSIGNED, false,
    offsetof (struct doc_model, max_waiting), 1, MAX_WAITING_MAX,
    DEFAULT_MAX_WAITING },
  { "non_idempotent", DOC_FIELD_BOOL, false,
    offsetof (struct doc_model, non_idempotent), 0, 1, 0 },
  { 0 }
};

static const struct doc_field adapter_fields[]
    = { { "model", DOC_FIELD_NAME, true, offsetof (struct doc_adapter, model),
          0, 0, 0 },
        { "version", DOC_FIELD_NAME, true,
          offsetof (struct doc_adapter, version), 0, 0, 0 },
        { "memory_mb", DOC_FIELD_U64, true,
          offsetof (struct doc_adapter, memory_mb), 1, MEMORY_MB_MAX, 0 },
        { "priority", DOC_FIELD_UNSIGNED, false,
          offsetof (struct doc_adapter, priority), 0, PRIORITY_MAX,
          DEFAULT_PRIORITY },
        { "non_idempotent", DOC_FIELD_BOOL, false,
          offsetof (struct doc_adapter, non_idempotent), 0, 1, 0 },
        { 0 } };

static const struct doc_field service_fields[]
    = { { "pool", DOC_FIELD_NAME, true, offsetof (struct doc_service, pool), 0,
          0, 0 },
        { "priority", DOC_FIELD_UNSIGNED, false,
          offsetof (struct doc_service, priority), 0, PRIORITY_MAX,
          DEFAULT_PRIORITY },
        { .name = "non_idempotent", .kind = DOC_FIELD_OTHER },
        { 0 } };

/* State while reading a document.  */
struct doc_reader
{
  struct findings *findings;
  GArray *teams;
  GArray *pools;
  GArray *models;
  GArray *adapters;
  GArray *services;
};

/* One kind of named entry in a section.  */
struct entry_kind
{
  const char *key; /* member of a section that contains the entries */
  size_t size;
  void (*read) (struct doc_reader *reader, const json_t *json,
                const char *pointer, void *entry);
};

static void
read_pool (struct doc_reader *reader, const json_t *json, const char *pointer,
           void *entry)
{
  struct doc_pool *pool = entry;
  const json_t *kind = json_object_get (json, "kind");
  const char *text = json_string_value (kind);
  char *place;

  doc_field_read (pool_fields, json, pointer, pool, reader->findings);
  if (kind == NULL)
    return;
  if (g_strcmp0 (text, "services") == 0)
    pool->kind = DOC_POOL_SERVICES;
  else if (g_strcmp0 (text, "engines") != 0)
    {
      place = doc_field_pointer (pointer, "kind");
      findings_add (reader->findings, place,
                    "must be \"engines\" or \"services\"");
      g_free (place);
    }
}

static void
read_model (struct doc_reader *reader, const json_t *json, const char *pointer,
            void *entry)
{
  struct doc_model *model = entry;
  char *place;

  doc_field_read (model_fields, json, pointer, model, reader->findings);
  if (model->min_replicas <= model->max_replicas)
    return;
  place = doc_field_pointer (pointer, "min_replicas");
  findings_add (reader->findings, place, "must not exceed max_replicas (%u)",
                model->max_replicas);
  g_free (place);
}

static void
read_adapter (struct doc_reader *reader, const json_t *json,
              const char *pointer, void *entry)
{
  doc_field_read (adapter_fields, json, pointer, entry, reader->findings);
}

static bool
is_method (const char *text)
{
  if (text == NULL || *text == '\0')
    return false;
  if (strcmp (text, "*") == 0)
    return true;
  for (; *text != '\0'; text++)
    {
      if (!g_ascii_isupper (*text))
        return false;
    }
  return true;
}

static void
read_rule (struct doc_reader *reader, const json_t *json, const char *pointer,
           struct doc_rule *rule)
{
  static const struct doc_field fields[]
      = { { .name = "method", .kind = DOC_FIELD_OTHER },
          { .name = "path", .kind = DOC_FIELD_OTHER },
          { 0 } };
  const char *method = json_string_value (json_object_get (json, "method"));
  const char *path = json_string_value (json_object_get (json, "path"));

  if (!doc_field_object (json, pointer, reader->findings))
    return;
  doc_field_read (fields, json, pointer, rule, reader->findings);
  if (!is_method (method))
    findings_add (reader->findings, pointer,
                  "method must be upper-case letters or \"*\"");
  if (path == NULL || *path != '/')
    findings_add (reader->findings, pointer, "path must start with \"/\"");
  rule->method = g_strdup (method);
  rule->path_prefix = g_strdup (path);
}

static void
read_rules (struct doc_reader *reader, const json_t *rules,
            const char *pointer, struct doc_service *service)
{
  size_t i;
  json_t *rule;

  if (!json_is_array (rules))
    {
      findings_add (reader->findings, pointer, "must be an array");
      return;
    }
  service->rule_count = json_array_size (rules);
  service->non_idempotent = g_new0 (struct doc_rule, service->rule_count);
  json_array_foreach (rules, i, rule)
    {
      char *place = g_strdup_printf ("%s/%zu", pointer, i);

      read_rule (reader, rule, place, &service->non_idempotent[i]);
      g_free (place);
    }
}

static void
read_service (struct doc_reader *reader, const json_t *json,
              const char *pointer, void *entry)
{
  struct doc_service *service = entry;
  const json_t *rules = json_object_get (json, "non_idempotent");
  char *place = doc_field_pointer (pointer, "non_idempotent");

  doc_field_read (service_fields, json, pointer, service, reader->findings);
  if (rules != NULL)
    read_rules (reader, rules, place, service);
  g_free (place);
}

static const struct entry_kind pool_kind
    = { "pools", sizeof (struct doc_pool), read_pool };
static const struct entry_kind model_kind
    = { "models", sizeof (struct doc_model), read_model };
static const struct entry_kind adapter_kind
    = { "adapters", sizeof (struct doc_adapter), read_adapter };
static const struct entry_kind service_kind
    = { "services", sizeof (struct doc_service), read_service };

/* Common initial members of the structs of all entries except teams.  */
struct entry
{
  char *name;
  char *team;
};

static void
check_name (struct doc_reader *reader, const char *name, const char *pointer)
{
  if (!doc_field_is_name (name))
    findings_add (reader->findings, pointer,
                  "name must be 1 to %d letters, digits, '.', '_' or '-', "
                  "starting with a letter or digit",
                  DOC_NAME_MAX);
}

static void
read_entry (struct doc_reader *reader, const struct entry_kind *kind,
            const char *team, const char *name, const json_t *json,
            const char *pointer, GArray *array)
{
  struct entry *entry;

  check_name (reader, name, pointer);
  if (!doc_field_object (json, pointer, reader->findings))
    return;
  g_array_set_size (array, array->len + 1);
  entry = (struct entry *)(array->data + (array->len - 1) * kind->size);
  entry->name = g_strdup (name);
  entry->team = g_strdup (team);
  kind->read (reader, json, pointer, entry);
}

static void
read_entries (struct doc_reader *reader, const struct entry_kind *kind,
              const char *team, const json_t *section, const char *pointer,
              GArray *array)
{
  json_t *entries = json_object_get (section, kind->key);
  char *base = doc_field_pointer (pointer, kind->key);
  const char *name;
  json_t *json;

  if (entries != NULL && doc_field_object (entries, base, reader->findings))
    json_object_foreach (entries, name, json)
      {
        char *place = doc_field_pointer (base, name);

        read_entry (reader, kind, team, name, json, place, array);
        g_free (place);
      }
  g_free (base);
}

static void
read_section (struct doc_reader *reader, const char *name, const json_t *json,
              const char *pointer)
{
  struct doc_team team = { 0 };

  check_name (reader, name, pointer);
  if (!doc_field_object (json, pointer, reader->findings))
    return;
  doc_field_read (team_fields, json, pointer, &team, reader->findings);
  team.name = g_strdup (name);
  g_array_append_val (reader->teams, team);
  read_entries (reader, &pool_kind, name, json, pointer, reader->pools);
  read_entries (reader, &model_kind, name, json, pointer, reader->models);
  read_entries (reader, &adapter_kind, name, json, pointer, reader->adapters);
  read_entries (reader, &service_kind, name, json, pointer, reader->services);
}

static void
read_document (struct doc_reader *reader, const json_t *json)
{
  json_t *sections = json_object_get (json, "sections");
  int unused = 0;
  const char *name;
  json_t *section;

  if (!doc_field_object (json, "", reader->findings))
    return;
  doc_field_read (document_fields, json, "", &unused, reader->findings);
  if (sections == NULL
      || !doc_field_object (sections, "/sections", reader->findings))
    return;
  json_object_foreach (sections, name, section)
    {
      char *place = doc_field_pointer ("/sections", name);

      read_section (reader, name, section, place);
      g_free (place);
    }
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (((const struct entry *)a)->name,
                 ((const struct entry *)b)->name);
}

static int
compare_names_and_teams (const void *a, const void *b)
{
  int order = compare_names (a, b);

  if (order != 0)
    return order;
  return strcmp (((const struct entry *)a)->team,
                 ((const struct entry *)b)->team);
}

static char *
entry_place (const struct entry_kind *kind, const struct entry *entry,
             const char *field)
{
  char *section = doc_field_pointer ("/sections", entry->team);
  char *entries = doc_field_pointer (section, kind->key);
  char *place = doc_field_pointer (entries, entry->name);
  char *field_place = field != NULL ? doc_field_pointer (place, field) : NULL;

  g_free (section);
  g_free (entries);
  if (field_place == NULL)
    return place;
  g_free (place);
  return field_place;
}

static void
check_unique (struct doc_reader *reader, const struct entry_kind *kind,
              GArray *array)
{
  for (guint i = 1; i < array->len; i++)
    {
      const char *at = array->data + i * kind->size;
      const struct entry *entry = (const struct entry *)at;
      const struct entry *previous = (const struct entry *)(at - kind->size);
      char *place;

      if (strcmp (entry->name, previous->name) != 0)
        continue;
      place = entry_place (kind, entry, NULL);
      findings_add (reader->findings, place, "name is already used by team %s",
                    previous->team);
      g_free (place);
    }
}

static void
check_pool (struct doc_reader *reader, const struct doc *doc,
            const struct entry_kind *kind, const struct entry *entry,
            const char *name, enum doc_pool_kind expected_kind)
{
  const struct doc_pool *pool = name != NULL ? doc_pool (doc, name) : NULL;
  char *place;

  if (name == NULL || (pool != NULL && pool->kind == expected_kind))
    return;
  place = entry_place (kind, entry, "pool");
  if (pool == NULL)
    findings_add (reader->findings, place, "pool %s does not exist", name);
  else
    findings_add (reader->findings, place, "pool %s must be of kind \"%s\"",
                  name,
                  expected_kind == DOC_POOL_ENGINES ? "engines" : "services");
  g_free (place);
}

static void
check_adapter (struct doc_reader *reader, const struct doc *doc,
               const struct doc_adapter *adapter)
{
  const struct entry *entry = (const struct entry *)adapter;
  char *place;

  if (doc_model (doc, adapter->name) != NULL)
    {
      place = entry_place (&adapter_kind, entry, NULL);
      findings_add (reader->findings, place,
                    "name is already used by a model");
      g_free (place);
    }
  if (adapter->model == NULL || doc_model (doc, adapter->model) != NULL)
    return;
  place = entry_place (&adapter_kind, entry, "model");
  findings_add (reader->findings, place, "model %s does not exist",
                adapter->model);
  g_free (place);
}

/* An adapter has the side effects of its base model.  */
static void
inherit_non_idempotent (const struct doc *doc, struct doc_adapter *adapter)
{
  const struct doc_model *model
      = adapter->model != NULL ? doc_model (doc, adapter->model) : NULL;

  if (model != NULL && model->non_idempotent)
    adapter->non_idempotent = true;
}

static void
check_references (struct doc_reader *reader, const struct doc *doc)
{
  for (size_t i = 0; i < doc->model_count; i++)
    check_pool (reader, doc, &model_kind,
                (const struct entry *)&doc->models[i], doc->models[i].pool,
                DOC_POOL_ENGINES);
  for (size_t i = 0; i < doc->adapter_count; i++)
    {
      check_adapter (reader, doc, &doc->adapters[i]);
      inherit_non_idempotent (doc, &doc->adapters[i]);
    }
  for (size_t i = 0; i < doc->service_count; i++)
    check_pool (reader, doc, &service_kind,
                (const struct entry *)&doc->services[i], doc->services[i].pool,
                DOC_POOL_SERVICES);
}

static void *
steal_sorted (GArray *array, size_t *count,
              int (*compare) (const void *a, const void *b))
{
  *count = array->len;
  if (array->len > 0)
    qsort (array->data, array->len, g_array_get_element_size (array), compare);
  return g_array_free (array, FALSE);
}

static GArray *
array_new (size_t size)
{
  return g_array_new (FALSE, TRUE, (guint)size);
}

struct doc *
doc_read (const json_t *json, struct findings *findings)
{
  struct doc *doc = g_new0 (struct doc, 1);
  struct doc_reader reader = { .findings = findings };

  doc->refs = 1;
  reader.teams = array_new (sizeof (struct doc_team));
  reader.pools = array_new (sizeof (struct doc_pool));
  reader.models = array_new (sizeof (struct doc_model));
  reader.adapters = array_new (sizeof (struct doc_adapter));
  reader.services = array_new (sizeof (struct doc_service));
  read_document (&reader, json);
  g_array_sort (reader.pools, compare_names_and_teams);
  g_array_sort (reader.models, compare_names_and_teams);
  g_array_sort (reader.adapters, compare_names_and_teams);
  g_array_sort (reader.services, compare_names_and_teams);
  check_unique (&reader, &pool_kind, reader.pools);
  check_unique (&reader, &model_kind, reader.models);
  check_unique (&reader, &adapter_kind, reader.adapters);
  check_unique (&reader, &service_kind, reader.services);
  doc->teams = steal_sorted (reader.teams, &doc->team_count, compare_names);
  doc->pools = steal_sorted (reader.pools, &doc->pool_count, compare_names);
  doc->models = steal_sorted (reader.models, &doc->model_count, compare_names);
  doc->adapters
      = steal_sorted (reader.adapters, &doc->adapter_count, compare_names);
  doc->services
      = steal_sorted (reader.services, &doc->service_count, compare_names);
  check_references (&reader, doc);
  return doc;
}

#include "versions.h"

#include <string.h>
#include <glib.h>
#include "ts.h"

struct versions
{
  GHashTable *by_service; /* name to GPtrArray of struct version */
};

struct version
{
  char *software;
  unsigned servers;
  struct timespec gone_at; /* valid while SERVERS is 0 */
};

static void
version_free (gpointer data)
{
  struct version *version = data;

  g_free (version->software);
  g_free (version);
}

static void
unref_array (gpointer array)
{
  g_ptr_array_unref (array);
}

struct versions *
versions_new (void)
{
  struct versions *versions = g_new0 (struct versions, 1);

  versions->by_service
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, unref_array);
  return versions;
}

void
versions_free (struct versions *versions)
{
  if (versions == NULL)
    return;
  g_hash_table_unref (versions->by_service);
  g_free (versions);
}

static struct version *
find_version (const GPtrArray *list, const char *software)
{
  for (guint i = 0; list != NULL && i < list->len; i++)
    {
      struct version *version = g_ptr_array_index (list, i);

      if (strcmp (version->software, software) == 0)
        return version;
    }
  return NULL;
}

/* Created with no servers when first asked for.  */
static struct version *
get_version (struct versions *versions, const char *service,
             const char *software)
{
  GPtrArray *list = g_hash_table_lookup (versions->by_service, service);
  struct version *version;

  if (list == NULL)
    {
      list = g_ptr_array_new_with_free_func (version_free);
      g_hash_table_insert (versions->by_service, g_strdup (service), list);
    }
  version = find_version (list, software);
  if (version == NULL)
    {
      version = g_new0 (struct version, 1);
      version->software = g_strdup (software);
      g_ptr_array_add (list, version);
    }
  return version;
}

void
versions_add (struct versions *versions, const char *service,
              const char *software)
{
  get_version (versions, service, software)->servers++;
}

void
versions_recall (struct versions *versions, const char *service,
                 const char *software, struct timespec now)
{
  get_version (versions, service, software)->gone_at = now;
}

void
versions_remove (struct versions *versions, const char *service,
                 const char *software, struct timespec now)
{
  const GPtrArray *list = g_hash_table_lookup (versions->by_service, service);
  struct version *version = find_version (list, software);

  if (version != NULL && --version->servers == 0)
    version->gone_at = now;
}

static bool
is_forgotten (const struct version *version, struct timespec now)
{
  return version->servers == 0
         && !ts_before (now, ts_add_ms (version->gone_at, VERSIONS_MEMORY_MS));
}

bool
versions_remembers (const struct versions *versions, const char *service,
                    const char *software, struct timespec now)
{
  const GPtrArray *list = g_hash_table_lookup (versions->by_service, service);
  const struct version *version = find_version (list, software);

  return version != NULL && !is_forgotten (version, now);
}

const char *
versions_sole (struct versions *versions, const char *service,
               struct timespec now)
{
  GPtrArray *list = g_hash_table_lookup (versions->by_service, service);

  if (list == NULL)
    return NULL;
  for (guint i = list->len; i > 0; i--)
    if (is_forgotten (g_ptr_array_index (list, i - 1), now))
      g_ptr_array_remove_index_fast (list, i - 1);
  if (list->len != 1)
    return NULL;
  return ((const struct version *)g_ptr_array_index (list, 0))->software;
}

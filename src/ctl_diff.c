#include "ctl_diff.h"

#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include "doc_field.h"

static void
add_difference (json_t *list, const char *place, const json_t *was,
                const json_t *now)
{
  json_t *item = json_pack ("{s:s}", "place", place);

  if (was != NULL)
    json_object_set (item, "was", (json_t *)was);
  if (now != NULL)
    json_object_set (item, "now", (json_t *)now);
  json_array_append_new (list, item);
}

static int
compare_strings (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static void
add_keys (GPtrArray *keys, const json_t *object, const json_t *other)
{
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)object, key, value)
    {
      if (json_object_get (other, key) == NULL)
        g_ptr_array_add (keys, (gpointer)key);
    }
}

/* The keys of both objects, sorted and without duplicates.  */
static GPtrArray *
sorted_keys (const json_t *was, const json_t *now)
{
  GPtrArray *keys = g_ptr_array_new ();

  add_keys (keys, was, NULL);
  add_keys (keys, now, was);
  if (keys->len > 0)
    qsort (keys->pdata, keys->len, sizeof *keys->pdata, compare_strings);
  return keys;
}

/* The recursion depth is limited by the nesting limit of the JSON parser.  */
static void
diff_values (json_t *list, const char *place, const json_t *was,
             const json_t *now)
{
  GPtrArray *keys;

  if (json_equal (was, now))
    return;
  if (!json_is_object (was) || !json_is_object (now))
    {
      add_difference (list, place, was, now);
      return;
    }
  keys = sorted_keys (was, now);
  for (guint i = 0; i < keys->len; i++)
    {
      char *inner = doc_field_pointer (place, keys->pdata[i]);

      diff_values (list, inner, json_object_get (was, keys->pdata[i]),
                   json_object_get (now, keys->pdata[i]));
      g_free (inner);
    }
  g_ptr_array_unref (keys);
}

json_t *
ctl_diff (const json_t *was, const json_t *now)
{
  json_t *list = json_array ();

  diff_values (list, "", was, now);
  return list;
}

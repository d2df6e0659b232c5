#include "leaserow.h"

#include <stdlib.h>
#include <glib.h>
#include <jansson.h>

/* A value that is not a valid lease has no holder; the version of its row
   still counts.  */
static void
seen_parse (struct leaserow *seen, const char *value)
{
  json_t *row = value != NULL ? json_loads (value, 0, NULL) : NULL;
  const json_t *holder = json_object_get (row, "holder");

  g_free (seen->holder);
  seen->holder = g_strdup (json_string_value (holder));
  seen->incarnation
      = (uint64_t)json_integer_value (json_object_get (row, "incarnation"));
  seen->fence = (uint64_t)json_integer_value (json_object_get (row, "fence"));
  seen->released = json_is_true (json_object_get (row, "released"));
  json_decref (row);
}

void
leaserow_observe (struct leaserow *seen, const struct platform_row *row,
                  struct timespec now)
{
  uint64_t version = row != NULL ? row->version : 0;

  if (seen->known && seen->version == version)
    return;
  seen->known = true;
  seen->version = version;
  seen->at = now;
  seen->holder_dead = false;
  seen_parse (seen, row != NULL ? row->value : NULL);
}

char *
leaserow_text (const char *node, uint64_t incarnation, uint64_t fence,
               bool released)
{
  json_t *row = json_pack ("{s:s, s:I, s:I, s:b}", "holder", node,
                           "incarnation", (json_int_t)incarnation, "fence",
                           (json_int_t)fence, "released", released);
  char *text = json_dumps (row, JSON_COMPACT);
  char *copy = g_strdup (text);

  free (text);
  json_decref (row);
  return copy;
}

uint64_t
leaserow_fence (const char *value)
{
  json_t *row = value != NULL ? json_loads (value, 0, NULL) : NULL;
  json_int_t fence = json_integer_value (json_object_get (row, "fence"));

  json_decref (row);
  return fence > 0 ? (uint64_t)fence : 0;
}

#include "leaserow.h"

#include <stdlib.h>
#include <glib.h>
#include <jansson.h>

/* A value that is not a valid lease has no holder; the version of its row
   still counts.  */
static void
parse_value (struct leaserow *leaserow, const char *value)
{
  json_t *row = value != NULL ? json_loads (value, 0, NULL) : NULL;
  const json_t *holder = json_object_get (row, "holder");

  g_free (leaserow->holder);
  leaserow->holder = g_strdup (json_string_value (holder));
  leaserow->incarnation
      = (uint64_t)json_integer_value (json_object_get (row, "incarnation"));
  leaserow->fence
      = (uint64_t)json_integer_value (json_object_get (row, "fence"));
  leaserow->era = (uint64_t)json_integer_value (json_object_get (row, "era"));
  leaserow->released = json_is_true (json_object_get (row, "released"));
  json_decref (row);
}

void
leaserow_observe (struct leaserow *leaserow, const struct platform_row *row,
                  struct timespec now)
{
  uint64_t version = row != NULL ? row->version : 0;

  if (leaserow->known && leaserow->version == version)
    return;
  leaserow->known = true;
  leaserow->version = version;
  leaserow->at = now;
  leaserow->holder_dead = false;
  parse_value (leaserow, row != NULL ? row->value : NULL);
}

char *
leaserow_text (const char *node, uint64_t incarnation, uint64_t fence,
               uint64_t era, bool released)
{
  json_t *row
      = json_pack ("{s:s, s:I, s:I, s:I, s:b}", "holder", node, "incarnation",
                   (json_int_t)incarnation, "fence", (json_int_t)fence, "era",
                   (json_int_t)era, "released", released);
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

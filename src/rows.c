#include "rows.h"

#include <string.h>

const struct platform_row *
rows_find (const struct platform_rows *rows, const char *key)
{
  for (size_t i = 0; rows != NULL && i < rows->count; i++)
    if (strcmp (rows->rows[i].key, key) == 0)
      return &rows->rows[i];
  return NULL;
}

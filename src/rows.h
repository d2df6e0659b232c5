/* rows - lookup in rows read from the platform's table.

   Pure functions, any thread.  */

#ifndef PARSLEYRILL_ROWS_H
#define PARSLEYRILL_ROWS_H

#include "platform.h"

/* Returns the row with KEY, or NULL.  ROWS may be NULL.  */
const struct platform_row *rows_find (const struct platform_rows *rows,
                                      const char *key);

#endif

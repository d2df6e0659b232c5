#include "badrow.h"

#include "log.h"

void
badrow_log (const char *table, const char *key, const char *why)
{
  struct log_line line;

  log_begin (&line, EVENT_BAD_ROW);
  log_str (&line, "table", table);
  log_str (&line, "key", key);
  log_str (&line, "why", why);
  log_end (&line);
}

#include "reject.h"

#include "counter.h"
#include "log.h"

void
reject_log (void *user, enum httpd_reject why, const char *fault)
{
  static const char *const names[]
      = { [HTTPD_REJECT_BODY_TOO_LARGE] = "body too large",
          [HTTPD_REJECT_MALFORMED] = "malformed",
          [HTTPD_REJECT_UNPARSED] = "unparsed" };
  struct log_line line;

  (void)user;
  counter_add (COUNTER_BAD_INPUT, 1);
  log_begin (&line, EVENT_BAD_REQUEST);
  log_str (&line, "why", names[why]);
  if (fault != NULL)
    log_str (&line, "fault", fault);
  log_end (&line);
}

#include "reject.h"

#include <ck_pr.h>
#include <glib.h>
#include "counter.h"
#include "log.h"

#define LINE_INTERVAL_S 1 /* of one kind */

struct kind
{
  const char *name;
  enum counter counter;
};

static const struct kind kinds[] = {
  [HTTPD_REJECT_BODY_TOO_LARGE] = { "body too large", COUNTER_BAD_INPUT },
  [HTTPD_REJECT_MALFORMED] = { "malformed", COUNTER_BAD_INPUT },
  [HTTPD_REJECT_UNPARSED] = { "unparsed", COUNTER_BAD_INPUT },
  [HTTPD_REJECT_BUSY] = { "busy", COUNTER_CLIENTS_BUSY },
  [HTTPD_REJECT_MEMORY] = { "memory", COUNTER_CLIENTS_MEMORY },
  [HTTPD_REJECT_CONNECTIONS] = { "connections", COUNTER_CLIENTS_CONNECTIONS },
  [HTTPD_REJECT_SLOW_HEAD] = { "slow head", COUNTER_CLIENTS_SLOW_HEAD },
  [HTTPD_REJECT_SLOW_BODY] = { "slow body", COUNTER_CLIENTS_SLOW_BODY },
  [HTTPD_REJECT_SLOW_READER] = { "slow reader", COUNTER_CLIENTS_SLOW_READER },
  [HTTPD_REJECT_UNWANTED_BODY]
  = { "unwanted body", COUNTER_CLIENTS_UNWANTED_BODY },
};

static uint64_t unlogged[G_N_ELEMENTS (kinds)];
static uint64_t logged_at_s[G_N_ELEMENTS (kinds)];

static void
log_bad_request (const struct kind *kind, const char *fault)
{
  struct log_line line;

  log_begin (&line, EVENT_BAD_REQUEST);
  log_str (&line, "why", kind->name);
  if (fault != NULL)
    log_str (&line, "fault", fault);
  log_end (&line);
}

/* At most one line a second for each kind: there may be thousands.  */
static void
log_refused_client (enum httpd_reject why)
{
  uint64_t now_s = (uint64_t)(g_get_monotonic_time () / G_USEC_PER_SEC);
  uint64_t last_s = ck_pr_load_64 (&logged_at_s[why]);
  struct log_line line;

  ck_pr_inc_64 (&unlogged[why]);
  if (now_s < last_s + LINE_INTERVAL_S
      || !ck_pr_cas_64 (&logged_at_s[why], last_s, now_s))
    return;
  log_begin (&line, EVENT_CLIENT_REFUSED);
  log_str (&line, "why", kinds[why].name);
  log_int (&line, "count", (int64_t)ck_pr_fas_64 (&unlogged[why], 0));
  log_end (&line);
}

void
reject_log (void *user, enum httpd_reject why, const char *fault)
{
  (void)user;
  counter_add (kinds[why].counter, 1);
  if (kinds[why].counter == COUNTER_BAD_INPUT)
    log_bad_request (&kinds[why], fault);
  else
    log_refused_client (why);
}

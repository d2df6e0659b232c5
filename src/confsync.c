#include "confsync.h"

#include <inttypes.h>
#include <string.h>
#include "backoff.h"
#include "confedit.h"
#include "confpull.h"
#include "rows.h"
#include "ts.h"

#define POLL_MS 1000
#define SLOW_POLL_MS 10000     /* on nodes that are not pollers */
#define SNAPSHOT_DELAY_MS 3000 /* table and peers are tried first */
#define EDIT_TIMEOUT_MS 10000  /* until an unresolved edit fails */
#define RESPONSE_TICK_MS 1000  /* tick while awaiting a response */
#define SCAN_LIMIT 4096

CK_STAILQ_HEAD (confedit_list, confedit);

/* The read of the table that is in flight.  */
enum pending_read
{
  READ_NOTHING,
  READ_VERSION_ROW,
  READ_ROWS,
  READ_HISTORY
};

struct confsync
{
  char *node;
  uint64_t incarnation;
  struct timespec poll;
  int (*check) (void *user, const char *text, size_t length, uint64_t version,
                struct findings *findings);
  void *user;
  GRand *rand;
  bool poller;
  struct confset *set; /* the applied version */
  struct confedit_list edits;
  enum pending_read pending_read;
  bool outdated; /* the table is known to have a higher version */
  bool snapshot_requested;
  unsigned failures;
  uint64_t last_attempt;
  struct timespec started; /* the first tick */
  struct timespec next_tick;
  struct confpull pull;
};

struct confsync *
confsync_new (const struct confsync_options *options)
{
  struct confsync *confsync = g_new0 (struct confsync, 1);

  confsync->node = g_strdup (options->node);
  confsync->incarnation = options->incarnation;
  confsync->poll = ts_or_ms (options->poll, POLL_MS);
  confsync->check = options->check;
  confsync->user = options->user;
  confsync->rand = options->rand;
  confsync->set = confset_new ();
  CK_STAILQ_INIT (&confsync->edits);
  return confsync;
}

void
confsync_free (struct confsync *confsync)
{
  struct confedit *edit;

  if (confsync == NULL)
    return;
  while ((edit = CK_STAILQ_FIRST (&confsync->edits)) != NULL)
    {
      CK_STAILQ_REMOVE_HEAD (&confsync->edits, link);
      confedit_free (edit);
    }
  confset_free (confsync->set);
  confpull_clear (&confsync->pull);
  g_free (confsync->node);
  g_free (confsync);
}

static void
action_release (struct action *action)
{
  struct confsync_action *own = (struct confsync_action *)action;

  g_free (own->text);
  g_free (own->node);
  confupdate_clear (&own->update);
}

static struct confsync_action *
push (enum confsync_action_type type, struct action_list *out)
{
  struct confsync_action *action = action_push (out, sizeof *action, type);

  action->action.release = action_release;
  return action;
}

static void
read_rows (struct confsync *confsync, enum confsync_action_type type,
           struct timespec now, struct action_list *out)
{
  struct confsync_action *action;

  confsync->next_tick = ts_add_ms (now, RESPONSE_TICK_MS);
  if (confsync->pending_read != READ_NOTHING)
    return;
  confsync->pending_read
      = type == CONFSYNC_POLL ? READ_VERSION_ROW : READ_ROWS;
  action = push (type, out);
  action->prefix = CONFSET_ROW;
  action->limit = type == CONFSYNC_POLL ? 1 : SCAN_LIMIT;
}

static void
schedule_poll (struct confsync *confsync, struct timespec now)
{
  double ms = confsync->poller || confsync->set->version == 0
                  ? (double)ts_to_ms (confsync->poll)
                  : SLOW_POLL_MS;

  confsync->next_tick = backoff_jitter (ms, confsync->rand, now);
}

/* Applies SET if it is newer.  Takes ownership of it.  */
static void
apply (struct confsync *confsync, struct confset *set, struct action_list *out)
{
  struct confsync_action *action;

  if (set->version <= confsync->set->version)
    {
      confset_free (set);
      return;
    }
  confset_free (confsync->set);
  confsync->set = set;
  action = push (CONFSYNC_APPLY, out);
  action->version = set->version;
  action->text = confset_document (set);
  push (CONFSYNC_ANNOUNCE, out)->version = set->version;
}

static struct confedit *
current_edit (const struct confsync *confsync)
{
  return CK_STAILQ_FIRST (&confsync->edits);
}

static void
finish_edit (struct confsync *confsync, enum confsync_status status,
             char *text, uint64_t version, struct action_list *out)
{
  struct confedit *edit = current_edit (confsync);
  struct confsync_action *action = push (CONFSYNC_EDIT_DONE, out);

  action->edit = edit->number;
  action->status = status;
  action->text = text;
  action->version = version;
  CK_STAILQ_REMOVE_HEAD (&confsync->edits, link);
  confedit_free (edit);
}

static void
complete_edit (struct confsync *confsync, struct action_list *out)
{
  struct confedit *edit = current_edit (confsync);
  uint64_t version = edit->set->version;
  struct confsync_action *action;

  if (version > confsync->set->version)
    {
      action = push (CONFSYNC_SNAPSHOT_PUT, out);
      action->text = confset_snapshot (edit->set);
      apply (confsync, confset_copy (edit->set), out);
    }
  finish_edit (confsync, CONFSYNC_ACCEPTED, NULL, version, out);
}

static char *
findings_text (const struct findings *findings)
{
  GString *text = g_string_new (NULL);
  const struct finding *finding;

  CK_STAILQ_FOREACH (finding, &findings->list, link)
    {
      g_string_append_printf (text, "%s: %s\n", finding->place, finding->text);
    }
  return g_string_free (text, FALSE);
}

/* 0, or -EINVAL with *REASON, which the caller frees.  */
static int
check_document (struct confsync *confsync, const struct confset *set,
                char **reason)
{
  struct findings findings;
  char *text;
  int error;

  if (confsync->check == NULL)
    return 0;
  findings_init (&findings);
  text = confset_document (set);
  error = confsync->check (confsync->user, text, strlen (text), set->version,
                           &findings);
  if (error < 0)
    *reason = findings_text (&findings);
  findings_clear (&findings);
  g_free (text);
  return error;
}

static void
send_edit (struct confsync *confsync, struct action_list *out)
{
  struct confedit *edit = current_edit (confsync);
  struct confsync_action *action = push (CONFSYNC_TXN, out);

  edit->state = CONFEDIT_WRITING;
  edit->sent = true;
  edit->attempt = ++confsync->last_attempt;
  action->attempt = edit->attempt;
  action->txn.token = edit->token;
  action->txn.checks = &edit->check;
  action->txn.check_count = 1;
  action->txn.writes = edit->writes;
  action->txn.write_count = G_N_ELEMENTS (edit->writes);
}

/* Checks the edit against CURRENT, the content of the table, and sends it.
   Takes ownership of CURRENT.  */
static void
check_edit (struct confsync *confsync, struct confset *current,
            uint64_t row_version, struct action_list *out)
{
  struct confedit *edit = current_edit (confsync);
  const struct confsync_section *section = confset_find (current, edit->team);
  uint64_t base = section != NULL ? section->version : 0;
  char *reason = NULL;

  confedit_reset (edit);
  edit->set = current;
  if (base != edit->base)
    {
      reason = g_strdup (section != NULL ? section->text : NULL);
      finish_edit (confsync, CONFSYNC_CONFLICT, reason, base, out);
      return;
    }
  if (section != NULL && edit->text != NULL
      && confset_same_section (section->text, edit->text))
    {
      finish_edit (confsync, CONFSYNC_ACCEPTED, NULL, current->version, out);
      return;
    }
  current->version++;
  confset_put (current, edit->team, edit->text, current->version);
  if (check_document (confsync, current, &reason) < 0)
    {
      finish_edit (confsync, CONFSYNC_INVALID, reason, 0, out);
      return;
    }
  confedit_prepare (edit, row_version,
                    g_strdup_printf ("config/%s/%" PRIu64 "/%" PRIu64,
                                     confsync->node, confsync->incarnation,
                                     ++confsync->last_attempt));
  send_edit (confsync, out);
}

static void
read_history (struct confsync *confsync, struct timespec now,
              struct action_list *out)
{
  struct confedit *edit = current_edit (confsync);
  struct confsync_action *action;

  confsync->next_tick = ts_add_ms (now, RESPONSE_TICK_MS);
  if (confsync->pending_read != READ_NOTHING)
    return;
  confsync->pending_read = READ_HISTORY;
  action = push (CONFSYNC_SCAN, out);
  action->prefix = edit->history_key;
  action->limit = 1;
}

static void
continue_edit (struct confsync *confsync, struct timespec now,
               struct action_list *out)
{
  struct confedit *edit = current_edit (confsync);
  struct timespec limit = ts_add_ms (edit->started_at, EDIT_TIMEOUT_MS);

  confsync->next_tick = ts_add_ms (now, RESPONSE_TICK_MS);
  if (!ts_before (now, limit) && edit->state != CONFEDIT_WRITING)
    finish_edit (confsync,
                 edit->in_doubt ? CONFSYNC_IN_DOUBT : CONFSYNC_UNAVAILABLE,
                 NULL, 0, out);
  else if (edit->state == CONFEDIT_READING)
    read_rows (confsync, CONFSYNC_SCAN, now, out);
  else if (edit->state == CONFEDIT_VERIFYING)
    read_history (confsync, now, out);
}

static void
request_snapshot (struct confsync *confsync, struct timespec now,
                  struct action_list *out)
{
  if (confsync->snapshot_requested || confsync->set->version > 0
      || ts_before (now, ts_add_ms (confsync->started, SNAPSHOT_DELAY_MS)))
    return;
  confsync->snapshot_requested = true;
  push (CONFSYNC_SNAPSHOT_GET, out);
}

static void
request_update (struct confsync *confsync, const char *node, uint64_t since,
                struct timespec now, struct action_list *out)
{
  struct confsync_action *action = push (CONFSYNC_REQUEST, out);

  action->node = g_strdup (node);
  action->version = since;
  confpull_delay (&confsync->pull, ts_add_ms (now, CONFPULL_INTERVAL_MS));
}

static void
retry_request (struct confsync *confsync, struct timespec now,
               struct action_list *out)
{
  const char *node
      = confpull_due (&confsync->pull, confsync->set->version, now);

  if (node != NULL)
    request_update (confsync, node, confsync->set->version, now, out);
}

void
confsync_tick (struct confsync *confsync, struct timespec now,
               struct action_list *out)
{
  if (ts_is_zero (confsync->started))
    confsync->started = now;
  retry_request (confsync, now, out);
  if (ts_before (now, confsync->next_tick))
    return;
  if (confsync->failures > 0)
    request_snapshot (confsync, now, out);
  if (current_edit (confsync) != NULL)
    continue_edit (confsync, now, out);
  else
    read_rows (confsync, confsync->outdated ? CONFSYNC_SCAN : CONFSYNC_POLL,
               now, out);
}

struct timespec
confsync_next_tick (const struct confsync *confsync)
{
  struct timespec request_at;

  if (confpull_next_due (&confsync->pull, confsync->set->version, &request_at))
    return ts_min (confsync->next_tick, request_at);
  return confsync->next_tick;
}

void
confsync_set_poller (struct confsync *confsync, bool poller)
{
  confsync->poller = poller;
}

static bool
read_failed (struct confsync *confsync, enum platform_status status,
             struct timespec now)
{
  confsync->pending_read = READ_NOTHING;
  if (status == PLATFORM_OK || status == PLATFORM_NOT_FOUND)
    {
      confsync->failures = 0;
      return false;
    }
  confsync->next_tick
      = backoff_retry_at (confsync->failures++, confsync->rand, now);
  return true;
}

/* An edit that arrived during the read is processed at once.  */
static void
schedule_after_read (struct confsync *confsync, struct timespec now)
{
  schedule_poll (confsync, now);
  if (confsync->outdated || current_edit (confsync) != NULL)
    confsync->next_tick = now;
}

void
confsync_polled (struct confsync *confsync, enum platform_status status,
                 const struct platform_rows *rows, struct timespec now,
                 struct action_list *out)
{
  const struct platform_row *version_row = rows_find (rows, CONFSET_ROW);

  if (read_failed (confsync, status, now))
    return;
  confsync->outdated
      = version_row != NULL
        && confset_row_version (version_row->value) > confsync->set->version;
  schedule_after_read (confsync, now);
  if (confsync->outdated && current_edit (confsync) == NULL)
    read_rows (confsync, CONFSYNC_SCAN, now, out);
}

/* Continues the current edit, whose outcome is unknown, by its history row:
   resends it, completes it, or starts it again if another edit was first.  */
static void
resolve_edit (struct confsync *confsync, const struct platform_rows *rows,
              struct timespec now, struct action_list *out)
{
  struct confedit *edit = current_edit (confsync);
  const struct platform_row *row = NULL;

  schedule_after_read (confsync, now);
  if (edit == NULL || edit->state != CONFEDIT_VERIFYING)
    return;
  row = rows_find (rows, edit->history_key);
  if (row == NULL)
    send_edit (confsync, out);
  else if (g_strcmp0 (row->token, edit->token) == 0)
    complete_edit (confsync, out);
  else
    {
      confedit_reset (edit);
      edit->state = CONFEDIT_READING;
    }
}

/* Applies the rows of a scan, and continues the edit that waited for it.  */
static void
apply_rows (struct confsync *confsync, const struct platform_rows *rows,
            struct timespec now, struct action_list *out)
{
  const struct platform_row *version_row = rows_find (rows, CONFSET_ROW);
  struct confedit *edit = current_edit (confsync);
  struct confset *set = confset_from_rows (rows);

  if (set == NULL)
    {
      confsync->next_tick
          = backoff_retry_at (confsync->failures++, confsync->rand, now);
      return;
    }
  confsync->outdated = false;
  if (edit != NULL && edit->state == CONFEDIT_READING)
    {
      apply (confsync, confset_copy (set), out);
      check_edit (confsync, set,
                  version_row != NULL ? version_row->version : 0, out);
    }
  else
    apply (confsync, set, out);
  schedule_after_read (confsync, now);
}

void
confsync_scanned (struct confsync *confsync, enum platform_status status,
                  const struct platform_rows *rows, struct timespec now,
                  struct action_list *out)
{
  static const struct platform_rows no_rows;
  const struct confedit *edit = current_edit (confsync);
  enum pending_read pending_read = confsync->pending_read;

  if (read_failed (confsync, status, now))
    {
      if (edit != NULL && !edit->in_doubt && edit->state == CONFEDIT_READING)
        finish_edit (confsync, CONFSYNC_UNAVAILABLE, NULL, 0, out);
      return;
    }
  if (rows == NULL)
    rows = &no_rows;
  if (pending_read == READ_HISTORY)
    resolve_edit (confsync, rows, now, out);
  else
    apply_rows (confsync, rows, now, out);
}

void
confsync_txn_done (struct confsync *confsync, uint64_t attempt,
                   enum platform_status status,
                   const struct platform_rows *rows, struct timespec now,
                   struct action_list *out)
{
  struct confedit *edit = current_edit (confsync);

  (void)rows;
  if (edit == NULL || edit->state != CONFEDIT_WRITING
      || edit->attempt != attempt)
    return;
  confsync->next_tick = now;
  if (status == PLATFORM_OK)
    complete_edit (confsync, out);
  else if (status == PLATFORM_REFUSED && !edit->in_doubt)
    finish_edit (confsync, CONFSYNC_UNAVAILABLE, NULL, 0, out);
  else
    {
      edit->state = CONFEDIT_VERIFYING;
      edit->in_doubt = true;
      if (status != PLATFORM_CONFLICT)
        confsync->next_tick
            = backoff_retry_at (confsync->failures++, confsync->rand, now);
    }
}

void
confsync_snapshot_read (struct confsync *confsync, const char *bytes,
                        size_t length, struct timespec now,
                        struct action_list *out)
{
  struct confset *set
      = bytes != NULL ? confset_from_snapshot (bytes, length) : NULL;

  (void)now;
  if (set != NULL)
    apply (confsync, set, out);
}

void
confsync_peer_version (struct confsync *confsync, const char *node,
                       uint64_t version, struct timespec now,
                       struct action_list *out)
{
  if (confpull_offered (&confsync->pull, node, version, confsync->set->version,
                        now))
    request_update (confsync, node, confsync->set->version, now, out);
}

void
confsync_peer_request (struct confsync *confsync, const char *node,
                       uint64_t since, struct action_list *out)
{
  const struct confset *set = confsync->set;
  struct confsync_action *action;

  if (set->version <= since)
    return;
  action = push (CONFSYNC_SEND_UPDATE, out);
  action->node = g_strdup (node);
  confupdate_make (&action->update, set, since);
}

void
confsync_peer_update (struct confsync *confsync, const char *node,
                      const struct confupdate *update, struct timespec now,
                      struct action_list *out)
{
  struct confset *set;

  if (update->version <= confsync->set->version)
    return;
  set = confupdate_apply (confsync->set, update);
  if (set != NULL)
    apply (confsync, set, out);
  else if (update->since != 0)
    request_update (confsync, node, 0, now, out);
}

void
confsync_edit (struct confsync *confsync, uint64_t edit, const char *team,
               const char *text, uint64_t base, struct timespec now,
               struct action_list *out)
{
  struct confedit *new = g_new0 (struct confedit, 1);

  new->number = edit;
  new->team = g_strdup (team);
  new->text = g_strdup (text);
  new->base = base;
  new->started_at = now;
  CK_STAILQ_INSERT_TAIL (&confsync->edits, new, link);
  if (current_edit (confsync) == new)
    read_rows (confsync, CONFSYNC_SCAN, now, out);
}

uint64_t
confsync_version (const struct confsync *confsync)
{
  return confsync->set->version;
}

const struct confsync_section *
confsync_section (const struct confsync *confsync, const char *team)
{
  return confset_find (confsync->set, team);
}

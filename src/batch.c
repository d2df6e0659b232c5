#include "batch.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include "ts.h"

TAILQ_HEAD (write_list, batch_write);
TAILQ_HEAD (txn_list, batch_txn);

struct batch_txn
{
  TAILQ_ENTRY (batch_txn) link;
  char *token;
  struct write_list writes;
  size_t count;
  bool sent;             /* awaiting the result */
  bool may_have_applied; /* an earlier transmission may have taken effect */
  unsigned tries;
  struct timespec resend_at;
};

struct batch
{
  char *name;
  const struct batch_ops *ops;
  void *user;
  int action_type;
  uint64_t next_token;
  struct write_list pending;
  size_t pending_count;
  struct txn_list txns;
  unsigned txn_count;
  unsigned failures;          /* consecutive */
  struct timespec retry_at;   /* back-off after a failure */
  struct timespec next_start; /* not before, unless a transaction is full */
};

struct batch *
batch_new (const struct batch_options *options)
{
  struct batch *batch = g_new0 (struct batch, 1);

  batch->name = g_strdup (options->name);
  batch->ops = options->ops;
  batch->user = options->user;
  batch->action_type = options->action_type;
  TAILQ_INIT (&batch->pending);
  TAILQ_INIT (&batch->txns);
  return batch;
}

static void
txn_free (struct batch *batch, struct batch_txn *txn)
{
  TAILQ_REMOVE (&batch->txns, txn, link);
  batch->txn_count--;
  g_free (txn->token);
  g_free (txn);
}

struct batch_write *
batch_detach_any (struct batch *batch)
{
  struct batch_write *write = TAILQ_FIRST (&batch->pending);
  struct batch_txn *txn;

  if (write != NULL)
    {
      TAILQ_REMOVE (&batch->pending, write, link);
      batch->pending_count--;
      return write;
    }
  TAILQ_FOREACH (txn, &batch->txns, link)
    {
      write = TAILQ_FIRST (&txn->writes);
      if (write == NULL)
        continue;
      TAILQ_REMOVE (&txn->writes, write, link);
      return write;
    }
  return NULL;
}

void
batch_free (struct batch *batch)
{
  struct batch_txn *txn;

  if (batch == NULL)
    return;
  while ((txn = TAILQ_FIRST (&batch->txns)) != NULL)
    txn_free (batch, txn);
  g_free (batch->name);
  g_free (batch);
}

void
batch_add (struct batch *batch, struct batch_write *write, struct timespec now)
{
  write->since = now;
  write->txn = NULL;
  write->may_have_applied = false;
  TAILQ_INSERT_TAIL (&batch->pending, write, link);
  batch->pending_count++;
}

bool
batch_cancel (struct batch *batch, struct batch_write *write)
{
  if (write->txn != NULL || write->may_have_applied)
    return false;
  TAILQ_REMOVE (&batch->pending, write, link);
  batch->pending_count--;
  return true;
}

/* Returns the writes of TXN to the front of the pending list, in their
   original order.  */
static void
requeue (struct batch *batch, struct batch_txn *txn)
{
  struct batch_write *write;

  while ((write = TAILQ_LAST (&txn->writes, write_list)) != NULL)
    {
      TAILQ_REMOVE (&txn->writes, write, link);
      write->txn = NULL;
      write->may_have_applied |= txn->may_have_applied;
      TAILQ_INSERT_HEAD (&batch->pending, write, link);
      batch->pending_count++;
    }
}

static struct timespec
resend_time (struct timespec now, unsigned tries)
{
  int64_t ms = BATCH_RESEND_MS;

  for (unsigned i = 1; i < tries && ms < BATCH_RESEND_MAX_MS; i++)
    ms *= 2;
  return ts_add_ms (now, MIN (ms, BATCH_RESEND_MAX_MS));
}

static void
action_release (struct action *action)
{
  struct platform_txn *txn = &((struct batch_action *)action)->txn;

  for (size_t i = 0; i < txn->check_count; i++)
    g_free ((char *)txn->checks[i].key);
  for (size_t i = 0; i < txn->write_count; i++)
    {
      g_free ((char *)txn->writes[i].key);
      g_free ((char *)txn->writes[i].value);
    }
  g_free ((char *)txn->token);
  g_free ((void *)txn->checks);
  g_free ((void *)txn->writes);
}

static void
send_txn (struct batch *batch, struct batch_txn *txn,
          struct action_list *actions)
{
  struct batch_action *action
      = action_push (actions, sizeof *action, batch->action_type);
  struct platform_check *checks = g_new0 (struct platform_check, txn->count);
  struct platform_write *writes = g_new0 (struct platform_write, txn->count);
  const struct batch_write *write;
  size_t i = 0;

  TAILQ_FOREACH (write, &txn->writes, link)
    {
      checks[i].key = g_strdup (write->row);
      checks[i].version = write->version;
      writes[i].key = g_strdup (write->row);
      writes[i].value = g_strdup (write->value);
      i++;
    }
  action->action.release = action_release;
  action->txn = (struct platform_txn){ .token = g_strdup (txn->token),
                                       .checks = checks,
                                       .check_count = i,
                                       .writes = writes,
                                       .write_count = i };
  txn->sent = true;
}

static void
start_txn (struct batch *batch, struct timespec now,
           struct action_list *actions)
{
  struct batch_txn *txn = g_new0 (struct batch_txn, 1);
  struct batch_write *write;

  txn->token
      = g_strdup_printf ("%s-%" PRIu64, batch->name, ++batch->next_token);
  TAILQ_INIT (&txn->writes);
  while (txn->count < BATCH_ROWS
         && (write = TAILQ_FIRST (&batch->pending)) != NULL)
    {
      TAILQ_REMOVE (&batch->pending, write, link);
      batch->pending_count--;
      TAILQ_INSERT_TAIL (&txn->writes, write, link);
      write->txn = txn;
      txn->count++;
    }
  TAILQ_INSERT_TAIL (&batch->txns, txn, link);
  batch->txn_count++;
  batch->next_start = ts_add_ms (now, BATCH_INTERVAL_MS);
  send_txn (batch, txn, actions);
}

/* Sets *AT to the time at which the next transaction may start.  False
   when there is nothing to send or too many are in progress.  */
static bool
start_time (const struct batch *batch, struct timespec *at)
{
  if (batch->pending_count == 0 || batch->txn_count >= BATCH_TXNS_MAX)
    return false;
  *at = batch->retry_at;
  if (batch->pending_count < BATCH_ROWS)
    {
      struct timespec since = TAILQ_FIRST (&batch->pending)->since;

      *at = ts_max (*at, ts_add_ms (since, BATCH_LINGER_MS));
      *at = ts_max (*at, batch->next_start);
    }
  return true;
}

void
batch_tick (struct batch *batch, struct timespec now,
            struct action_list *actions)
{
  struct batch_txn *txn;
  struct timespec at;

  TAILQ_FOREACH (txn, &batch->txns, link)
    {
      if (!txn->sent && !ts_before (now, txn->resend_at))
        send_txn (batch, txn, actions);
    }
  while (start_time (batch, &at) && !ts_before (now, at))
    start_txn (batch, now, actions);
}

bool
batch_next (const struct batch *batch, struct timespec *at)
{
  const struct batch_txn *txn;
  bool any = start_time (batch, at);

  TAILQ_FOREACH (txn, &batch->txns, link)
    {
      if (txn->sent)
        continue;
      *at = any ? ts_min (*at, txn->resend_at) : txn->resend_at;
      any = true;
    }
  return any;
}

static const struct platform_row *
find_row (const struct platform_rows *rows, const char *key)
{
  for (size_t i = 0; rows != NULL && i < rows->count; i++)
    if (strcmp (rows->rows[i].key, key) == 0)
      return &rows->rows[i];
  return NULL;
}

static void
settle (struct batch *batch, struct batch_txn *txn, struct batch_write *write,
        bool done, const struct platform_row *row, struct timespec now,
        struct action_list *actions)
{
  TAILQ_REMOVE (&txn->writes, write, link);
  write->txn = NULL;
  batch->ops->settled (batch->user, write, done, row, now, actions);
}

static void
handle_commit (struct batch *batch, struct batch_txn *txn, struct timespec now,
               struct action_list *actions)
{
  struct batch_write *write;

  batch->failures = 0;
  while ((write = TAILQ_FIRST (&txn->writes)) != NULL)
    settle (batch, txn, write, true, NULL, now, actions);
  txn_free (batch, txn);
}

static void
back_off (struct batch *batch, struct timespec now)
{
  batch->failures++;
  batch->retry_at = resend_time (now, batch->failures);
}

/* Settles the conflicting writes and requeues the others.  The others are
   requeued first because callbacks may add writes.  */
static void
handle_conflict (struct batch *batch, struct batch_txn *txn,
                 const struct platform_rows *rows, struct timespec now,
                 struct action_list *actions)
{
  struct write_list conflicting;
  struct batch_write *write;
  struct batch_write *next;

  TAILQ_INIT (&conflicting);
  for (write = TAILQ_FIRST (&txn->writes); write != NULL; write = next)
    {
      next = TAILQ_NEXT (write, link);
      if (find_row (rows, write->row) == NULL)
        continue;
      TAILQ_REMOVE (&txn->writes, write, link);
      TAILQ_INSERT_TAIL (&conflicting, write, link);
    }
  if (TAILQ_EMPTY (&conflicting))
    back_off (batch, now);
  requeue (batch, txn);
  TAILQ_CONCAT (&txn->writes, &conflicting, link);
  while ((write = TAILQ_FIRST (&txn->writes)) != NULL)
    settle (batch, txn, write, false, find_row (rows, write->row), now,
            actions);
  txn_free (batch, txn);
}

static struct batch_txn *
find_txn (struct batch *batch, const char *token)
{
  struct batch_txn *txn;

  TAILQ_FOREACH (txn, &batch->txns, link)
    {
      if (strcmp (txn->token, token) == 0)
        return txn;
    }
  return NULL;
}

void
batch_done (struct batch *batch, const char *token,
            enum platform_status status, const struct platform_rows *rows,
            struct timespec now, struct action_list *actions)
{
  struct batch_txn *txn = find_txn (batch, token);

  if (txn == NULL)
    return;
  txn->sent = false;
  txn->may_have_applied |= status == PLATFORM_UNKNOWN;
  if (status == PLATFORM_OK)
    handle_commit (batch, txn, now, actions);
  else if (status == PLATFORM_CONFLICT)
    handle_conflict (batch, txn, rows, now, actions);
  else if (txn->may_have_applied)
    txn->resend_at = resend_time (now, ++txn->tries);
  else
    {
      back_off (batch, now);
      requeue (batch, txn);
      txn_free (batch, txn);
    }
}

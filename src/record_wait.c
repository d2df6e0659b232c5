#include "record_wait.h"

#include "ts.h"

static guint
waiter_hash (gconstpointer pointer)
{
  const struct record_waiter *waiter = pointer;

  return (guint)(waiter->request * 31 + waiter->thread);
}

static gboolean
waiter_equal (gconstpointer a, gconstpointer b)
{
  const struct record_waiter *x = a;
  const struct record_waiter *y = b;

  return x->request == y->request && x->thread == y->thread;
}

void
record_wait_init (struct record_wait *wait)
{
  wait->waiters
      = g_hash_table_new_full (waiter_hash, waiter_equal, g_free, NULL);
  deadlines_init (&wait->due);
}

void
record_wait_clear (struct record_wait *wait)
{
  g_hash_table_destroy (wait->waiters);
  deadlines_clear (&wait->due);
}

static void
set_table_timeout (struct record_wait *wait, struct record_waiter *waiter,
                   struct timespec now)
{
  struct timespec at = ts_add_ms (now, RECORD_BEGIN_TIMEOUT_MS);

  deadlines_set (&wait->due, &waiter->due, ts_min (waiter->deadline, at));
}

void
record_wait_add (struct record_wait *wait, struct record_waiters *list,
                 const struct record_request *request, struct timespec now)
{
  struct record_waiter *waiter = g_new0 (struct record_waiter, 1);

  waiter->list = list;
  waiter->entry = list->entry;
  waiter->thread = request->thread;
  waiter->request = request->request;
  waiter->fingerprint = request->fingerprint;
  waiter->deadline = request->deadline;
  TAILQ_INSERT_TAIL (&list->list, waiter, link);
  g_hash_table_add (wait->waiters, waiter);
  set_table_timeout (wait, waiter, now);
}

struct record_waiter *
record_wait_find (const struct record_wait *wait, unsigned thread,
                  uint64_t request)
{
  struct record_waiter key = { .thread = thread, .request = request };

  return g_hash_table_lookup (wait->waiters, &key);
}

static void
detach (struct record_wait *wait, struct record_waiter *waiter)
{
  deadlines_remove (&wait->due, &waiter->due);
  if (waiter->list != NULL)
    TAILQ_REMOVE (&waiter->list->list, waiter, link);
}

void
record_wait_grant (struct record_wait *wait, struct record_waiter *waiter,
                   struct timespec now, struct action_list *actions)
{
  struct record_action_verdict *verdict = record_push_verdict (
      actions, waiter->thread, waiter->request, MSG_VERDICT_RUN);

  verdict->claim_until
      = ts_min (waiter->deadline, ts_add_ms (now, RECORD_CLAIM_VALID_MS));
  detach (wait, waiter);
  waiter->list = NULL;
}

void
record_wait_remove (struct record_wait *wait, struct record_waiter *waiter)
{
  detach (wait, waiter);
  g_hash_table_remove (wait->waiters, waiter);
}

void
record_wait_use_table_timeout (struct record_wait *wait,
                               struct record_waiters *list,
                               struct timespec now)
{
  struct record_waiter *waiter = TAILQ_FIRST (&list->list);

  for (; waiter != NULL; waiter = TAILQ_NEXT (waiter, link))
    set_table_timeout (wait, waiter, now);
}

void
record_wait_use_deadlines (struct record_wait *wait,
                           struct record_waiters *list)
{
  struct record_waiter *waiter = TAILQ_FIRST (&list->list);

  for (; waiter != NULL; waiter = TAILQ_NEXT (waiter, link))
    deadlines_set (&wait->due, &waiter->due, waiter->deadline);
}

void
record_wait_reply (struct record_wait *wait, struct record_waiter *waiter,
                   enum msg_verdict verdict, struct action_list *actions)
{
  record_push_verdict (actions, waiter->thread, waiter->request, verdict);
  record_wait_remove (wait, waiter);
}

void
record_wait_reply_all (struct record_wait *wait, struct record_waiters *list,
                       enum msg_verdict verdict, struct action_list *actions)
{
  struct record_waiter *waiter;

  while ((waiter = TAILQ_FIRST (&list->list)) != NULL)
    record_wait_reply (wait, waiter, verdict, actions);
}

void
record_wait_reply_mismatched (struct record_wait *wait,
                              struct record_waiters *list,
                              uint64_t fingerprint,
                              struct action_list *actions)
{
  struct record_waiter *waiter;
  struct record_waiter *next;

  for (waiter = TAILQ_FIRST (&list->list); waiter != NULL; waiter = next)
    {
      next = TAILQ_NEXT (waiter, link);
      if (waiter->fingerprint != fingerprint)
        record_wait_reply (wait, waiter, MSG_VERDICT_KEY_MISMATCH, actions);
    }
}

void
record_wait_reply_recorded (struct record_wait *wait,
                            struct record_waiters *list,
                            const struct record_row *row, const void *body,
                            size_t length, struct action_list *actions)
{
  struct record_waiter *waiter;

  while ((waiter = TAILQ_FIRST (&list->list)) != NULL)
    {
      struct record_action_verdict *verdict = record_push_verdict (
          actions, waiter->thread, waiter->request, MSG_VERDICT_RECORDED);

      verdict->status = row->status;
      verdict->content_type = g_strdup (row->content_type);
      verdict->body = g_memdup2 (body, length);
      verdict->length = length;
      record_wait_remove (wait, waiter);
    }
}

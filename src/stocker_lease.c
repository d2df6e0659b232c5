#include <string.h>
#include "log.h"
#include "stocker_state.h"

static void
log_lease (const struct stocker *stocker, enum log_event event, uint64_t fence)
{
  struct log_line line;

  (void)stocker;
  log_begin (&line, event);
  log_str (&line, "cell", STOCKER_CELL);
  log_int (&line, "fence", (int64_t)fence);
  log_end (&line);
}

static void
lease_won (struct stocker *stocker, uint64_t fence)
{
  log_lease (stocker, EVENT_LEASE_WON, fence);
  stocker->deciding = true;
  stocker->tenure++;
  spread_out_free (stocker->out);
  stocker->out = spread_out_new (STOCKER_CELL, fence);
  stocker_tick_soon (stocker);
  listing_ask_store (stocker->listing);
  if (listing_site (stocker->listing) != NULL)
    stocker_configure (stocker, listing_site (stocker->listing));
}

static void
lease_gone (struct stocker *stocker, uint64_t fence)
{
  if (!stocker->deciding)
    return;
  log_lease (stocker, EVENT_LEASE_LOST, fence);
  stocker->deciding = false;
  g_hash_table_remove_all (stocker->stocks);
}

static const struct platform_row *
own_row (const struct platform_rows *rows)
{
  for (size_t i = 0; rows != NULL && i < rows->count; i++)
    if (strcmp (rows->rows[i].key, "cell/" STOCKER_CELL) == 0)
      return &rows->rows[i];
  return NULL;
}

static void
on_lease_row (void *user, enum platform_status status,
              const struct platform_rows *rows)
{
  struct stocker *stocker = user;
  struct action_list list;

  action_list_init (&list);
  lease_row (stocker->lease, status, own_row (rows), stocker_now (stocker),
             &list);
  stocker_run_lease (stocker, &list);
  stocker_rank (stocker);
  stocker_set_timer (stocker);
}

static void
on_lease_txn (void *user, enum platform_status status,
              const struct platform_rows *rows)
{
  struct errand *errand = user;
  struct stocker *stocker = errand->stocker;
  struct action_list list;

  action_list_init (&list);
  lease_txn_done (stocker->lease, errand->attempt, status, own_row (rows),
                  stocker_now (stocker), &list);
  stocker_run_lease (stocker, &list);
  stocker_set_timer (stocker);
  stocker_errand_free (errand);
}

static void
send_txn (struct stocker *stocker, const struct lease_action *action)
{
  struct platform *platform = stocker->core->platform;
  struct errand *errand = stocker_errand (stocker, NULL, NULL);
  struct platform_txn_cb cb = { .done = on_lease_txn, .user = errand };

  errand->attempt = action->attempt;
  platform->ops->txn (platform, &action->txn, cb);
}

static void
run_lease_action (struct stocker *stocker, const struct lease_action *action)
{
  struct platform *platform = stocker->core->platform;
  struct platform_rows_cb read = { .done = on_lease_row, .user = stocker };
  struct peer_msg handover
      = { .type = PEER_HANDOVER, .cell = (char *)STOCKER_CELL };

  switch ((enum lease_action_type)action->action.type)
    {
    case LEASE_READ:
      platform->ops->scan (platform, action->key, 1, read);
      break;
    case LEASE_TXN:
      send_txn (stocker, action);
      break;
    case LEASE_WON:
      lease_won (stocker, action->fence);
      break;
    case LEASE_RENEWED:
      break;
    case LEASE_LOST:
      lease_gone (stocker, action->fence);
      break;
    case LEASE_RELEASED:
      lease_gone (stocker, action->fence);
      links_broadcast (stocker->links, &handover);
      break;
    }
}

void
stocker_run_lease (struct stocker *stocker, struct action_list *list)
{
  struct action *next;

  while ((next = action_pop (list)) != NULL)
    {
      run_lease_action (stocker, (struct lease_action *)next);
      action_free (next);
    }
}

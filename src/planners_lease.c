#include <string.h>
#include "counter.h"
#include "log.h"
#include "planners_state.h"

static void
log_lease (const struct planners *planners, enum log_event event,
           uint64_t fence)
{
  struct log_line line;

  (void)planners;
  log_begin (&line, event);
  log_str (&line, "cell", PLANNERS_CELL);
  log_int (&line, "fence", (int64_t)fence);
  log_end (&line);
}

static void
lease_won (struct planners *planners, uint64_t fence)
{
  log_lease (planners, EVENT_LEASE_WON, fence);
  planners->deciding = true;
  planners->term++;
  replica_sender_free (planners->out);
  planners->out = replica_sender_new (PLANNERS_CELL, fence);
  planners->compared_at = (struct timespec){ 0 };
  planners_tick_soon (planners);
  listing_start_publishing (planners->listing);
  if (listing_site (planners->listing) != NULL)
    planners_configure (planners, listing_site (planners->listing));
}

static void
lease_lost (struct planners *planners, uint64_t fence)
{
  if (!planners->deciding)
    return;
  log_lease (planners, EVENT_LEASE_LOST, fence);
  planners->deciding = false;
  counter_set (COUNTER_SHORT_MODELS, 0);
  listing_stop_publishing (planners->listing);
  g_hash_table_remove_all (planners->by_service);
}

static const struct platform_row *
find_lease_row (const struct platform_rows *rows)
{
  for (size_t i = 0; rows != NULL && i < rows->count; i++)
    if (strcmp (rows->rows[i].key, "cell/" PLANNERS_CELL) == 0)
      return &rows->rows[i];
  return NULL;
}

static void
on_lease_row (void *user, enum platform_status status,
              const struct platform_rows *rows)
{
  struct planners *planners = user;
  struct action_list list;

  action_list_init (&list);
  lease_set_era (planners->lease, planners->core->platform->era,
                 planners_now (planners), &list);
  lease_row (planners->lease, status, find_lease_row (rows),
             planners_now (planners), &list);
  planners_run_lease (planners, &list);
  planners_rank (planners);
  planners_set_timer (planners);
}

static void
on_lease_txn (void *user, enum platform_status status,
              const struct platform_rows *rows)
{
  struct rpc *rpc = user;
  struct planners *planners = rpc->planners;
  struct action_list list;

  action_list_init (&list);
  lease_set_era (planners->lease, planners->core->platform->era,
                 planners_now (planners), &list);
  lease_txn_done (planners->lease, rpc->attempt, status, find_lease_row (rows),
                  planners_now (planners), &list);
  planners_run_lease (planners, &list);
  planners_set_timer (planners);
  planners_rpc_free (rpc);
}

static void
send_txn (struct planners *planners, const struct lease_action *action)
{
  struct platform *platform = planners->core->platform;
  struct rpc *rpc = planners_rpc_new (planners, NULL, NULL);
  struct platform_txn_cb cb = { .done = on_lease_txn, .user = rpc };

  rpc->attempt = action->attempt;
  platform->ops->txn (platform, &action->txn, cb);
}

static void
run_lease_action (struct planners *planners, const struct lease_action *action)
{
  struct platform *platform = planners->core->platform;
  struct platform_rows_cb read = { .done = on_lease_row, .user = planners };
  struct peer_msg handover
      = { .type = PEER_HANDOVER, .cell = (char *)PLANNERS_CELL };

  switch ((enum lease_action_type)action->action.type)
    {
    case LEASE_READ:
      platform->ops->scan (platform, action->key, 1, read);
      break;
    case LEASE_TXN:
      send_txn (planners, action);
      break;
    case LEASE_WON:
      lease_won (planners, action->fence);
      break;
    case LEASE_RENEWED:
      break;
    case LEASE_LOST:
      lease_lost (planners, action->fence);
      break;
    case LEASE_RELEASED:
      lease_lost (planners, action->fence);
      links_broadcast (planners->links, &handover);
      break;
    }
}

void
planners_run_lease (struct planners *planners, struct action_list *list)
{
  struct action *next;

  while ((next = action_pop (list)) != NULL)
    {
      run_lease_action (planners, (struct lease_action *)next);
      action_free (next);
    }
}

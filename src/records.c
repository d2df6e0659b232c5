#include "records.h"

#include <string.h>
#include <glib.h>
#include "core.h"
#include "inbox.h"
#include "links.h"
#include "msg.h"
#include "record.h"
#include "ts.h"

struct records
{
  struct service service;
  struct core *core;
  struct links *links;
  struct inbox *inbox;
  struct record *record;
  struct loop_timer timer;
};

/* A platform call in progress.  NAME is the token of a transaction, the prefix
   of a scan, or the key of an object.  */
struct platform_call
{
  struct records *records;
  enum record_action_type type;
  char *name;
};

static void run_actions (struct records *records, struct action_list *actions);

static struct timespec
records_now (const struct records *records)
{
  return loop_now (records->core->loop);
}

static void
run_actions_and_rearm (struct records *records, struct action_list *actions)
{
  run_actions (records, actions);
  loop_timer_set (records->core->loop, &records->timer,
                  record_next (records->record));
}

static struct platform_call *
platform_call_new (struct records *records, enum record_action_type type,
                   const char *name)
{
  struct platform_call *platform_call = g_new0 (struct platform_call, 1);

  platform_call->records = records;
  platform_call->type = type;
  platform_call->name = g_strdup (name);
  return platform_call;
}

static void
platform_call_free (struct platform_call *platform_call)
{
  g_free (platform_call->name);
  g_free (platform_call);
}

static void
on_rows (void *user, enum platform_status status,
         const struct platform_rows *rows)
{
  struct platform_call *platform_call = user;
  struct records *records = platform_call->records;
  struct action_list actions;

  action_list_init (&actions);
  if (platform_call->type == RECORD_TXN)
    record_txn_done (records->record, platform_call->name, status, rows,
                     records_now (records), &actions);
  else
    record_scan_done (records->record, platform_call->name, status, rows,
                      records_now (records), &actions);
  platform_call_free (platform_call);
  run_actions_and_rearm (records, &actions);
}

static void
on_object (void *user, enum platform_status status, const void *bytes,
           size_t length)
{
  struct platform_call *platform_call = user;
  struct records *records = platform_call->records;
  struct action_list actions;

  action_list_init (&actions);
  record_object_done (records->record, platform_call->type,
                      platform_call->name, status, bytes, length,
                      records_now (records), &actions);
  platform_call_free (platform_call);
  run_actions_and_rearm (records, &actions);
}

static void
start_txn (struct records *records, const struct batch_action *action)
{
  struct platform *platform = records->core->platform;
  struct platform_txn_cb cb
      = { .done = on_rows,
          .user = platform_call_new (records, RECORD_TXN, action->txn.token) };

  platform->ops->txn (platform, &action->txn, cb);
}

static void
start_scan (struct records *records, const struct record_action_scan *action)
{
  struct platform *platform = records->core->platform;
  struct platform_rows_cb cb
      = { .done = on_rows,
          .user = platform_call_new (records, RECORD_SCAN, action->prefix) };

  platform->ops->scan (platform, action->prefix, action->limit, cb);
}

static void
start_object (struct records *records,
              const struct record_action_object *action)
{
  struct platform *platform = records->core->platform;
  enum record_action_type type = (enum record_action_type)action->action.type;
  struct platform_object_cb cb
      = { .done = on_object,
          .user = platform_call_new (records, type, action->key) };

  if (type == RECORD_OBJECT_PUT)
    platform->ops->object_put (platform, action->key, action->bytes,
                               action->length, cb);
  else if (type == RECORD_OBJECT_GET)
    platform->ops->object_get (platform, action->key, cb);
  else
    platform->ops->object_delete (platform, action->key, cb);
}

static void
send_verdict (struct records *records,
              const struct record_action_verdict *action)
{
  struct msg *msg = msg_new (MSG_RECORD_VERDICT);

  msg->thread = action->thread;
  msg->request = action->request;
  msg->verdict = action->verdict;
  msg->deadline = action->claim_until;
  msg->status = action->status;
  msg->content_type = g_strdup (action->content_type);
  msg->length = action->length;
  msg->body = g_malloc0 (action->length + 1);
  if (action->length > 0)
    memcpy (msg->body, action->body, action->length);
  inbox_send (records->inbox, msg);
}

static void
run_action (struct records *records, struct action *action)
{
  switch ((enum record_action_type)action->type)
    {
    case RECORD_TXN:
      start_txn (records, (struct batch_action *)action);
      break;
    case RECORD_SCAN:
      start_scan (records, (struct record_action_scan *)action);
      break;
    case RECORD_OBJECT_PUT:
    case RECORD_OBJECT_GET:
    case RECORD_OBJECT_DELETE:
      start_object (records, (struct record_action_object *)action);
      break;
    case RECORD_VERDICT:
      send_verdict (records, (struct record_action_verdict *)action);
      break;
    }
}

static void
run_actions (struct records *records, struct action_list *actions)
{
  struct action *action;

  while ((action = action_pop (actions)) != NULL)
    {
      run_action (records, action);
      action_free (action);
    }
}

static void
on_record_begin (struct records *records, const struct msg *msg)
{
  struct record_request request = { .key = msg->key,
                                    .target = msg->target,
                                    .fingerprint = msg->fingerprint,
                                    .thread = msg->thread,
                                    .request = msg->request,
                                    .deadline = msg->deadline };
  struct action_list actions;

  action_list_init (&actions);
  record_begin (records->record, &request, records_now (records), &actions);
  run_actions_and_rearm (records, &actions);
}

static void
on_record_end (struct records *records, const struct msg *msg)
{
  struct record_outcome outcome = { .ran = msg->ran,
                                    .complete = msg->status != 0,
                                    .status = msg->status,
                                    .content_type = msg->content_type,
                                    .body = msg->body,
                                    .length = msg->length };
  struct action_list actions;

  action_list_init (&actions);
  record_end (records->record, msg->thread, msg->request, &outcome,
              records_now (records), &actions);
  run_actions_and_rearm (records, &actions);
}

static void
update_members (struct records *records)
{
  size_t count;
  const struct member_info *const *members
      = links_members (records->links, &count);
  const char **alive = g_new0 (const char *, count + 1);
  size_t n = 0;

  for (size_t i = 0; i < count; i++)
    if (members[i]->state != MEMBER_DEAD)
      alive[n++] = members[i]->id;
  record_set_members (records->record, alive, n);
  record_set_node_count (records->record, (unsigned)MAX (n, 1));
  g_free (alive);
}

static void
records_event (struct service *service, const struct kernel_event *event)
{
  struct records *records = (struct records *)service;
  const struct msg *msg = event->data;

  if (event->type == KERNEL_MEMBERS_CHANGED)
    update_members (records);
  if (event->type != KERNEL_TRAFFIC_MESSAGE)
    return;
  if (msg->type == MSG_RECORD_BEGIN)
    on_record_begin (records, msg);
  else if (msg->type == MSG_RECORD_END)
    on_record_end (records, msg);
}

static void
on_timer (struct loop_timer *timer)
{
  struct records *records
      = (struct records *)((char *)timer - offsetof (struct records, timer));
  struct action_list actions;

  action_list_init (&actions);
  record_tick (records->record, records_now (records), &actions);
  run_actions_and_rearm (records, &actions);
}

static int
records_start (struct service *service, struct kernel *kernel)
{
  struct records *records = (struct records *)service;
  struct record_options options = { 0 };

  records->core = core_find (kernel);
  records->links = links_find (kernel);
  records->inbox = inbox_find (kernel);
  options.node = records->core->node;
  options.start = records->core->incarnation;
  options.epoch
      = ts_sub (clk_wall (records->core->clk), clk_now (records->core->clk));
  records->record = record_new (&options);
  records->timer.fire = on_timer;
  loop_timer_set (records->core->loop, &records->timer, records_now (records));
  return 0;
}

static void
records_stop (struct service *service)
{
  struct records *records = (struct records *)service;

  loop_timer_clear (records->core->loop, &records->timer);
}

static const struct service_ops records_ops
    = { records_start, records_stop, records_event };

struct service *
records_new (void)
{
  struct records *records = g_new0 (struct records, 1);

  records->service.ops = &records_ops;
  records->service.name = RECORDS_NAME;
  return &records->service;
}

void
records_free (struct service *service)
{
  struct records *records = (struct records *)service;

  if (records == NULL)
    return;
  if (records->record != NULL)
    record_free (records->record);
  g_free (records);
}

unsigned
records_pending (struct service *service)
{
  return record_pending (((struct records *)service)->record);
}

#include "config.h"

#include <string.h>
#include <glib.h>
#include "core.h"
#include "links.h"
#include "log.h"
#include "ts.h"

#define POLLERS_PER_ZONE 2 /* nodes that poll at the usual interval */

struct config
{
  struct service service;
  struct core *core;
  struct links *links;
  struct confsync *confsync;
  struct doc *doc;
  struct loop_timer timer;
  GHashTable *edits; /* number to struct edit */
  uint64_t last_edit;
};

struct edit
{
  void (*done) (void *user, enum confsync_status status, uint64_t version,
                const char *text);
  void *user;
};

/* A transaction in flight.  */
struct txn_call
{
  struct config *config;
  uint64_t attempt;
};

static void run_actions (struct config *config, struct action_list *list);

static struct config *
config_from_timer (struct loop_timer *timer)
{
  return (struct config *)((char *)timer - offsetof (struct config, timer));
}

static struct timespec
config_now (const struct config *config)
{
  return loop_now (config->core->loop);
}

static void
set_timer (struct config *config)
{
  loop_timer_set (config->core->loop, &config->timer,
                  confsync_next_tick (config->confsync));
}

static void
run_actions_and_set_timer (struct config *config, struct action_list *list)
{
  run_actions (config, list);
  set_timer (config);
}

static void
on_polled (void *user, enum platform_status status,
           const struct platform_rows *rows)
{
  struct config *config = user;
  struct action_list list;

  action_list_init (&list);
  confsync_polled (config->confsync, status, rows, config_now (config), &list);
  run_actions_and_set_timer (config, &list);
}

static void
on_scanned (void *user, enum platform_status status,
            const struct platform_rows *rows)
{
  struct config *config = user;
  struct action_list list;

  action_list_init (&list);
  confsync_scanned (config->confsync, status, rows, config_now (config),
                    &list);
  run_actions_and_set_timer (config, &list);
}

static void
on_txn (void *user, enum platform_status status,
        const struct platform_rows *rows)
{
  struct txn_call *txn_call = user;
  struct config *config = txn_call->config;
  struct action_list list;

  action_list_init (&list);
  confsync_txn_done (config->confsync, txn_call->attempt, status, rows,
                     config_now (config), &list);
  g_free (txn_call);
  run_actions_and_set_timer (config, &list);
}

static void
on_snapshot (void *user, enum platform_status status, const void *bytes,
             size_t length)
{
  struct config *config = user;
  struct action_list list;

  action_list_init (&list);
  if (status != PLATFORM_OK)
    bytes = NULL;
  confsync_snapshot_read (config->confsync, bytes, length, config_now (config),
                          &list);
  run_actions_and_set_timer (config, &list);
}

static void
on_snapshot_written (void *user, enum platform_status status,
                     const void *bytes, size_t length)
{
  (void)user;
  (void)status;
  (void)bytes;
  (void)length;
}

static void
log_applied (uint64_t version)
{
  struct log_line line;

  log_begin (&line, EVENT_CONFIG_IN_FORCE);
  log_int (&line, "version", (int64_t)version);
  log_end (&line);
}

/* TEXT was valid for the node that accepted it.  If this version of the
   program cannot parse it, the previous document stays in effect.  */
static void
apply (struct config *config, const char *text, uint64_t version)
{
  struct findings findings;
  struct doc *doc = NULL;
  struct log_line line;

  findings_init (&findings);
  if (doc_parse (text, strlen (text), version, &doc, &findings) < 0)
    {
      log_begin (&line, EVENT_CONFIG_UNREADABLE);
      log_int (&line, "version", (int64_t)version);
      log_int (&line, "findings", (int64_t)findings.count);
      log_end (&line);
      findings_clear (&findings);
      return;
    }
  findings_clear (&findings);
  doc_unref (config->doc);
  config->doc = doc;
  links_set_doc_version (config->links, version);
  log_applied (version);
  kernel_post (config->core->kernel, KERNEL_DOC_APPLIED, doc);
}

static void
announce_version (struct config *config, uint64_t version)
{
  struct peer_msg msg = { .type = PEER_CONFIG_VERSION, .version = version };

  links_broadcast (config->links, &msg);
}

static void
request_update (struct config *config, const struct confsync_action *action)
{
  struct peer_msg msg
      = { .type = PEER_CONFIG_REQUEST, .version = action->version };

  links_send (config->links, action->node, &msg);
}

static void
send_update (struct config *config, const char *node,
             const struct confupdate *update)
{
  struct peer_section *sections = g_new0 (struct peer_section, update->count);
  struct peer_msg msg = { .type = PEER_CONFIG,
                          .version = update->version,
                          .since = update->since,
                          .sections = sections,
                          .section_count = update->count };

  for (size_t i = 0; i < update->count; i++)
    sections[i]
        = (struct peer_section){ .team = update->sections[i].team,
                                 .text = update->sections[i].text,
                                 .version = update->sections[i].version };
  links_send (config->links, node, &msg);
  g_free (sections);
}

static void
finish_edit (struct config *config, const struct confsync_action *action)
{
  struct edit *edit = g_hash_table_lookup (config->edits, &action->edit);

  if (edit == NULL)
    return;
  edit->done (edit->user, action->status, action->version, action->text);
  g_hash_table_remove (config->edits, &action->edit);
}

static void
start_txn (struct config *config, const struct confsync_action *action)
{
  struct platform *platform = config->core->platform;
  struct txn_call *txn_call = g_new0 (struct txn_call, 1);

  txn_call->config = config;
  txn_call->attempt = action->attempt;
  platform->ops->txn (
      platform, &action->txn,
      (struct platform_txn_cb){ .done = on_txn, .user = txn_call });
}

static void
scan (struct config *config, const struct confsync_action *action,
      void (*done) (void *user, enum platform_status status,
                    const struct platform_rows *rows))
{
  struct platform *platform = config->core->platform;

  platform->ops->scan (
      platform, action->prefix, action->limit,
      (struct platform_rows_cb){ .done = done, .user = config });
}

static void
get_snapshot (struct config *config)
{
  struct platform *platform = config->core->platform;
  struct platform_object_cb cb = { .done = on_snapshot, .user = config };

  platform->ops->object_get (platform, CONFSYNC_SNAPSHOT, cb);
}

static void
put_snapshot (struct config *config, const char *text)
{
  struct platform *platform = config->core->platform;
  struct platform_object_cb cb
      = { .done = on_snapshot_written, .user = config };

  platform->ops->object_put (platform, CONFSYNC_SNAPSHOT, text, strlen (text),
                             cb);
}

static void
run_action (struct config *config, const struct confsync_action *action)
{
  switch ((enum confsync_action_type)action->action.type)
    {
    case CONFSYNC_POLL:
      scan (config, action, on_polled);
      break;
    case CONFSYNC_SCAN:
      scan (config, action, on_scanned);
      break;
    case CONFSYNC_TXN:
      start_txn (config, action);
      break;
    case CONFSYNC_APPLY:
      apply (config, action->text, action->version);
      break;
    case CONFSYNC_ANNOUNCE:
      announce_version (config, action->version);
      break;
    case CONFSYNC_REQUEST:
      request_update (config, action);
      break;
    case CONFSYNC_SEND_UPDATE:
      send_update (config, action->node, &action->update);
      break;
    case CONFSYNC_EDIT_DONE:
      finish_edit (config, action);
      break;
    case CONFSYNC_SNAPSHOT_GET:
      get_snapshot (config);
      break;
    case CONFSYNC_SNAPSHOT_PUT:
      put_snapshot (config, action->text);
      break;
    }
}

static void
run_actions (struct config *config, struct action_list *list)
{
  struct action *action;

  while ((action = action_pop (list)) != NULL)
    {
      run_action (config, (struct confsync_action *)action);
      action_free (action);
    }
}

static void
timer_fire (struct loop_timer *timer)
{
  struct config *config = config_from_timer (timer);
  struct action_list list;

  action_list_init (&list);
  confsync_tick (config->confsync, config_now (config), &list);
  run_actions_and_set_timer (config, &list);
}

struct doc *
config_doc (struct config *config)
{
  return config->doc;
}

const struct confsync_section *
config_section (struct config *config, const char *team)
{
  return confsync_section (config->confsync, team);
}

void
config_edit (struct config *config, const char *team, const char *text,
             uint64_t base,
             void (*done) (void *user, enum confsync_status status,
                           uint64_t version, const char *text),
             void *user)
{
  struct edit *edit = g_new0 (struct edit, 1);
  uint64_t *number = g_new (uint64_t, 1);
  struct action_list list;

  *number = ++config->last_edit;
  edit->done = done;
  edit->user = user;
  g_hash_table_insert (config->edits, number, edit);
  action_list_init (&list);
  confsync_edit (config->confsync, *number, team, text, base,
                 config_now (config), &list);
  run_actions_and_set_timer (config, &list);
}

static void
receive_update (struct config *config, const char *from,
                const struct peer_msg *msg, struct action_list *list)
{
  struct confsync_section *sections
      = g_new0 (struct confsync_section, msg->section_count);
  struct confupdate update = { .version = msg->version,
                               .since = msg->since,
                               .sections = sections,
                               .count = msg->section_count };

  for (size_t i = 0; i < msg->section_count; i++)
    sections[i]
        = (struct confsync_section){ .team = msg->sections[i].team,
                                     .text = msg->sections[i].text,
                                     .version = msg->sections[i].version };
  confsync_peer_update (config->confsync, from, &update, config_now (config),
                        list);
  g_free (sections);
}

static void
handle_peer_message (struct config *config, const struct links_msg *received)
{
  const struct peer_msg *msg = received->msg;
  struct action_list list;

  action_list_init (&list);
  if (msg->type == PEER_CONFIG_VERSION)
    confsync_peer_version (config->confsync, received->from, msg->version,
                           config_now (config), &list);
  else if (msg->type == PEER_CONFIG_REQUEST)
    confsync_peer_request (config->confsync, received->from, msg->version,
                           &list);
  else if (msg->type == PEER_CONFIG)
    receive_update (config, received->from, msg, &list);
  else
    return;
  run_actions_and_set_timer (config, &list);
}

/* The first POLLERS_PER_ZONE live nodes of each zone by id are its pollers.
   Gossip carries the versions of the other nodes; higher ones are passed to
   confsync.  */
static void
handle_members (struct config *config)
{
  size_t count;
  const struct member_info *const *members
      = links_members (config->links, &count);
  struct action_list list;
  unsigned lower_ids = 0;

  action_list_init (&list);
  for (size_t i = 0; i < count; i++)
    {
      const struct member_info *info = members[i];

      if (strcmp (info->zone, config->core->settings->zone) == 0
          && info->state == MEMBER_LIVE
          && strcmp (info->id, config->core->node) < 0)
        lower_ids++;
      if (info->doc_version > confsync_version (config->confsync))
        confsync_peer_version (config->confsync, info->id, info->doc_version,
                               config_now (config), &list);
    }
  confsync_set_poller (config->confsync, lower_ids < POLLERS_PER_ZONE);
  run_actions_and_set_timer (config, &list);
}

static void
config_event (struct service *service, const struct kernel_event *event)
{
  struct config *config = (struct config *)service;

  if (event->type == KERNEL_PEER_MESSAGE)
    handle_peer_message (config, event->data);
  else if (event->type == KERNEL_MEMBERS_CHANGED)
    handle_members (config);
}

static int
check_text (void *user, const char *text, size_t length, uint64_t version,
            struct findings *findings)
{
  struct doc *doc = NULL;
  int err = doc_parse (text, length, version, &doc, findings);

  (void)user;
  doc_unref (doc);
  return err;
}

static int
config_start (struct service *service, struct kernel *kernel)
{
  struct config *config = (struct config *)service;
  struct confsync_options options = { .check = check_text, .user = config };

  config->core = core_find (kernel);
  config->links = links_find (kernel);
  options.node = config->core->node;
  options.incarnation = config->core->incarnation;
  options.rand = config->core->rand;
  config->confsync = confsync_new (&options);
  confsync_set_poller (config->confsync, true);
  config->timer.fire = timer_fire;
  loop_timer_set (config->core->loop, &config->timer, config_now (config));
  return 0;
}

static void
config_stop (struct service *service)
{
  struct config *config = (struct config *)service;

  loop_timer_clear (config->core->loop, &config->timer);
}

static const struct service_ops config_ops
    = { config_start, config_stop, config_event };

struct service *
config_new (void)
{
  struct config *config = g_new0 (struct config, 1);

  config->service.ops = &config_ops;
  config->service.name = CONFIG_NAME;
  config->edits
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return &config->service;
}

void
config_free (struct service *service)
{
  struct config *config = (struct config *)service;

  if (config == NULL)
    return;
  confsync_free (config->confsync);
  doc_unref (config->doc);
  g_hash_table_unref (config->edits);
  g_free (config);
}

struct config *
config_find (struct kernel *kernel)
{
  return (struct config *)kernel_find (kernel, CONFIG_NAME);
}

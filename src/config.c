#include "config.h"

#include <string.h>
#include <glib.h>
#include "core.h"
#include "links.h"
#include "log.h"
#include "ts.h"

#define POLLERS_PER_ZONE 2 /* nodes of a zone that poll the table often */

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

/* A call to the platform that is under way.  */
struct call
{
  struct config *config;
  uint64_t attempt;
};

static void run_actions (struct config *config, struct action_list *list);

static struct config *
config_of_timer (struct loop_timer *timer)
{
  return (struct config *)((char *)timer - offsetof (struct config, timer));
}

static struct timespec
now_of (const struct config *config)
{
  return loop_now (config->core->loop);
}

static void
set_timer (struct config *config)
{
  loop_timer_set (config->core->loop, &config->timer,
                  confsync_next (config->confsync));
}

static void
finish_event (struct config *config, struct action_list *list)
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
  confsync_polled (config->confsync, status, rows, now_of (config), &list);
  finish_event (config, &list);
}

static void
on_scanned (void *user, enum platform_status status,
            const struct platform_rows *rows)
{
  struct config *config = user;
  struct action_list list;

  action_list_init (&list);
  confsync_scanned (config->confsync, status, rows, now_of (config), &list);
  finish_event (config, &list);
}

static void
on_txn (void *user, enum platform_status status,
        const struct platform_rows *rows)
{
  struct call *call = user;
  struct config *config = call->config;
  struct action_list list;

  action_list_init (&list);
  confsync_txn_done (config->confsync, call->attempt, status, rows,
                     now_of (config), &list);
  g_free (call);
  finish_event (config, &list);
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
  confsync_snapshot (config->confsync, bytes, length, now_of (config), &list);
  finish_event (config, &list);
}

static void
on_stored (void *user, enum platform_status status, const void *bytes,
           size_t length)
{
  (void)user;
  (void)status;
  (void)bytes;
  (void)length;
}

static void
log_in_force (uint64_t version)
{
  struct log_line line;

  log_begin (&line, EVENT_CONFIG_IN_FORCE);
  log_int (&line, "version", (int64_t)version);
  log_end (&line);
}

/* The text was checked before it was accepted; a document that this program
   cannot read leaves the one before in force.  */
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
  log_in_force (version);
  kernel_post (config->core->kernel, KERNEL_DOC_APPLIED, doc);
}

static void
tell_peers (struct config *config, uint64_t version)
{
  struct peer_msg msg = { .type = PEER_CONFIG_VERSION, .version = version };

  links_broadcast (config->links, &msg);
}

static void
ask_peer (struct config *config, const struct confsync_action *action)
{
  struct peer_msg msg
      = { .type = PEER_CONFIG_ASK, .version = action->version };

  links_send (config->links, action->node, &msg);
}

static void
send_update (struct config *config, const char *node,
             const struct confsync_update *update)
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
answer_edit (struct config *config, const struct confsync_action *action)
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
  struct call *call = g_new0 (struct call, 1);

  call->config = config;
  call->attempt = action->attempt;
  platform->ops->txn (
      platform, &action->txn,
      (struct platform_txn_cb){ .done = on_txn, .user = call });
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
  struct platform_object_cb cb = { .done = on_stored, .user = config };

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
    case CONFSYNC_TELL:
      tell_peers (config, action->version);
      break;
    case CONFSYNC_ASK:
      ask_peer (config, action);
      break;
    case CONFSYNC_SEND:
      send_update (config, action->node, &action->update);
      break;
    case CONFSYNC_ANSWER:
      answer_edit (config, action);
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
  struct config *config = config_of_timer (timer);
  struct action_list list;

  action_list_init (&list);
  confsync_tick (config->confsync, now_of (config), &list);
  finish_event (config, &list);
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
  confsync_edit (config->confsync, *number, team, text, base, now_of (config),
                 &list);
  finish_event (config, &list);
}

static void
take_update (struct config *config, const char *from,
             const struct peer_msg *msg, struct action_list *list)
{
  struct confsync_section *sections
      = g_new0 (struct confsync_section, msg->section_count);
  struct confsync_update update = { .version = msg->version,
                                    .since = msg->since,
                                    .sections = sections,
                                    .count = msg->section_count };

  for (size_t i = 0; i < msg->section_count; i++)
    sections[i]
        = (struct confsync_section){ .team = msg->sections[i].team,
                                     .text = msg->sections[i].text,
                                     .version = msg->sections[i].version };
  confsync_peer_update (config->confsync, from, &update, now_of (config),
                        list);
  g_free (sections);
}

static void
take_peer (struct config *config, const struct links_msg *peer)
{
  const struct peer_msg *msg = peer->msg;
  struct action_list list;

  action_list_init (&list);
  if (msg->type == PEER_CONFIG_VERSION)
    confsync_peer_version (config->confsync, peer->from, msg->version,
                           now_of (config), &list);
  else if (msg->type == PEER_CONFIG_ASK)
    confsync_peer_ask (config->confsync, peer->from, msg->version, &list);
  else if (msg->type == PEER_CONFIG)
    take_update (config, peer->from, msg, &list);
  else
    return;
  finish_event (config, &list);
}

/* The first nodes of a zone by id poll often; heartbeats carry the versions
   of the others.  */
static void
take_members (struct config *config)
{
  size_t count;
  const struct member_info *const *members
      = links_members (config->links, &count);
  struct action_list list;
  unsigned before = 0;

  action_list_init (&list);
  for (size_t i = 0; i < count; i++)
    {
      const struct member_info *info = members[i];

      if (strcmp (info->zone, config->core->settings->zone) == 0
          && info->state == MEMBER_LIVE
          && strcmp (info->id, config->core->node) < 0)
        before++;
      if (info->doc_version > confsync_version (config->confsync))
        confsync_peer_version (config->confsync, info->id, info->doc_version,
                               now_of (config), &list);
    }
  confsync_set_poller (config->confsync, before < POLLERS_PER_ZONE);
  finish_event (config, &list);
}

static void
config_event (struct service *service, const struct kernel_event *event)
{
  struct config *config = (struct config *)service;

  if (event->type == KERNEL_PEER_MESSAGE)
    take_peer (config, event->data);
  else if (event->type == KERNEL_MEMBERS_CHANGED)
    take_members (config);
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
  loop_timer_set (config->core->loop, &config->timer, now_of (config));
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

#include "versionlog.h"

#include <string.h>
#include <glib.h>
#include "backoff.h"
#include "core.h"
#include "listing.h"
#include "planners.h"
#include "platform.h"
#include "servers.h"
#include "ts.h"

#define TABLE "versions"
#define CHECK_INTERVAL_MS 1000

struct versionlog
{
  struct service service; /* must be first */
  struct core *core;
  struct listing *listing;
  struct planners *planners;
  bool read;
  bool reading;
  unsigned failures;
  /* Keys of rows that exist, or are being written:
     "versions/SERVICE/SOFTWARE", both names escaped.  */
  GHashTable *rows;
  struct loop_timer timer;
};

/* A write of one row.  */
struct call
{
  struct versionlog *versionlog;
  char *key;
  bool removes;
};

static struct timespec
now_of (const struct versionlog *versionlog)
{
  return loop_now (versionlog->core->loop);
}

static char *
row_key (const char *service, const char *software)
{
  char *a = g_uri_escape_string (service, NULL, FALSE);
  char *b = g_uri_escape_string (software, NULL, FALSE);
  char *key = g_strdup_printf (TABLE "/%s/%s", a, b);

  g_free (a);
  g_free (b);
  return key;
}

/* KEY without the table's name.  Returns false if it is no key of ours.  */
static bool
parse_key (const char *key, char **service, char **software)
{
  char **parts = g_strsplit (key, "/", -1);
  bool ok = g_strv_length (parts) == 2;

  *service = ok ? g_uri_unescape_string (parts[0], NULL) : NULL;
  *software = ok ? g_uri_unescape_string (parts[1], NULL) : NULL;
  g_strfreev (parts);
  if (*service != NULL && *software != NULL)
    return true;
  g_free (*service);
  g_free (*software);
  return false;
}

static void
on_written (void *user, enum platform_status status,
            const struct platform_rows *rows)
{
  struct call *call = user;
  bool exists = status == PLATFORM_OK || status == PLATFORM_CONFLICT;

  (void)rows;
  /* What may not have been written is written again at the next check, and a
     row that may be left is removed again.  */
  if (call->removes ? status != PLATFORM_OK : exists)
    g_hash_table_add (call->versionlog->rows, g_strdup (call->key));
  else
    g_hash_table_remove (call->versionlog->rows, call->key);
  g_free (call->key);
  g_free (call);
}

/* Adds the row with KEY if there is none, or removes it.  */
static void
write_row (struct versionlog *versionlog, const char *key, bool remove)
{
  struct core *core = versionlog->core;
  struct call *call = g_new0 (struct call, 1);
  char *token = core_unique_id (core);
  struct platform_check check = { .key = key };
  struct platform_write write = { .key = key, .value = remove ? NULL : "{}" };
  struct platform_txn txn = { .token = token,
                              .checks = &check,
                              .check_count = !remove,
                              .writes = &write,
                              .write_count = 1 };
  struct platform_txn_cb cb = { .done = on_written, .user = call };

  call->versionlog = versionlog;
  call->key = g_strdup (key);
  call->removes = remove;
  core->platform->ops->txn (core->platform, &txn, cb);
  g_free (token);
}

static void
write_listed (struct versionlog *versionlog)
{
  GHashTable *all = servers_all (listing_servers (versionlog->listing));
  const struct server *server;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, all);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&server))
    {
      char *key = row_key (server->route->pool, server->route->software);

      if (*server->route->software != '\0'
          && !g_hash_table_contains (versionlog->rows, key))
        {
          g_hash_table_add (versionlog->rows, g_strdup (key));
          write_row (versionlog, key, false);
        }
      g_free (key);
    }
}

static bool
is_forgotten (struct versionlog *versionlog, const char *key)
{
  struct servers *servers = listing_servers (versionlog->listing);
  char *service;
  char *software;
  bool forgotten;

  if (!parse_key (key + strlen (TABLE "/"), &service, &software))
    return false;
  forgotten = !servers_remembers_software (servers, service, software,
                                           now_of (versionlog));
  g_free (service);
  g_free (software);
  return forgotten;
}

static void
remove_forgotten (struct versionlog *versionlog)
{
  GPtrArray *keys = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  const char *key;

  g_hash_table_iter_init (&iter, versionlog->rows);
  while (g_hash_table_iter_next (&iter, (gpointer *)&key, NULL))
    if (is_forgotten (versionlog, key))
      g_ptr_array_add (keys, g_strdup (key));
  for (guint i = 0; i < keys->len; i++)
    {
      g_hash_table_remove (versionlog->rows, g_ptr_array_index (keys, i));
      write_row (versionlog, g_ptr_array_index (keys, i), true);
    }
  g_ptr_array_unref (keys);
}

static void
recall_row (struct versionlog *versionlog, const struct platform_row *row)
{
  char *service;
  char *software;

  if (row->value == NULL || !parse_key (row->key, &service, &software))
    return;
  servers_recall_software (listing_servers (versionlog->listing), service,
                           software, now_of (versionlog));
  g_hash_table_add (versionlog->rows, row_key (service, software));
  g_free (service);
  g_free (software);
}

static void
on_list (void *user, enum platform_status status,
         const struct platform_changes *changes)
{
  struct versionlog *versionlog = user;
  struct timespec next = now_of (versionlog);

  versionlog->reading = false;
  if (status == PLATFORM_OK)
    {
      for (size_t i = 0; i < changes->count; i++)
        recall_row (versionlog, &changes->rows[i]);
      versionlog->read = true;
      versionlog->failures = 0;
    }
  else
    next = backoff_retry_at (versionlog->failures++, versionlog->core->rand,
                             next);
  loop_timer_set (versionlog->core->loop, &versionlog->timer, next);
}

/* Only the decider writes, so that a change is written once.  */
static void
on_timer (struct loop_timer *timer)
{
  struct versionlog *versionlog
      = (struct versionlog *)((char *)timer
                              - offsetof (struct versionlog, timer));
  struct platform *platform = versionlog->core->platform;
  struct platform_changes_cb cb = { .done = on_list, .user = versionlog };

  if (!versionlog->read)
    {
      versionlog->reading = true;
      platform->ops->list (platform, TABLE, cb);
      return;
    }
  if (planners_deciding (versionlog->planners))
    {
      write_listed (versionlog);
      remove_forgotten (versionlog);
    }
  loop_timer_set (versionlog->core->loop, timer,
                  ts_add_ms (now_of (versionlog), CHECK_INTERVAL_MS));
}

static int
versionlog_start (struct service *service, struct kernel *kernel)
{
  struct versionlog *versionlog = (struct versionlog *)service;

  versionlog->core = core_find (kernel);
  versionlog->listing = listing_find (kernel);
  versionlog->planners = planners_find (kernel);
  versionlog->timer.fire = on_timer;
  versionlog->read = versionlog->core->platform->ops->list == NULL;
  loop_timer_set (versionlog->core->loop, &versionlog->timer,
                  now_of (versionlog));
  return 0;
}

static void
versionlog_stop (struct service *service)
{
  struct versionlog *versionlog = (struct versionlog *)service;

  loop_timer_clear (versionlog->core->loop, &versionlog->timer);
}

/* A table that was restored from a copy may lack rows.  What is known of
   former versions stays.  */
static void
versionlog_event (struct service *service, const struct kernel_event *event)
{
  struct versionlog *versionlog = (struct versionlog *)service;

  if (event->type != KERNEL_STORE_RESTORED || versionlog->reading)
    return;
  g_hash_table_remove_all (versionlog->rows);
  versionlog->read = versionlog->core->platform->ops->list == NULL;
  loop_timer_set (versionlog->core->loop, &versionlog->timer,
                  now_of (versionlog));
}

static const struct service_ops ops
    = { versionlog_start, versionlog_stop, versionlog_event };

struct service *
versionlog_new (void)
{
  struct versionlog *versionlog = g_new0 (struct versionlog, 1);

  versionlog->service.ops = &ops;
  versionlog->service.name = VERSIONLOG_NAME;
  versionlog->rows
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return &versionlog->service;
}

void
versionlog_free (struct service *service)
{
  struct versionlog *versionlog = (struct versionlog *)service;

  if (versionlog == NULL)
    return;
  g_hash_table_unref (versionlog->rows);
  g_free (versionlog);
}

struct versionlog *
versionlog_find (struct kernel *kernel)
{
  return (struct versionlog *)kernel_find (kernel, VERSIONLOG_NAME);
}

bool
versionlog_is_read (const struct versionlog *versionlog)
{
  return versionlog->read;
}

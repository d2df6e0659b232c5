#include "record_clean.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>
#include "record_row.h"
#include "ts.h"

#define PREFIX_DIGITS 3 /* hexadecimal digits of the hash in the key */

struct deletion
{
  struct batch_write write; /* must be first */
  char *row;
  char *object; /* deleted afterwards; may be NULL */
};

struct record_clean
{
  struct batch *batch;
  GRand *rand;
  struct timespec epoch;
  unsigned nodes;
  unsigned deletions;   /* in progress */
  char *prefix_scanned; /* prefix of the latest scan */
  bool narrow; /* the latest scan hit its row limit: scan a subrange next */
  struct timespec next;
};

static void
deletion_free (struct deletion *deletion)
{
  g_free (deletion->row);
  g_free (deletion->object);
  g_free (deletion);
}

/* A conflict means that another node deleted the row.  */
static void
on_settled (void *user, struct batch_write *write, bool done,
            const struct platform_row *row, struct timespec now,
            struct action_list *actions)
{
  struct record_clean *clean = user;
  struct deletion *deletion = (struct deletion *)write;

  (void)row;
  (void)now;
  clean->deletions--;
  if (done && deletion->object != NULL)
    record_push_object (actions, RECORD_OBJECT_DELETE, deletion->object);
  deletion_free (deletion);
}

struct record_clean *
record_clean_new (const struct record_options *options)
{
  static const struct batch_ops ops = { on_settled };
  struct record_clean *clean = g_new0 (struct record_clean, 1);
  char *name = g_strdup_printf ("%s-%" PRIx64 "-clean", options->node,
                                options->start);
  struct batch_options batch = { name, &ops, clean, RECORD_TXN };

  clean->batch = batch_new (&batch);
  clean->rand = g_rand_new_with_seed ((guint32)options->start);
  clean->epoch = options->epoch;
  clean->nodes = 1;
  g_free (name);
  return clean;
}

void
record_clean_free (struct record_clean *clean)
{
  struct batch_write *write;

  if (clean == NULL)
    return;
  while ((write = batch_detach_any (clean->batch)) != NULL)
    deletion_free ((struct deletion *)write);
  batch_free (clean->batch);
  g_rand_free (clean->rand);
  g_free (clean->prefix_scanned);
  g_free (clean);
}

void
record_clean_set_node_count (struct record_clean *clean, unsigned nodes)
{
  clean->nodes = MAX (nodes, 1);
}

static bool
expired (const struct record_clean *clean, const struct record_row *row,
         struct timespec now)
{
  int64_t wall_s = ts_add (clean->epoch, now).tv_sec;

  return row->at_s > 0 && row->at_s + RECORD_RETENTION_S < wall_s;
}

static void
delete_if_expired (struct record_clean *clean, const struct platform_row *row,
                   struct timespec now)
{
  struct record_row parsed;
  struct deletion *deletion;

  if (record_row_parse (row->value, &parsed) < 0)
    return;
  if (expired (clean, &parsed, now))
    {
      deletion = g_new0 (struct deletion, 1);
      deletion->row = g_strdup (row->key);
      deletion->object = g_strdup (parsed.object);
      deletion->write.row = deletion->row;
      deletion->write.version = row->version;
      batch_add (clean->batch, &deletion->write, now);
      clean->deletions++;
    }
  record_row_clear (&parsed);
}

bool
record_clean_scanned (struct record_clean *clean, const char *prefix,
                      enum platform_status status,
                      const struct platform_rows *rows, struct timespec now)
{
  if (clean->prefix_scanned == NULL
      || strcmp (clean->prefix_scanned, prefix) != 0)
    return false;
  clean->narrow = status == PLATFORM_OK && rows != NULL
                  && rows->count >= RECORD_CLEAN_ROWS;
  if (status != PLATFORM_OK || clean->deletions > 0)
    return true;
  for (size_t i = 0; rows != NULL && i < rows->count; i++)
    delete_if_expired (clean, &rows->rows[i], now);
  return true;
}

void
record_clean_done (struct record_clean *clean, const char *token,
                   enum platform_status status,
                   const struct platform_rows *rows, struct timespec now,
                   struct action_list *actions)
{
  batch_done (clean->batch, token, status, rows, now, actions);
}

static void
choose_prefix (struct record_clean *clean)
{
  GString *prefix = g_string_new (
      clean->narrow && clean->prefix_scanned != NULL ? clean->prefix_scanned
                                                     : RECORD_ROW_PREFIX);
  size_t digits = clean->narrow ? 1 : PREFIX_DIGITS;

  for (size_t i = 0; i < digits; i++)
    g_string_append_printf (prefix, "%x",
                            (unsigned)g_rand_int_range (clean->rand, 0, 16));
  g_free (clean->prefix_scanned);
  clean->prefix_scanned = g_string_free (prefix, FALSE);
  clean->narrow = false;
}

void
record_clean_tick (struct record_clean *clean, struct timespec now,
                   struct action_list *actions)
{
  if (!ts_before (now, clean->next))
    {
      clean->next
          = ts_add_ms (now, (int64_t)RECORD_CLEAN_INTERVAL_MS * clean->nodes);
      choose_prefix (clean);
      record_push_scan (actions, clean->prefix_scanned, RECORD_CLEAN_ROWS);
    }
  batch_tick (clean->batch, now, actions);
}

struct timespec
record_clean_next (const struct record_clean *clean)
{
  struct timespec at;

  return batch_next (clean->batch, &at) ? ts_min (at, clean->next)
                                        : clean->next;
}

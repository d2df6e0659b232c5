#include "membudget.h"

#include <glib.h>
#include "ts.h"

/* A connection beyond this part of the limit closes another one, so that new
   ones find room before the server stops accepting.  */
#define FREE_CONNECTIONS_SHARE 8
#define LARGE_SHARE_FREE 4 /* of the limit, for small requests */
#define HARD_NUM 5
#define HARD_DEN 4

#define CLIENTS_PERCENT 45 /* of the memory */
#define DESCRIPTORS_PERCENT 75
#define COLLECTED_PERCENT 55 /* of the clients' part */

TAILQ_HEAD (account_list, membudget_account);

struct membudget_source
{
  size_t bytes;
  unsigned connections; /* that are not closing */
  unsigned refs;        /* accounts */
  uint32_t address;
};

struct membudget
{
  struct membudget_options options;
  struct account_list accounts;
  GHashTable *sources; /* address to struct membudget_source */
  size_t used;
  unsigned connections; /* that are not closing */
  unsigned calls;       /* to servers */
};

struct membudget_options
membudget_share (unsigned memory_mb, unsigned fd_limit, unsigned threads)
{
  struct membudget_options options = {
    .bytes = ((size_t)memory_mb << 20) / 100 * CLIENTS_PERCENT / threads,
    .descriptors = fd_limit * DESCRIPTORS_PERCENT / 100 / threads,
  };

  return options;
}

size_t
membudget_collected_max (const struct membudget_options *options, size_t usual)
{
  size_t max = options->bytes / 100 * COLLECTED_PERCENT;

  return max > 0 && max < usual ? max : usual;
}

struct membudget *
membudget_new (const struct membudget_options *options)
{
  struct membudget *budget = g_new0 (struct membudget, 1);

  budget->options = *options;
  TAILQ_INIT (&budget->accounts);
  budget->sources = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  return budget;
}

void
membudget_free (struct membudget *budget)
{
  if (budget == NULL)
    return;
  g_hash_table_unref (budget->sources);
  g_free (budget);
}

static struct membudget_source *
find_source (struct membudget *budget, uint32_t address)
{
  gpointer key = GUINT_TO_POINTER (address);
  struct membudget_source *source = g_hash_table_lookup (budget->sources, key);

  if (source == NULL)
    {
      source = g_new0 (struct membudget_source, 1);
      source->address = address;
      g_hash_table_insert (budget->sources, key, source);
    }
  return source;
}

static bool
is_stale (const struct membudget_account *account, struct timespec now)
{
  return !ts_before (now, ts_add_ms (account->progress, MEMBUDGET_STALE_MS));
}

/* Whether closing A relieves more, or hits a slower client, than closing B. */
static bool
is_heavier (const struct membudget_account *a,
            const struct membudget_account *b)
{
  if (b == NULL)
    return true;
  if ((a->state == MEMBUDGET_RECEIVING) != (b->state == MEMBUDGET_RECEIVING))
    return a->state == MEMBUDGET_RECEIVING;
  if (a->source->bytes != b->source->bytes)
    return a->source->bytes > b->source->bytes;
  if (a->bytes != b->bytes)
    return a->bytes > b->bytes;
  return ts_before (a->progress, b->progress);
}

static struct membudget_account *
find_heaviest (struct membudget *budget, bool stale, struct timespec now)
{
  struct membudget_account *found = NULL;
  struct membudget_account *account;

  TAILQ_FOREACH (account, &budget->accounts, link)
    {
      if (!account->closing && account->state != MEMBUDGET_RUNNING
          && account->state != MEMBUDGET_IDLE
          && account->bytes > MEMBUDGET_SMALL
          && (!stale || is_stale (account, now))
          && is_heavier (account, found))
        found = account;
    }
  return found;
}

/* Connections that have not brought a request go before those that have; of
   these, those of the source with most, and the one that waits longest.  */
static bool
is_more_idle (const struct membudget_account *a,
              const struct membudget_account *b)
{
  if (b == NULL)
    return true;
  if (a->state != b->state)
    return a->state == MEMBUDGET_RECEIVING;
  if (a->source->connections != b->source->connections)
    return a->source->connections > b->source->connections;
  return ts_before (a->since, b->since);
}

static struct membudget_account *
find_idlest (struct membudget *budget, const struct membudget_account * not )
{
  struct membudget_account *found = NULL;
  struct membudget_account *account;

  TAILQ_FOREACH (account, &budget->accounts, link)
    {
      if (account != not &&account->group == not ->group && !account->closing
          && (account->state == MEMBUDGET_RECEIVING
              || account->state == MEMBUDGET_IDLE)
          && is_more_idle (account, found))
        found = account;
    }
  return found;
}

static void
set_bytes (struct membudget_account *account, size_t bytes)
{
  account->budget->used += bytes - account->bytes;
  account->source->bytes += bytes - account->bytes;
  account->bytes = bytes;
}

/* Adds what ACCOUNT holds as a connection, or removes it.  */
static void
count_connection (struct membudget_account *account, int n)
{
  size_t base = account->group->base * (size_t)n;

  account->budget->used += base;
  account->budget->connections += (unsigned)n;
  account->source->bytes += base;
  account->source->connections += (unsigned)n;
  account->group->connections += (unsigned)n;
}

static void
close_account (struct membudget_account *account, enum membudget_lack lack)
{
  set_bytes (account, 0);
  count_connection (account, -1);
  account->closing = true;
  account->close (account, lack);
}

static size_t
hard_limit (const struct membudget *budget)
{
  return budget->options.bytes / HARD_DEN * HARD_NUM;
}

/* Closes accounts, stale ones or any, until at most LIMIT bytes are used.  */
static bool
relieve_to (struct membudget *budget, size_t limit, bool stale,
            struct timespec now)
{
  while (budget->used > limit)
    {
      struct membudget_account *account = find_heaviest (budget, stale, now);

      if (account == NULL)
        return false;
      close_account (account, MEMBUDGET_BYTES);
    }
  return true;
}

void
membudget_relieve (struct membudget *budget, struct timespec now)
{
  if (budget == NULL || budget->options.bytes == 0)
    return;
  relieve_to (budget, budget->options.bytes, true, now);
  relieve_to (budget, hard_limit (budget), false, now);
}

bool
membudget_hold (struct membudget_account *account, size_t bytes,
                struct timespec now)
{
  struct membudget *budget = account->budget;
  bool grows = bytes > account->bytes;
  size_t limit;

  if (budget == NULL || account->closing || bytes == account->bytes)
    return true;
  set_bytes (account, bytes);
  limit = budget->options.bytes;
  if (bytes > MEMBUDGET_SMALL)
    limit -= limit / LARGE_SHARE_FREE;
  return !grows || limit == 0 || relieve_to (budget, limit, true, now);
}

void
membudget_add (struct membudget *budget, int64_t n)
{
  if (budget != NULL)
    budget->used += (size_t)n;
}

void
membudget_add_call (struct membudget *budget, int n)
{
  if (budget != NULL)
    budget->calls += (unsigned)n;
}

bool
membudget_may_call (const struct membudget *budget)
{
  return budget == NULL || budget->options.descriptors == 0
         || membudget_descriptors (budget) < budget->options.descriptors;
}

static bool
has_many_connections (const struct membudget *budget,
                      const struct membudget_group *group)
{
  unsigned limit = group->limit - group->limit / FREE_CONNECTIONS_SHARE;

  return (limit > 0 && group->connections > limit)
         || !membudget_may_call (budget);
}

void
membudget_join (struct membudget *budget, struct membudget_group *group,
                struct membudget_account *account, uint32_t source,
                struct timespec now)
{
  struct membudget_account *idlest;

  if (budget == NULL)
    return;
  account->budget = budget;
  account->group = group;
  account->source = find_source (budget, source);
  account->source->refs++;
  account->progress = now;
  account->since = now;
  count_connection (account, 1);
  TAILQ_INSERT_TAIL (&budget->accounts, account, link);
  if (!has_many_connections (budget, group))
    return;
  idlest = find_idlest (budget, account);
  if (idlest != NULL)
    close_account (idlest, MEMBUDGET_CONNECTIONS);
  else if (!membudget_may_call (budget))
    close_account (account, MEMBUDGET_CONNECTIONS);
}

void
membudget_leave (struct membudget_account *account)
{
  struct membudget *budget = account->budget;
  struct membudget_source *source = account->source;

  if (budget == NULL)
    return;
  set_bytes (account, 0);
  if (!account->closing)
    count_connection (account, -1);
  TAILQ_REMOVE (&budget->accounts, account, link);
  account->budget = NULL;
  if (--source->refs == 0)
    g_hash_table_remove (budget->sources, GUINT_TO_POINTER (source->address));
}

size_t
membudget_used (const struct membudget *budget)
{
  return budget->used;
}

unsigned
membudget_descriptors (const struct membudget *budget)
{
  return budget->connections + budget->calls;
}

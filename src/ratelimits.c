#include "ratelimits.h"

#include <glib.h>
#include "log.h"

struct ratelimits
{
  struct service service; /* must be first: it is cast to this struct */
  GHashTable *named;      /* id -> double *: requests a second */
};

static void
log_limit (const char *id, double per_s)
{
  struct log_line line;

  log_begin (&line, EVENT_SERVER_LIMIT);
  log_str (&line, "engine", id);
  log_double (&line, "per_s", per_s);
  log_end (&line);
}

void
ratelimits_heard (struct ratelimits *ratelimits, const char *id,
                  const struct backend_notice *notice)
{
  const double *former = g_hash_table_lookup (ratelimits->named, id);
  double per_s = notice->limit_per_s;

  if (per_s < 0 || per_s == (former != NULL ? *former : 0))
    return;
  log_limit (id, per_s);
  if (per_s > 0)
    g_hash_table_replace (ratelimits->named, g_strdup (id),
                          g_memdup2 (&per_s, sizeof per_s));
  else
    g_hash_table_remove (ratelimits->named, id);
}

/* The service.  */

static int
ratelimits_start (struct service *service, struct kernel *kernel)
{
  (void)service;
  (void)kernel;
  return 0;
}

static void
ratelimits_stop (struct service *service)
{
  (void)service;
}

static const struct service_ops ops
    = { ratelimits_start, ratelimits_stop, NULL };

struct service *
ratelimits_new (void)
{
  struct ratelimits *ratelimits = g_new0 (struct ratelimits, 1);

  ratelimits->service.ops = &ops;
  ratelimits->service.name = RATELIMITS_NAME;
  ratelimits->named
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return &ratelimits->service;
}

void
ratelimits_free (struct service *service)
{
  struct ratelimits *ratelimits = (struct ratelimits *)service;

  if (ratelimits == NULL)
    return;
  g_hash_table_unref (ratelimits->named);
  g_free (ratelimits);
}

struct ratelimits *
ratelimits_find (struct kernel *kernel)
{
  return (struct ratelimits *)kernel_find (kernel, RATELIMITS_NAME);
}

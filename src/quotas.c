#include "quotas.h"

#include <math.h>
#include <string.h>
#include <glib.h>
#include "core.h"
#include "counter.h"
#include "links.h"
#include "listing.h"
#include "log.h"
#include "loop.h"
#include "site.h"
#include "ts.h"

/* Links that break are not reported.  Takes 23 us with 300 nodes.  */
#define NODES_REFRESH_MS 500
/* A node that cannot read the table knows the others from its peers then.  */
#define KNOWN_BY_PEERS_MS 10000
#define METRICS_CUSTOMERS_MAX 64 /* others are left out */

struct quotas
{
  struct service service; /* must be first: it is cast to this struct */
  struct core *core;
  struct links *links;
  struct listing *listing;
  struct quota_bounds bounds;
  struct quota *quota;
  struct site *site; /* reference; NULL: none */
  struct loop_timer timer;
  struct timespec started_at;
  struct timespec nodes_at; /* when the nodes were set */
  bool known;               /* all of them */
  GHashTable *table_nodes;  /* names that were in the table */
};

static struct timespec
now_of (const struct quotas *quotas)
{
  return loop_now (quotas->core->loop);
}

/* Nodes.  */

static void
add_members (const struct quotas *quotas, GArray *nodes)
{
  size_t count;
  const struct member_info *const *members
      = links_members (quotas->links, &count);

  for (size_t i = 0; i < count; i++)
    {
      enum member_state state = members[i]->state;
      bool self = strcmp (members[i]->id, quotas->core->node) == 0;
      struct homes_node node
          = { .name = members[i]->id,
              .serves = state == MEMBER_LIVE || state == MEMBER_SUSPECT,
              .linked
              = self
                || (state != MEMBER_DEAD
                    && links_connected (quotas->links, members[i]->id)) };

      g_array_append_val (nodes, node);
    }
}

static bool
has_node (const GArray *nodes, const char *name)
{
  for (guint i = 0; i < nodes->len; i++)
    if (strcmp (g_array_index (nodes, struct homes_node, i).name, name) == 0)
      return true;
  return false;
}

/* A node in the table that is no member may be cut off from this one or gone:
   it counts for a while after it was first found there.  */
static void
add_table_nodes (struct quotas *quotas, GArray *nodes)
{
  const GPtrArray *names = listing_nodes (quotas->listing);

  for (guint i = 0; names != NULL && i < names->len; i++)
    {
      const char *name = g_ptr_array_index (names, i);
      struct homes_node node = { .name = name };

      if (!g_hash_table_add (quotas->table_nodes, g_strdup (name)))
        continue;
      if (!has_node (nodes, name))
        g_array_append_val (nodes, node);
    }
}

static bool
knows_nodes (const struct quotas *quotas, const GArray *nodes)
{
  return listing_nodes (quotas->listing) != NULL
         || (nodes->len > 1
             && ts_before (ts_add_ms (quotas->started_at, KNOWN_BY_PEERS_MS),
                           now_of (quotas)));
}

static void
set_nodes (struct quotas *quotas)
{
  GArray *nodes = g_array_new (FALSE, FALSE, sizeof (struct homes_node));

  add_members (quotas, nodes);
  add_table_nodes (quotas, nodes);
  quotas->nodes_at = now_of (quotas);
  quotas->known = knows_nodes (quotas, nodes);
  quota_set_nodes (quotas->quota, (const struct homes_node *)nodes->data,
                   nodes->len, quotas->known, quotas->nodes_at);
  g_array_unref (nodes);
}

static void
refresh_nodes (struct quotas *quotas)
{
  if (ts_before (ts_add_ms (quotas->nodes_at, NODES_REFRESH_MS),
                 now_of (quotas)))
    set_nodes (quotas);
}

/* Actions.  */

static uint64_t
to_amount (double amount)
{
  return (uint64_t)floor (CLAMP (amount, 0, 1e15));
}

static void
send_quota (struct quotas *quotas, const struct quota_action *action,
            enum peer_msg_type type)
{
  struct peer_quota quota = { .customer = action->customer,
                              .number = action->number,
                              .amount = to_amount (action->need),
                              .want = to_amount (action->want),
                              .wait_ms = (uint64_t)MAX (action->wait_ms, 0),
                              .ready_ms = (uint64_t)MAX (action->ready_ms, 0),
                              .age_ms = (uint64_t)MAX (action->age_ms, 0) };
  struct peer_msg msg = { .type = type, .quotas = &quota, .quota_count = 1 };

  if (links_send (quotas->links, action->node, &msg) == 0)
    counter_add (COUNTER_QUOTA_MESSAGES, 1);
}

static void
run_action (struct quotas *quotas, const struct quota_action *action)
{
  switch ((enum quota_action_type)action->action.type)
    {
    case QUOTA_SEND_ASK:
      send_quota (quotas, action, PEER_QUOTA_ASK);
      break;
    case QUOTA_SEND_GRANT:
      send_quota (quotas, action, PEER_QUOTA_GRANT);
      break;
    case QUOTA_SEND_RETURN:
      send_quota (quotas, action, PEER_QUOTA_RETURN);
      break;
    case QUOTA_READY:
      kernel_post (quotas->core->kernel, KERNEL_QUOTA_CHANGED, NULL);
      break;
    }
}

static void
run (struct quotas *quotas, struct action_list *list)
{
  struct action *action;
  struct timespec next;

  while ((action = action_pop (list)) != NULL)
    {
      run_action (quotas, (struct quota_action *)action);
      action_free (action);
    }
  next = quota_next (quotas->quota);
  /* The hold begins when the nodes are known, also before the first limit.  */
  if (ts_is_zero (next) && !quotas->known)
    next = ts_add_ms (now_of (quotas), NODES_REFRESH_MS + 1);
  if (!ts_is_zero (next))
    loop_timer_set (quotas->core->loop, &quotas->timer, next);
}

static void
on_timer (struct loop_timer *timer)
{
  struct quotas *quotas
      = (struct quotas *)((char *)timer - offsetof (struct quotas, timer));
  struct action_list list;

  refresh_nodes (quotas);
  action_list_init (&list);
  quota_tick (quotas->quota, now_of (quotas), &list);
  run (quotas, &list);
}

/* Requests.  */

struct quota_verdict
quotas_take (struct quotas *quotas, const char *customer, double amount)
{
  struct quota_verdict verdict;
  struct action_list list;

  refresh_nodes (quotas);
  action_list_init (&list);
  verdict
      = quota_take (quotas->quota, customer, amount, now_of (quotas), &list);
  run (quotas, &list);
  return verdict;
}

struct quota_verdict
quotas_check (struct quotas *quotas, const char *customer, uint64_t wait)
{
  return quota_check (quotas->quota, customer, wait);
}

void
quotas_leave (struct quotas *quotas, const char *customer, uint64_t wait)
{
  struct action_list list;

  action_list_init (&list);
  quota_leave (quotas->quota, customer, wait, now_of (quotas), &list);
  run (quotas, &list);
}

void
quotas_return (struct quotas *quotas, const char *customer,
               const struct quota_taken *taken)
{
  struct action_list list;

  action_list_init (&list);
  quota_return (quotas->quota, customer, taken, now_of (quotas), &list);
  run (quotas, &list);
}

bool
quotas_status (struct quotas *quotas, const char *customer,
               struct quota_status *status)
{
  return quota_status (quotas->quota, customer, now_of (quotas), status);
}

/* Messages of other nodes.  */

static int64_t
to_ms (uint64_t ms)
{
  return (int64_t)MIN (ms, (uint64_t)G_MAXINT32);
}

static void
receive_quota (struct quotas *quotas, const char *from,
               const struct peer_quota *quota, enum peer_msg_type type,
               struct action_list *list)
{
  struct timespec now = now_of (quotas);
  double amount = (double)quota->amount;

  if (type == PEER_QUOTA_ASK)
    quota_asked (quotas->quota, from, quota->customer, quota->number, amount,
                 (double)quota->want, now, list);
  else if (type == PEER_QUOTA_GRANT)
    quota_granted (quotas->quota, from, quota->customer, quota->number, amount,
                   to_ms (quota->wait_ms), to_ms (quota->ready_ms), now, list);
  else
    quota_returned (quotas->quota, from, quota->customer, quota->number,
                    amount, to_ms (quota->age_ms), now);
}

static void
handle_peer_message (struct quotas *quotas, const struct links_msg *received)
{
  const struct peer_msg *msg = received->msg;
  struct action_list list;

  if (msg->type < PEER_QUOTA_ASK || msg->type > PEER_QUOTA_RETURN)
    return;
  refresh_nodes (quotas);
  action_list_init (&list);
  for (size_t i = 0; i < msg->quota_count; i++)
    if (msg->quotas[i].customer != NULL)
      receive_quota (quotas, received->from, &msg->quotas[i], msg->type,
                     &list);
  run (quotas, &list);
}

/* Configuration.  */

static void
set_site (struct quotas *quotas, struct site *site)
{
  const GArray *customers = site->customers;
  GArray *limits = g_array_new (FALSE, FALSE, sizeof (struct quota_limit));
  struct action_list list;

  for (guint i = 0; i < customers->len; i++)
    {
      const struct site_customer *customer
          = &g_array_index (customers, struct site_customer, i);
      struct quota_limit limit = { .customer = customer->name,
                                   .per_s = customer->per_s,
                                   .burst = customer->burst,
                                   .by_tokens = customer->by_tokens };

      g_array_append_val (limits, limit);
    }
  site_ref (site);
  site_unref (quotas->site);
  quotas->site = site;
  action_list_init (&list);
  quota_set_limits (quotas->quota, (const struct quota_limit *)limits->data,
                    limits->len, now_of (quotas), &list);
  run (quotas, &list);
  g_array_unref (limits);
}

/* Metrics.  */

struct metric
{
  const char *name;
  const char *help;
  const char *type;
  double (*value) (const struct quota_status *status);
};

static double
metric_per_s (const struct quota_status *status)
{
  return status->per_s;
}

static double
metric_use (const struct quota_status *status)
{
  return status->use_per_s;
}

static double
metric_credit (const struct quota_status *status)
{
  return status->balance;
}

static double
metric_waiting (const struct quota_status *status)
{
  return status->waiting;
}

static double
metric_exceeded (const struct quota_status *status)
{
  return (double)status->exceeded;
}

static const struct metric metrics[]
    = { { "parsley_quota_per_s", "quota of the customer, of all nodes",
          "gauge", metric_per_s },
        { "parsley_quota_use_per_s", "use of the quota at this node", "gauge",
          metric_use },
        { "parsley_quota_credit", "part of the quota that this node holds",
          "gauge", metric_credit },
        { "parsley_quota_waiting", "requests waiting for the quota", "gauge",
          metric_waiting },
        { "parsley_quota_refused_total",
          "requests refused since the quota exists", "counter",
          metric_exceeded } };

static void
append_metric (struct quotas *quotas, const struct metric *metric,
               GString *text)
{
  const GArray *customers = quotas->site->customers;

  g_string_append_printf (text, "# HELP %s %s\n# TYPE %s %s\n", metric->name,
                          metric->help, metric->name, metric->type);
  for (guint i = 0; i < MIN (customers->len, METRICS_CUSTOMERS_MAX); i++)
    {
      const char *name
          = g_array_index (customers, struct site_customer, i).name;
      struct quota_status status;

      if (quotas_status (quotas, name, &status))
        g_string_append_printf (text, "%s{customer=\"%s\"} %.0f\n",
                                metric->name, name, metric->value (&status));
    }
}

char *
quotas_metrics (struct quotas *quotas)
{
  GString *text = g_string_new (NULL);

  if (quotas->site != NULL && quotas->site->customers->len > 0)
    for (size_t i = 0; i < G_N_ELEMENTS (metrics); i++)
      append_metric (quotas, &metrics[i], text);
  return g_string_free (text, FALSE);
}

/* The service.  */

static void
quotas_event (struct service *service, const struct kernel_event *event)
{
  struct quotas *quotas = (struct quotas *)service;

  if (event->type == KERNEL_PEER_MESSAGE)
    handle_peer_message (quotas, event->data);
  else if (event->type == KERNEL_SITE_CHANGED)
    set_site (quotas, (struct site *)event->data);
  else if (event->type == KERNEL_PEER_CONNECTED
           || event->type == KERNEL_MEMBERS_CHANGED)
    set_nodes (quotas);
}

static int
quotas_start (struct service *service, struct kernel *kernel)
{
  struct quotas *quotas = (struct quotas *)service;
  struct quota_options options = { .bounds = quotas->bounds };

  quotas->core = core_find (kernel);
  quotas->links = links_find (kernel);
  quotas->listing = listing_find (kernel);
  options.node = quotas->core->node;
  options.serial = quotas->core->incarnation;
  quotas->quota = quota_new (&options);
  quotas->timer.fire = on_timer;
  quotas->started_at = now_of (quotas);
  set_nodes (quotas);
  loop_timer_set (quotas->core->loop, &quotas->timer,
                  ts_add_ms (quotas->started_at, NODES_REFRESH_MS + 1));
  return 0;
}

static void
quotas_stop (struct service *service)
{
  struct quotas *quotas = (struct quotas *)service;

  loop_timer_clear (quotas->core->loop, &quotas->timer);
}

static const struct service_ops ops
    = { quotas_start, quotas_stop, quotas_event };

struct service *
quotas_new (const struct quota_bounds *bounds)
{
  struct quotas *quotas = g_new0 (struct quotas, 1);

  quotas->service.ops = &ops;
  quotas->service.name = QUOTAS_NAME;
  quotas->bounds = *bounds;
  quotas->table_nodes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return &quotas->service;
}

void
quotas_free (struct service *service)
{
  struct quotas *quotas = (struct quotas *)service;

  if (quotas == NULL)
    return;
  quota_free (quotas->quota);
  site_unref (quotas->site);
  g_hash_table_unref (quotas->table_nodes);
  g_free (quotas);
}

struct quotas *
quotas_find (struct kernel *kernel)
{
  return (struct quotas *)kernel_find (kernel, QUOTAS_NAME);
}

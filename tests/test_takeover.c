/* Bounded model check of lease takeover: breadth-first search over the
   interleavings of two nodes, the table and the network.  Includes the sources
   of lease and intent, because it has to compare their internal states.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include <xxhash.h>
#define push lease_push
#include "../src/lease.c"
#undef push
#include "../src/intent.c"
#include "fake_cell_steps.h"

#define TIME_STEP_MS 2000
#define TIME_MAX_MS 16000
#define FAULTS_MAX 2
#define STATES_MAX 50000
#define STATES_MAX_LONG 500000
#define STEPS_MAX 64

struct choice
{
  enum cell_step_kind step;
  unsigned argument;
};

/* A state, represented by the last step of a shortest path to it.  */
struct state
{
  const struct state *parent;
  struct choice choice;
  unsigned depth;
  unsigned faults;
};

struct search
{
  const struct scenario *scenario;
  GQueue *frontier; /* struct state: not expanded yet */
  GHashTable *visited;
  GPtrArray *all;
  unsigned count;
  unsigned limit;
  unsigned depth;
  unsigned after_takeover; /* states with more than one lease won */
};

/* After the first FRESH_STEPS steps node 0 holds the lease and is about to
   order a load.  After all steps its journal entry is in flight while it is
   paused and its lease is about to expire.  */
#define FRESH_STEPS 7
static const struct choice prefix[] = {
  { CELL_RUN_NODE, 0 },   { CELL_RUN_NODE, 0 },  { CELL_RUN_NODE, 1 },
  { CELL_PLAN, 0 },       { CELL_RUN_NODE, 0 },  { CELL_DELIVER_ORDER, 0 },
  { CELL_PLAN, 0 },       { CELL_ADVANCE, 100 }, { CELL_TICK, 0 },
  { CELL_ADVANCE, 2000 }, { CELL_RUN_NODE, 1 },  { CELL_ADVANCE, 2000 },
  { CELL_RUN_NODE, 1 }
};

struct scenario
{
  const char *name;
  bool checks_fence;
  unsigned steps; /* of prefix */
};

static const struct scenario scenarios[] = {
  { "/takeover/engines-ignore-token/fresh", false, FRESH_STEPS },
  { "/takeover/engines-ignore-token/paused", false, G_N_ELEMENTS (prefix) },
  { "/takeover/engines-check-token/fresh", true, FRESH_STEPS },
  { "/takeover/engines-check-token/paused", true, G_N_ELEMENTS (prefix) }
};

static const double rates[CELL_NODES] = { 1.0, 1.009, 0.991 };

static bool
is_fault (enum cell_step_kind step)
{
  return step == CELL_TICK || step == CELL_LOSE_RESPONSE
         || step == CELL_LOSE_REQUEST;
}

static int64_t
age (struct timespec at, struct timespec now)
{
  return ts_is_zero (at) ? -1 : ts_to_ms (ts_sub (now, at));
}

/* Version relative to the current version of the lease row.  */
static int64_t
relative (const struct cell *cell, uint64_t version)
{
  const struct platform_row *row = fake_table_row (&cell->table, "cell/c");

  return version == 0 ? 1 : (int64_t)(version - (row ? row->version : 0));
}

static void
add_lease (GString *text, const struct cell *cell, const struct lease *lease,
           struct timespec now)
{
  const struct leaserow *seen = &lease->seen;
  const struct attempt *attempt = &lease->attempt;

  g_string_append_printf (
      text, "L%d,%d%d%d,%u,%d,%d,%d;", lease->state, lease->reading,
      lease->table_unavailable, lease->release_wanted, lease->failures,
      (int)MAX (age (lease->next, now), -9000), (int)lease->fence,
      (int)relative (cell, lease->version));
  if (lease->fence != 0)
    g_string_append_printf (text, "v%d;",
                            (int)MIN (age (lease->valid_until, now), 1));
  if (seen->known)
    g_string_append_printf (text, "s%d,%d,%s,%d,%d;",
                            (int)relative (cell, seen->version),
                            (int)MIN (age (seen->at, now), 9000), seen->holder,
                            (int)seen->fence, seen->released);
  if (attempt->open)
    g_string_append_printf (
        text, "a%d,%d%d,%d,%d,%d;", attempt->kind, attempt->waiting,
        attempt->outcome_unknown, (int)MIN (age (attempt->sent_at, now), 9000),
        (int)attempt->fence, (int)relative (cell, attempt->check.version));
}

static void
add_intent (GString *text, const struct cell *cell,
            const struct intent *intent, struct timespec now)
{
  const struct entry *entry;
  const struct group *group = &intent->group;

  g_string_append_printf (
      text, "I%d%d%d,%d,%d,%u;", intent->ready, intent->table_unavailable,
      intent->scanning, (int)intent->fence,
      (int)relative (cell, intent->version), intent->failures);
  CK_STAILQ_FOREACH (entry, &intent->entries, link)
    {
      g_string_append_printf (text, "e%s,%d%d%d,%d;", entry->order.order_id,
                              entry->state, entry->released, entry->settled,
                              (int)MIN (age (entry->since, now), 1000));
    }
  if (group->open)
    g_string_append_printf (
        text, "g%d%d,%d,%d,%d,%zu;", group->waiting, group->outcome_unknown,
        (int)MIN (age (group->begun_at, now), 9000),
        (int)MAX (age (group->retry_at, now), -9000),
        (int)relative (cell, group->check.version), group->count);
}

static void
add_orders (GString *text, const char *name, const GPtrArray *orders)
{
  for (guint k = 0; k < orders->len; k++)
    {
      const struct cell_order *order = orders->pdata[k];

      g_string_append_printf (text, "%s%s,%d,%d,%d;", name,
                              order->order.order_id, order->order.type,
                              (int)order->order.fence, order->rolled_forward);
    }
}

/* Distinguishes transaction tokens only as lease and intent do: by whether
   they belong to an attempt that is still open.  */
static void
add_token (GString *text, const struct cell *cell, const char *token)
{
  for (unsigned i = 0; i < cell->node_count; i++)
    {
      const struct lease *lease = cell->nodes[i].lease;
      const struct intent *intent = cell->nodes[i].intent;

      if (g_strcmp0 (token, lease->attempt.token) == 0)
        g_string_append_printf (text, "tl%u", i);
      if (g_strcmp0 (token, intent->group.token) == 0)
        g_string_append_printf (text, "ti%u", i);
    }
}

static void
add_rows (GString *text, const struct cell *cell,
          const struct platform_rows *rows)
{
  for (size_t r = 0; r < rows->count; r++)
    {
      bool lease = strcmp (rows->rows[r].key, "cell/c") == 0;

      g_string_append_printf (
          text, "%s=%s,%d", rows->rows[r].key, rows->rows[r].value,
          lease ? (int)relative (cell, rows->rows[r].version) : 0);
      add_token (text, cell, rows->rows[r].token);
    }
}

static void
add_request (GString *text, const struct cell *cell,
             const struct cell_request *request)
{
  const struct cell_node *node = &cell->nodes[request->node];
  bool current = request->kind == REQUEST_LEASE_TXN
                     ? request->attempt == node->lease->attempt.number
                     : request->attempt == node->intent->group.number;

  g_string_append_printf (text, "w%u,%d,%d%d,%d", request->node, request->kind,
                          current, request->answered, request->status);
  if (request->txn != NULL)
    {
      g_string_append_printf (
          text, ",%d", (int)relative (cell, request->txn->checks[0].version));
      add_token (text, cell, request->txn->token);
      for (size_t i = 0; i < request->txn->write_count; i++)
        g_string_append_printf (text, ",%s=%s", request->txn->writes[i].key,
                                request->txn->writes[i].value);
    }
  add_rows (text, cell, &request->rows);
}

/* 128-bit hash of the state, as text.  */
static char *
digest (struct cell *cell, unsigned faults)
{
  XXH128_hash_t hash;
  GString *text = g_string_new (NULL);
  struct platform_rows rows = { 0 };

  g_string_append_printf (text, "%d,%u,%d,%d;", (int)(cell->ns / 1000000),
                          faults, (int)cell->engine_models,
                          (int)cell->engine_fence);
  for (unsigned i = 0; i < cell->node_count; i++)
    {
      struct cell_node *node = &cell->nodes[i];

      add_lease (text, cell, node->lease, cell_now (cell, node));
      add_intent (text, cell, node->intent, cell_now (cell, node));
      add_orders (text, "b", node->outbox);
      add_orders (text, "o", node->unsettled);
    }
  for (guint k = 0; k < cell->requests->len; k++)
    add_request (text, cell, cell->requests->pdata[k]);
  add_orders (text, "f", cell->orders);
  fake_table_scan (&cell->table, "", SIZE_MAX, &rows);
  add_rows (text, cell, &rows);
  fake_rows_clear (&rows);
  hash = XXH3_128bits (text->str, text->len);
  g_string_printf (text, "%016" PRIx64 "%016" PRIx64, (uint64_t)hash.high64,
                   (uint64_t)hash.low64);
  return g_string_free (text, FALSE);
}

static void
replay (struct cell *cell, const struct search *search,
        const struct state *state)
{
  struct choice steps[STEPS_MAX];
  unsigned count = state->depth;

  for (const struct state *at = state; at->parent != NULL; at = at->parent)
    steps[at->depth - 1] = at->choice;
  cell_init (cell, 2, search->scenario->checks_fence, rates);
  for (unsigned i = 0; i < search->scenario->steps; i++)
    cell_step (cell, prefix[i].step, prefix[i].argument);
  for (unsigned i = 0; i < count; i++)
    cell_step (cell, steps[i].step, steps[i].argument);
}

static void
print_path (const struct state *state)
{
  if (state->parent == NULL)
    return;
  print_path (state->parent);
  g_test_message ("step %d argument %u", state->choice.step,
                  state->choice.argument);
}

static void
visit (struct search *search, const struct state *from,
       enum cell_step_kind step, unsigned argument)
{
  struct state next = { from,
                        { step, argument },
                        from->depth + 1,
                        from->faults + (is_fault (step) ? 1 : 0) };
  struct state *kept;
  struct cell cell;
  char *text;

  if (next.faults > FAULTS_MAX || next.depth >= STEPS_MAX)
    return;
  replay (&cell, search, &next);
  if (cell.violation[0] != '\0')
    {
      print_path (&next);
      g_error ("%s", cell.violation);
    }
  text = digest (&cell, next.faults);
  if (g_hash_table_add (search->visited, text))
    {
      kept = g_memdup2 (&next, sizeof next);
      g_ptr_array_add (search->all, kept);
      g_queue_push_tail (search->frontier, kept);
      search->count++;
      search->depth = next.depth;
      if (cell.wins > 1)
        search->after_takeover++;
    }
  cell_clear (&cell);
}

static void
expand_requests (struct search *search, const struct state *state,
                 const struct cell *cell)
{
  for (guint k = 0; k < cell->requests->len; k++)
    {
      const struct cell_request *request = cell->requests->pdata[k];

      if (request->answered)
        {
          visit (search, state, CELL_RESPOND, k);
          continue;
        }
      visit (search, state, CELL_EXECUTE, k);
      if (request->txn == NULL)
        continue;
      visit (search, state, CELL_LOSE_RESPONSE, k);
      visit (search, state, CELL_LOSE_REQUEST, k);
    }
}

static void
expand (struct search *search, const struct state *state)
{
  struct cell cell;

  replay (&cell, search, state);
  if (cell.ns < TIME_MAX_MS * TS_NS_PER_MS)
    visit (search, state, CELL_ADVANCE, TIME_STEP_MS);
  for (unsigned i = 0; i < cell.node_count; i++)
    {
      visit (search, state, CELL_RUN_NODE, i);
      visit (search, state, CELL_TICK, i);
      visit (search, state, CELL_SEND, i);
      visit (search, state, CELL_PLAN, i);
    }
  for (guint k = 0; k < cell.orders->len; k++)
    visit (search, state, CELL_DELIVER_ORDER, k);
  expand_requests (search, state, &cell);
  cell_clear (&cell);
}

static void
test_exhaustive (gconstpointer data)
{
  static const struct state start;
  struct search search = { .scenario = data };
  const struct state *state;

  search.limit = getenv ("RC_LONG") != NULL ? STATES_MAX_LONG : STATES_MAX;
  search.frontier = g_queue_new ();
  search.visited
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  search.all = g_ptr_array_new_with_free_func (g_free);
  g_queue_push_tail (search.frontier, (void *)&start);
  while (search.count < search.limit
         && (state = g_queue_pop_head (search.frontier)) != NULL)
    expand (&search, state);
  g_test_message ("%u states, %u steps deep, %u after a takeover%s",
                  search.count, search.depth, search.after_takeover,
                  g_queue_is_empty (search.frontier) ? ", search complete"
                                                     : "");
  g_assert_cmpuint (search.after_takeover, >, 0);
  g_ptr_array_unref (search.all);
  g_hash_table_unref (search.visited);
  g_queue_free (search.frontier);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (scenarios); i++)
    g_test_add_data_func (scenarios[i].name, &scenarios[i], test_exhaustive);
  return g_test_run ();
}

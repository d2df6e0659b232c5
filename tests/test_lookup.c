#include <stdio.h>
#include <string.h>
#include <glib.h>
#include "cellrank.h"
#include "lookup.h"

#define ZONES 4
#define CALLERS 40
#define TARGETS 400
#define NODES_MAX 400

static struct route_node nodes[NODES_MAX];

static void
make_nodes (void)
{
  for (size_t i = 0; i < NODES_MAX; i++)
    {
      nodes[i].id = g_strdup_printf ("node-%03zu", i);
      nodes[i].zone = g_strdup_printf ("zone-%zu", i % ZONES);
      nodes[i].region = g_strdup ("region");
    }
}

static void
free_nodes (void)
{
  for (size_t i = 0; i < NODES_MAX; i++)
    {
      g_free (nodes[i].id);
      g_free (nodes[i].zone);
      g_free (nodes[i].region);
    }
}

/* Index of the first choice of caller C for target T.  */
static size_t
first_choice (size_t count, size_t t, size_t c, const uint64_t *load)
{
  const struct route_node *picked[LOOKUP_ADDRESSES];
  char target[32];
  char zone[32];
  struct lookup_query query = { .target = target,
                                .zone = zone,
                                .region = "region",
                                .caller = c + 1,
                                .load = load };

  g_snprintf (target, sizeof target, "model-%zu", t);
  g_snprintf (zone, sizeof zone, "zone-%zu", c % ZONES);
  g_assert_cmpuint (
      lookup_nodes (&query, nodes, count, picked, LOOKUP_ADDRESSES), >, 0);
  return (size_t)(picked[0] - nodes);
}

/* Removes node COUNT - 1.  Returns the share of callers whose first choice
   changes; *OWN is the share whose first choice it was.  */
static double
share_moved (size_t count, double *own)
{
  unsigned changed = 0;
  unsigned lost = 0;

  for (size_t t = 0; t < TARGETS; t++)
    for (size_t c = 0; c < CALLERS; c++)
      {
        size_t before = first_choice (count, t, c, NULL);
        size_t after = first_choice (count - 1, t, c, NULL);

        changed += before != after ? 1 : 0;
        lost += before == count - 1 ? 1 : 0;
      }
  *own = (double)lost / (TARGETS * CALLERS);
  return (double)changed / (TARGETS * CALLERS);
}

/* Highest load of a node, as a multiple of the mean.  With BOUNDED, lookups
   are given the current loads.  */
static double
peak_to_mean (size_t count, bool bounded)
{
  uint64_t load[NODES_MAX] = { 0 };
  uint64_t peak = 0;

  for (size_t c = 0; c < CALLERS; c++)
    for (size_t t = 0; t < TARGETS; t++)
      load[first_choice (count, t, c, bounded ? load : NULL)]++;
  for (size_t i = 0; i < count; i++)
    peak = MAX (peak, load[i]);
  return (double)peak * (double)count / (TARGETS * CALLERS);
}

static void
test_node_removed (void)
{
  static const size_t sizes[] = { 5, 50, 400 };

  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      double own;
      double share = share_moved (sizes[i], &own);
      double plain = peak_to_mean (sizes[i], false);
      double bounded = peak_to_mean (sizes[i], true);

      g_test_message ("%zu nodes: the removed one had %.2f %% of the callers, "
                      "%.2f %% move; highest load %.2f of the mean, "
                      "%.2f with bounded loads",
                      sizes[i], own * 100, share * 100, plain, bounded);
      g_assert_cmpfloat (share, >=, own);
      g_assert_cmpfloat (share, <, 2.5 * own);
      g_assert_cmpfloat (bounded, <, 1.35);
    }
}

static void
test_zones (void)
{
  const struct route_node *picked[LOOKUP_ADDRESSES];

  for (size_t c = 0; c < 100; c++)
    {
      char zone[32];
      struct lookup_query query = {
        .target = "model", .zone = zone, .region = "region", .caller = c + 1
      };

      g_snprintf (zone, sizeof zone, "zone-%zu", c % ZONES);
      g_assert_cmpuint (lookup_nodes (&query, nodes, 40, picked, 3), ==, 3);
      g_assert_cmpstr (picked[0]->zone, ==, zone);
      g_assert_cmpstr (picked[1]->zone, ==, zone);
      g_assert_cmpstr (picked[2]->zone, !=, zone);
      g_assert_cmpuint (lookup_nodes (&query, nodes, 0, picked, 3), ==, 0);
      g_assert_cmpuint (lookup_nodes (&query, nodes, 1, picked, 3), ==, 1);
    }
}

/* Each cell has exactly one first candidate, and no node is the first of more
   cells than its share.  */
static void
check_ranks (size_t cell_count, size_t node_count)
{
  const char *cells[64];
  const char *ids[NODES_MAX];
  unsigned ranks[64];
  unsigned firsts[64] = { 0 };
  unsigned seconds[64] = { 0 };

  for (size_t i = 0; i < cell_count; i++)
    cells[i] = nodes[i].id;
  for (size_t i = 0; i < node_count; i++)
    ids[i] = nodes[i].id;
  for (size_t n = 0; n < node_count; n++)
    {
      unsigned own = 0;

      cellrank (cells, cell_count, ids, node_count, ids[n], ranks);
      for (size_t i = 0; i < cell_count; i++)
        {
          own += ranks[i] == 0 ? 1 : 0;
          firsts[i] += ranks[i] == 0 ? 1 : 0;
          seconds[i] += ranks[i] == 1 ? 1 : 0;
        }
      g_assert_cmpuint (own, <=, (cell_count + node_count - 1) / node_count);
    }
  for (size_t i = 0; i < cell_count; i++)
    {
      g_assert_cmpuint (firsts[i], ==, 1);
      g_assert_cmpuint (seconds[i], ==, node_count > 1 ? 1 : 0);
    }
}

static void
test_ranks (void)
{
  const char *const cell[] = { "c" };
  const char *const two[] = { "a", "b" };
  unsigned rank;

  check_ranks (2, 5);
  check_ranks (25, 5);
  check_ranks (25, 1);
  check_ranks (25, 40);
  cellrank (cell, 1, two, 2, "z", &rank);
  g_assert_cmpuint (rank, ==, G_MAXUINT);
  cellrank (cell, 1, two, 0, "a", &rank);
  g_assert_cmpuint (rank, ==, G_MAXUINT);
}

struct answer_size_case
{
  size_t nodes;
  const char *zone;
  size_t expected;
};

/* A caller gets the nodes of its zone, and at least two if there are two.  */
static void
test_answer_size (void)
{
  static const struct answer_size_case cases[] = {
    { 0, "zone-0", 0 }, { 1, "zone-0", 1 },   { 4, "zone-0", 2 },
    { 8, "zone-1", 2 }, { 12, "zone-1", 3 },  { 40, "zone-1", 3 },
    { 8, "none", 2 },   { 400, "zone-3", 3 },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct answer_size_case *c = &cases[i];
      const struct route_node *picked[4];
      struct lookup_query query
          = { .target = "t", .zone = c->zone, .region = "region" };
      size_t count = lookup_nodes (&query, nodes, c->nodes, picked, 4);

      g_test_message ("%zu nodes, %s", c->nodes, c->zone);
      g_assert_cmpuint (lookup_answer_size (picked, count, c->zone, 2), ==,
                        c->expected);
    }
}

int
main (int argc, char **argv)
{
  int result;

  g_test_init (&argc, &argv, NULL);
  make_nodes ();
  g_test_add_func ("/lookup/node-removed", test_node_removed);
  g_test_add_func ("/lookup/zones", test_zones);
  g_test_add_func ("/lookup/answer-size", test_answer_size);
  g_test_add_func ("/lookup/cell-ranks", test_ranks);
  result = g_test_run ();
  free_nodes ();
  return result;
}

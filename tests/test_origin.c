/* Tests the memory of the versions that began streams, and the choice of the
   nodes that keep copies.  */

#include <glib.h>
#include <string.h>
#include "origin.h"
#include "ts.h"
#include "versions.h"

static void
test_streams (void)
{
  struct origin *origin = origin_new ();
  const struct origin_stream *stream;

  origin_put (origin, "a", "s", "v1", ts_from_ms (100));
  origin_put (origin, "b", "s", "v1", ts_from_ms (200));
  origin_put (origin, "b", "t", "v2", ts_from_ms (300));
  g_assert_null (origin_find (origin, "c", ts_from_ms (0)));
  g_assert_nonnull (origin_find (origin, "a", ts_from_ms (99)));
  g_assert_null (origin_find (origin, "a", ts_from_ms (100)));
  origin_expire (origin, ts_from_ms (250));
  g_assert_null (origin_find (origin, "a", ts_from_ms (0)));
  stream = origin_find (origin, "b", ts_from_ms (250));
  g_assert_cmpstr (stream->service, ==, "t");
  g_assert_cmpstr (stream->software, ==, "v2");
  origin_free (origin);
}

/* The oldest streams make room for new ones.  */
static void
test_bound (void)
{
  struct origin *origin = origin_new ();
  char id[16];

  for (int i = 0; i <= ORIGIN_STREAMS_MAX; i++)
    {
      g_snprintf (id, sizeof id, "%d", i);
      origin_put (origin, id, "s", "v", ts_from_ms (100));
    }
  g_assert_null (origin_find (origin, "0", ts_from_ms (0)));
  g_assert_nonnull (origin_find (origin, "1", ts_from_ms (0)));
  g_assert_nonnull (origin_find (origin, id, ts_from_ms (0)));
  origin_free (origin);
}

#define NODES 12
#define ZONES 4

/* All nodes but the one at LEFT_OUT.  */
static size_t
other_nodes (const struct origin_node *all, size_t left_out,
             struct origin_node *out)
{
  size_t n = 0;

  for (size_t i = 0; i < NODES; i++)
    if (i != left_out)
      out[n++] = all[i];
  return n;
}

/* Guards against copies that no other node asks for: of the nodes that a node
   selects for its copies, any other one asks at least two that are not
   itself, or has a copy.  Copies are in different zones.  */
static void
test_nodes (void)
{
  static const char *const ids[NODES]
      = { "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l" };
  static const char *const zones[ZONES] = { "w", "x", "y", "z" };
  struct origin_node all[NODES];
  unsigned used[NODES] = { 0 };

  for (size_t i = 0; i < NODES; i++)
    all[i] = (struct origin_node){ .id = ids[i], .zone = zones[i % ZONES] };
  for (size_t i = 0; i < 1000; i++)
    {
      struct origin_node copies[NODES];
      struct origin_node asked[NODES];
      size_t copy[ORIGIN_COPIES];
      size_t ask[ORIGIN_ASKED];
      size_t began_at = i % NODES;
      size_t resumed_at = (i + 1 + i / NODES % (NODES - 1)) % NODES;
      size_t common = 0;
      char id[16];

      g_snprintf (id, sizeof id, "%zu", i);
      g_assert_cmpuint (origin_nodes (id, copies,
                                      other_nodes (all, began_at, copies),
                                      copy, ORIGIN_COPIES),
                        ==, ORIGIN_COPIES);
      g_assert_cmpuint (origin_nodes (id, asked,
                                      other_nodes (all, resumed_at, asked),
                                      ask, ORIGIN_ASKED),
                        ==, ORIGIN_ASKED);
      for (size_t j = 0; j < ORIGIN_COPIES; j++)
        {
          const struct origin_node *node = &copies[copy[j]];

          used[node->id[0] - 'a']++;
          for (size_t k = 0; k < j; k++)
            g_assert_cmpstr (node->zone, !=, copies[copy[k]].zone);
          common += strcmp (node->id, all[resumed_at].id) == 0;
          for (size_t k = 0; k < ORIGIN_ASKED; k++)
            common += strcmp (node->id, asked[ask[k]].id) == 0;
        }
      g_assert_cmpuint (common, >=, 2);
    }
  for (size_t i = 0; i < NODES; i++)
    g_assert_cmpuint (used[i], >, 100);
}

/* With few nodes, all of them are selected.  */
static void
test_few_nodes (void)
{
  const struct origin_node nodes[] = { { "a", "x" }, { "b", "x" } };
  size_t picked[ORIGIN_COPIES];

  g_assert_cmpuint (origin_nodes ("s", nodes, 2, picked, ORIGIN_COPIES), ==,
                    2);
  g_assert_cmpuint (picked[0] + picked[1], ==, 1);
  g_assert_cmpuint (origin_nodes ("s", NULL, 0, picked, ORIGIN_COPIES), ==, 0);
}

/* A version counts as serving for some time after its last server was
   removed.  */
static void
test_versions (void)
{
  struct versions *versions = versions_new ();

  g_assert_null (versions_sole (versions, "s", ts_from_ms (0)));
  versions_add (versions, "s", "v1");
  versions_add (versions, "t", "v2");
  g_assert_cmpstr (versions_sole (versions, "s", ts_from_ms (0)), ==, "v1");
  versions_add (versions, "s", "v2");
  versions_add (versions, "s", "v2");
  g_assert_null (versions_sole (versions, "s", ts_from_ms (0)));
  versions_remove (versions, "s", "v1", ts_from_ms (10));
  g_assert_null (
      versions_sole (versions, "s", ts_from_ms (9 + VERSIONS_MEMORY_MS)));
  g_assert_cmpstr (
      versions_sole (versions, "s", ts_from_ms (10 + VERSIONS_MEMORY_MS)), ==,
      "v2");
  versions_free (versions);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/origin/streams", test_streams);
  g_test_add_func ("/origin/bound", test_bound);
  g_test_add_func ("/origin/nodes", test_nodes);
  g_test_add_func ("/origin/few-nodes", test_few_nodes);
  g_test_add_func ("/origin/versions", test_versions);
  return g_test_run ();
}

/* The account of what is held for clients, with times of the test's own.  */

#include <glib.h>
#include "membudget.h"
#include "ts.h"

#define LIMIT (8u << 20)
#define LARGE (2u << 20)
#define CROWD_SOURCE 1
#define CALLER_SOURCE 2

struct client
{
  struct membudget_account account; /* first: the callback casts it */
  bool closed;
  enum membudget_lack lack;
};

static void
on_close (struct membudget_account *account, enum membudget_lack lack)
{
  struct client *client = (struct client *)account;

  client->closed = true;
  client->lack = lack;
}

static void
join (struct membudget *budget, struct membudget_group *group,
      struct client *client, uint32_t source, int64_t ms)
{
  *client = (struct client){ .account.close = on_close,
                             .account.state = MEMBUDGET_RECEIVING };
  membudget_join (budget, group, &client->account, source, ts_from_ms (ms));
}

static void
leave_all (struct client *clients, size_t count)
{
  for (size_t i = 0; i < count; i++)
    membudget_leave (&clients[i].account);
}

/* Guards against a crowd whose unfinished bodies keep everybody else out.  */
static void
test_stale_give_way (void)
{
  struct membudget_options options = { .bytes = LIMIT };
  struct membudget *budget = membudget_new (&options);
  struct membudget_group group = { 0 };
  struct client clients[4];

  for (size_t i = 0; i < 4; i++)
    join (budget, &group, &clients[i], i < 3 ? CROWD_SOURCE : CALLER_SOURCE,
          1000);
  for (size_t i = 0; i < 3; i++)
    g_assert_true (
        membudget_hold (&clients[i].account, LARGE, ts_from_ms (1000)));
  g_assert_false (
      membudget_hold (&clients[3].account, LARGE, ts_from_ms (1100)));
  membudget_hold (&clients[3].account, 0, ts_from_ms (1100));
  g_assert_true (
      membudget_hold (&clients[3].account, LARGE, ts_from_ms (2000)));
  g_assert_false (clients[3].closed);
  g_assert_cmpuint (clients[0].closed + clients[1].closed + clients[2].closed,
                    ==, 1);
  leave_all (clients, 4);
  g_assert_cmpuint (membudget_used (budget), ==, 0);
  membudget_free (budget);
}

/* Guards against closing a request that a server may be running: its refusal
   would not be true.  */
static void
test_running_stay (void)
{
  struct membudget_options options = { .bytes = LIMIT };
  struct membudget *budget = membudget_new (&options);
  struct membudget_group group = { 0 };
  struct client clients[2];

  join (budget, &group, &clients[0], CROWD_SOURCE, 1000);
  join (budget, &group, &clients[1], CALLER_SOURCE, 1000);
  clients[0].account.state = MEMBUDGET_RUNNING;
  membudget_hold (&clients[0].account, 2 * LIMIT, ts_from_ms (1000));
  g_assert_false (
      membudget_hold (&clients[1].account, LARGE, ts_from_ms (60000)));
  membudget_relieve (budget, ts_from_ms (60000));
  g_assert_false (clients[0].closed);
  leave_all (clients, 2);
  membudget_free (budget);
}

/* Guards against large bodies that leave no room for usual requests.  */
static void
test_room_for_small (void)
{
  struct membudget_options options = { .bytes = LIMIT };
  struct membudget *budget = membudget_new (&options);
  struct membudget_group group = { 0 };
  struct client clients[8];
  bool kept = true;
  size_t n = 0;

  for (; n < 7 && kept; n++)
    {
      join (budget, &group, &clients[n], CROWD_SOURCE, 1000);
      kept = membudget_hold (&clients[n].account, LARGE, ts_from_ms (1000));
    }
  g_assert_false (kept);
  membudget_hold (&clients[n - 1].account, 0, ts_from_ms (1000));
  join (budget, &group, &clients[n], CROWD_SOURCE, 1000);
  g_assert_true (membudget_hold (&clients[n].account, MEMBUDGET_SMALL,
                                 ts_from_ms (1000)));
  leave_all (clients, n + 1);
  membudget_free (budget);
}

/* Guards against one address that holds all connections.  */
static void
test_idlest_of_most (void)
{
  struct membudget_options options = { 0 };
  struct membudget *budget = membudget_new (&options);
  struct membudget_group group = { .limit = 16 };
  struct client clients[20];

  join (budget, &group, &clients[0], CALLER_SOURCE, 0);
  for (size_t i = 1; i < 20; i++)
    join (budget, &group, &clients[i], CROWD_SOURCE, (int64_t)(1000 * i));
  g_assert_false (clients[0].closed);
  g_assert_false (clients[19].closed);
  for (size_t i = 1; i <= 6; i++)
    {
      g_assert_true (clients[i].closed);
      g_assert_cmpint (clients[i].lack, ==, MEMBUDGET_CONNECTIONS);
    }
  g_assert_cmpuint (group.connections, ==, 14);
  leave_all (clients, 20);
  g_assert_cmpuint (group.connections, ==, 0);
  membudget_free (budget);
}

/* Guards against more descriptors than the process may open: calls to servers
   need them too.  */
static void
test_descriptors (void)
{
  struct membudget_options options = { .descriptors = 4 };
  struct membudget *budget = membudget_new (&options);
  struct membudget_group group = { .limit = 16 };
  struct client clients[3];

  for (size_t i = 0; i < 2; i++)
    {
      join (budget, &group, &clients[i], CROWD_SOURCE, 0);
      clients[i].account.state = MEMBUDGET_RUNNING;
      membudget_add_call (budget, 1);
    }
  g_assert_false (membudget_may_call (budget));
  join (budget, &group, &clients[2], CALLER_SOURCE, 0);
  g_assert_true (clients[2].closed);
  g_assert_false (clients[0].closed || clients[1].closed);
  membudget_add_call (budget, -2);
  g_assert_true (membudget_may_call (budget));
  leave_all (clients, 3);
  membudget_free (budget);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/membudget/stale-give-way", test_stale_give_way);
  g_test_add_func ("/membudget/running-stay", test_running_stay);
  g_test_add_func ("/membudget/room-for-small", test_room_for_small);
  g_test_add_func ("/membudget/idlest-of-most", test_idlest_of_most);
  g_test_add_func ("/membudget/descriptors", test_descriptors);
  return g_test_run ();
}

/* Tests that a row which another program left among those of the servers does
   not end a gate, nor keep it or a node that follows its list from others.  */

#include "gate_fixture.h"
#include "gate_second.h"

#define NESTED 100000 /* levels */
#define LONG 60000    /* bytes */
#define FOLLOW_MS 4000

static GHashTable *reached; /* ids of servers that have got requests */

static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  (void)f;
  g_hash_table_add (reached, g_strdup (httpd_header (
                                 request, "Parsleyrill-Expect-Instance")));
  answer (request, 200, "hello");
}

static char *
repeat (const char *text, unsigned count)
{
  GString *out = g_string_new (NULL);

  while (count-- > 0)
    g_string_append (out, text);
  return g_string_free (out, FALSE);
}

/* A row in which MEMBER has another value than in sound ones.  */
static char *
odd_member (const struct fixture *f, const char *member, const char *value)
{
  static const char *const names[]
      = { "Service", "Address", "Zone", "Version",
          "Slots",   "State",   "born", "Sequence" };
  char *address = g_strdup_printf ("\"127.0.0.1:%u\"", httpd_port (f->server));
  const char *sound[]
      = { "\"app\"", address, "\"z\"", "\"v1\"", "8", "\"ready\"", "17", "1" };
  GString *row = g_string_new ("{");
  bool known = false;

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      bool odd = strcmp (names[i], member) == 0;

      known = known || odd;
      g_string_append_printf (row, "\"%s\":%s,", names[i],
                              odd ? value : sound[i]);
    }
  g_string_append_printf (row, "\"%s\":%s}", known ? "Other" : member,
                          known ? "0" : value);
  g_free (address);
  return g_string_free (row, FALSE);
}

static bool
is_followed (struct fixture *f, struct gate *gate, const char *id)
{
  struct timespec end = ts_add_ms (clk_now (clk_monotonic ()), FOLLOW_MS);
  struct gate *first = f->gate;
  bool found = false;

  f->gate = gate;
  while (!found && ts_before (clk_now (clk_monotonic ()), end))
    {
      request_and_wait (f, "GET", "/safe/x", NULL);
      found = g_hash_table_contains (reached, id);
    }
  f->gate = first;
  return found;
}

static void
put_sound (struct fixture *f, const char *id, const char *state)
{
  char *key = g_strconcat ("servers/", id, NULL);
  char *text = g_strdup_printf (
      "{\"Service\":\"app\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"z\","
      "\"Slots\":8,\"State\":\"%s\",\"Sequence\":1}",
      httpd_port (f->server), state);

  put_row (f, key, text);
  g_free (key);
  g_free (text);
}

/* With the odd row in place, both nodes learn of a server that joins.  */
static void
check_row (struct fixture *f, struct second *second, const char *key,
           const char *text)
{
  static unsigned number = 100;
  char *id = g_strdup_printf ("i-%u", number++);

  g_test_message ("%.60s %.120s", key, text);
  put_row (f, key, text);
  put_sound (f, id, "ready");
  g_assert_true (is_followed (f, f->gate, id));
  g_hash_table_remove_all (reached);
  g_assert_true (is_followed (f, second->gate, id));
  g_assert_false (g_hash_table_contains (reached, "odd"));
  g_hash_table_remove_all (reached);
  put_sound (f, id, "draining");
  put_row (f, key, NULL);
  g_free (id);
}

static void
set_up_two (struct fixture *f, struct second *second)
{
  struct timespec end = ts_add_ms (clk_now (clk_monotonic ()), 2000);
  char *address;

  reached = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  set_up (f);
  wait_until_serving (f);
  address = g_strdup_printf ("127.0.0.1:%u", httpd_port (f->store));
  start_second_at (f, second, address, f->settings.peer_token);
  g_free (address);
  while (ts_before (clk_now (clk_monotonic ()), end))
    run_once (f);
}

static void
tear_down_two (struct fixture *f, struct second *second)
{
  stop_second (second);
  tear_down (f);
  g_hash_table_unref (reached);
}

static void
check_member (const char *member, const char *const *values, size_t count)
{
  struct fixture f;
  struct second second;

  set_up_two (&f, &second);
  for (size_t i = 0; i < count; i++)
    {
      char *row = odd_member (&f, member, values[i]);

      check_row (&f, &second, "servers/odd", row);
      g_free (row);
    }
  tear_down_two (&f, &second);
}

#define CHECK_MEMBER(member, values)                                          \
  check_member (member, values, G_N_ELEMENTS (values))

/* A port out of range was cut to another one, or the row was used in vain.  */
static void
test_addresses (void)
{
  static const char *const values[] = { "\"127.0.0.1:0\"",
                                        "\"127.0.0.1:65536\"",
                                        "\"127.0.0.1:99999\"",
                                        "\"127.0.0.1:4294967297\"",
                                        "\"127.0.0.1:-1\"",
                                        "\"127.0.0.1:\"",
                                        "\"127.0.0.1:80x\"",
                                        "\":80\"",
                                        "\"127.0.0.1:1@127.0.0.1\"",
                                        "\"127.0.0.1:1/x\"",
                                        "\"127.0.0.1:1\\r\\nX: y\"",
                                        "\"localhost:1\"",
                                        "\"127.0.0.1\"",
                                        "7" };

  CHECK_MEMBER ("Address", values);
}

/* Numbers that do not fit were converted all the same.  */
static void
test_numbers (void)
{
  static const char *const slots[] = { "4294967296",
                                       "4294967295",
                                       "1e300",
                                       "1e400",
                                       "-1e300",
                                       "0.5",
                                       "99999999999999999999999" };
  static const char *const born[]
      = { "1e300", "-1e300", "1.5", "-1", "99999999999999999999999" };

  CHECK_MEMBER ("Slots", slots);
  CHECK_MEMBER ("born", born);
  CHECK_MEMBER ("Sequence", born);
}

static void
test_nested (void)
{
  struct fixture f;
  struct second second;
  char *open = repeat ("[", NESTED);
  char *objects = repeat ("{\"a\":", NESTED);
  char *begin = repeat ("[", 2000);
  char *end = repeat ("]", 2000);
  char *deep = g_strconcat (begin, end, NULL);
  char *own = g_strdup_printf ("{\"token\":\"t\",\"value\":%s}", deep);
  char *member;

  set_up_two (&f, &second);
  member = odd_member (&f, "Models", deep);
  check_row (&f, &second, "servers/odd-1", open);
  check_row (&f, &second, "servers/odd-2", objects);
  check_row (&f, &second, "servers/odd-3", deep);
  check_row (&f, &second, "servers/odd-4", own);
  check_row (&f, &second, "servers/odd-5", member);
  tear_down_two (&f, &second);
  g_free (open);
  g_free (objects);
  g_free (begin);
  g_free (end);
  g_free (deep);
  g_free (own);
  g_free (member);
}

/* Names that are very long kept the list of servers from other nodes.  */
static void
test_long_names (void)
{
  struct fixture f;
  struct second second;
  char *name = repeat ("n", LONG);
  char *quoted = g_strdup_printf ("\"%s\"", name);
  char *key = g_strdup_printf ("servers/%.190s", name);
  static const char *const members[] = { "Service", "Zone", "Version" };

  set_up_two (&f, &second);
  for (size_t i = 0; i < G_N_ELEMENTS (members); i++)
    {
      char *row = odd_member (&f, members[i], quoted);

      check_row (&f, &second, key, row);
      g_free (row);
    }
  tear_down_two (&f, &second);
  g_free (name);
  g_free (quoted);
  g_free (key);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/odd-rows/addresses", test_addresses);
  g_test_add_func ("/odd-rows/numbers", test_numbers);
  g_test_add_func ("/odd-rows/nested", test_nested);
  g_test_add_func ("/odd-rows/long-names", test_long_names);
  return g_test_run ();
}

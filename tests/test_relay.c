/* What nodes tell each other of a request that one has passed on.  */

#include <glib.h>
#include "relay.h"

static void
test_round_trip (void)
{
  struct relay_note note = { .node = (char *)"n;1,%",
                             .counts = true,
                             .attempts = 1,
                             .sendings = 3,
                             .config = G_MAXUINT64,
                             .software = (char *)"v;1 %" };
  struct relay_note read;
  char *text;

  relay_add_tried (&note.tried, "i-1");
  relay_add_tried (&note.tried, "a,b;c=d e\xc3\xa9");
  relay_add_tried (&note.tried, "i-1");
  text = relay_format (&note);
  relay_parse (text, &read);
  g_assert_cmpstr (read.node, ==, note.node);
  g_assert_true (read.counts);
  g_assert_false (read.unreached);
  g_assert_cmpuint (read.attempts, ==, 1);
  g_assert_cmpuint (read.sendings, ==, 3);
  g_assert_cmpuint (read.tried->len, ==, 2);
  g_assert_cmpstr (g_ptr_array_index (read.tried, 1), ==, "a,b;c=d e\xc3\xa9");
  g_assert_cmpstr (read.software, ==, note.software);
  g_assert_cmpuint (read.config, ==, note.config);
  g_free (text);
  relay_clear (&read);
  g_ptr_array_unref (note.tried);
}

/* Nodes of older releases tell their id alone, or "unreached".  */
static void
test_older (void)
{
  struct relay_note note;
  char *text;

  relay_parse ("gate-1", &note);
  g_assert_false (note.counts);
  g_assert_null (note.software);
  relay_clear (&note);
  relay_parse (NULL, &note);
  g_assert_false (note.counts);
  relay_clear (&note);
  note.unreached = true;
  text = relay_format (&note);
  g_assert_cmpstr (text, ==, "unreached");
  relay_parse (text, &note);
  g_assert_true (note.unreached);
  g_free (text);
}

/* Anything that is not a count is not taken for one: a missing count is not
   zero.  */
static void
test_malformed (void)
{
  static const char *const texts[] = { "node=n1;attempts=1",
                                       "node=n1;sendings=1",
                                       "node=n1;attempts=;sendings=1",
                                       "node=n1;attempts=-1;sendings=1",
                                       "node=n1;attempts=1x;sendings=1",
                                       "attempts=1,sendings=1",
                                       ";;;=;tried=" };
  struct relay_note note;

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      relay_parse (texts[i], &note);
      g_assert_false (note.counts);
      relay_clear (&note);
    }
  relay_parse ("attempts=99999999999999999999;sendings=5;more=x;tried=%zz,a",
               &note);
  g_assert_true (note.counts);
  g_assert_cmpuint (note.attempts, <=, 1000);
  g_assert_cmpuint (note.tried->len, ==, 1);
  relay_clear (&note);
}

/* Guards against a caller that claims to be a customer, by a code of another
   request, node, version or customer, or of another secret.  */
static void
test_customer (void)
{
  struct relay_note note
      = { .node = (char *)"n1", .config = 7, .customer = (char *)"a;b %" };
  struct relay_note read;
  char *text;

  note.code = relay_code (&note, "r1", "secret");
  text = relay_format (&note);
  relay_parse (text, &read);
  g_assert_cmpstr (read.customer, ==, note.customer);
  g_assert_true (relay_is_proven (&read, "r1", "secret"));
  g_assert_false (relay_is_proven (&read, "r2", "secret"));
  g_assert_false (relay_is_proven (&read, "r1", "other"));
  g_assert_false (relay_is_proven (&read, "r1", ""));
  g_assert_false (relay_is_proven (&read, "r1", NULL));
  read.config = 8;
  g_assert_false (relay_is_proven (&read, "r1", "secret"));
  read.config = 7;
  read.node[1] = '2';
  g_assert_false (relay_is_proven (&read, "r1", "secret"));
  read.node[1] = '1';
  read.customer[0] = 'b';
  g_assert_false (relay_is_proven (&read, "r1", "secret"));
  read.customer[0] = 'a';
  read.code[0] = read.code[0] == '0' ? '1' : '0';
  g_assert_false (relay_is_proven (&read, "r1", "secret"));
  g_free (text);
  relay_clear (&read);
  g_free (note.code);
}

/* Guards against parts that can be moved from one field to the next.  */
static void
test_customer_parts (void)
{
  struct relay_note one = { .node = (char *)"n1", .customer = (char *)"a" };
  struct relay_note other = { .node = (char *)"n", .customer = (char *)"a" };
  char *code = relay_code (&one, "r", "secret");
  char *other_code = relay_code (&other, "1r", "secret");

  g_assert_cmpstr (code, !=, other_code);
  g_free (code);
  g_free (other_code);
}

/* Guards against a customer without a code that is believed.  */
static void
test_customer_malformed (void)
{
  static const char *const texts[]
      = { "node=n1;config=7;customer=a",
          "node=n1;config=7;customer=a;code=", "config=7;customer=a;code=00",
          "node=n1;code=00", "customer=%zz" };
  struct relay_note note;

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      relay_parse (texts[i], &note);
      g_assert_false (relay_is_proven (&note, "r1", "secret"));
      relay_clear (&note);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/relay/round-trip", test_round_trip);
  g_test_add_func ("/relay/older", test_older);
  g_test_add_func ("/relay/malformed", test_malformed);
  g_test_add_func ("/relay/customer", test_customer);
  g_test_add_func ("/relay/customer-parts", test_customer_parts);
  g_test_add_func ("/relay/customer-malformed", test_customer_malformed);
  return g_test_run ();
}

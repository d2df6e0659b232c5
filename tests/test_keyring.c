/* Keys identify the customer that lists them, and no other.  */

#include <string.h>
#include <glib.h>
#include "keyring.h"

#define SEED 0x5eedu
#define MANY 500

static char **
keys_of (const char *list)
{
  return g_strsplit (list, ",", -1);
}

static void
add_customer (struct site *site, const char *name, const char *keys)
{
  struct site_customer customer
      = { .name = g_strdup (name), .keys = keys_of (keys) };

  g_array_append_val (site->customers, customer);
}

static const char *
name_of (const struct keyring *keyring, const char *key)
{
  const struct site_customer *customer = keyring_find (keyring, key);

  return customer != NULL ? customer->name : NULL;
}

static void
test_find (void)
{
  struct site *site = site_new ();
  struct keyring *keyring;

  add_customer (site, "a", "k1,k2");
  add_customer (site, "b", "k3");
  add_customer (site, "none", "");
  keyring = keyring_new (site->customers, SEED);
  g_assert_cmpstr (name_of (keyring, "k1"), ==, "a");
  g_assert_cmpstr (name_of (keyring, "k2"), ==, "a");
  g_assert_cmpstr (name_of (keyring, "k3"), ==, "b");
  g_assert_null (name_of (keyring, "k"));
  g_assert_null (name_of (keyring, "k11"));
  g_assert_null (name_of (keyring, "K1"));
  g_assert_null (name_of (keyring, ""));
  g_assert_cmpstr (keyring_named (keyring, "none")->name, ==, "none");
  g_assert_null (keyring_named (keyring, "c"));
  keyring_free (keyring);
  site_unref (site);
}

/* Guards against an endless search of a table without a free slot.  */
static void
test_empty (void)
{
  struct site *site = site_new ();
  struct keyring *keyring = keyring_new (site->customers, SEED);

  g_assert_null (keyring_find (keyring, "k"));
  g_assert_null (keyring_find (keyring, ""));
  keyring_free (keyring);
  site_unref (site);
}

/* Guards against requests of one customer being sent and charged as those of
   another.  */
static void
test_shared_key (void)
{
  struct site *site = site_new ();
  struct keyring *keyring;

  add_customer (site, "a", "k1,both,k1");
  add_customer (site, "b", "both,k3");
  keyring = keyring_new (site->customers, SEED);
  g_assert_null (name_of (keyring, "both"));
  g_assert_cmpstr (name_of (keyring, "k1"), ==, "a");
  g_assert_cmpstr (name_of (keyring, "k3"), ==, "b");
  keyring_free (keyring);
  site_unref (site);
}

/* Guards against keys that are lost, or found for another customer, where
   slots of the table collide.  */
static void
test_many (void)
{
  for (uint64_t seed = 0; seed < 20; seed++)
    {
      struct site *site = site_new ();
      struct keyring *keyring;

      for (int i = 0; i < MANY; i++)
        {
          char *name = g_strdup_printf ("c%d", i);
          char *keys = g_strdup_printf ("key-%d,other-%d", i, i);

          add_customer (site, name, keys);
          g_free (name);
          g_free (keys);
        }
      keyring = keyring_new (site->customers, seed);
      for (int i = 0; i < MANY; i++)
        {
          char *name = g_strdup_printf ("c%d", i);
          char *key = g_strdup_printf ("other-%d", i);
          char *unknown = g_strdup_printf ("unknown-%d", i);

          g_assert_cmpstr (name_of (keyring, key), ==, name);
          g_assert_null (name_of (keyring, unknown));
          g_free (name);
          g_free (key);
          g_free (unknown);
        }
      keyring_free (keyring);
      site_unref (site);
    }
}

static void
test_equal (void)
{
  g_assert_true (keyring_equal ("abc", "abc", 3));
  g_assert_false (keyring_equal ("abc", "xbc", 3));
  g_assert_false (keyring_equal ("abc", "abx", 3));
  g_assert_true (keyring_equal ("abc", "abx", 2));
  g_assert_true (keyring_equal ("", "x", 0));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/keyring/find", test_find);
  g_test_add_func ("/keyring/empty", test_empty);
  g_test_add_func ("/keyring/shared-key", test_shared_key);
  g_test_add_func ("/keyring/many", test_many);
  g_test_add_func ("/keyring/equal", test_equal);
  return g_test_run ();
}

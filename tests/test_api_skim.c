/* Outlines of JSON objects: valid exactly where the parser takes the text, and
   with the same outermost members.  */

#include <stdbool.h>
#include <string.h>
#include <glib.h>
#include <jansson.h>
#include "api_skim.h"

#define EDITS 20000

static const char *const texts[] = {
  "{}",
  " { } ",
  "{\"a\":1}",
  "{\"a\":[],\"b\":[ ],\"c\":{},\"d\":[1,2,[3,{\"x\":[]}],{}]}",
  "{\"model\":\"m\\u00e9\\n\",\"prompt\":[1,-2.5e+3,0,true,false,null,\"s\"]}",
  "{\"messages\":[{\"role\":\"user\",\"content\":\"a \\\"b\\\" ]}\"}],"
  "\"stream\":true,\"max_tokens\":12}",
};

static bool
parses (const char *text, size_t length)
{
  json_t *json = json_loadb (text, length, JSON_REJECT_DUPLICATES, NULL);
  bool is_object = json_is_object (json);

  json_decref (json);
  return is_object;
}

static void
check_members (const json_t *whole, const json_t *outline)
{
  const char *name;
  json_t *value;

  g_assert_cmpuint (json_object_size (whole), ==, json_object_size (outline));
  json_object_foreach ((json_t *)whole, name, value)
    {
      json_t *other = json_object_get (outline, name);

      if (json_is_array (value))
        g_assert_cmpuint (json_array_size (other), ==,
                          MIN (json_array_size (value), 1));
      else if (json_is_object (value))
        g_assert_true (json_is_object (other));
      else
        g_assert_true (json_equal (value, other));
    }
}

static void
check_text (const char *text, size_t length)
{
  char *outline = api_skim (text, length, NULL);
  json_t *whole;
  json_t *skimmed;

  if (!parses (text, length))
    {
      /* What is not checked: names that occur twice, surrogates, sizes.  */
      g_free (outline);
      return;
    }
  g_assert_nonnull (outline);
  whole = json_loadb (text, length, 0, NULL);
  skimmed = json_loads (outline, JSON_REJECT_DUPLICATES, NULL);
  g_assert_true (json_is_object (skimmed));
  check_members (whole, skimmed);
  json_decref (whole);
  json_decref (skimmed);
  g_free (outline);
}

static void
test_texts (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      g_assert_true (parses (texts[i], strlen (texts[i])));
      check_text (texts[i], strlen (texts[i]));
    }
}

/* Guards against requests that are refused, or taken, because of the skimmer:
   texts with one byte changed, left out or doubled.  */
static void
test_edits (void)
{
  static const char bytes[] = "{}[]\",:0-e.tn\\u \n";
  GRand *rand = g_rand_new_with_seed (1);
  unsigned invalid = 0;

  for (int i = 0; i < EDITS; i++)
    {
      const char *text
          = texts[g_rand_int_range (rand, 0, G_N_ELEMENTS (texts))];
      GString *edited = g_string_new (text);
      gsize at = (gsize)g_rand_int_range (rand, 0, (gint32)edited->len);
      char byte = bytes[g_rand_int_range (rand, 0, sizeof bytes - 1)];
      int kind = g_rand_int_range (rand, 0, 3);
      char *outline;

      if (kind == 0)
        edited->str[at] = byte;
      else if (kind == 1)
        g_string_erase (edited, (gssize)at, 1);
      else
        g_string_insert_c (edited, (gssize)at, byte);
      check_text (edited->str, edited->len);
      outline = api_skim (edited->str, edited->len, NULL);
      invalid += outline == NULL;
      if (outline != NULL && !parses (edited->str, edited->len))
        {
          json_error_t error;
          json_t *json = json_loadb (edited->str, edited->len, 0, &error);

          /* Twice the same name, or a surrogate that stands alone.  */
          g_assert_true (json != NULL || strstr (error.text, "urrogate")
                         || strstr (error.text, "Unicode")
                         || strstr (error.text, "\\u0000"));
          json_decref (json);
        }
      g_free (outline);
      g_string_free (edited, TRUE);
    }
  g_assert_cmpuint (invalid, >, 0);
  g_rand_free (rand);
}

/* Guards against objects of many members, and against names that the server
   reads and this does not.  */
static void
test_names (void)
{
  static const char *const names[] = { "a", NULL };
  GString *text = g_string_new ("{\"a\":1");
  char *outline;

  for (int i = 0; i < 2 * API_SKIM_MEMBERS_MAX; i++)
    g_string_append_printf (text, ",\"ab%d\":[2]", i);
  g_string_append (text, ", \"\\u0061\" : [3] }");
  outline = api_skim (text->str, text->len, names);
  g_assert_cmpstr (outline, ==, "{\"a\":1,\"\\u0061\" :[0]}");
  g_free (outline);
  g_assert_null (api_skim (text->str, text->len, NULL));
  g_string_free (text, TRUE);
}

/* Guards against a stack that overflows.  */
static void
test_depth (void)
{
  char *open = g_strnfill (API_SKIM_DEPTH_MAX + 1, '[');
  char *text = g_strdup_printf ("{\"a\":%s", open);

  g_assert_null (api_skim (text, strlen (text), NULL));
  g_free (text);
  g_free (open);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/api-skim/texts", test_texts);
  g_test_add_func ("/api-skim/edits", test_edits);
  g_test_add_func ("/api-skim/names", test_names);
  g_test_add_func ("/api-skim/depth", test_depth);
  return g_test_run ();
}

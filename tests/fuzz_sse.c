#include <stdint.h>
#include <string.h>
#include <glib.h>
#include "sse.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* The same bytes, given in one piece and one by one, end the same way.  */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  GString *held = g_string_new (NULL);
  struct relay whole;
  struct relay pieces;
  int64_t at_once;
  int64_t passed = 0;

  relay_init (&whole);
  relay_init (&pieces);
  at_once = relay_scan (&whole, (const char *)data, size);
  for (size_t i = 0; i < size && passed >= 0; i++)
    {
      int64_t n;

      g_string_append_c (held, (char)data[i]);
      n = relay_scan (&pieces, held->str, held->len);
      if (n > 0)
        g_string_erase (held, 0, (gssize)n);
      passed = n < 0 ? n : passed + n;
    }
  g_assert_true ((at_once < 0) == (passed < 0));
  g_assert_true (at_once < 0 || at_once == passed);
  g_assert_true (at_once < 0 || whole.events == pieces.events);
  g_assert_true (at_once < 0 || whole.whole == pieces.whole);
  g_string_free (held, TRUE);
  return 0;
}

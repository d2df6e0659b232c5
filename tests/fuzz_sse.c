#include <stdint.h>
#include <string.h>
#include <glib.h>
#include "sse.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Scanning the input at once and byte by byte must give the same result.  */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  GString *held = g_string_new (NULL);
  struct sse at_once_sse;
  struct sse pieces;
  int64_t at_once;
  int64_t passed = 0;

  sse_init (&at_once_sse, true);
  sse_init (&pieces, true);
  at_once = sse_scan (&at_once_sse, (const char *)data, size);
  for (size_t i = 0; i < size && passed >= 0; i++)
    {
      int64_t n;

      g_string_append_c (held, (char)data[i]);
      n = sse_scan (&pieces, held->str, held->len);
      if (n > 0)
        g_string_erase (held, 0, (gssize)n);
      passed = n < 0 ? n : passed + n;
    }
  g_assert_true ((at_once < 0) == (passed < 0));
  g_assert_true (at_once < 0 || at_once == passed);
  g_assert_true (at_once < 0 || at_once_sse.events == pieces.events);
  g_assert_true (at_once < 0 || at_once_sse.complete == pieces.complete);
  g_string_free (held, TRUE);
  return 0;
}

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include "frame.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);
const char *__asan_default_options (void);

/* Makes an allocation larger than any valid frame fail.  */
const char *
__asan_default_options (void)
{
  return "allocator_may_return_null=1:max_allocation_size_mb=256";
}

/* A message that was decoded can be encoded, and survives a second round trip
   unchanged.  */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct peer_msg msg;
  struct peer_msg again;
  char *first;
  char *second;
  size_t first_length;
  size_t second_length;

  if (frame_decode ((const char *)data, size, &msg) == 0
      && frame_encode (&msg, &first, &first_length) == 0)
    {
      assert (frame_decode (first + FRAME_HEADER_BYTES,
                            first_length - FRAME_HEADER_BYTES, &again)
              == 0);
      assert (frame_encode (&again, &second, &second_length) == 0);
      assert (first_length == second_length
              && memcmp (first, second, first_length) == 0);
      peer_msg_clear (&again);
      g_free (first);
      g_free (second);
    }
  peer_msg_clear (&msg);
  return 0;
}

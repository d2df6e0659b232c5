#include <stdint.h>
#include <string.h>
#include <glib.h>
#include "api.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* The input: three lines (key, deadline and priority, URI), then the body.  */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  char *text = g_strndup ((const char *)data, size);
  char **parts = g_strsplit (text, "\n", 4);
  guint n = g_strv_length (parts);
  struct api_headers headers = { .key = n > 0 ? parts[0] : NULL,
                                 .deadline = n > 1 ? parts[1] : NULL,
                                 .priority = n > 1 ? parts[1] : NULL };
  const char *uri = n > 2 ? parts[2] : "/v1/completions";
  const char *body = n > 3 ? parts[3] : "";
  struct api_request request;
  const char *why = NULL;

  if (api_read_completion (uri, &headers, body, strlen (body), &request, &why)
      < 0)
    g_assert_nonnull (why);
  else
    g_assert_true (request.target != NULL && request.fingerprint != 0);
  api_request_clear (&request);
  if (api_read_service ("POST", uri, &headers, body, strlen (body), &request,
                        &why)
      == 0)
    g_assert_true (*request.path == '/');
  api_request_clear (&request);
  g_strfreev (parts);
  g_free (text);
  return 0;
}

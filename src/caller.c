#include "caller.h"

#include <string.h>

void
caller_key_clear (struct caller_key *key)
{
  if (key->text != NULL)
    explicit_bzero (key->text, strlen (key->text));
  g_free (key->text);
  *key = (struct caller_key){ 0 };
}

void
caller_request_clear (struct caller_request *request)
{
  g_free (request->id);
  g_free (request->model);
  g_free (request->adapter);
  g_free (request->stream);
  g_strfreev (request->shared_parts);
  memset (request, 0, sizeof *request);
}

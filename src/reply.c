#include "reply.h"

#include <string.h>
#include <glib.h>
#include "api.h"

void
reply_text (struct httpd_request *request, unsigned status,
            const char *content_type, const char *text)
{
  httpd_respond (request, status, content_type, NULL, text, strlen (text));
}

void
reply_error (struct httpd_request *request, const struct reply_error *error)
{
  const char *headers[7] = { NULL };
  char seconds[16];
  size_t n = 0;
  char *text = api_error (error->type, error->message, error->not_run,
                          error->retry_after_s);

  g_snprintf (seconds, sizeof seconds, "%u", error->retry_after_s);
  if (error->retry_after_s > 0)
    {
      headers[n++] = "Retry-After";
      headers[n++] = seconds;
    }
  if (error->allow != NULL)
    {
      headers[n++] = "Allow";
      headers[n++] = error->allow;
    }
  if (error->close)
    {
      headers[n++] = "Connection";
      headers[n++] = "close";
    }
  httpd_respond (request, error->status, "application/json", headers, text,
                 strlen (text));
  g_free (text);
}

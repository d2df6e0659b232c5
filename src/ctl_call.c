#include "ctl_call.h"

#include <string.h>
#include <glib.h>
#include "clk.h"
#include "httpc.h"

struct pending
{
  struct ctl_response *response;
  bool done;
};

static void
on_done (void *user, const struct httpc_result *result)
{
  struct pending *pending = user;
  struct ctl_response *response = pending->response;

  pending->done = true;
  response->unsent = result->phase == HTTPC_UNSENT;
  response->status = result->error == 0 ? result->status : 0;
  if (result->error != 0)
    response->error = g_strdup (strerror (-result->error));
  else if (result->body != NULL)
    response->json = json_loadb (result->body, result->length, 0, NULL);
}

static void
call_node (const struct ctl_options *options, const char *node,
           const char *method, const char *path, const char *body,
           struct ctl_response *response)
{
  struct pending pending = { .response = response };
  struct loop *loop = loop_new (clk_monotonic ());
  struct httpc_options client = { .loop = loop };
  struct httpc *httpc = httpc_new (&client);
  char *url = g_strdup_printf ("http://%s%s", node, path);
  char *authorization
      = g_strdup_printf ("Authorization: Bearer %s",
                         options->token != NULL ? options->token : "");
  const char *headers[]
      = { authorization, "Content-Type: application/json", NULL };
  struct httpc_request request
      = { .method = method,
          .url = url,
          .body = body,
          .length = body != NULL ? strlen (body) : 0,
          .headers = headers,
          .timeout_ms
          = options->timeout_ms != 0 ? options->timeout_ms : CTL_TIMEOUT_MS,
          .done = on_done,
          .user = &pending };

  httpc_start (httpc, &request);
  while (!pending.done)
    loop_run_once (loop, -1);
  httpc_free (httpc);
  loop_free (loop);
  g_free (url);
  g_free (authorization);
}

void
ctl_call (const struct ctl_options *options, const char *method,
          const char *path, const char *body, struct ctl_response *response)
{
  char **nodes
      = g_strsplit (options->nodes != NULL ? options->nodes : "", ",", -1);
  bool is_read = strcmp (method, "GET") == 0;

  *response = (struct ctl_response){ .unsent = true };
  for (char **node = nodes; *node != NULL; node++)
    {
      if (**node == '\0')
        continue;
      ctl_response_clear (response);
      call_node (options, *node, method, path, body, response);
      if (response->status != 0 || (!is_read && !response->unsent))
        break;
    }
  g_strfreev (nodes);
}

void
ctl_response_clear (struct ctl_response *response)
{
  g_free (response->error);
  json_decref (response->json);
  *response = (struct ctl_response){ 0 };
}

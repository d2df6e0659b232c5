#include "ctl_call.h"

#include <string.h>
#include <glib.h>
#include "clk.h"
#include "httpc.h"

struct waiting
{
  struct ctl_answer *answer;
  bool done;
};

static void
on_done (void *user, const struct httpc_result *result)
{
  struct waiting *waiting = user;
  struct ctl_answer *answer = waiting->answer;

  waiting->done = true;
  answer->unsent = result->phase == HTTPC_UNSENT;
  answer->status = result->error == 0 ? result->status : 0;
  if (result->error != 0)
    answer->error = g_strdup (strerror (-result->error));
  else if (result->body != NULL)
    answer->json = json_loadb (result->body, result->length, 0, NULL);
}

static void
call_node (const struct ctl_options *options, const char *node,
           const char *method, const char *path, const char *body,
           struct ctl_answer *answer)
{
  struct waiting waiting = { .answer = answer };
  struct loop *loop = loop_new (clk_monotonic ());
  struct httpc_options client = { .loop = loop };
  struct httpc *httpc = httpc_new (&client);
  char *url = g_strdup_printf ("http://%s%s", node, path);
  char *bearer
      = g_strdup_printf ("Authorization: Bearer %s",
                         options->token != NULL ? options->token : "");
  const char *headers[] = { bearer, "Content-Type: application/json", NULL };
  struct httpc_request request
      = { .method = method,
          .url = url,
          .body = body,
          .length = body != NULL ? strlen (body) : 0,
          .headers = headers,
          .timeout_ms
          = options->timeout_ms != 0 ? options->timeout_ms : CTL_TIMEOUT_MS,
          .done = on_done,
          .user = &waiting };

  httpc_start (httpc, &request);
  while (!waiting.done)
    loop_run_once (loop, -1);
  httpc_free (httpc);
  loop_free (loop);
  g_free (url);
  g_free (bearer);
}

void
ctl_call (const struct ctl_options *options, const char *method,
          const char *path, const char *body, struct ctl_answer *answer)
{
  char **nodes
      = g_strsplit (options->nodes != NULL ? options->nodes : "", ",", -1);
  bool read = strcmp (method, "GET") == 0;

  *answer = (struct ctl_answer){ .unsent = true };
  for (char **node = nodes; *node != NULL; node++)
    {
      if (**node == '\0')
        continue;
      ctl_answer_clear (answer);
      call_node (options, *node, method, path, body, answer);
      if (answer->status != 0 || (!read && !answer->unsent))
        break;
    }
  g_strfreev (nodes);
}

void
ctl_answer_clear (struct ctl_answer *answer)
{
  g_free (answer->error);
  json_decref (answer->json);
  *answer = (struct ctl_answer){ 0 };
}

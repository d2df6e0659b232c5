#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <glib.h>
#include "clk.h"
#include "ctl.h"
#include "httpd.h"

#define CLOSED_ADDRESS "127.0.0.1:1" /* nothing listens there */

/* The response of the node to a request, "METHOD PATH?version=V".  With status
   0 it closes the connection without a response.  */
struct reply
{
  const char *request;
  unsigned status;
  const char *body;
};

struct command_case
{
  const char *name;
  const char *words; /* separated by spaces */
  int version;
  const char *file; /* content of the file named @ */
  struct reply replies[2];
  enum ctl_exit code;
  const char *out; /* expected substring of the output; NULL: no output */
  const char *err;
  bool closed_first; /* nothing listens at the first node's address */
};

static const struct command_case cases[] = {
  { .name = "status",
    .words = "status",
    .replies = { { "GET /admin/status?version=", 200, "{\"node\":\"n1\"}" } },
    .out = "\"node\": \"n1\"" },
  { .name = "next-node",
    .words = "status",
    .closed_first = true,
    .replies = { { "GET /admin/status?version=", 200, "{\"node\":\"n1\"}" } },
    .out = "\"node\": \"n1\"" },
  { .name = "token-refused",
    .words = "status",
    .replies = { { "GET /admin/status?version=", 403,
                   "{\"error\":{\"type\":\"forbidden\"}}" } },
    .code = CTL_REFUSED,
    .err = "403 forbidden" },
  { .name = "get-section",
    .words = "config get town",
    .replies = { { "GET /admin/config/town?version=", 200,
                   "{\"version\":3,\"section\":{}}" } },
    .out = "\"version\": 3" },
  { .name = "put-quiet",
    .words = "config put town @",
    .version = 3,
    .file = "{\"cold_weight\":1}",
    .replies
    = { { "PUT /admin/config/town?version=3", 200, "{\"version\":9}" } } },
  { .name = "put-version-in-file",
    .words = "config put town @",
    .version = -1,
    .file = "{\"version\":4,\"section\":{\"cold_weight\":1}}",
    .replies
    = { { "PUT /admin/config/town?version=4", 200, "{\"version\":9}" } } },
  { .name = "put-no-version",
    .words = "config put town @",
    .version = -1,
    .file = "{}",
    .code = CTL_USAGE,
    .err = "--version is required" },
  { .name = "put-invalid-json",
    .words = "config put town @",
    .version = 3,
    .file = "{\n ]",
    .code = CTL_FINDINGS,
    .err = ": 2:2: " },
  { .name = "put-conflict",
    .words = "config put town @",
    .version = 3,
    .file = "{\"cold_weight\":1}",
    .replies = { { "PUT /admin/config/town?version=3", 409,
                   "{\"result\":\"conflict\",\"version\":5,"
                   "\"detail\":{\"cold_weight\":0,\"max_waiting\":7}}" } },
    .code = CTL_FINDINGS,
    .out = "\"place\": \"/max_waiting\"",
    .err = "at version 5, the edit is based on version 3" },
  { .name = "put-invalid",
    .words = "config put town @",
    .version = 3,
    .file = "{\"x\":1}",
    .replies = { { "PUT /admin/config/town?version=3", 422,
                   "{\"result\":\"invalid\",\"version\":0,\"detail\":"
                   "\"/sections/town/x: is an unknown field\\n\"}" } },
    .code = CTL_FINDINGS,
    .err = "/sections/town/x: is an unknown field" },
  { .name = "put-unknown",
    .words = "config put town @",
    .version = 3,
    .file = "{\"cold_weight\":1}",
    .replies = { { "PUT /admin/config/town?version=3", 0, "" },
                 { "GET /admin/config/town?version=", 200,
                   "{\"version\":4,\"section\":{\"cold_weight\":0}}" } },
    .code = CTL_UNKNOWN,
    .err = "no node responded" },
  { .name = "put-lost-response",
    .words = "config put town @",
    .version = 3,
    .file = "{\"cold_weight\":1}",
    .replies = { { "PUT /admin/config/town?version=3", 0, "" },
                 { "GET /admin/config/town?version=", 200,
                   "{\"version\":9,\"section\":{\"cold_weight\":1}}" } },
    .err = "no node responded" },
  { .name = "put-in-doubt",
    .words = "config put town @",
    .version = 3,
    .file = "{\"cold_weight\":1}",
    .replies = { { "PUT /admin/config/town?version=3", 504,
                   "{\"result\":\"in_doubt\",\"version\":0}" },
                 { "GET /admin/config/town?version=", 200,
                   "{\"version\":3,\"section\":{\"cold_weight\":1}}" } },
    .code = CTL_UNKNOWN,
    .err = "504 in_doubt" },
  { .name = "put-table-away",
    .words = "config put town @",
    .version = 3,
    .file = "{\"cold_weight\":1}",
    .replies = { { "PUT /admin/config/town?version=3", 503,
                   "{\"result\":\"table_away\",\"version\":0}" } },
    .code = CTL_REFUSED,
    .err = "503 table_away" },
  { .name = "remove",
    .words = "config put town @",
    .version = 3,
    .file = "null",
    .replies
    = { { "DELETE /admin/config/town?version=3", 200, "{\"version\":9}" } } },
  { .name = "diff-same",
    .words = "config diff town @",
    .file = "{\"cold_weight\":1}",
    .replies = { { "GET /admin/config/town?version=", 200,
                   "{\"version\":4,\"section\":{\"cold_weight\":1}}" } } },
  { .name = "diff",
    .words = "config diff town @",
    .file = "{\"models\":{\"m\":{\"priority\":2}}}",
    .replies = { { "GET /admin/config/town?version=", 200,
                   "{\"section\":{\"models\":{\"m\":{\"priority\":1}}}}" } },
    .code = CTL_FINDINGS,
    .out = "\"place\": \"/models/m/priority\"" },
  { .name = "entry",
    .words = "entry a&b",
    .replies = { { "GET /v1/entry?version=", 200, "{\"ttl_s\":5}" } },
    .out = "\"ttl_s\": 5" },
  { .name = "explain-no-options",
    .words = "explain",
    .code = CTL_USAGE,
    .err = "either --model or --request" },
  { .name = "no-command", .words = "conf", .code = CTL_USAGE, .err = "usage" },
  { .name = "too-many-arguments",
    .words = "status now",
    .code = CTL_USAGE,
    .err = "usage" },
};

struct node
{
  struct loop *loop;
  struct httpd *httpd;
  const struct command_case *test_case;
  GThread *thread;
  int unexpected; /* requests without a reply */
};

static void
on_request (void *user, struct httpd_request *request)
{
  struct node *node = user;
  const char *version = httpd_query (request, "version");
  char *line
      = g_strdup_printf ("%s %s?version=%s", httpd_method (request),
                         httpd_path (request), version != NULL ? version : "");
  const struct reply *reply = NULL;

  for (size_t i = 0; i < G_N_ELEMENTS (node->test_case->replies); i++)
    {
      if (g_strcmp0 (node->test_case->replies[i].request, line) == 0)
        reply = &node->test_case->replies[i];
    }
  g_free (line);
  if (reply == NULL)
    node->unexpected++;
  if (reply == NULL || reply->status == 0)
    httpd_drop (request);
  else
    httpd_respond (request, reply->status, "application/json", NULL,
                   reply->body, strlen (reply->body));
}

static void
on_gone (void *user, struct httpd_request *request, bool complete)
{
  (void)user;
  (void)request;
  (void)complete;
}

static gpointer
run_node (gpointer data)
{
  loop_run (((struct node *)data)->loop);
  return NULL;
}

static void
node_start (struct node *node, const struct command_case *test_case)
{
  struct httpd_options options = { .address = "127.0.0.1",
                                   .request = on_request,
                                   .gone = on_gone,
                                   .user = node };

  *node = (struct node){ .loop = loop_new (clk_monotonic ()),
                         .test_case = test_case };
  options.loop = node->loop;
  g_assert_cmpint (httpd_new (&options, &node->httpd), ==, 0);
  node->thread = g_thread_new ("node", run_node, node);
}

static void
node_stop (struct node *node)
{
  loop_stop (node->loop);
  g_thread_join (node->thread);
  httpd_free (node->httpd);
  loop_free (node->loop);
}

static char *
write_file (const char *content)
{
  char *path = NULL;

  close (g_file_open_tmp ("ctl-XXXXXX", &path, NULL));
  g_assert_true (g_file_set_contents (path, content, -1, NULL));
  return path;
}

static void
assert_output (const char *expected, const char *got)
{
  if (expected == NULL)
    g_assert_cmpstr (got, ==, "");
  else if (strstr (got, expected) == NULL)
    g_error ("no \"%s\" in \"%s\"", expected, got);
}

static void
test_command (gconstpointer data)
{
  const struct command_case *test_case = data;
  struct node node;
  char *path = write_file (test_case->file != NULL ? test_case->file : "");
  char **words = g_strsplit (test_case->words, " ", -1);
  char *out = NULL;
  char *err = NULL;
  size_t n;
  struct ctl_options options
      = { .version = test_case->version, .token = "secret" };
  char *nodes;

  node_start (&node, test_case);
  nodes = g_strdup_printf ("%s127.0.0.1:%u",
                           test_case->closed_first ? CLOSED_ADDRESS "," : "",
                           httpd_port (node.httpd));
  for (char **word = words; *word != NULL; word++)
    {
      if (strcmp (*word, "@") != 0)
        continue;
      g_free (*word);
      *word = g_strdup (path);
    }
  options.nodes = nodes;
  options.words = (const char *const *)words;
  options.word_count = g_strv_length (words);
  options.out = open_memstream (&out, &n);
  options.err = open_memstream (&err, &n);
  g_assert_cmpint (ctl_run (&options), ==, test_case->code);
  fclose (options.out);
  fclose (options.err);
  assert_output (test_case->out, out);
  assert_output (test_case->err, err);
  node_stop (&node);
  g_assert_cmpint (node.unexpected, ==, 0);
  remove (path);
  free (out);
  free (err);
  g_free (path);
  g_free (nodes);
  g_strfreev (words);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strdup_printf ("/ctl/%s", cases[i].name);

      g_test_add_data_func (path, &cases[i], test_command);
      g_free (path);
    }
  return g_test_run ();
}

#include "ctl.h"

#include <errno.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include "ctl_call.h"
#include "ctl_diff.h"
#include "doc.h"

#define REAL_PRECISION 12 /* digits; 17 prints 0.2 as 0.20000000000000001 */
#define OUTPUT_FORMAT (JSON_INDENT (2) | JSON_SORT_KEYS)

struct command
{
  const char *words[2];  /* the second may be NULL */
  const char *arguments; /* for the help text */
  size_t min_arguments;
  size_t max_arguments;
  enum ctl_exit (*run) (const struct ctl_options *options,
                        const char *const *arguments, size_t count);
};

static void
print_json (const struct ctl_options *options, const json_t *json)
{
  json_dumpf (json, options->out,
              OUTPUT_FORMAT | JSON_ENCODE_ANY
                  | JSON_REAL_PRECISION (REAL_PRECISION));
  fputc ('\n', options->out);
}

static const char *
error_text (const json_t *json, const char *key)
{
  const json_t *error = json_object_get (json, "error");
  const char *text = json_string_value (json_object_get (error, key));

  return text != NULL ? text : "";
}

/* The response to an edit has a "result", any other failure an error type.  */
static const char *
result_name (const json_t *json)
{
  const char *result = json_string_value (json_object_get (json, "result"));

  return result != NULL ? result : error_text (json, "type");
}

static bool
is_not_run (const json_t *json)
{
  if (strcmp (result_name (json), "table_away") == 0)
    return true;
  return json_is_true (
      json_object_get (json_object_get (json, "error"), "not_run"));
}

/* Prints the findings of a rejected edit, one per line.  */
static void
print_detail (const struct ctl_options *options, const json_t *json)
{
  const char *detail = json_string_value (json_object_get (json, "detail"));
  char **lines = g_strsplit (detail != NULL ? detail : "", "\n", -1);

  for (char **line = lines; *line != NULL; line++)
    {
      if (**line != '\0')
        fprintf (options->err, "parsleyctl: %s\n", *line);
    }
  g_strfreev (lines);
}

/* Reports a response other than 2xx, or none, and returns the exit code for
   it.  CHANGES: the request modifies state.  */
static enum ctl_exit
report_failure (const struct ctl_options *options,
                const struct ctl_response *response, bool changes)
{
  if (response->status == 0)
    fprintf (options->err, "parsleyctl: no node responded: %s\n",
             response->error != NULL ? response->error : "no --node given");
  else
    fprintf (options->err, "parsleyctl: %ld %s: %s\n", response->status,
             result_name (response->json),
             error_text (response->json, "message"));
  print_detail (options, response->json);
  if (response->status == 0 && response->error == NULL)
    return CTL_USAGE;
  if (response->status == 0 && (!changes || response->unsent))
    return CTL_UNREACHABLE;
  if (response->status == 0)
    return CTL_UNKNOWN;
  if (response->status == 409 || response->status == 422)
    return CTL_FINDINGS;
  if (response->status >= 500 && changes && !is_not_run (response->json))
    return CTL_UNKNOWN;
  return CTL_REFUSED;
}

/* Sends GET PATH and prints the response body.  */
static enum ctl_exit
print_resource (const struct ctl_options *options, const char *path)
{
  struct ctl_response response;
  enum ctl_exit code = CTL_OK;

  ctl_call (options, "GET", path, NULL, &response);
  if (response.status == 200 && response.json != NULL)
    print_json (options, response.json);
  else
    code = report_failure (options, &response, false);
  ctl_response_clear (&response);
  return code;
}

static char *
escaped_path (const char *base, const char *text)
{
  char *escaped = g_uri_escape_string (text, NULL, FALSE);
  char *path = g_strconcat (base, escaped, NULL);

  g_free (escaped);
  return path;
}

static enum ctl_exit
print_escaped_resource (const struct ctl_options *options, const char *base,
                        const char *text)
{
  char *path = escaped_path (base, text);
  enum ctl_exit code = print_resource (options, path);

  g_free (path);
  return code;
}

static char *
read_file (const struct ctl_options *options, const char *name, size_t *length)
{
  GError *error = NULL;
  char *text = NULL;
  gsize n = 0;

  if (!g_file_get_contents (strcmp (name, "-") == 0 ? "/dev/stdin" : name,
                            &text, &n, &error))
    {
      fprintf (options->err, "parsleyctl: %s\n", error->message);
      g_error_free (error);
    }
  *length = n;
  return text;
}

static enum ctl_exit
config_check (const struct ctl_options *options, const char *const *arguments,
              size_t count)
{
  struct findings findings;
  struct doc *doc = NULL;
  size_t length;
  char *text = read_file (options, arguments[0], &length);
  enum ctl_exit code = CTL_OK;

  (void)count;
  if (text == NULL)
    return CTL_USAGE;
  findings_init (&findings);
  if (doc_parse (text, length, 0, &doc, &findings) < 0)
    code = CTL_FINDINGS;
  findings_print (&findings, arguments[0], options->err);
  findings_clear (&findings);
  doc_unref (doc);
  g_free (text);
  return code;
}

static enum ctl_exit
config_get (const struct ctl_options *options, const char *const *arguments,
            size_t count)
{
  if (count == 0)
    return print_resource (options, "/admin/config");
  return print_escaped_resource (options, "/admin/config/", arguments[0]);
}

static enum ctl_exit
config_history (const struct ctl_options *options,
                const char *const *arguments, size_t count)
{
  (void)arguments;
  (void)count;
  return print_resource (options, "/admin/history");
}

/* The new content of a section, and the version that it is based on.  */
struct edit
{
  json_t *section;
  int64_t version;
};

static void
print_json_error (const struct ctl_options *options, const char *name,
                  const json_error_t *error)
{
  fprintf (options->err, "%s: %d:%d: %s\n", name, error->line, error->column,
           error->text);
}

/* The file contains either the section alone or the output of
   "config get TEAM".  */
static enum ctl_exit
read_edit (const struct ctl_options *options, const char *name,
           struct edit *edit)
{
  size_t length;
  char *text = read_file (options, name, &length);
  json_error_t error;
  json_t *json;
  json_t *inner;

  if (text == NULL)
    return CTL_USAGE;
  json = json_loadb (text, length, JSON_REJECT_DUPLICATES | JSON_DECODE_ANY,
                     &error);
  g_free (text);
  if (json == NULL)
    {
      print_json_error (options, name, &error);
      return CTL_FINDINGS;
    }
  inner = json_object_get (json, "section");
  edit->section = json_incref (inner != NULL ? inner : json);
  edit->version = options->version;
  if (inner != NULL && edit->version < 0)
    edit->version = json_integer_value (json_object_get (json, "version"));
  json_decref (json);
  return CTL_OK;
}

static bool
section_matches (const json_t *json, const struct edit *edit)
{
  return json_equal (json_object_get (json, "section"), edit->section)
         && json_integer_value (json_object_get (json, "version"))
                > edit->version;
}

/* Whether the section has the content that EDIT sets.  */
static bool
is_applied (const struct ctl_options *options, const char *team,
            const struct edit *edit)
{
  char *path = escaped_path ("/admin/config/", team);
  struct ctl_response response;
  bool same;

  ctl_call (options, "GET", path, NULL, &response);
  if (json_is_null (edit->section))
    same = response.status == 404;
  else
    same = response.status == 200 && section_matches (response.json, edit);
  ctl_response_clear (&response);
  g_free (path);
  return same;
}

static void
print_conflict (const struct ctl_options *options, const char *team,
                const struct edit *edit, const json_t *json)
{
  json_t *list = ctl_diff (json_object_get (json, "detail"), edit->section);

  fprintf (
      options->err,
      "parsleyctl: conflict: section %s is at version %" JSON_INTEGER_FORMAT
      ", the edit is based on version %" PRId64 "; nothing was changed\n",
      team, json_integer_value (json_object_get (json, "version")),
      edit->version);
  print_json (options, list);
  json_decref (list);
}

static enum ctl_exit
put_section (const struct ctl_options *options, const char *team,
             const struct edit *edit)
{
  char *base = escaped_path ("/admin/config/", team);
  char *path = g_strdup_printf ("%s?version=%" PRId64, base, edit->version);
  bool remove = json_is_null (edit->section);
  char *body = json_dumps (edit->section, JSON_COMPACT | JSON_ENCODE_ANY);
  struct ctl_response response;
  enum ctl_exit code = CTL_OK;

  ctl_call (options, remove ? "DELETE" : "PUT", path, remove ? NULL : body,
            &response);
  if (response.status == 409)
    {
      print_conflict (options, team, edit, response.json);
      code = CTL_FINDINGS;
    }
  else if (response.status != 200)
    code = report_failure (options, &response, true);
  if (code == CTL_UNKNOWN && is_applied (options, team, edit))
    code = CTL_OK;
  ctl_response_clear (&response);
  free (body);
  g_free (path);
  g_free (base);
  return code;
}

static enum ctl_exit
config_put (const struct ctl_options *options, const char *const *arguments,
            size_t count)
{
  struct edit edit = { 0 };
  enum ctl_exit code = read_edit (options, arguments[1], &edit);

  (void)count;
  if (code != CTL_OK)
    return code;
  if (edit.version < 0)
    {
      fprintf (options->err, "parsleyctl: --version is required\n");
      code = CTL_USAGE;
    }
  else
    code = put_section (options, arguments[0], &edit);
  json_decref (edit.section);
  return code;
}

static enum ctl_exit
print_diff (const struct ctl_options *options, const json_t *was,
            const json_t *now)
{
  json_t *list = ctl_diff (was, now);
  enum ctl_exit code = json_array_size (list) > 0 ? CTL_FINDINGS : CTL_OK;

  if (code == CTL_FINDINGS)
    print_json (options, list);
  json_decref (list);
  return code;
}

static enum ctl_exit
config_diff (const struct ctl_options *options, const char *const *arguments,
             size_t count)
{
  struct edit edit = { 0 };
  enum ctl_exit code = read_edit (options, arguments[1], &edit);
  char *path = escaped_path ("/admin/config/", arguments[0]);
  struct ctl_response response = { 0 };

  (void)count;
  if (code == CTL_OK)
    {
      ctl_call (options, "GET", path, NULL, &response);
      if (response.status == 200)
        code = print_diff (options, json_object_get (response.json, "section"),
                           edit.section);
      else if (response.status == 404)
        code = print_diff (options, NULL, edit.section);
      else
        code = report_failure (options, &response, false);
    }
  ctl_response_clear (&response);
  json_decref (edit.section);
  g_free (path);
  return code;
}

static enum ctl_exit
status (const struct ctl_options *options, const char *const *arguments,
        size_t count)
{
  (void)arguments;
  (void)count;
  return print_resource (options, "/admin/status");
}

static enum ctl_exit
explain (const struct ctl_options *options, const char *const *arguments,
         size_t count)
{
  (void)arguments;
  (void)count;
  if ((options->model == NULL) == (options->request == NULL))
    {
      fprintf (options->err,
               "parsleyctl: explain requires either --model or --request\n");
      return CTL_USAGE;
    }
  if (options->model != NULL)
    return print_escaped_resource (options,
                                   "/admin/explain?model=", options->model);
  return print_escaped_resource (options,
                                 "/admin/explain?request=", options->request);
}

static enum ctl_exit
drain (const struct ctl_options *options, const char *const *arguments,
       size_t count)
{
  struct ctl_response response;
  enum ctl_exit code = CTL_OK;

  (void)arguments;
  (void)count;
  ctl_call (options, "POST", "/admin/drain", "", &response);
  if (response.status < 200 || response.status > 299)
    code = report_failure (options, &response, true);
  ctl_response_clear (&response);
  return code;
}

static enum ctl_exit
entry (const struct ctl_options *options, const char *const *arguments,
       size_t count)
{
  (void)count;
  return print_escaped_resource (options, "/v1/entry?model=", arguments[0]);
}

static const struct command commands[]
    = { { { "config", "check" }, "FILE", 1, 1, config_check },
        { { "config", "get" }, "[TEAM]", 0, 1, config_get },
        { { "config", "put" }, "TEAM FILE [--version N]", 2, 2, config_put },
        { { "config", "diff" }, "TEAM FILE", 2, 2, config_diff },
        { { "config", "history" }, "", 0, 0, config_history },
        { { "status", NULL }, "", 0, 0, status },
        { { "explain", NULL }, "--model M | --request ID", 0, 0, explain },
        { { "drain", NULL }, "", 0, 0, drain },
        { { "entry", NULL }, "MODEL", 1, 1, entry } };

void
ctl_usage (FILE *out)
{
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      const struct command *c = &commands[i];

      fprintf (out, "  parsleyctl %s%s%s%s%s\n", c->words[0],
               c->words[1] != NULL ? " " : "",
               c->words[1] != NULL ? c->words[1] : "",
               *c->arguments != '\0' ? " " : "", c->arguments);
    }
}

/* Returns the number of words in the name of COMMAND, 0 if the command line
   begins with another name.  */
static size_t
match_command (const struct command *command,
               const struct ctl_options *options)
{
  size_t n = command->words[1] != NULL ? 2 : 1;

  if (options->word_count < n)
    return 0;
  for (size_t i = 0; i < n; i++)
    {
      if (strcmp (options->words[i], command->words[i]) != 0)
        return 0;
    }
  return n;
}

enum ctl_exit
ctl_run (const struct ctl_options *options)
{
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      const struct command *command = &commands[i];
      size_t n = match_command (command, options);
      size_t count = options->word_count - n;

      if (n > 0 && count >= command->min_arguments
          && count <= command->max_arguments)
        return command->run (options, options->words + n, count);
    }
  fprintf (options->err, "usage:\n");
  ctl_usage (options->err);
  return CTL_USAGE;
}

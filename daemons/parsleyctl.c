#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <argtable2.h>
#include "ctl.h"

#define WORDS_MAX 8
#define ERRORS_MAX 20

struct flags
{
  struct arg_str *words;
  struct arg_str *node;
  struct arg_str *token;
  struct arg_int *version;
  struct arg_str *model;
  struct arg_str *request;
  struct arg_int *timeout_ms;
  struct arg_lit *help;
  struct arg_lit *program_version;
  struct arg_end *end; /* must be last */
};

static void
make_flags (struct flags *f)
{
  f->words = arg_strn (NULL, NULL, "COMMAND", 0, WORDS_MAX, NULL);
  f->node = arg_str0 (NULL, "node", "IP:PORT,...",
                      "nodes to try, in order (PARSLEY_NODES)");
  f->token = arg_str0 (NULL, "operator-token", "TEXT",
                       "operator token (PARSLEY_OPERATOR_TOKEN)");
  f->version = arg_int0 (NULL, "version", "N",
                         "section version that the edit is based on");
  f->model = arg_str0 (NULL, "model", "M", "model or adapter to explain");
  f->request = arg_str0 (NULL, "request", "ID", "request to explain");
  f->timeout_ms
      = arg_int0 (NULL, "timeout", "MS", "timeout per call; default: 10000");
  f->help = arg_lit0 (NULL, "help", "print this help");
  f->program_version = arg_lit0 ("V", NULL, "print the program's version");
  f->end = arg_end (ERRORS_MAX);
  f->node->sval[0] = getenv ("PARSLEY_NODES");
  f->token->sval[0] = getenv ("PARSLEY_OPERATOR_TOKEN");
  f->version->ival[0] = -1;
  f->model->sval[0] = NULL;
  f->request->sval[0] = NULL;
  f->timeout_ms->ival[0] = 0;
}

static void
print_help (struct flags *f)
{
  printf ("usage:\n");
  ctl_usage (stdout);
  printf ("options:\n");
  arg_print_glossary (stdout, (void **)f, "  %-22s %s\n");
  printf ("exit: 0 done, 1 findings, differences or conflict, 2 usage,\n"
          "  3 no node answered, 4 refused, 5 outcome unknown\n");
}

static int
run (const struct flags *f)
{
  struct ctl_options options = { .nodes = f->node->sval[0],
                                 .token = f->token->sval[0],
                                 .model = f->model->sval[0],
                                 .request = f->request->sval[0],
                                 .version = f->version->ival[0],
                                 .timeout_ms = f->timeout_ms->ival[0],
                                 .words = f->words->sval,
                                 .word_count = (size_t)f->words->count,
                                 .out = stdout,
                                 .err = stderr };

  return (int)ctl_run (&options);
}

int
main (int argc, char **argv)
{
  struct flags f;
  int errors;
  int code = CTL_OK;

  signal (SIGPIPE, SIG_IGN);
  make_flags (&f);
  errors = arg_parse (argc, argv, (void **)&f);
  if (f.help->count > 0)
    print_help (&f);
  else if (f.program_version->count > 0)
    printf ("parsleyctl %s\n", PARSLEYRILL_VERSION);
  else if (errors > 0)
    {
      arg_print_errors (stderr, f.end, "parsleyctl");
      code = CTL_USAGE;
    }
  else
    code = run (&f);
  arg_freetable ((void **)&f, sizeof f / sizeof (void *));
  return code;
}

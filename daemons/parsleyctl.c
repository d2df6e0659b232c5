#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <argtable2.h>
#include "ctl.h"

#define COMMAND_WORDS_MAX 8
#define ARG_ERRORS_MAX 20

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
  struct arg_end *end; /* last, as argtable2 requires */
};

static void
make_flags (struct flags *flags)
{
  flags->words = arg_strn (NULL, NULL, "COMMAND", 0, COMMAND_WORDS_MAX, NULL);
  flags->node = arg_str0 (NULL, "node", "IP:PORT,...",
                          "nodes to try, in order (PARSLEY_NODES)");
  flags->token = arg_str0 (NULL, "operator-token", "TEXT",
                           "operator token (PARSLEY_OPERATOR_TOKEN)");
  flags->version = arg_int0 (NULL, "version", "N",
                             "section version that the edit is based on");
  flags->model = arg_str0 (NULL, "model", "M", "model or adapter to explain");
  flags->request = arg_str0 (NULL, "request", "ID", "request to explain");
  flags->timeout_ms
      = arg_int0 (NULL, "timeout", "MS", "timeout per call; default: 10000");
  flags->help = arg_lit0 (NULL, "help", "print this help");
  flags->program_version
      = arg_lit0 ("V", NULL, "print the version of parsleyctl");
  flags->end = arg_end (ARG_ERRORS_MAX);
  flags->node->sval[0] = getenv ("PARSLEY_NODES");
  flags->token->sval[0] = getenv ("PARSLEY_OPERATOR_TOKEN");
  flags->version->ival[0] = -1;
  flags->model->sval[0] = NULL;
  flags->request->sval[0] = NULL;
  flags->timeout_ms->ival[0] = 0;
}

static void
print_help (struct flags *flags)
{
  printf ("usage:\n");
  ctl_usage (stdout);
  printf ("options:\n");
  arg_print_glossary (stdout, (void **)flags, "  %-22s %s\n");
  printf (
      "exit status: 0 success, 1 findings, differences or conflict,\n"
      "  2 usage error, 3 no node responded, 4 refused, 5 outcome unknown\n");
}

static int
run (const struct flags *flags)
{
  struct ctl_options options = { .nodes = flags->node->sval[0],
                                 .token = flags->token->sval[0],
                                 .model = flags->model->sval[0],
                                 .request = flags->request->sval[0],
                                 .version = flags->version->ival[0],
                                 .timeout_ms = flags->timeout_ms->ival[0],
                                 .words = flags->words->sval,
                                 .word_count = (size_t)flags->words->count,
                                 .out = stdout,
                                 .err = stderr };

  return (int)ctl_run (&options);
}

int
main (int argc, char **argv)
{
  struct flags flags;
  int errors;
  int code = CTL_OK;

  signal (SIGPIPE, SIG_IGN);
  make_flags (&flags);
  errors = arg_parse (argc, argv, (void **)&flags);
  if (flags.help->count > 0)
    print_help (&flags);
  else if (flags.program_version->count > 0)
    printf ("parsleyctl %s\n", PARSLEYRILL_VERSION);
  else if (errors > 0)
    {
      arg_print_errors (stderr, flags.end, "parsleyctl");
      code = CTL_USAGE;
    }
  else
    code = run (&flags);
  arg_freetable ((void **)&flags, sizeof flags / sizeof (void *));
  return code;
}

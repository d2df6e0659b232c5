/* ctl - the commands of parsleyctl.

   A command writes its result as JSON to OUT, or nothing when it has no
   result, and diagnostics to ERR.  When several nodes are given, they are
   tried in order until one responds.  The functions block and are not
   thread-safe.  */

#ifndef PARSLEYRILL_CTL_H
#define PARSLEYRILL_CTL_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/* Exit codes of parsleyctl.  */
enum ctl_exit
{
  CTL_OK,
  CTL_FINDINGS,    /* findings, differences or a conflict; nothing changed */
  CTL_USAGE,       /* invalid command line, or a file cannot be read */
  CTL_UNREACHABLE, /* no node responded; nothing changed */
  CTL_REFUSED,     /* a node refused; nothing changed */
  CTL_UNKNOWN      /* a change may or may not have taken effect */
};

struct ctl_options
{
  const char *nodes; /* IP:port, separated by commas; may be NULL */
  const char *token; /* operator token; may be NULL */
  const char *model; /* for explain; may be NULL */
  const char *request;
  int64_t version;    /* for config put; -1: taken from the file */
  int64_t timeout_ms; /* per HTTP call; 0: CTL_TIMEOUT_MS */
  const char *const *words;
  size_t word_count;
  FILE *out;
  FILE *err;
};

#define CTL_TIMEOUT_MS 10000

enum ctl_exit ctl_run (const struct ctl_options *options);

/* Prints the commands for the help text, one per line.  */
void ctl_usage (FILE *out);

#endif

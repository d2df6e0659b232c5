#include <stdio.h>
#include <string.h>
#include "bench.h"

#define EXIT_USAGE 2

struct command
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *help;
};

static const struct command commands[] = {
  { "faults", bench_faults, "outcomes of requests during injected faults" },
  { "node", bench_node,
    "run traffic threads in front of a fixed set of engines" },
  { "peers", bench_peers, "size and encoding time of messages between nodes" },
  { "place-scale", bench_place_scale,
    "time and memory of placement by system size" },
  { "policy", bench_policy,
    "simulate placement policies on seeded workloads" },
  { "report", bench_report, "print the recorded results as Markdown" },
  { "scale", bench_scale, "growth of control-plane cost with system size" },
  { "speed", bench_speed, "latency and throughput through a node" },
};

#define COMMANDS (sizeof commands / sizeof commands[0])

static int
usage (void)
{
  fprintf (stderr, "usage: parsley-bench COMMAND [OPTION]...\n");
  for (size_t i = 0; i < COMMANDS; i++)
    fprintf (stderr, "  %-12s %s\n", commands[i].name, commands[i].help);
  return EXIT_USAGE;
}

int
main (int argc, char **argv)
{
  if (argc < 2)
    return usage ();
  for (size_t i = 0; i < COMMANDS; i++)
    if (strcmp (commands[i].name, argv[1]) == 0)
      return commands[i].run (argc - 1, argv + 1);
  return usage ();
}

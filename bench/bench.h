/* bench - subcommands of parsley-bench.

   ARGV[0] is the subcommand's name; the result is the exit status.  New
   subcommands are also entered in the table in main.c.  */

#ifndef PARSLEYRILL_BENCH_H
#define PARSLEYRILL_BENCH_H

int bench_node (int argc, char **argv);
int bench_peers (int argc, char **argv);
int bench_place_scale (int argc, char **argv);
int bench_policy (int argc, char **argv);
int bench_faults (int argc, char **argv);
int bench_report (int argc, char **argv);
int bench_scale (int argc, char **argv);
int bench_speed (int argc, char **argv);

#endif

#include "bench.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <stdbool.h>
#include <argtable2.h>
#include <glib.h>
#include "load.h"

#define RAMP_UP_MS 1000 /* the background streams start over this time */
#define KB_PER_PAGE 4

struct options
{
  struct arg_str *direct;
  struct arg_str *node;
  struct arg_str *test;
  struct arg_int *streams;
  struct arg_int *requests;
  struct arg_int *tokens;
  struct arg_int *threads;
  struct arg_int *pid;
  struct arg_end *end;
};

static struct load_options
make_load_options (const struct options *options, bool direct, bool stream)
{
  struct load_options load
      = { .address
          = direct ? options->direct->sval[0] : options->node->sval[0],
          .model = "m",
          .threads = (unsigned)options->threads->ival[0],
          .streams = (unsigned)options->streams->ival[0],
          .requests = (unsigned)options->requests->ival[0],
          .tokens = (unsigned)options->tokens->ival[0],
          .stream = stream };

  return load;
}

static void
print_result (const char *test, const char *target,
              const struct load_result *result)
{
  printf ("%-8s %-7s answers=%" G_GUINT64_FORMAT " failed=%" G_GUINT64_FORMAT
          " first_ms_p50=%.3f p90=%.3f p99=%.3f requests_s=%.0f"
          " events_s=%.0f\n",
          test, target, result->succeeded, result->failed,
          load_quantile (result, 0.5), load_quantile (result, 0.9),
          load_quantile (result, 0.99),
          result->seconds > 0 ? (double)result->succeeded / result->seconds
                              : 0,
          result->seconds > 0 ? (double)result->events / result->seconds : 0);
  fflush (stdout);
}

static void
run_and_print (const struct options *options, bool direct, bool stream,
               struct load_result *result)
{
  struct load_options load = make_load_options (options, direct, stream);

  load_run (&load, result);
  print_result (options->test->sval[0], direct ? "direct" : "node", result);
}

struct background
{
  struct load_options load;
  struct load_result result;
};

static gpointer
run_background (gpointer data)
{
  struct background *background = data;

  load_run (&background->load, &background->result);
  return NULL;
}

static void
print_added_latency (const struct load_result *direct,
                     const struct load_result *node)
{
  printf ("latency  added   first_ms_p50=%.3f p90=%.3f p99=%.3f\n",
          load_quantile (node, 0.5) - load_quantile (direct, 0.5),
          load_quantile (node, 0.9) - load_quantile (direct, 0.9),
          load_quantile (node, 0.99) - load_quantile (direct, 0.99));
}

/* Measures the latency that the node adds to the first token: while streams
   run through the node, single requests for model "probe" go alternately to
   its engine directly and through the node.  */
static int
run_latency (const struct options *options)
{
  struct background background
      = { .load = make_load_options (options, false, true) };
  struct load_options direct = make_load_options (options, true, true);
  struct load_options node = make_load_options (options, false, true);
  struct load_result results[2];
  unsigned stop = 0;
  GThread *thread;
  bool ok;

  background.load.ramp_up_ms = RAMP_UP_MS;
  background.load.stop = &stop;
  direct.tokens = node.tokens = 1;
  direct.model = node.model = "probe";
  thread = g_thread_new ("background", run_background, &background);
  g_usleep ((gulong)RAMP_UP_MS * 2 * 1000);
  load_run_alternating (&direct, &node, (unsigned)options->requests->ival[0],
                        &results[0], &results[1]);
  __atomic_store_n (&stop, 1, __ATOMIC_RELAXED);
  g_thread_join (thread);
  print_result ("latency", "streams", &background.result);
  print_result ("latency", "direct", &results[0]);
  print_result ("latency", "node", &results[1]);
  print_added_latency (&results[0], &results[1]);
  ok = results[1].failed == 0 && background.result.failed == 0;
  load_result_clear (&results[0]);
  load_result_clear (&results[1]);
  load_result_clear (&background.result);
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}

static int
run_throughput (const struct options *options, bool stream)
{
  struct load_result result;
  uint64_t failed;

  if (options->direct->count > 0)
    {
      run_and_print (options, true, stream, &result);
      load_result_clear (&result);
    }
  run_and_print (options, false, stream, &result);
  failed = result.failed;
  load_result_clear (&result);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

static long
resident_kb (int pid)
{
  char path[64];
  long pages = 0;
  FILE *file;

  g_snprintf (path, sizeof path, "/proc/%d/statm", pid);
  file = fopen (path, "r");
  if (file == NULL)
    return 0;
  if (fscanf (file, "%*s %ld", &pages) != 1)
    pages = 0;
  fclose (file);
  return pages * KB_PER_PAGE;
}

struct memory_baseline
{
  const struct options *options;
  long before_kb;
};

static void
print_memory (void *user)
{
  const struct memory_baseline *baseline = user;
  long after_kb = resident_kb (baseline->options->pid->ival[0]);
  int streams = baseline->options->streams->ival[0];

  printf ("idle     node    streams=%d resident_kb before=%ld after=%ld"
          " kb_per_stream=%.1f\n",
          streams, baseline->before_kb, after_kb,
          (double)(after_kb - baseline->before_kb) / streams);
}

static int
run_idle (const struct options *options)
{
  struct load_options load = make_load_options (options, false, true);
  struct memory_baseline memory_baseline
      = { options, resident_kb (options->pid->ival[0]) };

  load_hold_streams (&load, print_memory, &memory_baseline);
  return EXIT_SUCCESS;
}

static int
run_test (const struct options *options)
{
  const char *test = options->test->sval[0];

  if (strcmp (test, "latency") == 0)
    return run_latency (options);
  if (strcmp (test, "short") == 0)
    return run_throughput (options, false);
  if (strcmp (test, "tokens") == 0)
    return run_throughput (options, true);
  if (strcmp (test, "idle") == 0)
    return run_idle (options);
  fprintf (stderr, "parsley-bench speed: unknown test '%s'\n", test);
  return EXIT_FAILURE;
}

static struct arg_int *
int_flag (const char *name, int value, const char *help)
{
  struct arg_int *flag = arg_int0 (NULL, name, "N", help);

  flag->ival[0] = value;
  return flag;
}

int
bench_speed (int argc, char **argv)
{
  struct options options = {
    .direct
    = arg_str0 (NULL, "direct", "IP:PORT", "engine that serves model probe"),
    .node = arg_str1 (NULL, "node", "IP:PORT", "node in front of the engine"),
    .test = arg_str1 (NULL, "test", "latency|short|tokens|idle",
                      "measurement to run"),
    .streams = int_flag ("streams", 500, "concurrent requests"),
    .requests = int_flag ("requests", 5000, "number of requests"),
    .tokens = int_flag ("tokens", 16, "tokens per answer"),
    .threads = int_flag ("threads", 2, "load generator threads"),
    .pid = int_flag ("pid", 0, "process id of the node, for --test idle"),
    .end = arg_end (5),
  };
  int status = EXIT_FAILURE;

  if (arg_parse (argc, argv, (void **)&options) > 0)
    arg_print_errors (stderr, options.end, "parsley-bench speed");
  else
    status = run_test (&options);
  arg_freetable ((void **)&options, sizeof options / sizeof (void *));
  return status;
}

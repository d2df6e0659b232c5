#include "bench.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>
#include <argtable2.h>
#include <glib.h>
#include "clk.h"
#include "log.h"
#include "loop.h"
#include "ring.h"
#include "route.h"
#include "traffic.h"

#define RING_SLOTS 65536u
#define DEFAULT_THREADS 4
#define DEFAULT_SLOTS 4096

struct node_options
{
  const char *engines; /* IP:port,... that serve model "m" */
  const char *probe;   /* IP:port,... that serve model "probe", or NULL */
  unsigned threads;
  unsigned slots; /* of each engine */
};

/* Replaces the control thread: receives the messages of the traffic threads
   and drops them.  */
struct control
{
  struct loop_watch ring_watch;
  struct loop_watch signal_watch;
  struct loop *loop;
  struct ring *ring;
};

static void
on_messages (struct loop_watch *watch, uint32_t events)
{
  struct control *control = (struct control *)watch;
  struct msg *msg;

  (void)events;
  ring_clear_event (control->ring);
  while ((msg = ring_receive (control->ring)) != NULL)
    msg_free (msg);
}

static void
on_signal (struct loop_watch *watch, uint32_t events)
{
  struct control *control
      = (struct control *)((char *)watch
                           - offsetof (struct control, signal_watch));

  (void)events;
  loop_stop (control->loop);
}

static void
watch_signals (struct control *control)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigprocmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
  control->signal_watch.fd = signalfd (-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  control->signal_watch.ready = on_signal;
  loop_watch (control->loop, &control->signal_watch, EPOLLIN);
}

static void
fill_target (struct route_target *target, const char *model, char **engines,
             unsigned slots)
{
  target->name = g_strdup (model);
  target->model = g_strdup (model);
  target->version = g_strdup ("1");
  target->team = g_strdup ("bench");
  target->max_waiting = DEFAULT_SLOTS;
  target->state = ROUTE_READY;
  target->replica_count = g_strv_length (engines);
  target->replicas = g_new0 (struct route_replica, target->replica_count);
  for (size_t i = 0; i < target->replica_count; i++)
    {
      target->replicas[i].engine
          = route_engine_new (engines[i], engines[i], "zone", "pool");
      target->replicas[i].slots = slots;
    }
}

static void
publish_table (struct route *route, const struct node_options *options)
{
  struct route_table *table = route_table_new ();
  const char *engine_lists[] = { options->engines, options->probe };
  const char *models[] = { "m", "probe" };

  table->ready = true;
  table->target_count = options->probe != NULL ? 2 : 1;
  table->targets = g_new0 (struct route_target, table->target_count);
  for (size_t i = 0; i < table->target_count; i++)
    {
      char **engines = g_strsplit (engine_lists[i], ",", -1);

      fill_target (&table->targets[i], models[i], engines, options->slots);
      g_strfreev (engines);
    }
  route_publish (route, table);
}

static int
run_node (const struct node_options *node)
{
  struct ring_options ring = { .slots = RING_SLOTS, .release = msg_free };
  struct control control = { .ring_watch = { .ready = on_messages } };
  struct traffic_options options = { .clk = clk_monotonic (),
                                     .address = "127.0.0.1",
                                     .threads = node->threads,
                                     .node = "bench",
                                     .zone = "zone",
                                     .region = "region" };
  struct traffic *traffic = NULL;
  int err;

  control.loop = loop_new (clk_monotonic ());
  control.ring = ring_new (&ring);
  control.ring_watch.fd = ring_fd (control.ring);
  loop_watch (control.loop, &control.ring_watch, EPOLLIN);
  watch_signals (&control);
  options.route = route_new ();
  options.to_control = control.ring;
  publish_table (options.route, node);
  err = traffic_new (&options, &traffic);
  if (err == 0)
    err = traffic_start (traffic);
  if (err == 0)
    {
      printf ("listening 127.0.0.1:%u\n", traffic_port (traffic));
      fflush (stdout);
      loop_run (control.loop);
    }
  traffic_free (traffic);
  ring_free (control.ring);
  route_free (options.route);
  loop_free (control.loop);
  return err == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
bench_node (int argc, char **argv)
{
  struct arg_str *engines = arg_str1 (NULL, "engines", "IP:PORT,...",
                                      "engines that serve model m");
  struct arg_str *probe
      = arg_str0 (NULL, "probe", "IP:PORT", "engine that serves model probe");
  struct arg_int *threads
      = arg_int0 (NULL, "threads", "N", "number of traffic threads");
  struct arg_int *slots
      = arg_int0 (NULL, "slots", "N", "concurrent requests per engine");
  struct arg_str *log
      = arg_str0 (NULL, "log", "FILE", "append the log to FILE");
  struct arg_end *end = arg_end (5);
  void *table[] = { engines, probe, threads, slots, log, end };
  int status = EXIT_FAILURE;

  probe->sval[0] = NULL;
  threads->ival[0] = DEFAULT_THREADS;
  slots->ival[0] = DEFAULT_SLOTS;
  if (arg_parse (argc, argv, table) > 0)
    arg_print_errors (stderr, end, "parsley-bench node");
  else
    {
      struct log_options options = { .fd = -1,
                                     .level = LOG_LEVEL_INFO,
                                     .node = "bench",
                                     .clk = clk_monotonic () };
      FILE *file = log->count > 0 ? fopen (log->sval[0], "a") : NULL;

      if (file != NULL)
        options.fd = fileno (file);
      log_init (&options);
      status = run_node (
          &(struct node_options){ .engines = engines->sval[0],
                                  .probe = probe->sval[0],
                                  .threads = (unsigned)threads->ival[0],
                                  .slots = (unsigned)slots->ival[0] });
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}

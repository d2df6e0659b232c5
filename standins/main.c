#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>
#include <argtable2.h>
#include "clk.h"
#include "role.h"

#define EXIT_USAGE 2
#define MAX_USAGE_ERRORS 20

struct flags
{
  struct arg_str *role;
  struct arg_str *listen;
  struct arg_str *platform;
  struct arg_str *id;
  struct arg_str *zone;
  struct arg_str *pool;
  struct arg_str *on_disk;
  struct arg_int *memory_mb;
  struct arg_int *accelerators;
  struct arg_int *slots;
  struct arg_int *queue;
  struct arg_int *batch;
  struct arg_dbl *token_ms;
  struct arg_dbl *prefill_ms;
  struct arg_dbl *load_ms;
  struct arg_dbl *memory_ms;
  struct arg_int *report_lag_ms;
  struct arg_lit *ignore_fence;
  struct arg_dbl *writes;
  struct arg_dbl *reads;
  struct arg_dbl *loads;
  struct arg_dbl *load_knee;
  struct arg_dbl *adapter_knee;
  struct arg_dbl *adapter_ms;
  struct arg_int *instances_lag_ms;
  struct arg_dbl *delay_ms;
  struct arg_lit *help;
  struct arg_end *end; /* last */
};

static struct arg_str *
text_flag (const char *name, const char *type, const char *value,
           const char *help)
{
  struct arg_str *flag = arg_str0 (NULL, name, type, help);

  flag->sval[0] = value;
  return flag;
}

static struct arg_int *
int_flag (const char *name, int value, const char *help)
{
  struct arg_int *flag = arg_int0 (NULL, name, "N", help);

  flag->ival[0] = value;
  return flag;
}

static struct arg_dbl *
double_flag (const char *name, double value, const char *help)
{
  struct arg_dbl *flag = arg_dbl0 (NULL, name, "X", help);

  flag->dval[0] = value;
  return flag;
}

static void
init_engine_flags (struct flags *flags)
{
  flags->platform = text_flag ("platform", "IP:PORT", NULL,
                               "platform with the weight store");
  flags->id = text_flag ("id", "ID", "backend", "instance id");
  flags->zone = text_flag ("zone", "ZONE", "", "availability zone");
  flags->pool = text_flag ("pool", "POOL", "", "pool");
  flags->on_disk
      = text_flag ("on-disk", "LIST", "", "model@version,... on disk; *: all");
  flags->memory_mb = int_flag ("memory-mb", 80000, "accelerator memory in MB");
  flags->accelerators = int_flag ("accelerators", 1, "accelerators");
  flags->slots = int_flag ("slots", 16, "concurrent requests");
  flags->queue = int_flag ("queue", 64,
                           "maximum number of requests waiting for a slot");
  flags->batch = int_flag ("batch", 1, "tokens per write");
  flags->token_ms = double_flag ("token-ms", 5, "time between tokens");
  flags->prefill_ms
      = double_flag ("prefill-ms", 10, "time before the first token");
  flags->load_ms
      = double_flag ("load-ms", 50, "load time from disk or weight store");
  flags->memory_ms
      = double_flag ("memory-ms", 10, "load time from host memory");
  flags->report_lag_ms = int_flag ("report-lag-ms", 0, "age of reports in ms");
  flags->ignore_fence
      = arg_lit0 (NULL, "ignore-fence", "do not check fencing tokens");
}

static void
init_platform_flags (struct flags *flags)
{
  flags->writes = double_flag ("writes-per-s", 400,
                               "table and object writes per second");
  flags->reads
      = double_flag ("reads-per-s", 2000, "table and object reads per second");
  flags->loads = double_flag ("loads-per-s", 20,
                              "load starts per second, weight store");
  flags->load_knee
      = double_flag ("load-knee", 4, "concurrent loads at full speed");
  flags->adapter_knee = double_flag (
      "adapter-knee", 30, "concurrent adapter fetches at full speed");
  flags->adapter_ms = double_flag ("adapter-ms", 8,
                                   "fetch time of an adapter at full speed");
  flags->instances_lag_ms
      = int_flag ("instances-lag-ms", 0, "age of the instance list in ms");
}

static void
init_flags (struct flags *flags)
{
  flags->role = arg_str1 (NULL, NULL, "platform|engine|service", NULL);
  flags->listen
      = text_flag ("listen", "IP:PORT", "127.0.0.1:0", "listen address");
  init_engine_flags (flags);
  init_platform_flags (flags);
  flags->delay_ms = double_flag ("delay-ms", 1, "service: response time");
  flags->help = arg_lit0 (NULL, "help", "print this help");
  flags->end = arg_end (MAX_USAGE_ERRORS);
}

static struct standin *
make_platform (const struct flags *flags)
{
  struct role_platform_options options
      = { .writes_per_s = flags->writes->dval[0],
          .reads_per_s = flags->reads->dval[0],
          .loads_per_s = flags->loads->dval[0],
          .load_knee = flags->load_knee->dval[0],
          .load_ms = flags->load_ms->dval[0],
          .adapter_knee = flags->adapter_knee->dval[0],
          .adapter_ms = flags->adapter_ms->dval[0],
          .instances_lag_ms = flags->instances_lag_ms->ival[0] };

  return role_platform_new (&options);
}

static struct standin *
make_engine (const struct flags *flags)
{
  struct role_engine_options options
      = { .platform = flags->platform->sval[0],
          .id = flags->id->sval[0],
          .zone = flags->zone->sval[0],
          .pool = flags->pool->sval[0],
          .on_disk = flags->on_disk->sval[0],
          .memory_mb = flags->memory_mb->ival[0],
          .accelerators = flags->accelerators->ival[0],
          .slots = flags->slots->ival[0],
          .queue = flags->queue->ival[0],
          .batch = MAX (flags->batch->ival[0], 1),
          .token_ms = flags->token_ms->dval[0],
          .prefill_ms = flags->prefill_ms->dval[0],
          .load_ms = flags->load_ms->dval[0],
          .memory_ms = flags->memory_ms->dval[0],
          .report_lag_ms = flags->report_lag_ms->ival[0],
          .ignore_fence = flags->ignore_fence->count > 0 };

  return role_engine_new (&options);
}

static struct standin *
make_service (const struct flags *flags)
{
  struct role_service_options options
      = { .id = flags->id->sval[0], .delay_ms = flags->delay_ms->dval[0] };

  return role_service_new (&options);
}

struct role
{
  const struct standin_ops *ops;
  struct standin *(*make) (const struct flags *flags);
};

static const struct role *
find_role (const char *name)
{
  static const struct role roles[] = { { &role_platform_ops, make_platform },
                                       { &role_engine_ops, make_engine },
                                       { &role_service_ops, make_service } };

  for (size_t i = 0; i < G_N_ELEMENTS (roles); i++)
    {
      if (strcmp (roles[i].ops->name, name) == 0)
        return &roles[i];
    }
  return NULL;
}

struct signal_watch
{
  struct loop_watch watch; /* first */
  struct loop *loop;
};

static void
on_signal (struct loop_watch *watch, uint32_t events)
{
  (void)events;
  loop_stop (((struct signal_watch *)watch)->loop);
}

/* Makes SIGTERM and SIGINT stop LOOP.  */
static void
install_signal_watch (struct signal_watch *signal_watch, struct loop *loop)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigprocmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
  signal_watch->loop = loop;
  signal_watch->watch.ready = on_signal;
  signal_watch->watch.fd = signalfd (-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  loop_watch (loop, &signal_watch->watch, EPOLLIN);
}

static int
parse_listen (const char *text, char **address, uint16_t *port)
{
  const char *colon = strrchr (text, ':');

  if (colon == NULL)
    return -EINVAL;
  *address = g_strndup (text, (gsize)(colon - text));
  *port = (uint16_t)strtoul (colon + 1, NULL, 10);
  return 0;
}

static int
serve (const struct flags *flags, const struct role *role)
{
  struct standin *standin = role->make (flags);
  struct loop *loop = loop_new (clk_monotonic ());
  struct signal_watch signal_watch;
  char *address = NULL;
  uint16_t port = 0;
  int err = parse_listen (flags->listen->sval[0], &address, &port);

  install_signal_watch (&signal_watch, loop);
  if (err == 0)
    err = standin_start (standin, role->ops, loop, address, port);
  if (err == 0)
    {
      printf ("listening %s:%u\n", address, httpd_port (standin->httpd));
      fflush (stdout);
      loop_run (loop);
      standin_stop (standin);
    }
  else
    fprintf (stderr, "parsley-standin: %s: %s\n", flags->listen->sval[0],
             strerror (-err));
  loop_unwatch (loop, &signal_watch.watch);
  close (signal_watch.watch.fd);
  loop_free (loop);
  g_free (address);
  g_free (standin);
  return err == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main (int argc, char **argv)
{
  struct flags flags;
  const struct role *role;
  int errors;
  int status = EXIT_USAGE;

  init_flags (&flags);
  errors = arg_parse (argc, argv, (void **)&flags);
  role = flags.role->count > 0 ? find_role (flags.role->sval[0]) : NULL;
  if (flags.help->count > 0)
    {
      arg_print_syntax (stdout, (void **)&flags, "\n");
      arg_print_glossary (stdout, (void **)&flags, "  %-28s %s\n");
      status = EXIT_SUCCESS;
    }
  else if (errors > 0 || role == NULL)
    {
      arg_print_errors (stderr, flags.end, "parsley-standin");
      fprintf (stderr, "usage: parsley-standin platform|engine|service"
                       " [--listen IP:PORT] ... (see --help)\n");
    }
  else
    status = serve (&flags, role);
  arg_freetable ((void **)&flags, sizeof flags / sizeof (void *));
  return status;
}

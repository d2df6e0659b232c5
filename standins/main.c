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
#define MAX_ERRORS 20

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
make_engine_flags (struct flags *f)
{
  f->platform = text_flag ("platform", "IP:PORT", NULL, "weight store");
  f->id = text_flag ("id", "ID", "backend", "instance id");
  f->zone = text_flag ("zone", "ZONE", "", "availability zone");
  f->pool = text_flag ("pool", "POOL", "", "pool");
  f->on_disk = text_flag ("on-disk", "LIST", "",
                          "model@version,... on disk; *: every one");
  f->memory_mb = int_flag ("memory-mb", 80000, "accelerator memory");
  f->accelerators = int_flag ("accelerators", 1, "accelerators");
  f->slots = int_flag ("slots", 16, "requests run at once");
  f->queue = int_flag ("queue", 64, "requests waiting for a slot");
  f->batch = int_flag ("batch", 1, "tokens sent in one go");
  f->token_ms = double_flag ("token-ms", 5, "between tokens");
  f->prefill_ms = double_flag ("prefill-ms", 10, "before the first token");
  f->load_ms = double_flag ("load-ms", 50, "load from disk");
  f->memory_ms = double_flag ("memory-ms", 10, "load from host memory");
  f->report_lag_ms = int_flag ("report-lag-ms", 0, "age of reports");
  f->ignore_fence
      = arg_lit0 (NULL, "ignore-fence", "do not check fencing tokens");
}

static void
make_platform_flags (struct flags *f)
{
  f->writes = double_flag ("writes-per-s", 400, "table and object writes");
  f->reads = double_flag ("reads-per-s", 2000, "table and object reads");
  f->loads = double_flag ("loads-per-s", 20, "weight store: starts");
  f->load_knee = double_flag ("load-knee", 4, "loads at once, full speed");
  f->adapter_knee
      = double_flag ("adapter-knee", 30, "adapters at once, full speed");
  f->adapter_ms = double_flag ("adapter-ms", 8, "one adapter alone");
  f->instances_lag_ms
      = int_flag ("instances-lag-ms", 0, "age of the instance list");
}

static void
make_flags (struct flags *f)
{
  f->role = arg_str1 (NULL, NULL, "platform|engine|service", NULL);
  f->listen = text_flag ("listen", "IP:PORT", "127.0.0.1:0", "address");
  make_engine_flags (f);
  make_platform_flags (f);
  f->delay_ms = double_flag ("delay-ms", 1, "service: time of an answer");
  f->help = arg_lit0 (NULL, "help", "this text");
  f->end = arg_end (MAX_ERRORS);
}

static struct standin *
make_platform (const struct flags *f)
{
  struct role_platform_options options
      = { .writes_per_s = f->writes->dval[0],
          .reads_per_s = f->reads->dval[0],
          .loads_per_s = f->loads->dval[0],
          .load_knee = f->load_knee->dval[0],
          .load_ms = f->load_ms->dval[0],
          .adapter_knee = f->adapter_knee->dval[0],
          .adapter_ms = f->adapter_ms->dval[0],
          .instances_lag_ms = f->instances_lag_ms->ival[0] };

  return role_platform_new (&options);
}

static struct standin *
make_engine (const struct flags *f)
{
  struct role_engine_options options
      = { .platform = f->platform->sval[0],
          .id = f->id->sval[0],
          .zone = f->zone->sval[0],
          .pool = f->pool->sval[0],
          .on_disk = f->on_disk->sval[0],
          .memory_mb = f->memory_mb->ival[0],
          .accelerators = f->accelerators->ival[0],
          .slots = f->slots->ival[0],
          .queue = f->queue->ival[0],
          .batch = MAX (f->batch->ival[0], 1),
          .token_ms = f->token_ms->dval[0],
          .prefill_ms = f->prefill_ms->dval[0],
          .load_ms = f->load_ms->dval[0],
          .memory_ms = f->memory_ms->dval[0],
          .report_lag_ms = f->report_lag_ms->ival[0],
          .ignore_fence = f->ignore_fence->count > 0 };

  return role_engine_new (&options);
}

static struct standin *
make_service (const struct flags *f)
{
  struct role_service_options options
      = { .id = f->id->sval[0], .delay_ms = f->delay_ms->dval[0] };

  return role_service_new (&options);
}

struct role
{
  const struct standin_ops *ops;
  struct standin *(*make) (const struct flags *f);
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

struct stopper
{
  struct loop_watch watch; /* first */
  struct loop *loop;
};

static void
on_signal (struct loop_watch *watch, uint32_t events)
{
  (void)events;
  loop_stop (((struct stopper *)watch)->loop);
}

/* SIGTERM and SIGINT end LOOP.  */
static void
watch_signals (struct stopper *stopper, struct loop *loop)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigprocmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
  stopper->loop = loop;
  stopper->watch.ready = on_signal;
  stopper->watch.fd = signalfd (-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  loop_watch (loop, &stopper->watch, EPOLLIN);
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
serve (const struct flags *f, const struct role *role)
{
  struct standin *standin = role->make (f);
  struct loop *loop = loop_new (clk_monotonic ());
  struct stopper stopper;
  char *address = NULL;
  uint16_t port = 0;
  int err = parse_listen (f->listen->sval[0], &address, &port);

  watch_signals (&stopper, loop);
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
    fprintf (stderr, "parsley-standin: %s: %s\n", f->listen->sval[0],
             strerror (-err));
  loop_unwatch (loop, &stopper.watch);
  close (stopper.watch.fd);
  loop_free (loop);
  g_free (address);
  g_free (standin);
  return err == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int
main (int argc, char **argv)
{
  struct flags f;
  const struct role *role;
  int errors;
  int status = EXIT_USAGE;

  make_flags (&f);
  errors = arg_parse (argc, argv, (void **)&f);
  role = f.role->count > 0 ? find_role (f.role->sval[0]) : NULL;
  if (f.help->count > 0)
    {
      arg_print_syntax (stdout, (void **)&f, "\n");
      arg_print_glossary (stdout, (void **)&f, "  %-28s %s\n");
      status = EXIT_SUCCESS;
    }
  else if (errors > 0 || role == NULL)
    {
      arg_print_errors (stderr, f.end, "parsley-standin");
      fprintf (stderr, "usage: parsley-standin platform|engine|service"
                       " [--listen IP:PORT] ... (see --help)\n");
    }
  else
    status = serve (&f, role);
  arg_freetable ((void **)&f, sizeof f / sizeof (void *));
  return status;
}

#include <errno.h>
#include <fcntl.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <sys/stat.h>
#include <unistd.h>
#include <argtable2.h>
#include <curl/curl.h>
#include <glib.h>
#include "callers.h"
#include "settings_file.h"
#include "document.h"
#include "engine.h"
#include "gate.h"
#include "log.h"
#include "store.h"
#include "ts.h"

#define SETTINGS_POLL_MS 1000
/* The part of the grace period that is not used to drain: the process ends
   before it is killed, and cuts streams only in the last sixth.  */
#define STOP_MARGIN_MS 800
#define STOP_MARGIN_SHARE 8 /* of the grace period, at most */
#define LOG_LINES_PER_S 400
#define FDS_RESERVED 300 /* descriptors not used for callers' connections */

/* Bytes.  Without a fixed threshold glibc raises it to the size of bodies that
   were freed, and then keeps their memory.  */
#define MMAP_THRESHOLD (128 << 10)

enum
{
  EXIT_OK = 0,
  EXIT_START_FAILED = 1, /* a port or resource is unavailable */
  EXIT_BAD_SETTINGS = 2, /* invalid settings: nothing was started */
  EXIT_USAGE = 3
};

struct options
{
  char *settings;   /* path */
  char *config;     /* path of a configuration to check; NULL: none */
  char *peer_token; /* shared secret of the nodes */
  int metrics_port; /* 0: no metrics */
  enum log_level log_level;
  enum log_format log_format;
  bool check_only;
  bool exit; /* help or version was printed; exit without an error */
};

struct process
{
  const struct options *options;
  struct settings_file settings_file;
  struct loop *loop;
  struct httpc *httpc;
  struct platform *platform;
  struct backend *backend;
  struct gate *gate;
  struct loop_watch signals;
  struct loop_timer settings_timer;
  struct timespec settings_mtime; /* of the file that was read last */
  off_t settings_size;
};

/* The command line.  */

static const char *
getenv_or_default (const char *name, const char *default_value)
{
  const char *value = getenv (name);

  return value != NULL && *value != '\0' ? value : default_value;
}

static void
apply_options (const struct arg_str *settings, const struct arg_int *metrics,
               const struct arg_str *level, const struct arg_str *format,
               struct options *out, struct findings *findings)
{
  const char *level_name
      = level->count > 0 ? level->sval[0]
                         : getenv_or_default ("PARSLEY_LOG_LEVEL", "info");
  const char *format_name
      = format->count > 0 ? format->sval[0]
                          : getenv_or_default ("PARSLEY_LOG_FORMAT", "logfmt");

  out->settings = g_strdup (
      settings->count > 0 ? settings->sval[0]
                          : getenv_or_default (SETTINGS_FILE_VARIABLE, NULL));
  out->metrics_port
      = metrics->count > 0
            ? metrics->ival[0]
            : atoi (getenv_or_default ("PARSLEY_METRICS_PORT", "0"));
  out->peer_token = g_strdup (getenv_or_default ("PARSLEY_PEER_TOKEN", NULL));
  if (out->peer_token == NULL)
    findings_add (findings, "PARSLEY_PEER_TOKEN", "not set");
  if (out->metrics_port < 0 || out->metrics_port > UINT16_MAX)
    findings_add (findings, "--metrics-port", "%d is not a valid port number",
                  out->metrics_port);
  if (log_level_parse (level_name, &out->log_level) < 0)
    findings_add (findings, "--log-level", "invalid log level \"%s\"",
                  level_name);
  if (log_format_parse (format_name, &out->log_format) < 0)
    findings_add (findings, "--log-format", "invalid log format \"%s\"",
                  format_name);
}

static int
read_options (int argc, char **argv, struct options *out,
              struct findings *findings)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_lit *version = arg_lit0 ("V", "version", "print the version");
  struct arg_lit *check = arg_lit0 (NULL, "check-settings",
                                    "check the settings and start nothing");
  struct arg_str *config = arg_str0 (
      NULL, "check-config", "FILE", "check a configuration and start nothing");
  struct arg_str *settings = arg_str0 (
      NULL, "settings", "FILE", "settings file (" SETTINGS_FILE_VARIABLE ")");
  struct arg_int *metrics
      = arg_int0 (NULL, "metrics-port", "PORT",
                  "port to serve metrics on (PARSLEY_METRICS_PORT)");
  struct arg_str *level = arg_str0 (NULL, "log-level", "LEVEL",
                                    "debug, info, notice, warning or error");
  struct arg_str *format
      = arg_str0 (NULL, "log-format", "FORMAT", "logfmt or json");
  struct arg_end *end = arg_end (10);
  void *table[] = { help,    version, check,  config, settings,
                    metrics, level,   format, end };
  int err = 0;

  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "parsley-gate");
      err = -EINVAL;
    }
  out->exit = help->count > 0 || version->count > 0;
  out->check_only = check->count > 0;
  if (help->count > 0)
    {
      printf ("Usage: parsley-gate");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-22s %s\n");
    }
  else if (version->count > 0)
    printf ("parsley-gate %s\n", PARSLEYRILL_VERSION);
  else if (err == 0 && config->count > 0)
    out->config = g_strdup (config->sval[0]);
  else if (err == 0)
    apply_options (settings, metrics, level, format, out, findings);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return err;
}

/* Reloading the settings.  */

static bool
settings_file_changed (struct process *process)
{
  struct stat now;

  if (stat (process->options->settings, &now) < 0)
    return false;
  if (ts_cmp (now.st_mtim, process->settings_mtime) == 0
      && now.st_size == process->settings_size)
    return false;
  process->settings_mtime = now.st_mtim;
  process->settings_size = now.st_size;
  return true;
}

static void
log_settings (const struct settings_file *settings_file)
{
  struct log_line line;

  log_begin (&line, EVENT_SETTINGS_READ);
  log_str (&line, "platform", settings_file->settings.platform);
  log_str (&line, "seeds", settings_file->settings.seeds);
  log_int (&line, "grace_ms", settings_file->grace_ms);
  log_double (&line, "retry_share", settings_file->retry_share);
  log_int (&line, "retry_burst", settings_file->retry_burst);
  log_end (&line);
}

/* Only new seeds take effect in a running process; changes of addresses and
   limits take effect at the next start.  */
static void
reload_settings (struct process *process)
{
  struct settings_file settings_file;
  struct findings findings;
  const struct finding *finding;
  struct log_line line;

  findings_init (&findings);
  if (settings_file_read (process->options->settings, &settings_file,
                          &findings)
      == 0)
    {
      log_settings (&settings_file);
      gate_add_seeds (process->gate, settings_file.settings.seeds);
    }
  CK_STAILQ_FOREACH (finding, &findings.list, link)
    {
      log_begin (&line, EVENT_SETTINGS_REFUSED);
      log_str (&line, "place", finding->place);
      log_str (&line, "why", finding->text);
      log_end (&line);
    }
  findings_clear (&findings);
  settings_file_clear (&settings_file);
}

static void
on_settings_timer (struct loop_timer *timer)
{
  struct process *process
      = (struct process *)((char *)timer
                           - offsetof (struct process, settings_timer));

  if (settings_file_changed (process))
    reload_settings (process);
  loop_timer_set (process->loop, timer,
                  ts_add_ms (loop_now (process->loop), SETTINGS_POLL_MS));
}

static void
on_signal (struct loop_watch *watch, uint32_t events)
{
  struct process *process
      = (struct process *)((char *)watch - offsetof (struct process, signals));
  struct signalfd_siginfo info;

  (void)events;
  if (read (watch->fd, &info, sizeof info) != (ssize_t)sizeof info)
    return;
  if (info.ssi_signo == SIGHUP)
    reload_settings (process);
  else
    gate_drain (process->gate);
}

/* Called before any other resource is opened, so that no signal is lost.  */
static int
block_signals (void)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGHUP);
  signal (SIGPIPE, SIG_IGN);
  sigprocmask (SIG_BLOCK, &set, NULL);
  return signalfd (-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
}

/* The process.  */

static void
init_log (const struct process *process)
{
  struct log_options options = { .fd = STDOUT_FILENO,
                                 .level = process->options->log_level,
                                 .format = process->options->log_format,
                                 .node = process->settings_file.settings.node,
                                 .clk = clk_boottime (),
                                 .lines_per_s = LOG_LINES_PER_S };
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  log_init (&options);
}

/* Ends all pending calls, each with its callback.  */
static void
close_http_client (void *user)
{
  struct process *process = user;

  httpc_free (process->httpc);
  process->httpc = NULL;
}

static struct gateway_address
gateway_address_of (const struct settings_file_listen *listen)
{
  struct gateway_address address
      = { .address = listen->address, .port = listen->port };

  return address;
}

static int64_t
drain_ms (int64_t grace_ms)
{
  return grace_ms - MIN (STOP_MARGIN_MS, grace_ms / STOP_MARGIN_SHARE);
}

static int
create_gate (struct process *process)
{
  struct settings_file *settings_file = &process->settings_file;
  struct gate_options options
      = { .clk = clk_boottime (),
          .loop = process->loop,
          .settings = &settings_file->settings,
          .platform = process->platform,
          .backend = process->backend,
          .catalog = document_catalog (),
          .planners = { .checks_fence = settings_file->checks_fence },
          .drain_ms = drain_ms (settings_file->grace_ms),
          .close = close_http_client,
          .user = process };

  options.gateway.caller = callers ();
  options.gateway.front = gateway_address_of (&settings_file->front);
  options.gateway.directory = gateway_address_of (&settings_file->directory);
  options.gateway.ready = gateway_address_of (&settings_file->ready);
  options.gateway.zone = settings_file->settings.zone;
  options.gateway.retry_share = settings_file->retry_share;
  options.gateway.retry_burst = settings_file->retry_burst;
  options.gateway.retry_window_ms = settings_file->retry_window_ms;
  options.gateway.config_ms = settings_file->config_ms;
  options.quota = settings_file->quota;
  options.gateway.max_connections
      = settings_file->fd_limit > 2 * FDS_RESERVED
            ? settings_file->fd_limit - FDS_RESERVED
            : settings_file->fd_limit / 2;
  if (process->options->metrics_port > 0)
    {
      options.gateway.metrics.address = settings_file->front.address;
      options.gateway.metrics.port = (uint16_t)process->options->metrics_port;
    }
  return gate_new (&options, &process->gate);
}

static int
create_process (struct process *process)
{
  struct httpc_options http = { 0 };
  struct store_options store
      = { .address = process->settings_file.settings.platform };

  process->loop = loop_new (clk_boottime ());
  if (process->loop == NULL)
    return -errno;
  http.loop = process->loop;
  process->httpc = httpc_new (&http);
  if (process->httpc == NULL)
    return -ENOMEM;
  store.httpc = process->httpc;
  process->platform = store_new (&store);
  process->backend = engine_new (process->httpc);
  return create_gate (process);
}

static void
free_process (struct process *process)
{
  if (process->gate != NULL)
    gate_free (process->gate);
  else
    httpc_free (process->httpc);
  store_free (process->platform);
  engine_free (process->backend);
  loop_free (process->loop);
}

static int
run (struct process *process)
{
  int err;

  init_log (process);
  log_settings (&process->settings_file);
  settings_file_changed (process);
  err = create_process (process);
  if (err < 0)
    fprintf (stderr, "parsley-gate: cannot start: %s\n", strerror (-err));
  if (err == 0)
    {
      process->signals.ready = on_signal;
      process->settings_timer.fire = on_settings_timer;
      loop_watch (process->loop, &process->signals, EPOLLIN);
      loop_timer_set (process->loop, &process->settings_timer,
                      loop_now (process->loop));
      gate_run (process->gate);
      loop_timer_clear (process->loop, &process->settings_timer);
      loop_unwatch (process->loop, &process->signals);
    }
  free_process (process);
  return err == 0 ? EXIT_OK : EXIT_START_FAILED;
}

static int
start (const struct options *options, struct findings *findings)
{
  struct process process = { .options = options };
  int status = EXIT_OK;

  process.signals.fd = block_signals ();
  settings_file_read (options->settings, &process.settings_file, findings);
  process.settings_file.settings.peer_token = g_strdup (options->peer_token);
  if (findings->count > 0)
    {
      findings_print (findings, "parsley-gate", stderr);
      status = EXIT_BAD_SETTINGS;
    }
  else if (!options->check_only)
    {
      mallopt (M_MMAP_THRESHOLD, MMAP_THRESHOLD);
      curl_global_init (CURL_GLOBAL_DEFAULT);
      status = run (&process);
      curl_global_cleanup ();
    }
  close (process.signals.fd);
  settings_file_clear (&process.settings_file);
  return status;
}

/* Every finding is printed, also those that a node would serve with.  */
static int
check_config (const char *path, struct findings *findings)
{
  const struct catalog *catalog = document_catalog ();
  struct site *site = NULL;
  GError *error = NULL;
  char *text;

  if (!g_file_get_contents (path, &text, NULL, &error))
    {
      findings_add (findings, path, "%s", error->message);
      g_error_free (error);
    }
  else
    {
      catalog->ops->site (catalog, text, &site, findings);
      site_unref (site);
      g_free (text);
    }
  findings_print (findings, "parsley-gate", stderr);
  return findings->count > 0 ? EXIT_BAD_SETTINGS : EXIT_OK;
}

int
main (int argc, char **argv)
{
  struct options options = { 0 };
  struct findings findings;
  int status = EXIT_USAGE;

  findings_init (&findings);
  if (read_options (argc, argv, &options, &findings) == 0)
    {
      if (options.exit)
        status = EXIT_OK;
      else if (options.config != NULL)
        status = check_config (options.config, &findings);
      else
        status = start (&options, &findings);
    }
  findings_clear (&findings);
  g_free (options.settings);
  g_free (options.config);
  g_free (options.peer_token);
  return status;
}

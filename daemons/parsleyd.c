#include <errno.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>
#include <curl/curl.h>
#include "log.h"
#include "node.h"
#include "settings.h"

/* Bytes.  Without a fixed threshold glibc raises it to the size of bodies that
   were freed, and then keeps their memory.  */
#define MMAP_THRESHOLD (128 << 10)

enum
{
  EXIT_OK = 0,
  EXIT_START = 1,   /* a port or resource is unavailable */
  EXIT_SETTINGS = 2 /* invalid settings: nothing was started */
};

struct signals
{
  struct loop_watch watch;
  struct node *node;
  int received;
};

static void
on_signal (struct loop_watch *watch, uint32_t events)
{
  struct signals *signals = (struct signals *)watch;
  struct signalfd_siginfo info;

  (void)events;
  if (read (watch->fd, &info, sizeof info) != (ssize_t)sizeof info)
    return;
  signals->received++;
  if (signals->received == 1)
    node_drain (signals->node);
  else
    node_stop (signals->node);
}

/* Called before any thread starts, so that all threads block the signals.  */
static int
block_signals (void)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  signal (SIGPIPE, SIG_IGN);
  sigprocmask (SIG_BLOCK, &set, NULL);
  return signalfd (-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
}

static int
run (const struct settings *settings, int signal_fd)
{
  struct signals signals
      = { .watch = { .ready = on_signal, .fd = signal_fd } };
  int err = node_new (settings, &signals.node);

  if (err < 0)
    {
      fprintf (stderr, "parsleyd: cannot start: %s\n", strerror (-err));
      return EXIT_START;
    }
  err = loop_watch (node_loop (signals.node), &signals.watch, EPOLLIN);
  if (err == 0)
    node_run (signals.node);
  loop_unwatch (node_loop (signals.node), &signals.watch);
  node_free (signals.node);
  return err == 0 ? EXIT_OK : EXIT_START;
}

static int
report_findings (const struct findings *findings)
{
  findings_print (findings, "parsleyd", stderr);
  return EXIT_SETTINGS;
}

static int
start (const struct settings *settings)
{
  int signal_fd = block_signals ();
  int status;

  if (signal_fd < 0)
    return EXIT_START;
  mallopt (M_MMAP_THRESHOLD, MMAP_THRESHOLD);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  status = run (settings, signal_fd);
  curl_global_cleanup ();
  close (signal_fd);
  return status;
}

int
main (int argc, char **argv)
{
  struct settings settings;
  struct findings findings;
  int status = EXIT_OK;
  int err;

  findings_init (&findings);
  err = settings_read (argc, argv, &settings, &findings);
  if (settings.help)
    settings_help (stdout);
  else if (settings.version)
    printf ("parsleyd %s\n", PARSLEYRILL_VERSION);
  else if (err < 0)
    status = report_findings (&findings);
  else if (!settings.check_only)
    status = start (&settings);
  findings_clear (&findings);
  settings_clear (&settings);
  return status;
}

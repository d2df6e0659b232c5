/* hostile_process - runs a program with a crowd of clients at each of its
   doors in turn, and checks that it lives, keeps within its limits and answers
   an ordinary caller then.  */

#ifndef HOSTILE_PROCESS_H
#define HOSTILE_PROCESS_H

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include "hostile_forms.h"

#define HUNG_MS 30000 /* without serving a caller: the process hangs */
#define CALLER_PAUSE_MS 50
#define CALLER_TIMEOUT_S 5
#define SETTLE_TRIES 100
#define SETTLED_FDS 4 /* connections to servers may stay */
#define RESPONSE_MAX 65536

struct victim
{
  char *dir;
  char address[32];    /* of the program under test */
  char crowd_from[32]; /* address of the crowd */
  char caller_from[32];
  const struct crowd_door *doors;
  size_t door_count;
  const char *const *environment;
  pid_t pid;
  /* Sends one ordinary request; returns whether it was served.  */
  bool (*call) (struct victim *victim);
  /* Checks after a crowd; may be NULL.  */
  void (*check) (struct victim *victim, const struct crowd *crowd);
};

static pid_t
victim_start_process (const struct victim *victim, char *const *argv,
                      const char *log_name)
{
  char *log = g_build_filename (victim->dir, log_name, NULL);
  pid_t pid = fork ();

  if (pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      execve (argv[0], argv, (char *const *)victim->environment);
      _exit (127);
    }
  g_free (log);
  return pid;
}

static void
kill_process (pid_t pid)
{
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0);
}

static size_t
response_end (const char *text)
{
  const char *blank = strstr (text, "\r\n\r\n");
  const char *length = strcasestr (text, "\r\nContent-Length: ");

  if (blank == NULL)
    return SIZE_MAX;
  return (size_t)(blank + 4 - text)
         + (length != NULL ? strtoul (length + 18, NULL, 10) : 0);
}

/* Sends N bytes of TEXT from the caller's address and reads the response,
   whose beginning is left in INPUT, of RESPONSE_MAX bytes.  Returns its
   status, 0 without one.  */
static int
victim_exchange (const struct victim *victim, const char *address, int port,
                 const char *text, size_t n, char *input)
{
  struct timeval limit = { .tv_sec = CALLER_TIMEOUT_S };
  int fd = crowd_connect (victim->caller_from, address, port, 0);
  size_t got = 0;
  size_t sent = 0;
  ssize_t r = 1;

  input[0] = '\0';
  if (fd < 0)
    return 0;
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  while (sent < n && r > 0)
    {
      r = send (fd, text + sent, n - sent, MSG_NOSIGNAL);
      sent += r > 0 ? (size_t)r : 0;
    }
  for (r = 1; r > 0 && got < response_end (input);)
    {
      size_t kept = MIN (got, RESPONSE_MAX / 2);

      r = recv (fd, input + kept, RESPONSE_MAX - 1 - kept, 0);
      got += r > 0 ? (size_t)r : 0;
      input[MIN (got, RESPONSE_MAX / 2)] = '\0';
    }
  close (fd);
  return g_str_has_prefix (input, "HTTP/1.1 ") && got >= response_end (input)
             ? atoi (input + strlen ("HTTP/1.1 "))
             : 0;
}

static bool
victim_lives (const struct victim *victim)
{
  return waitpid (victim->pid, NULL, WNOHANG) == 0;
}

/* Waits until an ordinary request is served.  */
static bool
victim_serves (struct victim *victim)
{
  int64_t end = crowd_now_ms () + HUNG_MS;

  while (crowd_now_ms () < end && victim_lives (victim))
    {
      if (victim->call (victim))
        return true;
      g_usleep (CALLER_PAUSE_MS * 1000);
    }
  return false;
}

/* Waits until the connections of a crowd are gone, so that they do not count
   for the next one.  */
static void
victim_settle (const struct victim *victim, int fds)
{
  for (int i = 0; i < SETTLE_TRIES && process_fds (victim->pid) > fds; i++)
    g_usleep (10000);
}

/* Returns whether an ordinary caller was served.  */
static bool
attack_door (struct victim *victim, const struct crowd_form *form,
             const struct crowd_door *door)
{
  struct crowd crowd = { .form = form,
                         .door = door,
                         .source = victim->crowd_from,
                         .pid = victim->pid };
  int fds = process_fds (victim->pid);
  bool serves;
  long peak;

  process_reset_peak (victim->pid);
  crowd_begin (&crowd);
  crowd_run (&crowd);
  serves = victim_serves (victim);
  peak = process_peak_kb (victim->pid);
  g_test_message ("%s at %s: %ld kB, %d descriptors, %s", form->name,
                  door->name, peak, crowd.fds,
                  serves ? "serves" : "does not serve");
  if (!serves || peak > PEAK_MAX_KB || crowd.fds > FD_LIMIT)
    g_test_fail ();
  if (victim->check != NULL)
    victim->check (victim, &crowd);
  crowd_end (&crowd);
  victim_settle (victim, fds + SETTLED_FDS);
  return serves;
}

static void
attack (struct victim *victim, const struct crowd_form *form)
{
  bool serves = victim_serves (victim);

  g_assert_true (serves);
  for (size_t i = 0; i < victim->door_count && serves; i++)
    serves = attack_door (victim, form, &victim->doors[i]);
  if (!victim_lives (victim) || !victim_serves (victim))
    g_test_fail ();
}

/* A request with the largest body allowed and a head of HEAD bytes.  */
static GString *
largest_request (const char *target, const char *fields, size_t head)
{
  GString *text = g_string_new (NULL);

  g_string_printf (text,
                   "POST %s HTTP/1.1\r\nHost: h.example\r\n%s"
                   "Content-Length: " BODY_MAX_TEXT "\r\nX-Fill: ",
                   target, fields);
  while (text->len < head - 4)
    g_string_append_c (text, 'f');
  g_string_append (text, "\r\n\r\n");
  for (size_t i = 0; i < BODY_MAX_BYTES; i++)
    g_string_append_c (text, 'b');
  return text;
}

static void
victim_addresses (struct victim *victim)
{
  pid_t pid = getpid ();
  unsigned a = 1 + ((unsigned)pid >> 8) % 200;
  unsigned b = (unsigned)pid & 255;

  g_snprintf (victim->address, sizeof victim->address, "127.%u.%u.10", a, b);
  g_snprintf (victim->crowd_from, sizeof victim->crowd_from, "127.%u.%u.20", a,
              b);
  g_snprintf (victim->caller_from, sizeof victim->caller_from, "127.%u.%u.30",
              a, b);
}

#endif

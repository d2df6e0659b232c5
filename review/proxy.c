/* A link from the gates to one engine.  It passes bytes on as they come, but
   loses the packet with the first order of one holder once, if it is armed: a
   file exists.  TCP sends that packet again after its time-out; here it is
   passed on after that time.

   Arguments: address, port, engine's address, engine's port, holder, time-out
   in ms, file, record.  */

#include "stand.h"

struct link
{
  int from;
  int to;
  bool to_engine;
};

static const char *engine_ip;
static int engine_port;
static char holder[128];
static int timeout_ms;
static const char *file;
static atomic_bool used;

static bool
is_lost (const struct link *link, const char *bytes)
{
  return link->to_engine && strstr (bytes, holder) != NULL
         && access (file, F_OK) == 0 && !atomic_exchange (&used, true);
}

static void *
pass_on (void *user)
{
  struct link *link = user;
  char bytes[65536];
  ssize_t n;

  while ((n = recv (link->from, bytes, sizeof bytes - 1, 0)) > 0)
    {
      bytes[n] = '\0';
      if (is_lost (link, bytes))
        {
          record ("LOST packet with an order, %s; sent again in %d ms", holder,
                  timeout_ms);
          sleep_ms (timeout_ms);
        }
      if (!send_all (link->to, bytes, (size_t)n))
        break;
    }
  shutdown (link->to, SHUT_WR);
  shutdown (link->from, SHUT_RD);
  free (link);
  return NULL;
}

static void *
handle (void *user)
{
  int fd = (int)(intptr_t)user;
  int engine = connect_to (engine_ip, engine_port, 0);
  struct link *out = malloc (sizeof *out);
  struct link *back = malloc (sizeof *back);
  pthread_t thread;

  if (engine < 0)
    {
      struct linger reset = { .l_onoff = 1 };

      setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      close (fd);
      free (out);
      free (back);
      return NULL;
    }
  *out = (struct link){ .from = fd, .to = engine, .to_engine = true };
  *back = (struct link){ .from = engine, .to = fd };
  if (pthread_create (&thread, NULL, pass_on, out) != 0)
    exit (2);
  pass_on (back);
  pthread_join (thread, NULL);
  close (fd);
  close (engine);
  return NULL;
}

int
proxy_main (int argc, char **argv)
{
  if (argc != 8)
    exit (2);
  engine_ip = argv[2];
  engine_port = atoi (argv[3]);
  snprintf (holder, sizeof holder, "\"Holder\":\"%s\"", argv[4]);
  timeout_ms = atoi (argv[5]);
  file = argv[6];
  record_open (argv[7]);
  serve (listen_on (argv[0], atoi (argv[1])), handle);
  return 0;
}

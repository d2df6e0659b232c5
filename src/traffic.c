#include "traffic.h"

#include <errno.h>
#include <ck_pr.h>
#include <glib.h>
#include "worker.h"

struct traffic
{
  struct traffic_options options;
  struct worker **workers;
  GThread **threads;
  unsigned count;
  unsigned draining; /* atomic, enum worker_draining */
  bool running;
};

static int
make_workers (struct traffic *traffic)
{
  for (unsigned i = 0; i < traffic->count; i++)
    {
      int err = worker_new (&traffic->options, i, &traffic->draining,
                            &traffic->workers[i]);

      if (err < 0)
        return err;
      traffic->options.port = httpd_port (traffic->workers[0]->httpd);
    }
  return 0;
}

int
traffic_new (const struct traffic_options *options, struct traffic **out)
{
  struct traffic *traffic = g_new0 (struct traffic, 1);
  int err;

  traffic->options = *options;
  traffic->options.threads = options->threads != 0 ? options->threads : 1;
  traffic->count = traffic->options.threads;
  traffic->workers = g_new0 (struct worker *, traffic->count);
  traffic->threads = g_new0 (GThread *, traffic->count);
  err = make_workers (traffic);
  if (err < 0)
    {
      traffic_free (traffic);
      return err;
    }
  *out = traffic;
  return 0;
}

static gpointer
run_worker (gpointer data)
{
  worker_run (data);
  return NULL;
}

int
traffic_start (struct traffic *traffic)
{
  traffic->running = true;
  for (unsigned i = 0; i < traffic->count; i++)
    {
      traffic->threads[i] = g_thread_try_new ("traffic", run_worker,
                                              traffic->workers[i], NULL);
      if (traffic->threads[i] == NULL)
        {
          traffic_stop (traffic);
          return -EAGAIN;
        }
    }
  return 0;
}

uint16_t
traffic_port (const struct traffic *traffic)
{
  return traffic->options.port;
}

unsigned
traffic_threads (const struct traffic *traffic)
{
  return traffic->count;
}

int
traffic_send (struct traffic *traffic, unsigned thread, struct msg *message)
{
  if (thread >= traffic->count)
    {
      msg_free (message);
      return -EINVAL;
    }
  return worker_post (traffic->workers[thread], message);
}

int
traffic_broadcast (struct traffic *traffic, enum msg_type type)
{
  int result = 0;

  for (unsigned i = 0; i < traffic->count; i++)
    {
      int err = traffic_send (traffic, i, msg_new (type));

      if (err < 0)
        result = err;
    }
  return result;
}

void
traffic_drain (struct traffic *traffic)
{
  ck_pr_store_uint (&traffic->draining, WORKER_DRAINING);
}

void
traffic_close (struct traffic *traffic)
{
  ck_pr_store_uint (&traffic->draining, WORKER_CLOSED);
  ck_pr_fence_memory ();
}

unsigned
traffic_open_requests (const struct traffic *traffic)
{
  unsigned open = 0;

  for (unsigned i = 0; i < traffic->count; i++)
    open += worker_open_requests (traffic->workers[i]);
  return open;
}

void
traffic_stop (struct traffic *traffic)
{
  if (!traffic->running)
    return;
  traffic->running = false;
  for (unsigned i = 0; i < traffic->count; i++)
    {
      if (traffic->threads[i] == NULL)
        continue;
      worker_stop (traffic->workers[i]);
      g_thread_join (traffic->threads[i]);
      traffic->threads[i] = NULL;
    }
}

void
traffic_free (struct traffic *traffic)
{
  if (traffic == NULL)
    return;
  traffic_stop (traffic);
  for (unsigned i = 0; i < traffic->count; i++)
    worker_free (traffic->workers[i]);
  g_free (traffic->workers);
  g_free (traffic->threads);
  g_free (traffic);
}

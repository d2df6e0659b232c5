#include "kernel.h"

#include <errno.h>
#include <string.h>
#include <glib.h>
#include "log.h"

CK_STAILQ_HEAD (service_list, service);

struct kernel
{
  struct service_list services;
  GPtrArray *started; /* borrowed, in the order of start */
};

struct kernel *
kernel_new (void)
{
  struct kernel *kernel = g_new0 (struct kernel, 1);

  CK_STAILQ_INIT (&kernel->services);
  kernel->started = g_ptr_array_new ();
  return kernel;
}

struct service *
kernel_find (struct kernel *kernel, const char *name)
{
  struct service *service;

  CK_STAILQ_FOREACH (service, &kernel->services, link)
    {
      if (strcmp (service->name, name) == 0)
        return service;
    }
  return NULL;
}

int
kernel_register (struct kernel *kernel, struct service *service)
{
  if (kernel_find (kernel, service->name) != NULL)
    return -EEXIST;
  CK_STAILQ_INSERT_TAIL (&kernel->services, service, link);
  return 0;
}

static int
start_service (struct kernel *kernel, struct service *service)
{
  struct log_line line;
  int err = service->ops->start (service, kernel);

  if (err < 0)
    return err;
  g_ptr_array_add (kernel->started, service);
  log_begin (&line, EVENT_SERVICE_STARTED);
  log_str (&line, "service", service->name);
  log_end (&line);
  return 0;
}

int
kernel_start (struct kernel *kernel)
{
  struct service *service;

  CK_STAILQ_FOREACH (service, &kernel->services, link)
    {
      int err = start_service (kernel, service);

      if (err < 0)
        {
          kernel_stop (kernel);
          return err;
        }
    }
  return 0;
}

void
kernel_stop (struct kernel *kernel)
{
  while (kernel->started->len > 0)
    {
      guint last = kernel->started->len - 1;
      struct service *service = g_ptr_array_index (kernel->started, last);

      g_ptr_array_set_size (kernel->started, (gint)last);
      service->ops->stop (service);
    }
}

void
kernel_post (struct kernel *kernel, enum kernel_event_type type,
             const void *data)
{
  struct kernel_event event = { .type = type, .data = data };

  for (guint i = 0; i < kernel->started->len; i++)
    {
      struct service *service = g_ptr_array_index (kernel->started, i);

      if (service->ops->event != NULL)
        service->ops->event (service, &event);
    }
}

void
kernel_free (struct kernel *kernel)
{
  if (kernel == NULL)
    return;
  kernel_stop (kernel);
  g_ptr_array_unref (kernel->started);
  g_free (kernel);
}

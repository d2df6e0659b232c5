#include "core.h"

static int
core_start (struct service *service, struct kernel *kernel)
{
  (void)service;
  (void)kernel;
  return 0;
}

static void
core_stop (struct service *service)
{
  (void)service;
}

static const struct service_ops core_ops = { core_start, core_stop, NULL };

void
core_register (struct core *core)
{
  core->service.ops = &core_ops;
  core->service.name = CORE_NAME;
  kernel_register (core->kernel, &core->service);
}

struct core *
core_find (struct kernel *kernel)
{
  return (struct core *)kernel_find (kernel, CORE_NAME);
}

char *
core_unique_id (struct core *core)
{
  core->last_serial++;
  return g_strdup_printf ("%s-%llx-%llx", core->node,
                          (unsigned long long)core->incarnation,
                          (unsigned long long)core->last_serial);
}

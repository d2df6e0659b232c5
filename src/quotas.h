/* quotas - the quotas of customers, kept by all nodes together: connects
   struct quota with the configuration and the other nodes.

   A service of the kernel, "quotas".  Posts KERNEL_QUOTA_CHANGED.  One
   thread.  */

#ifndef PARSLEYRILL_QUOTAS_H
#define PARSLEYRILL_QUOTAS_H

#include <stdint.h>
#include "kernel.h"
#include "quota.h"

#define QUOTAS_NAME "quotas"

struct quotas;

struct service *quotas_new (const struct quota_bounds *bounds);
void quotas_free (struct service *service);
struct quotas *quotas_find (struct kernel *kernel);

/* See the functions of quota.h.  */
struct quota_verdict quotas_take (struct quotas *quotas, const char *customer,
                                  double amount);
struct quota_verdict quotas_check (struct quotas *quotas, const char *customer,
                                   uint64_t wait);
void quotas_leave (struct quotas *quotas, const char *customer, uint64_t wait);
void quotas_return (struct quotas *quotas, const char *customer,
                    const struct quota_taken *taken);
bool quotas_status (struct quotas *quotas, const char *customer,
                    struct quota_status *status);

/* Per customer in Prometheus text format; freed with g_free.  */
char *quotas_metrics (struct quotas *quotas);

#endif

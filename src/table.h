/* table - builds a route table from the configuration and the engines' state.

   The cost is linear in the number of copies on engines, of targets and of
   replicas of targets.  Control thread only; keeps no state.  */

#ifndef PARSLEYRILL_TABLE_H
#define PARSLEYRILL_TABLE_H

#include <stdbool.h>
#include <time.h>
#include <glib.h>
#include "doc.h"
#include "route.h"

struct table_input
{
  const struct doc *doc;
  GHashTable *engines; /* id to struct fleet_engine */
  /* Whether MODEL is being loaded; sets READY_AT to the estimated end.  */
  bool (*loading) (void *user, const char *model, struct timespec *ready_at);
  /* Mean service time of a request for NAME in seconds; 0: unknown.  */
  double (*service_s) (void *user, const char *name);
  void *user;
};

/* Fills in the targets and services of TABLE, which must have none yet.  */
void table_build (const struct table_input *input, struct route_table *table);

#endif

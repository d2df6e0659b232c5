/* catalog - interface to the platform's rows: in which tables the
   configuration and the backend servers are, and how to decode them.

   Pure functions.  Ownership: results belong to the caller.  */

#ifndef PARSLEYRILL_CATALOG_H
#define PARSLEYRILL_CATALOG_H

#include "finding.h"
#include "servers.h"
#include "site.h"

struct catalog;

struct catalog_ops
{
  /* Decodes the configuration.  Returns 0 and *OUT, indexed, with findings of
     what was left out of it, or -EBADMSG with findings.  FINDINGS is empty
     before.  */
  int (*site) (const struct catalog *catalog, const char *text,
               struct site **out, struct findings *findings);
  /* Decodes the row of backend server ID.  Returns 0 and ENTRY, to be
     cleared, or -EBADMSG with a string constant in *WHY.  */
  int (*server) (const struct catalog *catalog, const char *id,
                 const char *text, struct server_entry *entry,
                 const char **why);
};

struct catalog
{
  const struct catalog_ops *ops;
  const char *config_table;
  const char *config_key;
  const char *servers_table;
};

#endif

/* catalog - the platform's own rows, as an interface: where the
   configuration and the backend servers are listed, and how they are read.

   Pure functions.  Ownership: results pass to the caller.  */

#ifndef PARSLEYRILL_CATALOG_H
#define PARSLEYRILL_CATALOG_H

#include "finding.h"
#include "servers.h"
#include "site.h"

struct catalog;

struct catalog_ops
{
  /* 0 and *OUT, indexed; or -EBADMSG with findings.  */
  int (*site) (const struct catalog *catalog, const char *text,
               struct site **out, struct findings *findings);
  /* 0 and ENTRY, to be cleared; or -EBADMSG and *WHY, a constant text.  */
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

/* config - the service that holds the configuration of this node.

   A service of the control thread, "config": executes the actions of confsync
   and posts KERNEL_DOC_APPLIED when a higher version has been applied.  */

#ifndef PARSLEYRILL_CONFIG_H
#define PARSLEYRILL_CONFIG_H

#include "confsync.h"
#include "doc.h"
#include "kernel.h"

#define CONFIG_NAME "config"

struct config;

struct service *config_new (void);
void config_free (struct service *service);
struct config *config_find (struct kernel *kernel);

/* The applied document, borrowed; NULL until there is one.  */
struct doc *config_doc (struct config *config);

/* TEAM's section in the applied version; NULL if there is none.  */
const struct confsync_section *config_section (struct config *config,
                                               const char *team);

/* Replaces TEAM's section by TEXT (NULL removes it) if it still has version
   BASE.  DONE is called exactly once; its TEXT is the conflicting section or
   the list of findings, or NULL.  */
void config_edit (struct config *config, const char *team, const char *text,
                  uint64_t base,
                  void (*done) (void *user, enum confsync_status status,
                                uint64_t version, const char *text),
                  void *user);

#endif

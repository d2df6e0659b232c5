/* config - the configuration in force at this node.

   A service of the control thread, "config": drives confsync, posts
   KERNEL_DOC_APPLIED when a higher version is in force.  */

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

/* The document in force, borrowed; NULL while none is known.  */
struct doc *config_doc (struct config *config);

/* The section in force; NULL: none.  */
const struct confsync_section *config_section (struct config *config,
                                               const char *team);

/* Replaces TEAM's section by TEXT (NULL removes it) if it is still of version
   BASE.  DONE comes exactly once: TEXT says what conflicts or is wrong, and
   may be NULL.  */
void config_edit (struct config *config, const char *team, const char *text,
                  uint64_t base,
                  void (*done) (void *user, enum confsync_status status,
                                uint64_t version, const char *text),
                  void *user);

#endif

/* admin - operator API: status, explain, configuration, drain.

   A service of the control thread, registered as "admin".  The traffic threads
   check the operator token before they pass a request on.  */

#ifndef PARSLEYRILL_ADMIN_H
#define PARSLEYRILL_ADMIN_H

#include "kernel.h"

#define ADMIN_NAME "admin"

struct service *admin_new (void);
void admin_free (struct service *service);

#endif

/* records - at-most-once records: drives the record decider against the table
   and the object store for the traffic threads.

   A service of the control thread, "records".  */

#ifndef PARSLEYRILL_RECORDS_H
#define PARSLEYRILL_RECORDS_H

#include "kernel.h"

#define RECORDS_NAME "records"

struct service *records_new (void);
void records_free (struct service *service);

/* Records under way here; a planned stop waits until there are none.  */
unsigned records_pending (struct service *service);

#endif

/* records - connects the idempotency records (record.h) to the table, the
   object store and the traffic threads.

   A service of the control thread named "records".  */

#ifndef PARSLEYRILL_RECORDS_H
#define PARSLEYRILL_RECORDS_H

#include "kernel.h"

#define RECORDS_NAME "records"

struct service *records_new (void);
void records_free (struct service *service);

/* Number of records in progress at this node; a planned stop waits until
   it is 0.  */
unsigned records_pending (struct service *service);

#endif

/* entry - HTTP handlers for requests that a node answers itself: addresses for
   callers, models, health and metrics.  Worker thread only.  */

#ifndef PARSLEYRILL_ENTRY_H
#define PARSLEYRILL_ENTRY_H

#include "httpd.h"
#include "worker.h"

void entry_lookup (struct worker *worker, struct httpd_request *request);
void entry_models (struct worker *worker, struct httpd_request *request);
void entry_healthz (struct worker *worker, struct httpd_request *request);
void entry_readyz (struct worker *worker, struct httpd_request *request);
void entry_metrics (struct worker *worker, struct httpd_request *request);

#endif

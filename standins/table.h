/* table - the platform's transactional table, in memory.

   Rows are ordered by key.  The response to a transaction is stored under its
   idempotency token, so that a retried transaction gets the same response and
   is not executed again.  */

#ifndef STANDIN_TABLE_H
#define STANDIN_TABLE_H

#include <stddef.h>
#include <jansson.h>

struct table;

struct table *table_new (void);
void table_free (struct table *table);

/* Executes the transaction BODY and sets *RESPONSE; both are as in
   docs/PROTOCOLS.md.  Returns the HTTP status: 200 committed, 409 when a check
   failed, 400 when BODY is malformed.  */
unsigned table_txn (struct table *table, const json_t *body,
                    json_t **response);

/* Returns at most LIMIT rows whose keys begin with PREFIX, by key.  */
json_t *table_scan (const struct table *table, const char *prefix,
                    size_t limit);

#endif

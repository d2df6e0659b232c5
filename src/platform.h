/* platform - interface to the platform's table, object store and instance
   list.

   All operations are asynchronous and are called from the control thread; the
   callback is called later on the same thread, exactly once.  It is
   implemented by platform_http, by platform/store.c and by fakes in tests.

   PLATFORM_UNKNOWN means that the operation may or may not have taken effect;
   a caller that needs to know reads the row back and compares TOKEN.

   The table may be restored from a copy.  What was written after the copy was
   made is lost, although it was acknowledged, and its versions are used again.
   Each time ERA rises.  A version is meaningful only in the era in which it
   was read: a transaction that was sent in an earlier era than it was executed
   in ends as PLATFORM_UNKNOWN, a watch as PLATFORM_COMPACTED.  Responses from
   an earlier era than the known one end as PLATFORM_UNKNOWN.

   Ownership: arguments are borrowed for the duration of the call, results for
   the duration of the callback.  */

#ifndef PARSLEYRILL_PLATFORM_H
#define PARSLEYRILL_PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct platform;

enum platform_status
{
  PLATFORM_OK,
  PLATFORM_CONFLICT,  /* a check failed: nothing was written */
  PLATFORM_NOT_FOUND, /* no such row or object */
  PLATFORM_REFUSED,   /* not executed: rate limit, no connection */
  PLATFORM_UNKNOWN,   /* may or may not have been executed */
  PLATFORM_COMPACTED  /* watch: the requested history is no longer kept */
};

/* VERSION is 0 when there is no row and increases with each write.  TOKEN is
   that of the attempt that last wrote the row, "" when it is not known.  */
struct platform_row
{
  char *key;
  uint64_t version;
  char *value; /* JSON text */
  char *token;
};

struct platform_check
{
  const char *key;
  uint64_t version; /* the check holds if the row has exactly this version */
};

struct platform_write
{
  const char *key;
  const char *value; /* JSON text; NULL deletes the row */
};

/* The writes are applied atomically if all checks hold, otherwise none is.
   TOKEN is unique to the attempt; when a transaction is sent again with the
   same token, its result is that of the first time.  */
struct platform_txn
{
  const char *token;
  const struct platform_check *checks;
  size_t check_count;
  const struct platform_write *writes;
  size_t write_count;
};

struct platform_rows
{
  struct platform_row *rows; /* ordered by key */
  size_t count;
};

/* Rows of one table; the keys do not contain the table's name.  A row whose
   VALUE is NULL was deleted.  The next watch starts from VERSION.  */
struct platform_changes
{
  const struct platform_row *rows;
  size_t count;
  uint64_t version;
};

struct platform_instance
{
  char *id;
  char *address; /* IP:port */
  char *zone;
  char *region;
  char *pool; /* "entry" for the nodes of this system */
  bool leaving;
};

struct platform_instances
{
  struct platform_instance *instances;
  size_t count;
};

/* On PLATFORM_CONFLICT, ROWS contains the current state of the rows whose
   check failed.  On PLATFORM_OK it may contain the written rows with their new
   versions; if it does not, each write increments the version by 1.  */
struct platform_txn_cb
{
  void (*done) (void *user, enum platform_status status,
                const struct platform_rows *rows);
  void *user;
};

struct platform_rows_cb
{
  void (*done) (void *user, enum platform_status status,
                const struct platform_rows *rows);
  void *user;
};

struct platform_object_cb
{
  void (*done) (void *user, enum platform_status status, const void *bytes,
                size_t length);
  void *user;
};

struct platform_changes_cb
{
  void (*done) (void *user, enum platform_status status,
                const struct platform_changes *changes);
  void *user;
};

struct platform_instances_cb
{
  void (*done) (void *user, enum platform_status status,
                const struct platform_instances *instances);
  void *user;
};

struct platform_ops
{
  void (*txn) (struct platform *platform, const struct platform_txn *txn,
               struct platform_txn_cb cb);
  /* Reads the rows whose key begins with PREFIX, at most LIMIT of them.  */
  void (*scan) (struct platform *platform, const char *prefix, size_t limit,
                struct platform_rows_cb cb);
  void (*object_get) (struct platform *platform, const char *key,
                      struct platform_object_cb cb);
  void (*object_put) (struct platform *platform, const char *key,
                      const void *bytes, size_t length,
                      struct platform_object_cb cb);
  void (*object_delete) (struct platform *platform, const char *key,
                         struct platform_object_cb cb);
  void (*instances) (struct platform *platform,
                     struct platform_instances_cb cb);
  /* Reads all rows of TABLE.  list and watch are NULL if the platform does not
     support them.  */
  void (*list) (struct platform *platform, const char *table,
                struct platform_changes_cb cb);
  /* Reads the changes of TABLE after version AFTER; waits up to WAIT_MS for
     the first one.  */
  void (*watch) (struct platform *platform, const char *table, uint64_t after,
                 int64_t wait_ms, struct platform_changes_cb cb);
};

struct platform
{
  const struct platform_ops *ops;
  uint64_t era; /* 0: not known, or the table is never restored; 1: it has not
                   been restored; from 2: it may have been */
  /* Called when ERA has risen from a known one, before the callback of the
     call that showed it; may be NULL.  */
  void (*restored) (void *user);
  void *restored_user;
};

#endif

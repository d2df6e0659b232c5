/* platform - the platform's table, object store and instance list.

   All calls are asynchronous and come from the control thread; the callback
   comes later on the same thread, exactly once.  The vtable is the border:
   the daemon uses platform_http, tests put a fake behind it.

   An answer of PLATFORM_UNKNOWN means that the effect may or may not have
   taken place; a caller that needs to know reads back and compares TOKEN.

   Ownership: arguments are borrowed for the length of the call; results for
   the length of the callback.  */

#ifndef PARSLEYRILL_PLATFORM_H
#define PARSLEYRILL_PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct platform;

enum platform_status
{
  PLATFORM_OK,
  PLATFORM_CONFLICT,  /* a condition did not hold: nothing was written */
  PLATFORM_NOT_FOUND, /* no such row or object */
  PLATFORM_REFUSED,   /* surely not done: rate limit, not connected */
  PLATFORM_UNKNOWN,   /* may have been done */
  PLATFORM_COMPACTED  /* watch: the history asked for is no longer kept */
};

/* A row: VERSION is 0 when there is none and grows with each write.  is the
 * attempt that wrote it last, "" when it is not known.  */
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
  uint64_t version; /* holds while the row has just this version */
};

struct platform_write
{
  const char *key;
  const char *value; /* JSON text; NULL deletes the row */
};

/* All checks hold and all writes happen, or none.  TOKEN is unique to the
   attempt; sending the same one again is answered as the first time.  */
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

/* Rows of one table, keys without the table's name.  A row whose VALUE is
   NULL was deleted.  VERSION is what to watch from next.  */
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
  char *pool; /* "entry" for nodes of this system */
  bool leaving;
};

struct platform_instances
{
  struct platform_instance *instances;
  size_t count;
};

/* On PLATFORM_CONFLICT, ROWS holds the rows whose check failed, as they
   are.  On PLATFORM_OK it may hold the rows written, for their versions; a
   platform that leaves them out counts versions one by one.  */
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
  /* Rows whose key begins with PREFIX, at most LIMIT of them.  */
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
  /* All rows of TABLE.  This and watch are NULL for a platform that has
     neither.  */
  void (*list) (struct platform *platform, const char *table,
                struct platform_changes_cb cb);
  /* What changed in TABLE after version AFTER; waits up to WAIT_MS for a
     first change.  */
  void (*watch) (struct platform *platform, const char *table, uint64_t after,
                 int64_t wait_ms, struct platform_changes_cb cb);
};

struct platform
{
  const struct platform_ops *ops;
};

#endif

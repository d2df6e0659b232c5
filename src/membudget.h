/* membudget - account of the memory and connections that one thread holds for
   clients and servers, and the choice of what to close when it is exceeded.

   Each connection of a client has an account with the bytes held for it: the
   memory of its HTTP parser, the body received or announced, and the response
   that it has not taken.  Bytes that belong to no client, such as responses
   being collected from servers, are counted with membudget_add.

   Over the limit, the stale accounts of the source address that holds most
   are closed first, the largest before others; an account is stale when its
   client has made no progress for MEMBUDGET_STALE_MS.  Without a stale one the
   asker is refused.  Only beyond the hard limit (5/4 of the limit) accounts
   that make progress are closed as well.  Accounts of requests that may have
   been sent to a server are not closed until their response is being sent, so
   that everything refused has not run.

   Callers of bodies up to MEMBUDGET_SMALL bytes may use the last quarter of
   the limit, which larger ones leave free.

   No I/O: closing is left to the account's callback.  One thread.

   Ownership: accounts are embedded in the caller's structs and must leave
   before they are freed.  */

#ifndef PARSLEYRILL_MEMBUDGET_H
#define PARSLEYRILL_MEMBUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>
#include <time.h>

#define MEMBUDGET_SMALL (64u << 10) /* bytes */
#define MEMBUDGET_STALE_MS 500

struct membudget;
struct membudget_source;

enum membudget_state
{
  MEMBUDGET_IDLE,      /* between two requests */
  MEMBUDGET_RECEIVING, /* a request is being received, or none has come yet */
  MEMBUDGET_RUNNING,   /* a request may be at a server: not closed */
  MEMBUDGET_SENDING    /* its response is being sent */
};

enum membudget_lack
{
  MEMBUDGET_BYTES,
  MEMBUDGET_CONNECTIONS
};

/* The connections of one server.  */
struct membudget_group
{
  unsigned connections; /* that are not closing */
  unsigned limit;       /* 0: none */
  size_t base;          /* bytes held for each connection */
};

struct membudget_account
{
  TAILQ_ENTRY (membudget_account) link;
  struct membudget *budget;        /* NULL: not joined */
  struct membudget_group *group;   /* borrowed */
  struct membudget_source *source; /* owned by the module */
  /* Closes the account's connection.  The bytes no longer count.  */
  void (*close) (struct membudget_account *account, enum membudget_lack lack);
  size_t bytes;
  enum membudget_state state;
  struct timespec progress; /* when the client sent or took bytes last */
  struct timespec since;    /* of STATE */
  bool closing;
};

struct membudget_options
{
  size_t bytes;         /* limit; 0: none */
  unsigned descriptors; /* limit: connections of clients and calls to servers;
                           0: none */
};

/* The options for one of THREADS threads of a process that may use MEMORY_MB
   and FD_LIMIT descriptors (0: not known): a part of both, because the process
   needs more than what it holds for clients.  */
struct membudget_options membudget_share (unsigned memory_mb,
                                          unsigned fd_limit, unsigned threads);

/* The most bytes of responses to be collected at once.  */
size_t membudget_collected_max (const struct membudget_options *options,
                                size_t usual);

struct membudget *membudget_new (const struct membudget_options *options);
void membudget_free (struct membudget *budget);

/* Adds a connection of GROUP from the IPv4 address SOURCE (network order), and
   closes another one when there are too many, or this one if no other may be
   closed.  BUDGET may be NULL: no limits.  */
void membudget_join (struct membudget *budget, struct membudget_group *group,
                     struct membudget_account *account, uint32_t source,
                     struct timespec now);
void membudget_leave (struct membudget_account *account);

/* Sets what is held for ACCOUNT.  When that exceeds the limit, stale accounts
   are closed.  Returns whether the limit is kept; a large account is to be
   refused otherwise.  */
bool membudget_hold (struct membudget_account *account, size_t bytes,
                     struct timespec now);

/* Counts N bytes more, or fewer, that belong to no account.  Both allow a
   BUDGET that is NULL.  */
void membudget_add (struct membudget *budget, int64_t n);
void membudget_add_call (struct membudget *budget, int n);

/* Whether there is a descriptor left for a call to a server.  */
bool membudget_may_call (const struct membudget *budget);

/* Closes accounts while more than the limit is used; to be called a few times
   a second.  */
void membudget_relieve (struct membudget *budget, struct timespec now);

size_t membudget_used (const struct membudget *budget);
unsigned membudget_descriptors (const struct membudget *budget);

#endif

/* frame - messages between nodes and their bytes.

   A frame is a length of four bytes, big endian, and one msgpack map whose
   keys are small numbers.  A field that is zero or NULL is left out; a field
   or message type that is not known is skipped, so that nodes of different
   versions understand each other.

   Pure functions, any thread.  */

#ifndef PARSLEYRILL_FRAME_H
#define PARSLEYRILL_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FRAME_HEADER_BYTES 4 /* bytes */
#define FRAME_MAX (4u << 20) /* bytes behind the header */
#define FRAME_MAX_UNPROVEN                                                    \
  (1u << 10)                  /* the same before a peer has proved            \
                                 itself */
#define FRAME_ITEMS_MAX 65536 /* elements of one list */
#define FRAME_PROTOCOL 1      /* spoken by this program */
#define FRAME_PROTOCOL_MIN 1  /* oldest understood */

enum peer_msg_type
{
  PEER_HELLO = 1,     /* who, nonce, protocol versions */
  PEER_PROOF,         /* of the token */
  PEER_PROBE,         /* heartbeat with gossip, see member.h */
  PEER_PROBE_REQUEST, /* probe SUBJECT for me */
  PEER_PROBE_ACK,
  PEER_WANTS,            /* to the holder of CELL: what waits here */
  PEER_REPLICAS,         /* holder of CELL to nodes: delta or FULL */
  PEER_REPLICAS_REQUEST, /* a gap was seen: send CELL's full state */
  PEER_CONFIG_VERSION,   /* VERSION is in force here */
  PEER_CONFIG_REQUEST,   /* send what is newer than VERSION */
  PEER_CONFIG,           /* sections */
  PEER_STRIKES,          /* fingerprints of requests that crashed engines */
  PEER_LEAVING,          /* planned stop */
  PEER_HANDOVER,         /* CELL's lease was released: take it */
  PEER_REQUEST,          /* question ID: NAME and TEXT */
  PEER_RESPONSE,         /* its answer: STATUS and TEXT */
  PEER_KEEPALIVE         /* the link lives */
};

struct peer_member
{
  char *id;
  char *address;
  char *advertised_address;
  char *zone;
  char *region;
  uint64_t incarnation;
  uint64_t state; /* enum member_state */
  uint64_t doc_version;
  uint64_t load;
};

struct peer_want
{
  char *target;
  uint64_t count;       /* requests waiting; 0: none any more */
  uint64_t calls;       /* arrivals since the last message */
  uint64_t deadline_ms; /* earliest, as a duration from now */
  uint64_t priority;
};

/* A replica of a model or adapter, as far as a router needs it.  */
struct peer_replica
{
  char *engine;
  char *address;
  char *zone;
  char *pool;
  char *model;
  char *adapter; /* NULL for a model */
  char *version;
  uint64_t state;    /* enum backend_copy_state */
  uint64_t ready_ms; /* loading: estimate, as a duration from now */
  uint64_t slots;
  uint64_t running;
  uint64_t queued;
  uint64_t age_ms; /* of the report */
  bool leaving;
  bool gone; /* delta: this replica is no more */
};

struct peer_section
{
  char *team;
  char *text; /* NULL: unchanged */
  uint64_t version;
};

struct peer_strike
{
  uint64_t fingerprint;
  uint64_t engine; /* hash of the id of the backend server lost; of the
                      target's name in questions */
  uint64_t age_ms; /* since the crash */
  bool cleared;    /* a whole answer came AGE_MS ago */
};

/* One message.  Only the fields of its type are set.  Strings and arrays are
   owned (g_malloc).  */
struct peer_msg
{
  enum peer_msg_type type;
  uint64_t id;           /* PEER_REQUEST, PEER_RESPONSE; number of a probe */
  char *node;            /* PEER_HELLO */
  char *address;         /* PEER_HELLO: where the sender listens */
  char *zone;            /* PEER_HELLO */
  char *region;          /* PEER_HELLO */
  char *nonce;           /* PEER_HELLO */
  char *proof;           /* PEER_PROOF */
  uint64_t incarnation;  /* PEER_HELLO */
  uint64_t protocol;     /* PEER_HELLO: highest spoken */
  uint64_t protocol_min; /* PEER_HELLO: lowest understood */
  char *subject;         /* PEER_PROBE_REQUEST, PEER_PROBE_ACK */
  char *cell;
  uint64_t fence;   /* of the sender's lease of CELL */
  uint64_t seq;     /* PEER_REPLICAS: grows by one; after a gap ask */
  bool full;        /* PEER_REPLICAS: forget what was before */
  uint64_t version; /* PEER_CONFIG_*: of the document */
  uint64_t since;   /* PEER_CONFIG */
  char *name;
  char *text;
  uint64_t status;
  struct peer_member *members;
  size_t member_count;
  struct peer_want *wants;
  size_t want_count;
  struct peer_replica *replicas;
  size_t replica_count;
  struct peer_section *sections;
  size_t section_count;
  struct peer_strike *strikes;
  size_t strike_count;
};

/* Frees what hangs on MSG, not MSG itself.  */
void peer_msg_clear (struct peer_msg *msg);

/* The frame of MSG, header included; *OUT is freed with g_free.  -EMSGSIZE
   when it is longer than FRAME_MAX.  */
int frame_encode (const struct peer_msg *msg, char **out, size_t *length);

/* Reads the map behind a header.  Fills *MSG, which the caller clears also
   after an error.  -EBADMSG when the bytes are no message.  The type may be
   one that is not known.  */
int frame_decode (const char *bytes, size_t length, struct peer_msg *msg);

/* Length announced by a header.  */
size_t frame_length (const char header[FRAME_HEADER_BYTES]);

#endif

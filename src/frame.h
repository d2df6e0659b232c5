/* frame - messages between nodes and their encoding.

   A frame is a big-endian length of four bytes, followed by a msgpack map with
   small integers as keys.  Fields that are zero or NULL are left out; unknown
   fields and message types are ignored, so that nodes of different versions
   can communicate.

   Pure functions, any thread.  */

#ifndef PARSLEYRILL_FRAME_H
#define PARSLEYRILL_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FRAME_HEADER_BYTES 4
#define FRAME_MAX_BYTES (4u << 20) /* without the header */
/* The limit until the peer has authenticated.  */
#define FRAME_MAX_UNAUTHENTICATED_BYTES (1u << 10)
#define FRAME_LIST_MAX 65536 /* elements of one list */
/* The highest version supported.  2: counts the attempts of requests that are
   passed on, 3: reads their customer, see relay.h.  */
#define FRAME_PROTOCOL 3
#define FRAME_PROTOCOL_MIN 1 /* lowest version supported */

enum peer_msg_type
{
  PEER_HELLO = 1,     /* node, nonce, protocol versions */
  PEER_PROOF,         /* that the sender knows the token */
  PEER_PROBE,         /* heartbeat with gossip, see member.h */
  PEER_PROBE_REQUEST, /* probe SUBJECT for the sender */
  PEER_PROBE_ACK,
  PEER_WANTS,    /* to the leaseholder of CELL: requests waiting here */
  PEER_REPLICAS, /* from the leaseholder of CELL: delta or FULL */
  PEER_REPLICAS_REQUEST, /* updates were missed: send the full state of CELL */
  PEER_CONFIG_VERSION,   /* VERSION is applied here */
  PEER_CONFIG_REQUEST,   /* send the changes since VERSION */
  PEER_CONFIG,           /* sections */
  PEER_STRIKES,          /* fingerprints of requests that crashed engines */
  PEER_LEAVING,          /* graceful shutdown */
  PEER_HANDOVER,         /* the lease of CELL was released and may be taken */
  PEER_REQUEST,          /* request ID: NAME and TEXT */
  PEER_RESPONSE,         /* its response: STATUS and TEXT */
  PEER_KEEPALIVE,        /* shows that the link is alive */
  PEER_LOADS,          /* loads of servers: observed by the sender, or from the
                          leaseholder those observed by all nodes */
  PEER_ORIGIN,         /* the stream that began with request SUBJECT, at
                          service NAME and software TEXT; SINCE: time left,
                          ms */
  PEER_ORIGIN_REQUEST, /* which began with request SUBJECT? */
  PEER_ORIGIN_REPLY,   /* as PEER_ORIGIN; no NAME: the stream is unknown */
  PEER_CRASH,    /* an engine crashed: a strike for each feature of a request
                    that ran there, see blame.h */
  PEER_ALIVE,    /* the engine of a strike has not crashed */
  PEER_ANSWERED, /* a request with the fingerprint of a strike was answered */
  PEER_QUARANTINE, /* features whose requests are rejected, see quarantine.h */
  PEER_LIMIT,      /* rates that servers named, see ratelimit.h */
  PEER_LIMIT_ASK,  /* the same, and the sender asks for a ticket */
  PEER_LIMIT_REPLY, /* the ticket, or a rejection */
  /* Parts of the quota of a customer, see quota.h.  */
  PEER_QUOTA_ASK,   /* to a home */
  PEER_QUOTA_GRANT, /* its answer */
  PEER_QUOTA_RETURN /* to a home: was granted and not used */
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
  char *target;   /* for requests that only servers with one version may serve,
                     followed by "\nSOFTWARE" */
  uint64_t count; /* requests waiting; 0: none left */
  uint64_t calls; /* arrivals since the last message */
  uint64_t deadline_ms; /* the earliest; time left from now */
  uint64_t priority;
  /* What the CALLS are like: sums of tokens, and the objectives that they have
     in common.  0: not known.  */
  uint64_t prompt_tokens;
  uint64_t shared_tokens; /* of these, in other requests too */
  uint64_t answer_tokens;
  uint64_t objective_ms;
  uint64_t gap_ms;
  uint64_t calls_priority;
};

/* What routing needs to know of a replica of a model or adapter.  */
struct peer_replica
{
  char *engine;
  char *address;
  char *zone;
  char *pool;
  char *model;
  char *adapter;     /* NULL for a model */
  char *version;     /* of the model; of a whole server: of its software */
  uint64_t state;    /* enum backend_copy_state */
  uint64_t ready_ms; /* if loading: estimated time left */
  uint64_t slots;
  uint64_t running;
  uint64_t queued;
  uint64_t age_ms; /* of the report */
  bool leaving;
  bool gone;     /* in a delta: the replica was removed */
  uint64_t born; /* start of a whole server, see struct server_entry */
  /* A whole server that is gone from the table, but may register again.  */
  bool kept;
};

struct peer_load
{
  char *server;
  uint64_t running; /* requests of all nodes */
  uint64_t queued;
  /* In thousandths, 0: not known, see pace.h.  From a node: as it was last
     told, and the ratios that it has observed; from the decider: drift and
     ratios, of what all nodes have heard.  */
  uint64_t pace;
  uint64_t first_ratio;
  uint64_t event_ratio;
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
  uint64_t engine; /* hash of the id of the backend server that crashed;
                      in requests, of the target's name */
  uint64_t age_ms; /* since the crash */
  bool cleared;    /* the request completed AGE_MS ago */
};

struct peer_quarantine
{
  uint64_t feature;
  uint64_t trials;
  uint64_t age_ms; /* since it was blamed, or the last trial */
  bool known_good;
  bool released; /* its requests are not rejected any more */
};

struct peer_limit
{
  char *server;
  uint64_t per_1000s; /* requests; 0: no limit */
  uint64_t age_ms;    /* since it was named */
  uint64_t ask;       /* its number at the asking node */
  uint64_t wait_ms;   /* PEER_LIMIT_ASK: the longest that is accepted */
  bool rejected;
};

/* Amounts are in tokens or requests.  */
struct peer_quota
{
  char *customer;
  uint64_t number;   /* of an ask and its grant; of a return */
  uint64_t amount;   /* 0 in a grant: refused */
  uint64_t want;     /* of an ask: as much more, if there is enough */
  uint64_t wait_ms;  /* of a refusal: when the request should come back */
  uint64_t ready_ms; /* and when the home has something again */
  uint64_t age_ms;   /* of a return: since it was granted, at most */
};

/* One message.  Only the fields of its type are set.  It owns its strings and
   arrays (g_malloc).  */
struct peer_msg
{
  enum peer_msg_type type;
  uint64_t id;           /* PEER_REQUEST, PEER_RESPONSE; of probes: number */
  char *node;            /* PEER_HELLO; of relayed messages: the origin */
  char *address;         /* PEER_HELLO: the sender listens here */
  char *zone;            /* PEER_HELLO */
  char *region;          /* PEER_HELLO */
  char *nonce;           /* PEER_HELLO */
  char *proof;           /* PEER_PROOF */
  uint64_t incarnation;  /* PEER_HELLO */
  uint64_t protocol;     /* PEER_HELLO: highest supported */
  uint64_t protocol_min; /* PEER_HELLO: lowest supported */
  char *subject; /* PEER_PROBE_REQUEST, PEER_PROBE_ACK, PEER_ORIGIN_* */
  char *cell;
  uint64_t fence;        /* fencing token of the sender's lease of CELL */
  uint64_t seq;          /* PEER_REPLICAS: consecutive; a gap means a loss */
  bool full;             /* PEER_REPLICAS: replaces the whole state */
  bool relay;            /* pass it on, see fanout.h */
  uint64_t list_version; /* PEER_REPLICAS: of the table of servers */
  uint64_t list_era;     /* of LIST_VERSION, see struct platform; 0: unknown */
  /* PEER_REPLICAS: age of what the sender knows of the configuration; 0:
     unknown.  */
  uint64_t config_age_ms;
  uint64_t version; /* PEER_CONFIG_*: of the document */
  uint64_t since; /* PEER_CONFIG; PEER_KEEPALIVE: interval, ms; PEER_ORIGIN_*:
                     time left, ms */
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
  struct peer_load *loads;
  size_t load_count;
  struct peer_quarantine *quarantines;
  size_t quarantine_count;
  struct peer_limit *limits;
  size_t limit_count;
  struct peer_quota *quotas;
  size_t quota_count;
};

/* Frees what MSG owns, not MSG itself.  */
void peer_msg_clear (struct peer_msg *msg);

/* Encodes MSG as a frame with its header; free *OUT with g_free.  -EMSGSIZE if
   it is longer than FRAME_MAX_BYTES.  */
int frame_encode (const struct peer_msg *msg, char **out, size_t *length);

/* Decodes the map that follows a header into *MSG, which the caller must clear
   even after an error.  -EBADMSG if the bytes are not a valid message.  The
   type may be an unknown one.  */
int frame_decode (const char *bytes, size_t length, struct peer_msg *msg);

/* The length in a header.  */
size_t frame_length (const char header[FRAME_HEADER_BYTES]);

#endif

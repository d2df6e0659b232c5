/* forward_state - state of one request, shared by the modules forward,
   forward_send, forward_admit, forward_limit, forward_customer, forward_fair,
   forward_quota, forward_relay, forward_resume, forward_quarantine,
   forward_answer and forward_log.  Private to them.  */

#ifndef PARSLEYRILL_FORWARD_STATE_H
#define PARSLEYRILL_FORWARD_STATE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>
#include "attempt.h"
#include "forward.h"
#include "log.h"
#include "origins.h"
#include "relay.h"
#include "sse.h"
#include "site.h"
#include "stall.h"
#include "ts.h"

#define FORWARD_DISPATCHES_MAX 6 /* to servers, including refused ones */
/* Larger numbers of tokens that callers claim are taken for these in
   estimates.  The first is as many as a server has room for.  */
#define FORWARD_PROMPT_TOKENS_MAX 250000u
#define FORWARD_ANSWER_TOKENS_MAX 100000u
#define FORWARD_ANSWER_MIN_MS 60 /* minimum duration of a useful response */
#define FORWARD_SERVER_ERROR 500 /* lowest status of a server error */

enum forward_state
{
  FORWARD_NEW,
  FORWARD_WAITING,
  FORWARD_SENT,
  FORWARD_DONE
};

struct forward_limits;

struct forward
{
  TAILQ_ENTRY (forward) link; /* while FORWARD_WAITING */
  TAILQ_ENTRY (forward) open_link;
  TAILQ_ENTRY (forward) quota_link; /* while QUOTA_WAIT is not 0 */
  struct gateway *gateway;
  struct httpd_request *request; /* NULL once the caller is gone */
  struct caller_request parsed;
  struct site *site; /* reference */
  const struct site_route *route;
  const struct site_service *service;
  const struct site_customer *customer; /* of SITE; NULL: none */
  bool waits_for_capacity; /* counted as waiting, see forward_fair.c */
  bool customer_sent;      /* the request was counted as sent */
  bool customer_proven; /* by another node, which has passed the request on */
  uint64_t quota_wait;  /* see quota_check; 0: it does not wait */
  struct quota_taken quota_taken; /* of the customer's quota */
  char *target; /* model or adapter; NULL: not given, or a plain service */
  enum forward_state state;
  struct timespec arrived;
  struct timespec deadline;
  struct loop_timer deadline_timer;
  struct attempt attempts[ATTEMPT_MAX]; /* without refused and unsent ones */
  size_t count;                         /* of ATTEMPTS */
  unsigned dispatches;                  /* refused ones too */
  bool deposited;                       /* counted for the retry budget */
  const char *tried[FORWARD_DISPATCHES_MAX]; /* ids, owned by ENGINES */
  struct route_engine *engines[FORWARD_DISPATCHES_MAX];
  size_t tried_count;
  guint sent_to[FORWARD_DISPATCHES_MAX]; /* hashes of addresses */
  struct httpc_call *call;               /* NULL: no attempt in progress */
  struct route_engine *engine;           /* of CALL */
  struct route_engine *replacement;    /* takes the place of CALL, which ends;
                                          NULL: none */
  struct pick_explanation explanation; /* of the latest choice of a replica */
  struct timespec sent_at;
  /* What the server was expected to take, at the pace that it tells, until
     the first event and from event to event; 0: no estimate.  */
  double expected_s;
  double expected_event_s;
  struct timespec first_event_at; /* zero: none yet */
  struct timespec first_at;       /* first byte of the response; zero: none */
  struct timespec heard_at;       /* latest byte, or the dispatch */
  struct caller_response answer;  /* of the current attempt */
  struct relay_note peer_note;    /* of the current attempt, if TO_PEER */
  bool head_parsed;               /* ANSWER is valid */
  bool streaming; /* the current response is passed on as a stream */
  bool head_sent; /* the response head was sent to the caller */
  bool silent;    /* the current engine is being waited for in silence */
  bool suspected; /* and counts as failing for that */
  bool moved;     /* a silent engine was given up, which may be sound */
  bool to_peer;   /* ENGINE is a node, which the request was passed on to */
  bool relayed;   /* another node passed the request on to this one */
  struct relay_note origin_note; /* what that node has told, if RELAYED */
  /* At other nodes: sendings beyond the dispatches counted here, and ids of
     the servers that failed the request, see relay.h; NULL: none.  */
  unsigned sendings_elsewhere;
  GPtrArray *tried_elsewhere;
  bool attempts_unknown; /* an older node may have made any number */
  bool unreached;        /* rejected as this node does not reach its servers */
  bool retry_due;        /* the next dispatch takes a retry from the budget */
  /* Of a request that crashes servers, see blame.h.  */
  GArray *features;   /* uint64_t */
  int whole_features; /* the first of FEATURES, which are no parts of the
                         prompt */
  bool on_trial;      /* it may be dispatched once, though quarantined */
  struct sse sse;     /* parser of the current stream */
  struct forward_limits *limits; /* see forward_limit.c; NULL: none so far */
  GString *buffer;               /* an incomplete event */
  bool can_resume;               /* LAST_EVENT is valid */
  uint64_t last_event;
  /* Version of the servers that may continue the stream; NULL: any.  */
  char *software;
  struct origins_query origin_query;
  /* Other than ORIGINS_KNOWN: the request resumes a stream, and the version
     that began it is not known.  */
  enum origins_result origin_result;
};

static inline struct timespec
forward_now (const struct forward *forward)
{
  return clk_now (forward->gateway->core->clk);
}

static inline int64_t
forward_left_ms (const struct forward *forward)
{
  return ts_to_ms (ts_sub (forward->deadline, forward_now (forward)));
}

/* 0 is the highest.  */
static inline unsigned
forward_priority (const struct forward *forward)
{
  const struct site_customer *customer = forward->customer;

  return customer != NULL && customer->has_priority ? customer->priority
                                                    : forward->route->priority;
}

static inline bool
forward_not_run (const struct forward *forward)
{
  return attempt_not_run (forward->attempts, forward->count);
}

/* forward.c */

/* Answers with an error of this node and ends the request.  RETRY_MS 0: no
   Retry-After.  */
void forward_refuse (struct forward *forward, unsigned status, const char *why,
                     int64_t retry_ms);
/* Fails the request: 503 if it certainly did not run, otherwise 502.  */
void forward_fail (struct forward *forward, const char *why, int64_t retry_ms);
void forward_finish (struct forward *forward);
/* NULL if there is none.  */
const struct site_route *
forward_find_route (const struct site *site,
                    const struct httpd_request *request);
/* Sends the request, which was accepted, to a server.  */
void forward_send_accepted (struct forward *forward);
/* Whether the request can still be sent to a server and answered in time,
   should this node be stopping.  */
bool forward_may_send (const struct forward *forward);

/* forward_send.c */

/* Dispatches the request to a backend server, queues it, or refuses it.  */
void forward_route (struct forward *forward);
/* Time until some server may take the request; 0: some may now, or it is not
   known.  */
int64_t forward_ready_in_ms (const struct forward *forward);
/* Queues the request; READY_AT: when some server may take it, zero if
   unknown.  */
void forward_wait (struct forward *forward, struct timespec ready_at);
/* Removes the request from the waiting list, if it is there.  */
void forward_dequeue (struct forward *forward);
/* The attempt in progress has ended.  */
void forward_end_in_flight (struct forward *forward);
/* Cancels the attempt in progress.  Closing its connection ends the work
   at the server.  */
void forward_cancel (struct forward *forward);
/* Dispatches the request to ENGINE, whose reference it takes.  */
void forward_dispatch (struct forward *forward, struct route_engine *engine);
/* A new reference to another engine than the current one that can take the
   request and answer it in time, or NULL.  */
struct route_engine *forward_pick_other (struct forward *forward);
/* Whether the current engine could still be chosen: it is listed, not leaving
   and has the target.  */
bool forward_engine_is_replica (struct forward *forward);
/* The current engine will not be used again for this request.  */
void forward_mark_tried (struct forward *forward);

/* forward_admit.c */

/* When the caller is likely to be gone if it has got nothing.  */
struct timespec forward_leaves_at (const struct forward *forward);
/* Sets *RETRY_MS and returns true if the chosen engine is so busy that the
   request should not be sent there.  */
bool forward_is_overloaded (const struct forward *forward, int64_t *retry_ms);

/* forward_pace.c */

/* Adds what the choice of a server that tells its pace needs.  */
void forward_pace_request (const struct forward *forward,
                           struct pick_request *request);
/* The request is being sent to the current engine.  */
void forward_pace_sent (struct forward *forward);
/* The first event of the current response has come: the server has read the
   prompt, and its cache has the prompt's parts.  */
void forward_pace_first_event (struct forward *forward);
/* The current attempt has ended, at whatever event; COMPLETE: at the last.  */
void forward_pace_end (struct forward *forward, bool complete);

/* forward_limit.c: servers that name limits, see ratelimit.h.  */

/* Whether the request may be sent to server ID now, as far as its limit goes.
   Otherwise that is noted.  */
bool forward_limit_allows (struct forward *forward, const char *id);
/* Forgets what was noted, before another choice.  */
void forward_limits_reset (struct forward *forward);
/* Whether a server was left out for its limit.  */
bool forward_limits_skipped (const struct forward *forward);
/* Another server than the preferred one takes the request: asks for a ticket
   for the next.  */
void forward_limits_prefetch (struct forward *forward);
/* Queues the request until a server that was left out may take it, or rejects
   it if none may in time.  */
void forward_wait_for_limit (struct forward *forward);
/* The request does not wait for a limit any more.  */
void forward_limits_unwant (struct forward *forward);
void forward_limits_free (struct forward *forward);

/* forward_customer.c: keys of customers, see keyring.h.  */

/* Sets the customer that the request's key belongs to.  Refuses the request
   and returns true if its route needs another key.  */
bool forward_reject_key (struct forward *forward);
/* What the request is charged, in the unit of its customer, which must be
   known.  */
uint64_t forward_amount (const struct forward *forward);
/* The request is sent to a server or node.  */
void forward_note_sent (struct forward *forward);
/* The request is refused.  */
void forward_note_refused (struct forward *forward);
/* forward_quota.c: quotas of customers, see quota.h.  */

/* Takes the request's part of its customer's quota.  Otherwise returns false:
   the request waits for it, or was refused.  */
bool forward_take_quota (struct forward *forward);
/* The request has ended.  What it has taken is returned if it did not run.  */
void forward_end_quota (struct forward *forward);

/* forward_fair.c: shares of customers, see fairshare.h.  */

void forward_fair_sent (const struct forward *forward);
void forward_fair_refused (const struct forward *forward);
/* The request begins to wait, or ends to.  */
void forward_fair_wait (struct forward *forward);
void forward_fair_end_wait (struct forward *forward);
/* Whether the customer has had far more than its share while others lack
   theirs.  */
bool forward_is_over (const struct forward *forward);
/* Part of the usual longest delay for which the request is sent.  */
double forward_delay_share (const struct forward *forward);
/* The highest priority of the requests that wait for what FORWARD needs; its
   own if none does.  */
unsigned forward_waiting_priority (const struct forward *forward);
/* Sorts the waiting requests.  */
void forward_order_waiting (struct gateway *gateway);

/* forward_relay.c: requests passed on to other nodes, see cutoff.h.  */

/* Reads whether another node passed the request on, and what it tells.  */
void forward_set_relayed (struct forward *forward);
/* Whether the node that passed the request on has another version of the
   configuration.  Its callers would see both.  */
bool forward_versions_differ (const struct forward *forward);
void forward_relay_free (struct forward *forward);
/* A new reference to a node that may take the request, or NULL.  */
struct route_engine *forward_pick_peer (struct forward *forward);
/* Passes the request on, or rejects it if all nodes that might take it have
   rejected it.  False if this is the only node.  */
bool forward_relay (struct forward *forward);
/* What is known of the paths to the servers of the request's service.  */
struct cutoff *forward_cutoff (const struct forward *forward);
/* Whether ENGINE is a node.  */
bool forward_is_peer (const struct forward *forward,
                      const struct route_engine *engine);
/* Attempts that may run by way of this node.  */
size_t forward_attempts_max (const struct forward *forward);
/* To servers, by all nodes.  */
unsigned forward_sendings (const struct forward *forward);
/* Whether the node ENGINE, which gets the request, counts attempts.  */
bool forward_peer_counts (const struct forward *forward);
/* Whether this node has to add the request to the retry budget: one node does,
   for all its sendings.  */
bool forward_deposits (const struct forward *forward);
/* The header for the node ENGINE, which gets the request; freed with g_free.
 */
char *forward_relay_header (const struct forward *forward);
/* Whether the node that passed the request on is told what was done here.  */
bool forward_tells_origin (const struct forward *forward);
/* What it is told, with any response; freed with g_free.  */
char *forward_relay_answer (const struct forward *forward);
/* The response to an attempt at a node has begun.  */
void forward_note_relayed (struct forward *forward);
/* A node has answered the request itself: with no response of a server.  */
struct forward_peer_answer
{
  long status;
  int64_t retry_ms; /* Retry-After; 0: none */
};

void forward_on_peer_answer (struct forward *forward,
                             const struct forward_peer_answer *answer);

/* forward_resume.c */

/* Dispatches a request that resumes a stream to the version that began it,
   once that is known, or refuses it.  */
void forward_resume (struct forward *forward);
/* Refuses the request and returns true if it resumes a stream of which the
   version is not known and servers of several versions serve or have served
   recently.  */
bool forward_refuse_unknown (struct forward *forward);
/* The current engine begins or continues the stream, and only its version may
   go on with it.  If that is not known, as an older node does not tell it, the
   stream is resumed like one of unknown origin.  */
void forward_record_origin (struct forward *forward);
/* Whether the current response may continue the stream, as far as is known. */
bool forward_continues_origin (const struct forward *forward);

/* forward_quarantine.c */

/* Called once the request was read.  */
void forward_set_features (struct forward *forward);
/* The feature that stands for the whole request.  */
uint64_t forward_fingerprint (const struct forward *forward);
/* Refuses the request and returns true if it is likely to crash the server
   that it is sent to.  */
bool forward_reject_quarantined (struct forward *forward);
/* The current attempt has ended.  */
void forward_note_end (struct forward *forward,
                       const struct httpc_result *result, bool refusal);
/* The current server has responded.  */
void forward_note_alive (struct forward *forward);
/* The first event of the current response was passed on.  */
void forward_note_answer (struct forward *forward);

/* forward_answer.c */
int64_t forward_on_silence (void *user);
bool forward_may_reuse (void *user, long status);
bool forward_on_head (void *user, long status, const char *content_type);
/* Sends the request again after a failed attempt, if it may be, or fails it.
 */
void forward_retry_or_fail (struct forward *forward, const char *why);
void forward_on_received (void *user);
int forward_on_bytes (void *user, const char *bytes, size_t n);
void forward_on_done (void *user, const struct httpc_result *result);

/* forward_log.c */
void forward_log_waiting (struct forward *forward, struct timespec ready_at);
void forward_log_sent (struct forward *forward);
void forward_log_done (struct forward *forward,
                       const struct httpc_result *result);
void forward_log_refused (struct forward *forward, unsigned status,
                          const char *why, int64_t retry_ms);
void forward_log_silent (struct forward *forward, enum stall_action action);
void forward_log_failed (struct forward *forward,
                         const struct httpc_result *result);
void forward_log_gone (struct forward *forward);

#endif

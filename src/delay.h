/* delay - estimated time until an engine begins to answer a request.

   An engine reads the prompts that wait there one after another, in pieces
   between the tokens of the requests that run, so that the waiting ones cost
   most.  A prompt whose first parts are cached is read from there on only.

   For a server that tells its pace (pace.h) all times are those at that pace,
   and the estimate covers reading, decoding and the pauses between events.
   Its constants are those of the usual pace; the ratio of observed to
   estimated times (pace_observe) corrects them for each server.

   Pure functions, any thread.  */

#ifndef PARSLEYRILL_DELAY_H
#define PARSLEYRILL_DELAY_H

#include <stdint.h>

struct delay_load
{
  unsigned running; /* requests of all nodes, as last reported */
  unsigned queued;
  unsigned sent; /* by this node since that report */
  double age_s;  /* of the report */
};

/* Tokens of a prompt that an engine reads at a time.  */
#define DELAY_PIECE_TOKENS 2048

/* The mean time to read the prompt of a request that waits at an engine.  */
#define DELAY_QUEUED_S 0.1

/* Seconds until the engine has read the prompts that are there already.  */
double delay_backlog_s (const struct delay_load *load);

/* Seconds that an engine takes to read TOKENS.  */
double delay_read_s (uint64_t tokens);

/* An engine that tells its pace.  */
struct delay_server
{
  struct delay_load load;
  double pace;       /* pace_lasting, positive */
  double moment;     /* pace_moment */
  double event_pace; /* pace_of_events, positive */
};

/* What a request needs of an engine; times at the usual pace.  */
struct delay_need
{
  double read_s;      /* to read the whole prompt */
  double saved_s;     /* of these, if its first parts are cached */
  double trust;       /* probability of that */
  double objective_s; /* until the first event; 0: none */
  /* Of a stream: */
  double gap_s;        /* longest pause between events; 0: no limit */
  double events;       /* expected number; 0: no stream */
  double event_tokens; /* of each; 0: not known */
  double left_s;       /* until its deadline; 0: none */
};

struct delay_estimate
{
  double backlog_s; /* until what is there already has been read */
  double first_s;   /* until the first event */
  double late_s;    /* expected excess of that over the objective */
  double event_s;   /* from event to event */
  double pause_s;   /* expected excess of pauses between events, in all */
  double overrun_s; /* expected excess of the last event over the deadline */
};

void delay_estimate (const struct delay_server *server,
                     const struct delay_need *need,
                     struct delay_estimate *estimate);

/* What the requests that reach an engine take of it, on average.  */
struct delay_demand
{
  double requests_per_s;
  double read_s; /* to read the uncached part of a prompt, at the usual pace */
  double running; /* requests whose prompts have been read */
};

/* Seconds until the first event of a request, on average, at an engine at pace
   PACE (see pace.h) that gets DEMAND; infinite if it cannot read that much.
   For choices that last, such as the number of replicas.  */
double delay_expected_s (double pace, const struct delay_demand *demand);

/* The longest delay for which a request is sent to an engine, in seconds: some
   times its objective, so that a burst is absorbed, but not much longer, since
   each request that waits at an overloaded engine makes all later ones late.
   OBJECTIVE_S is that of the route, LEFT_S the time until its deadline.  */
double delay_limit_s (double objective_s, double left_s);

/* The same for engines that tell their pace: a late answer is worth more than
   none, so that only requests are rejected that would not be answered before
   their callers leave, in LEFT_S.  STREAM_S: what follows the first event
   takes so long; 0: nothing follows.  */
double delay_limit_left_s (double left_s, double stream_s);

/* When a request that was rejected for a delay of DELAY_S above LIMIT_S should
   come back, in seconds.  RANDOM, from 0 to 1, spreads the requests that are
   rejected together.  */
double delay_retry_s (double delay_s, double limit_s, double random);

#endif

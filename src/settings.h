/* settings - settings of a node, from flags and environment variables.

   A flag overrides its variable, a variable the default.  All errors are
   collected, each with the flag or variable that it comes from.

   Ownership: strings belong to the struct until settings_clear.  */

#ifndef PARSLEYRILL_SETTINGS_H
#define PARSLEYRILL_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include "finding.h"
#include "log.h"

struct settings
{
  char *listen_address; /* IPv4 */
  uint16_t listen_port; /* 0: chosen by the operating system */
  char *peer_address;   /* IPv4 */
  uint16_t peer_port;
  char *advertise; /* IP:port given to callers; NULL: the bound address */
  char *seeds;     /* peer addresses IP:port, separated by commas, or "" */
  char *node;      /* id; NULL: made from the start time */
  char *region;
  char *zone;
  char *platform; /* IP:port */
  char *peer_token;
  char *operator_token;
  unsigned threads;
  unsigned entry_ttl_s;
  unsigned heartbeat_ms;    /* interval at which backend servers register */
  unsigned deadline_ms;     /* of a request without one */
  unsigned idle_timeout_ms; /* without a byte from a backend server */
  unsigned loads_per_min;   /* rate limit of the weight store */
  unsigned loads_at_once;   /* concurrent loads that it serves at full speed */
  unsigned adapters_at_once; /* concurrent adapter fetches at full speed */
  unsigned memory_mb;        /* that the process may use; 0: not known */
  unsigned fd_limit;         /* open file descriptors; 0: not known */
  enum log_level log_level;
  enum log_format log_format;
  bool check_only;
  bool help;
  bool version;
};

/* Returns 0, or -EINVAL with findings.  Reads the environment with getenv.  */
int settings_read (int argc, char **argv, struct settings *settings,
                   struct findings *findings);
void settings_clear (struct settings *settings);

/* Prints the text of --help.  */
void settings_help (FILE *out);

/* Parses IP:PORT; returns -EINVAL when TEXT is not of that form.  ADDRESS is
   set to a string to be freed with g_free.  */
int settings_parse_address (const char *text, char **address, uint16_t *port);

#endif

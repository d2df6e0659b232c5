/* settings - what a node is told at its start, by flags and environment.

   A flag goes before its variable, the variable before the default.  All
   faults are collected, each with the flag or variable it came from.

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
  uint16_t listen_port; /* 0: the kernel chooses */
  char *peer_address;   /* IPv4 */
  uint16_t peer_port;
  char *advertise; /* IP:port told to callers; NULL: the address got */
  char *seeds;     /* peer addresses IP:port, separated by commas, or "" */
  char *node;      /* id; NULL: made from the address got */
  char *region;
  char *zone;
  char *platform; /* IP:port */
  char *peer_token;
  char *operator_token;
  unsigned threads;
  unsigned entry_ttl_s;
  unsigned deadline_ms;      /* of a request that names none */
  unsigned idle_timeout_ms;  /* without a byte from a backend server */
  unsigned loads_per_min;    /* loads that the weight store allows */
  unsigned loads_at_once;    /* of them at full speed */
  unsigned adapters_at_once; /* adapter fetches in flight at full speed */
  enum log_level log_level;
  enum log_format log_format;
  bool check_only;
  bool help;
  bool version;
};

/* 0, or -EINVAL with findings.  Reads ENVIRON through getenv.  */
int settings_read (int argc, char **argv, struct settings *settings,
                   struct findings *findings);
void settings_clear (struct settings *settings);

/* The text of --help.  */
void settings_help (FILE *out);

/* Splits IP:PORT; -EINVAL when TEXT is not of that form.  The caller frees
 *ADDRESS with g_free.  */
int settings_address (const char *text, char **address, uint16_t *port);

#endif

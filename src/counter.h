/* counter - counters and gauges of the process, listed in counter.def.

   Any thread may change them; the operations are atomic and relaxed.  */

#ifndef PARSLEYRILL_COUNTER_H
#define PARSLEYRILL_COUNTER_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

enum counter
{
#define COUNTER(id, type, name, help) COUNTER_##id,
#include "counter.def"
#undef COUNTER
  COUNTER_COUNT
};

void counter_add (enum counter counter, int64_t n);
void counter_set (enum counter counter, int64_t value);
int64_t counter_get (enum counter counter);

/* All of them in Prometheus text format; freed with g_free.  */
char *counter_text (void);

#endif

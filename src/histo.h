/* histo - latency histograms of the process, listed in histo.def.

   Bucket bounds double, starting at HISTO_FIRST_MS.  Any thread may add
   values; the operations are atomic and relaxed.  */

#ifndef PARSLEYRILL_HISTO_H
#define PARSLEYRILL_HISTO_H

#include <time.h>
#include <glib.h>

#define HISTO_FIRST_MS 1 /* upper bound of the first bucket */
#define HISTO_BUCKETS 17 /* the last bound is 65.5 s */

enum histo
{
#define HISTO(id, name, help) HISTO_##id,
#include "histo.def"
#undef HISTO
  HISTO_COUNT
};

void histo_add (enum histo histo, struct timespec duration);

/* Appends all of them in Prometheus text format.  */
void histo_text (GString *out);

#endif

#include "histo.h"

#include <ck_pr.h>
#include "ts.h"

struct histo_info
{
  const char *name;
  const char *help;
};

static const struct histo_info infos[] = {
#define HISTO(id, name, help) { name, help },
#include "histo.def"
#undef HISTO
};

struct histo_values
{
  uint64_t bucket[HISTO_BUCKETS + 1]; /* the last one is unbounded */
  uint64_t sum_us;
};

static struct histo_values values[HISTO_COUNT];

static unsigned
bucket_index (int64_t ms)
{
  unsigned i = 0;

  while (i < HISTO_BUCKETS && ms >= ((int64_t)HISTO_FIRST_MS << i))
    i++;
  return i;
}

void
histo_add (enum histo histo, struct timespec duration)
{
  int64_t ns = MAX (ts_to_ns (duration), 0);

  ck_pr_inc_64 (&values[histo].bucket[bucket_index (ns / TS_NS_PER_MS)]);
  ck_pr_add_64 (&values[histo].sum_us, (uint64_t)(ns / 1000));
}

static void
append_histogram (GString *out, enum histo histo)
{
  const struct histo_info *info = &infos[histo];
  uint64_t total = 0;

  g_string_append_printf (out, "# HELP %s %s\n# TYPE %s histogram\n",
                          info->name, info->help, info->name);
  for (unsigned i = 0; i < HISTO_BUCKETS; i++)
    {
      double bound_s
          = (double)((int64_t)HISTO_FIRST_MS << i) / (double)TS_MS_PER_S;

      total += ck_pr_load_64 (&values[histo].bucket[i]);
      g_string_append_printf (out,
                              "%s_bucket{le=\"%.3f\"} %" G_GUINT64_FORMAT "\n",
                              info->name, bound_s, total);
    }
  total += ck_pr_load_64 (&values[histo].bucket[HISTO_BUCKETS]);
  g_string_append_printf (
      out,
      "%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n%s_sum %.6f\n"
      "%s_count %" G_GUINT64_FORMAT "\n",
      info->name, total, info->name,
      (double)ck_pr_load_64 (&values[histo].sum_us) / 1e6, info->name, total);
}

void
histo_text (GString *out)
{
  for (unsigned i = 0; i < HISTO_COUNT; i++)
    append_histogram (out, (enum histo)i);
}

#include "usage.h"

#include <inttypes.h>
#include <stddef.h>

struct usage
{
  GHashTable *names; /* name to struct usage_counts */
  struct usage_counts other;
};

struct metric
{
  const char *name;
  const char *help;
  size_t offset; /* in struct usage_counts */
};

static const struct metric metrics[]
    = { { "parsley_customer_requests_total", "requests of a customer",
          offsetof (struct usage_counts, requests) },
        { "parsley_customer_refused_total", "requests of a customer refused",
          offsetof (struct usage_counts, refused) },
        { "parsley_customer_tokens_total",
          "tokens of the requests of a customer that were sent to a server",
          offsetof (struct usage_counts, tokens) } };

struct usage *
usage_new (void)
{
  struct usage *usage = g_new0 (struct usage, 1);

  usage->names
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return usage;
}

void
usage_free (struct usage *usage)
{
  if (usage == NULL)
    return;
  g_hash_table_unref (usage->names);
  g_free (usage);
}

struct usage_counts *
usage_of (struct usage *usage, const char *name)
{
  struct usage_counts *counts = g_hash_table_lookup (usage->names, name);

  if (counts != NULL)
    return counts;
  if (g_hash_table_size (usage->names) >= USAGE_NAMES_MAX
      || g_str_equal (name, USAGE_OTHER))
    return &usage->other;
  counts = g_new0 (struct usage_counts, 1);
  g_hash_table_insert (usage->names, g_strdup (name), counts);
  return counts;
}

static void
append_escaped (GString *out, const char *text)
{
  for (; *text != '\0'; text++)
    {
      if (*text == '"' || *text == '\\')
        g_string_append_c (out, '\\');
      g_string_append_c (out, *text);
    }
}

static void
append_value (GString *out, const struct metric *metric, const char *customer,
              const struct usage_counts *counts)
{
  const void *value = (const char *)counts + metric->offset;

  g_string_append_printf (out, "%s{customer=\"", metric->name);
  append_escaped (out, customer);
  g_string_append_printf (out, "\"} %" PRIu64 "\n", *(const uint64_t *)value);
}

void
usage_text (const struct usage *usage, GString *out)
{
  for (size_t i = 0; i < G_N_ELEMENTS (metrics); i++)
    {
      GHashTableIter iter;
      gpointer name;
      gpointer counts;

      if (g_hash_table_size (usage->names) == 0 && usage->other.requests == 0)
        return;
      g_string_append_printf (out, "# HELP %s %s\n# TYPE %s counter\n",
                              metrics[i].name, metrics[i].help,
                              metrics[i].name);
      g_hash_table_iter_init (&iter, usage->names);
      while (g_hash_table_iter_next (&iter, &name, &counts))
        append_value (out, &metrics[i], name, counts);
      append_value (out, &metrics[i], USAGE_OTHER, &usage->other);
    }
}

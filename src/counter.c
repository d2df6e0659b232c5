#include "counter.h"

#include <ck_pr.h>
#include <glib.h>

struct counter_info
{
  const char *type;
  const char *name;
  const char *help;
};

static const struct counter_info infos[] = {
#define COUNTER(id, type, name, help) { type, name, help },
#include "counter.def"
#undef COUNTER
};

static uint64_t values[COUNTER_COUNT];

void
counter_add (enum counter counter, int64_t n)
{
  ck_pr_add_64 (&values[counter], (uint64_t)n);
}

void
counter_set (enum counter counter, int64_t value)
{
  ck_pr_store_64 (&values[counter], (uint64_t)value);
}

int64_t
counter_get (enum counter counter)
{
  return (int64_t)ck_pr_load_64 (&values[counter]);
}

char *
counter_text (void)
{
  GString *text = g_string_new (NULL);

  for (size_t i = 0; i < COUNTER_COUNT; i++)
    {
      const struct counter_info *info = &infos[i];

      g_string_append_printf (text, "# HELP %s %s\n# TYPE %s %s\n%s %lld\n",
                              info->name, info->help, info->name, info->type,
                              info->name,
                              (long long)counter_get ((enum counter)i));
    }
  return g_string_free (text, FALSE);
}

#include "settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <argtable2.h>
#include <glib.h>

#define MIN_TOKEN 8 /* characters */

enum kind
{
  KIND_TEXT,
  KIND_ADDRESS,      /* IP:port of somebody else */
  KIND_ADDRESS_LIST, /* the same, separated by commas; may be empty */
  KIND_LISTEN,       /* IP:port to listen on, port 0 allowed */
  KIND_TOKEN,
  KIND_NUMBER,
  KIND_LEVEL,
  KIND_FORMAT
};

struct spec
{
  const char *flag;
  const char *env;
  const char *form;
  const char *fallback; /* NULL: none */
  enum kind kind;
  size_t offset;
  size_t port_offset; /* KIND_LISTEN */
  unsigned min;       /* KIND_NUMBER */
  unsigned max;
  bool required;
  const char *help;
};

#define AT(field) offsetof (struct settings, field)

static const struct spec specs[] = {
  { "listen", "PARSLEY_LISTEN", "IP:PORT", "127.0.0.1:0", KIND_LISTEN,
    AT (listen_address), AT (listen_port), 0, 0, false,
    "address for callers; port 0: the kernel chooses" },
  { "peer-listen", "PARSLEY_PEER_LISTEN", "IP:PORT", "127.0.0.1:0",
    KIND_LISTEN, AT (peer_address), AT (peer_port), 0, 0, false,
    "address for the other nodes" },
  { "advertise", "PARSLEY_ADVERTISE", "IP:PORT", NULL, KIND_ADDRESS,
    AT (advertise), 0, 0, 0, false,
    "address told to callers; default: the one listened on" },
  { "seeds", "PARSLEY_SEEDS", "IP:PORT,...", "", KIND_ADDRESS_LIST, AT (seeds),
    0, 0, 0, false,
    "peer addresses to try when the instance list cannot be had" },
  { "node", "PARSLEY_NODE", "ID", NULL, KIND_TEXT, AT (node), 0, 0, 0, false,
    "instance id of this node; default: made from the time of its start" },
  { "region", "PARSLEY_REGION", "NAME", NULL, KIND_TEXT, AT (region), 0, 0, 0,
    true, "region this node is in" },
  { "zone", "PARSLEY_ZONE", "NAME", NULL, KIND_TEXT, AT (zone), 0, 0, 0, true,
    "availability zone this node is in" },
  { "platform", "PARSLEY_PLATFORM", "IP:PORT", NULL, KIND_ADDRESS,
    AT (platform), 0, 0, 0, true, "the platform's table and object store" },
  { "peer-token", "PARSLEY_PEER_TOKEN", "TEXT", NULL, KIND_TOKEN,
    AT (peer_token), 0, 0, 0, true, "secret that nodes prove to each other" },
  { "operator-token", "PARSLEY_OPERATOR_TOKEN", "TEXT", NULL, KIND_TOKEN,
    AT (operator_token), 0, 0, 0, true, "secret of the operators" },
  { "threads", "PARSLEY_THREADS", "N", "4", KIND_NUMBER, AT (threads), 0, 1,
    64, false, "traffic threads" },
  { "entry-ttl", "PARSLEY_ENTRY_TTL", "SECONDS", "10", KIND_NUMBER,
    AT (entry_ttl_s), 0, 1, 3600, false,
    "how long callers may keep an entry answer" },
  { "deadline", "PARSLEY_DEADLINE", "MS", "60000", KIND_NUMBER,
    AT (deadline_ms), 0, 1, 3600000, false,
    "deadline of a request that names none" },
  { "silence", "PARSLEY_SILENCE", "MS", "10000", KIND_NUMBER,
    AT (idle_timeout_ms), 0, 10, 600000, false,
    "time without a byte after which a connection is given up" },
  { "loads-per-min", "PARSLEY_LOADS_PER_MIN", "N", "90", KIND_NUMBER,
    AT (loads_per_min), 0, 1, 100000, false,
    "model loads a minute that the weight store allows, in all" },
  { "loads-at-once", "PARSLEY_LOADS_AT_ONCE", "N", "4", KIND_NUMBER,
    AT (loads_at_once), 0, 1, 10000, false,
    "model loads at once that the weight store serves at full speed" },
  { "adapters-at-once", "PARSLEY_ADAPTERS_AT_ONCE", "N", "30", KIND_NUMBER,
    AT (adapters_at_once), 0, 1, 10000, false,
    "adapter fetches at once at full speed" },
  { "log-level", "PARSLEY_LOG_LEVEL", "LEVEL", "info", KIND_LEVEL,
    AT (log_level), 0, 0, 0, false, "debug, info, notice, warning or error" },
  { "log-format", "PARSLEY_LOG_FORMAT", "FORMAT", "logfmt", KIND_FORMAT,
    AT (log_format), 0, 0, 0, false, "logfmt or json" },
};

#define SPEC_COUNT (sizeof specs / sizeof specs[0])

/* argtable2's table: the settings, then help, version, check and end.  */
enum
{
  ARG_HELP = SPEC_COUNT,
  ARG_VERSION,
  ARG_CHECK,
  ARG_END,
  ARG_COUNT
};

#define MAX_ARG_ERRORS 20

static void
make_args (void **args)
{
  for (size_t i = 0; i < SPEC_COUNT; i++)
    args[i] = arg_str0 (NULL, specs[i].flag, specs[i].form, specs[i].help);
  args[ARG_HELP] = arg_lit0 ("h", "help", "print this help");
  args[ARG_VERSION] = arg_lit0 ("V", "version", "print the version");
  args[ARG_CHECK] = arg_lit0 (NULL, "check-settings",
                              "check the settings and start nothing");
  args[ARG_END] = arg_end (MAX_ARG_ERRORS);
}

int
settings_address (const char *text, char **address, uint16_t *port)
{
  const char *colon = strrchr (text, ':');
  struct in_addr parsed;
  char *end;
  long value;

  if (colon == NULL || colon[1] == '\0')
    return -EINVAL;
  value = strtol (colon + 1, &end, 10);
  if (*end != '\0' || value < 0 || value > UINT16_MAX)
    return -EINVAL;
  *address = g_strndup (text, (gsize)(colon - text));
  if (inet_pton (AF_INET, *address, &parsed) != 1)
    {
      g_free (*address);
      *address = NULL;
      return -EINVAL;
    }
  *port = (uint16_t)value;
  return 0;
}

static bool
is_address (const char *text)
{
  char *address = NULL;
  uint16_t port = 0;
  int err = settings_address (text, &address, &port);

  g_free (address);
  return err == 0 && port != 0;
}

static bool
all_addresses (const char *text)
{
  char **parts = g_strsplit (text, ",", -1);
  bool ok = true;

  for (char **part = parts; *part != NULL; part++)
    ok = ok && is_address (*part);
  g_strfreev (parts);
  return ok;
}

static void *
field (struct settings *settings, size_t offset)
{
  return (char *)settings + offset;
}

static void
take_number (const struct spec *spec, const char *value, const char *place,
             struct settings *settings, struct findings *findings)
{
  char *end;
  unsigned long long number;

  errno = 0;
  number = strtoull (value, &end, 10);
  if (*value == '\0' || *value == '-' || *end != '\0' || errno != 0
      || number < spec->min || number > spec->max)
    findings_add (findings, place, "\"%s\" is not a number from %u to %u",
                  value, spec->min, spec->max);
  else
    *(unsigned *)field (settings, spec->offset) = (unsigned)number;
}

static void
take_text (const struct spec *spec, const char *value,
           struct settings *settings)
{
  *(char **)field (settings, spec->offset) = g_strdup (value);
}

static void
take_checked (const struct spec *spec, bool ok, const char *wanted,
              const char *value, const char *place, struct settings *settings,
              struct findings *findings)
{
  if (ok)
    take_text (spec, value, settings);
  else
    findings_add (findings, place, "\"%s\" is not %s", value, wanted);
}

/* A token is not printed.  */
static void
take_token (const struct spec *spec, const char *value, const char *place,
            struct settings *settings, struct findings *findings)
{
  if (strlen (value) < MIN_TOKEN)
    findings_add (findings, place, "shorter than %d characters", MIN_TOKEN);
  else
    take_text (spec, value, settings);
}

static void
take_value (const struct spec *spec, const char *value, const char *place,
            struct settings *settings, struct findings *findings)
{
  void *target = field (settings, spec->offset);
  int err = 0;

  switch (spec->kind)
    {
    case KIND_TEXT:
      take_checked (spec, *value != '\0', "a name", value, place, settings,
                    findings);
      break;
    case KIND_ADDRESS:
      take_checked (spec, is_address (value), "an address IP:PORT", value,
                    place, settings, findings);
      break;
    case KIND_ADDRESS_LIST:
      take_checked (spec, *value == '\0' || all_addresses (value),
                    "a list of addresses IP:PORT", value, place, settings,
                    findings);
      break;
    case KIND_LISTEN:
      err = settings_address (value, target,
                              field (settings, spec->port_offset));
      break;
    case KIND_TOKEN:
      take_token (spec, value, place, settings, findings);
      break;
    case KIND_NUMBER:
      take_number (spec, value, place, settings, findings);
      break;
    case KIND_LEVEL:
      err = log_level_parse (value, target);
      break;
    case KIND_FORMAT:
      err = log_format_parse (value, target);
      break;
    }
  if (err < 0)
    findings_add (findings, place, "\"%s\" is not of the form %s", value,
                  spec->form);
}

static void
read_spec (const struct spec *spec, const struct arg_str *arg,
           struct settings *settings, struct findings *findings)
{
  char *flag = g_strconcat ("--", spec->flag, NULL);
  const char *env = getenv (spec->env);

  if (arg->count > 0)
    take_value (spec, arg->sval[0], flag, settings, findings);
  else if (env != NULL)
    take_value (spec, env, spec->env, settings, findings);
  else if (spec->fallback != NULL)
    take_value (spec, spec->fallback, flag, settings, findings);
  else if (spec->required)
    findings_add (findings, flag, "missing (or set %s)", spec->env);
  g_free (flag);
}

static void
add_syntax_findings (struct arg_end *end, struct findings *findings)
{
  for (int i = 0; i < end->count; i++)
    {
      FILE *memory;
      char *text = NULL;
      size_t size = 0;

      memory = open_memstream (&text, &size);
      if (memory == NULL)
        return;
      ((struct arg_hdr *)end->parent[i])
          ->errorfn (end->parent[i], memory, end->error[i], end->argval[i],
                     "parsleyd");
      fclose (memory);
      findings_add (findings, "command line", "%s", g_strchomp (text));
      free (text);
    }
}

int
settings_read (int argc, char **argv, struct settings *settings,
               struct findings *findings)
{
  void *args[ARG_COUNT];

  memset (settings, 0, sizeof *settings);
  make_args (args);
  if (arg_parse (argc, argv, args) > 0)
    add_syntax_findings (args[ARG_END], findings);
  settings->help = ((struct arg_lit *)args[ARG_HELP])->count > 0;
  settings->version = ((struct arg_lit *)args[ARG_VERSION])->count > 0;
  settings->check_only = ((struct arg_lit *)args[ARG_CHECK])->count > 0;
  for (size_t i = 0; i < SPEC_COUNT; i++)
    read_spec (&specs[i], args[i], settings, findings);
  arg_freetable (args, ARG_COUNT);
  return findings->count > 0 ? -EINVAL : 0;
}

void
settings_clear (struct settings *settings)
{
  for (size_t i = 0; i < SPEC_COUNT; i++)
    if (specs[i].kind != KIND_NUMBER && specs[i].kind != KIND_LEVEL
        && specs[i].kind != KIND_FORMAT)
      g_free (*(char **)field (settings, specs[i].offset));
  memset (settings, 0, sizeof *settings);
}

void
settings_help (FILE *out)
{
  void *args[ARG_COUNT];

  make_args (args);
  fprintf (out, "Usage: parsleyd");
  arg_print_syntax (out, args, "\n");
  arg_print_glossary (out, args, "  %-26s %s\n");
  fprintf (out, "\nEach setting has a variable as well:\n");
  for (size_t i = 0; i < SPEC_COUNT; i++)
    fprintf (out, "  %-26s --%s\n", specs[i].env, specs[i].flag);
  arg_freetable (args, ARG_COUNT);
}

#include "settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <argtable2.h>
#include <glib.h>

#define TOKEN_MIN_LENGTH 8

enum kind
{
  KIND_TEXT,
  KIND_ADDRESS,      /* IP:port of another process */
  KIND_ADDRESS_LIST, /* any number of these, separated by commas */
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
  const char *placeholder;
  const char *default_value; /* NULL: none */
  enum kind kind;
  size_t offset;
  size_t port_offset; /* KIND_LISTEN */
  unsigned min;       /* KIND_NUMBER */
  unsigned max;
  bool required;
  const char *help;
};

#define OFFSET(field) offsetof (struct settings, field)

static const struct spec specs[] = {
  { "listen", "PARSLEY_LISTEN", "IP:PORT", "127.0.0.1:0", KIND_LISTEN,
    OFFSET (listen_address), OFFSET (listen_port), 0, 0, false,
    "address for callers; port 0: chosen by the kernel" },
  { "peer-listen", "PARSLEY_PEER_LISTEN", "IP:PORT", "127.0.0.1:0",
    KIND_LISTEN, OFFSET (peer_address), OFFSET (peer_port), 0, 0, false,
    "address for connections from other nodes" },
  { "advertise", "PARSLEY_ADVERTISE", "IP:PORT", NULL, KIND_ADDRESS,
    OFFSET (advertise), 0, 0, 0, false,
    "address given to callers; default: the listen address" },
  { "seeds", "PARSLEY_SEEDS", "IP:PORT,...", "", KIND_ADDRESS_LIST,
    OFFSET (seeds), 0, 0, 0, false,
    "peer addresses to try when the instance list is unavailable" },
  { "node", "PARSLEY_NODE", "ID", NULL, KIND_TEXT, OFFSET (node), 0, 0, 0,
    false,
    "instance id of this node; default: generated from its start time" },
  { "region", "PARSLEY_REGION", "NAME", NULL, KIND_TEXT, OFFSET (region), 0, 0,
    0, true, "region this node is in" },
  { "zone", "PARSLEY_ZONE", "NAME", NULL, KIND_TEXT, OFFSET (zone), 0, 0, 0,
    true, "availability zone this node is in" },
  { "platform", "PARSLEY_PLATFORM", "IP:PORT", NULL, KIND_ADDRESS,
    OFFSET (platform), 0, 0, 0, true,
    "address of the platform's table and object store" },
  { "peer-token", "PARSLEY_PEER_TOKEN", "TEXT", NULL, KIND_TOKEN,
    OFFSET (peer_token), 0, 0, 0, true,
    "shared secret for authentication between nodes" },
  { "operator-token", "PARSLEY_OPERATOR_TOKEN", "TEXT", NULL, KIND_TOKEN,
    OFFSET (operator_token), 0, 0, 0, true,
    "shared secret for authentication of operators" },
  { "threads", "PARSLEY_THREADS", "N", "4", KIND_NUMBER, OFFSET (threads), 0,
    1, 64, false, "number of traffic threads" },
  { "entry-ttl", "PARSLEY_ENTRY_TTL", "SECONDS", "10", KIND_NUMBER,
    OFFSET (entry_ttl_s), 0, 1, 3600, false,
    "how long callers may cache an entry response" },
  { "deadline", "PARSLEY_DEADLINE", "MS", "60000", KIND_NUMBER,
    OFFSET (deadline_ms), 0, 1, 3600000, false,
    "default deadline of a request" },
  { "silence", "PARSLEY_SILENCE", "MS", "10000", KIND_NUMBER,
    OFFSET (idle_timeout_ms), 0, 10, 600000, false,
    "time without a received byte after which a connection is closed" },
  { "loads-per-min", "PARSLEY_LOADS_PER_MIN", "N", "90", KIND_NUMBER,
    OFFSET (loads_per_min), 0, 1, 100000, false,
    "model loads per minute that the weight store allows, in total" },
  { "loads-at-once", "PARSLEY_LOADS_AT_ONCE", "N", "4", KIND_NUMBER,
    OFFSET (loads_at_once), 0, 1, 10000, false,
    "concurrent model loads that the weight store serves at full speed" },
  { "adapters-at-once", "PARSLEY_ADAPTERS_AT_ONCE", "N", "30", KIND_NUMBER,
    OFFSET (adapters_at_once), 0, 1, 10000, false,
    "concurrent adapter fetches that run at full speed" },
  { "memory-mb", "PARSLEY_MEMORY_MB", "MB", "1024", KIND_NUMBER,
    OFFSET (memory_mb), 0, 64, 1000000, false,
    "memory of the process; clients that need more are refused or closed" },
  { "fd-limit", "PARSLEY_FD_LIMIT", "N", "4096", KIND_NUMBER,
    OFFSET (fd_limit), 0, 128, 1000000, false,
    "open file descriptors of the process" },
  { "log-level", "PARSLEY_LOG_LEVEL", "LEVEL", "info", KIND_LEVEL,
    OFFSET (log_level), 0, 0, 0, false,
    "debug, info, notice, warning or error" },
  { "log-format", "PARSLEY_LOG_FORMAT", "FORMAT", "logfmt", KIND_FORMAT,
    OFFSET (log_format), 0, 0, 0, false, "logfmt or json" },
};

#define SPEC_COUNT (sizeof specs / sizeof specs[0])

/* Indexes into the table of argtable2, which begins with the settings.  */
enum
{
  ARG_HELP = SPEC_COUNT,
  ARG_VERSION,
  ARG_CHECK,
  ARG_END,
  ARG_COUNT
};

#define ARG_ERRORS_MAX 20

static void
make_args (void **args)
{
  for (size_t i = 0; i < SPEC_COUNT; i++)
    args[i]
        = arg_str0 (NULL, specs[i].flag, specs[i].placeholder, specs[i].help);
  args[ARG_HELP] = arg_lit0 ("h", "help", "print this help");
  args[ARG_VERSION] = arg_lit0 ("V", "version", "print the version");
  args[ARG_CHECK] = arg_lit0 (NULL, "check-settings",
                              "check the settings and start nothing");
  args[ARG_END] = arg_end (ARG_ERRORS_MAX);
}

int
settings_parse_address (const char *text, char **address, uint16_t *port)
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
  int err = settings_parse_address (text, &address, &port);

  g_free (address);
  return err == 0 && port != 0;
}

static bool
all_addresses (const char *text)
{
  char **parts = g_strsplit (text, ",", -1);
  bool valid = true;

  for (char **part = parts; *part != NULL; part++)
    valid = valid && is_address (*part);
  g_strfreev (parts);
  return valid;
}

static void *
field_at (struct settings *settings, size_t offset)
{
  return (char *)settings + offset;
}

static void
parse_number (const struct spec *spec, const char *value, const char *place,
              struct settings *settings, struct findings *findings)
{
  char *end;
  unsigned long long number;

  errno = 0;
  number = strtoull (value, &end, 10);
  if (*value == '\0' || *value == '-' || *end != '\0' || errno != 0
      || number < spec->min || number > spec->max)
    findings_add (findings, place,
                  "invalid value \"%s\": expected an integer from %u to %u",
                  value, spec->min, spec->max);
  else
    *(unsigned *)field_at (settings, spec->offset) = (unsigned)number;
}

static void
store_text (const struct spec *spec, const char *value,
            struct settings *settings)
{
  *(char **)field_at (settings, spec->offset) = g_strdup (value);
}

static void
store_if_valid (const struct spec *spec, bool valid, const char *expected,
                const char *value, const char *place,
                struct settings *settings, struct findings *findings)
{
  if (valid)
    store_text (spec, value, settings);
  else
    findings_add (findings, place, "invalid value \"%s\": expected %s", value,
                  expected);
}

/* The finding leaves out the value, which is a secret.  */
static void
parse_token (const struct spec *spec, const char *value, const char *place,
             struct settings *settings, struct findings *findings)
{
  if (strlen (value) < TOKEN_MIN_LENGTH)
    findings_add (findings, place, "must have at least %d characters",
                  TOKEN_MIN_LENGTH);
  else
    store_text (spec, value, settings);
}

static void
parse_value (const struct spec *spec, const char *value, const char *place,
             struct settings *settings, struct findings *findings)
{
  void *target = field_at (settings, spec->offset);
  int err = 0;

  switch (spec->kind)
    {
    case KIND_TEXT:
      store_if_valid (spec, *value != '\0', "a non-empty string", value, place,
                      settings, findings);
      break;
    case KIND_ADDRESS:
      store_if_valid (spec, is_address (value),
                      "an address IP:PORT with a nonzero port", value, place,
                      settings, findings);
      break;
    case KIND_ADDRESS_LIST:
      store_if_valid (spec, *value == '\0' || all_addresses (value),
                      "a comma-separated list of addresses IP:PORT", value,
                      place, settings, findings);
      break;
    case KIND_LISTEN:
      err = settings_parse_address (value, target,
                                    field_at (settings, spec->port_offset));
      break;
    case KIND_TOKEN:
      parse_token (spec, value, place, settings, findings);
      break;
    case KIND_NUMBER:
      parse_number (spec, value, place, settings, findings);
      break;
    case KIND_LEVEL:
      err = log_level_parse (value, target);
      break;
    case KIND_FORMAT:
      err = log_format_parse (value, target);
      break;
    }
  if (err < 0)
    findings_add (findings, place, "invalid value \"%s\": expected %s", value,
                  spec->placeholder);
}

static void
read_setting (const struct spec *spec, const struct arg_str *arg,
              struct settings *settings, struct findings *findings)
{
  char *flag = g_strconcat ("--", spec->flag, NULL);
  const char *env = getenv (spec->env);

  if (arg->count > 0)
    parse_value (spec, arg->sval[0], flag, settings, findings);
  else if (env != NULL)
    parse_value (spec, env, spec->env, settings, findings);
  else if (spec->default_value != NULL)
    parse_value (spec, spec->default_value, flag, settings, findings);
  else if (spec->required)
    findings_add (findings, flag, "required: give this flag or set %s",
                  spec->env);
  g_free (flag);
}

static void
add_command_line_findings (struct arg_end *end, struct findings *findings)
{
  for (int i = 0; i < end->count; i++)
    {
      FILE *stream;
      char *text = NULL;
      size_t size = 0;

      stream = open_memstream (&text, &size);
      if (stream == NULL)
        return;
      ((struct arg_hdr *)end->parent[i])
          ->errorfn (end->parent[i], stream, end->error[i], end->argval[i],
                     "parsleyd");
      fclose (stream);
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
    add_command_line_findings (args[ARG_END], findings);
  settings->help = ((struct arg_lit *)args[ARG_HELP])->count > 0;
  settings->version = ((struct arg_lit *)args[ARG_VERSION])->count > 0;
  settings->check_only = ((struct arg_lit *)args[ARG_CHECK])->count > 0;
  for (size_t i = 0; i < SPEC_COUNT; i++)
    read_setting (&specs[i], args[i], settings, findings);
  arg_freetable (args, ARG_COUNT);
  return findings->count > 0 ? -EINVAL : 0;
}

void
settings_clear (struct settings *settings)
{
  for (size_t i = 0; i < SPEC_COUNT; i++)
    if (specs[i].kind != KIND_NUMBER && specs[i].kind != KIND_LEVEL
        && specs[i].kind != KIND_FORMAT)
      g_free (*(char **)field_at (settings, specs[i].offset));
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
  fprintf (out, "\nEnvironment variables, used if the flag is not given:\n");
  for (size_t i = 0; i < SPEC_COUNT; i++)
    fprintf (out, "  %-26s --%s\n", specs[i].env, specs[i].flag);
  arg_freetable (args, ARG_COUNT);
}

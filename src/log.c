#include "log.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static struct log_options log_opts = { .fd = -1 };

static const struct log_event_info catalogue[] = {
#define EVENT(number, name, level, text) { number, #name, level, text },
#include "event.def"
#undef EVENT
  { 0, NULL, NULL, NULL }
};

static const char *const level_names[]
    = { "debug", "info", "notice", "warning", "error" };

void
log_init (const struct log_options *options)
{
  log_opts = *options;
}

const struct log_event_info *
log_catalogue (void)
{
  return catalogue;
}

int
log_level_parse (const char *name, enum log_level *level)
{
  for (size_t i = 0; i < sizeof level_names / sizeof level_names[0]; i++)
    if (strcmp (name, level_names[i]) == 0)
      {
        *level = (enum log_level)i;
        return 0;
      }
  return -EINVAL;
}

int
log_format_parse (const char *name, enum log_format *format)
{
  if (strcmp (name, "logfmt") == 0)
    *format = LOG_FORMAT_LOGFMT;
  else if (strcmp (name, "json") == 0)
    *format = LOG_FORMAT_JSON;
  else
    return -EINVAL;
  return 0;
}

static const struct log_event_info *
event_info (enum log_event event)
{
  const struct log_event_info *info = catalogue;

  while (info->number != 0 && info->number != (int)event)
    info++;
  return info;
}

/* Appends N bytes of TEXT, truncated to leave room for the end of the line: a
   brace and a newline.  */
static void
append (struct log_line *line, const char *text, size_t n)
{
  size_t room = sizeof line->text - line->length - 4;

  if (n > room)
    n = room;
  memcpy (line->text + line->length, text, n);
  line->length += n;
}

static void
append_quoted (struct log_line *line, const char *value)
{
  char hex[8];

  append (line, "\"", 1);
  for (const unsigned char *c = (const unsigned char *)value; *c != '\0'; c++)
    {
      if (*c == '"' || *c == '\\')
        {
          char escaped[2] = { '\\', (char)*c };

          append (line, escaped, 2);
        }
      else if (*c < 0x20)
        append (line, hex, (size_t)snprintf (hex, sizeof hex, "\\u%04x", *c));
      else
        append (line, (const char *)c, 1);
    }
  append (line, "\"", 1);
}

static void
append_key (struct log_line *line, const char *key)
{
  if (log_opts.format == LOG_FORMAT_JSON)
    {
      append (line, ",\"", line->length > 1 ? 2 : 0);
      if (line->length <= 1)
        append (line, "\"", 1);
      append (line, key, strlen (key));
      append (line, "\":", 2);
      return;
    }
  if (line->length > 0)
    append (line, " ", 1);
  append (line, key, strlen (key));
  append (line, "=", 1);
}

static bool
is_unquoted (const char *value)
{
  return *value != '\0' && strpbrk (value, " \"=\\\t\n\r") == NULL;
}

void
log_str (struct log_line *line, const char *key, const char *value)
{
  if (!line->enabled || value == NULL)
    return;
  append_key (line, key);
  if (log_opts.format == LOG_FORMAT_LOGFMT && is_unquoted (value))
    append (line, value, strlen (value));
  else
    append_quoted (line, value);
}

void
log_int (struct log_line *line, const char *key, int64_t value)
{
  char text[24];

  if (!line->enabled)
    return;
  append_key (line, key);
  append (line, text,
          (size_t)snprintf (text, sizeof text, "%lld", (long long)value));
}

void
log_double (struct log_line *line, const char *key, double value)
{
  char text[40];

  if (!line->enabled)
    return;
  append_key (line, key);
  append (line, text, (size_t)snprintf (text, sizeof text, "%.3f", value));
}

static void
append_time (struct log_line *line)
{
  struct timespec wall = clk_wall (log_opts.clk);
  char text[48];
  struct tm tm;
  size_t n;

  gmtime_r (&wall.tv_sec, &tm);
  n = strftime (text, sizeof text, "%Y-%m-%dT%H:%M:%S", &tm);
  snprintf (text + n, sizeof text - n, ".%03ldZ", wall.tv_nsec / 1000000);
  log_str (line, "time", text);
}

#define RESERVED_PART 4 /* of the limit: one in four lines */

/* Lines written in the current second, and lines dropped since the last
   EVENT_LOG_DROPPED.  */
static int64_t current_second;
static unsigned lines_this_second;
static unsigned dropped_lines;

static void
count_dropped (void)
{
  __atomic_add_fetch (&dropped_lines, 1, __ATOMIC_RELAXED);
}

/* Whether another line of LEVEL may be written in the current second.  A part
   of the limit is kept for lines that matter more than routine ones.  */
static bool
within_limit (enum log_level level)
{
  int64_t now = clk_now (log_opts.clk).tv_sec;
  unsigned limit = log_opts.lines_per_s;

  if (limit == 0)
    return true;
  if (level < LOG_LEVEL_NOTICE)
    limit -= limit / RESERVED_PART;
  if (__atomic_exchange_n (&current_second, now, __ATOMIC_RELAXED) != now)
    __atomic_store_n (&lines_this_second, 0, __ATOMIC_RELAXED);
  if (__atomic_add_fetch (&lines_this_second, 1, __ATOMIC_RELAXED) <= limit)
    return true;
  __atomic_sub_fetch (&lines_this_second, 1, __ATOMIC_RELAXED);
  count_dropped ();
  return false;
}

static void
log_dropped (void)
{
  unsigned n = __atomic_exchange_n (&dropped_lines, 0, __ATOMIC_RELAXED);
  struct log_line line;

  if (n == 0)
    return;
  log_begin (&line, EVENT_LOG_DROPPED);
  log_int (&line, "lines", n);
  log_end (&line);
}

void
log_begin (struct log_line *line, enum log_event event)
{
  const struct log_event_info *info = event_info (event);
  enum log_level level = LOG_LEVEL_INFO;

  line->length = 0;
  line->enabled = false;
  if (log_opts.fd < 0 || info->number == 0)
    return;
  log_level_parse (info->level, &level);
  if (level < log_opts.level || !within_limit (level))
    return;
  line->enabled = true;
  if (log_opts.format == LOG_FORMAT_JSON)
    append (line, "{", 1);
  append_time (line);
  log_str (line, "level", info->level);
  log_int (line, "event", info->number);
  log_str (line, "name", info->name);
  if (log_opts.node != NULL)
    log_str (line, "node", log_opts.node);
}

void
log_end (struct log_line *line)
{
  if (!line->enabled)
    return;
  if (log_opts.format == LOG_FORMAT_JSON)
    line->text[line->length++] = '}';
  line->text[line->length++] = '\n';
  if (write (log_opts.fd, line->text, line->length) < 0)
    count_dropped ();
  else
    log_dropped ();
}

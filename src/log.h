/* log - structured log: numbered events, one line each, as logfmt or JSON.

   A line is built on the caller's stack and written with one write(2); any
   thread may log at any time.  Fields are written in the order of the calls.
   Text that does not fit into a line is truncated.  A line that cannot be
   written to a non-blocking descriptor is dropped and counted.  */

#ifndef PARSLEYRILL_LOG_H
#define PARSLEYRILL_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include "clk.h"

enum log_event
{
#define EVENT(number, name, level, text) EVENT_##name = (number),
#include "event.def"
#undef EVENT
};

enum log_level
{
  LOG_LEVEL_DEBUG,
  LOG_LEVEL_INFO,
  LOG_LEVEL_NOTICE,
  LOG_LEVEL_WARNING,
  LOG_LEVEL_ERROR
};

enum log_format
{
  LOG_FORMAT_LOGFMT,
  LOG_FORMAT_JSON
};

struct log_options
{
  int fd; /* written to; not closed by this module */
  enum log_level level;
  enum log_format format;
  const char *node; /* name of this process, borrowed; NULL: omitted */
  const struct clk *clk;
  /* More lines are dropped and counted, those below the level notice earlier
     than others; 0: no limit.  */
  unsigned lines_per_s;
};

#define LOG_LINE_MAX 2048 /* bytes */

struct log_line
{
  char text[LOG_LINE_MAX];
  size_t length;
  bool enabled;
};

/* Initializes logging; called before other threads start.  Nothing is logged
   before.  */
void log_init (const struct log_options *options);

/* Return 0, or -EINVAL when NAME is unknown.  */
int log_level_parse (const char *name, enum log_level *level);
int log_format_parse (const char *name, enum log_format *format);

/* The usual sequence: log_begin, any log_str/log_int/log_double, log_end.  */
void log_begin (struct log_line *line, enum log_event event);
/* The field is omitted when VALUE is NULL.  */
void log_str (struct log_line *line, const char *key, const char *value);
void log_int (struct log_line *line, const char *key, int64_t value);
void log_double (struct log_line *line, const char *key, double value);
void log_end (struct log_line *line);

/* An entry of the list of events, which ends with number 0.  */
struct log_event_info
{
  int number;
  const char *name;
  const char *level;
  const char *text;
};

const struct log_event_info *log_catalogue (void);

#endif

#include "httpd_head.h"

#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <glib.h>
#include "field.h"

#define LINE_END 2 /* bytes of CR LF */

/* A head that is being walked through.  */
struct walk
{
  const char *next;  /* where the next line must begin */
  const char *fault; /* NULL: none so far */
  unsigned hosts;
  unsigned lengths;
  unsigned codings;
  bool version_1_0;
};

/* RFC 3986, sections 3.2.2 and 3.2.3, without user information.  */
static bool
is_host (const char *text, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (!g_ascii_isalnum (text[i])
        && (text[i] == '\0'
            || strchr ("-._~%!$&'()*+,;=:[]", text[i]) == NULL))
      return false;
  return true;
}

static bool
has_space_or_control (const char *text)
{
  for (; *text != '\0'; text++)
    if (g_ascii_isspace (*text) || g_ascii_iscntrl (*text))
      return true;
  return false;
}

static const char *
line_fault (struct walk *walk, const struct httpd_head_line *line)
{
  size_t method_length = strlen (line->method);
  size_t version_length = strlen (line->version);

  if (!field_is_token (line->method, method_length))
    return "the method is no token";
  if (line->path != line->method + method_length + 1
      || line->version != line->path + strlen (line->target) + 1
      || has_space_or_control (line->target))
    return "the request line has more than two spaces";
  if (strcmp (line->version, MHD_HTTP_VERSION_1_1) != 0
      && strcmp (line->version, MHD_HTTP_VERSION_1_0) != 0)
    return "unknown version of HTTP";
  walk->version_1_0 = strcmp (line->version, MHD_HTTP_VERSION_1_0) == 0;
  walk->next = line->version + version_length + LINE_END;
  return NULL;
}

static const char *
framing_fault (struct walk *walk, const char *name, size_t name_length,
               const char *value, size_t length)
{
  if (field_equals (name, name_length, "Content-Length"))
    {
      walk->lengths++;
      if (!field_is_length (value, length))
        return "the Content-Length is no number";
    }
  else if (field_equals (name, name_length, "Transfer-Encoding"))
    {
      walk->codings++;
      if (!field_equals (value, length, "chunked"))
        return "unknown transfer coding";
    }
  else if (field_equals (name, name_length, "Host"))
    {
      walk->hosts++;
      if (!is_host (value, length))
        return "the Host is no host";
    }
  return NULL;
}

static const char *
field_fault (const char *name, size_t name_length, const char *value,
             size_t length)
{
  if (!field_is_token (name, name_length))
    return "a header's name is no token";
  if (field_has_control (value, length))
    return "a header has a control character";
  return NULL;
}

/* libmicrohttpd has replaced CR and LF by NUL.  */
static bool
is_line_end (const char *bytes)
{
  return bytes[0] == '\0' && bytes[1] == '\0';
}

static const char *
check_header (struct walk *walk, const char *name, size_t name_length,
              const char *value, size_t length)
{
  const char *fault = field_fault (name, name_length, value, length);

  if (fault != NULL)
    return fault;
  if (name != walk->next || value <= name + name_length
      || !is_line_end (value + length))
    return "a header line is folded or does not end with CR LF";
  walk->next = value + length + LINE_END;
  return framing_fault (walk, name, name_length, value, length);
}

static enum MHD_Result
visit_header (void *cls, enum MHD_ValueKind kind, const char *name,
              size_t name_length, const char *value, size_t length)
{
  struct walk *walk = cls;

  (void)kind;
  walk->fault = value != NULL
                    ? check_header (walk, name, name_length, value, length)
                    : "a header has no value";
  return walk->fault == NULL ? MHD_YES : MHD_NO;
}

/* What only shows when all headers are known.  */
static const char *
combination_fault (const struct walk *walk)
{
  if (walk->lengths + walk->codings > 1)
    return "the length of the body is given more than once";
  if (walk->codings > 0 && walk->version_1_0)
    return "HTTP/1.0 has no transfer codings";
  if (walk->hosts > 1 || (walk->hosts == 0 && !walk->version_1_0))
    return "there is not one Host";
  return NULL;
}

static size_t
scheme_length (const char *target)
{
  static const char mark[] = "://";
  size_t n = 0;

  while (g_ascii_isalnum (target[n]))
    n++;
  return n > 0 && strncmp (target + n, mark, sizeof mark - 1) == 0
             ? n + sizeof mark - 1
             : 0;
}

size_t
httpd_head_prefix (const char *target)
{
  size_t scheme = scheme_length (target);

  return scheme > 0 ? scheme + strcspn (target + scheme, "/?") : 0;
}

/* The host is named twice then.  */
static const char *
target_fault (struct MHD_Connection *connection, const char *target)
{
  const char *host = MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                                  MHD_HTTP_HEADER_HOST);
  size_t scheme = scheme_length (target);
  size_t prefix = httpd_head_prefix (target);

  if (prefix == 0)
    return NULL;
  if (host == NULL || strchr (host, '%') != NULL
      || !field_equals (target + scheme, prefix - scheme, host))
    return "the target names another host";
  return NULL;
}

const char *
httpd_head_fault (struct MHD_Connection *connection,
                  const struct httpd_head_line *line)
{
  struct walk walk = { 0 };
  const union MHD_ConnectionInfo *size = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);

  walk.fault = line_fault (&walk, line);
  if (walk.fault != NULL)
    return walk.fault;
  MHD_get_connection_values_n (connection, MHD_HEADER_KIND, visit_header,
                               &walk);
  if (walk.fault != NULL)
    return walk.fault;
  if (size == NULL
      || size->header_size != (size_t)(walk.next - line->method) + LINE_END)
    return "the last header line does not end with CR LF";
  walk.fault = combination_fault (&walk);
  return walk.fault != NULL ? walk.fault
                            : target_fault (connection, line->target);
}

/* Fields that a reader could take for headers, see RFC 9110, section 6.5.1. */
static bool
may_be_trailer (const char *name, size_t length)
{
  return !field_equals (name, length, "Content-Length")
         && !field_equals (name, length, "Transfer-Encoding")
         && !field_equals (name, length, "Host");
}

struct trailer_walk
{
  const char *fault;
  const char *last_header; /* its name */
};

static enum MHD_Result
find_last_header (void *cls, enum MHD_ValueKind kind, const char *name,
                  size_t name_length, const char *value, size_t length)
{
  struct trailer_walk *walk = cls;

  (void)kind;
  (void)name_length;
  (void)value;
  (void)length;
  walk->last_header = name;
  return MHD_YES;
}

static enum MHD_Result
visit_trailer (void *cls, enum MHD_ValueKind kind, const char *name,
               size_t name_length, const char *value, size_t length)
{
  struct trailer_walk *walk = cls;

  (void)kind;
  /* libmicrohttpd 0.9 returns the last header again.  */
  if (name == walk->last_header)
    return MHD_YES;
  walk->fault
      = field_fault (name, name_length, value != NULL ? value : "", length);
  if (walk->fault == NULL && !may_be_trailer (name, name_length))
    walk->fault = "a trailer tells how to read the request";
  return walk->fault == NULL ? MHD_YES : MHD_NO;
}

const char *
httpd_head_trailer_fault (struct MHD_Connection *connection)
{
  struct trailer_walk walk = { 0 };

  MHD_get_connection_values_n (connection, MHD_HEADER_KIND, find_last_header,
                               &walk);
  MHD_get_connection_values_n (connection, MHD_FOOTER_KIND, visit_trailer,
                               &walk);
  return walk.fault;
}

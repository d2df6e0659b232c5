#include "relay.h"

#include <stdlib.h>
#include <string.h>
#include "caller.h"
#include "keyring.h"

#define FIELD_SEPARATOR ";"
#define ID_SEPARATOR ","
#define KEY_NODE "node="
#define KEY_CONFIG "config="
#define KEY_ATTEMPTS "attempts="
#define KEY_SENDINGS "sendings="
#define KEY_TRIED "tried="
#define KEY_SOFTWARE "software="
#define KEY_CUSTOMER "customer="
#define KEY_CODE "code="
#define CODE_LABEL "customer of a request" /* of this use of the token */
#define COUNT_MAX 1000                     /* larger numbers are cut to this */

void
relay_add_tried (GPtrArray **tried, const char *id)
{
  if (*tried == NULL)
    *tried = g_ptr_array_new_with_free_func (g_free);
  if ((*tried)->len < RELAY_TRIED_MAX
      && !g_ptr_array_find_with_equal_func (*tried, id, g_str_equal, NULL))
    g_ptr_array_add (*tried, g_strdup (id));
}

/* Ids may contain separators.  */
static void
append_escaped (GString *text, const char *id)
{
  g_string_append_uri_escaped (text, id, NULL, FALSE);
}

static void
append_field (GString *text, const char *field)
{
  if (text->len > 0)
    g_string_append (text, FIELD_SEPARATOR);
  g_string_append (text, field);
}

static void
append_number (GString *text, const char *key, unsigned value)
{
  append_field (text, key);
  g_string_append_printf (text, "%u", value);
}

static void
append_tried (GString *text, const GPtrArray *tried)
{
  append_field (text, KEY_TRIED);
  for (guint i = 0; i < tried->len; i++)
    {
      if (i > 0)
        g_string_append (text, ID_SEPARATOR);
      append_escaped (text, g_ptr_array_index (tried, i));
    }
}

char *
relay_format (const struct relay_note *note)
{
  GString *text = g_string_new (NULL);

  if (note->node != NULL)
    {
      append_field (text, KEY_NODE);
      append_escaped (text, note->node);
    }
  if (note->config != 0)
    {
      append_field (text, KEY_CONFIG);
      g_string_append_printf (text, "%" G_GUINT64_FORMAT, note->config);
    }
  if (note->unreached)
    append_field (text, CALLER_RELAY_UNREACHED);
  if (note->counts)
    {
      append_number (text, KEY_ATTEMPTS, note->attempts);
      append_number (text, KEY_SENDINGS, note->sendings);
      if (note->tried != NULL && note->tried->len > 0)
        append_tried (text, note->tried);
    }
  if (note->software != NULL)
    {
      append_field (text, KEY_SOFTWARE);
      append_escaped (text, note->software);
    }
  if (note->customer != NULL && note->code != NULL)
    {
      append_field (text, KEY_CUSTOMER);
      append_escaped (text, note->customer);
      append_field (text, KEY_CODE);
      append_escaped (text, note->code);
    }
  return g_string_free (text, FALSE);
}

/* The value of FIELD if it has KEY, or NULL.  */
static const char *
field_value (const char *field, const char *key)
{
  return g_str_has_prefix (field, key) ? field + strlen (key) : NULL;
}

static bool
parse_number (const char *text, unsigned *number)
{
  char *end;
  unsigned long value;

  if (!g_ascii_isdigit (*text))
    return false;
  value = strtoul (text, &end, 10);
  *number = (unsigned)MIN (value, COUNT_MAX);
  return *end == '\0';
}

static uint64_t
parse_version (const char *text)
{
  guint64 version;

  return g_ascii_string_to_unsigned (text, 10, 0, G_MAXUINT64, &version, NULL)
             ? version
             : 0;
}

static void
parse_tried (const char *text, GPtrArray **tried)
{
  char **ids = g_strsplit (text, ID_SEPARATOR, RELAY_TRIED_MAX + 1);

  for (char **id = ids; *id != NULL; id++)
    {
      char *plain = g_uri_unescape_string (*id, NULL);

      if (plain != NULL && *plain != '\0')
        relay_add_tried (tried, plain);
      g_free (plain);
    }
  g_strfreev (ids);
}

void
relay_parse (const char *text, struct relay_note *note)
{
  char **fields = g_strsplit (text != NULL ? text : "", FIELD_SEPARATOR,
                              RELAY_TRIED_MAX);
  bool has_attempts = false;
  bool has_sendings = false;

  *note = (struct relay_note){ 0 };
  for (char **field = fields; *field != NULL; field++)
    {
      const char *value;

      g_strstrip (*field);
      if (strcmp (*field, CALLER_RELAY_UNREACHED) == 0)
        note->unreached = true;
      else if ((value = field_value (*field, KEY_NODE)) != NULL
               && note->node == NULL)
        note->node = g_uri_unescape_string (value, NULL);
      else if ((value = field_value (*field, KEY_CONFIG)) != NULL)
        note->config = parse_version (value);
      else if ((value = field_value (*field, KEY_ATTEMPTS)) != NULL)
        has_attempts = parse_number (value, &note->attempts);
      else if ((value = field_value (*field, KEY_SENDINGS)) != NULL)
        has_sendings = parse_number (value, &note->sendings);
      else if ((value = field_value (*field, KEY_TRIED)) != NULL)
        parse_tried (value, &note->tried);
      else if ((value = field_value (*field, KEY_SOFTWARE)) != NULL
               && note->software == NULL)
        note->software = g_uri_unescape_string (value, NULL);
      else if ((value = field_value (*field, KEY_CUSTOMER)) != NULL
               && note->customer == NULL)
        note->customer = g_uri_unescape_string (value, NULL);
      else if ((value = field_value (*field, KEY_CODE)) != NULL
               && note->code == NULL)
        note->code = g_strdup (value);
    }
  note->counts = has_attempts && has_sendings;
  g_strfreev (fields);
}

/* Each part with its length, so that no two lists of parts look alike.  */
static void
add_part (GHmac *hmac, const char *text)
{
  guint64 length = GUINT64_TO_BE (strlen (text));

  g_hmac_update (hmac, (const guchar *)&length, sizeof length);
  g_hmac_update (hmac, (const guchar *)text, (gssize)strlen (text));
}

char *
relay_code (const struct relay_note *note, const char *request,
            const char *token)
{
  GHmac *hmac
      = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)token, strlen (token));
  guint64 config = GUINT64_TO_BE (note->config);
  char *code;

  add_part (hmac, CODE_LABEL);
  add_part (hmac, note->node);
  add_part (hmac, request);
  g_hmac_update (hmac, (const guchar *)&config, sizeof config);
  add_part (hmac, note->customer);
  code = g_strdup (g_hmac_get_string (hmac));
  g_hmac_unref (hmac);
  return code;
}

bool
relay_is_proven (const struct relay_note *note, const char *request,
                 const char *token)
{
  char *code;
  bool proven;

  if (note->node == NULL || note->customer == NULL || note->code == NULL
      || token == NULL || *token == '\0')
    return false;
  code = relay_code (note, request, token);
  proven = strlen (note->code) == strlen (code)
           && keyring_equal (note->code, code, strlen (code));
  g_free (code);
  return proven;
}

void
relay_clear (struct relay_note *note)
{
  g_free (note->customer);
  g_free (note->code);
  g_free (note->node);
  g_free (note->software);
  if (note->tried != NULL)
    g_ptr_array_unref (note->tried);
  *note = (struct relay_note){ 0 };
}

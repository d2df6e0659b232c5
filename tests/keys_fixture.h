/* keys_fixture - configurations with customers for the gate of
   gate_fixture.h, and requests with keys.  */

#ifndef KEYS_FIXTURE_H
#define KEYS_FIXTURE_H

#include "gate_fixture.h"
#include "listing.h"

#define KEY_A "key-of-a-5f1c"
#define KEY_B "key-of-b-77e0"

/* Customer a has KEY_A, customer b has KEYS, as JSON strings.  */
static inline char *
config_with_keys (int version, const char *keys)
{
  return g_strdup_printf (
      "{\"Version\":%d,\"Routes\":["
      "{\"Name\":\"safe\",\"Hostname\":\"h.example\",\"Prefix\":\"/safe/\","
      "\"Kind\":\"safe\",\"TimeoutMs\":20000,\"Service\":\"app\","
      "\"MaxAttempts\":2},"
      "{\"Name\":\"open\",\"Hostname\":\"h.example\",\"Prefix\":\"/open/\","
      "\"Kind\":\"safe\",\"TimeoutMs\":20000,\"Service\":\"app\","
      "\"MaxAttempts\":2,\"Public\":true}"
      "],\"Services\":[{\"Name\":\"app\"}],\"Tenants\":["
      "{\"Name\":\"a\",\"ApiKeys\":[\"" KEY_A "\"]},"
      "{\"Name\":\"b\",\"ApiKeys\":[%s]}]}",
      version, keys);
}

static inline uint64_t
version_at (const struct gate *gate)
{
  const struct site *site
      = listing_site ((struct listing *)gate_service (gate, LISTING_NAME));

  return site != NULL ? site->version : 0;
}

static inline void
put_keys (struct fixture *f, int version, const char *keys)
{
  char *text = config_with_keys (version, keys);

  put_row (f, "op/config", text);
  g_free (text);
}

/* The status of a request for PATH with KEY, which may be NULL.  */
static inline long
status_with_key (struct fixture *f, const char *path, const char *key)
{
  char *line
      = key != NULL ? g_strdup_printf ("Authorization: Bearer %s", key) : NULL;
  const char *headers[] = { line, NULL };

  request_and_wait (f, "GET", path, headers);
  g_assert_cmpint (f->error, ==, 0);
  g_free (line);
  return f->status;
}

/* Puts version 1 of the configuration in force and waits until requests are
   served.  */
static inline void
serve_keys (struct fixture *f)
{
  put_keys (f, 1, "\"" KEY_B "\"");
  list_server (f, "ready");
  while (status_with_key (f, "/safe/warm", KEY_A) != 200)
    ;
  f->at_server = 0;
}

#endif

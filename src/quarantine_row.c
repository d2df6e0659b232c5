#include "quarantine_row.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include <jansson.h>
#include "badrow.h"
#include "ts.h"

/* The other rows are named by their feature.  */
#define EVIDENCE_PREFIX "crashes:"
/* Features of the requests in a row, which must fit into 64 KiB.  */
#define EVIDENCE_FEATURES_MAX 900

/* The part of a key behind the table's name, with which lists leave it out. */
static const char *
row_name (const struct platform_row *row)
{
  const char *slash = strrchr (row->key, '/');

  return slash != NULL ? slash + 1 : row->key;
}

char *
quarantine_row_key (uint64_t feature)
{
  return g_strdup_printf (QUARANTINE_TABLE "/%016" PRIx64, feature);
}

char *
quarantine_row_text (const struct quarantine_state *state)
{
  json_t *json = json_pack ("{s:I, s:b}", "trials", (json_int_t)state->trials,
                            "known_good", state->known_good);
  char *text = json_dumps (json, JSON_COMPACT);

  json_decref (json);
  return text;
}

bool
quarantine_row_read (const struct platform_row *row,
                     struct quarantine_state *state)
{
  json_t *json = json_loads (row->value, 0, NULL);
  json_int_t trials = 0;
  int known_good = 0;
  bool ok = json_unpack (json, "{s:I, s:b}", "trials", &trials, "known_good",
                         &known_good)
                == 0
            && trials >= 0;

  memset (state, 0, sizeof *state);
  state->feature = strtoull (row_name (row), NULL, 16);
  state->trials = (uint64_t)trials;
  state->known_good = known_good != 0;
  json_decref (json);
  ok = ok && state->feature != 0;
  if (!ok)
    badrow_log (QUARANTINE_TABLE, row->key,
                "expected an object with members trials and known_good");
  return ok;
}

/* Evidence: {"at_ms": WALL_MS, "requests": [[ENGINE, AGE_MS, [FEATURE, ...]],
   ...], "answered": {FEATURE: AGE_MS, ...}}.  */

struct evidence
{
  const struct quarantine *quarantine;
  struct timespec now;
  json_t *requests;
  json_t *answered;
  size_t features;
};

char *
quarantine_evidence_key (const char *node)
{
  return g_strconcat (QUARANTINE_TABLE "/" EVIDENCE_PREFIX, node, NULL);
}

bool
quarantine_is_evidence (const struct platform_row *row)
{
  return g_str_has_prefix (row_name (row), EVIDENCE_PREFIX);
}

static json_t *
hash_json (uint64_t hash)
{
  return json_sprintf ("%016" PRIx64, hash);
}

static uint64_t
json_hash (const json_t *json)
{
  const char *text = json_string_value (json);

  return text != NULL ? strtoull (text, NULL, 16) : 0;
}

static int64_t
age_ms (const struct evidence *evidence, struct timespec at)
{
  return ts_to_ms (ts_sub (evidence->now, at));
}

static void
add_feature (struct evidence *evidence, json_t *features, uint64_t feature)
{
  struct timespec at = quarantine_answered_at (evidence->quarantine, feature);
  json_t *text = hash_json (feature);

  if (!ts_is_zero (at))
    json_object_set_new (evidence->answered, json_string_value (text),
                         json_integer (age_ms (evidence, at)));
  json_array_append_new (features, text);
}

/* The oldest requests make room for this one.  */
static void
make_room (struct evidence *evidence, size_t features)
{
  evidence->features += features;
  while (evidence->features > EVIDENCE_FEATURES_MAX)
    {
      const json_t *first = json_array_get (evidence->requests, 0);

      evidence->features -= json_array_size (json_array_get (first, 2));
      json_array_remove (evidence->requests, 0);
    }
}

static void
add_request (void *user, uint64_t engine, const struct blame_request *request,
             struct timespec at)
{
  struct evidence *evidence = user;
  json_t *features = json_array ();

  make_room (evidence, request->count);
  for (size_t i = 0; i < request->count; i++)
    add_feature (evidence, features, request->features[i]);
  json_array_append_new (evidence->requests,
                         json_pack ("[o, I, o]", hash_json (engine),
                                    (json_int_t)age_ms (evidence, at),
                                    features));
}

char *
quarantine_evidence_text (const struct quarantine *quarantine,
                          struct timespec now, int64_t wall_ms)
{
  struct evidence evidence = { .quarantine = quarantine,
                               .now = now,
                               .requests = json_array (),
                               .answered = json_object () };
  json_t *json;
  char *text;

  quarantine_each_crash (quarantine, add_request, &evidence);
  json
      = json_pack ("{s:I, s:o, s:o}", "at_ms", (json_int_t)wall_ms, "requests",
                   evidence.requests, "answered", evidence.answered);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  return text;
}

static void
read_request (const json_t *row, int64_t row_age_ms,
              struct quarantine *quarantine, struct timespec now,
              struct action_list *actions)
{
  uint64_t features[BLAME_FEATURES_MAX];
  struct blame_request request = { .features = features };
  int64_t age = row_age_ms + json_integer_value (json_array_get (row, 1));
  const json_t *feature;
  size_t i;

  json_array_foreach (json_array_get (row, 2), i, feature)
    {
      if (request.count < BLAME_FEATURES_MAX && json_hash (feature) != 0)
        features[request.count++] = json_hash (feature);
    }
  if (request.count > 0 && age <= QUARANTINE_EVIDENCE_AGE_MS)
    quarantine_crash_received (quarantine, json_hash (json_array_get (row, 0)),
                               &request, age, now, actions);
}

static void
read_answered (void *item, int64_t row_age_ms, struct quarantine *quarantine,
               struct timespec now)
{
  int64_t age
      = row_age_ms + json_integer_value (json_object_iter_value (item));

  quarantine_answered_received (
      quarantine, strtoull (json_object_iter_key (item), NULL, 16), age, now);
}

/* The answers come first: without them the crashes would be judged wrongly.
 */
void
quarantine_evidence_read (const struct platform_row *row,
                          struct quarantine *quarantine, struct timespec now,
                          int64_t wall_ms, struct action_list *actions)
{
  json_t *json = json_loads (row->value, 0, NULL);
  int64_t row_age_ms = MAX (
      wall_ms - json_integer_value (json_object_get (json, "at_ms")), 0);
  json_t *answered = json_object_get (json, "answered");
  const json_t *value;
  size_t i;

  if (!json_is_object (json))
    badrow_log (QUARANTINE_TABLE, row->key, "expected an object");
  for (void *item = json_object_iter (answered); item != NULL;
       item = json_object_iter_next (answered, item))
    read_answered (item, row_age_ms, quarantine, now);
  json_array_foreach (json_object_get (json, "requests"), i, value)
    {
      read_request (value, row_age_ms, quarantine, now, actions);
    }
  json_decref (json);
}

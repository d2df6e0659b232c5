#include "forward_state.h"
#include "ts.h"

/* The caller may resume a stream for this long after its deadline, as this
   node knows it.  */
#define RESUME_MARGIN_MS 2000
/* When some nodes did not say whether they know the stream, or the former
   versions have not been read.  */
#define ASK_AGAIN_MS 300

/* The version is unknown where the platform does not tell it.  */
static const char *
software_of (const struct route_engine *engine)
{
  return engine->software != NULL ? engine->software : "";
}

/* The id of the request that got the first event of the stream.  */
static const char *
stream_id (const struct forward *forward)
{
  const struct caller_request *parsed = &forward->parsed;

  return parsed->resumes && parsed->stream != NULL ? parsed->stream
                                                   : parsed->id;
}

/* The version that begins the stream; NULL: it is not known.  */
static const char *
beginning_software (const struct forward *forward)
{
  return forward->to_peer ? forward->peer_note.software
                          : software_of (forward->engine);
}

void
forward_record_origin (struct forward *forward)
{
  int64_t timeout_ms = ts_to_ms (ts_sub (forward->deadline, forward->arrived));
  int64_t ms = MAX (forward->parsed.deadline_ms, timeout_ms);
  int64_t passed_ms
      = ts_to_ms (ts_sub (forward_now (forward), forward->arrived));
  const char *software = beginning_software (forward);

  if (software == NULL && forward->software == NULL)
    forward->origin_result = ORIGINS_UNKNOWN;
  if (software == NULL)
    return;
  g_free (forward->software);
  forward->software = g_strdup (software);
  origins_put (forward->gateway->origins, stream_id (forward),
               forward->service->name, forward->software,
               ms - passed_ms + RESUME_MARGIN_MS);
}

bool
forward_continues_origin (const struct forward *forward)
{
  const char *software = beginning_software (forward);

  return !forward->head_sent || forward->software == NULL || software == NULL
         || strcmp (forward->software, software) == 0;
}

/* The request has not been sent yet.  It may wait, and is counted there by its
   version.  */
static void
set_software (struct forward *forward, const char *software)
{
  forward_dequeue (forward);
  forward->software = g_strdup (software);
  forward->origin_result = ORIGINS_KNOWN;
}

/* Whether this node knows all versions that may have begun the stream.  Its
   list of servers must be newer than that; callers that do not name the
   stream can't be told from ones of a service with a single version, so for
   them it is enough that the node is not out of step with the others.  While
   the store is away, no other node can have a newer list.  */
static bool
knows_versions (const struct forward *forward)
{
  const struct listing *listing = forward->gateway->listing;
  bool named = forward->parsed.stream != NULL;
  struct timespec since = forward->arrived;

  if (forward->head_sent)
    since = forward->heard_at;
  else if (!named)
    since = ts_add_ms (since, -LISTING_PEER_LIST_TTL_MS);
  if (listing_is_complete (listing, since))
    return true;
  return listing_store_is_away (listing)
         && !origins_isolated (forward->gateway->origins)
         && (!named || forward->origin_result == ORIGINS_UNKNOWN);
}

/* Waits for a list of servers that is new enough, if one may come.  */
static bool
wait_for_list (struct forward *forward)
{
  struct timespec end
      = ts_add_ms (forward->head_sent ? forward->heard_at : forward->arrived,
                   LISTING_PEER_LIST_TTL_MS);

  if (listing_store_is_away (forward->gateway->listing)
      || !ts_before (forward_now (forward), end)
      || forward_left_ms (forward) < FORWARD_ANSWER_MIN_MS)
    return false;
  forward_wait (forward, (struct timespec){ 0 });
  return true;
}

bool
forward_refuse_unknown (struct forward *forward)
{
  struct servers *servers = listing_servers (forward->gateway->listing);
  const char *service = forward->service->name;
  bool read = versionlog_is_read (forward->gateway->versionlog);
  bool out_of_step = false;
  const char *sole;

  if (forward->origin_result == ORIGINS_KNOWN
      || !servers_has_software (servers, service, NULL))
    return false;
  sole = read ? servers_sole_software (servers, service, forward_now (forward))
              : NULL;
  if (sole != NULL)
    out_of_step = !knows_versions (forward);
  if (sole != NULL && !out_of_step)
    {
      set_software (forward, sole);
      return false;
    }
  if (out_of_step && wait_for_list (forward))
    return true;
  forward_fail (forward, "unknown which version began the stream",
                !read || out_of_step
                        || forward->origin_result == ORIGINS_NO_ANSWER
                    ? ASK_AGAIN_MS
                    : 0);
  return true;
}

/* Routes the request to the version that began its stream.  Services do not
   share streams, so a stream of another service sets no version.  */
static void
route_to_origin (struct forward *forward, const struct origin_stream *stream)
{
  if (strcmp (stream->service, forward->service->name) == 0)
    set_software (forward, stream->software);
  forward_route (forward);
}

static void
on_answer (struct origins_query *query, enum origins_result result,
           const struct origin_stream *stream)
{
  struct forward *forward
      = (struct forward *)((char *)query
                           - offsetof (struct forward, origin_query));

  forward->origin_result = result;
  if (stream != NULL)
    route_to_origin (forward, stream);
  else
    forward_route (forward);
}

void
forward_resume (struct forward *forward)
{
  struct origins *origins = forward->gateway->origins;
  const char *id = forward->parsed.stream;
  const struct origin_stream *stream
      = id != NULL ? origins_get (origins, id) : NULL;

  if (stream != NULL)
    route_to_origin (forward, stream);
  else if (id != NULL)
    origins_ask (origins, &forward->origin_query, id, on_answer);
  else
    {
      forward->origin_result = ORIGINS_UNKNOWN;
      forward_route (forward);
    }
}

#include "origins.h"

#include <string.h>
#include <glib.h>
#include "core.h"
#include "links.h"
#include "ts.h"

#define EXPIRE_INTERVAL_MS 5000

TAILQ_HEAD (query_list, origins_query);

struct origins
{
  struct service service; /* must be first: it is cast to this struct */
  struct core *core;
  struct links *links;
  struct origin *origin;
  struct query_list queries;
  struct loop_timer expire_timer;
};

static struct timespec
origins_now (const struct origins *origins)
{
  return loop_now (origins->core->loop);
}

/* The nodes to which there is a link.  LEAVING: also those that are shutting
   down.  Strings are borrowed until the next event.  */
static GArray *
linked_nodes (const struct origins *origins, bool leaving)
{
  GArray *nodes = g_array_new (FALSE, FALSE, sizeof (struct origin_node));
  size_t count;
  const struct member_info *const *members
      = links_members (origins->links, &count);

  for (size_t i = 0; i < count; i++)
    {
      const struct member_info *info = members[i];
      struct origin_node node = { .id = info->id, .zone = info->zone };

      if (info->state == MEMBER_DEAD
          || (info->state == MEMBER_LEAVING && !leaving)
          || strcmp (info->id, origins->core->node) == 0
          || !links_connected (origins->links, info->id))
        continue;
      g_array_append_val (nodes, node);
    }
  return nodes;
}

bool
origins_isolated (const struct origins *origins)
{
  GArray *linked = linked_nodes (origins, true);
  size_t others = 0;
  size_t count;
  const struct member_info *const *members
      = links_members (origins->links, &count);
  bool isolated;

  for (size_t i = 0; i < count; i++)
    others += members[i]->state != MEMBER_DEAD
              && strcmp (members[i]->id, origins->core->node) != 0;
  isolated = linked->len * 2 < others;
  g_array_unref (linked);
  return isolated;
}

/* Sends MSG to up to MAX of NODES.  Returns the number of those it was sent
   to.  */
static unsigned
send_to_nodes (struct origins *origins, const GArray *nodes, size_t max,
               const struct peer_msg *msg)
{
  const struct origin_node *list = (const struct origin_node *)nodes->data;
  size_t picked[ORIGIN_ASKED];
  size_t count = origin_nodes (msg->subject, list, nodes->len, picked,
                               MIN (max, ORIGIN_ASKED));
  unsigned sent = 0;

  for (size_t i = 0; i < count; i++)
    sent += links_send (origins->links, list[picked[i]].id, msg) == 0;
  return sent;
}

void
origins_put (struct origins *origins, const char *id, const char *service,
             const char *software, int64_t ttl_ms)
{
  int64_t ms = CLAMP (ttl_ms, 1, ORIGINS_TTL_MAX_MS);
  struct peer_msg msg = { .type = PEER_ORIGIN,
                          .subject = (char *)id,
                          .name = (char *)service,
                          .text = (char *)software,
                          .since = (uint64_t)ms };
  GArray *nodes = linked_nodes (origins, false);

  origin_put (origins->origin, id, service, software,
              ts_add_ms (origins_now (origins), ms));
  send_to_nodes (origins, nodes, ORIGIN_COPIES, &msg);
  g_array_unref (nodes);
}

const struct origin_stream *
origins_get (const struct origins *origins, const char *id)
{
  return origin_find (origins->origin, id, origins_now (origins));
}

/* Questions to other nodes.  */

void
origins_cancel (struct origins_query *query)
{
  struct origins *origins = query->origins;

  if (origins == NULL)
    return;
  TAILQ_REMOVE (&origins->queries, query, link);
  loop_timer_clear (origins->core->loop, &query->timer);
  g_clear_pointer (&query->stream, g_free);
  query->origins = NULL;
}

static void
finish_query (struct origins_query *query, enum origins_result result,
              const struct origin_stream *stream)
{
  origins_cancel (query);
  query->done (query, result, stream);
}

static void
on_query_timer (struct loop_timer *timer)
{
  struct origins_query *query
      = (struct origins_query *)((char *)timer
                                 - offsetof (struct origins_query, timer));

  finish_query (query, query->open > 0 ? ORIGINS_NO_ANSWER : ORIGINS_UNKNOWN,
                NULL);
}

void
origins_ask (struct origins *origins, struct origins_query *query,
             const char *id,
             void (*done) (struct origins_query *query,
                           enum origins_result result,
                           const struct origin_stream *stream))
{
  struct peer_msg msg = { .type = PEER_ORIGIN_REQUEST, .subject = (char *)id };
  GArray *nodes = linked_nodes (origins, true);

  memset (query, 0, sizeof *query);
  query->origins = origins;
  query->stream = g_strdup (id);
  query->done = done;
  query->timer.fire = on_query_timer;
  TAILQ_INSERT_TAIL (&origins->queries, query, link);
  query->open = send_to_nodes (origins, nodes, ORIGIN_ASKED, &msg);
  loop_timer_set (origins->core->loop, &query->timer,
                  ts_add_ms (origins_now (origins),
                             query->open > 0 ? ORIGINS_TIMEOUT_MS : 0));
  g_array_unref (nodes);
}

/* Applies an answer to the queries for its stream.  DONE may cancel or start
   others, so each search starts over.  */
static void
finish_known (struct origins *origins, const char *id)
{
  const struct origin_stream *stream;
  struct origins_query *query;

  do
    {
      TAILQ_FOREACH (query, &origins->queries, link)
        {
          if (strcmp (query->stream, id) == 0)
            break;
        }
      stream = origins_get (origins, id);
      if (query != NULL && stream != NULL)
        finish_query (query, ORIGINS_KNOWN, stream);
    }
  while (query != NULL && stream != NULL);
}

/* A node does not know stream ID.  The timer reports the last such answer.  */
static void
count_unknown (struct origins *origins, const char *id)
{
  struct origins_query *query;

  TAILQ_FOREACH (query, &origins->queries, link)
    {
      if (strcmp (query->stream, id) != 0 || query->open == 0)
        continue;
      if (--query->open == 0)
        loop_timer_set (origins->core->loop, &query->timer,
                        origins_now (origins));
    }
}

/* Messages of other nodes.  */

static void
receive_stream (struct origins *origins, const struct peer_msg *msg)
{
  int64_t ms = (int64_t)MIN (msg->since, (uint64_t)ORIGINS_TTL_MAX_MS);

  origin_put (origins->origin, msg->subject, msg->name, msg->text,
              ts_add_ms (origins_now (origins), ms));
}

static void
answer_request (struct origins *origins, const char *to, const char *id)
{
  const struct origin_stream *stream = origins_get (origins, id);
  struct peer_msg msg = { .type = PEER_ORIGIN_REPLY, .subject = (char *)id };

  if (stream != NULL)
    {
      msg.name = (char *)stream->service;
      msg.text = (char *)stream->software;
      msg.since = (uint64_t)ts_to_ms (
          ts_sub (stream->expires, origins_now (origins)));
    }
  links_send (origins->links, to, &msg);
}

static void
receive_reply (struct origins *origins, const struct peer_msg *msg)
{
  if (msg->name == NULL || msg->text == NULL)
    {
      count_unknown (origins, msg->subject);
      return;
    }
  receive_stream (origins, msg);
  finish_known (origins, msg->subject);
}

static void
handle_peer_message (struct origins *origins, const struct links_msg *received)
{
  const struct peer_msg *msg = received->msg;

  if (msg->subject == NULL)
    return;
  if (msg->type == PEER_ORIGIN && msg->name != NULL && msg->text != NULL)
    receive_stream (origins, msg);
  else if (msg->type == PEER_ORIGIN_REQUEST)
    answer_request (origins, received->from, msg->subject);
  else if (msg->type == PEER_ORIGIN_REPLY)
    receive_reply (origins, msg);
}

/* The service.  */

static void
origins_event (struct service *service, const struct kernel_event *event)
{
  if (event->type == KERNEL_PEER_MESSAGE)
    handle_peer_message ((struct origins *)service, event->data);
}

static void
on_expire_timer (struct loop_timer *timer)
{
  struct origins *origins
      = (struct origins *)((char *)timer
                           - offsetof (struct origins, expire_timer));
  struct timespec now = origins_now (origins);

  origin_expire (origins->origin, now);
  loop_timer_set (origins->core->loop, timer,
                  ts_add_ms (now, EXPIRE_INTERVAL_MS));
}

static int
origins_start (struct service *service, struct kernel *kernel)
{
  struct origins *origins = (struct origins *)service;

  origins->core = core_find (kernel);
  origins->links = links_find (kernel);
  origins->expire_timer.fire = on_expire_timer;
  loop_timer_set (origins->core->loop, &origins->expire_timer,
                  ts_add_ms (origins_now (origins), EXPIRE_INTERVAL_MS));
  return 0;
}

static void
origins_stop (struct service *service)
{
  struct origins *origins = (struct origins *)service;

  while (!TAILQ_EMPTY (&origins->queries))
    origins_cancel (TAILQ_FIRST (&origins->queries));
  loop_timer_clear (origins->core->loop, &origins->expire_timer);
}

static const struct service_ops ops
    = { origins_start, origins_stop, origins_event };

struct service *
origins_new (void)
{
  struct origins *origins = g_new0 (struct origins, 1);

  origins->service.ops = &ops;
  origins->service.name = ORIGINS_NAME;
  origins->origin = origin_new ();
  TAILQ_INIT (&origins->queries);
  return &origins->service;
}

void
origins_free (struct service *service)
{
  struct origins *origins = (struct origins *)service;

  if (origins == NULL)
    return;
  origin_free (origins->origin);
  g_free (origins);
}

struct origins *
origins_find (struct kernel *kernel)
{
  return (struct origins *)kernel_find (kernel, ORIGINS_NAME);
}

/* flood_fixture - a gate beside two backend servers: one that answers as
   flood_server.h says, and one that answers at once.  */

#ifndef FLOOD_FIXTURE_H
#define FLOOD_FIXTURE_H

#include "flood_server.h"
#include "gate_fixture.h"

#define EVENT(n) "id: " #n "\ndata: x" #n "\n\n"
#define CHOSEN_TIMEOUT_MS 10000 /* until the flooding server is chosen */
#define WARM_REQUESTS 4         /* fill the retry budget */
#define ANSWER_TIMEOUT_MS 8000

/* The other server answers at once.  */
static void
handle_at_server (struct fixture *f, struct httpd_request *request)
{
  const char *last_event_id = httpd_header (request, "Last-Event-Id");

  (void)f;
  if (!g_str_has_prefix (httpd_path (request), "/long/")
      && !g_str_has_prefix (httpd_path (request), "/cut/"))
    {
      answer (request, 200, "hello");
      return;
    }
  if (last_event_id == NULL)
    begin_event_stream (request, EVENT (1) EVENT (2) EVENT (3));
  else if (strcmp (last_event_id, "2") == 0)
    begin_event_stream (request, EVENT (3));
  else
    g_assert_not_reached ();
  httpd_stream_end (request);
}

static void
list_flood_server (struct fixture *f, const struct flood_server *server)
{
  char *text = g_strdup_printf (
      "{\"Service\":\"app\",\"Address\":\"127.0.0.1:%u\",\"Zone\":\"z\","
      "\"Slots\":8,\"State\":\"ready\",\"Sequence\":1}",
      server->port);

  put_row (f, "servers/i-2", text);
  g_free (text);
}

static void
send_request (struct fixture *f, const char *route, const char *name)
{
  static const char *const headers[]
      = { "Parsleyrill-Deadline-Ms: " G_STRINGIFY (ANSWER_TIMEOUT_MS), NULL };
  char *path = g_strdup_printf ("/%s/%s", route, name);

  request_and_wait (f, strcmp (route, "once") == 0 ? "POST" : "GET", path,
                    headers);
  g_free (path);
}

static void
set_up_servers (struct fixture *f, struct flood_server *server)
{
  set_up (f);
  flood_server_start (server);
  wait_until_serving (f);
  for (unsigned i = 0; i < WARM_REQUESTS; i++)
    send_request (f, "safe", "warm");
  list_flood_server (f, server);
}

/* Sends requests until one has reached the flooding server, and returns how
   many had reached the other one before.  The other server's responses have
   BODY.  */
static unsigned
reach_flood (struct fixture *f, struct flood_server *server, const char *route,
             const char *name, const char *body)
{
  struct timespec end = ts_add_ms (loop_now (f->loop), CHOSEN_TIMEOUT_MS);
  unsigned before = 0;

  while (ts_before (loop_now (f->loop), end))
    {
      before = f->at_server;
      send_request (f, route, name);
      if (g_atomic_int_get (&server->requests) > 0)
        break;
      g_assert_cmpint (f->status, ==, 200);
      g_assert_cmpstr (f->received->str, ==, body);
    }
  g_assert_cmpint (g_atomic_int_get (&server->requests), ==, 1);
  return before;
}

#endif

#include <string.h>
#include <unistd.h>
#include "role.h"
#include "ts.h"

#define EXIT_CRASH 70

struct service_role
{
  struct standin standin; /* first */
  struct role_service_options options;
  GHashTable *run_counts;
};

struct delayed_response
{
  struct loop_timer timer; /* first */
  struct standin_call *call;
};

struct standin *
role_service_new (const struct role_service_options *options)
{
  struct service_role *role = g_new0 (struct service_role, 1);

  role->options = *options;
  return &role->standin;
}

static void
send_response (struct loop_timer *timer)
{
  struct standin_call *call = ((struct delayed_response *)timer)->call;
  const struct service_role *role = (struct service_role *)call->standin;
  size_t length;
  const char *body = httpd_body (call->request, &length);
  json_t *echo = json_stringn (body, length);

  standin_respond (call, 200,
                   json_pack ("{s:s,s:s,s:s,s:o}", "service", role->options.id,
                              "method", httpd_method (call->request), "path",
                              httpd_path (call->request), "body",
                              echo != NULL ? echo : json_null ()));
}

static double
response_delay_ms (const struct service_role *role)
{
  const json_t *fault = json_object_get (role->standin.faults, "delay_ms");

  return json_is_number (fault) ? json_number_value (fault)
                                : role->options.delay_ms;
}

static void
crash_if_marked (const struct service_role *role,
                 const struct standin_call *call)
{
  const char *marker = standin_fault_str (&role->standin, "crash_marker");

  if (*marker != '\0'
      && strstr (httpd_body (call->request, NULL), marker) != NULL)
    _exit (EXIT_CRASH);
}

static void
handle_request (struct service_role *role, struct standin_call *call)
{
  struct loop *loop = role->standin.loop;
  struct delayed_response *delayed_response
      = g_new0 (struct delayed_response, 1);
  size_t length;
  const char *text = httpd_body (call->request, &length);
  json_t *body = json_loadb (text, length, 0, NULL);

  standin_count_request (role->run_counts, call, body);
  json_decref (body);
  crash_if_marked (role, call);
  delayed_response->timer.fire = send_response;
  delayed_response->call = call;
  call->role = delayed_response;
  loop_timer_set (loop, &delayed_response->timer,
                  ts_add (loop_now (loop), ts_from_s (response_delay_ms (role)
                                                      / (double)TS_MS_PER_S)));
}

static void
on_request (struct standin *standin, struct standin_call *call)
{
  struct service_role *role = (struct service_role *)standin;

  if (strcmp (httpd_path (call->request), "/ran") == 0)
    standin_respond (call, 200, standin_run_counts_json (role->run_counts));
  else if (json_is_true (json_object_get (standin->faults, "leaving")))
    standin_error (call, 503, "leaving", "instance is shutting down", true);
  else
    handle_request (role, call);
}

static void
on_gone (struct standin *standin, struct standin_call *call)
{
  struct delayed_response *delayed_response = call->role;

  if (delayed_response == NULL)
    return;
  loop_timer_clear (standin->loop, &delayed_response->timer);
  g_free (delayed_response);
}

static int
start (struct standin *standin)
{
  ((struct service_role *)standin)->run_counts = standin_run_counts_new ();
  return 0;
}

static void
stop (struct standin *standin)
{
  g_hash_table_unref (((struct service_role *)standin)->run_counts);
}

const struct standin_ops role_service_ops = { .name = "service",
                                              .start = start,
                                              .stop = stop,
                                              .request = on_request,
                                              .gone = on_gone };

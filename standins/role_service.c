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

struct job
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
answer (struct loop_timer *timer)
{
  struct standin_call *call = ((struct job *)timer)->call;
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
delay_ms (const struct service_role *role)
{
  const json_t *fault = json_object_get (role->standin.faults, "delay_ms");

  return json_is_number (fault) ? json_number_value (fault)
                                : role->options.delay_ms;
}

static void
maybe_crash (const struct service_role *role, const struct standin_call *call)
{
  const char *marker = standin_fault_str (&role->standin, "crash_marker");

  if (*marker != '\0'
      && strstr (httpd_body (call->request, NULL), marker) != NULL)
    _exit (EXIT_CRASH);
}

static void
run (struct service_role *role, struct standin_call *call)
{
  struct loop *loop = role->standin.loop;
  struct job *job = g_new0 (struct job, 1);
  size_t length;
  const char *text = httpd_body (call->request, &length);
  json_t *body = json_loadb (text, length, 0, NULL);

  standin_count_request (role->run_counts, call, body);
  json_decref (body);
  maybe_crash (role, call);
  job->timer.fire = answer;
  job->call = call;
  call->role = job;
  loop_timer_set (loop, &job->timer,
                  ts_add (loop_now (loop),
                          ts_from_s (delay_ms (role) / (double)TS_MS_PER_S)));
}

static void
on_request (struct standin *standin, struct standin_call *call)
{
  struct service_role *role = (struct service_role *)standin;

  if (strcmp (httpd_path (call->request), "/ran") == 0)
    standin_respond (call, 200, standin_run_counts_json (role->run_counts));
  else if (json_is_true (json_object_get (standin->faults, "leaving")))
    standin_error (call, 503, "leaving", "instance is leaving", true);
  else
    run (role, call);
}

static void
on_gone (struct standin *standin, struct standin_call *call)
{
  struct job *job = call->role;

  if (job == NULL)
    return;
  loop_timer_clear (standin->loop, &job->timer);
  g_free (job);
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

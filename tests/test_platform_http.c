#include <string.h>
#include <glib.h>
#include "../standins/role.h"
#include "clk.h"
#include "platform_http.h"

#define SHORT_TIMEOUT_MS 50          /* for calls that must fail */
#define CLOSED_ADDRESS "127.0.0.1:1" /* nothing listens there */

struct fixture
{
  struct loop *loop;
  struct standin *standin;
  struct httpc *httpc;
  struct platform *platform;
  int done;
  enum platform_status status;
  uint64_t version;
  char *value;
  char *token;
  size_t count;
};

static void
set_up_at (struct fixture *f, const char *address, int64_t timeout_ms)
{
  struct role_platform_options role = { .load_knee = 4, .adapter_knee = 30 };
  struct httpc_options client = { 0 };
  struct platform_http_options options = { .timeout_ms = timeout_ms };
  char *own;

  memset (f, 0, sizeof *f);
  f->loop = loop_new (clk_monotonic ());
  f->standin = role_platform_new (&role);
  g_assert_cmpint (
      standin_start (f->standin, &role_platform_ops, f->loop, "127.0.0.1", 0),
      ==, 0);
  client.loop = f->loop;
  f->httpc = httpc_new (&client);
  own = g_strdup_printf ("127.0.0.1:%u", httpd_port (f->standin->httpd));
  options.httpc = f->httpc;
  options.address = address != NULL ? address : own;
  f->platform = platform_http_new (&options);
  g_free (own);
}

static void
set_up (struct fixture *f)
{
  set_up_at (f, NULL, 0);
}

static void
tear_down (struct fixture *f)
{
  platform_http_free (f->platform);
  httpc_free (f->httpc);
  standin_stop (f->standin);
  g_free (f->standin);
  loop_free (f->loop);
  g_free (f->value);
  g_free (f->token);
}

static void
set_fault (struct fixture *f, const char *name, json_t *value)
{
  json_object_set_new (f->standin->faults, name, value);
}

static void
on_rows (void *user, enum platform_status status,
         const struct platform_rows *rows)
{
  struct fixture *f = user;

  f->done++;
  f->status = status;
  f->count = rows->count;
  if (rows->count == 0)
    return;
  f->version = rows->rows[0].version;
  g_free (f->value);
  f->value = g_strdup (rows->rows[0].value);
  g_free (f->token);
  f->token = g_strdup (rows->rows[0].token);
}

static void
on_object (void *user, enum platform_status status, const void *bytes,
           size_t length)
{
  struct fixture *f = user;

  f->done++;
  f->status = status;
  g_free (f->value);
  f->value = g_strndup (bytes, length);
}

static void
on_instances (void *user, enum platform_status status,
              const struct platform_instances *list)
{
  struct fixture *f = user;

  f->done++;
  f->status = status;
  f->count = list->count;
  if (list->count == 0)
    return;
  g_free (f->value);
  f->value = g_strdup (list->instances[0].address);
  f->version = list->instances[0].leaving;
}

static void
wait_done (struct fixture *f)
{
  int before = f->done;

  while (f->done == before)
    loop_run_once (f->loop, -1);
}

static enum platform_status
txn (struct fixture *f, const char *token, uint64_t version, const char *value)
{
  struct platform_check check = { "k\"/1", version };
  struct platform_write write = { "k\"/1", value };
  struct platform_txn t = { token, &check, 1, &write, 1 };

  f->platform->ops->txn (f->platform, &t,
                         (struct platform_txn_cb){ on_rows, f });
  wait_done (f);
  return f->status;
}

static enum platform_status
scan (struct fixture *f, const char *prefix)
{
  f->platform->ops->scan (f->platform, prefix, 10,
                          (struct platform_rows_cb){ on_rows, f });
  wait_done (f);
  return f->status;
}

static void
test_txn (void)
{
  struct fixture f;

  set_up (&f);
  g_assert_cmpint (txn (&f, "t1", 0, "{\"n\":1}"), ==, PLATFORM_OK);
  g_assert_cmpint (txn (&f, "t1", 0, "{\"n\":1}"), ==, PLATFORM_OK);
  g_assert_cmpint (txn (&f, "t2", 0, "{\"n\":2}"), ==, PLATFORM_CONFLICT);
  g_assert_cmpuint (f.version, ==, 1);
  g_assert_cmpstr (f.value, ==, "{\"n\":1}");
  g_assert_cmpstr (f.token, ==, "t1");
  g_assert_cmpint (txn (&f, "t3", 1, "[3]"), ==, PLATFORM_OK);
  g_assert_cmpint (scan (&f, "k\""), ==, PLATFORM_OK);
  g_assert_cmpuint (f.count, ==, 1);
  g_assert_cmpuint (f.version, ==, 2);
  g_assert_cmpstr (f.value, ==, "[3]");
  g_assert_cmpint (txn (&f, "t4", 2, NULL), ==, PLATFORM_OK);
  g_assert_cmpint (scan (&f, ""), ==, PLATFORM_OK);
  g_assert_cmpuint (f.count, ==, 0);
  g_assert_cmpint (txn (&f, "t5", 0, "no json"), ==, PLATFORM_REFUSED);
  tear_down (&f);
}

static void
test_lost_answer (void)
{
  struct fixture f;

  set_up (&f);
  set_fault (&f, "lose_answers", json_integer (1));
  g_assert_cmpint (txn (&f, "t1", 0, "1"), ==, PLATFORM_UNKNOWN);
  g_assert_cmpint (scan (&f, "k"), ==, PLATFORM_OK);
  g_assert_cmpstr (f.token, ==, "t1");
  tear_down (&f);
}

/* A read whose response is lost is retried once, but not twice.  */
static void
test_lost_read (void)
{
  struct fixture f;

  set_up (&f);
  set_fault (&f, "lose_answers", json_integer (1));
  g_assert_cmpint (scan (&f, "k"), ==, PLATFORM_OK);
  set_fault (&f, "lose_answers", json_integer (2));
  g_assert_cmpint (scan (&f, "k"), ==, PLATFORM_UNKNOWN);
  g_assert_cmpint (scan (&f, "k"), ==, PLATFORM_OK);
  tear_down (&f);
}

static void
test_hang (void)
{
  struct fixture f;

  set_up_at (&f, NULL, SHORT_TIMEOUT_MS);
  set_fault (&f, "outage", json_string ("hang"));
  g_assert_cmpint (txn (&f, "t1", 0, "1"), ==, PLATFORM_UNKNOWN);
  set_fault (&f, "outage", json_string (""));
  g_assert_cmpint (txn (&f, "t2", 0, "1"), ==, PLATFORM_OK);
  tear_down (&f);
}

static void
test_refused (void)
{
  struct fixture f;

  set_up (&f);
  set_fault (&f, "outage", json_string ("refuse"));
  g_assert_cmpint (txn (&f, "t1", 0, "1"), ==, PLATFORM_REFUSED);
  tear_down (&f);
  set_up_at (&f, CLOSED_ADDRESS, 0);
  g_assert_cmpint (txn (&f, "t1", 0, "1"), ==, PLATFORM_REFUSED);
  tear_down (&f);
}

static void
test_freed (void)
{
  struct fixture f;
  struct platform_check check = { "k", 0 };
  struct platform_txn t = { "t1", &check, 1, NULL, 0 };

  set_up (&f);
  set_fault (&f, "outage", json_string ("hang"));
  f.platform->ops->txn (f.platform, &t,
                        (struct platform_txn_cb){ on_rows, &f });
  tear_down (&f);
  g_assert_cmpint (f.done, ==, 1);
  g_assert_cmpint (f.status, ==, PLATFORM_REFUSED);
}

static void
test_objects (void)
{
  struct fixture f;
  struct platform_object_cb cb = { on_object, &f };

  set_up (&f);
  f.platform->ops->object_get (f.platform, "a b/c?d", cb);
  wait_done (&f);
  g_assert_cmpint (f.status, ==, PLATFORM_NOT_FOUND);
  f.platform->ops->object_put (f.platform, "a b/c?d", "hello", 5, cb);
  wait_done (&f);
  g_assert_cmpint (f.status, ==, PLATFORM_OK);
  f.platform->ops->object_get (f.platform, "a b/c?d", cb);
  wait_done (&f);
  g_assert_cmpstr (f.value, ==, "hello");
  f.platform->ops->object_delete (f.platform, "a b/c?d", cb);
  wait_done (&f);
  f.platform->ops->object_get (f.platform, "a b/c?d", cb);
  wait_done (&f);
  g_assert_cmpint (f.status, ==, PLATFORM_NOT_FOUND);
  tear_down (&f);
}

static void
test_instances (void)
{
  static const char list[]
      = "{\"instances\":[7,{\"id\":\"e0\",\"address\":\"10.0.0.1:80080\"},"
        "{\"address\":\"10.0.0.1:80\"},{\"id\":\"e1\",\"address\":\"10.0.0.1:"
        "80\","
        "\"pool\":\"p\",\"leaving\":true}]}";
  struct fixture f;
  struct httpc_request request = { .body = list, .length = sizeof list - 1 };
  char *url;

  set_up (&f);
  url = g_strdup_printf ("http://127.0.0.1:%u/instances",
                         httpd_port (f.standin->httpd));
  request.url = url;
  httpc_start (f.httpc, &request);
  g_free (url);
  for (f.count = 0; f.count == 0;)
    {
      f.platform->ops->instances (
          f.platform, (struct platform_instances_cb){ on_instances, &f });
      wait_done (&f);
      g_assert_cmpint (f.status, ==, PLATFORM_OK);
    }
  g_assert_cmpstr (f.value, ==, "10.0.0.1:80");
  g_assert_cmpuint (f.version, ==, 1);
  tear_down (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/platform_http/txn", test_txn);
  g_test_add_func ("/platform_http/lost_answer", test_lost_answer);
  g_test_add_func ("/platform_http/lost_read", test_lost_read);
  g_test_add_func ("/platform_http/hang", test_hang);
  g_test_add_func ("/platform_http/refused", test_refused);
  g_test_add_func ("/platform_http/freed", test_freed);
  g_test_add_func ("/platform_http/objects", test_objects);
  g_test_add_func ("/platform_http/instances", test_instances);
  return g_test_run ();
}

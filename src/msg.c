#include "msg.h"

#include <glib.h>

struct msg *
msg_new (enum msg_type type)
{
  struct msg *msg = g_new0 (struct msg, 1);

  msg->type = type;
  return msg;
}

void
msg_free (void *message)
{
  struct msg *msg = message;

  if (msg == NULL)
    return;
  g_free (msg->target);
  g_free (msg->engine);
  g_free (msg->key);
  g_free (msg->content_type);
  g_free (msg->method);
  g_free (msg->path);
  g_free (msg->body);
  g_free (msg);
}

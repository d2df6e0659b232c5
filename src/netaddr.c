#include "netaddr.h"

#include <arpa/inet.h>
#include <string.h>
#include <glib.h>

bool
netaddr_is_port (const char *text)
{
  guint64 port;

  return g_ascii_string_to_unsigned (text, 10, 1, G_MAXUINT16, &port, NULL);
}

bool
netaddr_is_server (const char *text)
{
  const char *colon = strchr (text, ':');
  struct in_addr address;
  char *host;
  bool valid;

  if (colon == NULL || !netaddr_is_port (colon + 1))
    return false;
  host = g_strndup (text, (gsize)(colon - text));
  valid = inet_pton (AF_INET, host, &address) == 1;
  g_free (host);
  return valid;
}

#include <arpa/inet.h>
#include <netinet/in.h>
#include "httpd_state.h"

const char *
httpd_method (const struct httpd_request *request)
{
  return request->method;
}

const char *
httpd_path (const struct httpd_request *request)
{
  return request->path;
}

const char *
httpd_uri (const struct httpd_request *request)
{
  return request->uri;
}

const char *
httpd_query (const struct httpd_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection,
                                      MHD_GET_ARGUMENT_KIND, name);
}

const char *
httpd_header (const struct httpd_request *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND,
                                      name);
}

struct header_counter
{
  const char *name;
  unsigned count;
};

static enum MHD_Result
count_header (void *cls, enum MHD_ValueKind kind, const char *name,
              const char *value)
{
  struct header_counter *counter = cls;

  (void)kind;
  (void)value;
  counter->count += g_ascii_strcasecmp (name, counter->name) == 0;
  return MHD_YES;
}

unsigned
httpd_header_count (const struct httpd_request *request, const char *name)
{
  struct header_counter counter = { .name = name };

  MHD_get_connection_values (request->connection, MHD_HEADER_KIND,
                             count_header, &counter);
  return counter.count;
}

struct header_visitor
{
  void (*visit) (void *user, const char *name, const char *value);
  void *user;
};

static enum MHD_Result
visit_header (void *cls, enum MHD_ValueKind kind, const char *name,
              const char *value)
{
  const struct header_visitor *visitor = cls;

  (void)kind;
  visitor->visit (visitor->user, name, value != NULL ? value : "");
  return MHD_YES;
}

void
httpd_each_header (const struct httpd_request *request,
                   void (*visit) (void *user, const char *name,
                                  const char *value),
                   void *user)
{
  struct header_visitor visitor = { visit, user };

  MHD_get_connection_values (request->connection, MHD_HEADER_KIND,
                             visit_header, &visitor);
}

const char *
httpd_body (const struct httpd_request *request, size_t *length)
{
  if (length != NULL)
    *length = request->body->len;
  return request->body->str;
}

bool
httpd_body_dropped (const struct httpd_request *request)
{
  return request->unwanted;
}

void
httpd_set_user (struct httpd_request *request, void *user)
{
  request->user = user;
}

void *
httpd_get_user (const struct httpd_request *request)
{
  return request->user;
}

uint16_t
httpd_peer_port (const struct httpd_request *request)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      request->connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);

  if (info == NULL || info->client_addr->sa_family != AF_INET)
    return 0;
  return ntohs (((const struct sockaddr_in *)info->client_addr)->sin_port);
}

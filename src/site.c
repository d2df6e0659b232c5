#include "site.h"

#include <string.h>

static void
model_clear (struct site_model *model)
{
  g_free (model->name);
}

static void
service_clear (gpointer data)
{
  struct site_service *service = data;

  for (size_t i = 0; i < service->model_count; i++)
    model_clear (&service->models[i]);
  g_free (service->models);
  g_free (service->name);
}

static void
route_clear (gpointer data)
{
  struct site_route *route = data;

  for (size_t i = 0; i < route->split_count; i++)
    g_free (route->splits[i].service);
  g_free (route->splits);
  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
}

static void
customer_clear (gpointer data)
{
  struct site_customer *customer = data;

  g_free (customer->name);
  g_strfreev (customer->keys);
}

static void
free_routes (gpointer routes)
{
  g_ptr_array_unref (routes);
}

struct site *
site_new (void)
{
  struct site *site = g_new0 (struct site, 1);

  site->refs = 1;
  site->routes = g_array_new (FALSE, TRUE, sizeof (struct site_route));
  site->services = g_array_new (FALSE, TRUE, sizeof (struct site_service));
  g_array_set_clear_func (site->routes, route_clear);
  site->customers = g_array_new (FALSE, TRUE, sizeof (struct site_customer));
  g_array_set_clear_func (site->services, service_clear);
  g_array_set_clear_func (site->customers, customer_clear);
  site->hosts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_routes);
  return site;
}

struct site *
site_ref (struct site *site)
{
  site->refs++;
  return site;
}

void
site_unref (struct site *site)
{
  if (site == NULL || --site->refs > 0)
    return;
  g_hash_table_unref (site->hosts);
  g_array_unref (site->routes);
  g_array_unref (site->services);
  g_array_unref (site->customers);
  g_free (site);
}

static gint
longest_first (gconstpointer a, gconstpointer b)
{
  const struct site_route *x = *(const struct site_route *const *)a;
  const struct site_route *y = *(const struct site_route *const *)b;
  size_t m = strlen (x->prefix);
  size_t n = strlen (y->prefix);

  return (m < n) - (m > n);
}

void
site_index (struct site *site)
{
  GHashTableIter iter;
  GPtrArray *routes;

  for (guint i = 0; i < site->routes->len; i++)
    {
      struct site_route *route
          = &g_array_index (site->routes, struct site_route, i);
      char *host = g_ascii_strdown (route->host, -1);

      routes = g_hash_table_lookup (site->hosts, host);
      if (routes == NULL)
        {
          routes = g_ptr_array_new ();
          g_hash_table_insert (site->hosts, g_strdup (host), routes);
        }
      g_ptr_array_add (routes, route);
      g_free (host);
    }
  g_hash_table_iter_init (&iter, site->hosts);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&routes))
    g_ptr_array_sort (routes, longest_first);
}

const struct site_route *
site_route (const struct site *site, const char *host, const char *path)
{
  char *name = g_ascii_strdown (host, (gssize)strcspn (host, ":"));
  const GPtrArray *routes = g_hash_table_lookup (site->hosts, name);

  g_free (name);
  for (guint i = 0; routes != NULL && i < routes->len; i++)
    {
      const struct site_route *route = g_ptr_array_index (routes, i);

      if (g_str_has_prefix (path, route->prefix))
        return route;
    }
  return NULL;
}

const struct site_service *
site_service (const struct site *site, const char *name)
{
  for (guint i = 0; i < site->services->len; i++)
    {
      const struct site_service *service
          = &g_array_index (site->services, struct site_service, i);

      if (g_strcmp0 (service->name, name) == 0)
        return service;
    }
  return NULL;
}

const struct site_model *
site_model (const struct site_service *service, const char *name)
{
  for (size_t i = 0; i < service->model_count; i++)
    if (strcmp (service->models[i].name, name) == 0)
      return &service->models[i];
  return NULL;
}

const char *
site_split (const struct site_route *route, uint64_t hash)
{
  uint64_t total = 0;
  uint64_t point;

  for (size_t i = 0; i < route->split_count; i++)
    total += route->splits[i].weight;
  if (total == 0)
    return NULL;
  point = hash % total;
  for (size_t i = 0; i < route->split_count; i++)
    {
      if (point < route->splits[i].weight)
        return route->splits[i].service;
      point -= route->splits[i].weight;
    }
  return NULL;
}

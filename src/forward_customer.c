#include <errno.h>
#include <sys/random.h>
#include "counter.h"
#include "forward_state.h"
#include "keyring.h"

/* Time for a newer configuration to arrive.  */
#define KEY_RETRY_MS 500

void
gateway_keys_start (struct gateway *gateway)
{
  uint64_t *seed = &gateway->key_seed;

  if (getrandom (seed, sizeof *seed, 0) != (ssize_t)sizeof *seed)
    *seed = (uint64_t)g_rand_int (gateway->core->rand) << 32
            | g_rand_int (gateway->core->rand);
}

void
gateway_keys_stop (struct gateway *gateway)
{
  keyring_free (gateway->keyring);
  gateway->keyring = NULL;
  site_unref (gateway->keyring_site);
  gateway->keyring_site = NULL;
}

/* Of SITE, built when a configuration is first used.  */
static const struct keyring *
keyring_of (struct gateway *gateway, struct site *site)
{
  if (gateway->keyring_site == site)
    return gateway->keyring;
  gateway_keys_stop (gateway);
  gateway->keyring_site = site_ref (site);
  gateway->keyring = keyring_new (site->customers, gateway->key_seed);
  return gateway->keyring;
}

/* Sets *CUSTOMER and returns NULL, or returns why KEY identifies none.  */
static const char *
find_customer (struct gateway *gateway, struct site *site,
               const struct caller_key *key,
               const struct site_customer **customer)
{
  *customer = NULL;
  switch (key->state)
    {
    case CALLER_KEY_NONE:
      return "no key";
    case CALLER_KEY_MALFORMED:
      return "malformed key";
    case CALLER_KEY_REPEATED:
      return "more than one key";
    case CALLER_KEY_GIVEN:
      break;
    }
  *customer = keyring_find (keyring_of (gateway, site), key->text);
  return *customer != NULL ? NULL : "unknown key";
}

/* The same, of the key that REQUEST has.  */
static const char *
identify (struct gateway *gateway, struct site *site,
          const struct httpd_request *request,
          const struct site_customer **customer)
{
  const struct caller *caller = gateway->options.caller;
  struct caller_key key;
  const char *why;

  caller->ops->read_key (caller, request, &key);
  why = find_customer (gateway, site, &key, customer);
  caller_key_clear (&key);
  return why;
}

static bool
is_current (const struct gateway *gateway)
{
  return listing_config_is_current (gateway->listing,
                                    gateway->options.config_ms);
}

/* The same fields as for an unknown route: which version of the configuration
   the key was judged by, and how old that was.  */
static void
log_rejected (const struct forward *forward, const char *why)
{
  const struct listing *listing = forward->gateway->listing;
  struct log_line line;

  log_begin (&line, EVENT_KEY_REJECTED);
  log_str (&line, "request", forward->parsed.id);
  log_str (&line, "route", forward->route->name);
  log_str (&line, "why", why);
  log_int (&line, "version", (int64_t)forward->site->version);
  log_int (&line, "current", is_current (forward->gateway));
  log_int (&line, "in_force_ms", listing_config_in_force_ms (listing));
  log_int (&line, "read_ms", listing_config_read_ms (listing));
  log_int (&line, "told_ms", listing_peer_config_age_ms (listing));
  log_end (&line);
}

bool
forward_reject_key (struct forward *forward)
{
  const char *why;

  if (!forward->site->keys_required)
    return false;
  why = identify (forward->gateway, forward->site, forward->request,
                  &forward->customer);
  if (why == NULL || forward->route->is_public)
    return false;
  counter_add (COUNTER_KEYS_REJECTED, 1);
  log_rejected (forward, why);
  if (is_current (forward->gateway))
    forward_refuse (forward, 401, why, 0);
  else
    forward_refuse (forward, 503, why, KEY_RETRY_MS);
  return true;
}

bool
forward_key_fault (struct gateway *gateway,
                   const struct httpd_request *request)
{
  struct site *site = listing_site (gateway->listing);
  const struct site_customer *customer;
  const struct site_route *route;

  if (site == NULL || !site->keys_required)
    return false;
  route = forward_find_route (site, request);
  return route != NULL && !route->is_public
         && identify (gateway, site, request, &customer) != NULL;
}

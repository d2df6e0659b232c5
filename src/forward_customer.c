#include <errno.h>
#include <sys/random.h>
#include "counter.h"
#include "forward_state.h"
#include "keyring.h"
#include "usage.h"

/* Time for a newer configuration to arrive.  */
#define KEY_RETRY_MS 500
/* Larger counts, which callers may claim, are cut to this.  */
#define TOKENS_MAX (UINT64_C (1) << 40)

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

/* The key may have been removed.  */
static bool
is_outdated (const struct gateway *gateway)
{
  return listing_config_is_outdated (gateway->listing,
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

/* The customer that the node which passed the request on has proven to have
   found by the same version of the configuration; NULL: none.  */
static const struct site_customer *
proven_customer (struct gateway *gateway, struct site *site,
                 const struct relay_note *note, const char *id)
{
  if (note->config != site->version
      || !relay_is_proven (note, id, gateway->core->settings->peer_token))
    return NULL;
  return keyring_named (keyring_of (gateway, site), note->customer);
}

/* Counted by the node that got the request from its caller; NULL: not by this
   one, or the request has no customer.  */
static struct usage_counts *
counts_of (const struct forward *forward)
{
  if (forward->customer == NULL || forward->customer_proven)
    return NULL;
  return usage_of (forward->gateway->usage, forward->customer->name);
}

bool
forward_reject_key (struct forward *forward)
{
  struct gateway *gateway = forward->gateway;
  const char *why;

  if (!forward->site->keys_required)
    return false;
  forward->customer = proven_customer (
      gateway, forward->site, &forward->origin_note, forward->parsed.id);
  forward->customer_proven = forward->customer != NULL;
  if (forward->customer_proven)
    return false;
  why = identify (gateway, forward->site, forward->request,
                  &forward->customer);
  if (forward->customer != NULL)
    counts_of (forward)->requests++;
  if (why == NULL && is_outdated (gateway))
    why = "the key may have been removed";
  if (why == NULL || forward->route->is_public)
    return false;
  counter_add (COUNTER_KEYS_REJECTED, 1);
  log_rejected (forward, why);
  if (is_current (gateway))
    forward_refuse (forward, 401, why, 0);
  else
    forward_refuse (forward, 503, why, KEY_RETRY_MS);
  return true;
}

uint64_t
forward_amount (const struct forward *forward)
{
  const struct caller_request *parsed = &forward->parsed;

  if (!forward->customer->by_tokens)
    return 1;
  if (!parsed->has_tokens)
    return forward->customer->plain_tokens;
  return MIN (parsed->prompt_tokens, TOKENS_MAX)
         + MIN (parsed->answer_tokens, TOKENS_MAX);
}

void
forward_note_sent (struct forward *forward)
{
  struct usage_counts *counts = counts_of (forward);

  if (counts != NULL && !forward->customer_sent)
    counts->tokens += MIN (forward->parsed.prompt_tokens, TOKENS_MAX)
                      + MIN (forward->parsed.answer_tokens, TOKENS_MAX);
  if (!forward->customer_sent)
    forward_fair_sent (forward);
  forward->customer_sent = true;
}

void
forward_note_refused (struct forward *forward)
{
  struct usage_counts *counts = counts_of (forward);

  if (counts != NULL)
    counts->refused++;
  if (!forward->customer_sent)
    forward_fair_refused (forward);
}

/* Whether another node has proven the customer of REQUEST.  */
static bool
is_proven (struct gateway *gateway, struct site *site,
           const struct httpd_request *request)
{
  const struct caller *caller = gateway->options.caller;
  const char *text = httpd_header (request, CALLER_RELAY_HEADER);
  struct caller_request parsed = { 0 };
  struct relay_note note;
  const char *why;
  bool proven;

  if (text == NULL)
    return false;
  relay_parse (text, &note);
  proven = caller->ops->read (caller, request, &parsed, &why) == 0
           && proven_customer (gateway, site, &note, parsed.id) != NULL;
  caller_request_clear (&parsed);
  relay_clear (&note);
  return proven;
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
         && identify (gateway, site, request, &customer) != NULL
         && !is_proven (gateway, site, request);
}

#include "member.h"

#include <math.h>
#include <string.h>
#include "gossip.h"
#include "memberset.h"
#include "ts.h"

#define PROBE_INTERVAL_MS 500
#define PROBE_TIMEOUT_MS 200
#define SUSPICION_TIMEOUT_MS 2000
#define DEAD_RETENTION_MS 60000 /* until a dead node is forgotten */
#define ISOLATION_MS 2000 /* without a message: then this node is isolated */
#define INDIRECT_PROBES 3 /* nodes asked to probe a peer for this one */
#define GOSSIP_REPEAT 3   /* a change is sent this often * log2 (members) */
#define DEAD_PROBE_PERIOD 10 /* one probe in this many goes to a dead node */

struct probe
{
  bool pending;
  bool indirect_sent;
  char *target;
  uint64_t number;
  struct timespec sent_at;
};

/* A probe sent on behalf of another node.  */
struct indirect_probe
{
  uint64_t number;           /* of the probe sent */
  uint64_t requested_number; /* in the request */
  char *requester;
  char *subject;
  struct timespec sent_at;
};

struct member
{
  struct memberset set;
  GPtrArray *indirect_probes; /* struct indirect_probe */
  struct timespec interval;
  struct timespec timeout;
  struct timespec suspicion;
  GRand *rand;
  struct probe probe;
  uint64_t last_number;
  unsigned probe_index; /* of the member probed last */
  unsigned probe_count;
  struct timespec next_tick;
  struct timespec last_tick;
  struct timespec received_at; /* last message from any peer */
};

static void
indirect_probe_free (void *data)
{
  struct indirect_probe *indirect = data;

  g_free (indirect->requester);
  g_free (indirect->subject);
  g_free (indirect);
}

struct member *
member_new (const struct member_options *options)
{
  struct member *member = g_new0 (struct member, 1);

  memberset_init (&member->set);
  member->indirect_probes
      = g_ptr_array_new_with_free_func (indirect_probe_free);
  member->interval = ts_or_ms (options->interval, PROBE_INTERVAL_MS);
  member->timeout = ts_or_ms (options->timeout, PROBE_TIMEOUT_MS);
  member->suspicion = ts_or_ms (options->suspicion, SUSPICION_TIMEOUT_MS);
  member->rand = options->rand;
  member->set.self = memberset_add (&member->set, &options->self);
  member->set.self->info.state = MEMBER_LIVE;
  return member;
}

void
member_free (struct member *member)
{
  if (member == NULL)
    return;
  g_free (member->probe.target);
  g_ptr_array_unref (member->indirect_probes);
  memberset_clear (&member->set);
  g_free (member);
}

static void
action_release (struct action *action)
{
  struct member_action *member_action = (struct member_action *)action;

  g_free (member_action->to);
  g_free (member_action->subject);
  member_info_clear (&member_action->info);
  for (size_t i = 0; i < member_action->gossip_count; i++)
    member_info_clear (&member_action->gossip[i]);
}

static struct member_action *
push_to (struct member *member, enum member_action_type type, const char *to,
         uint64_t number, struct action_list *out)
{
  struct member_action *action = action_push (out, sizeof *action, type);

  action->action.release = action_release;
  action->to = g_strdup (to);
  action->number = number;
  gossip_fill (&member->set, member->rand, action);
  return action;
}

/* Reports a change of NODE to the caller and queues it for gossip.  */
static void
report_change (struct member *member, struct member_node *node,
               struct action_list *out)
{
  struct member_action *action
      = action_push (out, sizeof *action, MEMBER_CHANGED);

  action->action.release = action_release;
  member_info_copy (&action->info, &node->info);
  node->gossip_remaining
      = GOSSIP_REPEAT
        * (unsigned)ceil (log2 ((double)member->set.nodes->len + 1));
}

static void
suspect (struct member *member, struct member_node *node, struct timespec now,
         struct action_list *out)
{
  if (node->suspected || node->info.state == MEMBER_DEAD)
    return;
  node->suspected = true;
  node->deadline = ts_add (now, member->suspicion);
  if (node->info.state != MEMBER_LIVE)
    return;
  node->info.state = MEMBER_SUSPECT;
  report_change (member, node, out);
}

static void
declare_dead (struct member *member, struct member_node *node,
              struct timespec now, struct action_list *out)
{
  node->suspected = false;
  node->info.state = MEMBER_DEAD;
  node->dead_at = now;
  report_change (member, node, out);
}

static bool
receives_no_messages (const struct member *member, struct timespec now)
{
  return !ts_before (now, ts_add_ms (member->received_at, ISOLATION_MS));
}

bool
member_all_alive (const struct member *member)
{
  size_t count;
  const struct member_info *const *infos = member_list (member, &count);

  for (size_t i = 0; i < count; i++)
    if (infos[i]->state == MEMBER_DEAD)
      return false;
  return count > 1;
}

bool
member_isolated (const struct member *member)
{
  return member->set.nodes->len > 1
         && receives_no_messages (member, member->last_tick);
}

/* Extends the suspicion timeouts after a pause of this node, and while it is
   isolated.  */
static void
extend_suspicions (struct member *member, struct timespec now)
{
  struct timespec gap = ts_sub (now, member->last_tick);
  bool paused = ts_cmp (gap, ts_add (member->interval, member->interval)) > 0;

  if (paused)
    {
      member->probe.pending = false;
      member->received_at = ts_add (member->received_at, gap);
    }
  if (!paused && !receives_no_messages (member, now))
    return;
  for (guint i = 0; i < member->set.nodes->len; i++)
    if (memberset_at (&member->set, i)->suspected)
      memberset_at (&member->set, i)->deadline
          = ts_add (memberset_at (&member->set, i)->deadline, gap);
}

static void
expire_suspicions (struct member *member, struct timespec now,
                   struct action_list *out)
{
  for (guint i = member->set.nodes->len; i-- > 0;)
    {
      struct member_node *node = memberset_at (&member->set, i);

      if (node->suspected && !ts_before (now, node->deadline))
        declare_dead (member, node, now, out);
      else if (node->info.state == MEMBER_DEAD && !node->listed
               && ts_before (ts_add_ms (node->dead_at, DEAD_RETENTION_MS),
                             now))
        memberset_remove (&member->set, i);
    }
}

static void
send_probe_requests (struct member *member, const char *target,
                     uint64_t number, struct action_list *out)
{
  unsigned sent = 0;

  for (unsigned i = 0; i < 4 * INDIRECT_PROBES && sent < INDIRECT_PROBES; i++)
    {
      const struct member_node *node
          = memberset_random (&member->set, member->rand);

      if (node == member->set.self || node->info.state == MEMBER_DEAD
          || strcmp (node->info.id, target) == 0)
        continue;
      push_to (member, MEMBER_PROBE_REQUEST, node->info.id, number, out)
          ->subject
          = g_strdup (target);
      sent++;
    }
}

static void
begin_probe (struct member *member, const struct member_node *node,
             struct timespec now, struct action_list *out)
{
  struct probe *probe = &member->probe;

  g_free (probe->target);
  probe->target = g_strdup (node->info.id);
  probe->pending = true;
  probe->indirect_sent = false;
  probe->number = ++member->last_number;
  probe->sent_at = now;
  push_to (member, MEMBER_PROBE, probe->target, probe->number, out);
}

static bool
is_probe_candidate (const struct member *member,
                    const struct member_node *node, bool dead)
{
  return node != member->set.self && (node->info.state == MEMBER_DEAD) == dead;
}

/* Round robin, so that every node is probed in bounded time.  It starts at a
   random member, so that not all nodes probe the same one.  */
static const struct member_node *
next_probe_target (struct member *member)
{
  guint count = member->set.nodes->len;
  bool dead = ++member->probe_count % DEAD_PROBE_PERIOD == 0;

  for (guint i = 0; i < count; i++)
    {
      const struct member_node *node;

      member->probe_index = (member->probe_index % count + 1) % count;
      node = memberset_at (&member->set, member->probe_index);
      if (is_probe_candidate (member, node, dead))
        return node;
    }
  return NULL;
}

static void
check_probe (struct member *member, struct timespec now,
             struct action_list *out)
{
  struct probe *probe = &member->probe;
  struct member_node *node = memberset_find (&member->set, probe->target);

  if (node == NULL)
    probe->pending = false;
  else if (!ts_before (now, ts_add (probe->sent_at, member->interval)))
    {
      probe->pending = false;
      suspect (member, node, now, out);
    }
  else if (!probe->indirect_sent
           && !ts_before (now, ts_add (probe->sent_at, member->timeout)))
    {
      probe->indirect_sent = true;
      send_probe_requests (member, probe->target, probe->number, out);
    }
}

static void
expire_indirect_probes (struct member *member, struct timespec now)
{
  for (guint i = member->indirect_probes->len; i-- > 0;)
    {
      const struct indirect_probe *indirect
          = g_ptr_array_index (member->indirect_probes, i);

      if (ts_before (ts_add (indirect->sent_at, member->suspicion), now))
        g_ptr_array_remove_index (member->indirect_probes, i);
    }
}

void
member_tick (struct member *member, struct timespec now,
             struct action_list *out)
{
  const struct member_node *target;

  if (ts_before (now, member->next_tick))
    return;
  if (ts_is_zero (member->last_tick))
    {
      member->last_tick = now;
      member->received_at = now;
      member->probe_index = g_rand_int (member->rand);
    }
  extend_suspicions (member, now);
  member->last_tick = now;
  if (member->probe.pending)
    check_probe (member, now, out);
  if (!member->probe.pending && (target = next_probe_target (member)) != NULL)
    begin_probe (member, target, now, out);
  expire_suspicions (member, now, out);
  expire_indirect_probes (member, now);
  member->next_tick
      = ts_add (now, member->probe.pending && !member->probe.indirect_sent
                         ? member->timeout
                         : ts_sub (member->interval, member->timeout));
}

struct timespec
member_next_tick (const struct member *member)
{
  return member->next_tick;
}

/* Another node considers this one suspect or dead, or knows an earlier process
   of it: a higher incarnation refutes that.  */
static void
refute (struct member *member, const struct member_info *info,
        const char *from, struct action_list *out)
{
  struct member_info *self = &member->set.self->info;

  if (info->incarnation < self->incarnation
      || (info->incarnation == self->incarnation
          && (info->state == MEMBER_LIVE || info->state == self->state)))
    return;
  self->incarnation = info->incarnation + 1;
  push_to (member, MEMBER_PROBE, from, ++member->last_number, out);
}

/* Of two states with the same incarnation, the one with the higher precedence
   is kept.  */
static unsigned
precedence (enum member_state state)
{
  return (unsigned)state;
}

static void
replace_info (struct member *member, struct member_node *node,
              const struct member_info *info, struct timespec now,
              struct action_list *out)
{
  bool unchanged
      = node->info.state == info->state
        && g_strcmp0 (node->info.address, info->address) == 0
        && g_strcmp0 (node->info.advertised_address, info->advertised_address)
               == 0;

  member_info_clear (&node->info);
  member_info_copy (&node->info, info);
  node->suspected = info->state == MEMBER_SUSPECT;
  node->deadline = ts_add (now, member->suspicion);
  if (info->state == MEMBER_DEAD)
    node->dead_at = now;
  if (!unchanged)
    report_change (member, node, out);
}

static void
merge_info (struct member *member, const struct member_info *info,
            const char *from, struct timespec now, struct action_list *out)
{
  struct member_node *node = memberset_find (&member->set, info->id);

  if (node == NULL)
    {
      if (info->state != MEMBER_DEAD && info->incarnation > 0)
        {
          node = memberset_add (&member->set, info);
          node->suspected = info->state == MEMBER_SUSPECT;
          node->deadline = ts_add (now, member->suspicion);
          report_change (member, node, out);
        }
    }
  else if (node == member->set.self)
    refute (member, info, from, out);
  else if (info->incarnation > node->info.incarnation
           || (info->incarnation == node->info.incarnation
               && precedence (info->state) > precedence (node->info.state)))
    replace_info (member, node, info, now, out);
  else if (info->incarnation == node->info.incarnation)
    node->info.doc_version = MAX (node->info.doc_version, info->doc_version);
}

/* Merges GOSSIP, whose first element is the sender itself.  */
static void
merge_gossip (struct member *member, const char *from,
              const struct member_info *gossip, size_t count,
              struct timespec now, struct action_list *out)
{
  struct member_node *node;

  member->received_at = now;
  for (size_t i = 0; i < count; i++)
    if (gossip[i].id != NULL && gossip[i].state <= MEMBER_DEAD)
      merge_info (member, &gossip[i], from, now, out);
  node = memberset_find (&member->set, from);
  if (node != NULL && count > 0 && g_strcmp0 (gossip[0].id, from) == 0
      && gossip[0].incarnation == node->info.incarnation)
    node->info.load = gossip[0].load;
}

void
member_receive_probe (struct member *member, const char *from, uint64_t number,
                      const struct member_info *gossip, size_t count,
                      struct timespec now, struct action_list *out)
{
  merge_gossip (member, from, gossip, count, now, out);
  push_to (member, MEMBER_ACK, from, number, out);
}

void
member_receive_probe_request (struct member *member, const char *from,
                              const char *subject, uint64_t number,
                              const struct member_info *gossip, size_t count,
                              struct timespec now, struct action_list *out)
{
  struct indirect_probe *indirect;

  merge_gossip (member, from, gossip, count, now, out);
  if (subject == NULL)
    return;
  indirect = g_new0 (struct indirect_probe, 1);
  indirect->number = ++member->last_number;
  indirect->requested_number = number;
  indirect->requester = g_strdup (from);
  indirect->subject = g_strdup (subject);
  indirect->sent_at = now;
  g_ptr_array_add (member->indirect_probes, indirect);
  push_to (member, MEMBER_PROBE, subject, indirect->number, out);
}

/* Forwards the acknowledgement of an indirect probe to its requester.  */
static void
forward_ack (struct member *member, uint64_t number, struct action_list *out)
{
  for (guint i = member->indirect_probes->len; i-- > 0;)
    {
      const struct indirect_probe *indirect
          = g_ptr_array_index (member->indirect_probes, i);

      if (indirect->number != number)
        continue;
      push_to (member, MEMBER_ACK, indirect->requester,
               indirect->requested_number, out)
          ->subject
          = g_strdup (indirect->subject);
      g_ptr_array_remove_index (member->indirect_probes, i);
    }
}

void
member_receive_ack (struct member *member, const char *from,
                    const char *subject, uint64_t number,
                    const struct member_info *gossip, size_t count,
                    struct timespec now, struct action_list *out)
{
  struct probe *probe = &member->probe;
  const char *probed = subject != NULL ? subject : from;

  merge_gossip (member, from, gossip, count, now, out);
  if (probe->pending && probe->number == number
      && strcmp (probe->target, probed) == 0)
    probe->pending = false;
  forward_ack (member, number, out);
}

void
member_link_up (struct member *member, const char *id, struct action_list *out)
{
  push_to (member, MEMBER_PROBE, id, ++member->last_number, out);
}

void
member_link_down (struct member *member, const char *id, struct timespec now,
                  struct action_list *out)
{
  struct member_node *node = memberset_find (&member->set, id);

  if (node == NULL || node == member->set.self
      || node->info.state == MEMBER_DEAD)
    return;
  begin_probe (member, node, now, out);
  member->probe.indirect_sent = true;
  send_probe_requests (member, id, member->probe.number, out);
}

static void
merge_instance (struct member *member,
                const struct platform_instance *instance,
                struct action_list *out)
{
  struct member_node *node = memberset_find (&member->set, instance->id);
  struct member_info info = { .id = instance->id,
                              .advertised_address = instance->address,
                              .zone = instance->zone,
                              .region = instance->region,
                              .state = MEMBER_SUSPECT };

  if (node == NULL)
    {
      node = memberset_add (&member->set, &info);
      report_change (member, node, out);
    }
  node->listed = true;
  if (instance->leaving && node != member->set.self
      && precedence (node->info.state) < precedence (MEMBER_LEAVING))
    {
      node->info.state = MEMBER_LEAVING;
      report_change (member, node, out);
    }
}

void
member_update_instances (struct member *member,
                         const struct platform_instances *instances,
                         struct timespec now, struct action_list *out)
{
  (void)now;
  for (guint i = 0; i < member->set.nodes->len; i++)
    memberset_at (&member->set, i)->listed = false;
  for (size_t i = 0; i < instances->count; i++)
    if (g_strcmp0 (instances->instances[i].pool, "entry") == 0)
      merge_instance (member, &instances->instances[i], out);
}

void
member_set_local_info (struct member *member, uint64_t doc_version,
                       uint64_t load)
{
  member->set.self->info.doc_version = doc_version;
  member->set.self->info.load = load;
}

void
member_leave (struct member *member, struct timespec now,
              struct action_list *out)
{
  (void)now;
  if (member->set.self->info.state == MEMBER_LEAVING)
    return;
  member->set.self->info.state = MEMBER_LEAVING;
  for (guint i = 0; i < member->set.nodes->len; i++)
    if (is_probe_candidate (member, memberset_at (&member->set, i), false))
      push_to (member, MEMBER_PROBE, memberset_at (&member->set, i)->info.id,
               ++member->last_number, out);
}

const struct member_info *const *
member_list (const struct member *member, size_t *count)
{
  *count = member->set.infos->len;
  return (const struct member_info *const *)member->set.infos->pdata;
}

const struct member_info *
member_find (const struct member *member, const char *id)
{
  const struct member_node *node = memberset_find (&member->set, id);

  return node != NULL ? &node->info : NULL;
}

bool
member_is_routable (const struct member_info *info)
{
  return info->incarnation > 0
         && (info->state == MEMBER_LIVE || info->state == MEMBER_SUSPECT);
}

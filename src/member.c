#include "member.h"

#include <math.h>
#include <string.h>
#include "gossip.h"
#include "memberset.h"
#include "ts.h"

#define INTERVAL_MS 500
#define TIMEOUT_MS 200
#define SUSPICION_MS 2000
#define FORGET_MS 60000 /* a dead node is remembered so long */
#define SILENT_MS 2000  /* without any message: this node is cut off */
#define RELAYS 3        /* peers asked to probe for us */
#define REPEAT 3        /* times log2 of the members: a change is passed on */
#define DEAD_PROBE 10   /* one probe in so many goes to a dead node */

struct probe
{
  bool open;
  bool relayed;
  char *target;
  uint64_t number;
  struct timespec sent_at;
};

/* A probe sent for another node.  */
struct relay
{
  uint64_t number; /* ours */
  uint64_t asked;  /* theirs */
  char *asker;
  char *subject;
  struct timespec at;
};

struct member
{
  struct memberset set;
  GPtrArray *relays; /* struct relay */
  struct timespec interval;
  struct timespec timeout;
  struct timespec suspicion;
  GRand *rand;
  struct probe probe;
  uint64_t numbers;
  unsigned round; /* place in the present round of probes */
  unsigned probes;
  struct timespec next;
  struct timespec last_tick;
  struct timespec heard_at; /* any message of any peer */
};

static void
relay_free (void *data)
{
  struct relay *relay = data;

  g_free (relay->asker);
  g_free (relay->subject);
  g_free (relay);
}

struct member *
member_new (const struct member_options *options)
{
  struct member *member = g_new0 (struct member, 1);

  memberset_init (&member->set);
  member->relays = g_ptr_array_new_with_free_func (relay_free);
  member->interval = ts_or_ms (options->interval, INTERVAL_MS);
  member->timeout = ts_or_ms (options->timeout, TIMEOUT_MS);
  member->suspicion = ts_or_ms (options->suspicion, SUSPICION_MS);
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
  g_ptr_array_unref (member->relays);
  memberset_clear (&member->set);
  g_free (member);
}

static void
action_release (struct action *action)
{
  struct member_action *mine = (struct member_action *)action;

  g_free (mine->to);
  g_free (mine->subject);
  member_info_clear (&mine->info);
  for (size_t i = 0; i < mine->gossip_count; i++)
    member_info_clear (&mine->gossip[i]);
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

/* NODE is to be passed on and told to the user.  */
static void
changed (struct member *member, struct member_node *node,
         struct action_list *out)
{
  struct member_action *action
      = action_push (out, sizeof *action, MEMBER_CHANGED);

  action->action.release = action_release;
  member_info_copy (&action->info, &node->info);
  node->gossip_left
      = REPEAT * (unsigned)ceil (log2 ((double)member->set.nodes->len + 1));
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
  changed (member, node, out);
}

static void
kill_node (struct member *member, struct member_node *node,
           struct timespec now, struct action_list *out)
{
  node->suspected = false;
  node->info.state = MEMBER_DEAD;
  node->dead_at = now;
  changed (member, node, out);
}

static bool
cut_off (const struct member *member, struct timespec now)
{
  return !ts_before (now, ts_add_ms (member->heard_at, SILENT_MS));
}

bool
member_whole (const struct member *member)
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
  return member->set.nodes->len > 1 && cut_off (member, member->last_tick);
}

/* After a pause, and while nobody is heard, the others get more time.  */
static void
allow_for_pause (struct member *member, struct timespec now)
{
  struct timespec gap = ts_sub (now, member->last_tick);
  bool paused = ts_cmp (gap, ts_add (member->interval, member->interval)) > 0;

  if (paused)
    {
      member->probe.open = false;
      member->heard_at = ts_add (member->heard_at, gap);
    }
  if (!paused && !cut_off (member, now))
    return;
  for (guint i = 0; i < member->set.nodes->len; i++)
    if (memberset_at (&member->set, i)->suspected)
      memberset_at (&member->set, i)->deadline
          = ts_add (memberset_at (&member->set, i)->deadline, gap);
}

static void
review (struct member *member, struct timespec now, struct action_list *out)
{
  for (guint i = member->set.nodes->len; i-- > 0;)
    {
      struct member_node *node = memberset_at (&member->set, i);

      if (node->suspected && !ts_before (now, node->deadline))
        kill_node (member, node, now, out);
      else if (node->info.state == MEMBER_DEAD && !node->listed
               && ts_before (ts_add_ms (node->dead_at, FORGET_MS), now))
        memberset_remove (&member->set, i);
    }
}

static void
ask_relays (struct member *member, const char *target, uint64_t number,
            struct action_list *out)
{
  unsigned asked = 0;

  for (unsigned i = 0; i < 4 * RELAYS && asked < RELAYS; i++)
    {
      const struct member_node *node
          = memberset_random (&member->set, member->rand);

      if (node == member->set.self || node->info.state == MEMBER_DEAD
          || strcmp (node->info.id, target) == 0)
        continue;
      push_to (member, MEMBER_RELAY, node->info.id, number, out)->subject
          = g_strdup (target);
      asked++;
    }
}

static void
begin_probe (struct member *member, const struct member_node *node,
             struct timespec now, struct action_list *out)
{
  struct probe *probe = &member->probe;

  g_free (probe->target);
  probe->target = g_strdup (node->info.id);
  probe->open = true;
  probe->relayed = false;
  probe->number = ++member->numbers;
  probe->sent_at = now;
  push_to (member, MEMBER_PROBE, probe->target, probe->number, out);
}

static bool
wanted (const struct member *member, const struct member_node *node, bool dead)
{
  return node != member->set.self && (node->info.state == MEMBER_DEAD) == dead;
}

/* Nodes are probed in rounds, so that every one has its turn.  The first round
   begins at a random place, so that not all nodes probe the same one.  */
static const struct member_node *
next_target (struct member *member)
{
  guint count = member->set.nodes->len;
  bool dead = ++member->probes % DEAD_PROBE == 0;

  for (guint i = 0; i < count; i++)
    {
      const struct member_node *node;

      member->round = (member->round % count + 1) % count;
      node = memberset_at (&member->set, member->round);
      if (wanted (member, node, dead))
        return node;
    }
  return NULL;
}

static void
watch_probe (struct member *member, struct timespec now,
             struct action_list *out)
{
  struct probe *probe = &member->probe;
  struct member_node *node = memberset_find (&member->set, probe->target);

  if (node == NULL)
    probe->open = false;
  else if (!ts_before (now, ts_add (probe->sent_at, member->interval)))
    {
      probe->open = false;
      suspect (member, node, now, out);
    }
  else if (!probe->relayed
           && !ts_before (now, ts_add (probe->sent_at, member->timeout)))
    {
      probe->relayed = true;
      ask_relays (member, probe->target, probe->number, out);
    }
}

static void
drop_old_relays (struct member *member, struct timespec now)
{
  for (guint i = member->relays->len; i-- > 0;)
    {
      const struct relay *relay = g_ptr_array_index (member->relays, i);

      if (ts_before (ts_add (relay->at, member->suspicion), now))
        g_ptr_array_remove_index (member->relays, i);
    }
}

void
member_tick (struct member *member, struct timespec now,
             struct action_list *out)
{
  const struct member_node *target;

  if (ts_before (now, member->next))
    return;
  if (ts_is_zero (member->last_tick))
    {
      member->last_tick = now;
      member->heard_at = now;
      member->round = g_rand_int (member->rand);
    }
  allow_for_pause (member, now);
  member->last_tick = now;
  if (member->probe.open)
    watch_probe (member, now, out);
  if (!member->probe.open && (target = next_target (member)) != NULL)
    begin_probe (member, target, now, out);
  review (member, now, out);
  drop_old_relays (member, now);
  member->next
      = ts_add (now, member->probe.open && !member->probe.relayed
                         ? member->timeout
                         : ts_sub (member->interval, member->timeout));
}

struct timespec
member_next (const struct member *member)
{
  return member->next;
}

/* Somebody holds this node for suspect or dead, or remembers an earlier
   process: a higher incarnation refutes it.  */
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
  push_to (member, MEMBER_PROBE, from, ++member->numbers, out);
}

/* Of two states of one incarnation the stronger one holds.  */
static unsigned
strength (enum member_state state)
{
  return (unsigned)state;
}

static void
take_news (struct member *member, struct member_node *node,
           const struct member_info *info, struct timespec now,
           struct action_list *out)
{
  bool same
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
  if (!same)
    changed (member, node, out);
}

static void
merge (struct member *member, const struct member_info *info, const char *from,
       struct timespec now, struct action_list *out)
{
  struct member_node *node = memberset_find (&member->set, info->id);

  if (node == NULL)
    {
      if (info->state != MEMBER_DEAD && info->incarnation > 0)
        {
          node = memberset_add (&member->set, info);
          node->suspected = info->state == MEMBER_SUSPECT;
          node->deadline = ts_add (now, member->suspicion);
          changed (member, node, out);
        }
    }
  else if (node == member->set.self)
    refute (member, info, from, out);
  else if (info->incarnation > node->info.incarnation
           || (info->incarnation == node->info.incarnation
               && strength (info->state) > strength (node->info.state)))
    take_news (member, node, info, now, out);
  else if (info->incarnation == node->info.incarnation)
    node->info.doc_version = MAX (node->info.doc_version, info->doc_version);
}

/* The first of GOSSIP is the sender itself.  */
static void
hear (struct member *member, const char *from,
      const struct member_info *gossip, size_t count, struct timespec now,
      struct action_list *out)
{
  struct member_node *node;

  member->heard_at = now;
  for (size_t i = 0; i < count; i++)
    if (gossip[i].id != NULL && gossip[i].state <= MEMBER_DEAD)
      merge (member, &gossip[i], from, now, out);
  node = memberset_find (&member->set, from);
  if (node != NULL && count > 0 && g_strcmp0 (gossip[0].id, from) == 0
      && gossip[0].incarnation == node->info.incarnation)
    node->info.load = gossip[0].load;
}

void
member_probed (struct member *member, const char *from, uint64_t number,
               const struct member_info *gossip, size_t count,
               struct timespec now, struct action_list *out)
{
  hear (member, from, gossip, count, now, out);
  push_to (member, MEMBER_ANSWER, from, number, out);
}

void
member_relay (struct member *member, const char *from, const char *subject,
              uint64_t number, const struct member_info *gossip, size_t count,
              struct timespec now, struct action_list *out)
{
  struct relay *relay;

  hear (member, from, gossip, count, now, out);
  if (subject == NULL)
    return;
  relay = g_new0 (struct relay, 1);
  relay->number = ++member->numbers;
  relay->asked = number;
  relay->asker = g_strdup (from);
  relay->subject = g_strdup (subject);
  relay->at = now;
  g_ptr_array_add (member->relays, relay);
  push_to (member, MEMBER_PROBE, subject, relay->number, out);
}

/* Passes the answer on to whom it is for.  */
static void
answer_relays (struct member *member, uint64_t number, struct action_list *out)
{
  for (guint i = member->relays->len; i-- > 0;)
    {
      const struct relay *relay = g_ptr_array_index (member->relays, i);

      if (relay->number != number)
        continue;
      push_to (member, MEMBER_ANSWER, relay->asker, relay->asked, out)->subject
          = g_strdup (relay->subject);
      g_ptr_array_remove_index (member->relays, i);
    }
}

void
member_answered (struct member *member, const char *from, const char *subject,
                 uint64_t number, const struct member_info *gossip,
                 size_t count, struct timespec now, struct action_list *out)
{
  struct probe *probe = &member->probe;
  const char *about = subject != NULL ? subject : from;

  hear (member, from, gossip, count, now, out);
  if (probe->open && probe->number == number
      && strcmp (probe->target, about) == 0)
    probe->open = false;
  answer_relays (member, number, out);
}

void
member_link_up (struct member *member, const char *id, struct action_list *out)
{
  push_to (member, MEMBER_PROBE, id, ++member->numbers, out);
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
  member->probe.relayed = true;
  ask_relays (member, id, member->probe.number, out);
}

static void
take_instance (struct member *member, const struct platform_instance *instance,
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
      changed (member, node, out);
    }
  node->listed = true;
  if (instance->leaving && node != member->set.self
      && strength (node->info.state) < strength (MEMBER_LEAVING))
    {
      node->info.state = MEMBER_LEAVING;
      changed (member, node, out);
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
      take_instance (member, &instances->instances[i], out);
}

void
member_set_facts (struct member *member, uint64_t doc_version, uint64_t load)
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
    if (wanted (member, memberset_at (&member->set, i), false))
      push_to (member, MEMBER_PROBE, memberset_at (&member->set, i)->info.id,
               ++member->numbers, out);
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

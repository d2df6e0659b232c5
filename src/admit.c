#include "admit.h"

#include "admit_estimate.h"
#include "ts.h"

struct admit *
admit_new (const struct admit_options *options)
{
  struct admit *admit = g_new0 (struct admit, 1);

  admit->threads = MAX (options->threads, 1);
  admit->queues = g_hash_table_new (g_str_hash, g_str_equal);
  admit->teams = g_hash_table_new (g_str_hash, g_str_equal);
  deadlines_init (&admit->deadlines);
  return admit;
}

void
admit_free (struct admit *admit)
{
  if (admit == NULL)
    return;
  g_assert (deadlines_first (&admit->deadlines) == NULL);
  g_hash_table_destroy (admit->queues);
  g_hash_table_destroy (admit->teams);
  deadlines_clear (&admit->deadlines);
  g_free (admit);
}

static struct admit_queue *
queue_get (struct admit *admit, const char *target)
{
  struct admit_queue *queue = g_hash_table_lookup (admit->queues, target);

  if (queue != NULL)
    return queue;
  queue = g_new0 (struct admit_queue, 1);
  queue->target = g_strdup (target);
  for (unsigned p = 0; p < ADMIT_PRIORITIES; p++)
    {
      TAILQ_INIT (&queue->levels[p].by_deadline);
      TAILQ_INIT (&queue->levels[p].by_arrival);
    }
  g_hash_table_insert (admit->queues, queue->target, queue);
  return queue;
}

static void
queue_free_if_empty (struct admit *admit, struct admit_queue *queue)
{
  if (queue->waiting > 0)
    return;
  g_hash_table_remove (admit->queues, queue->target);
  g_free (queue->target);
  g_free (queue);
}

static struct admit_team *
team_get (struct admit *admit, const char *name)
{
  struct admit_team *team = g_hash_table_lookup (admit->teams, name);

  if (team != NULL)
    return team;
  team = g_new0 (struct admit_team, 1);
  team->name = g_strdup (name);
  for (unsigned p = 0; p < ADMIT_PRIORITIES; p++)
    TAILQ_INIT (&team->levels[p]);
  g_hash_table_insert (admit->teams, team->name, team);
  return team;
}

static void
team_free_if_empty (struct admit *admit, struct admit_team *team)
{
  if (team->waiting > 0)
    return;
  g_hash_table_remove (admit->teams, team->name);
  g_free (team->name);
  g_free (team);
}

static void
insert_by_deadline (struct admit_entry_list *list, struct admit_entry *entry)
{
  struct admit_entry *at;

  TAILQ_FOREACH_REVERSE (at, list, admit_entry_list, by_deadline)
    {
      if (ts_cmp (at->deadline, entry->deadline) <= 0)
        {
          TAILQ_INSERT_AFTER (list, at, entry, by_deadline);
          return;
        }
    }
  TAILQ_INSERT_HEAD (list, entry, by_deadline);
}

static void
enqueue (struct admit *admit, struct admit_entry *entry,
         const struct admit_request *request)
{
  struct admit_queue *queue = queue_get (admit, request->target);
  struct admit_team *team = team_get (admit, request->team);
  struct admit_level *level = &queue->levels[entry->priority];

  entry->queue = queue;
  entry->team = team;
  insert_by_deadline (&level->by_deadline, entry);
  TAILQ_INSERT_TAIL (&level->by_arrival, entry, by_arrival);
  TAILQ_INSERT_TAIL (&team->levels[entry->priority], entry, by_team);
  level->waiting++;
  queue->waiting++;
  team->waiting++;
  queue->service_s = request->service_s;
  deadlines_set (&admit->deadlines, &entry->due, entry->deadline);
}

/* Removes ENTRY from its queue and team.  The team is freed when it
   becomes empty; the queue is left to the caller.  */
static void
dequeue (struct admit *admit, struct admit_entry *entry)
{
  struct admit_level *level = &entry->queue->levels[entry->priority];

  TAILQ_REMOVE (&level->by_deadline, entry, by_deadline);
  TAILQ_REMOVE (&level->by_arrival, entry, by_arrival);
  TAILQ_REMOVE (&entry->team->levels[entry->priority], entry, by_team);
  level->waiting--;
  entry->queue->waiting--;
  entry->team->waiting--;
  deadlines_remove (&admit->deadlines, &entry->due);
  team_free_if_empty (admit, entry->team);
  entry->team = NULL;
  entry->queue = NULL;
}

static void
end_wait (struct admit *admit, struct admit_entry *entry,
          enum admit_outcome outcome, enum admit_reason reason,
          struct admit_list *ended)
{
  dequeue (admit, entry);
  entry->outcome = outcome;
  entry->reason = reason;
  CK_STAILQ_INSERT_TAIL (ended, entry, ended);
}

/* Refuses a waiting entry.  The caller frees the queue if it became empty.  */
static void
refuse_waiting (struct admit *admit, struct admit_entry *entry,
                enum admit_reason reason, struct admit_list *ended)
{
  struct admit_queue *queue = entry->queue;
  double interval = queue->grant_interval_s > 0 ? queue->grant_interval_s
                                                : queue->service_s;

  entry->retry_after_s
      = admit_estimate_retry_seconds (queue->waiting * interval);
  end_wait (admit, entry, ADMIT_REFUSED, reason, ended);
}

static unsigned
per_thread_limit (const struct admit *admit, unsigned configured,
                  unsigned fallback)
{
  unsigned per_node = configured > 0 ? configured : fallback;

  return (per_node + admit->threads - 1) / admit->threads;
}

/* The entry to displace in QUEUE: of the lowest priority below BELOW, the one
   with the latest deadline.  NULL if there is none.  */
static struct admit_entry *
displaceable_in_queue (struct admit_queue *queue, unsigned below)
{
  for (unsigned p = 0; p < below; p++)
    if (queue->levels[p].waiting > 0)
      return TAILQ_LAST (&queue->levels[p].by_deadline, admit_entry_list);
  return NULL;
}

/* The entry to displace in TEAM: of the lowest priority below BELOW, the one
   that arrived last.  NULL if there is none.  */
static struct admit_entry *
displaceable_in_team (struct admit_team *team, unsigned below)
{
  for (unsigned p = 0; p < below; p++)
    if (!TAILQ_EMPTY (&team->levels[p]))
      return TAILQ_LAST (&team->levels[p], admit_entry_list);
  return NULL;
}

static void
displace (struct admit *admit, struct admit_entry *entry,
          struct admit_list *ended)
{
  struct admit_queue *queue = entry->queue;

  refuse_waiting (admit, entry, ADMIT_DISPLACED, ended);
  queue_free_if_empty (admit, queue);
}

/* ADMIT_NONE when there is room, or when room was made by displacing a
   waiting request of lower priority.  */
static enum admit_reason
make_room (struct admit *admit, const struct admit_request *request,
           unsigned priority, struct admit_list *ended)
{
  struct admit_queue *queue
      = g_hash_table_lookup (admit->queues, request->target);
  struct admit_team *team = g_hash_table_lookup (admit->teams, request->team);
  struct admit_entry *displaceable;

  if (queue != NULL
      && queue->waiting >= per_thread_limit (admit, request->target_max,
                                             ADMIT_TARGET_WAITING_MAX))
    {
      displaceable = displaceable_in_queue (queue, priority);
      if (displaceable == NULL)
        return ADMIT_TARGET_FULL;
      displace (admit, displaceable, ended);
      team = g_hash_table_lookup (admit->teams, request->team);
    }
  if (team != NULL
      && team->waiting >= per_thread_limit (admit, request->team_max,
                                            ADMIT_TEAM_WAITING_MAX))
    {
      displaceable = displaceable_in_team (team, priority);
      if (displaceable == NULL)
        return ADMIT_TEAM_FULL;
      displace (admit, displaceable, ended);
    }
  return ADMIT_NONE;
}

static enum admit_outcome
refuse (struct admit_entry *entry, const struct admit_queue *queue,
        const struct admit_request *request, enum admit_reason reason,
        struct timespec now)
{
  entry->outcome = ADMIT_REFUSED;
  entry->reason = reason;
  entry->retry_after_s = admit_estimate_retry_after (queue, request, now);
  return ADMIT_REFUSED;
}

static void
fill_entry (struct admit_entry *entry, const struct admit_request *request,
            struct timespec now)
{
  entry->reason = ADMIT_NONE;
  entry->retry_after_s = 0;
  entry->arrived = now;
  entry->deadline = request->deadline;
  entry->priority = MIN (request->priority, ADMIT_PRIORITIES - 1);
  entry->queue = NULL;
  entry->team = NULL;
  entry->due.slot = 0;
}

enum admit_outcome
admit_offer (struct admit *admit, struct admit_entry *entry,
             const struct admit_request *request, struct timespec now,
             struct admit_list *ended)
{
  struct admit_queue *queue
      = g_hash_table_lookup (admit->queues, request->target);
  unsigned waiting = queue != NULL ? queue->waiting : 0;
  enum admit_reason full;

  fill_entry (entry, request, now);
  entry->estimate = admit_estimate_answer (
      queue, request,
      admit_estimate_ahead (queue, entry->priority, entry->deadline), now);
  if (!ts_before (now, entry->deadline))
    return refuse (entry, queue, request, ADMIT_TOO_LATE, now);
  if (request->ready && request->slots_free > waiting)
    return entry->outcome = ADMIT_DISPATCH;
  if (ts_before (entry->deadline, entry->estimate))
    return refuse (entry, queue, request, ADMIT_TOO_LATE, now);
  full = make_room (admit, request, entry->priority, ended);
  if (full != ADMIT_NONE)
    return refuse (entry, g_hash_table_lookup (admit->queues, request->target),
                   request, full, now);
  enqueue (admit, entry, request);
  return entry->outcome = ADMIT_WAIT;
}

struct filter
{
  bool (*accepts) (void *user, const struct admit_entry *entry);
  void *user;
};

static bool
accepts (const struct filter *filter, const struct admit_entry *entry)
{
  return filter->accepts == NULL || filter->accepts (filter->user, entry);
}

/* The longest-waiting entry below LEVEL that FILTER accepts, or NULL.  */
static struct admit_entry *
longest_waiting_below (struct admit_queue *queue, unsigned level,
                       const struct filter *filter)
{
  struct admit_entry *oldest = NULL;

  for (unsigned p = 0; p < level; p++)
    {
      struct admit_entry *at = TAILQ_FIRST (&queue->levels[p].by_arrival);

      while (at != NULL && !accepts (filter, at))
        at = TAILQ_NEXT (at, by_arrival);
      if (at != NULL
          && (oldest == NULL || ts_before (at->arrived, oldest->arrived)))
        oldest = at;
    }
  return oldest;
}

/* The entry of LEVEL with the earliest deadline that FILTER accepts, or
   NULL.  */
static struct admit_entry *
earliest_deadline (struct admit_level *level, const struct filter *filter)
{
  struct admit_entry *at = TAILQ_FIRST (&level->by_deadline);

  while (at != NULL && !accepts (filter, at))
    at = TAILQ_NEXT (at, by_deadline);
  return at;
}

/* Selects from the highest non-empty level by deadline.  Every
   ADMIT_LOW_EVERY-th grant goes to the longest-waiting entry of the lower
   levels.  */
static struct admit_entry *
next_to_dispatch (struct admit_queue *queue, const struct filter *filter,
                  bool *is_low)
{
  struct admit_entry *first = NULL;
  struct admit_entry *low = NULL;
  unsigned level = ADMIT_PRIORITIES;

  while (first == NULL && level > 0)
    first = earliest_deadline (&queue->levels[--level], filter);
  if (queue->grants_since_low + 1 >= ADMIT_LOW_EVERY)
    low = longest_waiting_below (queue, level, filter);
  *is_low = low != NULL;
  return low != NULL ? low : first;
}

void
admit_release_if (struct admit *admit, const char *target, unsigned free,
                  bool (*may_dispatch) (void *user,
                                        const struct admit_entry *entry),
                  void *user, struct timespec now, struct admit_list *ended)
{
  struct admit_queue *queue = g_hash_table_lookup (admit->queues, target);
  const struct filter filter = { may_dispatch, user };
  struct admit_entry *entry;
  unsigned granted = 0;
  bool low;

  if (queue == NULL)
    return;
  while (granted < free
         && (entry = next_to_dispatch (queue, &filter, &low)) != NULL)
    {
      if (admit_estimate_too_late (entry, queue->service_s, now))
        {
          refuse_waiting (admit, entry, ADMIT_TOO_LATE, ended);
          continue;
        }
      queue->grants_since_low = low ? 0 : queue->grants_since_low + 1;
      end_wait (admit, entry, ADMIT_DISPATCH, ADMIT_NONE, ended);
      granted++;
    }
  admit_estimate_update (queue, granted, now);
  queue_free_if_empty (admit, queue);
}

void
admit_release (struct admit *admit, const char *target, unsigned free,
               struct timespec now, struct admit_list *ended)
{
  admit_release_if (admit, target, free, NULL, NULL, now, ended);
}

/* Recomputes estimates in dispatch order: each entry that remains delays
   the next.  */
static void
reevaluate_level (struct admit *admit, struct admit_queue *queue,
                  struct admit_level *level,
                  const struct admit_request *request, unsigned *kept,
                  struct timespec now, struct admit_list *ended)
{
  struct admit_entry *entry = TAILQ_FIRST (&level->by_deadline);

  while (entry != NULL)
    {
      struct admit_entry *next = TAILQ_NEXT (entry, by_deadline);

      entry->estimate = admit_estimate_answer (queue, request, *kept, now);
      if (ts_before (entry->deadline, entry->estimate))
        refuse_waiting (admit, entry, ADMIT_TOO_LATE, ended);
      else
        (*kept)++;
      entry = next;
    }
}

void
admit_reevaluate (struct admit *admit, const struct admit_request *request,
                  struct timespec now, struct admit_list *ended)
{
  struct admit_queue *queue
      = g_hash_table_lookup (admit->queues, request->target);
  unsigned kept = 0;

  if (queue == NULL)
    return;
  queue->service_s = request->service_s;
  /* The time until the target is ready does not count as a grant
     interval.  */
  if (!request->ready)
    queue->last_release = ts_from_ms (0);
  for (unsigned p = ADMIT_PRIORITIES; p-- > 0;)
    reevaluate_level (admit, queue, &queue->levels[p], request, &kept, now,
                      ended);
  queue_free_if_empty (admit, queue);
}

static struct admit_entry *
entry_of (struct deadlines_node *due)
{
  return (struct admit_entry *)((char *)due
                                - offsetof (struct admit_entry, due));
}

void
admit_expire (struct admit *admit, struct timespec now,
              struct admit_list *ended)
{
  struct deadlines_node *due;

  while ((due = deadlines_due (&admit->deadlines, now)) != NULL)
    {
      struct admit_entry *entry = entry_of (due);
      struct admit_queue *queue = entry->queue;

      refuse_waiting (admit, entry, ADMIT_EXPIRED, ended);
      queue_free_if_empty (admit, queue);
    }
}

bool
admit_next_deadline (const struct admit *admit, struct timespec *at)
{
  const struct deadlines_node *first = deadlines_first (&admit->deadlines);

  if (first != NULL)
    *at = first->at;
  return first != NULL;
}

void
admit_cancel (struct admit *admit, struct admit_entry *entry)
{
  struct admit_queue *queue = entry->queue;

  if (queue == NULL)
    return;
  dequeue (admit, entry);
  queue_free_if_empty (admit, queue);
}

unsigned
admit_waiting_count (const struct admit *admit, const char *target,
                     struct timespec *earliest)
{
  const struct admit_queue *queue
      = g_hash_table_lookup (admit->queues, target);
  bool any = false;

  if (queue == NULL)
    return 0;
  for (unsigned p = 0; earliest != NULL && p < ADMIT_PRIORITIES; p++)
    {
      const struct admit_entry *first
          = TAILQ_FIRST (&queue->levels[p].by_deadline);

      if (first == NULL)
        continue;
      *earliest = any ? ts_min (*earliest, first->deadline) : first->deadline;
      any = true;
    }
  return queue->waiting;
}

const char *
admit_reason_name (enum admit_reason reason)
{
  static const char *const names[]
      = { "none",     "target_full", "team_full",
          "too_late", "expired",     "displaced" };

  return names[reason];
}

#include "planners_state.h"

/* A load is up to twice this old when another node knows it, less than a
   prompt usually waits at a busy engine.  */
#define SHARE_INTERVAL_MS 200

void
planners_share_loads (struct loop_timer *timer)
{
  struct planners *planners
      = (struct planners *)((char *)timer - offsetof (struct planners, loads));
  struct peer_msg msg = { .type = PEER_LOADS, .cell = (char *)PLANNERS_CELL };
  const char *decider = planners_current_decider (planners);
  GArray *loads = g_array_new (FALSE, FALSE, sizeof (struct peer_load));

  servers_take_loads (listing_servers (planners->listing), planners->deciding,
                      loads);
  msg.loads = (struct peer_load *)loads->data;
  msg.load_count = loads->len;
  if (loads->len > 0 && planners->deciding)
    links_fan_out_lossy (planners->links, &msg);
  else if (loads->len > 0 && decider != NULL)
    links_send (planners->links, decider, &msg);
  g_array_unref (loads);
  loop_timer_set (planners->core->loop, timer,
                  ts_add_ms (planners_now (planners), SHARE_INTERVAL_MS));
}

void
planners_receive_loads (struct planners *planners, const char *from,
                        const struct peer_msg *msg)
{
  struct servers *servers = listing_servers (planners->listing);
  struct timespec now = planners_now (planners);

  if (msg->relay)
    links_relay (planners->links, from, msg);
  for (size_t i = 0; i < msg->load_count; i++)
    if (msg->loads[i].server != NULL)
      {
        servers_apply_load (servers, msg->loads[i].server,
                            (unsigned)msg->loads[i].running,
                            (unsigned)msg->loads[i].queued, now);
        servers_apply_pace (servers, &msg->loads[i], !planners->deciding, now);
        kernel_post (planners->core->kernel, KERNEL_SERVER_HEARD,
                     msg->loads[i].server);
      }
}

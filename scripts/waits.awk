# Where requests for models wait, from the logs of all nodes (logfmt, info level):
#
#   cat NODE.log ... | sort -t= -k2,2 | awk -f scripts/waits.awk
#
# One line for each route and reason: requests, those never sent to an engine,
# the mean wait in seconds, and of that the time until the decider ordered room
# or the load, the time to make room, and the time to load. Reasons: "disk" and
# "store", where the weights of the model came from; "adapter", "other": no load
# of the model ended while the request waited; "none": it did not wait.
# Times are of one day.
function value(key,  at, text)
{
  at = index ($0, " " key "=")
  if (at == 0)
    return ""
  text = substr ($0, at + length (key) + 2)
  if (substr (text, 1, 1) == "\"")
    return substr (text, 2, index (substr (text, 2), "\"") - 1)
  sub (/ .*/, "", text)
  return text
}

function seconds(  text)
{
  text = value("time")
  if (text == "" && match ($0, /time=[^ ]*/))
    text = substr ($0, RSTART + 5, RLENGTH - 5)
  return substr (text, 12, 2) * 3600 + substr (text, 15, 2) * 60 \
         + substr (text, 18, 6)
}

function event(  text)
{
  match ($0, /event=[0-9]+/)
  return RLENGTH > 0 ? substr ($0, RSTART + 6, RLENGTH - 6) + 0 : 0
}

function later(a, b)
{
  return a > b ? a : b
}

# The request at K has left the queue of its node.
function end_wait(k, now, sent,  model, group, before, room, load, why)
{
  if (!(k in began))
    return
  model = target[k]
  sub (/\/.*/, "", model)
  why = index (target[k], "/") > 0 ? "adapter" : "other"
  before = room = load = 0
  if ((model in loaded_at) && loaded_at[model] >= began[k])
    {
      why = source[model] == "store" ? "store" : "disk"
      before = later(0, room_at[model] - began[k])
      room = later(0, load_at[model] - later(began[k], room_at[model]))
      load = later(0, loaded_at[model] - later(began[k], load_at[model]))
    }
  count_wait(route[k] " " why, now - began[k], sent, before, room, load)
  delete began[k]
}

function count_wait(group, wait, sent, before, room, load)
{
  n[group]++
  lost[group] += !sent
  waited[group] += wait
  ordering[group] += before
  making_room[group] += room
  loading[group] += load
}

{
  e = event()
  now = seconds()
  k = value("node") " " value("request")
}

e == 202 && value("target") != "" {
  began[k] = now - value("age_ms") / 1000
  target[k] = value("target")
  route[k] = value("route")
}

e == 201 && value("target") != "" {
  if (k in began)
    end_wait(k, now, 1)
  else if (value("sending") == 1)
    count_wait(value("route") " none", 0, 1, 0, 0, 0)
}

e == 204 || e == 206 { end_wait(k, now, 0) }

e == 302 && value("adapter") == "" {
  text = value("reason")
  if (match (text, /for=[^ ]*/))
    {
      model = substr (text, RSTART + 4, RLENGTH - 4)
      if (!(model in room_at) || room_at[model] <= load_at[model])
        room_at[model] = now
    }
}

e == 301 && value("adapter") == "" {
  model = value("model")
  if (!(model in room_at) || room_at[model] < load_at[model])
    room_at[model] = now
  load_at[model] = now
  source[model] = index (value("reason"), "source=store") > 0 ? "store" : "hand"
}

e == 303 && value("adapter") == "" && index (value("reason"), "cause=room") == 0 {
  loaded_at[value("model")] = now
}

END {
  printf "%-24s %-8s %8s %8s %8s %8s %8s %8s\n", "route", "reason", "requests",
    "unsent", "wait", "order", "room", "load"
  for (group in n)
    {
      split (group, part, " ")
      printf "%-24s %-8s %8d %8d %8.2f %8.2f %8.2f %8.2f\n", part[1], part[2],
        n[group], lost[group], waited[group] / n[group],
        ordering[group] / n[group], making_room[group] / n[group],
        loading[group] / n[group] | "sort"
    }
}

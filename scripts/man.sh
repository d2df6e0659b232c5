#!/bin/sh
# Generates the manual pages DIR/NAME.1 from docs/MANUAL.md. DIR is the argument
# (default docs/man).
set -eu
dir=${1:-docs/man}
mkdir -p "$dir"
awk -v dir="$dir" '
function inline(s) {
  gsub(/\\/, "\\e", s)
  gsub(/-/, "\\-", s)
  while (match(s, /`[^`]*`/))
    s = substr(s, 1, RSTART - 1) "\\fB" substr(s, RSTART + 1, RLENGTH - 2) \
        "\\fR" substr(s, RSTART + RLENGTH)
  sub(/^[.\047]/, "\\\\\\&&", s)
  return s
}
function end_code() { if (in_code) print ".fi\n.RE" >out; in_code = 0 }
/^# / {
  end_code()
  name = $2; sub(/\(.*/, "", name)
  out = dir "/" name ".1"
  summary = $0; sub(/^[^:]*: /, "", summary)
  print ".TH " toupper(name) " 1 \"\" parsleyrill" >out
  print ".SH NAME\n" name " \\- " inline(summary) >out
  next
}
/^## / { end_code(); print ".SH " substr($0, 4) >out; blank = 0; next }
/^    / {
  if (!in_code) print ".PP\n.RS 4\n.nf" >out
  in_code = 1
  print inline(substr($0, 5)) >out
  next
}
/^- / {
  end_code()
  colon = index($0, ": ")
  print ".TP\n" inline(substr($0, 3, colon - 3)) >out
  print inline(substr($0, colon + 2)) >out
  blank = 0
  next
}
/^$/ { blank = 1; next }
{
  if (in_code || blank) { end_code(); print ".PP" >out }
  blank = 0
  sub(/^  /, "")
  print inline($0) >out
}
END { end_code() }
' docs/MANUAL.md

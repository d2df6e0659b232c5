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
function code_off() { if (code) print ".fi\n.RE" >out; code = 0 }
/^# / {
  code_off()
  name = $2; sub(/\(.*/, "", name)
  out = dir "/" name ".1"
  about = $0; sub(/^[^:]*: /, "", about)
  print ".TH " toupper(name) " 1 \"\" parsleyrill" >out
  print ".SH NAME\n" name " \\- " inline(about) >out
  next
}
/^## / { code_off(); print ".SH " substr($0, 4) >out; blank = 0; next }
/^    / {
  if (!code) print ".PP\n.RS 4\n.nf" >out
  code = 1
  print inline(substr($0, 5)) >out
  next
}
/^- / {
  code_off()
  colon = index($0, ": ")
  print ".TP\n" inline(substr($0, 3, colon - 3)) >out
  print inline(substr($0, colon + 2)) >out
  blank = 0
  next
}
/^$/ { blank = 1; next }
{
  if (code || blank) { code_off(); print ".PP" >out }
  blank = 0
  sub(/^  /, "")
  print inline($0) >out
}
END { code_off() }
' docs/MANUAL.md

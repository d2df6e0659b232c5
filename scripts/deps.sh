#!/bin/sh
# Installs the Debian packages required by the build, the tests and the reports.
set -eu
PACKAGES="gcc g++ make clang clang-format clang-tidy cppcheck pkg-config
 libck-dev libmsgpack-dev libmicrohttpd-dev libcurl4-openssl-dev
 libargtable2-dev libglib2.0-dev libxxhash-dev libjansson-dev
 librapidcheck-dev libclang-rt-14-dev curl jq gnuplot-nox"
missing=""
for package in $PACKAGES; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' \
    || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq >&2
# shellcheck disable=SC2086
apt-get install -y -qq $missing >&2

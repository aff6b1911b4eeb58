#!/usr/bin/env bash
# Sets up the profiles of Steinwerkstatt. Usage: profiles.sh CONTROL_ADDRESSES
set -euo pipefail
ctl="$(dirname "${BASH_SOURCE[0]}")/../../scripts/magnolialead-ctl"
# A slab release reserves a granite block, so it must not run twice.
"$ctl" config put-profile slab-release --control "$1" --rank URGENT --freshness SESSION
"$ctl" config put-profile reorder --control "$1" --rank STANDARD --freshness SESSION
# A quote must not promise a slab that is already cut: at most 1 s old.
"$ctl" config put-profile stock-view --control "$1" --rank BROWSING --freshness MAXIMUM_AGE --maximum-age-milliseconds 1000 --repeatable
# The showroom must keep working while the saw queue is served.
"$ctl" config set-floors --control "$1" --standard 0.20 --browsing 0.15

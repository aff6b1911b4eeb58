#!/usr/bin/env bash
# Sets up the profiles of the Foundation. Usage: profiles.sh CONTROL_ADDRESSES
set -euo pipefail
ctl="$(dirname "${BASH_SOURCE[0]}")/../../scripts/magnolialead-ctl"
# A confirmed inspection is recorded at most once and served first.
"$ctl" config put-profile inspection-confirmation --control "$1" --rank URGENT --freshness SESSION
"$ctl" config put-profile appointment-change --control "$1" --rank STANDARD --freshness SESSION --repeatable
"$ctl" config put-profile service-dates --control "$1" --rank BROWSING --freshness MAXIMUM_AGE --maximum-age-milliseconds 5000 --repeatable
"$ctl" config set-floors --control "$1" --standard 0.15 --browsing 0.10

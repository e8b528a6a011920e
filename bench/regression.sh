#!/usr/bin/env bash
# Scores the sites that a change must not harm, one after the other, and prints each site's
# score and gate. KIT names the folder of the users' sites, BENCH their bench, WHY goes into
# the journal. Daily, the large site is played as small twins; with LANDING=1 its large days
# are played too, one at a time: each is some 300 processes and 3 GB.
set -uo pipefail
cd "$(dirname "$0")/.."
why=${WHY:-Regression run}
large=large/clara-lis-large.toml
others=(grown/clara-lis-grown.toml grown/kilnmark-logs-grown.toml
	further/tidelane-quotes.toml further-grown/tidelane-quotes-grown.toml)
score() {
	local site=$1
	shift
	echo "== $site $*"
	"$BENCH" score "$KIT/$site" "$@" --why "$why" 2>&1 | grep -aE '^[a-z]+-[0-9]+ |score|GATE|BROKEN' | cut -c1-150
}
score "$large" --small --jobs "${JOBS:-3}"
for site in "${others[@]}"; do
	score "$site" --jobs "${JOBS:-3}"
done
if [ "${LANDING:-0}" = 1 ]; then
	score "$large" --jobs 1
fi

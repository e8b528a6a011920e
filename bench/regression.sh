#!/usr/bin/env bash
# Scores the sites used for regression checks, one after the other, and prints each site's
# score and gate. Environment variables: KIT is the folder of the users' sites, BENCH the
# program of their bench, WHY the reason recorded in the journal (default: "Regression run"),
# JOBS the number of parallel runs (default: 3). The large site is run in its small version;
# LANDING=1 also runs its large days, one at a time, as each takes some 300 processes and
# 3 GB of memory.
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

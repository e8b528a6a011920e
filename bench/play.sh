#!/usr/bin/env bash
# Plays the days below bench/days for one site and prints a line for each: its figures,
# and the rules that it broke. BENCH names the users' bench, SITE its site file.
set -uo pipefail
cd "$(dirname "$0")/.."
days=bench/days/$(basename "$SITE" .toml)
play() {
	name=$(basename "$1" .toml)
	line=$("$BENCH" run "$SITE" "$1" 2>&1 | grep -aF "$name " | grep -aE "^[^ ]+ +[0-9]+/[0-9]+ " | cut -c1-150)
	echo "${line:-$name was not played}"
}
export -f play
export BENCH SITE
find "$days" -name '*.toml' | sort | xargs -P "${JOBS:-4}" -I{} bash -c 'play {}'

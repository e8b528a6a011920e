#!/usr/bin/env bash
# Plays the days below bench/days for one site and prints a line for each: its figures,
# and the rules that it broke. BENCH names the users' bench, SITE its site file; MATCH is
# a pattern for the names of the days (all), SEEDS the seeds to play each with (the
# bench's own), JOBS the plays at one time (4).
set -uo pipefail
cd "$(dirname "$0")/.."
days=bench/days/$(basename "$SITE" .toml)
play() {
	name=$(basename "$1" .toml)
	seed=()
	[ "$2" = own ] || seed=(--seed "$2")
	line=$("$BENCH" run "$SITE" "$1" "${seed[@]}" 2>&1 | grep -aF "$name " | grep -aE "^[^ ]+ +[0-9]+/[0-9]+ " | cut -c1-150)
	echo "${line:-$name was not played} seed $2"
}
export -f play
export BENCH SITE
for day in $(find "$days" -name '*.toml' | grep -E "${MATCH:-.}" | sort); do
	for seed in ${SEEDS:-own}; do
		echo "$day $seed"
	done
done | xargs -P "${JOBS:-4}" -L1 bash -c 'play "$0" "$1"'

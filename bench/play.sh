#!/usr/bin/env bash
# Runs the days (scenarios of load and faults) of one site in bench/days and prints a line
# for each: its figures and the rules that were violated. Environment variables: BENCH is
# the program of the users' bench and SITE a site file of it; MATCH is a pattern for the
# names of days (default: all), SEEDS the seeds to run each day with (default: the bench's
# own), JOBS the number of parallel runs (default: 4).
set -uo pipefail
cd "$(dirname "$0")/.."
days=bench/days/$(basename "$SITE" .toml)
run_day() {
	name=$(basename "$1" .toml)
	seed=()
	[ "$2" = own ] || seed=(--seed "$2")
	line=$("$BENCH" run "$SITE" "$1" "${seed[@]}" 2>&1 | grep -aF "$name " | grep -aE "^[^ ]+ +[0-9]+/[0-9]+ " | cut -c1-150)
	echo "${line:-$name was not played} seed $2"
}
export -f run_day
export BENCH SITE
for day in $(find "$days" -name '*.toml' | grep -E "${MATCH:-.}" | sort); do
	for seed in ${SEEDS:-own}; do
		echo "$day $seed"
	done
done | xargs -P "${JOBS:-4}" -L1 bash -c 'run_day "$0" "$1"'

#!/usr/bin/env bash
# Verifies the specifications exhaustively, and verifies that each rule is needed:
# with any rule removed the checker must find a violation.
set -euo pipefail
cd "$(dirname "$0")"

if ! command -v spin >/dev/null; then
	echo "installing spin"
	(apt-get update && apt-get install -y spin) >/dev/null
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# verify SPEC [-DSWITCH...]: prints the number of errors found; fails if the search
# ended without an error and was not exhaustive.
verify() {
	local spec=$PWD/$1
	shift
	local dir out
	dir=$(mktemp -d -p "$work")
	(
		cd "$dir"
		spin -a "$@" "$spec" >spin.log 2>&1 || { cat spin.log >&2; exit 2; }
		gcc -w -O2 -DCOLLAPSE -DSAFETY -DMEMLIM=4000 -o pan pan.c 2>gcc.log || { cat gcc.log >&2; exit 2; }
		./pan -m1000000 >pan.log 2>&1 || true
		if grep -qE 'max search depth too small|out of memory|Search not completed' pan.log && grep -q 'errors: 0' pan.log; then
			cat pan.log >&2
			exit 2
		fi
		sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log
	)
}

# expect safe|violated SPEC [-DSWITCH...]: starts a check in the background. At most
# $parallel checks run at a time, so that the whole script takes less than two minutes
# and half of the machine's memory.
parallel=3
expect() {
	local want=$1
	shift
	while [ "$(jobs -rp | wc -l)" -ge "$parallel" ]; do
		wait -n || true
	done
	(
		errors=$(verify "$@") || errors=unfinished
		found=violated
		[ "$errors" = 0 ] && found=safe
		[ "$errors" = unfinished ] && found=unfinished
		if [ "$found" = "$want" ]; then
			echo "ok: $* is $found"
		else
			echo "FAIL: $* is $found, want $want"
			touch "$work/failed"
		fi
	) &
}

expect safe lease.pml -DCHECKS
expect safe claim.pml
expect safe lease.pml -DIGNORES
expect safe claim.pml -DONE
expect safe lease.pml -DONE -DCHECKS
for rule in NO_BASE NO_MAJORITY NO_ONCE NO_YOUNG NO_PERMIT NO_FINAL; do
	expect violated claim.pml "-D$rule"
done
for rule in NO_QUORUM NO_YOUNG NO_CLOCK NO_FENCE; do
	expect violated lease.pml -DCHECKS "-D$rule"
done
for rule in NO_QUORUM NO_YOUNG NO_LASTCHECK NO_WAITOUT; do
	expect violated lease.pml -DIGNORES "-D$rule"
done
expect safe facts.pml
for rule in NO_DOUBT NO_READ NO_SILENCE NO_WHOLE NO_REVISION NO_REMEMBER NO_TICK; do
	expect violated facts.pml "-D$rule"
done
expect safe settings.pml
for rule in NO_OLDER NO_DIGEST NO_WHOLE; do
	expect violated settings.pml "-D$rule"
done
expect safe membership.pml
for rule in NO_DENY NO_RAISE NO_NEWER NO_DIGEST NO_LOST NO_LEAVE; do
	expect violated membership.pml "-D$rule"
done
expect safe coordinator.pml
for rule in NO_FORGET NO_CHECK NO_SAME NO_EXPIRY NO_ONCE NO_INSIST NO_HEARD; do
	expect violated coordinator.pml "-D$rule"
done
wait
[ ! -e "$work/failed" ]

#!/usr/bin/env bash
# Checks everything: format, linter, model, tests with the race detector (fuzz
# seeds included). Installs what it needs and is not there.
set -euo pipefail
cd "$(dirname "$0")"

lint=github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
modules=(core examples node platform)

echo "== format"
unformatted=$(gofmt -l core examples node platform)
if [ -n "$unformatted" ]; then
	echo "not formatted; run gofmt -w on:"
	echo "$unformatted"
	exit 1
fi

echo "== linter"
for module in "${modules[@]}"; do
	(cd "$module" && GOFLAGS=-mod=mod GOWORK=off go run "$lint" run --allow-parallel-runners --config ../.golangci.yml ./...)
done

if [ -d model ]; then
	echo "== model"
	bash model/check.sh
fi

# Tests that fail for a fault that is known and not mended are passed over: KNOWN-RED.txt
# holds one a line, the test's name first, then its cause and its issue.
skip=()
if [ -s KNOWN-RED.txt ]; then
	echo "== known red, passed over"
	cat KNOWN-RED.txt
	if [ "$(wc -l <KNOWN-RED.txt)" -gt 3 ]; then
		echo "KNOWN-RED.txt has more than three lines; mend one first"
		exit 1
	fi
	skip=(-skip "^($(cut -d' ' -f1 KNOWN-RED.txt | paste -sd'|'))\$")
fi

echo "== tests"
go test -race -count=1 -timeout 20m "${skip[@]}" ./core/... ./examples/... ./node/... ./platform/...

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
	(cd "$module" && GOFLAGS=-mod=mod GOWORK=off go run "$lint" run --config ../.golangci.yml ./...)
done

if [ -d model ]; then
	echo "== model"
	bash model/check.sh
fi

echo "== tests"
go test -race -count=1 -timeout 20m ./core/... ./examples/... ./node/... ./platform/...

#!/usr/bin/env bash
# Builds the stand-ins that the cases start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand"
mkdir -p ../bin
GOWORK=off GOFLAGS=-mod=mod go build -o ../bin/stand .

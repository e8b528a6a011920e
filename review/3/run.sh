#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs target/doorstackd (build line of deploy/system.toml) and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/doorstackd ] && [ -x review/bin/stand ] || exit 2
exec review/bin/stand babble review/3/record.txt

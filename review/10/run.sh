#!/usr/bin/env bash
# Plays the case. Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
exec review/target/standin2 reuse "$folder"

#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the script could not run. TROUBLE=0 leaves the SIGTERM out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] && [ -x target/anvildyked ] || exit 2
exec review/bin/standin -scenario shutdown -gateway target/anvildyked -record review/1/record.txt

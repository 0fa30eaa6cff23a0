#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the script could not run. TROUBLE=0 lets the request crash no replica.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] && [ -x target/anvildyked ] || exit 2
exec review/bin/standin -scenario poison -gateway target/anvildyked -record review/5/record.txt

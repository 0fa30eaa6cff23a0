#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the script could not run. TROUBLE=0 lets the request crash no replica.
cd "$(dirname "$0")" || exit 2
exec ../bin/standin -scenario poison -gateway ../../target/anvildyked -record record.txt

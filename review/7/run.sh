#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/banyan-serve ] || [ ! -x target/review-2/rig ]; then
    echo "build deploy/system.toml and review/build-2.sh first" >&2
    exit 2
fi
exec target/review-2/rig power review/7/record.txt

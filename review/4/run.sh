#!/bin/sh
# Runs the case after the build of the deploy file and review/build.sh, and writes record.txt
# beside this file. Exits with 1 if the rule
# was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the outage out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/review/driver target/release/pistachiomoor-platform; do
    if [ ! -x "$program" ]; then
        echo "$program is missing; run the build of deploy/system.toml and review/build.sh" >&2
        exit 2
    fi
done
exec target/review/driver coordinator review/4

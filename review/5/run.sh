#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build.sh. Exits
# with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 runs it without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=out/review/case-$(basename "$folder")
[ -x "$program" ] && [ -x target/bin/medlarloftd ] || exit 2
exec "$program" "$folder"

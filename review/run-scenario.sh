#!/usr/bin/env bash
# Runs a scenario of the stand-ins: run-scenario.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
program=$root/target/release/jaysaddled
standin=$root/target/review/standin
if [[ ! -x $program || ! -x $standin ]]; then
    echo "build first: the build of the deploy file, then review/build.sh"
    exit 2
fi
scratch=$(mktemp -d)
: >"$scratch/processes"
end() {
    # Only processes that the scenario has started and that still run.
    while read -r process; do
        [[ $(readlink "/proc/$process/exe") == "$program" ]] && kill -9 "$process"
    done <"$scratch/processes"
    rm -rf "$scratch"
}
trap end EXIT
timeout -k 5 115 "$standin" "$1" "$program" "$scratch" "$2/record.txt"
code=$?
# A run that takes too long, or fails itself, is no result.
((code <= 2)) || code=2
exit "$code"

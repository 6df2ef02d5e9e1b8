#!/usr/bin/env bash
# Runs a case five times with its disruption and five times without: runs.sh FOLDER. Prints the exit codes.
for trouble in 1 0; do
    for _ in 1 2 3 4 5; do
        TROUBLE=$trouble "$1/run.sh"
        echo "TROUBLE=$trouble exit=$?"
    done
done

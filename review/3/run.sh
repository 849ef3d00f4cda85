#!/usr/bin/env bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
program="$here/../target/case-$(basename "$here")"
[ -x "$program" ] && [ -x "$here/../../target/release/tallypin" ] || exit 2
# Beyond the time limit, the program and the routers that it has started are ended together: they are one process group.
timeout --kill-after=5 110 "$program" "$here"
code=$?
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac

#!/usr/bin/env bash
# Usage: run-case.sh NAME FOLDER. Runs a case of target/review/sim, with record.txt in FOLDER.
set -u
name=$1
folder=$2
cd "$(dirname "$0")/.." || exit 2
for program in target/release/waxwingrouter target/review/sim; do
	[ -x "$program" ] || { echo "$program is missing; build it first" >&2; exit 2; }
done
temporary=$(mktemp -d) || exit 2
: > "$folder/record.txt" || exit 2
RECORD="$folder/record.txt" FOLDER="$temporary" TROUBLE="${TROUBLE:-1}" target/review/sim case "$name"
code=$?
# What a case that gave up has left: only processes of this run, by their ids.
if [ -f "$temporary/pids" ]; then
	while read -r pid; do
		if [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$PWD/target/release/waxwingrouter" ]; then
			kill -KILL "$pid" 2>/dev/null
		fi
	done < "$temporary/pids"
fi
rm -rf "$temporary"
case $code in 0|1) exit "$code" ;; *) exit 2 ;; esac

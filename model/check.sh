#!/bin/sh
# Checks each specification exhaustively, and requires that each variant with
# one guard removed fails with a trace.
set -eu
cd "$(dirname "$0")"
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

# search NAME FILE [MACRO]: builds and runs the checker, its output goes to $dir/out.
search() {
	work="$dir/$1"
	# A variant fails early, so that compiling it takes longer than the search.
	optimise=-O2
	[ -z "${3:-}" ] || optimise=-O1
	mkdir "$work"
	cp "$2" "$work/spec.pml"
	(cd "$work" && spin -a ${3:+-D"$3"} spec.pml >spin.out 2>&1 && gcc "$optimise" -w -DSAFETY -DMEMLIM=2048 -o pan pan.c &&
		./pan -m2000000 >"$dir/out" 2>&1) || { cat "$work/spin.out" "$dir/out" 2>/dev/null; exit 1; }
}

# good FILE: the search must be complete and find no error.
good() {
	search "${1%.pml}" "$1"
	if ! grep -q 'errors: 0' "$dir/out" || grep -qE 'max search depth|out of memory|not completed' "$dir/out"; then
		cat "$dir/out"
		echo "FAIL $1: an error, or the search was not exhaustive"
		exit 1
	fi
	echo "ok   $1: $(grep -m1 'states, stored' "$dir/out" | awk '{print $1}') states, no error"
}

# bad FILE MACRO: the search must find a violated assertion.
bad() {
	search "${1%.pml}-$2" "$1" "$2"
	if ! grep -q 'assertion violated' "$dir/out"; then
		cat "$dir/out"
		echo "FAIL $1 with $2: the checker found no violated assertion"
		exit 1
	fi
	echo "ok   $1 with $2: $(grep -m1 'assertion violated' "$dir/out" | sed 's/.*assertion/assertion/')"
}

for spec in ${*:-*.pml}; do
	good "$spec"
	for macro in $(sed -nE 's/^#(ifdef|ifndef) ([A-Z_]+)$/\2/p' "$spec" | sort -u); do
		bad "$spec" "$macro"
	done
done

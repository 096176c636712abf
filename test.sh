#!/bin/bash
# Runs every test with the race detector and a fixed seed. SEED=0 draws fresh
# seeds, CHECKS sets the number of cases of each property. Tests listed in
# KNOWN-RED.txt run too; their failures are printed and passed over. Packages
# whose tests run whole hosts come one at a time, so that they have the machine.
set -eu
cd "$(dirname "$0")"
seed=${SEED:-1}
checks=${CHECKS:-100}
known=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd '|' -)
skip="^(${known:-none})\$"
format='{{$p := .ImportPath}}{{range .TestImports}}{{if eq . "pgregory.net/rapid"}}{{$p}} {{end}}{{end}}{{range .XTestImports}}{{if eq . "pgregory.net/rapid"}}{{$p}} {{end}}{{end}}'
fuzzed=$(go list -f "$format" ./... | tr ' ' '\n' | sort -u | sed '/^$/d')
plain=$(go list ./... | grep -vxF "$fuzzed" || true)
flags="-rapid.seed=$seed -rapid.checks=$checks -rapid.nofailfile"
if [ -n "$known" ]; then
  echo "known red, passed over: $known"
  go test -count=1 -race -run "^($known)\$" ./... 2>&1 | grep -E '^(---|ok|FAIL)' || true
fi
status=0
# shellcheck disable=SC2086
go test -count=1 -race -timeout 20m -skip "$skip" $fuzzed $flags || status=1
if [ -n "$plain" ]; then
  # shellcheck disable=SC2086
  go test -count=1 -race -p 1 -timeout 20m -skip "$skip" $plain || status=1
fi
exit $status

#!/bin/sh
# Builds what the scripts of the second review start beside the program of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/driver2

#!/bin/bash
# Builds the stand-ins of the scripted cases 11 to 15 of the third review.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/driver3

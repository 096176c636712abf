#!/bin/bash
# Builds every stand-in that a script of the review starts.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o review/bin/ ./review/standin

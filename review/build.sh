#!/usr/bin/env bash
# Builds the program that the scripts of the cases start: its stand-ins and clients.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/cases ./review/cases 2> >(grep -v -e fmahash -e bisect-match -e '^#' >&2)

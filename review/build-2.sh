#!/bin/sh
# Builds the stand-ins and the player of the scripts of the second review.
set -e
cd "$(dirname "$0")/.."
go build -o target/review2/ ./review/cases2

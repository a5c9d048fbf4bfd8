#!/bin/sh
# Builds what the scripts of the third review start beside the programs of the deploy file.
cd "$(dirname "$0")/.." || exit 2
for main in review/1[1-5]/main.go; do
	case=$(basename "$(dirname "$main")")
	go build -o "target/review-$case" "./review/$case" || exit 2
done

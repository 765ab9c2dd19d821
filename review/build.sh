#!/bin/sh
# Builds the stand-ins that the cases start. Each case is one program that holds its clients, endpoints and discovery.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for folder in review/[0-9]*/; do
	number=$(basename "$folder")
	go build -o "review/bin/case$number" "./review/$number"
done

#!/bin/sh
# Builds the programs that the cases 6 to 10 start beside the project's own, which the build of the deploy file makes. Each is a case's driver
# with its clients, servers and discovery.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
# The program of the control machines and of the gateways that follow them: docs/XDS.md.
go build -tags xds -ldflags=-linkmode=external -o bin/silvertrail-xds ./cmd/silvertrail
for number in 6 7 8 9 10; do
	[ ! -d "review/$number" ] || go build -o "bin/review-$number" "./review/$number"
done

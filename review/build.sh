#!/bin/sh
# Builds the programs of the cases, each with its stand-ins, into review/bin. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for n in 1 2 3; do
	if [ -f "review/$n/main.go" ]; then
		GOPROXY=off go build -o "review/bin/case$n" "./review/$n"
	fi
done

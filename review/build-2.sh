#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into bin/review-2, without a network, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin/review-2 && GOPROXY=off go build -o bin/review-2/ ./review/6 ./review/7 ./review/8 ./review/9 ./review/10

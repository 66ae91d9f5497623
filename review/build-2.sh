#!/bin/sh
# Builds the stand-ins of the second review.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
mkdir -p target/review-2
go test -c -o target/review-2/standin ./review/6/_standin

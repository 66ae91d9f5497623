#!/bin/sh
# Builds the stand-in that the scripts of the cases start, into review/bin/.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go test -c -o review/bin/standin ./review/_standin

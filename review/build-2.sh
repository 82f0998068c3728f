#!/bin/sh
# Builds the stand-ins that the script of review/6 starts, into target/.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/standin-2 ./review/standin-2

#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/standin-3 ./review/standin-3

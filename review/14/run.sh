#!/bin/sh
# All gateways are killed at one moment, and forget which request crashes runners.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.."
[ -x target/standin-3 ] && [ -x target/siskinfall ] || exit 2
exec target/standin-3 poison target/siskinfall review/14/record.txt

#!/bin/sh
# A part of prompts that crashes runners, first in the prompt, gets a sound part blocked.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.."
[ -x target/standin-3 ] && [ -x target/siskinfall ] || exit 2
exec target/standin-3 part target/siskinfall review/12/record.txt

#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/standin drained-after-prefill review/4/record.txt

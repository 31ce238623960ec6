#!/bin/sh
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could
# not run. With TROUBLE=0 the endpoints do not crash.
cd "$(dirname "$0")/../.." && exec target/review/standin-3 same-lookups review/15

#!/bin/bash
# The two engines that generate tokens at one of two software versions crash.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin-2 ] && [ -x target/flamingospar ] || exit 2
exec target/review-standin-2 lasttwo review/8

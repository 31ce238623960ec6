#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into target/. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
GOWORK=off GOFLAGS="-mod=mod -buildvcs=false" go build -C review/standin-2 -trimpath -o ../../target/review-standin-2 .

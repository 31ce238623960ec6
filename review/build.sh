#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS="${GOFLAGS:--buildvcs=false}" go build -trimpath -o ../bin/standin .

#!/bin/sh
# Builds the stand-in that the scripts of the third review start. It needs no network.
set -e
cd "$(dirname "$0")/standin-3"
GOWORK=off go build -trimpath -o ../../target/review/standin-3 .

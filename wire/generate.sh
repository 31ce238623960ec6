#!/usr/bin/env bash
# Generates wire/gen from wire/proto with the tools pinned in tools/go.mod.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
GOWORK=off go -C ../tools build -o "$bin/" \
  github.com/bufbuild/buf/cmd/buf \
  google.golang.org/protobuf/cmd/protoc-gen-go \
  connectrpc.com/connect/cmd/protoc-gen-connect-go
PATH="$bin:$PATH" buf generate

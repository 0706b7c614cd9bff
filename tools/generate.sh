#!/usr/bin/env bash
# Regenerates the committed Go code of wire/wirepb. Needs protoc on the PATH;
# the plugins are pinned in tools/gen.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd "$root/tools/gen" && go build -o "$bin" \
  google.golang.org/protobuf/cmd/protoc-gen-go \
  google.golang.org/grpc/cmd/protoc-gen-go-grpc)
cd "$root/wire/wirepb"
PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
  --go-grpc_out=. --go-grpc_opt=paths=source_relative ./*.proto

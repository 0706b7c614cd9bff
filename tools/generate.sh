#!/usr/bin/env bash
# Regenerates the committed Go code of wire/wirepb from its .proto files. Needs protoc on the
# PATH; the versions of the Go plugins are pinned in tools/gen/go.mod.
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

#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review 6 to 10 start. trackd itself comes from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/scene ./review/scene

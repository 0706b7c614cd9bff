#!/usr/bin/env bash
# Runs the case "drain". Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With
# TROUBLE=0 there is no disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
for program in target/trackd target/rig; do
  if [ ! -x "$program" ]; then
    echo "$program isn't built" >&2
    exit 2
  fi
done
exec target/rig -case "drain" -record "$folder/record.txt"

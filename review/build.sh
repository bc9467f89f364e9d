#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It needs Go and no network.
# The sources end in .go.txt because they are no part of the main module.
set -euo pipefail
cd "$(dirname "$0")/.."
source=$(mktemp -d)
trap 'rm -rf "$source"' EXIT
for file in review/standin/*.txt; do
  cp "$file" "$source/$(basename "$file" .txt)"
done
mkdir -p target/review
(cd "$source" && GOFLAGS=-mod=mod GOWORK=off GOTOOLCHAIN=local go build -o "$OLDPWD/target/review/standin" .)

#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review, from review/tools-3/*.go.txt, into
# target/review-3/. Needs Go and nothing else; no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out="$PWD/target/review-3"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir -p "$out"
for f in review/tools-3/*.go.txt; do
  cp "$f" "$work/$(basename "$f" .txt)"
done
printf 'module review3\n\ngo 1.26\n' > "$work/go.mod"
(cd "$work" && GOFLAGS=-mod=mod GOWORK=off GOTOOLCHAIN=local go build -o "$out/trial" .)

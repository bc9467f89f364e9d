#!/usr/bin/env bash
# Builds the stand-in of the second review into target/. Its sources end in .txt, so that they are no
# Go files of this repository: they use the platform's names. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for source in review/standin-2/*.go.txt; do
  cp "$source" "$work/$(basename "$source" .txt)"
done
printf 'module standin\n\ngo 1.26\n' >"$work/go.mod"
mkdir -p target
out="$PWD/target/review-standin-2"
(cd "$work" && GOFLAGS=-mod=mod GOWORK=off GOTOOLCHAIN=local go build -o "$out" .)

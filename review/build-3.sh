#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 14 into target/review-3, after the
# build of the deploy file. They use none of the project's own stand-ins.
# Usage: review/build-3.sh
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
objects=()
for source in review/harness-3/*.cc; do
  object=$out/$(basename "$source" .cc).o
  g++ -std=c++20 -O2 -Wall -Wextra -c "$source" -o "$object"
  objects+=("$object")
done
g++ "${objects[@]}" -o "$out/drill" -lPocoNet -lPocoJSON -lPocoFoundation \
  -lpthread

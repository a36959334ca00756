#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3, after the
# build of the deploy file. Usage: review/build-3.sh
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/harness-3/*.cc; do
  object=target/review-3/$(basename "$source" .cc).o
  g++ -std=c++20 -O2 -Wall -Wextra -c "$source" -o "$object" &
done
wait
g++ target/review-3/{drill,site,backend,store}.o -o target/review-3/drill \
  -lPocoNet -lPocoJSON -lPocoFoundation -lpthread

#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into review/build, and the
# project's own store into target/ if the build of the deploy file did not.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/tools/fake_platform_store ]; then
  cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DBAMBOORACK_DEVELOPMENT=OFF
  cmake --build target -j6 --target fake_platform_store
fi
mkdir -p review/build
for number in 6 7 8 9 10; do
  source=review/$number/case.cc
  [ -e "$source" ] || continue
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "review/build/case$number" \
    "$source"
done

#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review/. Needs the compiler and the nlohmann-json headers that
# the deploy file's build needs as well.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
jobs=()
for source in review/standins-2/*.cpp; do
    name=$(basename "$source" .cpp)
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -o "target/review/$name" "$source" -pthread &
    jobs+=("$!")
done
for job in "${jobs[@]}"; do wait "$job"; done

#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -pthread -Wall -Wextra "$source" -o "target/review/case$number"
done

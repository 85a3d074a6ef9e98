#!/usr/bin/env bash
# Builds the stand-ins of the cases into out/review. Needs the packages of the
# deploy file only, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p out/review
for source in review/*/case.cpp; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "out/review/case-$name" \
    review/standins/rig.cpp "$source"
done

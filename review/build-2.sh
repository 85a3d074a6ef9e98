#!/usr/bin/env bash
# Builds the stand-ins of the second review into out/review-2/, after the build
# of the deploy file. Needs no network and no packages but those named there.
set -euo pipefail
cd "$(dirname "$0")/.."
out=out/review-2
mkdir -p "$out"
includes=()
for folder in packages/*/include; do includes+=("-I$folder"); done
shared=(review/standins-2/fleet.cpp platform/standins/store.cpp
  tests/soak/link.cpp)
cases=(store_eras removal_times session reader store_view)
objects=()
pids=()
compile() { # SOURCE: compiles it in the background
  local object
  object="$out/$(basename "$1" .cpp).o"
  g++ -std=c++20 -O1 "${includes[@]}" -c "$1" -o "$object" &
  pids+=($!)
}
for source in "${shared[@]}"; do
  compile "$source"
  objects+=("$out/$(basename "$source" .cpp).o")
done
for name in "${cases[@]}"; do compile "review/standins-2/$name.cpp"; done
for pid in "${pids[@]}"; do wait "$pid"; done
libraries=(target/packages/http/libmedlarloft_http.a
  target/packages/loop/libmedlarloft_loop.a
  target/packages/base/libmedlarloft_base.a)
for name in "${cases[@]}"; do
  g++ "$out/$name.o" "${objects[@]}" "${libraries[@]}" -lxxhash -lpthread \
    -o "$out/$name"
done

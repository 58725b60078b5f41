#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
shared=(review/standin-2/world.cc review/standin-2/worker_standin.cc
  review/standin-2/harmful_play.cc review/standin-2/layer_server.cc
  platform/soak/store_standin.cc platform/soak/http_server.cc platform/soak/socket.cc
  platform/soak/proxy.cc platform/soak/connection_owner.cc
  platform/base64.cc packages/zinnia_base/errors/error.cc packages/zinnia_base/errors/error_kind.cc
  tests/processes/child_process.cc tests/processes/free_port.cc)
flags=(-std=c++20 -O1 -g -I. -Ipackages)

# Waits for all compilers that were started, and fails if one has failed.
running=()
finish() {
  for id in "${running[@]}"; do wait "$id"; done
  running=()
}

objects=()
for source in "${shared[@]}"; do
  object="$out/$(basename "$source" .cc).o"
  g++ "${flags[@]}" -c "$source" -o "$object" &
  running+=($!)
  objects+=("$object")
done
finish
for source in review/standin-2/*_case.cc; do
  g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/$(basename "$source" .cc)" \
    -lboost_json -lcrypto -lfmt -lpthread &
  running+=($!)
done
finish

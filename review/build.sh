#!/usr/bin/env bash
# Builds what the scripts of the review start besides the project's own programs: stand-ins for the
# platform, its store, the backend servers and the clients. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
shared=(platform/soak/socket platform/soak/http_server platform/soak/store_standin
  platform/soak/proxy platform/soak/connection_owner platform/base64
  packages/zinnia_base/errors/error packages/zinnia_base/errors/error_kind review/standin/deployment)
cases=()
for source in review/standin/*.cc; do
  name=$(basename "$source" .cc)
  [ "$name" = deployment ] || cases+=("$name")
done
objects=()
jobs=()
for source in "${shared[@]}" "${cases[@]/#/review/standin/}"; do
  g++ -std=c++20 -O1 -I. -Ipackages -c "$source.cc" -o "$out/$(basename "$source").o" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do
  wait "$job"
done
for source in "${shared[@]}"; do
  objects+=("$out/$(basename "$source").o")
done
for name in "${cases[@]}"; do
  g++ "$out/$name.o" "${objects[@]}" -lboost_json -lfmt -lcrypto -lpthread -o "$out/$name"
done

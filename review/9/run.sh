#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=2 115 target/review-2/header_case target/packages/zinnia_apps/zinniad \
  "$folder" "$case_folder/record.txt"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"

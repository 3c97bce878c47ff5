#!/usr/bin/env bash
# Installs the packages required by the build and the tests, then builds both programs. Run as root on Debian 12.
# test.sh goes on with the same build.
set -euo pipefail
cd "$(dirname "$0")"
export DEBIAN_FRONTEND=noninteractive
missing=""
while read -r package; do
    dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done < packages.txt
if [ -n "$missing" ]; then
    apt-get update -qq
    # shellcheck disable=SC2086
    apt-get install -y -qq --no-install-recommends $missing >/dev/null
fi
cmake -S . -B build -G Ninja >/dev/null
cmake --build build --target verbenaproxy verbenaproxy-standin | tail -1

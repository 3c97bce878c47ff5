#!/usr/bin/env bash
# Builds everything and runs all tests. This is the test command in the README. VERBENA_WERROR=ON treats warnings as
# errors, as CI does.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B build -G Ninja -DVERBENA_WERROR="${VERBENA_WERROR:-OFF}" >/dev/null
cmake --build build | tail -3
python3 test/run_ctest.py build

#!/usr/bin/env bash
# Builds the fuzz targets with clang's libFuzzer and the address and undefined-behaviour sanitizers and runs each
# for SECONDS_EACH seconds (default 30). Needs the packages clang-14 and libclang-rt-14-dev. Findings and the
# extended corpus stay in build-fuzz. Add the input of a fixed finding to fuzz/corpus/<target>, which the tests
# run, and that of an open one to fuzz/findings/<target>.
# Usage: fuzz/run.sh [target...]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds="${SECONDS_EACH:-30}"
jobs="${JOBS:-3}"
targets=("$@")
[ ${#targets[@]} -gt 0 ] || targets=(frame settings caller_request raft_record operator_json
    platform_configuration platform_check_in event_stream)
out=build-fuzz
mkdir -p "$out/objects"
launcher=$(command -v ccache || true)
flags=(-O1 -g -Isrc -I. -isystem generated -DBOOST_ASIO_NO_DEPRECATED -DXXH_INLINE_ALL
    '-DVERBENA_VERSION="fuzz"' -fsanitize=address,undefined,fuzzer-no-link -fno-sanitize-recover=undefined)
sources=(src/base/error.cpp src/base/ini.cpp src/base/settings.cpp src/net/frame.cpp src/raft/record.cpp
    src/control/operator_json.cpp src/control/key_table.cpp src/control/validation.cpp
    src/entry/caller_request.cpp src/node/config_view.cpp src/net/http_request.cpp
    src/route/table.cpp src/forward/event_reader.cpp platform/json_reader.cpp platform/configuration.cpp
    platform/check_in.cpp)

compile() { # arguments: source object flags...
    local source=$1 object=$2 standard=c++20
    shift 2
    # The headers of cxxtools 3.0 use allocator members that C++20 removed.
    [ "$source" != src/base/ini.cpp ] || standard=c++17
    $launcher clang++-14 "-std=$standard" "${flags[@]}" "$@" -c "$source" -o "$object"
}

objects=()
for source in "${sources[@]}"; do
    object="$out/objects/$(echo "$source" | tr / _).o"
    objects+=("$object")
    while [ "$(jobs -rp | wc -l)" -ge "$jobs" ]; do wait -n; done
    compile "$source" "$object" &
done
for target in "${targets[@]}"; do
    while [ "$(jobs -rp | wc -l)" -ge "$jobs" ]; do wait -n; done
    compile fuzz/main.cpp "$out/objects/main_$target.o" "-DVERBENA_FUZZ_TARGET=run_$target" &
done
wait

status=0
for target in "${targets[@]}"; do
    clang++-14 -fsanitize=address,undefined,fuzzer -o "$out/$target" "$out/objects/main_$target.o" \
        "${objects[@]}" -lboost_json -lflatbuffers -lcxxtools -lpthread
    mkdir -p "$out/corpus/$target"
    "$out/$target" "-max_total_time=$seconds" -timeout=10 -rss_limit_mb=2048 -print_final_stats=1 \
        "-artifact_prefix=$out/$target-" "$out/corpus/$target" "fuzz/corpus/$target" \
        >"$out/$target.log" 2>&1 || status=1
    echo "$target: $(grep -E 'number_of_executed_units|SUMMARY|ERROR' "$out/$target.log" | tr '\n' ' ')"
done
exit $status

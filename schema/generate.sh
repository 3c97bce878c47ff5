#!/usr/bin/env bash
# Regenerates generated/ from the schemas. Usage: schema/generate.sh [output folder]
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
out=${1:-$root/generated}
mkdir -p "$out"
for name in wire operator settings log; do
    flatc --cpp --cpp-std c++17 --gen-object-api --scoped-enums --gen-compare -o "$out" "$root/schema/$name.fbs"
done
# Log events are printed with the field names of their schema, so their types need reflection data.
flatc --cpp --cpp-std c++17 --gen-object-api --scoped-enums --reflect-names --gen-name-strings \
    -o "$out" "$root/schema/events.fbs"
# The schema texts are embedded, so that JSON calls and INI settings are converted and validated against the schema.
{
    echo '#pragma once'
    echo
    for name in operator settings; do
        echo "inline constexpr char ${name}_schema_text[] = R\"fbs("
        cat "$root/schema/$name.fbs"
        echo ')fbs";'
        echo
    done
} > "$out/schema_text.h"

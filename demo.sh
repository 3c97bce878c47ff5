#!/usr/bin/env bash
# Starts the demo deployment, calls the main paths with curl, and stops it. Options: --keep (start only and leave it
# running), --stop (only stop it).
set -euo pipefail
cd "$(dirname "$0")"
folder=demo
stop() {
    if [ -f "$folder/pids" ]; then
        while read -r pid _; do kill "$pid" 2>/dev/null || true; done < "$folder/pids"
        rm -f "$folder/pids"
    fi
}
if [ "${1:-}" = --stop ]; then
    stop
    exit 0
fi
stop
rm -rf "$folder"
mkdir -p "$folder"
build/verbenaproxy demo --folder "$folder" --binaries build > "$folder/start.sh"
bash "$folder/start.sh"
[ "${1:-}" = --keep ] && exit 0
trap stop EXIT

auth="Authorization: Bearer demo-key"
chat=/v1/chat/completions
say() { printf '\n== %s\n' "$*"; }

say "a short prompt, streamed"
curl -sN "http://127.0.0.1:8081$chat" -H "$auth" \
    -d '{"model":"standin","messages":[{"role":"user","content":"hello"}],"max_tokens":3,"stream":true}'

say "a prompt of 4 MB, streamed"
# Documentation text of this repository, repeated up to 4 MB.
python3 - > "$folder/long.json" <<'PY'
import json, pathlib
text = "".join(p.read_text() for p in sorted(pathlib.Path("docs").glob("*.md")))
text = (text * (4_000_000 // len(text) + 1))[:4_000_000]
print(json.dumps({"model": "standin", "messages": [{"role": "user", "content": text}], "max_tokens": 3, "stream": True}))
PY
curl -sN "http://127.0.0.1:8082$chat" -H "$auth" -d "@$folder/long.json" | tail -4

say "one booking, sent three times through two entries; the desk's own record"
key="$(date +%s)-demo$RANDOM$RANDOM"
for port in 8081 8082 8081; do
    curl -s "http://127.0.0.1:$port/services/desk/orders" -H "$auth" -H "Idempotency-Key: $key" -d '{"item":"roll","pieces":2}'
done
curl -s http://127.0.0.1:7510/record

say "SIGTERM of entry-1 during a stream: 500 tokens, all arrive"
curl -sN "http://127.0.0.1:8081$chat" -H "$auth" \
    -d '{"model":"standin","messages":[{"role":"user","content":"hello"}],"max_tokens":500,"stream":true}' > "$folder/stream.txt" &
reader=$!
sleep 1
kill -TERM "$(awk '$2=="entry-1"{print $1}' "$folder/pids")"
wait "$reader"
echo "events: $(grep -c '^data' "$folder/stream.txt") (500 tokens, the finish event, [DONE])"
tail -2 "$folder/stream.txt"

say "metrics of entry-2"
curl -s http://127.0.0.1:7312/metrics | grep -v _bucket | head -20

say "status as ctl shows it"
build/verbenaproxy ctl status | head -20

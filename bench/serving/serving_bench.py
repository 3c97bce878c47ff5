#!/usr/bin/env python3
"""Measures the serving path against direct calls to the same simulated engine.

Starts three control members, one entry and two agents with simulated engines on 127.0.0.1:22000-22999, prints one JSON
line per figure, and stops the processes that it started.
Usage: python3 bench/serving/serving_bench.py [--binaries build] [--parts ttft,tokens,rate,idle] [--decode_ms 2]
       [--tokens 400]
"""
import argparse
import json
import os
import selectors
import signal
import socket
import subprocess
import tempfile
import time
import urllib.request

ENTRY, AGENT, ENGINE = 22081, 22601, 22501
# Direct calls use a second engine with the same flags, because an agent cancels requests on its engine that it did
# not send.
DIRECT_ENGINE = 22503
SLOW_AGENT, SLOW_ENGINE = 22602, 22502
CONTROL = ", ".join(f"127.0.0.1:{22100 + i}" for i in (1, 2, 3))
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
TOKEN_MARKER = b'"content"'


class Deployment:
    def __init__(self, binaries, folder, decode_ms=2, teams=1):
        self.binaries, self.folder, self.processes = binaries, folder, {}
        self.decode_ms, self.teams = decode_ms, teams

    def start(self, name, *command):
        log = open(f"{self.folder}/{name}.log", "w")
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def role(self, role, name, metrics, section, *flags):
        path = f"{self.folder}/{name}.ini"
        listen = f"metrics_listen = 127.0.0.1:{metrics}\n" if metrics else ""
        with open(path, "w") as file:
            file.write(f"[node]\nname = {name}\ncluster = bench\nworkers = 2\n{listen}"
                       f"control = {CONTROL}\n[{role}]\n{section}")
        self.start(name, f"{self.binaries}/verbenaproxy", role, "--config", path, *flags)

    def engine(self, name, port, decode_ms, max_batch, model):
        self.start(name, f"{self.binaries}/verbenaproxy-standin", "engine", "--listen", f"127.0.0.1:{port}",
                   "--capacity_tokens", "64000000", "--prefill_rate", "400000", "--chunk_tokens", "8192",
                   "--decode_ms", str(decode_ms), "--max_batch", str(max_batch), "--cold_requests", "1",
                   "--cold_ms", "100", "--cold_limit", "4096", "--models", model)

    def agent(self, name, port, engine, model):
        self.role("agent", name, port + 200,
                  f"listen = 127.0.0.1:{port}\nendpoint = {name}\nengine = 127.0.0.1:{engine}\nservice = {model}\n"
                  f"models = {model}\nmemory_tokens = 64000000\nprefill_tokens_per_s = 400000\nwarm_limit = 4096\n"
                  "cold_limit = 4096\nqueue_limit = 4096\nanswer_memory = 4GiB\nengine_silence = 600000ms\n")

    def start_control(self):
        peers = ", ".join(f"{i}=127.0.0.1:{22100 + i}" for i in (1, 2, 3))
        for i in (1, 2, 3):
            self.role("control", f"control-{i}", 22300 + i,
                      f"listen = 127.0.0.1:{22100 + i}\noperator_listen = 127.0.0.1:{22200 + i}\n"
                      f"data = {self.folder}/control-{i}-data\nmember_id = {i}\npeers = {peers}\n", "--init")
        self.configure()

    def start_all(self):
        self.start_control()
        self.engine("fast", ENGINE, self.decode_ms, 256, "fast")
        self.engine("direct", DIRECT_ENGINE, self.decode_ms, 256, "fast")
        self.engine("slow", SLOW_ENGINE, 600_000, 4096, "slow")
        self.agent("agent-fast", AGENT, ENGINE, "fast")
        self.agent("agent-slow", SLOW_AGENT, SLOW_ENGINE, "slow")
        self.role("entry", "entry", 22311, f"listen = 127.0.0.1:{ENTRY}\nteam_buffer = 4GiB\ntotal_buffer = 4GiB\n")
        wait_for(lambda: urllib.request.urlopen("http://127.0.0.1:22311/ready", timeout=1).status == 200)
        for port in (ENTRY, DIRECT_ENGINE):
            wait_for(lambda: Stream(port, "fast", 10, 1).run()["tokens"] == 1)

    def configure(self):
        change = {"request_id": "bench-1", "expected_revision": 0, "replace_all": {
            "teams": [{"name": "bench", "keys": ["bench-key"], "weight": 100, "max_outstanding": 100000}] +
                     [{"name": f"team-{i}", "keys": [f"key-of-team-{i:020d}"]} for i in range(1, self.teams)],
            "services": [{"name": name, "kind": "model", "models": [name]} for name in ("fast", "slow")] +
                        [{"name": "desk", "kind": "plain", "paths": [{"prefix": "/orders", "repeatable": False}]}],
            "failure_domains": [], "endpoints": []}}

        def send():
            for i in (1, 2, 3):
                try:
                    with urllib.request.urlopen(f"http://127.0.0.1:{22200 + i}/operator/v1/change",
                                                json.dumps(change).encode(), timeout=2) as reply:
                        return reply.status == 200
                except OSError:
                    continue
            return False
        wait_for(send)

    def stop(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()

    def cpu(self, name):
        with open(f"/proc/{self.processes[name].pid}/stat") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def resident_kib(self, name):
        with open(f"/proc/{self.processes[name].pid}/status") as file:
            return next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))


def wait_for(condition, seconds=10):
    end = time.monotonic() + seconds
    last = None
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, RuntimeError) as error:
            last = error
        time.sleep(0.2)
    raise RuntimeError(f"deployment is not ready, last error: {last}")


class Stream:
    counter = 0

    def __init__(self, port, model, prompt_tokens, max_tokens):
        Stream.counter += 1
        # Prompts differ in their first bytes, so that no prefix is shared between requests.
        prompt = f"{Stream.counter:08d}".ljust(prompt_tokens * 4, "x")[:prompt_tokens * 4]
        body = json.dumps({"model": model, "messages": [{"role": "user", "content": prompt}],
                           "max_tokens": max_tokens, "stream": True}).encode()
        self.payload = (f"POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer bench-key\r\n"
                        f"X-Deadline-Ms: 3600000\r\nContent-Type: application/json\r\nConnection: close\r\n"
                        f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        self.socket = socket.create_connection(("127.0.0.1", port))
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.tokens, self.tail, self.done, self.first, self.last, self.head = 0, b"", False, 0.0, 0.0, b""

    def send(self):
        self.begin = time.perf_counter()
        self.socket.sendall(self.payload)

    def receive(self):
        data = self.socket.recv(262144)
        self.head = (self.head + data)[:1000]
        joined = self.tail + data
        # A marker that is split between two reads is counted with the second read.
        count = joined.count(TOKEN_MARKER)
        self.tail = joined[-(len(TOKEN_MARKER) - 1):]
        if count:
            self.last = time.perf_counter()
            self.first = self.first or self.last
            self.tokens += count
        if not data or b"[DONE]" in joined:
            self.done = True
            if self.tokens == 0:
                raise RuntimeError(f"stream ended without a token: {self.head!r}")

    def run(self):
        self.send()
        while not self.done:
            self.receive()
        self.socket.close()
        return {"ttft": self.first - self.begin, "tokens": self.tokens, "span": self.last - self.first}


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def report(**figures):
    with open("/proc/loadavg") as file:
        figures["load"] = file.read().split()[0]
    print(json.dumps(figures), flush=True)


def measure_ttft():
    for tokens, pairs in ((1_000, 200), (10_000, 100), (100_000, 20), (1_000_000, 6)):
        direct, proxied = [], []
        for _ in range(pairs):
            direct.append(1000 * Stream(DIRECT_ENGINE, "fast", tokens, 2).run()["ttft"])
            proxied.append(1000 * Stream(ENTRY, "fast", tokens, 2).run()["ttft"])
        row = {"measure": "ttft_ms", "prompt_tokens": tokens, "pairs": pairs}
        for share in (0.5, 0.95):
            base, value = percentile(direct, share), percentile(proxied, share)
            row[f"direct_p{int(share * 100)}"] = round(base, 2)
            row[f"added_p{int(share * 100)}"] = round(value - base, 2)
            row[f"added_share_p{int(share * 100)}"] = round(value / base - 1, 4)
        report(**row)


def measure_tokens():
    spans = {DIRECT_ENGINE: [], ENTRY: []}
    for _ in range(5):
        for port, values in spans.items():
            result = Stream(port, "fast", 100, 400).run()
            values.append(1e6 * result["span"] / (result["tokens"] - 1))
    direct, proxied = percentile(spans[DIRECT_ENGINE], 0.5), percentile(spans[ENTRY], 0.5)
    report(measure="time_per_token_us", direct_p50=round(direct, 1), added_p50=round(proxied - direct, 1))


def measure_rate(deployment, tokens, streams=256):
    names = ("entry", "agent-fast", "fast")
    selector = selectors.DefaultSelector()
    opened = [Stream(ENTRY, "fast", 100, tokens) for _ in range(streams)]
    before = {name: deployment.cpu(name) for name in names}
    begin = time.perf_counter()
    for stream in opened:
        stream.send()
        selector.register(stream.socket, selectors.EVENT_READ, stream)
    left = streams
    while left:
        for key, _ in selector.select():
            key.data.receive()
            if key.data.done:
                selector.unregister(key.data.socket)
                key.data.socket.close()
                left -= 1
    wall = time.perf_counter() - begin
    total = sum(stream.tokens for stream in opened)
    used = {name: deployment.cpu(name) - before[name] for name in names}
    report(measure="rate", streams=streams, tokens=total, wall_s=round(wall, 2), tokens_per_s=round(total / wall),
           **{f"{name}_cpu_us_per_token": round(1e6 * value / total, 2) for name, value in used.items()},
           **{f"{name}_tokens_per_core_s": round(total / value) for name, value in used.items() if value})


def measure_idle(deployment):
    opened, points = [], {"entry": [], "agent-slow": []}
    for count in (0, 500, 1000, 2000):
        while len(opened) < count:
            stream = Stream(ENTRY, "slow", 100, 100)
            stream.send()
            opened.append(stream)
        time.sleep(3)
        readable, refused = 0, []
        if opened:
            with selectors.DefaultSelector() as selector:
                for stream in opened:
                    selector.register(stream.socket, selectors.EVENT_READ, stream)
                answers = [key.data.socket.recv(600, socket.MSG_PEEK) for key, _ in selector.select(0)]
                readable = len(answers)
                refused = [answer for answer in answers if not answer.startswith(b"HTTP/1.1 200")]
                if refused:
                    print("first refusal:", refused[0])
        for name, values in points.items():
            values.append((count, deployment.resident_kib(name)))
        report(measure="idle", streams=count, with_first_token=readable - len(refused), refused=len(refused),
               **{name: values[-1][1] for name, values in points.items()})
    for name, values in points.items():
        used = values[1:]
        slope = (used[-1][1] - used[0][1]) / (used[-1][0] - used[0][0])
        report(measure="idle_slope_kib", process=name, kib_per_stream=round(slope, 1))
    for stream in opened:
        stream.socket.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", default="build")
    parser.add_argument("--parts", default="ttft,tokens,rate,idle")
    parser.add_argument("--decode_ms", type=float, default=2, help="time of one decode step of the fast engine")
    parser.add_argument("--tokens", type=int, default=400, help="tokens per stream in the part rate")
    options = parser.parse_args()
    parts = options.parts.split(",")
    with tempfile.TemporaryDirectory(prefix="serving-bench-") as folder:
        deployment = Deployment(os.path.abspath(options.binaries), folder, options.decode_ms)
        try:
            deployment.start_all()
            if "rate" in parts:
                measure_rate(deployment, options.tokens)
            if "tokens" in parts:
                measure_tokens()
            if "ttft" in parts:
                measure_ttft()
            if "idle" in parts:
                measure_idle(deployment)
        except RuntimeError:
            for name in deployment.processes:
                with open(f"{folder}/{name}.log") as file:
                    print(name, file.read()[-600:])
            raise
        finally:
            deployment.stop()


if __name__ == "__main__":
    main()

#!/usr/bin/env python3
"""Measures the cost of the control plane per process, with agents of plain services and no request traffic.

Starts three control members on 127.0.0.1:22000-22999 and 10, 50 and 100 agents, prints one JSON line per figure, and
stops the processes that it started. Bytes are TCP payload in both directions as reported by `ss`, without packet
headers.
Usage: python3 bench/serving/control_bench.py [--binaries build] [--agents 10,50,100] [--seconds 10] [--changes 10]
       [--teams 1]
"""
import argparse
import json
import os
import re
import statistics
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

from serving_bench import Deployment, percentile, report, wait_for

TRAFFIC = re.compile(r"bytes_sent:(\d+)|bytes_received:(\d+)")


def call(member, name, body):
    request = urllib.request.Request(f"http://127.0.0.1:{22200 + member}/operator/v1/{name}", json.dumps(body).encode())
    with urllib.request.urlopen(request, timeout=10) as reply:
        return json.load(reply)


def control_bytes(pids):
    """TCP payload bytes exchanged between the processes `pids` and the control members."""
    text = subprocess.run(["ss", "-tniHpO", "( dport = :22101 or dport = :22102 or dport = :22103 )"],
                          capture_output=True, text=True, check=True).stdout
    total = 0
    for line in text.splitlines():
        owner = re.search(r"pid=(\d+)", line)
        if owner and int(owner[1]) in pids:
            total += sum(int(sent or received) for sent, received in TRAFFIC.findall(line))
    return total


def add_agents(deployment, names, count):
    while len(names) < count:
        name, port = f"agent-{len(names)}", 22700 + len(names)
        deployment.role("agent", name, None, f"listen = 127.0.0.1:{port}\nendpoint = {name}\n"
                        "engine = 127.0.0.1:22510\nservice = desk\nkind = plain\n")
        names.append(name)


def confirmed(member, revision, count):
    processes = call(member, "status", {}).get("processes", [])
    return sum(1 for process in processes if process.get("revision", 0) >= revision) >= count


def measure_steady(deployment, names, seconds):
    leader = f"control-{call(1, 'status', {})['leader']}"
    watched = names + [leader]
    pids = {deployment.processes[name].pid for name in names}
    cpu = {name: deployment.cpu(name) for name in watched}
    sent, begin = control_bytes(pids), time.monotonic()
    time.sleep(seconds)
    wall = time.monotonic() - begin
    sent = control_bytes(pids) - sent
    used = {name: (deployment.cpu(name) - cpu[name]) / wall for name in watched}
    report(measure="steady", agents=len(names),
           agent_core_percent=round(100 * statistics.mean(used[n] for n in names), 3),
           agent_rss_kib=round(statistics.mean(deployment.resident_kib(n) for n in names)),
           agent_bytes_per_s=round(sent / wall / len(names)), leader_core_percent=round(100 * used[leader], 2),
           leader_rss_kib=deployment.resident_kib(leader))


def measure_changes(deployment, names, changes):
    count, pids = len(names), {deployment.processes[name].pid for name in names}
    sent, start = control_bytes(pids), time.monotonic()
    leader = call(1, "status", {})["leader"]
    accepted, in_force = [], []
    for i in range(changes):
        revision = call(leader, "status", {})["revision"]
        begin = time.perf_counter()
        reply = call(leader, "change", {"request_id": f"b-{count}-{i}", "expected_revision": revision, "put_team": {
            "name": "bench", "keys": ["bench-key"], "weight": 100 + i}})
        accepted.append(1000 * (time.perf_counter() - begin))
        accept_time = time.perf_counter()
        while not confirmed(leader, reply["revision"], count):
            if time.perf_counter() - accept_time > 10:
                raise RuntimeError("change not confirmed by all agents within 10 s")
            time.sleep(0.01)
        in_force.append(1000 * (time.perf_counter() - accept_time))
    sent = control_bytes(pids) - sent
    report(measure="change", agents=count, changes=changes, wall_s=round(time.monotonic() - start, 2),
           agent_bytes_per_change=round(sent / count / changes), accept_ms_p50=round(percentile(accepted, 0.5), 1),
           accept_ms_max=round(max(accepted), 1), confirmed_ms_p50=round(percentile(in_force, 0.5)),
           confirmed_ms_max=round(max(in_force)))


def measure_change_rate(seconds=4):
    leader, latencies = call(1, "status", {})["leader"], []
    revision = call(leader, "status", {})["revision"]
    begin = time.perf_counter()
    while time.perf_counter() - begin < seconds:
        start = time.perf_counter()
        reply = call(leader, "change", {"request_id": f"rate-{len(latencies)}", "expected_revision": revision,
                                        "put_team": {"name": "bench", "keys": ["bench-key"],
                                                     "weight": 100 + len(latencies) % 100}})
        revision = reply["revision"]
        latencies.append(1000 * (time.perf_counter() - start))
    report(measure="change_rate", accepted_per_s=round(len(latencies) / (time.perf_counter() - begin)),
           p50_ms=round(percentile(latencies, 0.5), 1), p99_ms=round(percentile(latencies, 0.99), 1))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", default="build")
    parser.add_argument("--agents", default="10,50,100")
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--teams", type=int, default=1, help="teams in the configuration")
    parser.add_argument("--changes", type=int, default=10)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="control-bench-") as folder:
        deployment, names = Deployment(os.path.abspath(options.binaries), folder, teams=options.teams), []
        try:
            deployment.start_control()
            for count in (int(part) for part in options.agents.split(",")):
                add_agents(deployment, names, count)
                wait_for(lambda: confirmed(1, 1, count))
                time.sleep(2)
                measure_steady(deployment, names, options.seconds)
                measure_changes(deployment, names, options.changes)
            measure_change_rate()
        finally:
            deployment.stop()


if __name__ == "__main__":
    main()

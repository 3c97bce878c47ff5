#!/usr/bin/env python3
"""Process-level fault matrix. See docs/fault-matrix.md.

    python3 bench/fault_matrix/run.py [--rows kill-entry,domain-out] [--seed N] [--binaries build]
    python3 bench/fault_matrix/run.py --selftest
"""
import argparse
import collections
import http.client
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time

import invariants
import report
from deployment import ENGINE, MEMBERS, MODEL_AGENTS, Deployment, http_json, now
from load import Load
from records import engine_spans, read_all
from rows import ROWS, UNTESTED

# Seconds of load before the fault and after its end.
LOAD_BEFORE, LOAD_AFTER = 4.0, 4.0
# Requests of a lost owner are cancelled after the agent's owner_lease of 5 s and a reconciliation interval of 1 s.
DRAIN_TIMEOUT = 12.0
# A request that was started less than this many seconds before the fault counts as dispatched, not as in prefill.
DISPATCHED_WINDOW = 0.02


class Run:
    """One row of the matrix: starts its own deployment, runs load and the fault, drains, and collects the evidence."""

    def __init__(self, name, seed, binaries, folder):
        self.name = name
        self.deployment = Deployment(folder, binaries)
        self.load = Load(f"{seed} {name}")
        self.evidence = invariants.Evidence()
        self.extra = collections.defaultdict(list)
        self.fault_at = 0.0
        self.ended_at = 0.0
        self.sampling = threading.Event()
        self.errors = []
        self.replaced = set()

    def fault_begins(self):
        self.fault_at = self.fault_at or now()

    def replace_process(self, old, new):
        """Records that `new`, which has just started, replaces `old`, which is not restarted."""
        self.replaced.add(old)
        # The new process cannot confirm changes that were made before it started.
        self.deployment.processes[new].down.append((0.0, now()))
        self.evidence.processes = [new if name == old else name for name in self.evidence.processes]

    def sample_status(self):
        """Records the confirmed revision of each process as each member reports it."""
        while not self.sampling.is_set():
            for number in range(1, MEMBERS + 2):
                if f"control-{number}" not in self.deployment.processes:
                    continue
                try:
                    _, _, reply = http_json(21200 + number, "POST", "/operator/v1/status", {}, 0.5)
                    for item in reply.get("processes", []):
                        self.evidence.revisions.append((now(), f"control-{number}", item["name"],
                                                        int(item.get("revision", 0))))
                    self.evidence.revisions.append((now(), f"control-{number}", f"control-{number}",
                                                    int(reply.get("revision", 0))))
                except (OSError, AttributeError, ValueError, KeyError, http.client.HTTPException):
                    pass
            time.sleep(0.15)

    def drain(self):
        """Waits until no engine holds an unfinished request; records the requests that are left at the time-out."""
        end = now() + DRAIN_TIMEOUT
        while True:
            self.evidence.held = {}
            for number in range(1, MODEL_AGENTS + 1):
                _, _, reply = http_json(ENGINE + number, "GET", "/v1/requests")
                left = [item["id"] for item in reply["requests"] if item["state"] != "finished"]
                _, _, status = http_json(ENGINE + number, "GET", "/v1/status")
                if status["used_tokens"] and not left:
                    left = [f"{status['used_tokens']} tokens without a request"]
                self.evidence.held[f"engine-{number}"] = left
            if not any(self.evidence.held.values()) or now() > end:
                return
            time.sleep(0.2)

    def execute(self):
        try:
            self.deployment.start()
            self.evidence.processes = [name for name in self.deployment.processes
                                       if not name.startswith(("engine", "desk"))] + ["desk-1"]
            threading.Thread(target=self.sample_status, daemon=True).start()
            self.load.start()
            time.sleep(LOAD_BEFORE)
            self.deployment.make_neutral_change("before the fault")
            time.sleep(0.5)
            ROWS[self.name](self)
            self.ended_at = now()
            time.sleep(LOAD_AFTER)
            self.deployment.make_neutral_change("after the fault")
            self.load.stop()
            self.drain()
            # Leaves enough time for the last change to be confirmed.
            time.sleep(max(0.0, self.deployment.changes[-1][0] + 3.5 - now()))
            for name, process in self.deployment.processes.items():
                if name not in self.replaced and not process.alive():
                    self.errors.append(f"{name} ended unexpectedly with exit code {process.handle.returncode}")
        except (RuntimeError, OSError) as failure:
            self.errors.append(f"{type(failure).__name__}: {failure}")
        finally:
            self.load.stopping.set()
            self.sampling.set()
            self.deployment.stop()
        return self.result()

    def result(self):
        evidence = self.evidence
        evidence.requests = list(self.load.requests)
        evidence.records = read_all(self.deployment.folder)
        evidence.changes = self.deployment.changes
        evidence.down = {name: process.down for name, process in self.deployment.processes.items()}
        dump = [{name: value for name, value in vars(request).items() if name not in ("prompt", "text")}
                for request in evidence.requests]
        (self.deployment.folder / "requests.json").write_text(json.dumps(
            {"fault_at": self.fault_at, "ended_at": self.ended_at, "requests": dump}, indent=0))
        found = invariants.check_all(evidence)
        for name, violations in self.extra.items():
            found[name] = found[name] + violations
        return {"row": self.name, "errors": self.errors, "violations": found, "figures": self.figures(),
                "cells": self.cells()}

    def figures(self):
        requests = self.evidence.requests
        refused = collections.Counter(f"{request.error or request.status} {request.outcome}" for request in requests
                                      if not request.done and not request.broken)
        broken = collections.Counter(request.broken for request in requests if request.broken)

        def longest_gap(bookings):
            ends = sorted(request.ended for request in requests
                          if request.done and (request.kind == "book") == bookings and request.ended > self.fault_at)
            marks = [self.fault_at, *ends]
            return round(max([b - a for a, b in zip(marks, marks[1:])], default=0), 2)

        return {"requests": len(requests), "done": sum(request.done for request in requests),
                "not_done": dict(refused), "broken": dict(broken), "gap_chat_s": longest_gap(False),
                "gap_book_s": longest_gap(True),
                "slowest_s": round(max([request.ended - request.sent for request in requests], default=0), 2),
                "fault_s": round(self.ended_at - self.fault_at, 1) if self.ended_at else None}

    def cells(self):
        """Counts the requests at each step when the fault began, from the records and the results of the callers."""
        at = self.fault_at
        count = collections.Counter()
        spans = {span[0]: span for engine, facts in self.evidence.records.items() if engine.startswith("engine")
                 for span in engine_spans(facts, self.evidence.engine_kills.get(engine, ()))}
        books = {fact["key"]: fact["at"] for fact in self.evidence.records.get("desk", []) if fact["fact"] == "book"}
        known, waiting = set(), 0
        for request in self.evidence.requests:
            known.add(request.id)
            span = spans.get(request.id)
            if not at or request.sent > at:
                continue
            if request.ended and request.ended <= at:
                count["done"] += 1
            elif not request.body_sent or request.body_sent > at:
                count["before admission"] += 1
            elif request.kind == "book":
                count["booked" if books.get(request.key, at + 1) <= at else "booking before run"] += 1
            elif span is None:
                waiting += 1
            elif span[1] > at:
                count["queued"] += 1
            elif (span[2] and span[2] <= at) or (request.kind == "plain" and at - span[1] > 0.1):
                count["answer buffered"] += 1
            elif request.first and request.first <= at:
                count["streaming"] += 1
            else:
                count["dispatched" if at - span[1] < DISPATCHED_WINDOW else "prefill"] += 1
        # Runs whose callers received no id: their requests were counted as waiting above.
        for name, span in spans.items():
            if name not in known and span[1] <= at and (span[2] is None or span[2] > at) and waiting:
                count["dispatched" if at - span[1] < DISPATCHED_WINDOW else "prefill"] += 1
                waiting -= 1
        count["queued"] += waiting
        return dict(count)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--rows", default=",".join(ROWS), help="rows to run: " + ", ".join(ROWS))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--binaries", default="build")
    parser.add_argument("--folder", help="folder for settings, logs and records; default a new temporary one")
    parser.add_argument("--page", help="write the table to this file")
    parser.add_argument("--selftest", action="store_true", help="test that each checker detects violations")
    options = parser.parse_args()
    if options.selftest:
        sys.exit(subprocess.call([sys.executable, str(pathlib.Path(__file__).with_name("selftest.py"))]))
    # On SIGTERM the runner exits through the finally clause of Run.execute(), which stops the processes it started.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    names = options.rows.split(",")
    unknown = [name for name in names if name not in ROWS]
    if unknown:
        parser.error(f"unknown rows {unknown}")
    folder = pathlib.Path(options.folder or tempfile.mkdtemp(prefix="fault-matrix-"))
    print(f"seed {options.seed}, files in {folder}", flush=True)
    results = []
    for name in names:
        begin = now()
        results.append(Run(name, options.seed, options.binaries, folder / name).execute())
        report.print_row(results[-1], now() - begin)
    (folder / "results.json").write_text(json.dumps(results, indent=1))
    if options.page:
        missing = {name: "not in this run" for name in ROWS if name not in names}
        report.write_page(options.page, results, options.seed, {**missing, **UNTESTED}, " ".join(sys.argv[1:]))
    sys.exit(1 if any(report.failed(result) for result in results) else 0)


if __name__ == "__main__":
    main()

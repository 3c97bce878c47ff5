"""Starts and stops the processes of one deployment on loopback, ports 21000 to 21999."""
import http.client
import json
import os
import pathlib
import shutil
import signal
import subprocess
import time

HOST = "127.0.0.1"
CONTROL, OPERATOR, ENTRY, ENGINE, DESK, AGENT, DESK_AGENT = 21100, 21200, 21080, 21500, 21510, 21600, 21610
ENTRIES, MEMBERS, MODEL_AGENTS = 2, 3, 4
DOMAINS = ["domain-a", "domain-b", "domain-c"]
TEAM_KEY = "matrix-key"
MODEL = "standin"

# The warm limit and --cold_requests are small, so that a few seconds of load cause queueing and show the effect of a
# cold engine.
WARM_LIMIT = 4
ENGINE_FLAGS = ["--capacity_tokens", "400000", "--prefill_rate", "200000", "--chunk_tokens", "4096",
                "--decode_ms", "10", "--cold_requests", "2", "--cold_ms", "1500"]


def now():
    """Monotonic clock in seconds; the stand-ins use the same clock in their records."""
    return time.clock_gettime(time.CLOCK_MONOTONIC)


def http_json(port, method, path, body=None, timeout=3.0):
    """Makes one HTTP call; returns (status, headers, parsed body or None)."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        connection.request(method, path, None if body is None else json.dumps(body),
                     {"Content-Type": "application/json"})
        reply = connection.getresponse()
        text = reply.read()
        try:
            return reply.status, reply.headers, json.loads(text)
        except ValueError:
            return reply.status, reply.headers, None
    finally:
        connection.close()


class Process:
    """A process started by this runner. Signals go only to its own process id."""

    def __init__(self, name, command, log):
        self.name, self.command, self.log = name, command, log
        self.handle = None
        # Intervals in which the process was ended or paused: [from, to or None].
        self.down = []
        self.start()

    def start(self):
        with open(self.log, "ab") as log:
            self.handle = subprocess.Popen(self.command, stdout=log, stderr=subprocess.STDOUT,
                                           stdin=subprocess.DEVNULL)
        self.mark_up()

    def mark_down(self):
        self.down.append([now(), None])

    def mark_up(self):
        if self.down and self.down[-1][1] is None:
            self.down[-1][1] = now()

    def alive(self):
        return self.handle.poll() is None

    def send(self, number):
        if self.alive():
            self.handle.send_signal(number)

    def kill(self):
        self.mark_down()
        self.send(signal.SIGKILL)
        self.handle.wait()

    def pause(self):
        self.mark_down()
        self.send(signal.SIGSTOP)

    def resume(self):
        self.send(signal.SIGCONT)
        self.mark_up()

    def terminate(self):
        self.mark_down()
        self.send(signal.SIGTERM)

    def wait(self, seconds):
        """Returns whether the process ended within this many seconds."""
        try:
            self.handle.wait(seconds)
            return True
        except subprocess.TimeoutExpired:
            return False


class Deployment:
    def __init__(self, folder, binaries):
        self.folder = pathlib.Path(folder)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True)
        binaries = pathlib.Path(binaries).resolve()
        self.product, self.standin = str(binaries / "verbenaproxy"), str(binaries / "verbenaproxy-standin")
        self.processes = {}
        self.revision = 0
        # Accepted changes: (time, revision, description).
        self.changes = []
        self.next_request = 0

    # Settings

    def node(self, name, port, domain=""):
        members = ", ".join(f"{HOST}:{CONTROL + i}" for i in range(1, MEMBERS + 2))
        return (f"[node]\nname = {name}\ncluster = matrix\nworkers = 2\nmetrics_listen = {HOST}:{port}\n"
                f"control = {members}\n" + (f"failure_domain = {domain}\n" if domain else ""))

    def launch(self, role, name, settings, *flags):
        file = self.folder / f"{name}.ini"
        file.write_text(settings)
        self.processes[name] = Process(name, [self.product, role, "--config", str(file), *flags],
                                       self.folder / f"{name}.log")

    def launch_control(self, number, *flags):
        peers = ", ".join(f"{i}={HOST}:{CONTROL + i}" for i in range(1, MEMBERS + 1))
        self.launch("control", f"control-{number}", self.node(f"control-{number}", 21300 + number) +
                    f"[control]\nlisten = {HOST}:{CONTROL + number}\n"
                    f"operator_listen = {HOST}:{OPERATOR + number}\n"
                    f"data = {self.folder.resolve()}/control-{number}-data\nmember_id = {number}\n"
                    f"peers = {peers}\n", *flags)

    def launch_agent(self, name, domain, port, settings):
        self.launch("agent", name, self.node(name, port + 200, domain) +
                    f"[agent]\nlisten = {HOST}:{port}\nendpoint = {name}\n{settings}")

    def launch_engine(self, number):
        name = f"engine-{number}"
        self.processes[name] = Process(
            name, [self.standin, "engine", "--listen", f"{HOST}:{ENGINE + number}", "--record",
                   str(self.folder / f"{name}.record"), *ENGINE_FLAGS], self.folder / f"{name}.log")

    def start(self):
        for i in range(1, MEMBERS + 1):
            self.launch_control(i, "--init")
        for i in range(1, MODEL_AGENTS + 1):
            self.launch_engine(i)
            self.launch_agent(f"model-{i}", DOMAINS[(i - 1) % 3], AGENT + i,
                              f"engine = {HOST}:{ENGINE + i}\nservice = chat\nmodels = {MODEL}\n"
                              f"memory_tokens = 400000\nprefill_tokens_per_s = 200000\n"
                              f"warm_limit = {WARM_LIMIT}\n")
        self.processes["desk"] = Process(
            "desk", [self.standin, "desk", "--listen", f"{HOST}:{DESK}", "--delay_ms", "50", "--record",
                     str(self.folder / "desk.record")], self.folder / "desk.log")
        self.launch_agent("desk-1", DOMAINS[0], DESK_AGENT,
                          f"engine = {HOST}:{DESK}\nservice = desk\nkind = plain\n")
        for i in range(1, ENTRIES + 1):
            self.launch("entry", f"entry-{i}", self.node(f"entry-{i}", 21310 + i, DOMAINS[i - 1]) +
                        f"[entry]\nlisten = {HOST}:{ENTRY + i}\n")
        self.configure()
        self.wait_until(lambda: all(self.ready(i) for i in range(1, ENTRIES + 1)) and
                        len(self.endpoints()) == MODEL_AGENTS + 1, 15, "deployment ready")

    def configure(self):
        document = {"teams": [{"name": "clerks", "keys": [TEAM_KEY], "weight": 100}],
                    "services": [{"name": "chat", "kind": "model", "models": [MODEL]},
                                 {"name": "desk", "kind": "plain",
                                  "paths": [{"prefix": "/orders", "repeatable": False},
                                            {"prefix": "/stock", "repeatable": True}]}],
                    "failure_domains": [{"name": name} for name in DOMAINS], "endpoints": []}
        self.change({"replace_all": document}, "first configuration")

    def stop(self):
        for process in self.processes.values():
            process.send(signal.SIGCONT)
            process.send(signal.SIGKILL)
        for process in self.processes.values():
            process.handle.wait()

    # Operator calls

    def operator(self, call, body=None, member=None, timeout=3.0):
        """Calls one control member, by default the first that answers, and follows redirects to the leader."""
        for number in [member] if member else range(1, MEMBERS + 2):
            port = OPERATOR + number
            try:
                for _ in range(3):
                    status, headers, reply = http_json(port, "POST", f"/operator/v1/{call}", body or {},
                                                       timeout)
                    if status != 307:
                        return status, reply
                    port = int(headers["Location"].split("//")[1].split("/")[0].split(":")[1])
            except (OSError, http.client.HTTPException, KeyError):
                continue
        return 0, None

    def change(self, fields, what, seconds=10.0):
        """Makes one change and records its acceptance. Retries use the same request id until the outcome is known."""
        self.next_request += 1
        request = f"matrix-{self.next_request}"
        end = now() + seconds
        while now() < end:
            status, reply = self.operator("change", {"request_id": request, "expected_revision": self.revision,
                                                     **fields})
            if status == 200:
                self.revision = int(reply["revision"])
                self.changes.append((now(), self.revision, what))
                return self.changes[-1]
            if status in (400, 404, 409):
                raise RuntimeError(f"change refused: {what}: {reply}")
            time.sleep(0.1)
        raise RuntimeError(f"change not accepted within {seconds} s: {what}")

    def make_neutral_change(self, what="weight", seconds=10.0):
        """Makes a change that does not affect the load."""
        weight = 100 + self.revision % 50
        return self.change({"put_team": {"name": "clerks", "keys": [TEAM_KEY], "weight": weight}}, what, seconds)

    def statuses(self):
        """Status of each member that answers. A member with an empty data folder reports no leader and no revision."""
        replies = [self.operator("status", member=number, timeout=1.0) for number in range(1, MEMBERS + 2)]
        return [reply for status, reply in replies if status == 200]

    def leader(self):
        """Leader in the highest term that any member reports; 0 when no leader is known."""
        known = [(int(reply.get("term", 0)), int(reply.get("leader", 0))) for reply in self.statuses()]
        return max([pair for pair in known if pair[1]], default=(0, 0))[1]

    def refresh_revision(self):
        """Reads the newest revision again after a change with an unknown outcome."""
        self.revision = max([int(reply.get("revision", 0)) for reply in self.statuses()], default=self.revision)
        return self.revision

    def endpoints(self):
        status, reply = self.operator("endpoints")
        return reply.get("items", []) if status == 200 else []

    def ready(self, entry):
        try:
            return http_json(ENTRY + entry, "GET", "/ready", timeout=1)[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def wait_until(self, condition, seconds, what):
        end = now() + seconds
        while now() < end:
            try:
                if condition():
                    return now()
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.05)
        raise RuntimeError(f"timed out after {seconds} s: {what}")

    def fault(self, port, kind, **fields):
        try:
            http_json(port, "POST", "/fault", {"kind": kind, **fields}, 1)
        except (OSError, http.client.HTTPException):
            pass
